//! Rights to spend tokens of a team, which are handed over: the giver gives them up first.

/// A message on rights to spend.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4")]
    pub kind: Option<Kind>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// The sender wants the right to spend, or hands back what it has already given up.
    #[prost(message, tag = "1")]
    Borrow(Borrow),
    /// The sender hands over a right that it has already given up.
    #[prost(message, tag = "2")]
    Lend(Lend),
    /// The sender does not know the participants.
    #[prost(message, tag = "3")]
    Fetch(Fetch),
    /// The participants as the sender knows them.
    #[prost(message, tag = "4")]
    Participants(Participants),
}

/// Requests the participant table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fetch {}

/// Tells the participants, which never change once they are made.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Participants {
    /// The table as JSON, as it is on the platform.
    #[prost(string, tag = "1")]
    pub table: String,
}

/// Asks for the right to spend tokens, and hands back rights; with no tokens asked for it needs no
/// answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Borrow {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens that waiting requests lack.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Tokens wanted besides, ahead of need.
    #[prost(uint64, tag = "3")]
    pub advance: u64,
    /// Number of this message among those of the sender's incarnation.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Loans that the sender has given up.
    #[prost(message, repeated, tag = "5")]
    pub repayments: Vec<Repayment>,
    /// Tokens that were charged at the sender and not used.
    #[prost(uint64, tag = "6")]
    pub refund: u64,
}

/// A loan that its borrower has given up.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Repayment {
    /// Number of the request that it answered.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Tokens that were not spent.
    #[prost(uint64, tag = "2")]
    pub unspent: u64,
}

/// Hands over the right to spend tokens for a term that starts when it was asked for.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Lend {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens handed over; zero for a refusal.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of the request that this answers.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Incarnation of the instance that asked.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Tokens that the sender has left, which tells borrowers where to ask first.
    #[prost(uint64, tag = "5")]
    pub remaining: u64,
}

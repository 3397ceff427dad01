//! Loans of tokens of a team's rate. The sender deducts tokens before it sends them, so that a lost
//! message never duplicates tokens.

/// A message between the limiters of two instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Payload; none if it is of a kind that this version does not support.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4")]
    pub kind: Option<Kind>,
}

/// Payload of a message between limiters.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// The sender requests tokens, returns tokens, or both.
    #[prost(message, tag = "1")]
    Borrow(Borrow),
    /// The sender lends tokens, which it has already deducted.
    #[prost(message, tag = "2")]
    Lend(Lend),
    /// The sender requests the participant table.
    #[prost(message, tag = "3")]
    Fetch(Fetch),
    /// The participant table that the sender uses.
    #[prost(message, tag = "4")]
    Participants(Participants),
}

/// Requests the participant table.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Fetch {}

/// Carries the participant table, which never changes once it is created.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Participants {
    /// The table as JSON, in the form stored on the platform.
    #[prost(string, tag = "1")]
    pub table: String,
}

/// Requests tokens and returns unused ones. If no tokens are requested, there is no answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Borrow {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens that waiting requests lack.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Additional tokens requested in advance of need.
    #[prost(uint64, tag = "3")]
    pub advance: u64,
    /// Sequence number of this message within the sender's incarnation.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Loans that the sender has closed.
    #[prost(message, repeated, tag = "5")]
    pub repayments: Vec<Repayment>,
    /// Tokens that were charged at the sender and not used.
    #[prost(uint64, tag = "6")]
    pub refund: u64,
}

/// A loan that its borrower has closed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Repayment {
    /// Sequence number of the borrow request that the loan answered.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Tokens returned, which were not spent.
    #[prost(uint64, tag = "2")]
    pub unspent: u64,
}

/// Lends tokens for a term that began when the borrower sent the request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Lend {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens lent; zero for a refusal.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Sequence number of the borrow request.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Incarnation of the borrower.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
    /// Tokens that remain at the sender. Borrowers send their next requests to the owners with the
    /// highest expected level first.
    #[prost(uint64, tag = "5")]
    pub remaining: u64,
}

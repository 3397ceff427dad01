//! Rights to spend tokens of a team, which are handed over: the giver gives them up first.

/// A message on rights to spend.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// What it says.
    #[prost(oneof = "Kind", tags = "1, 2, 3")]
    pub kind: Option<Kind>,
}

/// What a message says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// The sender wants the right to spend.
    #[prost(message, tag = "1")]
    Ask(Ask),
    /// The sender hands over a right that it has already given up.
    #[prost(message, tag = "2")]
    Lend(Lend),
    /// The sender hands back a right that it has already given up.
    #[prost(message, tag = "3")]
    Return(Return),
}

/// Asks for the right to spend tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens wanted.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of this message among those of the sender.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
}

/// Hands over the right to spend tokens.
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
    /// Milliseconds after which asking again makes sense, for a refusal.
    #[prost(uint64, tag = "4")]
    pub retry_ms: u64,
}

/// Hands back the right to spend tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Return {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens handed back.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of this message among those of the sender.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
}

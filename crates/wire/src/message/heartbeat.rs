//! Heartbeats, by which the gateways of a fleet tell one another what they run and know.

/// What an instance says of itself to all peers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Tells the sender's starts apart.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Number of the heartbeat, counted by the sender since its start.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Name of the sender's data centre.
    #[prost(string, tag = "4")]
    pub datacentre: String,
    /// Whether the sender stops now and is no member any more.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Revision of the platform's store up to which the sender knows the configuration.
    #[prost(uint64, tag = "6")]
    pub configuration_revision: u64,
    /// Revision of the platform's store up to which the sender knows the endpoints.
    #[prost(uint64, tag = "7")]
    pub endpoints_revision: u64,
    /// What the sender has at endpoints.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<Load>,
    /// What the sender has charged teams since its start; those that have changed lately, or all.
    #[prost(message, repeated, tag = "9")]
    pub accounts: Vec<Account>,
    /// Requests that wait at the sender, by service.
    #[prost(message, repeated, tag = "10")]
    pub waiting: Vec<Count>,
    /// Engines that the sender has ordered to change their stage and that have not done so yet.
    #[prost(string, repeated, tag = "11")]
    pub reconfiguring: Vec<String>,
    /// Milliseconds since the platform's store last answered the sender; the most for never.
    #[prost(uint32, tag = "12")]
    pub store_age_ms: u32,
    /// Whether `accounts` holds all that the sender has.
    #[prost(bool, tag = "13")]
    pub all_accounts: bool,
}

/// What an instance has at one endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// Hash of the endpoint's name.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Engine memory that is held for them, in tokens.
    #[prost(uint64, tag = "3")]
    pub memory_tokens: u64,
    /// Prompt tokens that are still to be computed.
    #[prost(uint64, tag = "4")]
    pub prompt_tokens: u64,
}

/// What an instance has charged a team since its start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Account {
    /// Hash of the team's name.
    #[prost(fixed64, tag = "1")]
    pub team: u64,
    /// Units that it was charged.
    #[prost(uint64, tag = "2")]
    pub spent: u64,
    /// Units of these that were given back, since their requests have not run.
    #[prost(uint64, tag = "3")]
    pub refunded: u64,
}

/// A count under a name.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Count {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The count.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// The platform's objects of one kind, as an instance knows them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Snapshot {
    /// Revision of the store up to which they are known.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The objects that have changed since the revision that was asked for.
    #[prost(message, repeated, tag = "2")]
    pub objects: Vec<Object>,
    /// Names of all objects.
    #[prost(string, repeated, tag = "3")]
    pub names: Vec<String>,
}

/// An object of the platform.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Object {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its value, in JSON.
    #[prost(bytes = "vec", tag = "3")]
    pub value: Vec<u8>,
}

/// What an instance asks a peer for.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pull {
    /// Kind of objects.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Revision up to which the sender knows them; 0 for not at all.
    #[prost(uint64, tag = "2")]
    pub since: u64,
}

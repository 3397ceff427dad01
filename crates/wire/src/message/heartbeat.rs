//! Heartbeats that the gateways of a fleet send to one another.

/// Periodic state report of an instance to its peers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the sender, another one after each start.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat since the start of the sender.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Name of the sender's data centre.
    #[prost(string, tag = "4")]
    pub datacentre: String,
    /// Whether the sender is stopping and no longer a member.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Store revision up to which the sender has the configuration.
    #[prost(uint64, tag = "6")]
    pub configuration_revision: u64,
    /// Store revision up to which the sender has the endpoints.
    #[prost(uint64, tag = "7")]
    pub endpoints_revision: u64,
    /// Loads of the sender at endpoints.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<Load>,
    /// Totals that the sender has charged teams since its start: the recently changed ones, or all.
    #[prost(message, repeated, tag = "9")]
    pub accounts: Vec<Account>,
    /// Number of requests in the sender's queue, by service.
    #[prost(message, repeated, tag = "10")]
    pub waiting: Vec<Count>,
    /// Engines that the sender has ordered to change their stage and that have not done so yet.
    #[prost(string, repeated, tag = "11")]
    pub reconfiguring: Vec<String>,
    /// Milliseconds since the platform's store last answered the sender; the maximum value for
    /// never.
    #[prost(uint32, tag = "12")]
    pub store_age_ms: u32,
    /// Whether `accounts` contains all accounts of the sender.
    #[prost(bool, tag = "13")]
    pub all_accounts: bool,
    /// Endpoints that have told the sender that they are leaving.
    #[prost(message, repeated, tag = "14")]
    pub departures: Vec<Departure>,
    /// Era of the store to which `configuration_revision` belongs.
    #[prost(uint64, tag = "15")]
    pub configuration_era: u64,
    /// Era of the store to which `endpoints_revision` belongs.
    #[prost(uint64, tag = "16")]
    pub endpoints_era: u64,
    /// Version of the configuration that is in force at the sender; 0 for none.
    #[prost(uint64, tag = "17")]
    pub configuration_version: u64,
    /// State of other members that the sender relays, one group for each data centre. The loads and
    /// queues of a relay itself are in its group.
    #[prost(message, repeated, tag = "18")]
    pub groups: Vec<Group>,
    /// Part of the loads in the sender's own group that are the receiver's.
    #[prost(message, repeated, tag = "19")]
    pub receiver_loads: Vec<Load>,
    /// Part of the queues in the sender's own group that are the receiver's.
    #[prost(message, repeated, tag = "20")]
    pub receiver_waiting: Vec<Count>,
    /// Address of the sender for messages of other instances.
    #[prost(string, tag = "21")]
    pub address: String,
    /// Requests and parts of prompts that the sender suspects of crashing endpoints, or has quarantined.
    #[prost(message, repeated, tag = "22")]
    pub suspects: Vec<Suspect>,
    /// Limits that endpoints have stated to the sender or to others.
    #[prost(message, repeated, tag = "23")]
    pub limits: Vec<Limit>,
    /// What concerns single streams; a message with it says nothing else, and has the number 0.
    #[prost(message, optional, tag = "24")]
    pub streams: Option<Streams>,
    /// Store revision up to which the sender has the list of evacuated data centres.
    #[prost(uint64, tag = "27")]
    pub evacuations_revision: u64,
    /// Era of the store to which `evacuations_revision` belongs.
    #[prost(uint64, tag = "28")]
    pub evacuations_era: u64,
    /// What endpoints have stated on their being cold, to the sender or to others.
    #[prost(message, repeated, tag = "25")]
    pub cold: Vec<Cold>,
    /// What endpoints have stated on their present speed: to the sender, or, if it is a relay, to
    /// others too.
    #[prost(message, repeated, tag = "32")]
    pub paces: Vec<Pace>,
    /// Whether the sender reaches no endpoint, so that no request can be handed over to it.
    #[prost(bool, tag = "33")]
    pub cut_off: bool,
    /// Teams whose buckets hold less than an instance takes for granted at its start, as the sender knows
    /// it.
    #[prost(message, repeated, tag = "34")]
    pub low_buckets: Vec<LowBucket>,
    /// Requests of one team on one route that the sender suspects together of crashing endpoints, or has
    /// quarantined.
    #[prost(message, repeated, tag = "37")]
    pub suspect_groups: Vec<SuspectGroup>,
}

/// What is left in the bucket of a team.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LowBucket {
    /// Hash of the team's name.
    #[prost(fixed64, tag = "1")]
    pub team: u64,
    /// Units; negative if more has been spent.
    #[prost(sint64, tag = "2")]
    pub level: i64,
}

/// What an endpoint has stated on its present speed and its queue.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pace {
    /// Hash of the endpoint's name.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Present duration of work, in percent of the usual one.
    #[prost(uint32, tag = "2")]
    pub percent: u32,
    /// Number of running requests.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Number of queued requests.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
    /// Milliseconds since the statement.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

/// What an instance tells, or asks, of streams that callers may take up at any instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Streams {
    /// Origins that the sender knows.
    #[prost(message, repeated, tag = "1")]
    pub origins: Vec<Origin>,
    /// Hashes of the streams whose origins the sender asks for.
    #[prost(fixed64, repeated, tag = "2")]
    pub asked: Vec<u64>,
    /// Hashes of the streams that the receiver has asked for and the sender does not know.
    #[prost(fixed64, repeated, tag = "3")]
    pub unknown: Vec<u64>,
    /// Origins that the receiver, as the first of its data centre, has to write to the journal.
    #[prost(message, repeated, tag = "4")]
    pub journaled: Vec<Origin>,
}

/// The software version at which a stream began.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Origin {
    /// Hash of the stream: the caller's identifier of the attempt that began it, and its team.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Hash of the version's name.
    #[prost(fixed64, tag = "2")]
    pub software: u64,
    /// Number of the attempt's run.
    #[prost(uint32, tag = "3")]
    pub run: u32,
}

/// What an endpoint has stated on the requests that it takes from all instances together.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Limit {
    /// Hash of the endpoint's name.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Wall-clock time of its start, in milliseconds; none if the platform does not tell it.
    #[prost(uint64, optional, tag = "2")]
    pub started_at_ms: Option<u64>,
    /// Requests per 1,000 seconds; none if it states a limit no longer.
    #[prost(uint64, optional, tag = "3")]
    pub rate: Option<u64>,
    /// Milliseconds since the statement.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// Number of the statement; the highest one holds.
    #[prost(uint64, tag = "5")]
    pub number: u64,
}

/// For how long an endpoint has stated that it is cold.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Cold {
    /// Hash of the endpoint's name.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Wall-clock time of its start, in milliseconds; none if the platform does not tell it.
    #[prost(uint64, optional, tag = "2")]
    pub started_at_ms: Option<u64>,
    /// Milliseconds for which it is still cold; 0 if it is not.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
    /// Number of the statement; the highest one holds.
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

/// A request, or a part of prompts, that is suspected of crashing endpoints.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Suspect {
    /// Hash of the request's content and team, or of the part's identifier.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Largest position of the part in prompts, from 1; 0 for a request.
    #[prost(uint32, tag = "2")]
    pub depth: u32,
    /// Crashes since a run with it last went well.
    #[prost(message, repeated, tag = "3")]
    pub crashes: Vec<Crash>,
    /// Milliseconds since a run with it last went well; none if none has.
    #[prost(uint64, optional, tag = "4")]
    pub cleared_age_ms: Option<u64>,
    /// Milliseconds for which it is still quarantined; none if it is not.
    #[prost(uint64, optional, tag = "5")]
    pub quarantined_ms: Option<u64>,
}

/// Requests of one team on one route that are suspected together of crashing endpoints.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectGroup {
    /// The crashes, the last clearing and the quarantine, by the hash of the group.
    #[prost(message, optional, tag = "1")]
    pub suspicion: Option<Suspect>,
    /// Requests that were in progress at the crashes.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<CrashedRequest>,
    /// Hashes of the identifiers of requests that have gone well since.
    #[prost(fixed64, repeated, tag = "3")]
    pub successes: Vec<u64>,
}

/// A request that was in progress at the crash of an endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashedRequest {
    /// Hash of the endpoint's name and start.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Hash of the request's content and team.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
}

/// The crash of an endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Crash {
    /// Hash of the endpoint's name and start.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Milliseconds since it was noticed.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Milliseconds that the run had lasted.
    #[prost(uint64, tag = "3")]
    pub took_ms: u64,
}

/// Relayed state of the members in one data centre.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Group {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub datacentre: String,
    /// Age of the sums, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Sums of the members' loads at endpoints.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<Load>,
    /// Sums of the members' queue lengths, by service.
    #[prost(message, repeated, tag = "4")]
    pub waiting: Vec<Count>,
    /// Engines that members have ordered to change their stage and that have not done so yet.
    #[prost(string, repeated, tag = "5")]
    pub reconfiguring: Vec<String>,
    /// Members with changed accounts, and the others every few seconds.
    #[prost(message, repeated, tag = "6")]
    pub members: Vec<Member>,
    /// Whether the sums are present; without, those sent before stay valid.
    #[prost(bool, tag = "7")]
    pub has_sums: bool,
}

/// Relayed heartbeat of a member, without loads and queues.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Member {
    /// Name of the member.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the member.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Number of its last heartbeat.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Time since that heartbeat, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// Whether it is stopping and no longer a member.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// See [`Heartbeat::store_age_ms`]; none for never.
    #[prost(uint32, optional, tag = "6")]
    pub store_age_ms: Option<u32>,
    /// See [`Heartbeat::accounts`].
    #[prost(message, repeated, tag = "7")]
    pub accounts: Vec<Account>,
    /// See [`Heartbeat::all_accounts`].
    #[prost(bool, tag = "8")]
    pub all_accounts: bool,
    /// Address of the member for messages of other instances.
    #[prost(string, tag = "9")]
    pub address: String,
    /// See [`Heartbeat::cut_off`].
    #[prost(bool, tag = "10")]
    pub cut_off: bool,
}

/// An endpoint that is leaving.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Departure {
    /// Hash of the endpoint's name.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Wall-clock time of its start, in milliseconds; none if the platform does not tell it.
    #[prost(uint64, optional, tag = "2")]
    pub started_at_ms: Option<u64>,
}

/// Load of an instance at one endpoint.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// Hash of the endpoint's name.
    #[prost(fixed64, tag = "1")]
    pub endpoint: u64,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Engine memory reserved for them, in tokens.
    #[prost(uint64, tag = "3")]
    pub memory_tokens: u64,
    /// Prompt tokens still to be computed.
    #[prost(uint64, tag = "4")]
    pub prompt_tokens: u64,
}

/// Totals that an instance has charged a team since its start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Account {
    /// Hash of the team's name.
    #[prost(fixed64, tag = "1")]
    pub team: u64,
    /// Units charged, those refunded later included.
    #[prost(uint64, tag = "2")]
    pub spent: u64,
    /// Units refunded for requests that have not run.
    #[prost(uint64, tag = "3")]
    pub refunded: u64,
}

/// A named count.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Count {
    /// Name of what is counted; a service in [`Heartbeat::waiting`].
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of occurrences; of queued requests in [`Heartbeat::waiting`].
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

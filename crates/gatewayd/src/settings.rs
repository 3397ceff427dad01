//! Settings of a gateway process.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use indexmap::IndexMap;
use siskinstile_gateway::{Name, budget::Bound, quota::Tolerance, state::ColdTolerance};
use siskinstile_macros::value;

/// Addresses that a process listens on.
#[value(eq)]
pub struct Listen {
    /// Callers' requests.
    pub front: SocketAddr,
    /// Readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// Messages from other instances: datagrams and connections.
    pub peers: SocketAddr,
    /// Requests that peers hand over; the same port at all instances.
    pub handovers: SocketAddr,
    /// Metrics scrapes.
    pub metrics: SocketAddr,
}

/// Settings of one process.
#[value]
pub struct Settings {
    /// Name of the instance.
    pub name: Name,
    /// Name of the instance's data centre.
    pub datacentre: Name,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of instances through which the peers are found at start.
    pub seeds: Vec<IpAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// The fleet's bound on retries.
    pub retries: Bound,
    /// What operators grant teams beyond their quotas.
    pub quota_tolerance: Tolerance,
    /// Region of each data centre.
    pub regions: IndexMap<Name, Name>,
    /// What operators grant beyond the rate of cold endpoints, if endpoints may be cold.
    pub cold_tolerance: Option<ColdTolerance>,
    /// Time after which an evacuated data centre must get no requests, if evacuations are in use.
    pub evacuation_limit: Option<Duration>,
    /// Longest time for which the holder of a lease may act on it.
    pub lease: Duration,
    /// Time within which all instances must have applied a new configuration.
    pub propagation: Duration,
    /// Time after which an endpoint that has left must get no requests.
    pub removal_limit: Duration,
    /// Time between the signal to stop and the end of the process.
    pub grace: Duration,
    /// Time between two entries that an endpoint writes.
    pub entry_interval: Duration,
    /// Limit on the memory of the process, in bytes, if it is known.
    pub memory_bytes: Option<usize>,
    /// Limit on the file descriptors of the process.
    pub descriptors: usize,
}

/// Why settings cannot be used as they are.
#[derive(Debug)]
pub struct Unusable {
    /// The file, and its problem or the fields that have one.
    pub problem: String,
    /// The settings with defaults in place of the fields that have a problem, if those without a default have none.
    pub partial: Option<Box<Settings>>,
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.problem)
    }
}

impl std::error::Error for Unusable {}

//! What a gateway process is told when it starts.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use log::LevelFilter;
use siskinstile_gateway::{Name, budget::Bound};
use siskinstile_macros::value;

/// Addresses that a process listens at.
#[value(eq)]
pub struct Listen {
    /// For callers.
    pub front: SocketAddr,
    /// For the balancer's question whether the instance is ready.
    pub ready: SocketAddr,
    /// For messages of other instances.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Settings of one process.
#[value]
pub struct Settings {
    /// Name of the instance.
    pub name: Name,
    /// Name of its data centre.
    pub datacentre: Name,
    /// Addresses to listen at.
    pub listen: Listen,
    /// Instances that may be asked for others.
    pub seeds: Vec<IpAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// The fleet's bound on retries.
    pub retries: Bound,
    /// Longest time for which the holder of a lease may act on it.
    pub lease: Duration,
    /// Time within which a new configuration is to be in force at all instances.
    pub propagation: Duration,
    /// Time between a signal to stop and the end of the process.
    pub grace: Duration,
    /// Level from which on diagnostics are logged.
    pub log_level: LevelFilter,
    /// File descriptors that the process may use.
    pub descriptors: usize,
}

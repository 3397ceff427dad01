//! The endpoints listed by the platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use indexmap::{IndexMap, IndexSet};
use siskinstile_macros::value;

use crate::{
    Name,
    name_hash::NameHash,
    range::{MAX_REQUESTS, MAX_SPAN, MAX_TIME_MS, Ranged, clamp, clamp_some},
};

/// Processing stage that a model engine serves.
#[value(id)]
pub enum Stage {
    /// Computes prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Whether an endpoint accepts new requests.
#[value(id)]
pub enum Readiness {
    /// Accepts new requests.
    Ready,
    /// Completes its requests and accepts no new ones.
    Draining,
    /// Would accept new requests, but its data centre is evacuated; never in the platform's list.
    Evacuated,
}

/// A version of endpoints' software, as opposed to one of their weights: the hash of its name.
///
/// What two versions write does not fit together.
#[value(id)]
pub struct Software(pub NameHash);

impl Software {
    /// The version of a stream of which it cannot be known; no endpoint has it.
    pub const UNKNOWN: Software = Software(NameHash(0));
}

/// An endpoint as listed by the platform.
#[value]
pub struct Endpoint {
    /// Name in the platform's list.
    pub id: Name,
    /// Name of its service.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub datacentre: Name,
    /// Whether it accepts new requests.
    pub readiness: Readiness,
    /// Processing stage; `None` for an endpoint of a plain service.
    pub stage: Option<Stage>,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Wall-clock time of its start, in milliseconds; distinguishes incarnations of the same name.
    pub started_at_ms: Option<u64>,
    /// Name of its software version.
    pub version: Name,
    /// Time for which it is still cold, as of its entry.
    pub cold_remaining: Duration,
    /// Number of the entry, which rises with each one that the endpoint writes after a start.
    pub sequence: Option<u64>,
}

impl Endpoint {
    /// Returns its software version.
    pub fn software(&self) -> Software {
        Software(NameHash::of(&self.version))
    }

    /// Returns whether it accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }
}

/// The endpoints listed at one point in time, indexed by name and by service.
#[value(default)]
pub struct Directory {
    endpoints: IndexMap<Name, Arc<Endpoint>>,
    services: IndexMap<Name, Vec<Arc<Endpoint>>>,
    /// Time of day at which the list was read, in Unix milliseconds.
    read_at_ms: Option<u64>,
}

impl Directory {
    /// Creates the index of `endpoints`.
    pub fn new(endpoints: impl IntoIterator<Item = Endpoint>) -> Directory {
        let mut directory = Directory::default();
        for mut endpoint in endpoints {
            endpoint.confine();
            let endpoint = Arc::new(endpoint);
            let service = directory.services.entry(endpoint.service.clone()).or_default();
            service.push(endpoint.clone());
            directory.endpoints.insert(endpoint.id.clone(), endpoint);
        }
        directory
    }

    /// Sets the time of day at which the list was read, in Unix milliseconds.
    pub fn read_at(mut self, unix_ms: u64) -> Directory {
        self.read_at_ms = Some(unix_ms);
        self
    }

    /// Returns the time since the start of an endpoint, as far as clocks agree; `None` if that is not
    /// known.
    pub fn age(&self, endpoint: &Endpoint) -> Option<Duration> {
        let age_ms = self.read_at_ms?.saturating_sub(endpoint.started_at_ms?);
        Some(Duration::from_millis(age_ms))
    }

    /// Returns the endpoint of that name.
    pub fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.endpoints.get(id)
    }

    /// Returns the endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.endpoints.values()
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is listed.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the software versions of a service's endpoints.
    pub fn versions(&self, service: &str) -> IndexSet<Software> {
        self.of_service(service).iter().map(|it| it.software()).collect()
    }

    /// Returns the endpoints of a service; empty if the service has none.
    pub fn of_service(&self, service: &str) -> &[Arc<Endpoint>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

impl Ranged for Endpoint {
    fn confine(&mut self) -> bool {
        let times = clamp_some(&mut self.started_at_ms, MAX_TIME_MS)
            | clamp(&mut self.cold_remaining, MAX_SPAN);
        times | clamp(&mut self.slots, MAX_REQUESTS)
    }
}

//! The endpoints that the platform lists.

use std::{net::SocketAddr, sync::Arc};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::Name;

/// What a model engine does.
#[value(id)]
pub enum Stage {
    /// Computes prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// Whether an endpoint takes new requests.
#[value(id)]
pub enum Readiness {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// An endpoint as the platform lists it.
#[value]
pub struct Endpoint {
    /// Its name in the platform's list.
    pub id: Name,
    /// Name of its service.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub datacentre: Name,
    /// Whether it takes new requests.
    pub readiness: Readiness,
    /// What it does; none for an endpoint of a plain service.
    pub stage: Option<Stage>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Wall-clock time of its start, in milliseconds; tells incarnations under one name apart.
    pub started_at_ms: Option<u64>,
}

impl Endpoint {
    /// Returns whether it takes new requests.
    pub fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }
}

/// The endpoints that are listed at one moment.
#[value(default)]
pub struct Directory {
    endpoints: IndexMap<Name, Arc<Endpoint>>,
    services: IndexMap<Name, Vec<Arc<Endpoint>>>,
}

impl Directory {
    /// Indexes endpoints.
    pub fn new(endpoints: impl IntoIterator<Item = Endpoint>) -> Directory {
        let mut directory = Directory::default();
        for endpoint in endpoints.into_iter().map(Arc::new) {
            let service = directory.services.entry(endpoint.service.clone()).or_default();
            service.push(endpoint.clone());
            directory.endpoints.insert(endpoint.id.clone(), endpoint);
        }
        directory
    }

    /// Returns an endpoint.
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

    /// Returns the endpoints of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Endpoint>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

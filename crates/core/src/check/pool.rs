//! Checks of pools and their endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::{Problem, Report};
use crate::object::{Endpoint, Kind, Name, Pool, Role, Set, Workload};

/// Names and addresses of the endpoints checked so far, over all pools.
#[derive(Default)]
struct Seen<'a> {
    /// Pool of each endpoint by the endpoint's name.
    names: HashMap<&'a str, &'a Name>,
    /// Pool and endpoint by address.
    addresses: HashMap<SocketAddr, (&'a Name, &'a Name)>,
}

pub(super) fn check(set: &Set, report: &mut Report) {
    let mut seen = Seen::default();
    for pool in set.pools.values() {
        check_numbers(pool, report);
        match set.services.get(&pool.service) {
            Some(service) => check_roles(pool, service.workload, report),
            None => report.missing(Kind::Pool, &pool.name, "service", Kind::Service, &pool.service),
        }
        for (index, endpoint) in pool.endpoints.iter().enumerate() {
            check_endpoint(pool, index, endpoint, &mut seen, report);
        }
    }
}

fn check_numbers(pool: &Pool, report: &mut Report) {
    report.check_nonzero(Kind::Pool, &pool.name, "prefill_rate", pool.prefill_rate);
    report.check_nonzero(Kind::Pool, &pool.name, "link_slots", pool.link_slots.into());
    report.check_nonzero(Kind::Pool, &pool.name, "queue_limit", pool.queue_limit.into());
}

fn check_roles(pool: &Pool, workload: Workload, report: &mut Report) {
    let allowed: &[Role] = match workload {
        Workload::Model => &[Role::Prefill, Role::Decode],
        Workload::Plain => &[Role::Plain],
    };
    for (index, endpoint) in pool.endpoints.iter().enumerate() {
        if !allowed.contains(&endpoint.role) {
            let problem = Problem::RoleMismatch { workload };
            report.add(Kind::Pool, &pool.name, &field(index, "role"), problem);
        }
    }
    for &role in allowed {
        if !pool.endpoints.iter().any(|endpoint| endpoint.role == role) {
            report.add(Kind::Pool, &pool.name, "endpoints", Problem::RoleMissing { role });
        }
    }
}

fn check_endpoint<'a>(
    pool: &'a Pool,
    index: usize,
    endpoint: &'a Endpoint,
    seen: &mut Seen<'a>,
    report: &mut Report,
) {
    report.check_name(Kind::Pool, &pool.name, &field(index, "name"), &endpoint.name);
    report.check_name(Kind::Pool, &pool.name, &field(index, "datacentre"), &endpoint.datacentre);
    report.check_nonzero(Kind::Pool, &pool.name, &field(index, "places"), endpoint.slots.into());
    if let Some(other) = seen.names.insert(&endpoint.name, &pool.name) {
        let problem = Problem::DuplicateEndpoint { pool: other.clone() };
        report.add(Kind::Pool, &pool.name, &field(index, "name"), problem);
    }
    if let Some(problem) = address_problem(pool, endpoint, seen) {
        report.add(Kind::Pool, &pool.name, &field(index, "address"), problem);
    }
}

fn address_problem<'a>(
    pool: &'a Pool,
    endpoint: &'a Endpoint,
    seen: &mut Seen<'a>,
) -> Option<Problem> {
    let Ok(address) = endpoint.address.parse::<SocketAddr>() else {
        return Some(Problem::InvalidAddress { address: endpoint.address.clone() });
    };
    let (pool, endpoint) = seen.addresses.insert(address, (&pool.name, &endpoint.name))?;
    Some(Problem::DuplicateAddress { pool: pool.clone(), endpoint: endpoint.clone() })
}

fn field(index: usize, name: &str) -> String {
    format!("endpoints[{index}].{name}")
}

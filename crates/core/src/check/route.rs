//! Checks of routes.

use std::collections::HashMap;

use super::{BODY_LIMIT_MAX, Problem, Report};
use crate::object::{Kind, Name, Route, Service, Set, Workload};

const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

pub(super) fn check(set: &Set, report: &mut Report) {
    let mut overlap = Overlap::default();
    for route in set.routes.values() {
        check_numbers(route, report);
        match set.services.get(&route.service) {
            Some(service) => {
                check_fields(route, service, report);
                overlap.add(route, service.workload, report);
            }
            None => {
                report.missing(Kind::Route, &route.name, "service", Kind::Service, &route.service)
            }
        }
        check_pool(set, route, report);
    }
}

fn check_numbers(route: &Route, report: &mut Report) {
    report.check_nonzero(Kind::Route, &route.name, "first_token_ms", route.first_token_ms);
    report.check_nonzero(Kind::Route, &route.name, "between_tokens_ms", route.between_tokens_ms);
    if route.body_limit > BODY_LIMIT_MAX {
        let problem = Problem::BodyLimitTooHigh { bytes: route.body_limit };
        report.add(Kind::Route, &route.name, "body_limit", problem);
    }
}

fn check_fields(route: &Route, service: &Service, report: &mut Report) {
    match service.workload {
        Workload::Model => check_model_fields(route, service, report),
        Workload::Plain => check_plain_fields(route, report),
    }
}

fn check_model_fields(route: &Route, service: &Service, report: &mut Report) {
    let mut add = |field, problem| report.add(Kind::Route, &route.name, field, problem);
    match &route.model {
        None => add("model", Problem::ModelMissing),
        Some(model) if !service.models.contains(model) => {
            let (model, service) = (model.clone(), service.name.clone());
            add("model", Problem::ModelNotServed { model, service });
        }
        Some(_) => {}
    }
    if route.path.is_some() {
        add("path", Problem::NotForWorkload { workload: Workload::Model });
    }
    if route.method.is_some() {
        add("method", Problem::NotForWorkload { workload: Workload::Model });
    }
    if !route.idempotent {
        add("idempotent", Problem::NonIdempotentModel);
    }
}

fn check_plain_fields(route: &Route, report: &mut Report) {
    let mut add = |field, problem| report.add(Kind::Route, &route.name, field, problem);
    if route.model.is_some() {
        add("model", Problem::NotForWorkload { workload: Workload::Plain });
    }
    if !route.path.as_ref().is_some_and(|path| path.starts_with('/')) {
        add("path", Problem::InvalidPath);
    }
    match &route.method {
        Some(method) if !METHODS.contains(&&**method) => {
            add("method", Problem::InvalidMethod { method: method.clone() });
        }
        _ => {}
    }
}

fn check_pool(set: &Set, route: &Route, report: &mut Report) {
    match set.pools.get(&route.pool) {
        None => report.missing(Kind::Route, &route.name, "pool", Kind::Pool, &route.pool),
        Some(pool) if pool.service != route.service => {
            let problem = Problem::PoolServiceMismatch {
                pool: pool.name.clone(),
                pool_service: pool.service.clone(),
                service: route.service.clone(),
            };
            report.add(Kind::Route, &route.name, "pool", problem);
        }
        Some(_) => {}
    }
}

/// Finds routes that match the same requests.
///
/// The longest matching path prefix selects the route, so only equal prefixes overlap.
#[derive(Default)]
struct Overlap<'a> {
    models: HashMap<&'a str, &'a Name>,
    paths: HashMap<&'a str, Methods<'a>>,
}

/// Routes with one path prefix, by method.
#[derive(Default)]
struct Methods<'a> {
    /// The route that was added last.
    latest: Option<&'a Name>,
    /// A route without a method, which matches all of them.
    any: Option<&'a Name>,
    by_method: HashMap<&'a str, &'a Name>,
}

impl<'a> Overlap<'a> {
    fn add(&mut self, route: &'a Route, workload: Workload, report: &mut Report) {
        let (field, other) = match (workload, &route.model, &route.path) {
            (Workload::Model, Some(model), _) => ("model", self.models.insert(model, &route.name)),
            (Workload::Plain, _, Some(path)) => {
                ("path", self.paths.entry(path).or_default().add(route))
            }
            _ => return,
        };
        if let Some(other) = other {
            let problem = Problem::Overlap { other: other.clone() };
            report.add(Kind::Route, &route.name, field, problem);
        }
    }
}

impl<'a> Methods<'a> {
    /// Adds a route and returns an earlier route with which it overlaps.
    fn add(&mut self, route: &'a Route) -> Option<&'a Name> {
        let previous = self.latest.replace(&route.name);
        match &route.method {
            None => {
                self.any = Some(&route.name);
                previous
            }
            Some(method) => self.by_method.insert(method, &route.name).or(self.any),
        }
    }
}

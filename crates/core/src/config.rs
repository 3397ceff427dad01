//! The validated configuration in force, with the lookup tables that requests need.

use std::sync::Arc;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    error::Kind,
    object::{Name, Pool, Route, Set},
    request::Target,
};

/// An immutable configuration with its lookup tables.
#[value(default)]
pub struct Config {
    /// Generation, which only increases; 0 before the first adoption.
    pub generation: u64,
    /// Objects that the configuration consists of.
    pub set: Set,
    model_routes: IndexMap<Name, Arc<Route>>,
    /// Plain routes, longest path prefix first.
    plain_routes: Vec<Arc<Route>>,
    pools: IndexMap<Name, Arc<Pool>>,
}

impl Config {
    /// Builds the lookup tables of a validated set.
    pub fn new(generation: u64, set: Set) -> Config {
        let routes: Vec<Arc<Route>> = set.routes.values().cloned().map(Arc::new).collect();
        let model_routes =
            routes.iter().filter_map(|route| Some((route.model.clone()?, route.clone()))).collect();
        let mut plain_routes: Vec<Arc<Route>> =
            routes.into_iter().filter(|route| route.path.is_some()).collect();
        plain_routes
            .sort_by_key(|route| std::cmp::Reverse(route.path.as_ref().map_or(0, |it| it.len())));
        let pools = set.pools.values().map(|it| (it.name.clone(), Arc::new(it.clone()))).collect();
        Config { generation, set, model_routes, plain_routes, pools }
    }

    /// Returns the route that matches a request.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if no route matches and `MethodNotAllowed` if routes match the path, but
    /// none matches the method.
    pub fn route(&self, target: &Target) -> Result<&Arc<Route>, Kind> {
        match target {
            Target::Model(model) => self.model_routes.get(model).ok_or(Kind::NotFound),
            Target::Path { method, path } => self.plain_route(method, path),
        }
    }

    fn plain_route(&self, method: &str, path: &str) -> Result<&Arc<Route>, Kind> {
        let mut other_method = false;
        for route in &self.plain_routes {
            let prefix = route.path.as_deref().unwrap_or_default();
            match &route.method {
                _ if !covers(prefix, path) => {}
                Some(allowed) if !allowed.eq_ignore_ascii_case(method) => other_method = true,
                _ => return Ok(route),
            }
        }
        Err(if other_method { Kind::MethodNotAllowed } else { Kind::NotFound })
    }

    /// Returns a pool by name.
    pub fn pool(&self, name: &str) -> Option<&Arc<Pool>> {
        self.pools.get(name)
    }

    /// Iterates over the pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// Iterates over the names of the models that have a route.
    pub fn models(&self) -> impl Iterator<Item = &Name> {
        self.model_routes.keys()
    }

    /// Returns the highest body limit of all model routes, in bytes; 0 without model routes.
    pub fn model_body_limit(&self) -> u64 {
        self.model_routes.values().map(|route| route.body_limit).max().unwrap_or(0)
    }
}

/// Returns whether `prefix` covers `path`, compared by whole segments.
fn covers(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
        None => false,
    }
}

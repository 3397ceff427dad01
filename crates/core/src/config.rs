//! A checked configuration in force, with the lookups that requests need.

use std::sync::Arc;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    error::Kind,
    object::{Name, Pool, Route, Set},
    request::Target,
};

/// A configuration in force; immutable.
#[value(default)]
pub struct Config {
    /// Generation, which only grows; 0 before the first.
    pub generation: u64,
    /// The objects.
    pub set: Set,
    models: IndexMap<Name, Arc<Route>>,
    paths: Vec<Arc<Route>>,
    pools: IndexMap<Name, Arc<Pool>>,
}

impl Config {
    /// Builds the lookups of a checked set.
    pub fn new(generation: u64, set: Set) -> Config {
        let routes: Vec<Arc<Route>> = set.routes.values().cloned().map(Arc::new).collect();
        let models =
            routes.iter().filter_map(|route| Some((route.model.clone()?, route.clone()))).collect();
        let mut paths: Vec<Arc<Route>> =
            routes.into_iter().filter(|route| route.path.is_some()).collect();
        paths.sort_by_key(|route| std::cmp::Reverse(route.path.as_ref().map_or(0, |it| it.len())));
        let pools = set.pools.values().map(|it| (it.name.clone(), Arc::new(it.clone()))).collect();
        Config { generation, set, models, paths, pools }
    }

    /// Returns the route of a request.
    ///
    /// # Errors
    ///
    /// `NotFound` if no route matches, `MethodNotAllowed` if one does with another method.
    pub fn route(&self, target: &Target) -> Result<&Arc<Route>, Kind> {
        match target {
            Target::Model(model) => self.models.get(model).ok_or(Kind::NotFound),
            Target::Path { method, path } => self.plain_route(method, path),
        }
    }

    fn plain_route(&self, method: &str, path: &str) -> Result<&Arc<Route>, Kind> {
        let mut other_method = false;
        for route in &self.paths {
            let prefix = route.path.as_deref().unwrap_or_default();
            match &route.method {
                _ if !covers(prefix, path) => {}
                Some(wanted) if !wanted.eq_ignore_ascii_case(method) => other_method = true,
                _ => return Ok(route),
            }
        }
        Err(if other_method { Kind::MethodNotAllowed } else { Kind::NotFound })
    }

    /// Returns a pool.
    pub fn pool(&self, name: &str) -> Option<&Arc<Pool>> {
        self.pools.get(name)
    }

    /// Iterates over the pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// Returns the names of the models that have a route.
    pub fn models(&self) -> impl Iterator<Item = &Name> {
        self.models.keys()
    }

    /// Returns the largest body that a model route takes, in bytes.
    pub fn model_body_limit(&self) -> u64 {
        self.models.values().map(|route| route.body_limit).max().unwrap_or(0)
    }
}

/// Returns whether `path` lies under `prefix`, segment by segment.
fn covers(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'),
        None => false,
    }
}

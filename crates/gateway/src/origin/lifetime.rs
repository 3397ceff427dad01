//! Times for which endpoints are known to have lived, as shown by answers on connections.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{Directory, Instant, Name};

/// A time in which an endpoint has not started again: a connection ends with what has accepted it.
#[value(id)]
struct Lifetime {
    /// When the earliest connection was opened that shows it.
    since: Instant,
    /// When the latest answer on one of them arrived.
    until: Instant,
}

/// The lifetimes of endpoints, by name.
#[value(default)]
pub struct Lifetimes {
    lifetimes: IndexMap<Name, Lifetime>,
}

impl Lifetimes {
    /// Records an answer of an endpoint on a connection that has been open for some time; returns for how long the
    /// endpoint is known to have lived now.
    pub fn record(&mut self, now: Instant, endpoint: &Name, connection_age: Duration) -> Duration {
        let opened = now - connection_age;
        let known = self.lifetimes.get(endpoint).filter(|it| opened <= it.until);
        let since = known.map_or(opened, |it| it.since.min(opened));
        self.lifetimes.insert(endpoint.clone(), Lifetime { since, until: now });
        now.since(since)
    }

    /// Forgets endpoints that are not listed any more.
    pub fn retain_listed(&mut self, directory: &Directory) {
        self.lifetimes.retain(|name, _| directory.get(name).is_some());
    }
}

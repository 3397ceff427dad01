//! Calls to the platform's object API, behind a trait.

use siskinstile_core::store::{Answer, Call};

mod http;
mod limiter;

pub use http::Http;

/// A client of the platform.
pub trait Platform: Send + Sync {
    /// Makes a call and blocks until it is answered or has failed.
    ///
    /// Returns [`Answer::Lost`] if there was no answer or none that could be read.
    fn call(&self, call: &Call) -> Answer;
}

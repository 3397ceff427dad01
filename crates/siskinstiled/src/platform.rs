//! The platform behind a trait.

use siskinstile_core::store::{Answer, Call};

mod budget;
mod http;

pub use http::Http;

/// Calls the platform; blocks until the answer or the deadline.
pub trait Platform: Send + Sync {
    /// Carries out a call; [`Answer::Lost`] where no answer came.
    fn call(&self, call: &Call) -> Answer;
}

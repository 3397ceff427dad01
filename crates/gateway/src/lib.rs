//! The control logic of a gateway in front of prefill, decode and plain endpoints.
//!
//! A request to a plain service is one call to an endpoint, which may be retried or hedged. A
//! generation takes up to three calls to model engines: a hold reserves a slot and memory at a
//! decode engine, a prefill engine computes the prompt and keeps it under a handle, and the run at
//! the decode engine fetches the prompt and streams the generated tokens.
//!
//! [`State::step`] takes the current time and an [`Event`] and returns the [`Effect`]s that
//! adapters carry out. Nothing here reads a clock, opens a socket or starts a thread.

pub mod budget;
pub mod call;
pub mod catalog;
pub mod contact;
pub mod departure;
pub mod directory;
pub mod effect;
pub mod engine;
pub mod evacuation;
pub mod event;
pub mod handover;
pub mod health;
pub mod limit;
pub mod load;
pub mod member;
pub mod origin;
pub mod pace;
pub mod plain;
pub mod quota;
pub mod range;
pub mod reach;
pub mod record;
pub mod relay;
pub mod replication;
pub mod request;
pub mod residency;
pub mod state;
pub mod warm_up;

pub use catalog::Catalog;
pub use directory::Directory;
pub use effect::Effect;
pub use event::Event;
pub use siskinstile_core::{Instant, name_hash, object::Name, quarantine};
pub use state::State;

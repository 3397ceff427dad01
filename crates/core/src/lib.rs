//! Deterministic control logic of an instance, without I/O.
//!
//! [`State::step`] takes the current time and an [`Event`] and returns the [`Effect`]s that
//! adapters carry out. Nothing in this crate reads a clock, opens a socket, starts a thread or
//! draws an unseeded random number.

pub mod burn;
pub mod check;
pub mod chunk;
pub mod claim;
pub mod config;
pub mod effect;
pub mod error;
pub mod event;
pub mod fair;
pub mod fault;
pub mod hold;
pub mod key;
pub mod limit;
pub mod log;
pub mod manifest;
pub mod member;
pub mod name_hash;
pub mod object;
pub mod order;
pub mod place;
pub mod publish;
pub mod quarantine;
pub mod request;
pub mod retry;
pub mod splice;
pub mod state;
pub mod store;
pub mod sweep;
pub mod sync;
pub mod time;
pub mod trace;

pub use config::Config;
pub use effect::Effect;
pub use event::{Event, Query};
pub use object::Set;
pub use state::State;
pub use time::Instant;

//! Sockets, tasks and the platform's store around the decisions of a gateway.
//!
//! One thread runs everything: [`control::Control`] hands events to the reducer and carries out
//! its effects, [`frontend`] serves callers, [`calls`] calls endpoints, [`sync`] follows the platform's
//! store and [`peers`] the other instances. What is spoken with callers, endpoints and the store
//! is up to a [`protocol::Protocol`].

pub mod calls;
pub mod client;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod exchange;
pub mod frontend;
pub mod lease;
pub mod logger;
pub mod mirror;
pub mod peers;
pub mod protocol;
pub mod settings;
pub mod status;
pub mod store;
pub mod stream;
pub mod sync;

pub use daemon::Daemon;
pub use protocol::Protocol;
pub use settings::Settings;

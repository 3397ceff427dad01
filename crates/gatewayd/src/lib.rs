//! Input and output of a gateway: sockets, tasks and the platform's store.
//!
//! All decisions are made by the reducer in `siskinstile-gateway`. A single thread runs all tasks:
//! [`control::Control`] passes events to the reducer and carries out its effects, [`frontend`]
//! serves callers, [`calls`] calls endpoints, [`sync`] replicates the platform's store, and
//! [`peers`] exchanges messages with the other instances. A [`protocol::Protocol`] defines the
//! message formats of callers, endpoints and the store.

pub mod body;
pub mod calls;
pub mod client;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod descriptors;
pub mod exchange;
pub mod fault;
pub mod frontend;
pub mod handover;
pub mod lease;
pub mod listener;
pub mod logger;
pub mod memory;
pub mod mirror;
pub mod outgoing;
pub mod peers;
pub mod protocol;
pub mod settings;
pub mod startup;
pub mod status;
pub mod store;
pub mod stream;
pub mod sync;

pub use daemon::Daemon;
pub use protocol::Protocol;
pub use settings::Settings;

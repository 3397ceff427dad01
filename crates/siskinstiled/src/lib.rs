//! The daemon of siskinstile.
//!
//! One thread owns the control state ([`control`]); a tokio runtime serves callers ([`frontend`]),
//! operators ([`admin`]) and other instances ([`peer`]); worker threads ([`worker`]) make the
//! blocking calls to endpoints and the platform. All of them send events to the control thread,
//! which updates the state and executes the resulting effects.

pub mod admin;
pub mod control;
pub mod daemon;
pub mod endpoint;
pub mod frontend;
pub mod peer;
pub mod platform;
pub mod relay;
pub mod settings;
pub mod worker;

pub use daemon::Daemon;
pub use settings::Settings;

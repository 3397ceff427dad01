//! Stand-ins for the platform, model engines and plain services.
//!
//! Each listens on a free loopback port, speaks what `docs/protocols.md` says and stops when its
//! handle is dropped. [`Faults`] make it fail in chosen ways while it runs.

pub mod engine;
pub mod fault;
pub mod plain;
pub mod platform;

mod http;
mod relay;
mod server;

pub use engine::Engine;
pub use fault::Faults;
pub use plain::Plain;
pub use platform::Platform;

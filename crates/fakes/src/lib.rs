//! Fakes of the platform, model engines and plain services, for tests and the demo.
//!
//! Each fake listens on a free loopback port, implements its protocol from `docs/protocols.md` and
//! stops when its handle is dropped. [`Faults`] inject failures while it runs.

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

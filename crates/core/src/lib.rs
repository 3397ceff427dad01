//! The deterministic core: events in, effects out.
//!
//! Nothing here reads a clock, opens a socket, starts a thread or draws an unseeded random number.

pub mod check;
pub mod object;
pub mod time;

pub use object::Set;
pub use time::Instant;

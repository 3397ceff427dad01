//! Messages and frames between the instances of a fleet.
//!
//! Messages are hand-written structs with derived protobuf encodings, so the build needs no
//! generator. A frame is a message behind its length.

pub mod frame;
pub mod message;

pub use frame::Frame;
pub use message::{Body, Envelope};

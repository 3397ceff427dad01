//! The protocol between the instances of a fleet: messages and their framing.
//!
//! Messages are hand-written structs with derived protobuf encodings, so the build needs no code
//! generator. A frame is a message preceded by its length.

pub mod frame;
pub mod message;

pub use frame::Frame;
pub use message::{Body, Envelope};

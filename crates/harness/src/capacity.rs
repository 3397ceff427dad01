//! Slopes of the core's costs, and what they come to at the target size.
//!
//! [`measure`] runs the real reducer and counts time, bytes and memory for each kind of event,
//! message and object. [`model`] works out each role's load at the target size from the slopes that
//! are committed in `docs/capacity-slopes.toml`.

pub mod measure;
pub mod model;
pub mod rig;
pub mod slopes;
pub mod spread;

pub use slopes::Slopes;

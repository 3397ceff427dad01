//! Capacity model: cost of each event, message and object, and the resulting load at the target
//! size.
//!
//! [`measure`] runs the real reducer and measures time, bytes and memory for each kind of event,
//! message and object; these unit costs are called slopes. [`model`] computes the load of each role
//! at the target size from the slopes committed in `docs/capacity-slopes.toml`.

pub mod measure;
pub mod model;
pub mod rig;
pub mod slopes;
pub mod spread;

pub use slopes::Slopes;

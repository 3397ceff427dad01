//! Parts that listeners of the project share.

pub mod slots;

pub use slots::{Slot, Slots};

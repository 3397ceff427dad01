//! Components shared by the network listeners of the instances.

pub mod slots;

pub use slots::{Slot, Slots};

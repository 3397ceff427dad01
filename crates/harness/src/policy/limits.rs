//! The limiter under load and faults, beside an even split, no coordination and a central bucket.

mod baseline;
mod demand;
pub mod judge;
mod large;
pub mod mesh;
mod six;

pub use large::run as large;
pub use six::{faults, quiet};

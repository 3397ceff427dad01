//! Compares the rate limiter under load and faults with an even split, with no coordination and
//! with an ideal central bucket.

mod baseline;
mod demand;
mod large;
pub mod mesh;
pub mod oracle;
mod six;

pub use large::run as large;
pub use six::{with_faults, without_faults};

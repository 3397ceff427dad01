//! Parts that listeners of the project share.

pub mod places;

pub use places::{Place, Places};

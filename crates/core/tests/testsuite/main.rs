//! Tests of the core.

mod burn;
mod check;
mod log;

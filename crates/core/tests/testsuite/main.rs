//! Tests of the core.

mod check;
mod fair;
mod limit;
mod log;

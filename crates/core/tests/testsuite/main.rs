//! Tests of the core.

mod check;
mod claim;
mod log;
mod order;
mod retry;
mod sweep;

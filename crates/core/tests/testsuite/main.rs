//! Tests of the core.

mod attempts;
mod check;
mod claim;
mod log;
mod order;
mod retry;
mod sweep;

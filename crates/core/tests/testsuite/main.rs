//! Tests of the core.

mod attempts;
mod burn;
mod check;
mod claim;
mod log;
mod order;
mod place;
mod retry;
mod sweep;

//! Tests of the core.

mod attempts;
mod burn;
mod check;
mod claim;
mod fair;
mod fatal_requests;
mod limit;
mod log;
mod member;
mod order;
mod place;
mod retry;
mod sweep;

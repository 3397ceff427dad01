//! Tests of the core.

mod check;
mod log;
mod member;

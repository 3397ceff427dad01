//! Tests of the core.

mod check;

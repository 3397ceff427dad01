//! Tests of the whole path over real sockets.

mod demo;
mod fuzz;
mod fuzz_property;
mod world;

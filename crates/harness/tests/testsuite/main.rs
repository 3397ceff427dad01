//! Tests of the whole path over real sockets.

mod bench;
mod demo;
mod fuzz;
mod fuzz_property;
mod placement;
mod rollout;
mod world;

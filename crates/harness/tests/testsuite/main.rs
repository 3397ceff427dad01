//! Tests of the whole path over real sockets.

mod bench;
mod capacity;
mod demo;
mod distribution;
mod fuzz;
mod fuzz_property;
mod keys;
mod limits;
mod placement;
mod rollout;
mod world;

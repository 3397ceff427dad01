//! Integration tests: simulations on virtual time, and fleets over real sockets.

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

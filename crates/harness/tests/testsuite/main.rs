//! Tests of the whole path over real sockets.

mod bench;
mod demo;
mod fuzz;
mod placement;
mod rollout;
mod world;

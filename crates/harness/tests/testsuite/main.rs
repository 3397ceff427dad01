//! Tests of the whole path over real sockets.

mod demo;
mod fuzz;
mod placement;
mod rollout;
mod world;

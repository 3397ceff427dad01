//! Tests of the whole path over real sockets.

mod demo;
mod distribution;
mod keys;
mod rollout;
mod world;

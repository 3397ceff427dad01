//! Tests of the whole path over real sockets.

mod demo;
mod keys;
mod rollout;
mod world;

//! Tests of the whole path over real sockets.

mod demo;
mod placement;
mod world;

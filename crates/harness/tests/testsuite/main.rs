//! Tests of the whole path over real sockets.

mod bench;
mod demo;
mod world;

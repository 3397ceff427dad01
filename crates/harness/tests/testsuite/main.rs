//! Tests of the whole path over real sockets.

mod demo;
mod limits;
mod world;

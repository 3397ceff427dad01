//! Demo, benchmark, fuzz, policy and capacity commands.

pub mod bench;
pub mod client;
pub mod demo;
pub mod fleet;
pub mod policy;
pub mod world;

//! Demo, benchmark, fuzz, policy and capacity commands.

pub mod client;
pub mod demo;
pub mod fleet;
pub mod policy;
pub mod rollout;
pub mod world;

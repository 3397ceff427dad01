//! Library behind the demo, benchmark, fuzz, configuration, policy and capacity commands.

pub mod bench;
pub mod capacity;
pub mod client;
pub mod demo;
pub mod fleet;
pub mod fuzz;
pub mod policy;
pub mod rollout;
pub mod world;

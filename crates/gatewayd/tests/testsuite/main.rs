//! Tests of the gateway's adapters without a network.

mod archive;
mod descriptors;
mod fault;
mod listener;
mod logger;
mod memory;
mod mirror;
mod outgoing;
mod peers;
mod stream;

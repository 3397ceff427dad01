//! Tests of the daemon's adapters over loopback.

mod door;
mod peer;
mod platform;

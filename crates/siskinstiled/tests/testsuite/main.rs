//! Tests of the daemon's adapters over loopback.

mod peer;
mod platform;

//! The daemon of siskinstile.

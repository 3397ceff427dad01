//! The command line of siskinstile.

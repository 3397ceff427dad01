//! Tests of the daemon over loopback, against stand-ins for what is around it.

mod bad_input;
mod caller_gone;
mod check_settings;
mod errors;
mod frontend;
mod keys;
mod peer;
mod plain;
mod platform;
mod process;
mod silence;
mod site;
mod stream;

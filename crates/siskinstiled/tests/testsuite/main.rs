//! Tests of the daemon over loopback, against fakes of the platform, engines and plain services.

mod bad_input;
mod check_settings;
mod disconnect;
mod endless;
mod errors;
mod fixture;
mod frontend;
mod keys;
mod peer;
mod plain;
mod platform;
mod process;
mod stream;
mod unresponsive;

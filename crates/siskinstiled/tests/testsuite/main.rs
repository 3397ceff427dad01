//! Tests of the daemon over loopback, against stand-ins for what is around it.

mod check_settings;

//! Tests of the gateway's decisions; no clock, no network.

mod drain;
mod outcome;
mod quota;
mod site;

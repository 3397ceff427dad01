//! Heartbeats of peers, as bytes.
#![no_main]

#[allow(dead_code)]
#[path = "../../crates/gateway/tests/testsuite/site.rs"]
mod site;

use libfuzzer_sys::fuzz_target;
use prost::Message as _;
use siskinstile_gateway::Event;
use siskinstile_wire::message::heartbeat::Heartbeat;

use site::Site;

fuzz_target!(|data: &[u8]| {
    let mut site = Site::member(1, 3);
    for part in data.split(|it| *it == b'\n').take(4) {
        let Ok(heartbeat) = Heartbeat::decode(part) else { continue };
        site.post(Event::Heartbeat(heartbeat.into()));
        site.send("/lookup/");
        site.advance(300);
    }
});

//! Entries of endpoints and configurations, as the store holds them.
#![no_main]

#[allow(dead_code)]
#[path = "../../crates/gateway/tests/testsuite/site.rs"]
mod site;

use std::sync::Arc;

use libfuzzer_sys::fuzz_target;
use siskinstile_fuzz::codec;
use siskinstile_gateway::{Directory, Event};
use siskinstile_gatewayd::{
    Protocol as _,
    store::{Object, Position},
};

use site::Site;

fuzz_target!(|data: &[u8]| {
    let codec = codec();
    let mut site = Site::configured();
    let position = Position { era: 1, revision: 1 };
    let parts = data.split(|it| *it == b'\n').take(4);
    let values = parts.filter_map(|it| serde_json::from_slice(it).ok());
    let objects: Vec<Object> =
        values.map(|value| Object { name: "main".into(), position, value }).collect();
    if let Ok(catalog) = codec.read_catalog(&mut objects.iter()) {
        site.post(Event::Configured(Arc::new(catalog)));
    }
    let endpoints = objects.iter().filter_map(|it| codec.read_endpoint(it).ok());
    site.post(Event::EndpointsListed(Arc::new(Directory::new(endpoints).read_at(1 << 40))));
    site.send("/review-again/");
    site.send("/lookup/");
    site.advance(500);
});

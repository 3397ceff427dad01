//! The lines that tell what a new instance waits for.

use std::sync::Arc;

use serde_json::{Value, json};
use siskinstile_gateway::{Directory, Effect, Event, record};

use crate::site::{Site, catalog, endpoints};

/// Returns the fields of the lines with a code.
fn lines(site: &Site, number: u16) -> Vec<Value> {
    let records = site.effects.iter().filter_map(|it| match it {
        Effect::Log(record) if record.code.number == number => Some(record),
        _ => None,
    });
    let fields =
        |it: &record::Record| it.fields.iter().cloned().collect::<indexmap::IndexMap<_, _>>();
    records.map(|it| json!(fields(it))).collect()
}

/// Guards against a start of which the log does not tell what it waited for, and how long.
#[test]
fn start_phases_logged() {
    let mut site = Site::unconfigured();
    site.post(Event::Tick);
    site.advance(30);
    site.post(Event::Configured(Arc::new(catalog(1))));
    site.advance(40);
    assert!(lines(&site, record::READY.number).is_empty());
    site.post(Event::EndpointsListed(Arc::new(Directory::new(endpoints()))));
    site.advance(5_000);
    let phases =
        json!({ "configuration_ms": 30, "endpoints_ms": 70, "evacuations_ms": 0, "peers": 0 });
    assert_eq!(lines(&site, record::READY.number), [phases]);
    assert!(lines(&site, record::NOT_READY.number).is_empty());
}

/// Guards against an instance that is alive and not ready, and whose log does not tell why.
#[test]
fn missing_needs_logged() {
    let mut site = Site::unconfigured();
    site.post(Event::Tick);
    site.post(Event::Configured(Arc::new(catalog(1))));
    site.advance(4_500);
    let line = |waited| json!({ "missing": ["endpoints"], "waited_ms": waited, "peers": 0 });
    assert_eq!(lines(&site, record::NOT_READY.number), [line(2_000), line(4_000)]);
    assert!(!site.state.is_ready());
}

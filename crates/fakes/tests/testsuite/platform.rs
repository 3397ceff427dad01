//! Tests of the fake platform.

use std::thread;

use serde_json::json;
use siskinstile_fakes::Platform;

use crate::{call, wait_until};

#[test]
fn objects_conflict_and_removal() {
    let platform = Platform::spawn().unwrap();
    let address = platform.address();
    let object = "/objects/team/a%20b";
    assert_eq!(call(address, "PUT", &format!("{object}?if_version=0"), &json!({"w": 1})).0, 200);
    let refused = call(address, "PUT", &format!("{object}?if_version=0"), &json!({"w": 2}));
    assert_eq!(refused, (409, json!({"version": 1})));
    assert_eq!(call(address, "PUT", object, &json!({"w": 3})), (200, json!({"version": 2})));
    let expected = json!({"kind": "team", "name": "a b", "version": 2, "value": {"w": 3}});
    assert_eq!(call(address, "GET", object, &json!(null)), (200, expected.clone()));
    let list = call(address, "GET", "/objects/team", &json!(null)).1;
    assert_eq!(list, json!({"revision": 2, "objects": [expected]}));
    assert_eq!(call(address, "DELETE", &format!("{object}?if_version=1"), &json!(null)).0, 409);
    assert_eq!(call(address, "DELETE", object, &json!(null)), (200, json!({})));
    assert_eq!(call(address, "DELETE", object, &json!(null)).0, 404);
    let counters = call(address, "GET", "/counters", &json!(null)).1;
    assert_eq!(counters, json!({"put": 3, "get": 1, "list": 1, "delete": 3}));
}

#[test]
fn watch_event_and_truncation() {
    let platform = Platform::spawn_with_history_limit(2).unwrap();
    let address = platform.address();
    let watch = thread::spawn(move || {
        call(address, "GET", "/watch?kinds=team,key&since=0&wait_ms=8000", &json!(null))
    });
    wait_until("watch", || platform.counters().contains_key("watch"));
    call(address, "PUT", "/objects/pool/p", &json!(0));
    call(address, "PUT", "/objects/team/t", &json!(1));
    let event = json!({"kind": "team", "name": "t", "version": 2, "value": 1});
    assert_eq!(watch.join().unwrap(), (200, json!({"revision": 2, "events": [event]})));
    call(address, "DELETE", "/objects/team/t", &json!(null));
    assert_eq!(call(address, "GET", "/watch?kinds=team&since=0&wait_ms=0", &json!(null)).0, 410);
    let removal = call(address, "GET", "/watch?kinds=team&since=2&wait_ms=0", &json!(null)).1;
    assert_eq!(removal["events"][0]["value"], json!(null));
    assert_eq!(removal["events"][0]["version"], 3);
}

#[test]
fn instances_added_and_removed() {
    let platform = Platform::spawn().unwrap();
    let address = platform.address();
    let record = json!({
        "name": "i1", "address": "127.0.0.1:1", "admin": "127.0.0.1:2", "datacentre": "d1",
        "incarnation": 1, "state": "live",
    });
    let list = || call(address, "GET", "/instances", &json!(null)).1;
    assert_eq!(call(address, "PUT", "/instances/i1", &record), (200, json!({})));
    assert_eq!(list(), json!({"instances": [record]}));
    assert_eq!(call(address, "DELETE", "/instances/i1", &json!(null)), (200, json!({})));
    assert_eq!(list(), json!({"instances": []}));
}

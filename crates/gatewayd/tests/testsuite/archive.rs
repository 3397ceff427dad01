//! Differences between versions of a large object.

use serde_json::{Value, json};
use siskinstile_gatewayd::{
    store::{Object, Position},
    sync::archive::{Archive, Difference},
};

/// Returns version `version` of an object with that many routes.
fn object(version: u64, routes: u64) -> Object {
    let route = |number: u64| {
        // Names without a pattern, as the operators' are.
        let name = number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17) >> 20;
        json!({ "name": format!("r-{name:x}"), "host": "board.example", "kind": "safe",
            "path_prefix": format!("/{name:x}/"), "service": "registry", "timeout_ms": 800,
            "target_latency_ms": 300, "attempts": 2, "priority": 2, "public": false })
    };
    let routes: Vec<Value> = (0..routes).map(route).collect();
    Object {
        name: "main".into(),
        position: Position::new(1, version),
        value: json!({ "version": version, "routes": routes }),
    }
}

/// Returns an archive of the given versions.
fn archive(versions: &[Object]) -> Archive {
    let mut archive = Archive::default();
    archive.record(versions.iter());
    archive
}

/// Compresses the last of the versions for a peer that has the given ones, and returns it with the
/// object that the peer makes of it.
fn transfer(versions: &[Object], held: &[Object]) -> (Difference, Value) {
    let receiver = archive(held);
    let target = versions.last().expect("a version");
    let difference = archive(versions).encode(target, &receiver.versions()).expect("a large one");
    let text = receiver.decode(&target.name, &difference).expect("what was sent");
    (difference, serde_json::from_slice(&text).expect("an object"))
}

/// Guards against changes that cost as much as all that there is: one that changes the version only
/// is sent in a few bytes, and one that adds a tenth in a small part of the whole.
#[test]
fn encode_change() {
    let versions = [object(1, 1_400), object(2, 1_400), object(3, 1_540)];
    let (whole, value) = transfer(&versions, &[]);
    assert_eq!((whole.base, value), (None, versions[2].value.clone()));
    let (idle, value) = transfer(&versions[..2], &versions[..1]);
    assert_eq!(value, versions[1].value);
    assert!(idle.bytes.len() < 500, "{}", idle.bytes.len());
    let (tenth, value) = transfer(&versions, &versions[..2]);
    assert_eq!(value, versions[2].value);
    assert!(tenth.bytes.len() * 5 < whole.bytes.len(), "{}", tenth.bytes.len());
    assert!(whole.bytes.len() * 4 < whole.text_bytes, "{}", whole.bytes.len());
}

/// A peer that has missed versions, or has one that is not known here, gets what it can read.
#[test]
fn encode_for_other_versions() {
    let all = [object(1, 300), object(2, 310), object(3, 320), object(4, 330)];
    let (skipped, value) = transfer(&all[1..], &all[1..2]);
    assert_eq!((skipped.base, value), (Some(Position::new(1, 2)), all[3].value.clone()));
    let (unknown, value) = transfer(&all[1..], &all[..1]);
    assert_eq!((unknown.base, value), (None, all[3].value.clone()));
}

/// What cannot be read is noticed: an earlier version that is missing or differs, or other bytes.
#[test]
fn decode_damaged() {
    let versions = [object(1, 300), object(2, 310)];
    let mut sender = archive(&versions);
    let receiver = archive(&versions[..1]);
    let mut difference = sender.encode(&versions[1], &receiver.versions()).expect("a large one");
    let name = &versions[1].name;
    assert!(Archive::default().decode(name, &difference).is_err(), "no earlier version");
    let other = Object { value: object(1, 301).value, ..versions[0].clone() };
    assert!(archive(&[other]).decode(name, &difference).is_err(), "another text");
    difference.text_bytes -= 1;
    assert!(receiver.decode(name, &difference).is_err(), "another size");
    difference.bytes = difference.bytes[..20].into();
    assert!(receiver.decode(name, &difference).is_err(), "a part");
}

/// Small objects are sent as they are.
#[test]
fn encode_small() {
    let small = object(1, 2);
    assert!(archive(std::slice::from_ref(&small)).encode(&small, &[]).is_none());
}

//! Tests of the validation of a set.

use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};
use siskinstile_core::Set;
use siskinstile_core::check::check;
use siskinstile_core::object::Kind;

/// Upper bound on the duration of a validation in release builds; debug builds have no bound.
const RELEASE_LIMIT: Duration = Duration::from_millis(100);

fn endpoint(name: &str, port: u16, role: &str) -> Value {
    let address = format!("127.0.0.1:{port}");
    json!({"name": name, "address": address, "datacentre": "a", "role": role, "places": 4})
}

fn objects() -> Vec<(Kind, Value)> {
    let endpoints = [endpoint("p1", 1, "prefill"), endpoint("d1", 2, "decode")];
    vec![
        (Kind::Service, json!({"name": "s", "workload": "model", "models": ["m"]})),
        (Kind::Service, json!({"name": "r", "workload": "plain"})),
        (Kind::Team, json!({"name": "t", "rate": 100, "burst": 200, "offline_grace_s": 5})),
        (Kind::Key, key("k", "t", 1)),
        (Kind::Key, key("l", "t", 2)),
        (
            Kind::Route,
            json!({"name": "c", "service": "s", "pool": "sp", "model": "m", "urgency": "patient",
                "idempotent": true, "first_token_ms": 10}),
        ),
        (Kind::Route, plain_route("x", Some("GET"))),
        (Kind::Route, plain_route("y", Some("POST"))),
        (Kind::Pool, json!({"name": "sp", "service": "s", "endpoints": endpoints})),
        (
            Kind::Pool,
            json!({"name": "rp", "service": "r", "endpoints": [endpoint("r1", 3, "plain")]}),
        ),
    ]
}

fn key(name: &str, team: &str, number: u64) -> Value {
    let hash = format!("{number:064x}");
    json!({"name": name, "team": team, "salt": "00".repeat(16), "hash": hash})
}

fn plain_route(name: &str, method: Option<&str>) -> Value {
    json!({"name": name, "service": "r", "pool": "rp", "method": method, "path": "/x",
        "urgency": "urgent", "idempotent": false, "first_token_ms": 10})
}

/// Returns the valid set with one field of one object replaced or added.
fn changed(kind: Kind, name: &str, pointer: &str, to: Value) -> Set {
    let mut set = Set::default();
    for (it, mut value) in objects() {
        if it == kind && value["name"] == name {
            match value.pointer_mut(pointer) {
                Some(field) => *field = to.clone(),
                None => value[&pointer[1..]] = to.clone(),
            }
        }
        set.insert(it, value).unwrap();
    }
    set
}

fn lines(set: &Set) -> Vec<String> {
    check(set).iter().map(ToString::to_string).collect()
}

#[test]
fn check_valid() {
    assert_eq!(lines(&changed(Kind::Team, "t", "/rate", json!(100))), Vec::<String>::new());
}

#[rstest]
#[case::key_team(Kind::Key, "k", "/team", json!("z"), "key `k`, team: there is no team `z`")]
#[case::route_service(Kind::Route, "c", "/service", json!("z"), "service: there is no service")]
#[case::route_pool(Kind::Route, "c", "/pool", json!("z"), "pool: there is no pool")]
#[case::pool_service(Kind::Pool, "sp", "/service", json!("z"), "service: there is no service")]
#[case::pool_of_other(Kind::Route, "c", "/pool", json!("rp"), "pool `rp` runs service `r`")]
#[case::model_not_served(Kind::Route, "c", "/model", json!("z"), "does not serve `z`")]
#[case::model_missing(Kind::Route, "c", "/model", json!(null), "needs a model")]
#[case::model_path(Kind::Route, "c", "/path", json!("/x"), "path: does not belong")]
#[case::model_method(Kind::Route, "c", "/method", json!("GET"), "method: does not belong")]
#[case::model_once(Kind::Route, "c", "/idempotent", json!(false), "a completion is idempotent")]
#[case::plain_model(Kind::Route, "x", "/model", json!("m"), "model: does not belong")]
#[case::plain_path(Kind::Route, "x", "/path", json!("x"), "starts with `/`")]
#[case::plain_no_path(Kind::Route, "x", "/path", json!(null), "starts with `/`")]
#[case::plain_method(Kind::Route, "x", "/method", json!("get"), "no HTTP method")]
#[case::same_method(Kind::Route, "y", "/method", json!("GET"), "route `x` takes the same")]
#[case::any_method(Kind::Route, "y", "/method", json!(null), "route `x` takes the same")]
#[case::any_first(Kind::Route, "x", "/method", json!(null), "route `x` takes the same")]
#[case::same_model(Kind::Route, "x", "", json!({"name": "x", "service": "s", "pool": "sp",
    "model": "m", "urgency": "urgent", "idempotent": true, "first_token_ms": 1}),
    "route `c` takes the same")]
#[case::target(Kind::Route, "c", "/first_token_ms", json!(0), "first_token_ms: is 0")]
#[case::body_limit(Kind::Route, "c", "/body_limit", json!((64 << 20) + 1), "body_limit: is")]
#[case::role(Kind::Pool, "rp", "/endpoints/0/role", json!("decode"), "endpoints[0].role")]
#[case::no_prefill(Kind::Pool, "sp", "/endpoints/0/role", json!("decode"), "one prefill")]
#[case::no_decode(Kind::Pool, "sp", "/endpoints/1/role", json!("prefill"), "one decode")]
#[case::places(Kind::Pool, "sp", "/endpoints/1/places", json!(0), "endpoints[1].places: is 0")]
#[case::address(Kind::Pool, "rp", "/endpoints/0/address", json!("host:1"), "give IP:PORT")]
#[case::same_address(Kind::Pool, "rp", "/endpoints/0/address", json!("127.0.0.1:1"), "`p1`")]
#[case::same_endpoint(Kind::Pool, "rp", "/endpoints/0/name", json!("p1"), "pool `sp` has")]
#[case::weight(Kind::Team, "t", "/weight", json!(0), "weight: is 0")]
#[case::rate(Kind::Team, "t", "/rate", json!(0), "rate: is 0")]
#[case::burst(Kind::Team, "t", "/burst", json!(0), "burst: is 0")]
#[case::grace(Kind::Team, "t", "/offline_grace_s", json!(0), "offline_grace_s: is 0")]
#[case::capacity(Kind::Team, "t", "/rate", json!(20_001), "prefill 20000 tokens")]
#[case::cost(Kind::Route, "x", "/cost", json!(201), "route `x` costs 201")]
#[case::objective_low(Kind::Service, "s", "/objective_percent", json!(49.9), "from 50")]
#[case::objective_high(Kind::Service, "s", "/objective_percent", json!(100.0), "from 50")]
#[case::no_models(Kind::Service, "s", "/models", json!([]), "at least one model")]
#[case::plain_models(Kind::Service, "r", "/models", json!(["m"]), "has no models")]
#[case::salt(Kind::Key, "k", "/salt", json!("00".repeat(15)), "salt: is no salt")]
#[case::hash(Kind::Key, "k", "/hash", json!("00".repeat(31)), "hash: is no SHA-256")]
#[case::same_hash(Kind::Key, "l", "/hash", key("k", "t", 1)["hash"].clone(), "of key `k`")]
#[case::name(Kind::Key, "k", "/name", json!("A.b"), "`A.b` is no name")]
#[case::name_long(Kind::Key, "k", "/name", json!("a".repeat(64)), "is no name")]
#[case::large(Kind::Route, "x", "/path", json!(format!("/{}", "a".repeat(1_000_000))), "bytes")]
fn check_violation(
    #[case] kind: Kind,
    #[case] name: &str,
    #[case] pointer: &str,
    #[case] to: Value,
    #[case] expected: &str,
) {
    let found = lines(&changed(kind, name, pointer, to));
    assert!(found.iter().any(|line| line.contains(expected)), "{found:#?}");
}

#[test]
fn check_all_at_once() {
    let mut set = changed(Kind::Team, "t", "/weight", json!(0));
    set.keys.get_mut("k").unwrap().team = "z".into();
    set.pools.get_mut("rp").unwrap().endpoints[0].slots = 0;
    assert_eq!(lines(&set).len(), 3, "{:#?}", lines(&set));
}

#[test]
fn check_large() {
    let mut set = changed(Kind::Team, "t", "/rate", json!(100));
    for number in 0..7_600 {
        let team = json!({"name": format!("t{number}"), "rate": 100, "burst": 200});
        set.insert(Kind::Team, team).unwrap();
    }
    for number in 0..20_000 {
        let team = format!("t{}", number % 7_600);
        set.insert(Kind::Key, key(&format!("k{number}"), &team, number + 10)).unwrap();
    }
    let start = Instant::now();
    assert_eq!(lines(&set), Vec::<String>::new());
    let elapsed = start.elapsed();
    println!("checked in {elapsed:?}");
    assert!(cfg!(debug_assertions) || elapsed < RELEASE_LIMIT, "took {elapsed:?}");
}

//! Tests of the fake model engine.

use std::thread;

use serde_json::{Value, json};
use siskinstile_fakes::{
    Engine,
    engine::{Config, Role, hash16, token_at},
};

use crate::{call, stream, wait_until};

const REQUEST: &str = "00000000000000a1";

fn prefill(config: Config) -> Engine {
    Engine::spawn(Config { name: "pre-1".into(), role: Role::Prefill, ..config }).unwrap()
}

fn decode(config: Config) -> Engine {
    Engine::spawn(Config { name: "dec-1".into(), role: Role::Decode, ..config }).unwrap()
}

fn compute(engine: &Engine, prompt: &str) -> Value {
    let body =
        json!({"request": REQUEST, "attempt": 1, "model": "m", "prompt": prompt, "priority": 0});
    let (status, answer) = call(engine.address(), "POST", "/prefill", &body);
    assert_eq!(status, 200);
    answer
}

fn import(from: &Engine, to: &Engine, kv: &Value, attempt: u64, max_tokens: u64) -> u16 {
    let body = json!({
        "request": REQUEST, "attempt": attempt, "model": "m", "kv": kv["kv"],
        "from": from.address().to_string(), "tokens": kv["tokens"], "max_tokens": max_tokens,
        "priority": 0,
    });
    call(to.address(), "POST", "/import", &body).0
}

fn indices(events: &[Value]) -> Vec<u64> {
    events.iter().filter_map(|it| it["index"].as_u64()).collect()
}

#[test]
fn decode_complete() {
    let (pre, dec) = (prefill(Config::default()), decode(Config::default()));
    let kv = compute(&pre, "hello");
    assert_eq!(kv["tokens"], 2);
    assert_eq!(import(&pre, &dec, &kv, 1, 3), 200);
    assert_eq!(dec.holds(), [(REQUEST.to_owned(), 1)]);
    let (events, clean) =
        stream(dec.address(), &json!({"request": REQUEST, "attempt": 1, "from_index": 0}));
    assert!(clean);
    assert_eq!(indices(&events), [0, 1, 2]);
    assert_eq!(events[1]["token"], token_at(hash16("hello"), 1));
    assert_eq!(events[3], json!({"end": "length", "tokens": 3}));
    wait_until("no holds", || dec.holds().is_empty());
    assert_eq!((pre.prefills(), dec.decoded_tokens()), (1, 3));
}

#[test]
fn decode_resumed() {
    let (pre, dec) = (prefill(Config::default()), decode(Config::default()));
    let kv = compute(&pre, "hello");
    assert_eq!(import(&pre, &dec, &kv, 1, 5), 200);
    dec.faults().break_streams_after(2, 1);
    let mut body = json!({"request": REQUEST, "attempt": 1, "from_index": 0});
    let (events, _) = stream(dec.address(), &body);
    assert_eq!(indices(&events), [0, 1]);
    assert_eq!(events.len(), 2);
    body["from_index"] = json!(1);
    let (events, _) = stream(dec.address(), &body);
    assert_eq!(indices(&events), [1, 2, 3, 4]);
    assert_eq!(dec.decoded_tokens(), 5);
}

#[test]
fn cancel_streaming_decode() {
    let (pre, dec) = (prefill(Config::default()), decode(Config::default()));
    let kv = compute(&pre, "hello");
    assert_eq!(import(&pre, &dec, &kv, 1, 1_000_000), 409);
    assert_eq!(import(&pre, &dec, &kv, 1, 50_000), 200);
    assert_eq!(import(&pre, &dec, &kv, 2, 60_000), 409);
    let address = dec.address();
    let reader =
        thread::spawn(move || stream(address, &json!({"request": REQUEST, "attempt": 1})).0);
    wait_until("tokens", || dec.decoded_tokens() > 1);
    let cancelled = call(address, "POST", "/cancel", &json!({"request": REQUEST}));
    assert_eq!(cancelled, (200, json!({"held": true})));
    let events = reader.join().unwrap();
    assert!(events.iter().all(|it| it["end"].is_null()));
    assert!(dec.holds().is_empty());
    assert_eq!(dec.cancelled(), 1);
    assert_eq!(call(address, "POST", "/cancel", &json!({"request": REQUEST})).1["held"], false);
}

#[test]
fn kv_cache_and_hold_expired() {
    let pre = prefill(Config { eviction_ms: 300, ..Config::default() });
    let dec = decode(Config { decode_wait_ms: 50, ..Config::default() });
    let kv = compute(&pre, "hello");
    assert_eq!(import(&pre, &dec, &kv, 1, 5), 200);
    wait_until("hold expired", || dec.holds().is_empty());
    let path = format!("/kv/{}", kv["kv"].as_str().unwrap());
    wait_until("eviction", || call(pre.address(), "GET", &path, &json!(null)).0 == 410);
    assert_eq!(import(&pre, &dec, &kv, 2, 5), 410);
    assert!(dec.holds().is_empty());
}

#[test]
fn decode_caller_disconnected() {
    let (pre, dec) = (prefill(Config::default()), decode(Config::default()));
    let decode_body = json!({"request": REQUEST, "attempt": 1, "from_index": 0});
    let kv = compute(&pre, "hello");
    assert_eq!(import(&pre, &dec, &kv, 1, 50_000), 200);
    let answer = attohttpc::post(format!("http://{}/decode", dec.address()))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .json(&decode_body)
        .unwrap()
        .send()
        .unwrap();
    drop(answer);
    let load = || call(dec.address(), "GET", "/load", &json!(null)).1;
    wait_until("stream ended", || load()["running"] == 0 && dec.decoded_tokens() > 0);
    assert_eq!(load()["holds"], json!([{"request": REQUEST, "attempt": 1}]));
}

#[test]
fn prefill_cache_evicts() {
    let pre = prefill(Config { prefix_memory: 1_000, ..Config::default() });
    let prompt = "a".repeat(5_000);
    assert_eq!(compute(&pre, &prompt)["cached"], 0);
    assert_eq!(compute(&pre, &prompt)["cached"], 1_000);
    compute(&pre, &"b".repeat(4_000));
    assert_eq!(compute(&pre, &prompt)["cached"], 0);
    let events = call(pre.address(), "GET", "/events?since=0", &json!(null)).1;
    let cached: Vec<bool> = events["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|it| it["cached"].as_bool().unwrap())
        .collect();
    let expected = [true, true, true, true, false, false, true, true, false, false];
    assert_eq!(cached, expected);
    assert_eq!(events["next"], 10);
}

#[test]
fn order_outdated_fence() {
    for (fences, status) in [(true, 412), (false, 200)] {
        let engine = prefill(Config { fences, ..Config::default() });
        let order = |fence, order| {
            call(engine.address(), "POST", "/order", &json!({"fence": fence, "order": order})).0
        };
        assert_eq!(order(5, json!({"load": "m2"})), 200);
        assert_eq!(order(4, json!({"role": "decode"})), status);
        assert_eq!(engine.models(), ["m2"]);
        assert_eq!(engine.role() == Role::Decode, !fences);
    }
}

#[test]
fn events_delayed_and_dropped() {
    let pre = prefill(Config::default());
    let events = || call(pre.address(), "GET", "/events?since=0", &json!(null)).1;
    pre.faults().set_drop_events(true);
    compute(&pre, &"a".repeat(2_000));
    pre.faults().set_drop_events(false);
    compute(&pre, &"b".repeat(2_000));
    assert_eq!(events()["events"][0]["seq"], 1);
    pre.faults().set_event_delay_ms(3_600_000);
    assert_eq!(events(), json!({"next": 0, "events": []}));
}

#[test]
fn load_delayed() {
    let pre = prefill(Config::default());
    let dec = decode(Config { load_lag_ms: 400, ..Config::default() });
    let kv = compute(&pre, "hello");
    assert_eq!(import(&pre, &dec, &kv, 1, 5), 200);
    let holds = || call(dec.address(), "GET", "/load", &json!(null)).1["holds"].clone();
    wait_until("hold shown", || holds() != json!([]));
    call(dec.address(), "POST", "/cancel", &json!({"request": REQUEST, "attempt": 1}));
    assert!(dec.holds().is_empty());
    wait_until("end of hold shown", || holds() == json!([]));
}

#[test]
fn cancel_waiting_prefill() {
    let pre = prefill(Config { slots: 1, prefill_rate: 1, ..Config::default() });
    let address = pre.address();
    let callers: Vec<_> = (1..=2)
        .map(|attempt| {
            let body = json!({
                "request": REQUEST, "attempt": attempt, "model": "m", "prompt": "x".repeat(400),
            });
            thread::spawn(move || call(address, "POST", "/prefill", &body).0)
        })
        .collect();
    let load = || call(address, "GET", "/load", &json!(null)).1;
    wait_until("queue", || load()["running"] == 1 && load()["queued"] == 1);
    call(address, "POST", "/cancel", &json!({"request": REQUEST}));
    for caller in callers {
        assert_eq!(caller.join().unwrap(), 409);
    }
    assert_eq!(load()["running"], 0);
    assert_eq!(pre.prefills(), 0);
}

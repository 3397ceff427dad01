//! Tests of `key new`.

use siskinctl::Code;

use crate::run;

#[test]
fn new_hash_matches() {
    let (code, out) = run(&["--output", "json", "key", "new", "--team", "t", "k"]);
    assert_eq!(code, Code::Success);
    let output: serde_json::Value = serde_json::from_str(&out).unwrap();
    let secret = output["key"].as_str().unwrap().strip_prefix("k.").unwrap();
    let salt = hex::decode(output["object"]["salt"].as_str().unwrap()).unwrap();
    assert_eq!(output["object"]["hash"], siskinstile_core::key::hash(&salt, secret));
}

#[test]
fn new_invalid_name() {
    assert_eq!(run(&["key", "new", "--team", "t", "a.b"]), (Code::Refused, String::new()));
}

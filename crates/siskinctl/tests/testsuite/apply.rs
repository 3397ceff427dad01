//! Tests of `apply`, `get` and `status` against a minimal platform.

use std::net::TcpListener;

use serde_json::json;
use siskinctl::Code;

use crate::platform::{Objects, spawn};
use crate::{example, run};

#[test]
fn apply_writes_changed_only() {
    let objects = Objects::default();
    let address = spawn(objects.clone());
    let line = ["apply", &example("board"), "--platform", &address];
    let (code, out) = run(&line);
    assert_eq!((code, out.lines().count()), (Code::Success, 18), "{out}");
    assert_eq!(run(&line), (Code::Success, String::new()));
    objects.lock().unwrap()["team/colleges"].1["weight"] = json!(1);
    assert_eq!(run(&line), (Code::Success, "team colleges written\n".to_owned()));
}

#[test]
fn apply_prune_removes() {
    let objects = Objects::default();
    let address = spawn(objects.clone());
    let extra = json!({"name": "old", "rate": 1, "burst": 100});
    objects.lock().unwrap().insert("team/old".to_owned(), (1, extra));
    let mut line = vec!["apply", "--platform", &address];
    let dir = example("board");
    line.push(&dir);
    assert!(!run(&line).1.contains("old"));
    line.push("--prune");
    assert_eq!(run(&line), (Code::Success, "team old removed\n".to_owned()));
}

#[test]
fn apply_violation_refused() {
    let objects = Objects::default();
    let address = spawn(objects.clone());
    let extra = json!({"name": "old", "rate": 0, "burst": 100});
    objects.lock().unwrap().insert("team/old".to_owned(), (1, extra));
    let (code, out) = run(&["apply", &example("board"), "--platform", &address]);
    assert_eq!(code, Code::Refused);
    assert!(out.contains("team `old`, rate"), "{out}");
    assert_eq!(objects.lock().unwrap().len(), 1);
}

#[test]
fn apply_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let (code, _) = run(&["apply", &example("board"), "--platform", &address]);
    assert_eq!(code, Code::Unreachable);
}

#[test]
fn get_toml() {
    let objects = Objects::default();
    let team = json!({"name": "t", "rate": 1, "burst": 100});
    objects.lock().unwrap().insert("team/t".to_owned(), (7, team));
    let address = spawn(objects);
    let (code, out) = run(&["get", "team", "t", "--platform", &address]);
    assert_eq!(code, Code::Success);
    assert!(out.starts_with("# version 7\n[[team]]\n"), "{out}");
    assert_eq!(run(&["get", "team", "z", "--platform", &address]).0, Code::Refused);
}

#[test]
fn status_one_kind() {
    let objects = Objects::default();
    for name in ["team.t", "pool.p"] {
        let status = json!({"revision": 3});
        objects.lock().unwrap().insert(format!("status/{name}"), (1, status));
    }
    let address = spawn(objects);
    let (code, out) = run(&["status", "team", "--platform", &address]);
    assert_eq!((code, out.as_str()), (Code::Success, "team.t {\"revision\":3}\n"));
}

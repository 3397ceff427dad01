//! Tests of the fake plain service.

use serde_json::json;
use siskinstile_fakes::{Plain, plain::Config};

use crate::call;

#[test]
fn plain_echoes_and_counts() {
    let plain = Plain::spawn(Config { name: "p1".into(), delay_ms: 0 }).unwrap();
    let (status, answer) = call(plain.address(), "PATCH", "/a/b?c=d", &json!({"x": 1}));
    assert_eq!(status, 200);
    assert_eq!(answer["endpoint"], "p1");
    assert_eq!(answer["method"], "PATCH");
    assert_eq!(answer["path"], "/a/b?c=d");
    assert_eq!(answer["body"], r#"{"x":1}"#);
    assert_eq!(answer["count"], 1);
    assert_eq!(plain.runs(), [""]);
    assert!(plain.transcripts()[0].starts_with("PATCH /a/b?c=d HTTP/1.1\r\n"));
}

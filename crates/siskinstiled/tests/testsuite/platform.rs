//! Results of calls to the platform.

use serde_json::json;
use siskinstile_core::store::{Answer, Call};
use siskinstile_fakes::Platform as Fake;
use siskinstiled::platform::{Http, Platform as _};

fn claim() -> Call {
    Call::Put { kind: "claim".into(), name: "c".into(), value: json!(1), if_version: Some(0) }
}

#[test]
fn call_answered() {
    let fake = Fake::spawn().unwrap();
    let client = Http::new(fake.address(), 1);
    assert!(matches!(client.call(&claim()), Answer::Written { .. }));
    assert_eq!(client.call(&claim()), Answer::Conflict);
}

#[test]
fn call_timed_out() {
    let fake = Fake::spawn().unwrap();
    fake.faults().set_delay_ms(10_000);
    let client = Http::new(fake.address(), 1);
    assert_eq!(client.call(&claim()), Answer::Lost);
}

#[test]
fn call_unreachable() {
    let address = Fake::spawn().unwrap().address();
    assert_eq!(Http::new(address, 1).call(&Call::Instances), Answer::Lost);
}

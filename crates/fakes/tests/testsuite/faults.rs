//! Tests of the injected faults.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use serde_json::json;
use siskinstile_fakes::{Plain, Platform, plain::Config};

use crate::{call, try_call, wait_until};

#[test]
fn drop_answers_takes_effect() {
    let platform = Platform::spawn().unwrap();
    let address = platform.address();
    platform.faults().drop_answers("/objects", 1);
    assert!(try_call(address, "PUT", "/objects/team/t", &json!(1)).is_err());
    assert_eq!(call(address, "GET", "/objects/team/t", &json!(null)).1["version"], 1);
}

#[test]
fn refuse_has_no_effect() {
    let platform = Platform::spawn().unwrap();
    let address = platform.address();
    platform.faults().refuse("/objects", 1, 503);
    assert_eq!(call(address, "PUT", "/objects/team/t", &json!(1)).0, 503);
    assert_eq!(call(address, "GET", "/objects/team/t", &json!(null)).0, 404);
}

#[test]
fn stall_cleared() {
    let plain = Plain::spawn(Config::default()).unwrap();
    plain.faults().set_stall(true);
    let address = plain.address();
    let caller = thread::spawn(move || call(address, "GET", "/", &json!(null)).0);
    wait_until("run", || plain.runs().len() == 1);
    assert!(!caller.is_finished());
    plain.faults().set_stall(false);
    assert_eq!(caller.join().unwrap(), 200);
}

#[test]
fn mute_open_connections_only() {
    let plain = Plain::spawn(Config::default()).unwrap();
    let mut open = TcpStream::connect(plain.address()).unwrap();
    let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    open.write_all(request).unwrap();
    assert!(open.read(&mut [0; 4_096]).unwrap() > 0);
    plain.faults().mute_connections();
    open.write_all(request).unwrap();
    wait_until("run", || plain.runs().len() == 2);
    assert_eq!(call(plain.address(), "GET", "/", &json!(null)).0, 200);
    open.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(open.read(&mut [0; 4_096]).is_err());
}

#[test]
fn drop_refuses_connections() {
    let plain = Plain::spawn(Config::default()).unwrap();
    let address = plain.address();
    drop(plain);
    assert!(TcpStream::connect(address).is_err());
}

//! Bytes that are buffered for callers and endpoints that read slowly.
//!
//! Guards against a process that runs out of memory although each caller and each endpoint has a
//! limit of its own: many of them that read slowly at once, or do not read at all.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{HeaderMap, Request, Response, StatusCode, http::request};
use rstest::rstest;
use siskinstile_gateway::request::Id;
use siskinstile_gatewayd::{
    body::{Buffer, Fault, Held},
    exchange::{Body, Stream, Table, Unwritten},
    memory::Memory,
};
use tokio::{sync::oneshot, time};

/// Budget of the tests.
const BUDGET: usize = 1 << 20;
/// Size of one event.
const EVENT: usize = 16 << 10;
/// Limit on the time until a slow caller is cut off.
const MAX_CUT_TIME: Duration = Duration::from_secs(4);

fn head() -> request::Parts {
    Request::new(()).into_parts().0
}

fn open(table: &Table, memory: &Memory, id: u64) -> oneshot::Receiver<Response<Body>> {
    table.open(Id(id), ("id".into(), false), head(), Buffer::new(memory))
}

/// Starts a stream; its caller reads only what the test polls from the response.
fn stream(table: &Rc<Table>, memory: &Memory, id: u64) -> (Stream, Response<Body>) {
    let mut response = open(table, memory, id);
    let stream = table.start_stream(Id(id), (StatusCode::OK, HeaderMap::new()));
    (stream.expect("the request is open"), response.try_recv().expect("the head is known"))
}

fn event() -> Bytes {
    Bytes::from(vec![b'x'; EVENT])
}

/// Writes events until one is not taken at once.
async fn fill(stream: &mut Stream) {
    let write = async { while stream.write(event()).await.is_ok() {} };
    let _ = time::timeout(Duration::from_millis(10), write).await;
}

/// Two hundred callers that do not read share the budget, and each of them is cut off while it is
/// exceeded.
#[tokio::test]
async fn streams_unread() {
    let memory = Memory::with_limit(BUDGET);
    let table = Table::new(memory.clone());
    let mut streams: Vec<_> = (0..200).map(|it| stream(&table, &memory, it)).collect();
    for (stream, _) in &mut streams {
        fill(stream).await;
    }
    // A caller without unread events gets one even beyond the budget.
    assert!(memory.used() <= BUDGET + streams.len() * EVENT, "{}", memory.used());
    let result = time::timeout(MAX_CUT_TIME, streams[0].0.write(event())).await;
    assert_eq!(result.expect("cut off in time"), Err(Unwritten::TooSlow));
}

/// A caller that reads is served while others hold the budget.
#[tokio::test]
async fn streams_read() {
    let memory = Memory::with_limit(BUDGET);
    let table = Table::new(memory.clone());
    let mut unread: Vec<_> = (0..200).map(|it| stream(&table, &memory, it)).collect();
    for (stream, _) in &mut unread {
        fill(stream).await;
    }
    let (mut stream, response) = stream(&table, &memory, 1_000);
    let mut body = response.into_body();
    for _ in 0..100 {
        assert_eq!(stream.write(event()).await, Ok(()));
        let frame = body.frame().await.expect("an event").expect("no error");
        assert_eq!(frame.data_ref().map(Bytes::len), Some(EVENT));
    }
}

/// Bodies of requests that arrive slowly share the budget; large ones are refused first.
#[rstest]
#[case::large(256 << 10, BUDGET)]
#[case::small(32 << 10, 2 * BUDGET)]
fn bodies_refused(#[case] bytes: usize, #[case] bound: usize) {
    let memory = Memory::with_limit(BUDGET);
    let part = vec![0; bytes];
    let mut bodies = Vec::new();
    loop {
        let mut body = Buffer::new(&memory);
        match body.extend(&part, bytes) {
            Ok(()) => bodies.push(body),
            Err(fault) => break assert_eq!(fault, Fault::OutOfMemory),
        }
    }
    assert!(memory.used() <= bound, "{}", memory.used());
    bodies.clear();
    assert_eq!(memory.used(), 0);
}

/// A plain answer counts until its caller has taken it, part by part.
#[tokio::test]
async fn answer_unread() {
    let memory = Memory::with_limit(BUDGET);
    let table = Table::new(memory.clone());
    let mut response = open(&table, &memory, 1);
    let mut buffer = Buffer::new(&memory);
    buffer.extend(&vec![0; BUDGET / 2], BUDGET).expect("within the budget");
    let (bytes, charge) = buffer.into_parts();
    table.respond(Id(1), (StatusCode::OK, HeaderMap::new()), Held::new(bytes, charge));
    let mut body = response.try_recv().expect("answered").into_body();
    assert_eq!(memory.used(), BUDGET / 2);
    body.frame().await.expect("a part").expect("no error");
    assert!(memory.used() < BUDGET / 2 && memory.used() > BUDGET / 4);
    drop(body);
    assert_eq!(memory.used(), 0);
}

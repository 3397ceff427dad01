//! Handover of callers' requests to peers, and probes that show whether it is needed.
//!
//! A request crosses as the caller sent it, over HTTP, with header fields that hold the remaining time and the
//! version of the configuration.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body as _, Frame, Incoming, SizeHint},
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
    http::{request, response},
};
use siskinstile_core::error::{Failure, Kind};
use siskinstile_gateway::{
    Event,
    call::{self, Step},
    catalog::Retry,
    directory::Endpoint,
    effect::{Call, HandOver},
    handover::{Outcome, Report},
    reach::PROBE_TIMEOUT,
};
use siskinstile_macros::value;
use tokio::{task::spawn_local, time};

use crate::{
    client::{Connection, Fault, Reply, Reuse},
    control::Control,
    exchange::Body,
};

/// Time after the end of a probe in which its answer is still waited for.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Milliseconds that are left of the time of a request that is handed over.
const TIME_LEFT: HeaderName = HeaderName::from_static("siskinstile-time-left");
/// Version of the configuration that is in force at the instance which hands a request over.
const VERSION: HeaderName = HeaderName::from_static("siskinstile-version");
/// Marks the refusal of a request that another peer may take.
const NOT_TAKEN: HeaderName = HeaderName::from_static("siskinstile-not-taken");
/// Header fields that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];
/// Maximum number of connections to one peer.
const MAX_CONNECTIONS: usize = 64;
/// Time for which an idle connection to a peer is kept; shorter than the peer keeps it.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// Returns whether a failure shows that another peer may take the request.
pub fn is_not_taken(failure: &Failure) -> bool {
    matches!(failure.kind, Kind::Draining | Kind::NotReady)
}

/// Marks a refusal of a request that another peer may take.
pub fn mark_not_taken(response: &mut Response<Bytes>) {
    response.headers_mut().insert(NOT_TAKEN, HeaderValue::from_static("1"));
}

/// What crosses with a request.
#[value(id)]
pub struct Crossing {
    /// Time that is left of the request's time.
    pub time_left: Duration,
    /// Version of the configuration that is in force at the instance which hands it over.
    pub version: u64,
}

/// Removes what has crossed with a request from its head and returns it; `None` if it is not complete.
pub fn take_crossing(head: &mut request::Parts) -> Option<Crossing> {
    let mut take = |name: HeaderName| {
        let value = head.headers.remove(name)?;
        value.to_str().ok()?.parse::<u64>().ok()
    };
    let (time_left, version) = (take(TIME_LEFT), take(VERSION));
    Some(Crossing { time_left: Duration::from_millis(time_left?), version: version? })
}

/// Asks an endpoint for its start on a new connection, and reports whether it answers.
pub fn probe(control: &Rc<Control>, endpoint: Arc<Endpoint>, round: u64) {
    let control = control.clone();
    metrics::counter!("siskinstile_probes").increment(1);
    spawn_local(async move {
        let question = Call {
            id: call::Id(0),
            request: None,
            endpoint: endpoint.clone(),
            max_connections: 1,
            step: Step::QueryStart,
            retry: Retry::AtMostOnce,
            team: None,
            time_left: PROBE_TIMEOUT,
        };
        let question = control.protocol.endpoint_request(&question, None);
        let answer = control.client.reaches(endpoint.address, question);
        tokio::pin!(answer);
        let in_time = time::timeout(PROBE_TIMEOUT, &mut answer).await.ok();
        control.post(Event::Probed { round, answered: in_time.unwrap_or(false) });
        // An endpoint that is silent for a while lives, and shows so late.
        if in_time.is_none() && time::timeout(LATE_ANSWER_TIMEOUT, answer).await.unwrap_or(false) {
            control.post(Event::Probed { round, answered: true });
        }
    });
}

/// Starts a handover.
pub fn spawn(control: &Rc<Control>, effect: HandOver) {
    let id = effect.id;
    let shared = control.clone();
    metrics::counter!("siskinstile_handovers").increment(1);
    let task = spawn_local(async move {
        let outcome = run(&shared, &effect).await;
        shared.calls.remove(id);
        if let Some(outcome) = outcome {
            shared.post(Event::HandedOver(Report { id, outcome }));
        }
    });
    control.calls.insert(id, task.abort_handle());
}

/// Sends a request to the peer and relays the response; returns `None` if the request is closed.
async fn run(control: &Rc<Control>, effect: &HandOver) -> Option<Outcome> {
    let (original, _) = control.exchanges.original(effect.request)?;
    let Some(address) = control.addresses.get(&effect.peer) else {
        return Some(Outcome::NotTaken { cause: "no address" });
    };
    let address = SocketAddr::new(address.ip(), control.handover_port);
    let request = request(&original.0, &original.1, effect);
    drop(original);
    let reply = match control.peer_client.send(address, request, MAX_CONNECTIONS, Reuse::Any).await
    {
        Ok(reply) => reply,
        Err(Fault::Broken | Fault::TooManyHeads) => return Some(Outcome::Broken),
        Err(Fault::Unreachable | Fault::NotListening) => {
            return Some(Outcome::NotTaken { cause: "unreachable" });
        }
        Err(Fault::ConnectionLimit) => {
            return Some(Outcome::NotTaken { cause: "too many connections" });
        }
    };
    // Responses of endpoints with this status are not relayed, so that it is the peer's own.
    let is_refusal = reply.head.status == StatusCode::SERVICE_UNAVAILABLE;
    if is_refusal && reply.head.headers.contains_key(NOT_TAKEN) {
        return Some(Outcome::NotTaken { cause: "refused" });
    }
    let status = reply.head.status;
    let report = Report { id: effect.id, outcome: Outcome::Answered { status: status.as_u16() } };
    control.post(Event::HandedOver(report));
    control.exchanges.relay(effect.request, response(control, reply));
    None
}

/// Returns the request as it crosses to the peer.
fn request(head: &request::Parts, body: &Bytes, effect: &HandOver) -> Request<Bytes> {
    let mut request = Request::new(body.clone());
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    *request.headers_mut() = end_to_end(&head.headers);
    let time_left = HeaderValue::from(effect.time_left.as_millis() as u64);
    request.headers_mut().insert(TIME_LEFT, time_left);
    request.headers_mut().insert(VERSION, HeaderValue::from(effect.version));
    request
}

fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let listed = headers.get_all(CONNECTION).iter().filter_map(|it| it.to_str().ok());
    for name in listed.flat_map(|it| it.split(',')) {
        kept.remove(name.trim());
    }
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}

/// Returns the peer's response as it is relayed, with a body that arrives over the hop.
fn response(control: &Rc<Control>, reply: Reply) -> Response<Body> {
    let Reply { head, body, connection } = reply;
    let response::Parts { status, headers, .. } = head;
    let keeps_alive = !headers
        .get_all(CONNECTION)
        .iter()
        .any(|it| it.to_str().is_ok_and(|it| it.eq_ignore_ascii_case("close")));
    let body =
        Relayed { body, connection: Some(connection), keeps_alive, control: control.clone() };
    let mut response = Response::new(Body::new(body));
    *response.status_mut() = status;
    *response.headers_mut() = end_to_end(&headers);
    response
}

/// The body of a peer's response; an end before that of the body breaks the caller's response off.
struct Relayed {
    body: Incoming,
    connection: Option<Connection>,
    keeps_alive: bool,
    control: Rc<Control>,
}

impl Drop for Relayed {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if self.body.is_end_stream() && self.keeps_alive {
            self.control.peer_client.put_idle(connection, Some(KEEP_ALIVE));
        }
    }
}

impl hyper::body::Body for Relayed {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        frame.map(|it| it.map(|it| it.map_err(io::Error::other)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

//! Calls to endpoints, each in a task that reports its outcome to the reducer.

mod failed;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use http_body_util::BodyExt as _;
use hyper::{
    StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    http::response,
};
use siskinstile_gateway::{
    Event, Name, call,
    call::{Notice, Outcome, Report, Start, Step},
    effect::Call,
    record::{self, Record},
    request,
};
use tokio::{
    sync::oneshot,
    task::{AbortHandle, spawn_local},
    time,
};

use crate::{
    body::{self, Held},
    client::{Connection, Probe, Reply, Reuse},
    control::Control,
    exchange::Unwritten,
    protocol::{Original, ResponseHead},
    stream::Splitter,
};

use failed::{Failed, UNTAKEN};

/// Size limit of a response that is buffered before it is relayed.
const MAX_PLAIN_BYTES: usize = 16 << 20;
/// Size limit of the response to a step other than a run, which is a small object.
const MAX_STEP_BYTES: usize = 64 << 10;
/// Time between two reports that endpoints send parts of streams.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for the body of a refusal, which is only read so that the connection can be reused.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Outcome of a call that the endpoint has refused as misdirected.
const MISDIRECTED: Outcome = Outcome::Refused { status: StatusCode::MISDIRECTED_REQUEST.as_u16() };

/// Time within which a proxy breaks off a call to an endpoint that had ended before. What breaks off
/// sooner shows nothing of the request.
const MIN_RUN_TIME: Duration = Duration::from_millis(5);

/// The open calls.
#[derive(Debug, Default)]
pub struct Table {
    tasks: RefCell<HashMap<call::Id, AbortHandle>>,
    /// Calls that may not relay their response yet, each with the sender that permits it.
    awaiting_relay: RefCell<HashMap<call::Id, oneshot::Sender<()>>>,
    /// When the last part of a stream was reported.
    progress_at: Cell<Option<time::Instant>>,
}

impl Table {
    /// Starts a call.
    pub fn spawn(&self, control: &Rc<Control>, call: Call) {
        let id = call.id;
        let control = control.clone();
        let task = spawn_local(async move {
            run(&control, &call).await;
            control.calls.remove(call.id);
        });
        self.insert(id, task.abort_handle());
    }

    /// Adds a task, which removes itself at its end.
    pub fn insert(&self, id: call::Id, task: AbortHandle) {
        self.tasks.borrow_mut().insert(id, task);
    }

    /// Aborts a call and closes its connection.
    pub fn cancel(&self, id: call::Id) {
        if let Some(task) = self.tasks.borrow_mut().remove(&id) {
            task.abort();
        }
        self.awaiting_relay.borrow_mut().remove(&id);
    }

    /// Lets a call relay its response to the caller.
    pub fn relay(&self, id: call::Id) {
        if let Some(permit) = self.awaiting_relay.borrow_mut().remove(&id) {
            // The receiver has been dropped if the call has already ended.
            let _ = permit.send(());
        }
    }

    /// Returns whether the arrival of a part of a stream should be reported.
    fn is_progress_due(&self, now: time::Instant) -> bool {
        let is_due = self.progress_at.get().is_none_or(|it| now - it >= PROGRESS_INTERVAL);
        if is_due {
            self.progress_at.set(Some(now));
        }
        is_due
    }

    fn await_relay(&self, id: call::Id) -> oneshot::Receiver<()> {
        let (permit, relay_allowed) = oneshot::channel();
        self.awaiting_relay.borrow_mut().insert(id, permit);
        relay_allowed
    }

    /// Removes a task that has ended.
    pub fn remove(&self, id: call::Id) {
        self.tasks.borrow_mut().remove(&id);
        self.awaiting_relay.borrow_mut().remove(&id);
    }
}

async fn run(control: &Rc<Control>, call: &Call) {
    let exchange = call.request.and_then(|it| control.exchanges.original(it));
    if call.request.is_some() && exchange.is_none() {
        return;
    }
    let original = exchange.as_ref().map(|(it, _)| Original { head: &it.0, body: &it.1 });
    let request = control.protocol.endpoint_request(call, original);
    let address = call.endpoint.address;
    let started = time::Instant::now();
    let reuse = match call.step {
        Step::Run { .. } => Reuse::Unrefused,
        Step::QueryStart => Reuse::Oldest,
        _ => Reuse::Any,
    };
    let max_connections = call.max_connections as usize;
    let reply = match control.client.send(address, request, max_connections, reuse).await {
        Ok(reply) => reply,
        Err(fault) => {
            let at_once = started.elapsed() < MIN_RUN_TIME;
            let failed = Failed { at_once, ..fault.into() };
            return report_failed(control, call, None, failed, None).await;
        }
    };
    let response = control.protocol.read_response(&reply.head);
    let request_id = exchange.as_ref().map(|(_, request_id)| &**request_id);
    if let Err(failed) = check(call, &response, &reply.head, request_id) {
        return report_failed(control, call, Some(&response), failed, None).await;
    }
    match call.step {
        Step::Run { .. } => process_run(control, call, reply, response).await,
        _ => process_step(control, call, reply, response).await,
    }
}

/// Checks that a response belongs to the request and is as the endpoint sent it.
fn check(
    call: &Call,
    response: &ResponseHead,
    head: &response::Parts,
    request_id: Option<&str>,
) -> Result<(), Failed> {
    let is_run = matches!(call.step, Step::Run { .. });
    let requires_id = matches!(call.step, Step::Run { .. } | Step::Prefill);
    match &response.request_id {
        // The HTTP library takes 101 for a final status, whatever was asked.
        _ if head.status.is_informational() => Err(Failed::broken("interim status")),
        None if response.not_run => Ok(()),
        Some(answered_id) if Some(&**answered_id) != request_id => {
            Err(Failed::broken("answer to another request"))
        }
        _ if response.not_run => Ok(()),
        None if requires_id => Err(Failed::broken("answer to no request")),
        _ if response.encoded => Err(Failed::broken("encoded answer")),
        _ if is_run && head.status.is_success() && !response.signed => {
            Err(Failed::broken("unsigned answer"))
        }
        _ => Ok(()),
    }
}

/// Processes the response to a step other than a run; the caller does not get it.
async fn process_step(control: &Rc<Control>, call: &Call, reply: Reply, response: ResponseHead) {
    let Reply { head, body, mut connection } = reply;
    if response.not_run {
        connection.record_refusal();
    }
    let status = head.status.as_u16();
    let read = body::read_response(&control.memory, body, MAX_STEP_BYTES);
    let result = match response.not_run {
        true => time::timeout(REFUSAL_BODY_TIMEOUT, read).await.unwrap_or(Err(body::Fault::Cut)),
        false => read.await,
    };
    let body = match result {
        Ok(body) => body,
        Err(_) if response.not_run => {
            // The head alone states the refusal. The connection is closed.
            return report(control, call, &response, Outcome::Refused { status });
        }
        Err(fault) => {
            let failed = Failed::of_body(fault, &connection);
            return report_failed(control, call, Some(&response), failed, None).await;
        }
    };
    let connection_age = connection.age();
    return_connection(control, connection, &response);
    let protocol = &control.protocol;
    let outcome = match call.step {
        // An endpoint need not know the question; it has answered on the connection all the same.
        Step::QueryStart if !response.not_run && !head.status.is_server_error() => {
            let started_at_ms = protocol.read_start(&body).filter(|_| head.status.is_success());
            Outcome::StartTold { started_at_ms, connection_age }
        }
        _ if response.not_run || !head.status.is_success() => Outcome::Refused { status },
        Step::Hold { .. } => {
            protocol.read_hold(&body).map(|hold| Outcome::Held { hold }).into_or_unreadable()
        }
        Step::Prefill => protocol
            .read_handle(&body)
            .map(|(handle, tokens)| Outcome::Computed { handle, tokens })
            .into_or_unreadable(),
        Step::Inspect => protocol.read_report(&body).into_or_unreadable(),
        _ => Outcome::Done,
    };
    report(control, call, &response, outcome);
}

/// Processes the response to a run: an event stream is relayed as it arrives, any other response
/// once it is complete.
async fn process_run(control: &Rc<Control>, call: &Call, reply: Reply, response: ResponseHead) {
    let status = reply.head.status.as_u16();
    if response.not_run {
        // The body is not read, so the connection cannot be reused.
        return report(control, call, &response, Outcome::Refused { status });
    }
    match response.is_event_stream && reply.head.status.is_success() {
        true => relay_stream(control, call, reply, response).await,
        false => buffer_response(control, call, reply, response).await,
    }
}

async fn buffer_response(control: &Rc<Control>, call: &Call, reply: Reply, response: ResponseHead) {
    let Reply { head, body, connection } = reply;
    let buffer = match body::read_response(&control.memory, body, MAX_PLAIN_BYTES).await {
        Ok(buffer) => buffer,
        Err(fault) => {
            let failed = Failed::of_body(fault, &connection);
            return report_failed(control, call, Some(&response), failed, None).await;
        }
    };
    return_connection(control, connection, &response);
    let relay_allowed = control.calls.await_relay(call.id);
    report(control, call, &response, Outcome::Buffered { status: head.status.as_u16() });
    if relay_allowed.await.is_ok()
        && let Some(request) = call.request
    {
        let headers = control.protocol.relayed_headers(&head);
        let (bytes, charge) = buffer.into_parts();
        control.exchanges.respond(request, (head.status, headers), Held::new(bytes, charge));
    }
}

async fn relay_stream(control: &Rc<Control>, call: &Call, reply: Reply, response: ResponseHead) {
    let Some(request) = call.request else { return };
    let relay_allowed = control.calls.await_relay(call.id);
    report(control, call, &response, Outcome::Head { status: reply.head.status.as_u16() });
    if relay_allowed.await.is_err() {
        return;
    }
    let headers = control.protocol.relayed_headers(&reply.head);
    let Some(mut output) = control.exchanges.start_stream(request, (reply.head.status, headers))
    else {
        return;
    };
    let mut goes_on = false;
    if let Step::Run { start: Start::After(last_id), .. } = &call.step {
        output.last_event.get_or_insert_with(|| last_id.clone());
        goes_on = true;
    }
    let mut splitter = Splitter::after(output.last_event.clone());
    let framed = is_framed(&reply.head);
    let Reply { mut body, connection, .. } = reply;
    let mut last_event_at: Option<time::Instant> = None;
    let mut pause = Duration::ZERO;
    let broken = loop {
        let chunk = match body.frame().await {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) if connection.is_untaken() => break Some(UNTAKEN),
            Some(Err(_)) => break Some("stream cut"),
            None if splitter.is_partial() => break Some("stream ends in an event"),
            None if !framed && splitter.events() == 0 => break Some("stream without events"),
            None => break None,
        };
        let events = splitter.push(&chunk);
        let resume_id = splitter.resume_id();
        match events.is_empty() {
            _ if splitter.is_oversized() => break Some("event too large"),
            // If it broke off behind such an event, nobody could tell what the caller has.
            _ if goes_on && resume_id.is_none() => break Some("event with an odd identifier"),
            true => continue,
            false => output.last_event = resume_id.cloned(),
        }
        match output.write(events).await {
            Ok(()) => {}
            Err(Unwritten::Disconnected) => return control.post(Event::Disconnected(request)),
            Err(Unwritten::TooSlow) => return abort_slow(control, request),
        }
        let now = time::Instant::now();
        if control.calls.is_progress_due(now) {
            control.post(Event::Progress);
        }
        match last_event_at.replace(now) {
            None => report(control, call, &response, Outcome::FirstEvent),
            Some(previous) => pause = pause.max(now - previous),
        }
    };
    match broken {
        Some(cause) => {
            let last_event = output.last_event.clone();
            drop(output);
            report_failed(control, call, None, Failed::broken(cause), last_event).await;
        }
        None => {
            output.finish();
            return_connection(control, connection, &response);
            let events = splitter.events();
            report(control, call, &response, Outcome::Completed { events, pause, framed });
        }
    }
}

/// Ends a stream whose caller reads too slowly while the memory is needed for others.
fn abort_slow(control: &Rc<Control>, request: request::Id) {
    let request_id = control.exchanges.original(request).map(|(_, request_id)| request_id);
    let line = Record::new(record::MEMORY_SHORT)
        .with("what", "stream aborted")
        .with("request_id", request_id.map(|it| it.to_string()))
        .with("used_bytes", control.memory.used());
    control.logger.write(&line);
    control.exchanges.close(request);
    control.post(Event::Disconnected(request));
}

/// Returns whether a response states its own end, by a length or by chunks. Any other response ends
/// with its connection.
fn is_framed(head: &response::Parts) -> bool {
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter().peekable();
    match codings.peek() {
        None => head.headers.contains_key(CONTENT_LENGTH),
        Some(_) => codings
            .last()
            .and_then(|it| it.to_str().ok())
            .and_then(|it| it.rsplit(',').next())
            .is_some_and(|it| it.trim().eq_ignore_ascii_case("chunked")),
    }
}

fn return_connection(control: &Control, connection: Connection, response: &ResponseHead) {
    control.client.put_idle(connection, response.keep_alive);
}

fn report(control: &Rc<Control>, call: &Call, response: &ResponseHead, outcome: Outcome) {
    let is_other = match outcome {
        Outcome::Refused { .. } if response.by_instance => true,
        MISDIRECTED => is_other(call, response),
        _ => false,
    };
    let notice = Notice { is_other, ..response.notice };
    control.post(Event::Report(Report { call: call.id, outcome, notice }));
}

/// Returns whether a call was refused as misdirected by another endpoint than the one that it was meant for. Engines
/// refuse calls for another stage with the same status.
fn is_other(call: &Call, response: &ResponseHead) -> bool {
    match &response.endpoint {
        Some(name) => *name != call.endpoint.id,
        None => call.endpoint.stage.is_none(),
    }
}

/// Reports a failed call, and whether its endpoint has ended, or may have, if it broke off work on a
/// request.
async fn report_failed(
    control: &Rc<Control>,
    call: &Call,
    response: Option<&ResponseHead>,
    failed: Failed,
    last_event: Option<Name>,
) {
    let Failed { sent, unresponsive, at_once, cause } = failed;
    let may_have_ended =
        sent && !unresponsive && matches!(call.step, Step::Run { .. } | Step::Prefill);
    let (address, max_connections) = (call.endpoint.address, call.max_connections as usize);
    let probe = match may_have_ended {
        true => control.client.probe(address, max_connections).await,
        false => Probe::Alive,
    };
    let (ended, closed) = (probe == Probe::Ended, probe == Probe::Closed && !at_once);
    let outcome = Outcome::Failed { sent, unresponsive, ended, closed, last_event, cause };
    let notice = response.map(|it| it.notice).unwrap_or_default();
    if unresponsive {
        control.client.close_idle(call.endpoint.address);
    }
    control.post(Event::Report(Report { call: call.id, outcome, notice }));
}

/// Conversion of an unreadable response body into a failed outcome.
trait OrUnreadable {
    fn into_or_unreadable(self) -> Outcome;
}

impl OrUnreadable for Option<Outcome> {
    fn into_or_unreadable(self) -> Outcome {
        let unreadable = Outcome::Failed {
            sent: true,
            unresponsive: false,
            ended: false,
            closed: false,
            last_event: None,
            cause: "unreadable answer",
        };
        self.unwrap_or(unreadable)
    }
}

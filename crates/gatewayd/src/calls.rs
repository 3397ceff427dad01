//! Calls to endpoints: one task each, which reports what becomes of it.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::http::response;
use siskinstile_gateway::{
    Event, Name, call,
    call::{Outcome, Report, Start, Step},
    effect::Call,
};
use tokio::{
    sync::oneshot,
    task::{AbortHandle, spawn_local},
    time,
};

use crate::{
    client::{Connection, Fault, Reply},
    control::Control,
    protocol::{Original, ResponseHead},
    stream::Splitter,
};

/// Largest answer that is kept until it is relayed, in bytes.
const MOST_KEPT: usize = 16 << 20;

/// The calls that are open.
#[derive(Debug, Default)]
pub struct Table {
    tasks: RefCell<HashMap<call::Id, AbortHandle>>,
    waiting: RefCell<HashMap<call::Id, oneshot::Sender<()>>>,
}

impl Table {
    /// Makes a call.
    pub fn spawn(&self, control: &Rc<Control>, call: Call) {
        let id = call.id;
        let control = control.clone();
        let task = spawn_local(async move {
            run(&control, &call).await;
            control.calls.forget(call.id);
        });
        self.tasks.borrow_mut().insert(id, task.abort_handle());
    }

    /// Ends a call; its connection is closed.
    pub fn cancel(&self, id: call::Id) {
        if let Some(task) = self.tasks.borrow_mut().remove(&id) {
            task.abort();
        }
        self.waiting.borrow_mut().remove(&id);
    }

    /// Has a call relay its answer.
    pub fn relay(&self, id: call::Id) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
            // A call that was cancelled relays nothing.
            let _ = waiting.send(());
        }
    }

    fn wait(&self, id: call::Id) -> oneshot::Receiver<()> {
        let (relay, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, relay);
        told
    }

    fn forget(&self, id: call::Id) {
        self.tasks.borrow_mut().remove(&id);
        self.waiting.borrow_mut().remove(&id);
    }
}

/// Why a call failed, before that is put as an outcome.
struct Failed {
    sent: bool,
    unresponsive: bool,
    cause: &'static str,
}

impl Failed {
    fn broken(cause: &'static str) -> Failed {
        Failed { sent: true, unresponsive: false, cause }
    }
}

impl From<Fault> for Failed {
    fn from(fault: Fault) -> Failed {
        match fault {
            Fault::Unreachable => Failed { sent: false, unresponsive: true, cause: "unreachable" },
            Fault::Crowded => {
                Failed { sent: false, unresponsive: false, cause: "too many connections" }
            }
            Fault::Broken => Failed::broken("connection broke"),
        }
    }
}

async fn run(control: &Rc<Control>, call: &Call) {
    let exchange = call.request.and_then(|it| control.exchanges.sent(it));
    if call.request.is_some() && exchange.is_none() {
        return;
    }
    let sent = exchange.as_ref().map(|(sent, _)| Original { head: &sent.0, body: &sent.1 });
    let request = control.protocol.endpoint_request(call, sent);
    let address = call.endpoint.address;
    let reply = match control.client.send(address, request, call.max_connections as usize).await {
        Ok(reply) => reply,
        Err(fault) => return report_failed(control, call, None, fault.into(), None),
    };
    let answer = control.protocol.read_response(&reply.head);
    let trace = exchange.as_ref().map(|(_, trace)| &**trace);
    if let Err(failed) = check(call, &answer, &reply.head, trace) {
        return report_failed(control, call, Some(&answer), failed, None);
    }
    match call.step {
        Step::Run { .. } => run_answered(control, call, reply, answer).await,
        _ => step_answered(control, call, reply, answer).await,
    }
}

/// Checks that an answer belongs to the request and is as the endpoint made it.
fn check(
    call: &Call,
    answer: &ResponseHead,
    head: &response::Parts,
    trace: Option<&str>,
) -> Result<(), Failed> {
    let is_run = matches!(call.step, Step::Run { .. });
    let expects = matches!(call.step, Step::Run { .. } | Step::Prefill);
    match &answer.trace {
        _ if answer.not_run => Ok(()),
        Some(answered) if Some(&**answered) != trace => {
            Err(Failed::broken("answer to another request"))
        }
        None if expects && is_run => Err(Failed::broken("answer to no request")),
        _ if answer.encoded => Err(Failed::broken("encoded answer")),
        _ if is_run && head.status.is_success() && !answer.signed => {
            Err(Failed::broken("unsigned answer"))
        }
        _ => Ok(()),
    }
}

/// Takes the answer to a step that is not for the caller.
async fn step_answered(control: &Rc<Control>, call: &Call, reply: Reply, answer: ResponseHead) {
    let Reply { head, body, connection } = reply;
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => {
            let failed = Failed::broken("answer cut");
            return report_failed(control, call, Some(&answer), failed, None);
        }
    };
    keep(control, connection, &answer);
    let status = head.status.as_u16();
    let protocol = &control.protocol;
    let outcome = match call.step {
        _ if answer.not_run || !head.status.is_success() => Outcome::Refused { status },
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
    report(control, call, &answer, outcome);
}

/// Takes the answer to a run: one that streams is relayed as it comes, another once it is whole.
async fn run_answered(control: &Rc<Control>, call: &Call, reply: Reply, answer: ResponseHead) {
    let status = reply.head.status.as_u16();
    if answer.not_run {
        // The rest of the answer does not matter, and its connection is not used again.
        return report(control, call, &answer, Outcome::Refused { status });
    }
    match answer.is_event_stream && reply.head.status.is_success() {
        true => stream(control, call, reply, answer).await,
        false => whole(control, call, reply, answer).await,
    }
}

async fn whole(control: &Rc<Control>, call: &Call, reply: Reply, answer: ResponseHead) {
    let Reply { head, mut body, connection } = reply;
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame.map(|it| it.into_data()) {
            Ok(Ok(data)) if bytes.len() + data.len() <= MOST_KEPT => bytes.extend_from_slice(&data),
            Ok(Ok(_)) => {
                let failed = Failed::broken("answer too large");
                return report_failed(control, call, Some(&answer), failed, None);
            }
            Ok(Err(_)) => {}
            Err(_) => {
                let failed = Failed::broken("answer cut");
                return report_failed(control, call, Some(&answer), failed, None);
            }
        }
    }
    keep(control, connection, &answer);
    let told = control.calls.wait(call.id);
    report(control, call, &answer, Outcome::Buffered { status: head.status.as_u16() });
    if told.await.is_ok()
        && let Some(request) = call.request
    {
        let headers = control.protocol.relayed_headers(&head);
        control.exchanges.answer(request, (head.status, headers), bytes.freeze());
    }
}

async fn stream(control: &Rc<Control>, call: &Call, reply: Reply, answer: ResponseHead) {
    let Some(request) = call.request else { return };
    let told = control.calls.wait(call.id);
    report(control, call, &answer, Outcome::Head { status: reply.head.status.as_u16() });
    if told.await.is_err() {
        return;
    }
    let headers = control.protocol.relayed_headers(&reply.head);
    let Some(mut lent) = control.exchanges.stream(request, (reply.head.status, headers)) else {
        return;
    };
    if let Step::Run { start: Start::After(after), .. } = &call.step {
        lent.last.get_or_insert_with(|| after.clone());
    }
    let mut splitter = Splitter::after(lent.last.clone());
    let Reply { mut body, connection, .. } = reply;
    let mut last_event: Option<time::Instant> = None;
    let mut pause = Duration::ZERO;
    let broken = loop {
        let bytes = match body.frame().await {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => break Some("stream cut"),
            None if splitter.is_partial() => break Some("stream ends in an event"),
            None => break None,
        };
        let events = splitter.push(&bytes);
        lent.last = splitter.last().cloned();
        match events.is_empty() {
            _ if splitter.is_overlong() => break Some("event too large"),
            true => continue,
            false if !lent.write(events).await => {
                return control.post(Event::Disconnected(request));
            }
            false => {}
        }
        let now = time::Instant::now();
        match last_event.replace(now) {
            None => report(control, call, &answer, Outcome::FirstEvent),
            Some(before) => pause = pause.max(now - before),
        }
    };
    match broken {
        Some(cause) => {
            drop(lent);
            let last = splitter.last().cloned();
            report_failed(control, call, None, Failed::broken(cause), last);
        }
        None => {
            lent.finish();
            keep(control, connection, &answer);
            report(control, call, &answer, Outcome::Completed { events: splitter.events(), pause });
        }
    }
}

fn keep(control: &Control, connection: Connection, answer: &ResponseHead) {
    control.client.keep(connection, answer.keep_alive);
}

fn report(control: &Rc<Control>, call: &Call, answer: &ResponseHead, outcome: Outcome) {
    control.post(Event::Report(Report { call: call.id, outcome, load: answer.load }));
}

fn report_failed(
    control: &Rc<Control>,
    call: &Call,
    answer: Option<&ResponseHead>,
    failed: Failed,
    last_event: Option<Name>,
) {
    let Failed { sent, unresponsive, cause } = failed;
    let outcome = Outcome::Failed { sent, unresponsive, last_event, cause };
    let load = answer.and_then(|it| it.load);
    if unresponsive {
        control.client.forget(call.endpoint.address);
    }
    control.post(Event::Report(Report { call: call.id, outcome, load }));
}

/// An outcome that needs what could not be read.
trait OrUnreadable {
    fn into_or_unreadable(self) -> Outcome;
}

impl OrUnreadable for Option<Outcome> {
    fn into_or_unreadable(self) -> Outcome {
        let unreadable = Outcome::Failed {
            sent: true,
            unresponsive: false,
            last_event: None,
            cause: "unreadable answer",
        };
        self.unwrap_or(unreadable)
    }
}

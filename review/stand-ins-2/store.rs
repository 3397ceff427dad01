//! The platform's store as PROTOCOL.md describes it: objects by kind and name, one revision counter, watches.
//!
//! Each gateway has a listener of its own, at which the store can turn it away.

use std::{
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection, Message},
    json::Json,
};

#[derive(Clone)]
struct Object {
    kind: String,
    name: String,
    revision: u64,
    created: u64,
    finalizers: Json,
    specification: Json,
}

impl Object {
    fn write(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":{},\"deleting\":false}},\
             \"specification\":{},\"status\":null}}",
            Json::Text(self.name.clone()).write(),
            self.revision,
            self.created,
            self.finalizers.write(),
            self.specification.write()
        )
    }
}

/// A call that was made, as seen by the store.
#[derive(Clone, Debug)]
pub struct Call {
    pub at: Instant,
    /// Number of the listener.
    pub from: usize,
    pub method: String,
    pub target: String,
    pub status: u16,
    pub revision: u64,
    pub body: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: Vec<Object>,
    /// All changes: the object and whether it was deleted.
    history: Vec<(Object, bool)>,
    calls: Vec<Call>,
    /// Listeners that are turned away with 503.
    refused: Vec<usize>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Opens a listener; returns its address.
    pub fn listen(&self, number: usize, address: SocketAddr) -> SocketAddr {
        let store = self.clone();
        http::serve(address, move |connection| {
            while let Some(call) = connection.message() {
                if !store.answer(number, connection, &call) {
                    return;
                }
            }
        })
    }

    /// Turns a listener's callers away, or serves them again.
    pub fn refuse(&self, number: usize, refuse: bool) {
        let mut state = self.0.0.lock().unwrap();
        state.refused.retain(|it| *it != number);
        if refuse {
            state.refused.push(number);
        }
        self.0.1.notify_all();
    }

    /// Writes an object as the operator or a worker does.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        let mut state = self.0.0.lock().unwrap();
        let specification = Json::parse(specification).expect("JSON");
        state.write(kind, name, specification, Json::List(Vec::new()));
        self.0.1.notify_all();
    }

    /// Removes an object, as the store does with the entry of a worker that has left.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.0.0.lock().unwrap();
        if let Some(mut it) = state.find(kind, name) {
            state.revision += 1;
            it.revision = state.revision;
            state.objects.retain(|other| other.kind != kind || other.name != name);
            state.history.push((it, true));
        }
        self.0.1.notify_all();
    }

    pub fn calls(&self) -> Vec<Call> {
        self.0.0.lock().unwrap().calls.clone()
    }

    fn answer(&self, number: usize, connection: &mut Connection, call: &Message) -> bool {
        let (status, body, revision) = self.respond(number, call);
        let mut state = self.0.0.lock().unwrap();
        state.calls.push(Call {
            at: Instant::now(),
            from: number,
            method: call.method().to_owned(),
            target: call.target().to_owned(),
            status,
            revision,
            body: call.text(),
        });
        drop(state);
        let reason = if status < 300 { "OK" } else { "No" };
        let headers = [("Content-Type", "application/json")];
        connection.respond(&format!("{status} {reason}"), &headers, &body)
    }

    fn respond(&self, number: usize, call: &Message) -> (u16, String, u64) {
        let error = |status| (status, "{}".to_owned(), 0);
        let path = call.path().trim_start_matches("/objects/").to_owned();
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), Some(decode(name))),
            None => (path, None),
        };
        let mut state = self.0.0.lock().unwrap();
        if state.refused.contains(&number) {
            return error(503);
        }
        let body = Json::parse(&call.text());
        let metadata = body.as_ref().and_then(|it| it.get("metadata")).cloned();
        let given = metadata.as_ref().and_then(|it| it.get("revision")).and_then(Json::number);
        let specification = body.as_ref().and_then(|it| it.get("specification")).cloned();
        let finalizers = metadata.as_ref().and_then(|it| it.get("finalizers")).cloned();
        let finalizers = finalizers.unwrap_or(Json::List(Vec::new()));
        match (call.method(), name) {
            ("GET", None) if call.query("watch").is_some() => {
                let since = call.query("watch").and_then(|it| it.parse().ok()).unwrap_or(0);
                let wait = call.query("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(it, _)| it.kind == kind && it.revision > since)
                        .map(|(it, deleted)| {
                            format!("{{\"deleted\":{deleted},\"object\":{}}}", it.write())
                        })
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if state.refused.contains(&number) {
                        return error(503);
                    }
                    if !events.is_empty() || left.is_zero() {
                        let text = format!(
                            "{{\"events\":[{}],\"as_of\":{}}}",
                            events.join(","),
                            state.revision
                        );
                        return (200, text, state.revision);
                    }
                    state = self.0.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("GET", None) => {
                let items: Vec<String> =
                    state.objects.iter().filter(|it| it.kind == kind).map(Object::write).collect();
                let text = format!(
                    "{{\"items\":[{}],\"more\":false,\"as_of\":{}}}",
                    items.join(","),
                    state.revision
                );
                (200, text, state.revision)
            }
            ("GET", Some(name)) => match state.find(&kind, &name) {
                Some(it) => (200, it.write(), it.revision),
                None => error(404),
            },
            ("POST", None) => {
                let name = metadata.as_ref().and_then(|it| it.get("name")).and_then(Json::text);
                let Some(name) = name.map(str::to_owned) else { return error(400) };
                if let Some(it) = state.find(&kind, &name) {
                    return (409, it.write(), it.revision);
                }
                let it = state.write(&kind, &name, specification.unwrap_or(Json::Null), finalizers);
                self.0.1.notify_all();
                (201, it.write(), it.revision)
            }
            ("PUT", Some(name)) => {
                let Some(it) = state.find(&kind, &name) else { return error(404) };
                if given.is_some_and(|given| given != it.revision) {
                    return (409, it.write(), it.revision);
                }
                let specification = specification.unwrap_or(Json::Null);
                // A PUT that changes nothing does not increase the revision and produces no event.
                if it.specification == specification && it.finalizers == finalizers {
                    return (200, it.write(), it.revision);
                }
                let it = state.write(&kind, &name, specification, finalizers);
                self.0.1.notify_all();
                (200, it.write(), it.revision)
            }
            ("DELETE", Some(name)) => {
                let Some(mut it) = state.find(&kind, &name) else { return error(404) };
                state.revision += 1;
                it.revision = state.revision;
                state.objects.retain(|other| other.kind != kind || other.name != name);
                state.history.push((it.clone(), true));
                self.0.1.notify_all();
                (200, it.write(), it.revision)
            }
            _ => error(400),
        }
    }
}

impl State {
    fn find(&self, kind: &str, name: &str) -> Option<Object> {
        self.objects.iter().find(|it| it.kind == kind && it.name == name).cloned()
    }

    fn write(&mut self, kind: &str, name: &str, specification: Json, finalizers: Json) -> Object {
        self.revision += 1;
        let created = self.find(kind, name).map_or(self.revision, |it| it.created);
        let object = Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision: self.revision,
            created,
            finalizers,
            specification,
        };
        self.objects.retain(|it| it.kind != kind || it.name != name);
        self.objects.push(object.clone());
        self.objects.sort_by(|a, b| a.name.cmp(&b.name));
        self.history.push((object.clone(), false));
        object
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

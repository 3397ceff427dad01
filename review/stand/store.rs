//! The platform's store: objects by kind and name, lists, watches and conditional writes.

use std::{
    net::{IpAddr, SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Connection, Message};

/// How the store answers at one of its addresses.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    /// It serves.
    Serves,
    /// It answers 503 and does nothing.
    Busy,
    /// It does not answer.
    Silent,
}

/// An object; a deleted one has no value.
struct Object {
    kind: String,
    name: String,
    revision: u64,
    value: Option<String>,
}

struct State {
    revision: u64,
    objects: Vec<Object>,
}

/// A store in this process.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

/// An address of the store, which may answer in another way than the others.
#[derive(Clone)]
pub struct Door {
    /// The address.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    state: Arc<(Mutex<State>, Condvar)>,
    /// When a watch of the configuration last arrived.
    watched_at: Arc<Mutex<Option<Instant>>>,
}

impl Door {
    /// Returns when a watch of the configuration last arrived.
    pub fn watched_at(&self) -> Option<Instant> {
        *self.watched_at.lock().unwrap()
    }

    /// Changes how the store answers here; calls that wait are concerned too.
    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
        let _guard = self.state.0.lock().unwrap();
        self.state.1.notify_all();
    }
}

impl Store {
    /// Creates an empty store.
    pub fn open() -> Store {
        Store {
            state: Arc::new((
                Mutex::new(State { revision: 7, objects: Vec::new() }),
                Condvar::new(),
            )),
        }
    }

    /// Opens an address.
    pub fn door(&self, ip: IpAddr) -> Door {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let door = Door {
            address,
            mode: Arc::default(),
            state: self.state.clone(),
            watched_at: Arc::default(),
        };
        let (store, own) = (self.clone(), door.clone());
        http::serve(listener, move |connection| store.serve(connection, &own));
        door
    }

    /// Writes an object, or deletes it, as an operator or a worker does.
    pub fn put(&self, kind: &str, name: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        state.put(kind, name, value);
        self.state.1.notify_all();
    }

    fn serve(&self, mut connection: Connection, door: &Door) {
        while let Some(call) = connection.read() {
            if call.target().1.starts_with("/objects/config?watch=") {
                *door.watched_at.lock().unwrap() = Some(Instant::now());
            }
            match self.answer(&call, &door.mode) {
                Some((status, body)) => {
                    if !connection.write(&http::json(status, &body)) {
                        return;
                    }
                }
                // Nothing more comes on this connection.
                None => thread::sleep(Duration::from_secs(600)),
            }
        }
    }

    fn answer(&self, call: &Message, mode: &AtomicU8) -> Option<(u16, String)> {
        thread::sleep(Duration::from_millis(4));
        let unavailable = |mode: u8| match mode {
            it if it == Mode::Busy as u8 => Some(Some((503, "{}".to_owned()))),
            it if it == Mode::Silent as u8 => Some(None),
            _ => None,
        };
        if let Some(answer) = unavailable(mode.load(Ordering::SeqCst)) {
            return answer;
        }
        let (method, target) = call.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next()?.to_owned();
        let name = parts.next().map(str::to_owned);
        let parameter = |key: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|it| it.0 == key).map(|it| it.1.to_owned())
        };
        let mut state = self.state.0.lock().unwrap();
        let text = String::from_utf8_lossy(&call.body).into_owned();
        Some(match (method, name) {
            ("GET", None) if parameter("watch").is_some() => {
                let since: u64 = parameter("watch")?.parse().ok()?;
                let wait = parameter("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait);
                loop {
                    if let Some(answer) = unavailable(mode.load(Ordering::SeqCst)) {
                        return answer;
                    }
                    let events = state.events(&kind, since);
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, as_of) = (events.join(","), state.revision);
                        break (200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("GET", None) => {
                let after = parameter("after").unwrap_or_default();
                let items = state.items(&kind, &after).join(",");
                let as_of = state.revision;
                (200, format!("{{\"items\":[{items}],\"more\":false,\"as_of\":{as_of}}}"))
            }
            ("GET", Some(name)) => match state.find(&kind, &name) {
                Some(object) if object.value.is_some() => (200, object.text()),
                _ => (404, "{}".to_owned()),
            },
            ("DELETE", Some(name)) => {
                state.put(&kind, &name, None);
                self.state.1.notify_all();
                (200, "{}".to_owned())
            }
            ("POST" | "PUT", name) => {
                let metadata = member(&text, "metadata")?;
                let stated = member(metadata, "name").map(|it| it.trim_matches('"').to_owned());
                let name = name.or(stated)?;
                let condition: Option<u64> =
                    member(metadata, "revision").and_then(|it| it.parse().ok());
                let value = member(&text, "specification")?.to_owned();
                let found = state.find(&kind, &name).filter(|it| it.value.is_some());
                let found = found.map(|it| (it.revision, it.text()));
                match found {
                    None if method == "PUT" => (404, "{}".to_owned()),
                    Some((revision, text))
                        if method == "POST" || condition.is_some_and(|it| it != revision) =>
                    {
                        (409, text)
                    }
                    _ => {
                        state.put(&kind, &name, Some(value));
                        self.state.1.notify_all();
                        (200, state.find(&kind, &name)?.text())
                    }
                }
            }
            _ => (404, "{}".to_owned()),
        })
    }
}

impl Object {
    fn text(&self) -> String {
        let Object { name, revision, value, .. } = self;
        let value = value.as_deref().unwrap_or("null");
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
             \"finalizers\":[],\"deleting\":false}},\"specification\":{value},\"status\":null}}"
        )
    }
}

impl State {
    fn find(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.iter().find(|it| it.kind == kind && it.name == name)
    }

    /// A write that changes nothing does not raise the revision.
    fn put(&mut self, kind: &str, name: &str, value: Option<String>) {
        if self.find(kind, name).map(|it| &it.value) == Some(&value) {
            return;
        }
        self.revision += 1;
        self.objects.retain(|it| it.kind != kind || it.name != name);
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.objects.push(Object { kind, name, revision: self.revision, value });
    }

    fn events(&self, kind: &str, since: u64) -> Vec<String> {
        let changed = self.objects.iter().filter(|it| it.kind == kind && it.revision > since);
        let event = |it: &Object| {
            format!("{{\"object\":{},\"deleted\":{}}}", it.text(), it.value.is_none())
        };
        changed.map(event).collect()
    }

    fn items(&self, kind: &str, after: &str) -> Vec<String> {
        let listed = |it: &&Object| it.kind == kind && *it.name > *after && it.value.is_some();
        let mut objects: Vec<&Object> = self.objects.iter().filter(listed).collect();
        objects.sort_by(|a, b| a.name.cmp(&b.name));
        objects.into_iter().map(Object::text).collect()
    }
}

/// Returns the text of a member of a JSON object.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        at = skip_space(bytes, at);
        let key_end = value_end(bytes, at)?;
        let key = text.get(at + 1..key_end - 1)?;
        let start = skip_space(bytes, skip_space(bytes, key_end) + 1);
        let end = value_end(bytes, start)?;
        if key == name {
            return text.get(start..end);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the end of the value that begins at a position.
fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut at, mut depth, mut in_string) = (start, 0, false);
    loop {
        match *bytes.get(at)? {
            b'\\' if in_string => at += 1,
            b'"' => {
                in_string = !in_string;
                if !in_string && depth == 0 {
                    return Some(at + 1);
                }
            }
            _ if in_string => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(at + 1);
                }
            }
            b',' if depth == 0 => return Some(at),
            _ => {}
        }
        at += 1;
    }
}

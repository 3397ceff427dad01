//! A model worker as PROTOCOL.md describes it: reservations, prefill, streams, reports and orders.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Connection, Message},
    json::Json,
    store::Store,
};

/// Age of what a report tells; `report_lag_ms` of the site files.
pub const REPORT_LAG: Duration = Duration::from_millis(900);
/// Time that a change of the stage takes; `reconfigure_s` of the site files.
pub const RECONFIGURE: Duration = Duration::from_secs(6);

/// An order as it reached a worker.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub worker: String,
    pub holder: String,
    pub token: u64,
    pub stage: String,
    pub status: u16,
}

/// How fast a worker is.
#[derive(Clone, Copy)]
pub struct Pace {
    pub prompt: Duration,
    pub events: u64,
    pub event_gap: Duration,
}

#[derive(Clone)]
struct Status {
    stage: String,
    busy: bool,
    sequence: u64,
}

struct State {
    status: Status,
    /// Earlier states, each with the time until which it held.
    past: Vec<(Instant, Status)>,
}

impl State {
    fn change(&mut self, change: impl FnOnce(&mut Status)) {
        self.past.push((Instant::now(), self.status.clone()));
        change(&mut self.status);
    }

    /// Returns the state at a time.
    fn at(&self, at: Instant) -> &Status {
        self.past.iter().find(|(until, _)| *until > at).map_or(&self.status, |it| &it.1)
    }
}

#[derive(Clone)]
pub struct Engine {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    pace: Pace,
    store: Store,
    orders: Arc<Mutex<Vec<Order>>>,
    state: Arc<Mutex<State>>,
    serial: Arc<AtomicU64>,
}

impl Engine {
    /// Starts a worker, which registers itself in the store.
    pub fn start(
        (id, service, zone, stage): (&str, &str, &str, &str),
        pace: Pace,
        store: &Store,
        orders: &Arc<Mutex<Vec<Order>>>,
    ) -> Engine {
        let status = Status { stage: stage.to_owned(), busy: false, sequence: 0 };
        let mut engine = Engine {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: "127.0.0.1:0".parse().expect("an address"),
            born: unix_ms(),
            pace,
            store: store.clone(),
            orders: orders.clone(),
            state: Arc::new(Mutex::new(State { status, past: Vec::new() })),
            serial: Arc::default(),
        };
        let serving = engine.clone();
        engine.address = http::serve(engine.address, move |connection| {
            while let Some(request) = connection.message() {
                if !serving.answer(connection, &request) {
                    return;
                }
            }
        });
        engine.register();
        engine
    }

    fn register(&self) {
        let Status { stage, sequence, .. } = self.state.lock().unwrap().status.clone();
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":64,"state":"ready",
"cold_remaining_ms":0,"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],
"sequence":{},"born":{}}}"#,
            self.service,
            self.address,
            self.zone,
            sequence + 1,
            self.born
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> bool {
        if request.header("Expected-Instance").is_some_and(|it| it != self.id) {
            return connection.respond("421 Misdirected Request", &[("Instance", &self.id)], "");
        }
        let json = [("Content-Type", "application/json"), ("Keep-Alive", "timeout=10")];
        match (request.method(), request.path()) {
            ("GET", "/report") => connection.respond("200 OK", &json, &self.report()),
            ("GET", "/health") => connection.respond("200 OK", &[("Instance", &self.id)], ""),
            ("POST", "/order") => {
                let status = self.order(request);
                connection.respond(&format!("{status} Order"), &json, "{}")
            }
            ("POST", "/hold-take") => {
                let body = format!("{{\"hold\":\"h{}\"}}", self.next());
                connection.respond("200 OK", &json, &body)
            }
            ("DELETE", _) => connection.respond("200 OK", &json, "{}"),
            _ if request.header("Stage") == Some("prefill") => self.prefill(connection, request),
            _ => self.run(connection, request),
        }
    }

    fn next(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let Status { stage, busy, sequence } = state.at(Instant::now() - REPORT_LAG).clone();
        format!(
            r#"{{"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{busy},
"sequence":{sequence},"waiting_requests":0,"running_requests":1,"kv_cache_used":0,"kv_cache_total":10000,
"handles":0,"born":{}}}"#,
            self.born
        )
    }

    fn order(&self, request: &Message) -> u16 {
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let text = |name: &str| body.get(name).and_then(Json::text).unwrap_or_default().to_owned();
        let token = body.get("fencing_token").and_then(Json::number).unwrap_or(0);
        let precondition = body.get("precondition").and_then(Json::number);
        let (holder, stage) = (text("holder"), text("stage"));
        let mut state = self.state.lock().unwrap();
        let Status { stage: present, busy, sequence } = state.status.clone();
        let status = match () {
            () if holder.is_empty() => 400,
            () if busy || precondition.is_some_and(|it| it != sequence) => 409,
            () if present == stage => 200,
            () => 202,
        };
        if status == 202 {
            state.change(|it| (it.busy, it.sequence) = (true, it.sequence + 1));
            let (engine, stage) = (self.clone(), stage.clone());
            thread::spawn(move || {
                thread::sleep(RECONFIGURE);
                engine.state.lock().unwrap().change(|it| (it.busy, it.stage) = (false, stage));
                engine.register();
            });
        }
        let (at, worker) = (Instant::now(), self.id.clone());
        self.orders.lock().unwrap().push(Order { at, worker, holder, token, stage, status });
        status
    }

    fn prefill(&self, connection: &mut Connection, request: &Message) -> bool {
        thread::sleep(self.pace.prompt);
        let id = request.header("Request-Identifier").unwrap_or_default();
        let counts = request.header("Token-Counts").unwrap_or_default();
        let tokens = counts.split(',').next().unwrap_or("0");
        let body = format!(
            "{{\"handle\":\"{:x}{:x}\",\"tokens\":{tokens},\"version\":1}}",
            self.born,
            self.next()
        );
        let headers = [
            ("Content-Type", "application/json"),
            ("Request-Identifier", id),
            ("Keep-Alive", "timeout=10"),
        ];
        connection.respond("200 OK", &headers, &body)
    }

    fn run(&self, connection: &mut Connection, request: &Message) -> bool {
        let id = request.header("Request-Identifier").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Identifier: {id}\r\n\
             Response-Signature: {}.{id}\r\nWeight-Versions: 1\r\nKeep-Alive: timeout=10\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        if !connection.write(head.as_bytes()) {
            return false;
        }
        for number in 1..=self.pace.events {
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            if !connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()) {
                return false;
            }
            thread::sleep(self.pace.event_gap);
        }
        connection.write(b"0\r\n\r\n")
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

//! One instance with fakes around it, and callers on raw sockets.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use siskinstile_core::{Set, check, key, object};
use siskinstile_fakes::{Engine, Plain, Platform, engine, plain};
use siskinstiled::{Daemon, Settings, settings};

/// Maximum time to wait for a state that a test expects.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(10);
/// API key of the team `t`.
pub(crate) const KEY: &str = "k.open-sesame-1234";
/// API key that has been withdrawn.
pub(crate) const WITHDRAWN: &str = "w.open-sesame-5678";
/// Body limit of the route of model `m`, in bytes.
pub(crate) const BODY_LIMIT: usize = 4_096;

/// Body limit of the route of model `n`, in bytes.
pub(crate) const NARROW_LIMIT: usize = 512;

const SALT: [u8; 16] = [7; 16];

/// Options that a test may change before the start.
pub(crate) struct Builder {
    pub(crate) frontend: settings::Frontend,
    pub(crate) prefill: engine::Config,
    pub(crate) decode: engine::Config,
    pub(crate) plain: plain::Config,
    /// Number of prefill endpoints.
    pub(crate) prefills: usize,
    /// Address of another prefill endpoint.
    pub(crate) raw_prefill: Option<SocketAddr>,
    /// Address of the service behind `/raw`; `None` for an address that refuses connections.
    pub(crate) raw: Option<SocketAddr>,
}

impl Default for Builder {
    fn default() -> Builder {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let config = engine::Config { token_ms: 5.0, ..engine::Config::default() };
        Builder {
            frontend: settings::Frontend { listen: any, ..settings::Frontend::default() },
            prefill: engine::Config { role: engine::Role::Prefill, ..config.clone() },
            decode: engine::Config { role: engine::Role::Decode, ..config },
            plain: plain::Config { name: "p".into(), delay_ms: 0 },
            prefills: 1,
            raw_prefill: None,
            raw: None,
        }
    }
}

/// A running instance and its fakes.
pub(crate) struct Fixture {
    pub(crate) daemon: Daemon,
    pub(crate) prefills: Vec<Engine>,
    pub(crate) decode: Engine,
    pub(crate) plain: Plain,
    pub(crate) _platform: Platform,
}

impl Builder {
    pub(crate) fn spawn(self) -> Fixture {
        let fakes = self.fakes();
        let settings = settings("one", fakes.platform.address(), self.frontend);
        let daemon = Daemon::spawn(&settings).unwrap();
        register("one", daemon.peer().unwrap(), daemon.admin(), &fakes.platform);
        wait_until(|| daemon.config().generation > 0 && daemon.is_ready());
        let Fakes { platform, prefills, decode, plain } = fakes;
        Fixture { daemon, prefills, decode, plain, _platform: platform }
    }

    /// Starts the fakes and writes the objects to the platform.
    pub(crate) fn fakes(&self) -> Fakes {
        let platform = Platform::spawn().unwrap();
        let prefills: Vec<Engine> =
            (0..self.prefills).map(|_| Engine::spawn(self.prefill.clone()).unwrap()).collect();
        let decode = Engine::spawn(self.decode.clone()).unwrap();
        let plain = Plain::spawn(self.plain.clone()).unwrap();
        let mut engines: Vec<Value> = prefills
            .iter()
            .enumerate()
            .map(|(n, it)| endpoint(&format!("p{n}"), it.address(), "prefill", &self.prefill))
            .collect();
        let raw_prefill = self.raw_prefill.iter();
        engines.extend(raw_prefill.map(|it| endpoint("pr", *it, "prefill", &self.prefill)));
        engines.push(endpoint("d", decode.address(), "decode", &self.decode));
        let plain_config = engine::Config::default();
        let plains = [endpoint("s", plain.address(), "plain", &plain_config)];
        // Without a service, the route's endpoint is an address that refuses connections.
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let raw = [endpoint("r", self.raw.unwrap_or(nowhere), "plain", &plain_config)];
        let mut set = Set::default();
        for (kind, value) in objects(&json!(engines), &json!(plains), &json!(raw)) {
            put(&platform, kind, &value);
            set.insert(object::Kind::parse(kind).unwrap(), value).unwrap();
        }
        assert_eq!(check::check(&set), []);
        Fakes { platform, prefills, decode, plain }
    }
}

/// The fakes without an instance.
pub(crate) struct Fakes {
    pub(crate) platform: Platform,
    pub(crate) prefills: Vec<Engine>,
    pub(crate) decode: Engine,
    pub(crate) plain: Plain,
}

/// Returns the settings of an instance.
pub(crate) fn settings(name: &str, platform: SocketAddr, frontend: settings::Frontend) -> Settings {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        instance: settings::Instance { name: name.into(), datacentre: "a".into() },
        frontend,
        admin: settings::Admin { listen: any },
        peer: Some(settings::Peer { listen: any, tls: settings::Tls::Off(settings::Off::Off) }),
        platform: settings::Platform { address: platform },
        fleet: settings::Fleet { size: 1, balancer_lag_ms: 100 },
    }
}

fn endpoint(name: &str, address: SocketAddr, role: &str, config: &engine::Config) -> Value {
    json!({"name": name, "address": address.to_string(), "datacentre": "a", "role": role,
        "places": config.slots, "memory": config.memory})
}

/// Registers an instance with the platform.
pub(crate) fn register(name: &str, peer: SocketAddr, admin: SocketAddr, platform: &Platform) {
    let record = json!({"name": name, "address": peer.to_string(), "admin": admin.to_string(),
        "datacentre": "a", "incarnation": 1, "state": "live"});
    let url = format!("http://{}/instances/{name}", platform.address());
    assert!(attohttpc::put(url).json(&record).unwrap().send().unwrap().is_success());
}

fn put(platform: &Platform, kind: &str, value: &Value) {
    let name = value["name"].as_str().unwrap();
    let url = format!("http://{}/objects/{kind}/{name}?if_version=0", platform.address());
    assert!(attohttpc::put(url).json(value).unwrap().send().unwrap().is_success());
}

fn objects(engines: &Value, plains: &Value, raw: &Value) -> Vec<(&'static str, Value)> {
    let mut objects = vec![
        ("service", json!({"name": "model", "workload": "model", "models": ["m", "n"]})),
        ("service", json!({"name": "plain", "workload": "plain"})),
        ("team", json!({"name": "t", "rate": 10_000, "burst": 10_000_000})),
        ("team", json!({"name": "small", "rate": 1, "burst": 10})),
        ("key", key_object(KEY, "t", false)),
        ("key", key_object(WITHDRAWN, "t", true)),
        ("key", key_object("small.open-sesame-9", "small", false)),
        ("pool", json!({"name": "model", "service": "model", "endpoints": engines})),
        ("pool", json!({"name": "plain", "service": "plain", "endpoints": plains})),
        ("pool", json!({"name": "raw", "service": "plain", "endpoints": raw})),
    ];
    let mut model = route("model", "model", true);
    model["model"] = "m".into();
    model["service"] = "model".into();
    model["body_limit"] = BODY_LIMIT.into();
    let mut narrow = model.clone();
    narrow["name"] = "narrow".into();
    narrow["model"] = "n".into();
    narrow["body_limit"] = NARROW_LIMIT.into();
    objects.extend([("route", model), ("route", narrow)]);
    let plain = [
        ("look", "GET", "/look", "plain", true),
        ("put", "PUT", "/look", "plain", true),
        ("charge", "POST", "/charge", "plain", false),
        ("raw", "GET", "/raw", "raw", true),
        ("raw-head", "HEAD", "/raw", "raw", true),
        ("raw-post", "POST", "/raw", "raw", false),
    ];
    for (name, method, path, pool, idempotent) in plain {
        let mut route = route(name, pool, idempotent);
        route["method"] = method.into();
        route["path"] = path.into();
        objects.push(("route", route));
    }
    objects
}

fn route(name: &str, pool: &str, idempotent: bool) -> Value {
    json!({"name": name, "service": "plain", "pool": pool, "urgency": "patient",
        "idempotent": idempotent, "first_token_ms": 10_000})
}

fn key_object(key: &str, team: &str, withdrawn: bool) -> Value {
    let (name, secret) = key.split_once('.').unwrap();
    let salt: String = SALT.iter().map(|it| format!("{it:02x}")).collect();
    let hash = key::hash(&SALT, secret);
    json!({"name": name, "team": team, "salt": salt, "hash": hash, "withdrawn": withdrawn})
}

/// Waits until `done` returns true; panics after [`MAX_WAIT`].
pub(crate) fn wait_until(done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < MAX_WAIT, "not within {MAX_WAIT:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A complete response as received by the caller.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Response {
    /// Parses the text that was received on a connection until it closed.
    pub(crate) fn parse(text: &str) -> Response {
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
        let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
        let status = status.unwrap_or_else(|| panic!("no status in {text:?}"));
        Response { status, head: head.to_owned(), body: body.to_owned() }
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (it, value) = line.split_once(':')?;
            it.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the error object after checking that it has exactly the fields of all errors.
    pub(crate) fn error(&self) -> Value {
        let body: Value = serde_json::from_str(&self.body).expect(&self.body);
        let error = &body["error"];
        let mut fields: Vec<&str> = error.as_object().unwrap().keys().map(String::as_str).collect();
        fields.sort_unstable();
        assert_eq!(fields, ["kind", "message", "ran", "request_id"], "{}", self.body);
        assert_eq!(self.header("x-request-id"), error["request_id"].as_str());
        assert_eq!(error["request_id"].as_str().unwrap().len(), 16);
        error.clone()
    }
}

/// Opens a connection whose reads time out after [`MAX_WAIT`].
pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    stream
}

/// Reads until the peer closes the connection.
pub(crate) fn read_all(mut stream: &TcpStream) -> String {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until the received text contains `part`, and returns the text.
pub(crate) fn read_until(mut stream: &TcpStream, part: &str) -> String {
    let (mut text, mut buffer) = (String::new(), [0; 4_096]);
    while !text.contains(part) {
        let n = stream.read(&mut buffer).unwrap();
        assert!(n > 0, "closed after {text:?}");
        text.push_str(&String::from_utf8_lossy(&buffer[..n]));
    }
    text
}

/// Sends bytes on a new connection and reads the response until the connection closes.
pub(crate) fn send(address: SocketAddr, bytes: impl AsRef<[u8]>) -> Response {
    let mut stream = connect(address);
    // The instance may refuse the request and close before it has read all bytes.
    let _ = stream.write_all(bytes.as_ref());
    Response::parse(&read_all(&stream))
}

/// Returns the text of a request with `connection: close`.
pub(crate) fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: door\r\nconnection: close\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    )
}

/// Returns the authorization header with a key.
pub(crate) fn bearer(key: &str) -> String {
    format!("authorization: Bearer {key}\r\n")
}

/// Returns the text of a completion request.
pub(crate) fn completion(prompt: &str, max_tokens: u64, stream: bool) -> String {
    let body = json!({"model": "m", "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
        "stream_options": {"include_usage": true}});
    request("POST", "/v1/completions", &bearer(KEY), &body.to_string())
}

/// Starts a service that responds to each connection with the given bytes and closes it.
pub(crate) fn canned(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap_or(0) > 0 {
                head.push(byte[0]);
            }
            let _ = stream.write_all(&response);
        }
    });
    address
}

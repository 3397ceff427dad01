//! Case 6: a new machine takes the order lease over from a holder that renews it, while the store turns the holder away.
//!
//! Usage: `case_6 PROGRAM FOLDER`; `TROUBLE=0` leaves the store in reach of the holder.

#[path = "engine.rs"]
mod engine;
#[path = "fleet.rs"]
mod fleet;
#[path = "http.rs"]
mod http;
#[path = "json.rs"]
mod json;
#[path = "store.rs"]
mod store;

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use engine::{Engine, Order, Pace};
use fleet::{Folder, Gateway, Place, Record, free_network, sleep_until};
use store::{Call, Store};

/// Length of the disruption; `platform_down` with `how = "nodes ..."` has 9.0 s in the site files.
const TURNED_AWAY: Duration = Duration::from_millis(8_500);
/// Time from a renewal of the holder to its third call after that, with which it uses its lease again.
const HOLDER_RETURNS: Duration = Duration::from_millis(6_500);
/// Time from the start of the added machine until it takes the lease over, and the time after a renewal that is aimed at.
const TAKEOVER: Duration = Duration::from_millis(16_520);
const AFTER_RENEWAL: Duration = Duration::from_millis(600);
const MODEL: &str = "assistant";
const HOST: &str = "members.example";
const KEY: &str = "key-of-the-only-tenant";

fn main() {
    let args: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let (folder, record) = (Folder::new(), Record::new());
    let result = run(&args[0], &folder.0, &record, trouble);
    record.save(&args[1]);
    drop(folder);
    match result {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(problem) => {
            eprintln!("the case could not run: {problem}");
            exit(2)
        }
    }
}

fn run(
    program: &Path,
    folder: &Path,
    record: &Record,
    trouble: bool,
) -> Result<bool, &'static str> {
    let store = Store::default();
    let loopback = "127.0.0.1:0".parse().expect("an address");
    let listeners: Vec<SocketAddr> = (0..3).map(|it| store.listen(it, loopback)).collect();
    store.put("config", "main", &configuration());
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let pace = Pace {
        prompt: Duration::from_millis(100),
        events: 12,
        event_gap: Duration::from_millis(50),
    };
    for number in 1..=7 {
        let stage = if number <= 4 { "prefill" } else { "decode" };
        Engine::start((&format!("i-{number}"), MODEL, "north-b", stage), pace, &store, &orders);
    }
    let [a, b, c] = free_network();
    let ip = |host| Ipv4Addr::new(a, b, c, host);
    let place = |name, zone, host: u8, bootstrap| {
        let store = listeners[usize::from(host) - 1];
        Place { name, zone, ip: ip(host), store, bootstrap }
    };
    let seeds = [ip(1), ip(2)];
    let holder =
        Gateway::start(program, folder, &place("front-north-b-1", "north-b", 1, true), &seeds);
    let _other =
        Gateway::start(program, folder, &place("front-north-b-2", "north-b", 2, true), &seeds);
    if !holder.await_ready() {
        return Err("the first machine is not ready");
    }
    // Two renewals show that it holds the lease, and when it renews it.
    let renewed = await_renewals(&store, 3).ok_or("the lease is not renewed")?;
    record.note_at(
        renewed,
        "machine front-north-b-1 has renewed the order lease, revision unchanged",
    );
    let times: Vec<Instant> = renewals(&store).iter().map(|it| it.at).collect();
    let interval = (times[2] - times[0]) / 2;
    // The takeover should come soon after a renewal.
    let start = renewed + interval * 6 + AFTER_RENEWAL - TAKEOVER;
    sleep_until(start);
    record.note("machine front-north-a-1 is added (planned work)");
    let added =
        Gateway::start(program, folder, &place("front-north-a-1", "north-a", 3, false), &seeds);
    if !added.await_ready() {
        return Err("the added machine is not ready");
    }
    let taken = await_acquisition(&store, record)
        .ok_or("the added machine does not take the lease over")?;
    record.note_at(taken, "front-north-a-1 has taken the lease over from the living holder");
    if trouble {
        store.refuse(0, true);
        record.note("the store turns front-north-b-1 away (503) and serves the others");
    }
    let last = last_renewal(&store, taken).ok_or("no renewal before")?;
    record.note_at(last, "last renewal of front-north-b-1");
    let returns = last + HOLDER_RETURNS;
    // Clients of both machines: so many requests that each knows what the model's workers are needed for.
    let first = returns - Duration::from_millis(1_750);
    let clients = [
        send_requests("b", holder.front, first),
        send_requests("a", added.front, returns - Duration::from_millis(1_500)),
    ];
    for (name, client) in ["front-north-b-1", "front-north-a-1"].iter().zip(clients) {
        let whole = client.join().unwrap_or_default();
        record.note(format!("clients of {name}: {whole} of {REQUESTS} streams answered whole"));
    }
    sleep_until(taken + TURNED_AWAY);
    if trouble {
        store.refuse(0, false);
        record.note("the store serves front-north-b-1 again");
    }
    thread::sleep(Duration::from_secs(4));
    for it in leases(&store) {
        let what = format!(
            "lease: {} {} from machine {}: {} {}",
            it.method,
            it.target,
            it.from + 1,
            it.status,
            it.revision
        );
        record.note_at(it.at, what);
    }
    let orders = orders.lock().unwrap().clone();
    for it in &orders {
        let Order { worker, holder, token, stage, status, .. } = it;
        record.note_at(
            it.at,
            format!("order at {worker}: {stage}, holder {holder}, fencing token {token}: {status}"),
        );
    }
    if orders.is_empty() {
        return Err("no machine has given an order");
    }
    let broken = broken(&orders);
    match &broken {
        Some((earlier, later)) => record.note(format!(
            "ONE is broken: {} got fencing token {} of {} and {} ms later {} of {}",
            later.worker,
            earlier.token,
            earlier.holder,
            later.at.duration_since(earlier.at).as_millis(),
            later.token,
            later.holder
        )),
        None => record.note("ONE held"),
    }
    Ok(broken.is_none())
}

/// Returns two orders to one worker, of which the later one has the lower fencing token, or the same one of another
/// holder.
fn broken(orders: &[Order]) -> Option<(&Order, &Order)> {
    let pairs = orders
        .iter()
        .enumerate()
        .flat_map(|(at, it)| orders[at + 1..].iter().map(move |later| (it, later)));
    let mut pairs =
        pairs.filter(|(it, later)| it.worker == later.worker && it.holder != later.holder);
    pairs.find(|(it, later)| later.token <= it.token)
}

const REQUESTS: usize = 8;

/// Sends streams to a machine, 150 ms apart; returns the number of those that were answered whole.
fn send_requests(
    name: &'static str,
    front: SocketAddr,
    first: Instant,
) -> thread::JoinHandle<usize> {
    thread::spawn(move || {
        let mut open = Vec::new();
        for number in 0..REQUESTS {
            sleep_until(first + Duration::from_millis(150) * number as u32);
            open.push(thread::spawn(move || send_request(front, &format!("{name}{number:015x}"))));
        }
        open.into_iter().map(|it| usize::from(it.join().unwrap_or(false))).sum()
    })
}

fn send_request(front: SocketAddr, id: &str) -> bool {
    let text = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Identifier: {id}\r\nModel: m\r\n\
         Token-Counts: 3000,70\r\nPrompt-Prefix: {:x}:3000\r\nDeadline-Milliseconds: 14000\r\n\
         Authorization: Token {KEY}\r\nContent-Length: 4\r\n\r\ntext",
        id.bytes().fold(7u64, |sum, it| sum.wrapping_mul(131).wrapping_add(it.into()))
    );
    let answer = http::request(front, &text, Duration::from_secs(14));
    answer.is_some_and(|it| it.status() == 200 && it.text().contains(&format!("{id} 12\n")))
}

/// Returns the calls that write the lease, or read it.
fn leases(store: &Store) -> Vec<Call> {
    store
        .calls()
        .into_iter()
        .filter(|it| {
            it.target.starts_with("/objects/siskinstile-leases") && !it.target.contains('?')
        })
        .collect()
}

fn renewals(store: &Store) -> Vec<Call> {
    let is_renewal = |it: &Call| it.from == 0 && it.method == "PUT" && it.status == 200;
    leases(store).into_iter().filter(is_renewal).collect()
}

fn await_renewals(store: &Store, count: usize) -> Option<Instant> {
    let deadline = Instant::now() + Duration::from_secs(15);
    while Instant::now() < deadline {
        if let Some(it) = renewals(store).get(count - 1) {
            return Some(it.at);
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Waits until the third machine has replaced the lease.
fn await_acquisition(store: &Store, record: &Record) -> Option<Instant> {
    let deadline = Instant::now() + Duration::from_secs(25);
    let mut reads = 0;
    while Instant::now() < deadline {
        let calls: Vec<Call> = leases(store).into_iter().filter(|it| it.from == 2).collect();
        if let Some(it) = calls.iter().find(|it| it.method == "PUT" && it.status == 200) {
            return Some(it.at);
        }
        if calls.len() > reads {
            reads = calls.len();
            record.note("front-north-a-1 reads the lease");
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

fn last_renewal(store: &Store, before: Instant) -> Option<Instant> {
    renewals(store).into_iter().map(|it| it.at).filter(|it| *it < before).last()
}

fn configuration() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"r-1","host":"{HOST}","path_prefix":"/draft/","kind":"streaming",
"timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"{MODEL}","attempts":1,"public":false,"sticky":true,
"resumable":false,"target_gap_ms":300}}],"services":[{{"name":"{MODEL}","health_check":"/health",
"connection_limit":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_cache_tokens":10000,
"kv_token_bytes":35136,"link_mbps":330000.0,"moves":true,"backups":true,"stride":6,"most":12,
"handle_retention_s":0.5,"reconfigure_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{{"name":"m"}}]}}}}],
"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"tenant-1","keys":["{KEY}"],"priority":1,"unit":"tokens","uncached_tokens":200,
"rate_per_s":0,"burst":0}}]}}"#
    )
}

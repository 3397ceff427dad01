//! A minimal platform on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use indexmap::IndexMap;
use serde_json::{Value, json};

/// Objects by `KIND/NAME`, with version and value.
pub(crate) type Objects = Arc<Mutex<IndexMap<String, (u64, Value)>>>;

/// Serves objects until the test ends and returns the address.
pub(crate) fn spawn(objects: Objects) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            serve(stream.unwrap(), &objects);
        }
    });
    address
}

fn serve(mut stream: TcpStream, objects: &Objects) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap() == 0 {
            return;
        }
    }
    let length = head.lines().find_map(|line| {
        line.to_ascii_lowercase().strip_prefix("content-length: ").map(|it| it.parse().unwrap())
    });
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).unwrap();
    let mut words = head.split(' ');
    let (method, target) = (words.next().unwrap(), words.next().unwrap());
    let (status, answer) = answer(method, target, &body, &mut objects.lock().unwrap());
    let text = answer.to_string();
    let length = text.len();
    write!(stream, "HTTP/1.1 {status} -\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n")
        .unwrap();
    stream.write_all(text.as_bytes()).unwrap();
}

fn answer(
    method: &str,
    target: &str,
    body: &[u8],
    objects: &mut IndexMap<String, (u64, Value)>,
) -> (u16, Value) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let id = path.strip_prefix("/objects/").unwrap();
    let held = objects.get(id).map_or(0, |it| it.0);
    let wanted = query.strip_prefix("if_version=").map(|it| it.parse().unwrap());
    match method {
        "GET" if !id.contains('/') => (200, list(id, objects)),
        "GET" => match objects.get(id) {
            Some(object) => (200, entry(id, object)),
            None => (404, json!({"error": "none"})),
        },
        _ if wanted != Some(held) => (409, json!({"version": held})),
        "PUT" => {
            let value = serde_json::from_slice(body).unwrap();
            objects.insert(id.to_owned(), (held + 1, value));
            (200, json!({"version": held + 1}))
        }
        _ => {
            objects.shift_remove(id);
            (200, json!({}))
        }
    }
}

fn list(kind: &str, objects: &IndexMap<String, (u64, Value)>) -> Value {
    let of_kind = |id: &&String| id.split_once('/').unwrap().0 == kind;
    let entries: Vec<Value> =
        objects.keys().filter(of_kind).map(|id| entry(id, &objects[id])).collect();
    json!({"revision": 1, "objects": entries})
}

fn entry(id: &str, (version, value): &(u64, Value)) -> Value {
    let (kind, name) = id.split_once('/').unwrap();
    json!({"kind": kind, "name": name, "version": version, "value": value})
}

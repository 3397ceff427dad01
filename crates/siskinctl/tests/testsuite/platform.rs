//! A minimal platform on loopback, which serves only objects.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use indexmap::IndexMap;
use serde_json::{Value, json};

/// Versions and values of the objects, by `KIND/NAME`.
pub(crate) type Objects = Arc<Mutex<IndexMap<String, (u64, Value)>>>;

/// Starts a platform that serves the objects until the test process ends; returns its address.
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
    let (status, document) = respond(method, target, &body, &mut objects.lock().unwrap());
    let text = document.to_string();
    let length = text.len();
    write!(stream, "HTTP/1.1 {status} -\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n")
        .unwrap();
    stream.write_all(text.as_bytes()).unwrap();
}

/// Returns the status and JSON body of the response to a request.
fn respond(
    method: &str,
    target: &str,
    body: &[u8],
    objects: &mut IndexMap<String, (u64, Value)>,
) -> (u16, Value) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let id = path.strip_prefix("/objects/").unwrap();
    let version = objects.get(id).map_or(0, |it| it.0);
    let if_version = query.strip_prefix("if_version=").map(|it| it.parse().unwrap());
    match method {
        "GET" if !id.contains('/') => (200, list(id, objects)),
        "GET" => match objects.get(id) {
            Some(object) => (200, entry(id, object)),
            None => (404, json!({"error": "none"})),
        },
        _ if if_version != Some(version) => (409, json!({"version": version})),
        "PUT" => {
            let value = serde_json::from_slice(body).unwrap();
            objects.insert(id.to_owned(), (version + 1, value));
            (200, json!({"version": version + 1}))
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

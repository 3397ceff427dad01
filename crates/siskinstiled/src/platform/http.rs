//! The platform's object API over HTTP.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;
use siskinstile_core::{
    member,
    object::Name,
    store::{Answer, Call, Object},
};

use super::Platform;

/// Limit on setting up a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Limit on an answer.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time for which a watch is held open.
const WATCH: Duration = Duration::from_secs(5);

/// A client of the object API.
#[derive(Debug)]
pub struct Http {
    base: String,
}

impl Http {
    /// Creates a client of the platform at `address`.
    pub fn open(address: SocketAddr) -> Http {
        Http { base: format!("http://{address}") }
    }

    fn request(&self, call: &Call) -> attohttpc::Result<(u16, Value)> {
        let base = &self.base;
        let condition = |version: &Option<u64>| match version {
            Some(version) => format!("?if_version={version}"),
            None => String::new(),
        };
        let response = match call {
            Call::List { kind } => {
                bound(attohttpc::get(format!("{base}/objects/{kind}"))).send()?
            }
            Call::Get { kind, name } => {
                bound(attohttpc::get(format!("{base}/objects/{kind}/{name}"))).send()?
            }
            Call::Put { kind, name, value, if_version } => {
                let condition = condition(if_version);
                let url = format!("{base}/objects/{kind}/{name}{condition}");
                bound(attohttpc::put(url)).json(value)?.send()?
            }
            Call::Delete { kind, name, if_version } => {
                let condition = condition(if_version);
                bound(attohttpc::delete(format!("{base}/objects/{kind}/{name}{condition}")))
                    .send()?
            }
            Call::Watch { kinds, since } => {
                let wait = WATCH.as_millis();
                let kinds = kinds.join(",");
                let url = format!("{base}/watch?kinds={kinds}&since={since}&wait_ms={wait}");
                let request = attohttpc::get(url).connect_timeout(CONNECT);
                request.timeout(WATCH + DEADLINE).send()?
            }
            Call::Instances => bound(attohttpc::get(format!("{base}/instances"))).send()?,
        };
        let status = response.status().as_u16();
        Ok((status, response.json().unwrap_or(Value::Null)))
    }
}

fn bound(request: attohttpc::RequestBuilder) -> attohttpc::RequestBuilder {
    request.connect_timeout(CONNECT).timeout(DEADLINE)
}

impl Platform for Http {
    fn call(&self, call: &Call) -> Answer {
        let Ok((status, body)) = self.request(call) else { return Answer::Lost };
        match (status, call) {
            (409, _) => Answer::Conflict,
            (404, _) => Answer::Missing,
            (410, _) => Answer::Expired,
            (200, Call::List { .. }) => objects(&body, "objects"),
            (200, Call::Watch { .. }) => objects(&body, "events"),
            (200, Call::Get { .. }) => object(&body).map_or(Answer::Lost, Answer::Object),
            (200, Call::Put { .. }) => {
                Answer::Written { version: body["version"].as_u64().unwrap_or(0) }
            }
            (200, Call::Delete { .. }) => Answer::Written { version: 0 },
            (200, Call::Instances) => instances(&body),
            _ => Answer::Lost,
        }
    }
}

fn objects(body: &Value, field: &str) -> Answer {
    let (Some(revision), Some(list)) = (body["revision"].as_u64(), body[field].as_array()) else {
        return Answer::Lost;
    };
    let objects = list.iter().filter_map(object).collect();
    Answer::Objects { revision, objects }
}

fn object(value: &Value) -> Option<Object> {
    let text = |field: &str| value[field].as_str().map(Name::from);
    let version = value["version"].as_u64()?;
    let held = Some(value["value"].clone()).filter(|it| !it.is_null());
    Some(Object { kind: text("kind")?, name: text("name")?, version, value: held })
}

fn instances(body: &Value) -> Answer {
    let list = body["instances"].clone();
    match serde_json::from_value::<Vec<member::Record>>(list) {
        Ok(records) => Answer::Instances(records),
        Err(_) => Answer::Lost,
    }
}

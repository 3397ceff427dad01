//! Fake plain service, which echoes each request in its answer.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use serde_json::{Map, Value, json};
use siskinstile_macros::value;

use crate::{
    fault::Faults,
    http::{Answer, Call, Handler},
    server::Server,
};

/// Settings of a plain service.
#[value(serde, default)]
pub struct Config {
    /// Name of the endpoint in its answers.
    pub name: String,
    /// Processing time of each request, in milliseconds.
    pub delay_ms: u64,
}

/// A running plain service; it stops when dropped.
pub struct Plain {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    config: Config,
    ids: Mutex<Vec<String>>,
}

impl Plain {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub fn spawn(config: Config) -> anyhow::Result<Plain> {
        let shared = Arc::new(Shared { config, ids: Mutex::default() });
        let server = Server::spawn(Arc::clone(&shared), Faults::default())?;
        Ok(Plain { server, shared })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the switches for injected faults.
    pub fn faults(&self) -> &Faults {
        self.server.faults()
    }

    /// Returns the `X-Request-Id` of each request that was executed, in order; it is empty for a
    /// request without this header.
    pub fn runs(&self) -> Vec<String> {
        self.shared.ids.lock().expect("lock poisoned").clone()
    }

    /// Returns the text of the last 1,000 requests.
    pub fn transcripts(&self) -> Vec<String> {
        self.server.transcripts()
    }
}

impl Shared {
    /// Records a request and returns the number of requests so far.
    fn record(&self, call: &Call) -> usize {
        let mut ids = self.ids.lock().expect("lock poisoned");
        ids.push(call.header("X-Request-Id").unwrap_or_default().to_owned());
        ids.len()
    }
}

impl Handler for Shared {
    fn handle(&self, call: &Call) -> Answer {
        let count = self.record(call);
        thread::sleep(Duration::from_millis(self.config.delay_ms));
        let headers: Map<String, Value> =
            call.headers.iter().map(|(name, value)| (name.clone(), json!(value))).collect();
        let body = json!({
            "endpoint": self.config.name,
            "method": call.method,
            "path": call.target,
            "count": count,
            "body": String::from_utf8_lossy(&call.body),
            "headers": headers,
        });
        Answer::Json(200, body)
    }
}

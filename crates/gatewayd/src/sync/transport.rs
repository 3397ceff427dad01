//! Calls to the platform's store, and detection of its outages.

use std::time::Duration;

use http_body_util::BodyExt as _;
use siskinstile_gateway::record::{self, Record};
use tokio::time;

use super::Follower;
use crate::store::{Answer, Call, Fault};

/// Time limit for an answer, in addition to the wait that a watch requests.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of connections to the store.
const MAX_CONNECTIONS: usize = 8;

impl Follower {
    /// Calls the store; no answer within the time limit counts as lost.
    pub async fn call(&self, call: &Call) -> Result<Answer, Fault> {
        let wait = match call {
            Call::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        metrics::counter!("siskinstile_store_calls").increment(1);
        let result = match time::timeout(wait + RESPONSE_TIMEOUT, self.send(call)).await {
            Ok(result) => result,
            Err(_) => {
                self.control.client.close_idle(self.store);
                Err(Fault::Lost)
            }
        };
        self.record_result(&result);
        result
    }

    async fn send(&self, call: &Call) -> Result<Answer, Fault> {
        let protocol = &self.control.protocol;
        let request = protocol.store_request(call);
        let client = &self.control.client;
        let reply =
            client.send(self.store, request, MAX_CONNECTIONS).await.map_err(|_| Fault::Lost)?;
        let body = reply.body.collect().await.map_err(|_| Fault::Lost)?.to_bytes();
        let keep_alive = protocol.read_response(&reply.head).keep_alive;
        let status = reply.head.status.as_u16();
        client.put_idle(reply.connection, keep_alive);
        protocol.read_store_answer(call, status, &body)
    }

    /// Records the result of a call, and logs the start and the end of an outage.
    fn record_result(&self, result: &Result<Answer, Fault>) {
        let now = self.control.now();
        if result.is_ok() {
            *self.last_answer.borrow_mut() = Some(now);
        }
        let mut down_since = self.down_since.borrow_mut();
        match (result, *down_since) {
            (Ok(_), Some(since)) => {
                *down_since = None;
                let outage_ms = now.since(since).as_millis() as u64;
                self.control
                    .logger
                    .write(&Record::new(record::STORE_REGAINED).with("away_ms", outage_ms));
                self.endpoints.borrow_mut().mirror.store_recovered(now);
            }
            (Err(fault), None) => {
                *down_since = Some(now);
                let line = Record::new(record::STORE_LOST).with("fault", format!("{fault:?}"));
                self.control.logger.write(&line);
            }
            _ => {}
        }
    }
}

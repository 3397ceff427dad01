//! Calls to the platform's store, and whether it answers.

use std::time::Duration;

use http_body_util::BodyExt as _;
use siskinstile_gateway::record::{self, Record};
use tokio::time;

use super::Follower;
use crate::store::{Answer, Call, Fault};

/// Limit on an answer beyond the wait that was asked for.
const ANSWER_LIMIT: Duration = Duration::from_millis(700);
/// Connections to the store.
const MOST_CONNECTIONS: usize = 8;

impl Follower {
    /// Makes a call to the store.
    pub async fn call(&self, call: &Call) -> Result<Answer, Fault> {
        let wait = match call {
            Call::Watch { wait, .. } => *wait,
            _ => Duration::ZERO,
        };
        metrics::counter!("siskinstile_store_calls").increment(1);
        let result = match time::timeout(wait + ANSWER_LIMIT, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => {
                self.control.client.forget(self.store);
                Err(Fault::Lost)
            }
        };
        self.note(&result);
        result
    }

    async fn exchange(&self, call: &Call) -> Result<Answer, Fault> {
        let protocol = &self.control.protocol;
        let request = protocol.store_request(call);
        let client = &self.control.client;
        let reply =
            client.send(self.store, request, MOST_CONNECTIONS).await.map_err(|_| Fault::Lost)?;
        let body = reply.body.collect().await.map_err(|_| Fault::Lost)?.to_bytes();
        let keep = protocol.read_response(&reply.head).keep_alive;
        let status = reply.head.status.as_u16();
        client.keep(reply.connection, keep);
        protocol.read_store_answer(call, status, &body)
    }

    /// Notes whether the store answers.
    fn note(&self, result: &Result<Answer, Fault>) {
        let now = self.control.now();
        if result.is_ok() {
            *self.answered.borrow_mut() = Some(now);
        }
        let mut lost = self.lost_since.borrow_mut();
        match (result, *lost) {
            (Ok(_), Some(since)) => {
                *lost = None;
                let away = now.since(since).as_millis() as u64;
                self.control
                    .logger
                    .write(&Record::new(record::STORE_REGAINED).with("away_ms", away));
                self.endpoints.borrow_mut().mirror.store_regained(now);
            }
            (Err(fault), None) => {
                *lost = Some(now);
                let line = Record::new(record::STORE_LOST).with("fault", format!("{fault:?}"));
                self.control.logger.write(&line);
            }
            _ => {}
        }
    }
}

//! Calls to the platform's store, and detection of its outages.

use std::{cell::Cell, future, time::Duration};

use siskinstile_gateway::{
    Event, Instant,
    contact::{Answered, RESPONSE_TIMEOUT},
    record::{self, Record},
};
use tokio::time;

use super::Follower;
use crate::{
    body,
    client::Reuse,
    memory::Memory,
    store::{Answer, Call, Fault, Kind},
};

/// Time limit for all of a body.
const MAX_BODY_TIME: Duration = Duration::from_secs(10);
/// Size limit of an answer. An object has 1 MiB at most, and so does a page of a list.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Maximum number of connections to the store.
const MAX_CONNECTIONS: usize = 8;

impl Follower {
    /// Calls the store; an answer that does not progress within the time limits counts as lost.
    pub async fn call(&self, call: &Call) -> Result<Answer, Fault> {
        self.call_until(call, future::pending()).await
    }

    /// Calls the store, but gives the call up if an outage ends while no part of its answer has arrived: the
    /// answer may have been lost. A first read goes on unless it began before the call that shows the end: the store
    /// was reached by then.
    pub(super) async fn call_until_renewed(&self, call: &Call) -> Result<Answer, Fault> {
        let mut renewals = self.renewals.subscribe();
        let began = self.control.now();
        let is_first = self.is_first_read(call);
        self.call_until(call, async move {
            // The sender is a field of `self`, so the waits cannot fail.
            while renewals.changed().await.is_ok() {
                if !is_first || *renewals.borrow() > began {
                    return;
                }
            }
        })
        .await
    }

    async fn call_until(
        &self,
        call: &Call,
        given_up: impl Future<Output = ()>,
    ) -> Result<Answer, Fault> {
        metrics::counter!("siskinstile_store_calls").increment(1);
        let began = self.control.now();
        let result = self.send(call, given_up).await;
        self.record_result(began, &result);
        result
    }

    /// Records that an answer did not come in time, as the connections may be dead.
    fn time_out(&self) -> Fault {
        self.control.store_client.close_idle(self.store);
        Fault::Lost
    }

    async fn send(&self, call: &Call, given_up: impl Future<Output = ()>) -> Result<Answer, Fault> {
        let protocol = &self.control.protocol;
        let request = protocol.store_request(call);
        let client = &self.control.store_client;
        let limit = self.response_limit(call);
        let reply = client.send(self.store, request, MAX_CONNECTIONS, Reuse::Any);
        let reply = tokio::select! {
            biased;
            reply = time::timeout(limit, reply) => reply,
            () = given_up => return Err(Fault::GivenUp),
        };
        let reply = reply.map_err(|_| self.time_out())?.map_err(|_| Fault::Lost)?;
        let _receiving = Receiving::begin(&self.receiving);
        let memory = Memory::default();
        let body = body::read_parts(&memory, reply.body, MAX_ANSWER_BYTES, RESPONSE_TIMEOUT);
        let body = time::timeout(MAX_BODY_TIME, body).await.unwrap_or(Err(body::Fault::Stalled));
        let body = match body {
            Ok(body) => body,
            Err(body::Fault::Stalled) => return Err(self.time_out()),
            // A list has the same changes in pages.
            Err(body::Fault::TooLarge) if matches!(call, Call::Watch { .. }) => {
                log::warn!(
                    "a watch of the store has more than {MAX_ANSWER_BYTES} bytes of changes"
                );
                return Ok(Answer::Compacted);
            }
            Err(fault) => {
                log::debug!("answer of the store was not read: {fault:?}");
                return Err(Fault::Lost);
            }
        };
        let keep_alive = protocol.read_response(&reply.head).keep_alive;
        let status = reply.head.status.as_u16();
        client.put_idle(reply.connection, keep_alive);
        let era = self.check_era(protocol.read_store_era(&reply.head))?;
        protocol.read_store_answer(call, status, era, &body)
    }

    /// Returns the time limit for the head of the answer to a call.
    fn response_limit(&self, call: &Call) -> Duration {
        match call {
            Call::Watch { wait, .. } => *wait + RESPONSE_TIMEOUT,
            it if self.is_first_read(it) => self.contact.borrow().first_response_timeout(),
            _ => RESPONSE_TIMEOUT,
        }
    }

    /// Returns whether a call reads what this instance cannot do without and has never read.
    fn is_first_read(&self, call: &Call) -> bool {
        matches!(call, Call::List { kind, .. } if self.has_not_read(*kind))
    }

    /// Returns whether a kind that this instance cannot do without has never been read.
    fn has_not_read(&self, kind: Kind) -> bool {
        match kind {
            Kind::Members => !self.has_members.get(),
            _ => {
                self.kinds().any(|it| it == kind) && !self.replica(kind).borrow().mirror.is_listed()
            }
        }
    }

    /// Returns the era of an answer, and records it if it is a new one. The first era of a store
    /// that states none is 0.
    ///
    /// An answer of an earlier era than the one known is outdated and counts as lost, like one that
    /// states none after others have.
    fn check_era(&self, stated: Option<u64>) -> Result<u64, Fault> {
        let known = *self.era.borrow();
        match (stated, known) {
            (None, None) => Ok(0),
            (Some(stated), Some(known)) if stated == known => Ok(stated),
            (Some(stated), _) if known.is_none_or(|it| it < stated) => {
                self.era.send_replace(Some(stated));
                if known.is_some() {
                    let line = Record::new(record::STORE_RESTORED).with("era", stated);
                    self.control.logger.write(&line);
                }
                Ok(stated)
            }
            (stated, known) => {
                let line = Record::new(record::STORE_OUTDATED)
                    .with("era", stated)
                    .with("known_era", known);
                self.control.logger.write(&line);
                Err(Fault::Lost)
            }
        }
    }

    /// Waits until the store is in another era than `known`; returns that era.
    pub async fn era_after(&self, known: Option<u64>) -> Option<u64> {
        let mut era = self.era.subscribe();
        // The sender is a field of `self`, so the wait cannot fail.
        era.wait_for(|it| *it != known).await.ok().and_then(|it| *it)
    }

    /// Returns the era of the store; `None` before its first answer that states one.
    pub fn era(&self) -> Option<u64> {
        *self.era.borrow()
    }

    /// Records the result of a call that began at a time, and logs the start and the end of an outage.
    fn record_result(&self, began: Instant, result: &Result<Answer, Fault>) {
        let now = self.control.now();
        match result {
            Ok(_) => {
                let answered = self.contact.borrow_mut().answered(now);
                if let Answered::Renewed(outage) = answered {
                    let outage_ms = outage.as_millis() as u64;
                    let line = Record::new(record::STORE_REGAINED).with("away_ms", outage_ms);
                    self.control.logger.write(&line);
                    self.endpoints.borrow_mut().mirror.store_recovered(now);
                    self.renewals.send_replace(began);
                    self.control.post(Event::StoreContact(true));
                }
            }
            Err(Fault::GivenUp) => {}
            Err(fault) => {
                if self.contact.borrow_mut().lost(now) {
                    let line = Record::new(record::STORE_LOST).with("fault", format!("{fault:?}"));
                    self.control.logger.write(&line);
                    self.control.post(Event::StoreContact(false));
                }
            }
        }
    }
}

/// Counts an answer as being read until it is dropped.
struct Receiving<'a>(&'a Cell<u32>);

impl Receiving<'_> {
    fn begin(count: &Cell<u32>) -> Receiving<'_> {
        count.set(count.get() + 1);
        Receiving(count)
    }
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

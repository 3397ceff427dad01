//! The origin's side of dispatch: submits requests to a dispatcher and reports their progress.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;
use siskinstile_wire::message::dispatch::{
    Inventory, Kind as Payload, Placed, Progress, Queued, Refused, Released, Running, Step, Submit,
};

use crate::{
    Instant,
    error::{Failure, Kind, TABLE},
    object::{Endpoint, Name},
    request::{Id, Outcome, Phase, Placement, Request},
};

use super::{Sender, State};

/// Time after which an unacknowledged submission is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an acknowledged submission is sent again, in case the dispatcher has lost it.
const REMIND_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an acknowledgement after which a request is placed locally.
const ACK_TIMEOUT: Duration = Duration::from_millis(350);
/// Time between two inventories of running requests.
const INVENTORY_INTERVAL: Duration = Duration::from_secs(2);

/// A request submitted to a dispatcher.
#[value]
pub(super) struct Submission {
    dispatcher: Name,
    first_sent: Instant,
    last_sent: Instant,
    acknowledged: bool,
}

/// Submitted requests that have been neither placed nor refused, by identifier.
pub(super) type Submissions = IndexMap<Id, Submission>;

impl State {
    /// Submits a request to a dispatcher, for the first time or again.
    pub(super) fn submit_remote(&mut self, now: Instant, id: Id, dispatcher: Name) {
        let Some(request) = self.requests.get(&id) else { return };
        let submit = submit(now, request, request.attempt + 1);
        self.send_dispatch(&dispatcher, Payload::Submit(submit));
        let new = Submission {
            dispatcher: dispatcher.clone(),
            first_sent: now,
            last_sent: now,
            acknowledged: false,
        };
        let submission = self.forwarding.sent.entry(id).or_insert(new);
        submission.last_sent = now;
        if submission.dispatcher != dispatcher {
            *submission =
                Submission { dispatcher, first_sent: now, last_sent: now, acknowledged: false };
        }
    }

    /// Sends due submissions again. A request is placed locally instead if its submission has not
    /// been acknowledged within [`ACK_TIMEOUT`] or its pool has no other dispatcher any more.
    pub(super) fn resubmit_due(&mut self, now: Instant) {
        let due: Vec<(Id, Submission)> = self
            .forwarding
            .sent
            .iter()
            .filter(|(_, it)| {
                let interval = if it.acknowledged { REMIND_INTERVAL } else { RESEND_INTERVAL };
                now.since(it.last_sent) >= interval
            })
            .map(|(id, it)| (*id, it.clone()))
            .collect();
        for (id, submission) in due {
            let queued = self.requests.get(&id).filter(|it| it.phase == Phase::Queued);
            let Some(pool) = queued.map(|it| it.route.pool.clone()) else {
                self.forwarding.sent.swap_remove(&id);
                continue;
            };
            let unacknowledged =
                !submission.acknowledged && now.since(submission.first_sent) >= ACK_TIMEOUT;
            match self.dispatcher_of(now, &pool).filter(|_| !unacknowledged) {
                Some(dispatcher) => {
                    if dispatcher != submission.dispatcher {
                        self.withdraw_submission(id);
                    }
                    self.submit_remote(now, id, dispatcher);
                }
                None => {
                    self.trace.note(
                        now,
                        id,
                        format!("no acknowledgement from dispatcher {}", submission.dispatcher),
                    );
                    self.withdraw_submission(id);
                    self.enqueue_local(now, id);
                }
            }
        }
    }

    /// Withdraws the submission of a request from its dispatcher; does nothing if there is none.
    pub(super) fn withdraw_submission(&mut self, id: Id) {
        let Some(submission) = self.forwarding.sent.swap_remove(&id) else { return };
        let attempt = self.requests.get(&id).map_or(u32::MAX, |it| it.attempt + 1);
        self.send_released(&submission.dispatcher, id, attempt);
    }

    fn send_released(&mut self, to: &str, id: Id, attempt: u32) {
        let released = Released { request: id.0, attempt, tokens: 0, failed: false };
        self.send_dispatch(to, Payload::Released(released));
    }

    /// Records that the dispatcher has queued a request.
    pub(super) fn handle_queued(&mut self, _now: Instant, queued: &Queued) {
        let attempt = self.requests.get(&Id(queued.request)).map(|it| it.attempt + 1);
        if let Some(submission) = self.forwarding.sent.get_mut(&Id(queued.request)) {
            submission.acknowledged |= attempt == Some(queued.attempt);
        }
    }

    /// Starts an attempt at the endpoints that a dispatcher chose, or releases them if the
    /// placement is outdated.
    pub(super) fn handle_placed(&mut self, now: Instant, from: &Sender, placed: Placed) {
        let id = Id(placed.request);
        let request = self.requests.get(&id);
        if request.is_some_and(|it| it.placement.is_some() && it.attempt == placed.attempt) {
            return;
        }
        let expected = self.forwarding.sent.get(&id).is_some_and(|it| it.dispatcher == from.name)
            && request
                .is_some_and(|it| it.phase == Phase::Queued && it.attempt + 1 == placed.attempt);
        let placement = request.filter(|_| expected).and_then(|it| self.resolve(it, &placed));
        let Some(placement) = placement else {
            return self.send_released(&from.name, id, placed.attempt);
        };
        self.forwarding.sent.swap_remove(&id);
        self.trace.note(now, id, format!("{}: {}", from.name, placed.reason));
        self.start_attempt(now, id, placement);
    }

    fn resolve(&self, request: &Request, placed: &Placed) -> Option<Placement> {
        let pool = self.config.pool(&request.route.pool)?;
        let find = |name: &str| -> Option<Arc<Endpoint>> {
            let found = pool.endpoints.iter().find(|it| &*it.name == name && !it.leaving);
            found.cloned().map(Arc::new)
        };
        let prefill = match placed.prefill.as_str() {
            "" => None,
            name => Some(find(name)?),
        };
        Some(Placement { prefill, run: find(&placed.run)? })
    }

    /// Fails a request that its dispatcher refused; an outdated refusal is ignored.
    pub(super) fn handle_refused(&mut self, now: Instant, from: &Sender, refused: &Refused) {
        let id = Id(refused.request);
        let expected = self.forwarding.sent.get(&id).is_some_and(|it| it.dispatcher == from.name);
        let current = self
            .requests
            .get(&id)
            .is_some_and(|it| it.phase == Phase::Queued && it.attempt + 1 == refused.attempt);
        if !expected || !current {
            return;
        }
        self.forwarding.sent.swap_remove(&id);
        let kind = TABLE.iter().map(|row| row.kind).find(|it| it.as_str() == refused.kind);
        let failure = Failure::not_run(kind.unwrap_or(Kind::NoEndpoint))
            .with_retry_after(Duration::from_millis(refused.retry_ms));
        self.trace.note(now, id, format!("refused by dispatcher {}", from.name));
        self.fail_with_refund(now, id, failure);
    }

    /// Notifies the dispatcher that a request no longer uses its endpoints.
    pub(super) fn notify_released(&mut self, now: Instant, id: Id) {
        let Some((dispatcher, attempt)) = self.dispatcher_and_attempt(now, id) else { return };
        self.send_released(&dispatcher, id, attempt);
    }

    /// Notifies the dispatcher of the outcome of a step.
    pub(super) fn notify_progress(&mut self, now: Instant, id: Id, outcome: &Outcome) {
        let (step, tokens) = match outcome {
            Outcome::Computed { cached, .. } => (Step::Computed, *cached),
            Outcome::Imported => (Step::Imported, 0),
            Outcome::FirstByte => (Step::FirstByte, 0),
            Outcome::Completed { tokens, .. } => (Step::Completed, *tokens),
            Outcome::Failed { .. } => (Step::Failed, 0),
            Outcome::Refused { .. } => return,
        };
        let Some((dispatcher, attempt)) = self.dispatcher_and_attempt(now, id) else { return };
        let progress = Progress { request: id.0, attempt, step: step.into(), tokens };
        self.send_dispatch(&dispatcher, Payload::Progress(progress));
    }

    fn dispatcher_and_attempt(&self, now: Instant, id: Id) -> Option<(Name, u32)> {
        let request = self.requests.get(&id)?;
        let dispatcher = self.dispatcher_of(now, &request.route.pool)?;
        Some((dispatcher, request.attempt))
    }

    /// Sends the running requests to the dispatchers, so that a new dispatcher can rebuild its
    /// record and an old one can release what a lost message should have released.
    pub(super) fn send_inventory(&mut self, now: Instant) {
        if self.forwarding.inventory_sent_at.is_some_and(|at| now.since(at) < INVENTORY_INTERVAL) {
            return;
        }
        self.forwarding.inventory_sent_at = Some(now);
        let pools: Vec<Name> = self.config.pools().map(|it| it.name.clone()).collect();
        for pool in pools {
            let Some(dispatcher) = self.dispatcher_of(now, &pool) else { continue };
            let of_pool = self.requests.values().filter(|it| it.route.pool == pool);
            let running = of_pool.filter_map(|it| running(now, it)).collect();
            self.send_dispatch(
                &dispatcher,
                Payload::Inventory(Inventory { pool: pool.to_string(), running }),
            );
        }
    }
}

fn submit(now: Instant, request: &Request, attempt: u32) -> Submit {
    let arrival = &request.arrival;
    Submit {
        request: arrival.id.0,
        attempt,
        route: request.route.name.to_string(),
        team: request.team.as_deref().unwrap_or_default().to_owned(),
        prompt_tokens: arrival.prompt_tokens,
        max_tokens: arrival.max_tokens,
        prefixes: arrival.prefixes.to_vec(),
        age_ms: now.since(request.arrived).as_millis() as u64,
        excluded: request.excluded.iter().map(ToString::to_string).collect(),
    }
}

fn running(now: Instant, request: &Request) -> Option<Running> {
    let placement = request.placement.as_ref()?;
    let mut submit = submit(now, request, request.attempt);
    submit.prefixes.clear();
    submit.excluded.clear();
    let prefill = placement.prefill.as_ref().map_or(String::new(), |it| it.name.to_string());
    Some(Running { submit: Some(submit), prefill, run: placement.run.name.to_string() })
}

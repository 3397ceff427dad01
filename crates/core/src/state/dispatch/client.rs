//! The door's side: asking a dispatcher for endpoints and telling it what came of them.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;
use siskinstile_wire::message::dispatch::{
    Inventory, Kind as Said, Placed, Progress, Queued, Refused, Released, Running, Step, Submit,
};

use crate::{
    Instant,
    error::{Failure, Kind, TABLE},
    object::{Endpoint, Name},
    request::{Id, Outcome, Phase, Placement, Request},
};

use super::{Sender, State};

/// Time after which a question without a sign of its arrival is asked again.
const RESEND: Duration = Duration::from_millis(100);
/// Time after which one whose arrival is known is asked again, in case the dispatcher forgot it.
const REMIND: Duration = Duration::from_secs(1);
/// Time without a sign after which a request is placed here.
const SIGN_LIMIT: Duration = Duration::from_millis(350);
/// Time between two lists of what runs.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// A question to a dispatcher.
#[value]
pub(super) struct Question {
    to: Name,
    first: Instant,
    last: Instant,
    acknowledged: bool,
}

/// The open questions.
pub(super) type Asked = IndexMap<Id, Question>;

impl State {
    /// Asks a dispatcher for endpoints.
    pub(super) fn ask(&mut self, now: Instant, id: Id, to: Name) {
        let Some(request) = self.requests.get(&id) else { return };
        let submit = submit(now, request, request.attempt + 1);
        self.say(&to, Said::Submit(submit));
        let question = Question { to: to.clone(), first: now, last: now, acknowledged: false };
        let known = self.desk.asked.entry(id).or_insert(question);
        known.last = now;
        if known.to != to {
            *known = Question { to, first: now, last: now, acknowledged: false };
        }
    }

    /// Asks again what got no answer, and places here what got no sign.
    pub(super) fn ask_again(&mut self, now: Instant) {
        let due: Vec<(Id, Question)> = self
            .desk
            .asked
            .iter()
            .filter(|(_, it)| {
                let pause = if it.acknowledged { REMIND } else { RESEND };
                now.since(it.last) >= pause
            })
            .map(|(id, it)| (*id, it.clone()))
            .collect();
        for (id, question) in due {
            let queued = self.requests.get(&id).filter(|it| it.phase == Phase::Queued);
            let Some(pool) = queued.map(|it| it.route.pool.clone()) else {
                self.desk.asked.swap_remove(&id);
                continue;
            };
            let silent = !question.acknowledged && now.since(question.first) >= SIGN_LIMIT;
            match self.dispatcher_of(now, &pool).filter(|_| !silent) {
                Some(to) => {
                    if to != question.to {
                        self.withdraw_ask(id);
                    }
                    self.ask(now, id, to);
                }
                None => {
                    self.trace.note(now, id, format!("no sign of dispatcher {}", question.to));
                    self.withdraw_ask(id);
                    self.enqueue_here(now, id);
                }
            }
        }
    }

    /// Takes back a question.
    pub(super) fn withdraw_ask(&mut self, id: Id) {
        let Some(question) = self.desk.asked.swap_remove(&id) else { return };
        let attempt = self.requests.get(&id).map_or(u32::MAX, |it| it.attempt + 1);
        self.say_released(&question.to, id, attempt);
    }

    fn say_released(&mut self, to: &str, id: Id, attempt: u32) {
        let released = Released { request: id.0, attempt, tokens: 0, failed: false };
        self.say(to, Said::Released(released));
    }

    /// Notes that a question has arrived.
    pub(super) fn acknowledged(&mut self, _now: Instant, queued: &Queued) {
        let attempt = self.requests.get(&Id(queued.request)).map(|it| it.attempt + 1);
        if let Some(question) = self.desk.asked.get_mut(&Id(queued.request)) {
            question.acknowledged |= attempt == Some(queued.attempt);
        }
    }

    /// Starts an attempt at the endpoints that a dispatcher chose; gives back what is not wanted.
    pub(super) fn placed(&mut self, now: Instant, from: &Sender, placed: Placed) {
        let id = Id(placed.request);
        let request = self.requests.get(&id);
        if request.is_some_and(|it| it.placement.is_some() && it.attempt == placed.attempt) {
            return;
        }
        let wanted = self.desk.asked.get(&id).is_some_and(|it| it.to == from.name)
            && request
                .is_some_and(|it| it.phase == Phase::Queued && it.attempt + 1 == placed.attempt);
        let placement = request.filter(|_| wanted).and_then(|it| self.resolve(it, &placed));
        let Some(placement) = placement else {
            return self.say_released(&from.name, id, placed.attempt);
        };
        self.desk.asked.swap_remove(&id);
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

    /// Ends a request that a dispatcher refused.
    pub(super) fn refused_by(&mut self, now: Instant, from: &Sender, refused: &Refused) {
        let id = Id(refused.request);
        let asked = self.desk.asked.get(&id).is_some_and(|it| it.to == from.name);
        let current = self
            .requests
            .get(&id)
            .is_some_and(|it| it.phase == Phase::Queued && it.attempt + 1 == refused.attempt);
        if !asked || !current {
            return;
        }
        self.desk.asked.swap_remove(&id);
        let kind = TABLE.iter().map(|row| row.kind).find(|it| it.as_str() == refused.kind);
        let failure = Failure::not_run(kind.unwrap_or(Kind::NoEndpoint))
            .with_retry_after(Duration::from_millis(refused.retry_ms));
        self.trace.note(now, id, format!("refused by dispatcher {}", from.name));
        self.fail_with_refund(now, id, failure);
    }

    /// Tells the dispatcher that a request has left its endpoints.
    pub(super) fn tell_released(&mut self, now: Instant, id: Id) {
        let Some((to, attempt)) = self.dispatcher_for(now, id) else { return };
        self.say_released(&to, id, attempt);
    }

    /// Tells the dispatcher what became of a step.
    pub(super) fn tell_progress(&mut self, now: Instant, id: Id, outcome: &Outcome) {
        let (step, tokens) = match outcome {
            Outcome::Computed { cached, .. } => (Step::Computed, *cached),
            Outcome::Imported => (Step::Imported, 0),
            Outcome::FirstByte => (Step::First, 0),
            Outcome::Completed { tokens, .. } => (Step::Ended, *tokens),
            Outcome::Failed { .. } => (Step::Broken, 0),
            Outcome::Refused { .. } => return,
        };
        let Some((to, attempt)) = self.dispatcher_for(now, id) else { return };
        let progress = Progress { request: id.0, attempt, step: step.into(), tokens };
        self.say(&to, Said::Progress(progress));
    }

    fn dispatcher_for(&self, now: Instant, id: Id) -> Option<(Name, u32)> {
        let request = self.requests.get(&id)?;
        let to = self.dispatcher_of(now, &request.route.pool)?;
        Some((to, request.attempt))
    }

    /// Lists what runs to the dispatchers, so that a new one can rebuild its record and an old one
    /// frees what a lost message should have freed.
    pub(super) fn send_inventory(&mut self, now: Instant) {
        if self.desk.listed.is_some_and(|at| now.since(at) < LIST_INTERVAL) {
            return;
        }
        self.desk.listed = Some(now);
        let pools: Vec<Name> = self.config.pools().map(|it| it.name.clone()).collect();
        for pool in pools {
            let Some(to) = self.dispatcher_of(now, &pool) else { continue };
            let of_pool = self.requests.values().filter(|it| it.route.pool == pool);
            let running = of_pool.filter_map(|it| running(now, it)).collect();
            self.say(&to, Said::Inventory(Inventory { pool: pool.to_string(), running }));
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

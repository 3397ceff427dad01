//! From arrival to the queue: route, key, rate, claim.

use std::{sync::Arc, time::Duration};

use crate::{
    Instant, burn,
    error::{Failure, Kind},
    key, limit,
    object::{Route, Workload},
    request::{Arrival, Id, Phase, Request},
};

use super::State;

impl State {
    /// Takes a new request, or answers it with the reason why not.
    pub(super) fn arrive(&mut self, now: Instant, arrival: Arrival) {
        let id = arrival.id;
        match self.check(now, arrival) {
            Ok(request) => self.charge(now, request),
            Err(failure) => {
                self.trace.note(now, id, format!("refused: {}", failure.kind.as_str()));
                self.fail(now, id, failure);
            }
        }
    }

    fn check(&self, now: Instant, arrival: Arrival) -> Result<Request, Failure> {
        if self.is_refusing(now) {
            return Err(Failure::not_run(Kind::Draining));
        }
        if self.config.generation == 0 {
            return Err(Failure::not_run(Kind::NotReady));
        }
        let config = self.config.clone();
        let route = config.route(&arrival.target).map_err(Failure::not_run)?.clone();
        let key = arrival.key.as_ref().and_then(|secret| key::verify(&config.set, secret));
        if key.is_none() && !route.open {
            return Err(Failure::not_run(Kind::Unauthorized));
        }
        if key.is_some_and(|key| !route.open && self.is_grace_over(now, key)) {
            return Err(Failure::not_run(Kind::OfflineGrace));
        }
        let team = key.map(|key| key.team.clone());
        Ok(Request {
            key_name: key.map(|key| key.name.clone()),
            team,
            route,
            arrived: now,
            first_byte: None,
            phase: Phase::Admitting,
            attempt: 0,
            retries: 0,
            placement: None,
            kv: None,
            next_index: 0,
            charged: 0,
            claim_version: None,
            excluded: Vec::new(),
            sent: false,
            phase_since: now,
            time_by_cause: Default::default(),
            prefilled_at: now,
            hold_peers: Vec::new(),
            claim_writes: 0,
            arrival,
        })
    }

    fn cost(&self, route: &Route, arrival: &Arrival) -> u64 {
        match self.config.set.services.get(&route.service).map(|it| it.workload) {
            Some(Workload::Model) => arrival.prompt_tokens + arrival.max_tokens,
            _ => route.cost,
        }
    }

    /// Charges the team; the request waits if the right to spend has to come from elsewhere.
    fn charge(&mut self, now: Instant, mut request: Request) {
        let config = self.config.clone();
        let Some(team) = request.team.as_ref().and_then(|name| config.set.teams.get(name)) else {
            return self.accept(now, request);
        };
        let id = request.arrival.id;
        let tokens = self.cost(&request.route, &request.arrival);
        match self.limiter.take(now, team, id.0, tokens) {
            limit::Verdict::Granted => {
                request.charged = tokens;
                self.accept(now, request);
            }
            limit::Verdict::Pending => {
                self.trace.note(now, id, format!("waits for {tokens} tokens from other owners"));
                self.requests.insert(id, request);
            }
            limit::Verdict::Refused { retry_after, cause } => {
                self.requests.insert(id, request);
                self.refuse(now, id, retry_after, cause);
            }
        }
    }

    /// Goes on with a request whose right to spend has been decided.
    pub(super) fn charged(&mut self, now: Instant, id: Id, verdict: limit::Verdict) {
        let Some(mut request) = self.requests.swap_remove(&id) else { return };
        match verdict {
            limit::Verdict::Granted => {
                request.charged = self.cost(&request.route, &request.arrival);
                self.accept(now, request);
            }
            limit::Verdict::Refused { retry_after, cause } => {
                self.requests.insert(id, request);
                self.refuse(now, id, retry_after, cause);
            }
            limit::Verdict::Pending => {}
        }
    }

    /// Refuses a request whose team may not spend, and notes where its rights are.
    ///
    /// A team that is over its rate burns no service level; a fleet that cannot tell does.
    fn refuse(&mut self, now: Instant, id: Id, retry_after: Duration, cause: limit::Cause) {
        let config = self.config.clone();
        let Some(request) = self.requests.get(&id) else { return };
        let (service, name) = (request.route.service.clone(), request.team.clone());
        if let Some(team) = name.and_then(|name| config.set.teams.get(&name)) {
            if cause.is_fleet_fault() {
                self.burn.record_bad(now, &service, &team.name, burn::Cause::Refusal);
            }
            let rights = self.limiter.explain(now, team);
            let text =
                format!("refused: rate_limited, {rights}; again in {} ms", retry_after.as_millis());
            self.trace.note(now, id, text);
        }
        self.fail(now, id, Failure::not_run(Kind::RateLimited).with_retry_after(retry_after));
    }

    fn accept(&mut self, now: Instant, request: Request) {
        let id = request.arrival.id;
        let text = format!(
            "admitted on route {} for team {}, {} tokens charged",
            request.route.name,
            request.team.as_deref().unwrap_or("none"),
            request.charged,
        );
        self.trace.note(now, id, text);
        let needs_claim = self.needs_claim(&request);
        self.requests.insert(id, request);
        match needs_claim {
            true => self.claim(now, id),
            false => self.enqueue(now, id),
        }
    }

    /// Gives back to the team what a request did not use.
    pub(super) fn refund(&mut self, now: Instant, id: Id, tokens: u64) {
        let config = self.config.clone();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(team) = request.team.as_ref().and_then(|name| config.set.teams.get(name)) else {
            return;
        };
        if request.phase == Phase::Admitting {
            return self.limiter.cancel(&team.name, id.0);
        }
        let tokens = tokens.min(request.charged);
        request.charged -= tokens;
        if tokens > 0 {
            self.limiter.refund(now, team, tokens);
        }
    }

    /// Returns the route of a request that is not yet answered.
    pub(super) fn route_of(&self, id: Id) -> Option<Arc<Route>> {
        self.requests.get(&id).map(|it| it.route.clone())
    }
}

//! Admission of requests: route lookup, key verification, rate limit and claim.

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
    /// Handles a new request: admits it, or fails it with the reason.
    pub(super) fn handle_arrival(&mut self, now: Instant, arrival: Arrival) {
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
        self.check_quarantine(now, arrival.subject(team.as_deref()))?;
        Ok(Request {
            key_name: key.map(|key| key.name.clone()),
            team,
            route,
            arrived: now,
            first_byte: None,
            phase: Phase::Admitting,
            attempt: 0,
            step_retries: 0,
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

    /// Charges the team for a request, which waits if tokens have to be borrowed from other
    /// instances.
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
                self.trace.note(now, id, format!("waiting for {tokens} tokens from other owners"));
                self.requests.insert(id, request);
            }
            limit::Verdict::Refused { retry_after, cause } => {
                self.requests.insert(id, request);
                self.refuse_rate_limited(now, id, retry_after, cause);
            }
        }
    }

    /// Continues a request that waited for the limiter's verdict.
    pub(super) fn resume_charge(&mut self, now: Instant, id: Id, verdict: limit::Verdict) {
        let Some(mut request) = self.requests.swap_remove(&id) else { return };
        match verdict {
            limit::Verdict::Granted => {
                request.charged = self.cost(&request.route, &request.arrival);
                self.accept(now, request);
            }
            limit::Verdict::Refused { retry_after, cause } => {
                self.requests.insert(id, request);
                self.refuse_rate_limited(now, id, retry_after, cause);
            }
            limit::Verdict::Pending => {}
        }
    }

    /// Fails a request that the limiter refused, and records in its trace where the team's tokens
    /// are.
    ///
    /// The refusal counts against the service-level objective only if the fleet is at fault, not if
    /// the team exceeds its rate.
    fn refuse_rate_limited(
        &mut self,
        now: Instant,
        id: Id,
        retry_after: Duration,
        cause: limit::Cause,
    ) {
        let config = self.config.clone();
        let Some(request) = self.requests.get(&id) else { return };
        let (service, name) = (request.route.service.clone(), request.team.clone());
        if let Some(team) = name.and_then(|name| config.set.teams.get(&name)) {
            if cause.is_fleet_fault() {
                self.burn.record_bad(now, &service, &team.name, burn::Cause::Refusal);
            }
            let explanation = self.limiter.explain(now, team);
            let text = format!(
                "refused: rate_limited, {explanation}; retry after {} ms",
                retry_after.as_millis()
            );
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
            true => self.create_claim(now, id),
            false => self.enqueue(now, id),
        }
    }

    /// Refunds tokens of a request to its team, at most those charged.
    ///
    /// While the limiter's verdict is pending, the request is withdrawn from the limiter instead.
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

    /// Returns the route of an open request; none if the request is unknown.
    pub(super) fn route_of(&self, id: Id) -> Option<Arc<Route>> {
        self.requests.get(&id).map(|it| it.route.clone())
    }
}

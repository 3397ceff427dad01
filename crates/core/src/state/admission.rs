//! From arrival to the queue: route, key, rate, claim.

use std::sync::Arc;

use crate::{
    Instant, burn,
    error::{Failure, Kind},
    key, limit,
    object::{Name, Route, Workload},
    request::{Arrival, Id, Phase, Request},
};

use super::State;

impl State {
    /// Takes a new request, or answers it with the reason why not.
    pub(super) fn arrive(&mut self, now: Instant, arrival: Arrival) {
        let id = arrival.id;
        match self.admit(now, arrival) {
            Ok(request) => self.accept(now, request),
            Err(failure) => {
                self.trace.note(now, id, format!("refused: {}", failure.kind.as_str()));
                self.fail(id, failure);
            }
        }
    }

    fn admit(&mut self, now: Instant, arrival: Arrival) -> Result<Request, Failure> {
        if self.has_left(now) {
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
        if key.is_some_and(|key| !route.open && self.grace_is_over(now, key)) {
            return Err(Failure::not_run(Kind::OfflineGrace));
        }
        let team = key.map(|key| key.team.clone());
        let charged = self.cost(&route, &arrival);
        self.charge(now, &route, team.as_ref(), charged)?;
        Ok(Request {
            key_name: key.map(|key| key.name.clone()),
            team,
            route,
            arrived: now,
            first: None,
            phase: Phase::Admitting,
            attempt: 0,
            retries: 0,
            placement: None,
            kv: None,
            next_index: 0,
            charged,
            claim: None,
            avoid: Vec::new(),
            sent: false,
            since: now,
            computed: now,
            told: Vec::new(),
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

    fn charge(
        &mut self,
        now: Instant,
        route: &Route,
        team: Option<&Name>,
        tokens: u64,
    ) -> Result<(), Failure> {
        let config = self.config.clone();
        let Some(team) = team.and_then(|name| config.set.teams.get(name)) else { return Ok(()) };
        match self.limits.take(now, team, tokens) {
            limit::Verdict::Granted => Ok(()),
            limit::Verdict::Refused { retry_after } => {
                self.burn.bad(now, &route.service, &team.name, burn::Cause::Refusal);
                Err(Failure::not_run(Kind::RateLimited).with_retry_after(retry_after))
            }
        }
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
    pub(super) fn refund(&mut self, id: Id, tokens: u64) {
        let config = self.config.clone();
        let team = self.requests.get(&id).and_then(|it| it.team.clone());
        if let Some(team) = team.and_then(|name| config.set.teams.get(&name)) {
            self.limits.give_back(team, tokens);
        }
    }

    /// Returns the route of a request that is not yet answered.
    pub(super) fn route_of(&self, id: Id) -> Option<Arc<Route>> {
        self.requests.get(&id).map(|it| it.route.clone())
    }
}

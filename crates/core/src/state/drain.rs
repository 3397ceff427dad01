//! The graceful stop: unready first, refusals after the balancer's lag, exit when nothing is open.

use std::time::Duration;

use siskinstile_wire::Body;

use crate::{Effect, Instant, log};

use super::{Fault, State};

/// Ticks without anything to do before the exit: after a pause, requests may wait to be read.
const IDLE_TICKS: u32 = 2;

/// Longest time that a stop waits for claims and for the holds of peers.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);

impl State {
    pub(super) fn drain(&mut self, now: Instant) {
        if self.draining.is_none() {
            self.draining = Some(now);
            self.log(log::DRAINING, format!("{} requests open", self.requests.len()));
            self.emit(Effect::Ready(false));
        }
    }

    /// Returns whether the balancer has had time to stop sending requests.
    ///
    /// Only time in which this instance ran counts: after a pause, requests that came meanwhile
    /// wait to be read.
    pub(super) fn is_refusing(&self, now: Instant) -> bool {
        let running = self.holds.running_since();
        self.draining.is_some_and(|at| now.since(at.max(running)) >= self.settings.balancer_lag)
    }

    /// Returns whether no request is open, and every claim is settled and every hold of a peer
    /// handed over or cancelled, as far as that can be.
    fn is_idle(&self, now: Instant) -> bool {
        let waited = self.draining.is_some_and(|at| now.since(at) >= SETTLE_LIMIT);
        let settled = (self.settling.is_empty() && !self.keeps_holds()) || waited;
        (self.requests.is_empty() && settled) || self.has_fault(Fault::SkipDrainWait)
    }

    pub(super) fn drain_tick(&mut self, now: Instant) {
        let idle = self.is_refusing(now) && self.is_idle(now);
        self.idle_ticks = if idle { self.idle_ticks + 1 } else { 0 };
        if idle {
            self.hand_over_burn(now);
        }
        if self.idle_ticks >= IDLE_TICKS && !self.stopped {
            self.stopped = true;
            self.log(log::STOPPED, self.settings.name.to_string());
            self.emit(Effect::Stopped);
        }
    }

    /// Hands the service-level counts to the first ranked peer of the data centre; at the first
    /// idle tick, so that the messages have left before the process ends.
    fn hand_over_burn(&mut self, now: Instant) {
        let own = &self.settings.name;
        let peers = self.members.ranked(&self.settings.datacentre, own);
        let Some(peer) = peers.iter().map(|it| &it.name).find(|name| *name != own).cloned() else {
            return;
        };
        for message in std::mem::take(&mut self.burn).export(now) {
            self.send(&peer, Body::Burn(message));
        }
    }
}

//! Graceful shutdown: reports unready, refuses new requests after the load balancer's lag, and
//! stops when no work is left.

use std::time::Duration;

use siskinstile_wire::Body;

use crate::{Effect, Instant, log};

use super::{Fault, State};

/// Number of consecutive idle ticks before the stop. One is not enough: after a pause of the
/// process, requests may still wait to be read.
const IDLE_TICKS: u32 = 2;

/// Maximum time that a drain waits for outcomes of claims to be written and for holds of peers.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

impl State {
    pub(super) fn begin_drain(&mut self, now: Instant) {
        if self.draining_since.is_none() {
            self.draining_since = Some(now);
            self.log(log::DRAINING, format!("{} requests open", self.requests.len()));
            self.emit(Effect::Ready(false));
        }
    }

    /// Returns whether new requests are refused, because the load balancer has had time to stop
    /// sending them.
    ///
    /// Only time in which this instance was running counts: after a pause, requests that arrived
    /// during it still have to be read.
    pub(super) fn is_refusing(&self, now: Instant) -> bool {
        let running_since = self.holds.running_since();
        self.draining_since
            .is_some_and(|at| now.since(at.max(running_since)) >= self.settings.balancer_lag)
    }

    /// Returns whether no request is open, no outcome has to be written, and no hold of a peer has
    /// to be watched; the latter two only until [`SETTLE_TIMEOUT`] has passed.
    fn is_idle(&self, now: Instant) -> bool {
        let timed_out = self.draining_since.is_some_and(|at| now.since(at) >= SETTLE_TIMEOUT);
        let settled = (self.pending_outcomes.is_empty() && !self.has_peer_holds()) || timed_out;
        (self.requests.is_empty() && settled) || self.has_fault(Fault::SkipDrainWait)
    }

    pub(super) fn drain_tick(&mut self, now: Instant) {
        let idle = self.is_refusing(now) && self.is_idle(now);
        self.idle_ticks = if idle { self.idle_ticks + 1 } else { 0 };
        if idle {
            self.transfer_burn_counts(now);
        }
        if self.idle_ticks >= IDLE_TICKS && !self.stopped {
            self.stopped = true;
            self.log(log::STOPPED, self.settings.name.to_string());
            self.emit(Effect::Stopped);
        }
    }

    /// Sends the service-level counts to the first ranked peer of the data centre.
    ///
    /// Done at the first idle tick, so that the messages are sent before the process exits.
    fn transfer_burn_counts(&mut self, now: Instant) {
        let own_name = &self.settings.name;
        let peers = self.members.ranked(&self.settings.datacentre, own_name);
        let Some(peer) = peers.iter().map(|it| &it.name).find(|name| *name != own_name).cloned()
        else {
            return;
        };
        for message in std::mem::take(&mut self.burn).export(now) {
            self.send(&peer, Body::Burn(message));
        }
    }
}

//! Sending of heartbeats: loads, quota accounts, queue lengths and reconfiguring engines.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_wire::message::heartbeat::{
    Account as SentAccount, Count, Departure as SentDeparture, Heartbeat, Load as SentLoad,
    LowBucket,
};

use crate::{
    Effect, Instant,
    effect::{Recipient, Recipients},
    load::Load,
    name_hash::NameHash,
    pace::Source,
    quota::Account,
};

use super::{State, relays::REMOTE_DIGEST_INTERVAL};

/// Maximum time between two heartbeats.
pub(super) const MAX_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time between two heartbeats to relays.
const MAX_RELAYED_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two heartbeats within the data centre.
const MIN_LOCAL_INTERVAL: Duration = Duration::from_millis(15);
/// Minimum time between two heartbeats to relays, for each member of the data centre; a relay gets
/// those of all.
const RELAYED_INTERVAL_STEP: Duration = Duration::from_millis(2);
/// Upper limit of the minimum time between two heartbeats to relays.
const MAX_MIN_RELAYED_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two heartbeats to other data centres in a small fleet.
const MIN_REMOTE_INTERVAL: Duration = Duration::from_millis(120);
/// Members of a small fleet; in a larger one [`MIN_REMOTE_INTERVAL`] grows with the member count.
const SMALL_FLEET: f64 = 8.0;
/// Upper limit of the minimum time between two heartbeats to other data centres.
const MAX_REMOTE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time between two heartbeats that contain the accounts of all teams.
const FULL_ACCOUNTS_INTERVAL: Duration = Duration::from_secs(4);
/// The same with relays, which pass all of them on.
const RELAYED_FULL_ACCOUNTS_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which heartbeats repeat a changed account; longer than two intervals between remote
/// heartbeats.
const ACCOUNT_REPEAT_TIME: Duration = Duration::from_secs(3);
/// The same with relays: longer than two intervals between heartbeats to relays.
const RELAYED_ACCOUNT_REPEAT_TIME: Duration = Duration::from_millis(1_200);

impl State {
    /// Returns when the next heartbeat is due; sooner if something has changed.
    pub(super) fn heartbeat_due(&self) -> Instant {
        match self.fleet.members.is_relayed() {
            true => self.own_heartbeat_due().min(self.digest_due()),
            false => self.own_heartbeat_due().min(self.remote_heartbeat_due()),
        }
    }

    /// Sends the heartbeats and, as a relay, the digests that are due; none after that with which the
    /// instance leaves, which would make it a member again.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        match self.fleet.members.is_relayed() {
            _ if self.stopped => {}
            true => {
                self.send_to_relays(now);
                self.send_digests(now);
            }
            false => self.send_to_all(now),
        }
    }

    fn own_heartbeat_due(&self) -> Instant {
        let (min_interval, max_interval) = match self.fleet.members.is_relayed() {
            true => (self.relayed_interval(), MAX_RELAYED_INTERVAL),
            false => (MIN_LOCAL_INTERVAL, MAX_INTERVAL),
        };
        let interval = match self.fleet.loads.is_changed() || self.times.announcement_due {
            true => min_interval,
            false => max_interval,
        };
        self.times.last_heartbeat + interval
    }

    fn remote_heartbeat_due(&self) -> Instant {
        let interval = self.remote_interval();
        self.times.last_remote_heartbeat
            + if self.times.remote_announcement_due { interval } else { interval.max(MAX_INTERVAL) }
    }

    /// Returns the minimum time between two heartbeats to other data centres.
    pub(super) fn remote_interval(&self) -> Duration {
        let factor = (self.fleet.members.len() as f64 / SMALL_FLEET).max(1.0);
        MIN_REMOTE_INTERVAL.mul_f64(factor).min(MAX_REMOTE_INTERVAL)
    }

    /// Returns the minimum time between two heartbeats to relays.
    fn relayed_interval(&self) -> Duration {
        let interval = RELAYED_INTERVAL_STEP * self.fleet.relays.local_members;
        interval.clamp(MIN_LOCAL_INTERVAL, MAX_MIN_RELAYED_INTERVAL)
    }

    /// Returns the longest times between two signs of life of a peer in the own and in another data
    /// centre, if no message is lost.
    pub(super) fn liveness_intervals(&self) -> (Duration, Duration) {
        match self.fleet.members.is_relayed() {
            true => {
                let local = MAX_RELAYED_INTERVAL + self.digest_interval();
                (local, local + REMOTE_DIGEST_INTERVAL)
            }
            false => (MAX_INTERVAL, self.remote_interval().max(MAX_INTERVAL)),
        }
    }

    /// Returns the age that the loads of instances in the own data centre may have.
    pub(super) fn local_load_age(&self) -> Duration {
        match self.fleet.members.is_relayed() {
            true => self.relayed_interval() + self.digest_interval(),
            false => MIN_LOCAL_INTERVAL,
        }
    }

    /// Returns the age that the loads of instances in other data centres may have.
    pub(super) fn remote_load_age(&self) -> Duration {
        match self.fleet.members.is_relayed() {
            true => self.remote_interval() + self.local_load_age(),
            false => self.remote_interval(),
        }
    }

    /// Returns the time after which an instance knows what others have spent.
    pub(super) fn report_age(&self) -> Duration {
        match self.fleet.members.is_relayed() {
            true => self.remote_digest_age(),
            false => self.remote_interval(),
        }
    }

    /// Sends a heartbeat to all instances if one is due. Other data centres get fewer, since it is
    /// of less use to them.
    fn send_to_all(&mut self, now: Instant) {
        if now < self.own_heartbeat_due().min(self.remote_heartbeat_due()) {
            return;
        }
        self.times.remote_announcement_due |=
            self.fleet.loads.take_changed() || self.times.announcement_due;
        self.times.announcement_due = false;
        let to_remote = now >= self.remote_heartbeat_due();
        if to_remote {
            self.times.last_remote_heartbeat = now;
            self.times.remote_announcement_due = false;
        }
        self.times.last_heartbeat = now;
        let is_full_due = now.since(self.times.last_full_heartbeat) >= FULL_ACCOUNTS_INTERVAL;
        let since = match to_remote && is_full_due {
            true => Instant::default(),
            false => now - ACCOUNT_REPEAT_TIME,
        };
        let heartbeat = self.next_heartbeat(now, since);
        let recipients = if to_remote { Recipients::Everyone } else { Recipients::Datacentre };
        self.emit(Effect::Heartbeat { heartbeat: heartbeat.into(), recipients });
    }

    /// Sends a heartbeat to the relays of the data centre if one is due.
    fn send_to_relays(&mut self, now: Instant) {
        if now < self.own_heartbeat_due() {
            return;
        }
        self.fleet.loads.take_changed();
        self.times.announcement_due = false;
        self.times.last_heartbeat = now;
        let is_full_due =
            now.since(self.times.last_full_heartbeat) >= RELAYED_FULL_ACCOUNTS_INTERVAL;
        let since = match is_full_due {
            true => Instant::default(),
            false => now - RELAYED_ACCOUNT_REPEAT_TIME,
        };
        let heartbeat = self.next_heartbeat(now, since);
        let relays = self.fleet.relays.choice.relays().iter();
        let others = relays.filter(|it| **it != self.settings.name);
        let recipients = Recipients::Members(others.cloned().map(Recipient::new).collect());
        self.emit(Effect::Heartbeat { heartbeat: heartbeat.into(), recipients });
    }

    /// Returns a heartbeat with the next number and the accounts that have changed since `since`.
    pub(super) fn next_heartbeat(&mut self, now: Instant, since: Instant) -> Heartbeat {
        self.times.heartbeat_number += 1;
        if since == Instant::default() {
            self.times.last_full_heartbeat = now;
        }
        self.make_heartbeat(now, since, false)
    }

    /// Returns a heartbeat with this instance's loads and queue lengths and the accounts that have
    /// changed since `since`; with the default time, all accounts.
    pub(super) fn make_heartbeat(&self, now: Instant, since: Instant, leaving: bool) -> Heartbeat {
        let accounts: Vec<SentAccount> = self
            .fleet
            .ledger
            .accounts(since)
            .map(|(team, account)| sent_account(team, account))
            .collect();
        Heartbeat {
            name: self.settings.name.to_string(),
            incarnation: self.settings.incarnation,
            number: self.times.heartbeat_number,
            datacentre: self.settings.datacentre.to_string(),
            leaving,
            loads: self.fleet.loads.own().iter().map(sent_load).collect(),
            all_accounts: accounts.len() == self.fleet.ledger.account_count(),
            accounts,
            waiting: self.own_waiting().into_iter().map(sent_count).collect(),
            reconfiguring: self.planner.reconfiguring().map(|it| it.to_string()).collect(),
            departures: self.fleet.departures.announced(now).map(sent_departure).collect(),
            suspects: self.sent_suspects(now),
            suspect_groups: self.sent_suspect_groups(now),
            limits: self.sent_limits(now),
            cold: self.sent_cold(now),
            paces: self.sent_paces(now, &Source::OWN),
            low_buckets: self.fleet.ledger.low_buckets(now).into_iter().map(sent_low).collect(),
            configuration_version: self.catalog.as_ref().map_or(0, |it| it.version),
            cut_off: self.reach.cut_off_since().is_some(),
            // The adapter that follows the store sets its positions and its age.
            ..Heartbeat::default()
        }
    }

    /// Returns the number of requests in the queue, by service.
    pub(super) fn own_waiting(&self) -> IndexMap<&str, u32> {
        let mut waiting: IndexMap<&str, u32> = IndexMap::new();
        for it in self.queue.iter() {
            *waiting.entry(&it.service).or_default() += 1;
        }
        waiting
    }

    /// Returns the recipients of the heartbeat with which this instance leaves.
    pub(super) fn leave_recipients(&self) -> Recipients {
        match self.fleet.members.is_relayed() {
            // The relays tell the other data centres.
            true => Recipients::Datacentre,
            false => Recipients::Everyone,
        }
    }
}

/// Returns a load as it is sent.
pub(super) fn sent_load((endpoint, load): (&NameHash, &Load)) -> SentLoad {
    SentLoad {
        endpoint: endpoint.0,
        requests: load.requests,
        memory_tokens: load.memory_tokens,
        prompt_tokens: load.prompt_tokens,
    }
}

/// Returns an account as it is sent.
pub(super) fn sent_account(team: NameHash, account: Account) -> SentAccount {
    SentAccount { team: team.0, spent: account.spent, refunded: account.refunded }
}

/// Returns the length of a queue as it is sent.
pub(super) fn sent_count((name, count): (&str, u32)) -> Count {
    Count { name: name.to_owned(), count: count.into() }
}

fn sent_low((team, level): (NameHash, i64)) -> LowBucket {
    LowBucket { team: team.0, level }
}

fn sent_departure((endpoint, started_at_ms): (NameHash, Option<u64>)) -> SentDeparture {
    SentDeparture { endpoint: endpoint.0, started_at_ms }
}

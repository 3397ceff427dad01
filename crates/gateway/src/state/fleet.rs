//! Heartbeats between instances: loads, quota accounts, queue lengths and reconfiguring engines.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_wire::message::heartbeat::{
    Account as SentAccount, Count, Departure as SentDeparture, Heartbeat, Load as SentLoad,
};

use crate::{
    Effect, Instant, Name,
    load::Load,
    member::{Change, PEER_TIMEOUT, Peer},
    name_hash::NameHash,
    quota::{Account, Reception},
    record::{self, Record},
};

use super::{Settings, State};

/// Maximum time between two heartbeats.
const MAX_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two heartbeats within the data centre.
pub(super) const MIN_LOCAL_INTERVAL: Duration = Duration::from_millis(15);
/// Minimum time between two heartbeats to other data centres in a small fleet.
const MIN_REMOTE_INTERVAL: Duration = Duration::from_millis(120);
/// Members of a small fleet; in a larger one [`MIN_REMOTE_INTERVAL`] grows with the member count.
const SMALL_FLEET: f64 = 8.0;
/// Upper limit of the minimum time between two heartbeats to other data centres.
const MAX_REMOTE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time between two heartbeats that contain the accounts of all teams.
const FULL_ACCOUNTS_INTERVAL: Duration = Duration::from_secs(4);
/// Time for which heartbeats repeat a changed account; longer than two intervals between remote
/// heartbeats.
const ACCOUNT_REPEAT_TIME: Duration = Duration::from_secs(3);
/// Share of the configuration propagation time for which a watch on behalf of others may wait.
const FOLLOWER_WATCH_SHARE: f64 = 0.4;

impl State {
    /// Handles a heartbeat of another instance.
    pub(super) fn handle_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) {
        let name: Name = heartbeat.name.as_str().into();
        if *name == *self.settings.name
            || self.fleet.members.is_stale(&name, heartbeat.incarnation, heartbeat.number)
        {
            return;
        }
        if heartbeat.leaving {
            return self.peer_left(&name);
        }
        let accounts: Vec<(NameHash, Account)> = heartbeat.accounts.iter().map(account).collect();
        let sender = (name.clone(), heartbeat.incarnation);
        let reception = Reception {
            all_accounts: heartbeat.all_accounts,
            was_unreachable: !self.fleet.members.is_reachable(now, &name),
        };
        self.fleet.ledger.record_report(now, sender, &accounts, reception);
        self.fleet.loads.set_peer(&name, heartbeat.loads.iter().map(load).collect());
        let waiting = heartbeat.waiting.iter().map(|it| (Name::from(&*it.name), it.count as u32));
        let peer = Peer {
            incarnation: heartbeat.incarnation,
            number: heartbeat.number,
            datacentre: heartbeat.datacentre.as_str().into(),
            last_heartbeat: now,
            store_age: Duration::from_millis(heartbeat.store_age_ms.into()),
            waiting: waiting.collect(),
            reconfiguring: heartbeat.reconfiguring.iter().map(|it| it.as_str().into()).collect(),
        };
        let departures = heartbeat.departures.iter().map(departure);
        if self.fleet.departures.record_report(now, departures) {
            self.update_directory();
        }
        let old = self.fleet.members.record_heartbeat(name.clone(), peer);
        if let Some(old) = old.as_ref().filter(|it| it.incarnation != heartbeat.incarnation) {
            self.fleet.ledger.remove_peer(&(name.clone(), old.incarnation));
        }
        if old.is_none_or(|it| now.since(it.last_heartbeat) >= PEER_TIMEOUT) {
            self.log(Record::new(record::PEER_REACHABLE).with("peer", &*name));
        }
    }

    fn peer_left(&mut self, name: &Name) {
        self.fleet.loads.remove_peer(name);
        if let Some(peer) = self.fleet.members.remove(name) {
            self.fleet.ledger.remove_peer(&(name.clone(), peer.incarnation));
        }
    }

    /// Returns the number of instances that take precedence over this one in following the
    /// platform's store; `None` if this instance need not follow it.
    pub fn follow_rank(&self, now: Instant) -> Option<u32> {
        let Settings { name, datacentre, .. } = &self.settings;
        self.fleet.members.follow_rank(now, name, datacentre)
    }

    /// Returns the maximum wait of a store watch whose results other instances depend on; `None` in
    /// a small fleet, where each instance follows the store itself.
    pub fn follower_watch_wait(&self) -> Option<Duration> {
        let wait = self.settings.propagation.mul_f64(FOLLOWER_WATCH_SHARE);
        self.fleet.members.is_large().then_some(wait)
    }

    /// Drops the loads of peers without recent heartbeats, removes those without any for long, and
    /// updates the reachable share.
    pub(super) fn expire_peers(&mut self, now: Instant) {
        for change in self.fleet.members.expire(now) {
            match change {
                Change::Unresponsive(name) => self.fleet.loads.remove_peer(&name),
                Change::Expired(name, incarnation) => {
                    self.fleet.loads.remove_peer(&name);
                    self.fleet.ledger.remove_peer(&(name.clone(), incarnation));
                    self.log(Record::new(record::PEER_LOST).with("peer", &*name));
                }
            }
        }
        self.fleet.members.set_remote_interval(self.remote_interval().max(MAX_INTERVAL));
        let reachable_share = self.fleet.members.reachable_share(now);
        self.fleet.ledger.set_reachable_share(now, reachable_share);
    }

    /// Returns when the next heartbeat is due; sooner if something has changed.
    pub(super) fn heartbeat_due(&self) -> Instant {
        let local_due = match self.fleet.loads.is_changed() || self.times.announcement_due {
            true => self.times.last_heartbeat + MIN_LOCAL_INTERVAL,
            false => self.times.last_heartbeat + MAX_INTERVAL,
        };
        local_due.min(self.remote_heartbeat_due())
    }

    fn remote_heartbeat_due(&self) -> Instant {
        let interval = self.remote_interval();
        self.times.last_remote_heartbeat
            + if self.times.remote_announcement_due { interval } else { interval.max(MAX_INTERVAL) }
    }

    pub(super) fn remote_interval(&self) -> Duration {
        let factor = (self.fleet.members.len() as f64 / SMALL_FLEET).max(1.0);
        MIN_REMOTE_INTERVAL.mul_f64(factor).min(MAX_REMOTE_INTERVAL)
    }

    /// Sends a heartbeat if one is due. Other data centres get fewer, since it is of less use to
    /// them.
    pub(super) fn send_heartbeat(&mut self, now: Instant) {
        if now < self.heartbeat_due() {
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
        self.times.heartbeat_number += 1;
        let since = match to_remote
            && now.since(self.times.last_full_heartbeat) >= FULL_ACCOUNTS_INTERVAL
        {
            true => Instant::default(),
            false => now - ACCOUNT_REPEAT_TIME,
        };
        if since == Instant::default() {
            self.times.last_full_heartbeat = now;
        }
        let heartbeat = self.make_heartbeat(now, since, false);
        self.emit(Effect::Heartbeat { heartbeat, to_remote });
    }

    /// Returns a heartbeat with this instance's loads and queue lengths and the accounts that have
    /// changed since `since`; with the default time, all accounts.
    pub(super) fn make_heartbeat(&self, now: Instant, since: Instant, leaving: bool) -> Heartbeat {
        let loads = self.fleet.loads.own().iter().map(|(endpoint, load)| SentLoad {
            endpoint: endpoint.0,
            requests: load.requests,
            memory_tokens: load.memory_tokens,
            prompt_tokens: load.prompt_tokens,
        });
        let accounts = self.fleet.ledger.accounts(since).map(|(team, account)| SentAccount {
            team: team.0,
            spent: account.spent,
            refunded: account.refunded,
        });
        let mut waiting: IndexMap<&str, u64> = IndexMap::new();
        for it in self.queue.iter() {
            *waiting.entry(&it.service).or_default() += 1;
        }
        Heartbeat {
            name: self.settings.name.to_string(),
            incarnation: self.settings.incarnation,
            number: self.times.heartbeat_number,
            datacentre: self.settings.datacentre.to_string(),
            leaving,
            // Set by the adapter that follows the store.
            configuration_era: 0,
            configuration_revision: 0,
            endpoints_era: 0,
            endpoints_revision: 0,
            store_age_ms: 0,
            configuration_version: self.catalog.as_ref().map_or(0, |it| it.version),
            loads: loads.collect(),
            accounts: accounts.collect(),
            all_accounts: since == Instant::default(),
            waiting: waiting.into_iter().map(|(name, count)| queue_count(name, count)).collect(),
            reconfiguring: self.planner.reconfiguring().map(|it| it.to_string()).collect(),
            departures: self.fleet.departures.announced(now).map(sent_departure).collect(),
        }
    }
}

fn load(sent: &SentLoad) -> (NameHash, Load) {
    let load = Load {
        requests: sent.requests,
        memory_tokens: sent.memory_tokens,
        prompt_tokens: sent.prompt_tokens,
    };
    (NameHash(sent.endpoint), load)
}

fn account(sent: &SentAccount) -> (NameHash, Account) {
    let account = Account { spent: sent.spent, refunded: sent.refunded };
    (NameHash(sent.team), account)
}

fn departure(sent: &SentDeparture) -> (NameHash, Option<u64>) {
    (NameHash(sent.endpoint), sent.started_at_ms)
}

fn sent_departure((endpoint, started_at_ms): (NameHash, Option<u64>)) -> SentDeparture {
    SentDeparture { endpoint: endpoint.0, started_at_ms }
}

fn queue_count(name: &str, count: u64) -> Count {
    Count { name: name.to_owned(), count }
}

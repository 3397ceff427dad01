//! Handling of heartbeats of other instances.

use std::time::Duration;

use siskinstile_wire::message::heartbeat::{
    Account as SentAccount, Departure as SentDeparture, Heartbeat, Load as SentLoad, Member,
};

use crate::{
    Instant, Name,
    load::Load,
    member::{Change, NEVER, Peer},
    name_hash::NameHash,
    quota::{Account, Reception},
    record::{self, Record},
    relay::Pending,
};

use super::{Settings, State};

/// Share of the time within which all must know a change, for which a watch on behalf of others may wait.
const FOLLOWER_WATCH_SHARE: f64 = 0.4;

/// What a heartbeat or a relay's message says of an instance.
struct Heard<'a> {
    name: &'a Name,
    incarnation: u64,
    number: u64,
    datacentre: Name,
    heard_at: Instant,
    store_age: Duration,
    accounts: &'a [SentAccount],
    all_accounts: bool,
    address: &'a str,
    cut_off: bool,
}

/// Accounts that an instance has told: all of them, or those that have changed.
#[derive(Default)]
struct Told {
    accounts: Vec<(NameHash, Account)>,
    has_changed: bool,
    has_changed_reach: bool,
}

impl State {
    /// Handles a heartbeat of another instance, or a relay's message.
    pub(super) fn handle_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) {
        let name: Name = heartbeat.name.as_str().into();
        if *name == *self.settings.name {
            return;
        }
        if let Some(streams) = &heartbeat.streams {
            return self.handle_streams(now, &name, streams);
        }
        if self.fleet.members.is_stale(&name, heartbeat.incarnation, heartbeat.number) {
            return;
        }
        self.fleet.relays.choice.record_message(now, &name);
        let heard = Heard {
            name: &name,
            incarnation: heartbeat.incarnation,
            number: heartbeat.number,
            datacentre: heartbeat.datacentre.as_str().into(),
            heard_at: now,
            store_age: Duration::from_millis(heartbeat.store_age_ms.into()),
            accounts: &heartbeat.accounts,
            all_accounts: heartbeat.all_accounts,
            address: &heartbeat.address,
            cut_off: heartbeat.cut_off,
        };
        if heartbeat.leaving {
            let pending = Pending { leaving: true, ..pending(&heard, Told::default()) };
            self.relay_member(now, &name, pending);
            return self.peer_left(&name);
        }
        let told = self.record_member(now, &heard);
        let is_relay = !heartbeat.groups.is_empty();
        let is_local = heard.datacentre == self.settings.datacentre;
        if is_relay && !is_local {
            self.record_remote_relay(now, &heard.datacentre, &name);
        }
        if !is_relay || !is_local {
            self.relay_member(now, &name, pending(&heard, told));
        }
        let departures = heartbeat.departures.iter().map(departure);
        if self.fleet.departures.record_report(now, departures) {
            self.update_directory();
        }
        self.handle_suspects(now, &heartbeat);
        self.handle_suspect_groups(now, &heartbeat);
        self.handle_limits(now, &heartbeat);
        let low = heartbeat.low_buckets.iter().map(|it| (NameHash(it.team), it.level));
        self.fleet.ledger.record_low_buckets(now, low);
        self.handle_cold(now, &heartbeat);
        self.handle_paces(now, &heartbeat);
        match is_relay {
            true => self.handle_groups(now, &heartbeat),
            false => self.record_own_state(&name, &heartbeat),
        }
    }

    /// Records loads, queues and orders that an instance tells of itself.
    fn record_own_state(&mut self, name: &Name, heartbeat: &Heartbeat) {
        self.fleet.loads.set_peer(name, heartbeat.loads.iter().map(load).collect());
        if let Some(peer) = self.fleet.members.get_mut(name) {
            let waiting = heartbeat.waiting.iter();
            peer.waiting = waiting.map(|it| (Name::from(&*it.name), it.count as u32)).collect();
            let reconfiguring = heartbeat.reconfiguring.iter();
            peer.reconfiguring = reconfiguring.map(|it| it.as_str().into()).collect();
        }
    }

    /// Records a member that a relay has heard; returns what it has not known of it before, or
    /// `None` if that is nothing.
    pub(super) fn record_relayed(
        &mut self,
        now: Instant,
        datacentre: &Name,
        member: &Member,
    ) -> Option<(Name, Pending)> {
        let name: Name = member.name.as_str().into();
        if *name == *self.settings.name
            || self.fleet.members.is_stale(&name, member.incarnation, member.number)
        {
            return None;
        }
        let heard = Heard {
            name: &name,
            incarnation: member.incarnation,
            number: member.number,
            datacentre: datacentre.clone(),
            heard_at: now - Duration::from_millis(member.age_ms),
            store_age: member.store_age_ms.map_or(NEVER, |it| Duration::from_millis(it.into())),
            accounts: &member.accounts,
            all_accounts: member.all_accounts,
            address: &member.address,
            cut_off: member.cut_off,
        };
        if member.leaving {
            self.peer_left(&name);
            let pending = Pending { leaving: true, ..pending(&heard, Told::default()) };
            return Some((name, pending));
        }
        let told = self.record_member(now, &heard);
        let pending = pending(&heard, told);
        Some((name, pending))
    }

    /// Records that an instance is alive and what it has charged teams; returns what is to be passed
    /// on of the latter.
    fn record_member(&mut self, now: Instant, heard: &Heard) -> Told {
        let name = heard.name;
        let was_reachable = self.fleet.members.is_reachable(now, name);
        let accounts: Vec<(NameHash, Account)> = heard.accounts.iter().map(account).collect();
        let sender = (name.clone(), heard.incarnation);
        let reception =
            Reception { all_accounts: heard.all_accounts, was_unreachable: !was_reachable };
        let changed = self.fleet.ledger.record_report(now, sender, &accounts, reception);
        let known = self.fleet.members.get(name).filter(|it| it.incarnation == heard.incarnation);
        let peer = Peer {
            incarnation: heard.incarnation,
            number: heard.number,
            datacentre: heard.datacentre.clone(),
            last_heartbeat: heard.heard_at,
            store_age: heard.store_age,
            cut_off: heard.cut_off,
            waiting: known.map(|it| it.waiting.clone()).unwrap_or_default(),
            reconfiguring: known.map(|it| it.reconfiguring.clone()).unwrap_or_default(),
        };
        let old = self.fleet.members.record_heartbeat(name.clone(), peer);
        let was_cut_off = old.as_ref().is_some_and(|it| it.cut_off);
        if let Some(old) = old.filter(|it| it.incarnation != heard.incarnation) {
            self.fleet.ledger.remove_peer(&(name.clone(), old.incarnation));
        }
        if !was_reachable {
            self.log(Record::new(record::PEER_REACHABLE).with("peer", &**name));
        }
        let has_changed = !changed.is_empty();
        let accounts = if heard.all_accounts { accounts } else { changed };
        Told { accounts, has_changed, has_changed_reach: heard.cut_off != was_cut_off }
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
        let wait = self.settings.replication_limit().mul_f64(FOLLOWER_WATCH_SHARE);
        self.fleet.members.is_large().then_some(wait)
    }

    /// Returns the load of an endpoint over all instances, as known here.
    pub fn endpoint_load(&self, endpoint: &str) -> Load {
        self.fleet.loads.total(endpoint)
    }

    /// Returns the units that a team may still spend, as known here, as of its last use; `None` if it
    /// has no quota.
    pub fn quota_level(&self, team: &str) -> Option<f64> {
        self.fleet.ledger.status(team).map(|it| it.level)
    }

    /// Returns the fraction of the fleet that is reachable, this instance included, by which teams'
    /// rates are granted.
    pub fn reachable_share(&self) -> f64 {
        self.fleet.ledger.reachable_share()
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
        self.update_relays(now);
        self.fleet.limits.set_members(self.fleet.members.len());
        self.fleet.limits.expire(now);
        let members = &self.fleet.members;
        self.fleet.warm_up.set_members(now, members.names(), members.is_listed());
        self.fleet.paces.expire(now);
        let (local, remote) = self.liveness_intervals();
        self.fleet.members.set_intervals(local, remote);
        self.fleet.ledger.set_report_age(self.report_age());
        let reachable_share = self.fleet.members.reachable_share(now);
        self.fleet.ledger.set_reachable_share(now, reachable_share);
    }
}

fn pending(heard: &Heard, told: Told) -> Pending {
    Pending {
        datacentre: heard.datacentre.clone(),
        incarnation: heard.incarnation,
        number: heard.number,
        heard_at: heard.heard_at,
        leaving: false,
        store_age: heard.store_age,
        accounts: told.accounts.into_iter().collect(),
        has_changed: told.has_changed,
        has_changed_reach: told.has_changed_reach,
        all_accounts: heard.all_accounts,
        address: if heard.all_accounts { heard.address.to_owned() } else { String::new() },
        cut_off: heard.cut_off,
    }
}

/// Returns the load in a message, with the endpoint.
pub(super) fn load(sent: &SentLoad) -> (NameHash, Load) {
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

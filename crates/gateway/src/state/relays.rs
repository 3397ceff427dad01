//! The work of a relay: what it passes on, and how the others use it.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;
use siskinstile_wire::message::heartbeat::{
    Group as SentGroup, Heartbeat, Load as SentLoad, Member,
};

use crate::{
    Effect, Instant, Name,
    effect::{Recipient, Recipients},
    load::Load,
    member::Group,
    name_hash::NameHash,
    pace::Source,
    relay::{Choice, Outbox, Pending, RELAYS, SERVICE_TIME},
};

use super::{
    State, fleet,
    heartbeat::{sent_account, sent_count, sent_load},
};

/// Time between two digests within the data centre, for each member that gets them.
const DIGEST_INTERVAL_STEP: Duration = Duration::from_millis(5);
/// Lower limit of the time between two digests within the data centre.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(50);
/// Upper limit of the time between two digests within the data centre.
const MAX_DIGEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two digests to another data centre. Most tell only what teams have spent, which all
/// instances have to know soon; sums are sent at the interval of heartbeats without relays.
pub(super) const REMOTE_DIGEST_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum time between two digests within the data centre if a change is announced.
const MIN_ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(15);
/// Time without a digest of another data centre's relay after which it is passed over.
const REMOTE_RELAY_EXPIRY: Duration = Duration::from_millis(2_500);
/// Number of members of an unreachable data centre that are tried as relays.
const MAX_TRIED_RELAYS: usize = 4;
/// Time for which accounts of this instance are repeated in digests.
const ACCOUNT_REPEAT_TIME: Duration = Duration::from_secs(3);

/// Sums that a relay of another data centre has sent, to be passed on.
#[value]
struct RemoteSums {
    group: SentGroup,
    summed_at: Instant,
    is_told: bool,
}

/// The relays that this instance uses, and what it passes on itself.
#[value(default)]
pub(super) struct Relays {
    /// The relays of the own data centre.
    pub(super) choice: Choice,
    /// Number of members in the own data centre, this instance included.
    pub(super) local_members: u32,
    /// Until when this instance acts as a relay, since a member has sent it a heartbeat.
    serves_until: Instant,
    /// What is to be told within the data centre, and to the other ones.
    local: Outbox,
    remote: Outbox,
    remote_sums: IndexMap<Name, RemoteSums>,
    /// When this instance last sent its sums to other data centres.
    remote_sums_sent: Instant,
    /// Relays of other data centres that have sent a digest, with its time.
    remote_relays: IndexMap<Name, IndexMap<Name, Instant>>,
}

/// Returns the name under which the sums of a data centre are kept among the peers' loads; it can
/// be that of no instance.
fn sums_key(datacentre: &str) -> Name {
    format!("{datacentre}/").into()
}

impl State {
    fn is_relay(&self, now: Instant) -> bool {
        let is_chosen = self.fleet.relays.choice.relays().contains(&self.settings.name);
        self.fleet.members.is_relayed() && (is_chosen || now < self.fleet.relays.serves_until)
    }

    /// Chooses the relays, and drops sums that are too old or that a relay keeps itself.
    pub(super) fn update_relays(&mut self, now: Instant) {
        let members = &self.fleet.members;
        let (own, datacentre) = (&self.settings.name, &self.settings.datacentre);
        let known = members.peers_in(datacentre).map(|(name, _)| name);
        let reachable = known.filter(|it| members.is_reachable(now, it));
        let candidates = reachable.chain(members.unheard_in(datacentre)).filter(|it| *it != own);
        self.fleet.relays.choice.update(now, own, candidates.chain([own]));
        self.fleet.relays.local_members = self.local_peers().len() as u32 + 1;
        for datacentre in self.fleet.members.expire_groups(now) {
            self.fleet.loads.remove_peer(&sums_key(&datacentre));
            self.fleet.relays.remote_sums.swap_remove(&datacentre);
        }
        if self.is_relay(now) || !self.fleet.members.is_relayed() {
            let datacentre = self.settings.datacentre.clone();
            self.fleet.members.remove_group(&datacentre);
            self.fleet.loads.remove_peer(&sums_key(&datacentre));
        }
    }

    /// Returns the names of all other members of the data centre, heard or listed.
    fn local_peers(&self) -> Vec<Name> {
        let datacentre = &self.settings.datacentre;
        let heard = self.fleet.members.peers_in(datacentre).map(|(name, _)| name);
        let all = heard.chain(self.fleet.members.unheard_in(datacentre));
        all.filter(|it| **it != self.settings.name).cloned().collect()
    }

    /// Adds what a member has told this instance directly to what it passes on.
    pub(super) fn relay_member(&mut self, now: Instant, name: &Name, pending: Pending) {
        if !self.fleet.members.is_relayed() {
            return;
        }
        let is_local = pending.datacentre == self.settings.datacentre;
        if is_local && !pending.leaving {
            self.fleet.relays.serves_until = now + SERVICE_TIME;
        }
        if is_local && self.is_relay(now) {
            self.fleet.relays.remote.add(name, pending.clone());
        }
        if self.is_relay(now) {
            self.fleet.relays.local.add(name, pending);
        }
    }

    /// Records that a relay of another data centre has sent a digest.
    pub(super) fn record_remote_relay(&mut self, now: Instant, datacentre: &Name, name: &Name) {
        let relays = self.fleet.relays.remote_relays.entry(datacentre.clone()).or_default();
        relays.retain(|_, heard_at| now.since(*heard_at) < REMOTE_RELAY_EXPIRY);
        relays.insert(name.clone(), now);
    }

    /// Handles what a relay passes on.
    pub(super) fn handle_groups(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let is_relay = self.is_relay(now);
        let from_other = *heartbeat.datacentre != *self.settings.datacentre;
        for group in &heartbeat.groups {
            let datacentre: Name = group.datacentre.as_str().into();
            for member in &group.members {
                let heard = self.record_relayed(now, &datacentre, member);
                if let Some((name, pending)) = heard.filter(|_| is_relay && from_other) {
                    self.fleet.relays.local.add(&name, pending);
                }
            }
            let is_own = datacentre == self.settings.datacentre;
            match group.has_sums {
                true if is_own && !is_relay => self.record_own_sums(now, group, heartbeat),
                true if !is_own => self.record_sums(now, datacentre, group, from_other),
                _ => {}
            }
        }
    }

    /// Records the sums of another data centre, unless newer ones are known.
    fn record_sums(&mut self, now: Instant, datacentre: Name, group: &SentGroup, pass_on: bool) {
        let summed_at = now - Duration::from_millis(group.age_ms);
        let known = self.fleet.relays.remote_sums.get(&datacentre);
        if known.is_some_and(|it| it.summed_at >= summed_at) {
            return;
        }
        let loads = group.loads.iter().map(fleet::load).collect();
        self.fleet.loads.set_peer(&sums_key(&datacentre), loads);
        self.set_group(datacentre.clone(), summed_at, group, &IndexMap::new());
        let group = SentGroup { members: Vec::new(), ..group.clone() };
        let sums = RemoteSums { group, summed_at, is_told: !pass_on };
        self.fleet.relays.remote_sums.insert(datacentre, sums);
    }

    /// Records the sums of the own data centre, without this instance's part in them.
    fn record_own_sums(&mut self, now: Instant, group: &SentGroup, heartbeat: &Heartbeat) {
        let own: IndexMap<NameHash, Load> =
            heartbeat.receiver_loads.iter().map(fleet::load).collect();
        let others = group.loads.iter().map(fleet::load).map(|(endpoint, load)| {
            (endpoint, load.minus(own.get(&endpoint).copied().unwrap_or_default()))
        });
        let others = others.filter(|(_, it)| *it != Load::default()).collect();
        let datacentre = self.settings.datacentre.clone();
        self.fleet.loads.set_peer(&sums_key(&datacentre), others);
        let own_waiting = heartbeat.receiver_waiting.iter();
        let own_waiting = own_waiting.map(|it| (Name::from(&*it.name), it.count as u32)).collect();
        self.set_group(datacentre, now, group, &own_waiting);
        // What peers told this instance directly, while it was a relay, is in the sums.
        for name in self.local_peers() {
            self.fleet.loads.remove_peer(&name);
            if let Some(peer) = self.fleet.members.get_mut(&name) {
                peer.waiting.clear();
                peer.reconfiguring.clear();
            }
        }
    }

    fn set_group(
        &mut self,
        datacentre: Name,
        summed_at: Instant,
        group: &SentGroup,
        own_waiting: &IndexMap<Name, u32>,
    ) {
        let waiting = group.waiting.iter().map(|it| {
            let name = Name::from(&*it.name);
            let own = own_waiting.get(&name).copied().unwrap_or_default();
            (name, (it.count as u32).saturating_sub(own))
        });
        let reconfiguring = group.reconfiguring.iter().map(|it| it.as_str().into());
        let group =
            Group { summed_at, waiting: waiting.collect(), reconfiguring: reconfiguring.collect() };
        self.fleet.members.set_group(datacentre, group);
    }

    /// Returns the time between two digests within the data centre.
    pub(super) fn digest_interval(&self) -> Duration {
        let interval = DIGEST_INTERVAL_STEP * self.fleet.relays.local_members;
        interval.clamp(MIN_DIGEST_INTERVAL, MAX_DIGEST_INTERVAL)
    }

    fn local_digest_due(&self) -> Instant {
        let interval = match self.times.digest_announcement_due {
            true => MIN_ANNOUNCEMENT_INTERVAL,
            false => self.digest_interval(),
        };
        self.times.last_digest + interval
    }

    fn remote_digest_due(&self) -> Instant {
        self.times.last_remote_heartbeat + REMOTE_DIGEST_INTERVAL.min(self.remote_interval())
    }

    /// Returns the age that what instances in other data centres have spent may have.
    pub(super) fn remote_digest_age(&self) -> Duration {
        REMOTE_DIGEST_INTERVAL.min(self.remote_interval()) + self.local_load_age()
    }

    /// Returns when the next digest is due; the check whether this instance is a relay is made then.
    pub(super) fn digest_due(&self) -> Instant {
        self.local_digest_due().min(self.remote_digest_due())
    }

    /// Sends the digests that are due, if this instance is a relay.
    pub(super) fn send_digests(&mut self, now: Instant) {
        let (local_due, remote_due) = (self.local_digest_due(), self.remote_digest_due());
        let is_relay = self.is_relay(now);
        if now >= local_due {
            self.times.last_digest = now;
            self.times.digest_announcement_due = false;
            if is_relay {
                self.send_local_digest(now);
            }
        }
        if now >= remote_due {
            self.times.last_remote_heartbeat = now;
            if is_relay {
                self.send_remote_digest(now);
            }
        }
    }

    fn send_local_digest(&mut self, now: Instant) {
        let peers = self.local_peers();
        let mut groups =
            IndexMap::from([(self.settings.datacentre.clone(), self.own_group(&peers))]);
        for (datacentre, sums) in &mut self.fleet.relays.remote_sums {
            if !std::mem::replace(&mut sums.is_told, true) {
                let age_ms = now.since(sums.summed_at).as_millis() as u64;
                groups.insert(datacentre.clone(), SentGroup { age_ms, ..sums.group.clone() });
            }
        }
        for (name, pending) in self.fleet.relays.local.take_due(now) {
            let group = groups.entry(pending.datacentre.clone()).or_insert_with(|| SentGroup {
                datacentre: pending.datacentre.to_string(),
                ..SentGroup::default()
            });
            group.members.push(sent_member(now, &name, pending));
        }
        let recipients = peers.into_iter().map(|name| self.recipient(name)).collect();
        self.emit_digest(now, groups.into_values().collect(), &Source::ALL, recipients);
    }

    fn send_remote_digest(&mut self, now: Instant) {
        let has_sums = now.since(self.fleet.relays.remote_sums_sent) >= self.remote_interval();
        let mut group = match has_sums {
            true => self.own_group(&self.local_peers()),
            false => self.empty_group(),
        };
        if has_sums {
            self.fleet.relays.remote_sums_sent = now;
        }
        let due = self.fleet.relays.remote.take_due(now);
        group.members.extend(due.into_iter().map(|(name, it)| sent_member(now, &name, it)));
        let others = self.fleet.members.other_datacentres();
        let recipients = others.iter().filter_map(|it| self.counterpart(now, it));
        let recipients = recipients.map(Recipient::new).collect();
        self.emit_digest(now, vec![group], &Source::DATACENTRE, recipients);
    }

    fn emit_digest(
        &mut self,
        now: Instant,
        groups: Vec<SentGroup>,
        paces: &[Source],
        recipients: Vec<Recipient>,
    ) {
        let heartbeat = Heartbeat {
            groups,
            // These are in the group of the own data centre.
            loads: Vec::new(),
            waiting: Vec::new(),
            reconfiguring: Vec::new(),
            paces: self.sent_paces(now, paces),
            ..self.next_heartbeat(now, now - ACCOUNT_REPEAT_TIME)
        };
        let recipients = Recipients::Members(recipients);
        self.emit(Effect::Heartbeat { heartbeat: heartbeat.into(), recipients });
    }

    fn empty_group(&self) -> SentGroup {
        let datacentre = self.settings.datacentre.to_string();
        SentGroup { datacentre, ..SentGroup::default() }
    }

    /// Sums up the own data centre from what its members have told this instance.
    fn own_group(&self, peers: &[Name]) -> SentGroup {
        let mut waiting: IndexMap<&str, u32> = self.own_waiting();
        let mut reconfiguring: Vec<String> =
            self.planner.reconfiguring().map(|it| it.to_string()).collect();
        for peer in peers.iter().filter_map(|it| self.fleet.members.get(it)) {
            for (service, count) in &peer.waiting {
                *waiting.entry(service).or_default() += count;
            }
            reconfiguring.extend(peer.reconfiguring.iter().map(|it| it.to_string()));
        }
        let loads = self.fleet.loads.sum(peers.iter());
        SentGroup {
            loads: loads.iter().map(sent_load).collect(),
            waiting: waiting.into_iter().map(sent_count).collect(),
            reconfiguring,
            has_sums: true,
            ..self.empty_group()
        }
    }

    /// Returns a member of the own data centre as a recipient, with its part of the sums.
    fn recipient(&self, name: Name) -> Recipient {
        let loads: Vec<SentLoad> =
            self.fleet.loads.peer(&name).into_iter().flatten().map(sent_load).collect();
        let queues = self.fleet.members.get(&name).into_iter().flat_map(|it| &it.waiting);
        let waiting = queues.map(|(service, count)| sent_count((service, *count))).collect();
        Recipient { name, loads, waiting }
    }

    /// Returns the relay of another data centre that corresponds to this one: of those that have
    /// recently sent a digest, or else of the reachable members, that with the same rank here.
    ///
    /// If none is reachable, as in a cut, the first known members are tried in turn.
    fn counterpart(&self, now: Instant, datacentre: &str) -> Option<Name> {
        let members = &self.fleet.members;
        let relays = self.fleet.relays.remote_relays.get(datacentre).into_iter().flatten();
        let recent = relays.filter(|(_, it)| now.since(**it) < REMOTE_RELAY_EXPIRY);
        let mut candidates: Vec<&Name> = recent.map(|(name, _)| name).collect();
        let known = || members.peers_in(datacentre).map(|(name, _)| name);
        if candidates.is_empty() {
            candidates = known().filter(|it| members.is_reachable(now, it)).collect();
        }
        let own = self.fleet.relays.choice.relays().iter();
        let mut rank = own.take_while(|it| **it != self.settings.name).count().min(RELAYS - 1);
        let mut count = RELAYS;
        if candidates.is_empty() {
            candidates = known().chain(members.unheard_in(datacentre)).collect();
            rank += self.times.heartbeat_number as usize;
            count = MAX_TRIED_RELAYS;
        }
        candidates.sort_unstable_by_key(|it| NameHash::of(it));
        candidates.truncate(count);
        let chosen = rank.checked_rem(candidates.len())?;
        Some(candidates[chosen].clone())
    }
}

fn sent_member(now: Instant, name: &Name, pending: Pending) -> Member {
    Member {
        name: name.to_string(),
        incarnation: pending.incarnation,
        number: pending.number,
        age_ms: now.since(pending.heard_at).as_millis() as u64,
        leaving: pending.leaving,
        store_age_ms: u32::try_from(pending.store_age.as_millis())
            .ok()
            .filter(|it| *it != u32::MAX),
        accounts: pending.accounts.iter().map(|(team, it)| sent_account(*team, *it)).collect(),
        all_accounts: pending.all_accounts,
        address: pending.address,
        cut_off: pending.cut_off,
    }
}

//! Teams' rates and bursts, kept by every instance on its own copy of each team's bucket.
//!
//! An instance takes from its copy what it spends itself, and what its peers report to have spent. What
//! is given back for requests that have not run is reported as well: both sums only grow, so that a report
//! which comes late or twice does no harm.
//! While it hears only some of the peers it refills its copy by its part of the rate, so that the
//! parts of a fleet that is cut in pieces add up to the whole rate.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Instant, Name,
    catalog::{Quota, Team},
    name_hash::NameHash,
};

/// Part of a burst by which a copy may be overdrawn, since reports of refunds come late.
const OVERDRAFT: f64 = 0.25;

/// Part of a burst that a copy begins with at a restart, when what was spent before is forgotten.
const RESTART_LEVEL: f64 = 0.5;

/// Time between two looks at a bucket after which this instance may have stood still.
const PAUSE: Duration = Duration::from_millis(900);

/// Time after a silence in which a peer tells what it spent meanwhile: heartbeats that were held up come in order,
/// and those with all accounts are seconds apart.
const CATCH_UP: Duration = Duration::from_secs(5);

/// Time after a cut within which peers that were not heard have told what they spent.
const WITHHELD_LIMIT: Duration = Duration::from_secs(6);

/// Bursts by which peers' spending may take a copy below empty, so that what was spent before it was
/// known is made up for.
const MOST_DEBT: f64 = 4.0;

/// What an instance has charged a team since it started.
#[value(id, default)]
pub struct Account {
    /// Units that were charged.
    pub spent: u64,
    /// Units of these that were given back.
    pub refunded: u64,
}

impl Account {
    /// Takes over a newer report; returns the units by which what was kept has grown.
    fn advance(&mut self, newer: Account) -> f64 {
        let spent = newer.spent.saturating_sub(self.spent);
        let refunded = newer.refunded.saturating_sub(self.refunded);
        self.spent += spent;
        self.refunded += refunded;
        spent as f64 - refunded as f64
    }
}

/// What a peer has reported to have charged.
#[value(default)]
struct Report {
    accounts: IndexMap<NameHash, Account>,
    /// Whether it has reported all accounts; else one that is new here may be old there.
    complete: bool,
    /// Until when it may tell what it spent while it was not heard.
    catching_up_until: Instant,
}

/// How a report has come.
#[value(id)]
pub struct Reception {
    /// Whether it holds all accounts of its sender.
    pub all_accounts: bool,
    /// Whether its sender was not counted on just before, so that buckets were not refilled for it.
    pub was_unreachable: bool,
}

/// How a copy of a team's bucket stands.
#[value]
pub struct Status {
    /// Units that are left; negative where peers have spent more than there was.
    pub level: f64,
    /// Units that the team's quota grants in a second.
    pub rate: u64,
    /// Part of the rate by which the copy is refilled.
    pub reachable_share: f64,
}

/// A copy of a team's bucket.
#[value]
struct Bucket {
    quota: Quota,
    level: f64,
    refilled: Instant,
    /// Units that were left to members which were not heard, or that did not fit in while this instance
    /// stood still, until the others have told what they spent meanwhile.
    withheld: f64,
    /// When that was last so.
    cut: Instant,
}

impl Bucket {
    fn refill(&mut self, now: Instant, reachable_share: f64) {
        let elapsed = now.since(self.refilled);
        let earned = elapsed.as_secs_f64() * self.quota.rate as f64;
        let filled = self.level + earned * reachable_share;
        self.level = filled.min(self.quota.burst as f64);
        self.refilled = now;
        if reachable_share < 1.0 || elapsed >= PAUSE {
            self.withheld += earned * (1.0 - reachable_share) + (filled - self.level);
            self.cut = now;
        } else if now.since(self.cut) > WITHHELD_LIMIT {
            self.withheld = 0.0;
        }
    }

    /// Takes units that peers have spent, or gives back a negative number of them.
    fn charge(&mut self, units: f64) {
        let burst = self.quota.burst as f64;
        self.level = (self.level - units).clamp(-burst * MOST_DEBT, burst);
    }

    /// Takes units that a peer has spent while it was not heard: first from what was left to it.
    fn charge_withheld(&mut self, units: f64) {
        let covered = units.clamp(0.0, self.withheld);
        self.withheld -= covered;
        self.charge(units - covered);
    }

    fn overdraft(&self, reachable_share: f64) -> f64 {
        if reachable_share < 1.0 { 0.0 } else { self.quota.burst as f64 * OVERDRAFT }
    }
}

/// What this instance knows of all teams' spending.
#[value(default)]
pub struct Ledger {
    buckets: IndexMap<NameHash, Bucket>,
    /// What this instance has charged, with the moment of the last change.
    accounts: IndexMap<NameHash, (Account, Instant)>,
    /// What each peer has reported, by its name and incarnation.
    reported: IndexMap<(Name, u64), Report>,
    /// Part of the rate by which copies are refilled.
    reachable_share: f64,
}

impl Ledger {
    /// Puts teams' quotas in force; a bucket starts full only where the whole fleet has just started.
    pub fn configure<'a>(
        &mut self,
        now: Instant,
        teams: impl Iterator<Item = &'a Arc<Team>>,
        full: bool,
    ) {
        let mut old = std::mem::take(&mut self.buckets);
        for team in teams {
            let Some(quota) = team.quota.clone() else { continue };
            let level = quota.burst as f64 * if full { 1.0 } else { RESTART_LEVEL };
            let fresh =
                Bucket { quota: quota.clone(), level, refilled: now, withheld: 0.0, cut: now };
            let mut bucket = old.swap_remove(&NameHash::of(&team.name)).unwrap_or(fresh);
            bucket.refill(now, self.reachable_share);
            bucket.level = bucket.level.min(quota.burst as f64);
            bucket.quota = quota;
            self.buckets.insert(NameHash::of(&team.name), bucket);
        }
    }

    /// Sets the part of the fleet that is heard of, this instance included.
    pub fn set_reachable_share(&mut self, now: Instant, reachable_share: f64) {
        if self.reachable_share == reachable_share {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, self.reachable_share);
        }
        self.reachable_share = reachable_share;
    }

    /// Spends units of a team, or tells when they could be there.
    pub fn take(&mut self, now: Instant, team: &str, units: u64) -> Result<(), Duration> {
        let team = NameHash::of(team);
        let Some(bucket) = self.buckets.get_mut(&team) else { return Ok(()) };
        bucket.refill(now, self.reachable_share);
        let left = bucket.level + bucket.overdraft(self.reachable_share) - units as f64;
        if left < 0.0 {
            let rate = (bucket.quota.rate as f64 * self.reachable_share).max(1.0);
            return Err(Duration::from_secs_f64(-left / rate));
        }
        bucket.level -= units as f64;
        self.account(now, team).spent += units;
        Ok(())
    }

    /// Gives back units of a request that has not run and never will.
    pub fn refund(&mut self, now: Instant, team: &str, units: u64) {
        let team = NameHash::of(team);
        self.account(now, team).refunded += units;
        if let Some(bucket) = self.buckets.get_mut(&team) {
            bucket.charge(-(units as f64));
        }
    }

    /// Takes a peer's report of what it has charged teams.
    ///
    /// What was charged before the peer was first heard of is past.
    pub fn record_report(
        &mut self,
        now: Instant,
        peer: (Name, u64),
        accounts: &[(NameHash, Account)],
        reception: Reception,
    ) {
        let report = self.reported.entry(peer).or_default();
        if reception.was_unreachable {
            report.catching_up_until = now + CATCH_UP;
        }
        for (team, account) in accounts {
            let is_past = !report.complete && !report.accounts.contains_key(team);
            let more = report.accounts.entry(*team).or_default().advance(*account);
            let bucket = self.buckets.get_mut(team);
            if let Some(bucket) = bucket.filter(|_| more != 0.0 && !is_past) {
                bucket.refill(now, self.reachable_share);
                match now < report.catching_up_until {
                    true => bucket.charge_withheld(more),
                    false => bucket.charge(more),
                }
            }
        }
        report.complete |= reception.all_accounts;
    }

    /// Drops what a peer that is gone has reported.
    pub fn remove_peer(&mut self, peer: &(Name, u64)) {
        self.reported.swap_remove(peer);
    }

    /// Returns how a team's bucket stands.
    pub fn status(&self, team: &str) -> Option<Status> {
        let Bucket { quota, level, .. } = self.buckets.get(&NameHash::of(team))?;
        Some(Status { level: *level, rate: quota.rate, reachable_share: self.reachable_share })
    }

    fn account(&mut self, now: Instant, team: NameHash) -> &mut Account {
        let (account, changed) = self.accounts.entry(team).or_default();
        *changed = now;
        account
    }

    /// Returns what this instance has charged teams since it started: those whose account has changed
    /// since a moment.
    pub fn accounts(&self, since: Instant) -> impl Iterator<Item = (NameHash, Account)> {
        let changed = self.accounts.iter().filter(move |(_, (_, changed))| *changed >= since);
        changed.map(|(team, (account, _))| (*team, *account))
    }
}

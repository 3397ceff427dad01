//! Rate limits of teams, enforced by each instance on its own replica of each team's token bucket.
//!
//! An instance takes from its replica what it spends itself and what its peers report to have
//! spent. Refunds for requests that have not run are reported as well. Both sums are monotonic
//! counters, so late and duplicate reports are harmless.
//!
//! Operators grant a tolerance beyond rate and burst, as spending that is not reported yet cannot be
//! enforced exactly. What is left of it after that belongs to the team: a replica may be overdrawn by
//! it while there is room, so that a request is not refused for a debt that is within the grant.
//!
//! While only some of the members are reachable, an instance refills its replicas by the reachable
//! share of the rate, so that the parts of a partitioned fleet together grant the whole rate.

mod bucket;

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use siskinstile_macros::value;

use crate::{
    Instant, Name,
    catalog::{Quota, Team},
    name_hash::NameHash,
};

use bucket::Bucket;

/// Fraction of the burst that a replica starts with after a restart, which loses the record of
/// earlier spending.
const RESTART_LEVEL: f64 = 0.5;

/// Time after its start in which an instance takes over what peers tell of low buckets; longer than the
/// time between two heartbeats of a relay.
const LEARNING_TIME: Duration = Duration::from_secs(6);

/// Maximum number of low buckets that peers are told.
const MAX_LOW: usize = 32;

/// Time after a peer becomes reachable again in which its reports may cover the outage: delayed
/// heartbeats arrive in order, and those with all accounts are seconds apart.
const LATE_REPORT_TIME: Duration = Duration::from_secs(5);

/// Part of the tolerance by which a replica may be overdrawn, after what a partition and unreported
/// spending may take of it.
const TOLERANCE_SHARE: f64 = 0.75;

/// What operators grant a team in each window beyond its rate and burst.
#[value(default)]
pub struct Tolerance {
    /// Fraction of the units that rate and burst grant in a window.
    pub overshoot: f64,
    /// Further units.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Tolerance {
    /// Returns the units by which a replica may be overdrawn if spending is reported within
    /// `report_age`.
    ///
    /// The two sides of a partition, or an instance before and after its restart, may each spend a
    /// burst and the overdraft, and spend for the report age before each knows of the other.
    fn overdraft(&self, quota: &Quota, report_age: Duration) -> f64 {
        let (rate, burst) = (quota.rate as f64, quota.burst as f64);
        let granted = self.overshoot * (rate * self.window.as_secs_f64() + burst) + self.slack;
        let unreported = rate * report_age.as_secs_f64();
        ((granted - burst) / 2.0 - unreported).max(0.0) * TOLERANCE_SHARE
    }
}

/// What a request may be charged against.
#[value(id)]
pub enum Grant {
    /// The team's rate and burst.
    Quota,
    /// Also what is left of the tolerance, which is for times when other teams need no room.
    Tolerance,
}

/// Totals that an instance has charged a team since its start.
#[value(id, default)]
pub struct Account {
    /// Units charged.
    pub spent: u64,
    /// Units refunded.
    pub refunded: u64,
}

impl Account {
    /// Merges a newer report; returns the increase of the spent minus the refunded units.
    fn merge(&mut self, newer: Account) -> f64 {
        let spent = newer.spent.saturating_sub(self.spent);
        let refunded = newer.refunded.saturating_sub(self.refunded);
        self.spent += spent;
        self.refunded += refunded;
        spent as f64 - refunded as f64
    }
}

/// Accounts reported by a peer.
#[value(default)]
struct Report {
    accounts: IndexMap<NameHash, Account>,
    /// Whether it has reported all accounts; until then, an account that is new here may contain
    /// earlier spending.
    complete: bool,
    /// Until when its reports may cover spending from a time when it was unreachable.
    late_reports_until: Instant,
}

/// Circumstances of a report's arrival.
#[value(id)]
pub struct Reception {
    /// Whether the report contains all accounts of its sender.
    pub all_accounts: bool,
    /// Whether its sender was considered unreachable before, so that buckets were not refilled with
    /// its share.
    pub was_unreachable: bool,
}

/// Status of the replica of a team's bucket.
#[value]
pub struct Status {
    /// Units available; negative if peers have spent more than there were.
    pub level: f64,
    /// Units that the team's quota grants per second.
    pub rate: u64,
    /// Fraction of the rate by which the replica is refilled.
    pub reachable_share: f64,
}

/// Buckets of the teams at this instance, and the spending that it and its peers have reported.
#[value(default)]
pub struct Ledger {
    buckets: IndexMap<NameHash, Bucket>,
    /// Accounts of this instance, with the time of their last change.
    accounts: IndexMap<NameHash, (Account, Instant)>,
    /// Reports of each peer, by its name and incarnation.
    reported: IndexMap<(Name, u64), Report>,
    /// Fraction of the rate by which replicas are refilled.
    reachable_share: f64,
    tolerance: Tolerance,
    /// Time after which spending of peers has been reported.
    report_age: Duration,
    /// Until when low buckets are taken over from peers, as the record of earlier spending is lost.
    learns_until: Instant,
}

impl Ledger {
    /// Creates a ledger without teams that grants them a part of the tolerance.
    pub fn new(tolerance: Tolerance) -> Ledger {
        Ledger { tolerance, ..Ledger::default() }
    }

    /// Returns the teams whose buckets hold less than an instance takes for granted at its start, with
    /// what they hold; if there are too many, those with least relative to their burst. None while this
    /// instance takes over what others tell, since it does not know better.
    pub fn low_buckets(&self, now: Instant) -> Vec<(NameHash, i64)> {
        if now < self.learns_until {
            return Vec::new();
        }
        let fill = |it: &Bucket| it.level / it.quota.burst.max(1) as f64;
        let mut low: Vec<(&NameHash, &Bucket)> =
            self.buckets.iter().filter(|(_, it)| fill(it) < RESTART_LEVEL).collect();
        if low.len() > MAX_LOW {
            low.sort_by(|(_, a), (_, b)| fill(a).total_cmp(&fill(b)));
            low.truncate(MAX_LOW);
        }
        low.into_iter().map(|(team, it)| (*team, it.level as i64)).collect()
    }

    /// Takes over what a peer tells of low buckets, if this instance has started a short time ago.
    pub fn record_low_buckets(&mut self, now: Instant, low: impl Iterator<Item = (NameHash, i64)>) {
        if now >= self.learns_until {
            return;
        }
        for (team, level) in low {
            if let Some(bucket) = self.buckets.get_mut(&team) {
                bucket.refill(now, self.reachable_share);
                bucket.level = bucket.level.min(level as f64);
            }
        }
    }

    /// Sets the time after which spending of peers has been reported.
    pub fn set_report_age(&mut self, report_age: Duration) {
        if self.report_age == report_age {
            return;
        }
        self.report_age = report_age;
        for bucket in self.buckets.values_mut() {
            bucket.tolerated = self.tolerance.overdraft(&bucket.quota, report_age);
        }
    }

    /// Applies the quotas of teams. New buckets start full if `start_full`, which requires that the
    /// whole fleet has just started, and with a fixed fraction of the burst otherwise; existing
    /// ones keep their level, up to the new burst.
    pub fn configure<'a>(
        &mut self,
        now: Instant,
        teams: impl Iterator<Item = &'a Arc<Team>>,
        start_full: bool,
    ) {
        if self.buckets.is_empty() && !start_full {
            self.learns_until = now + LEARNING_TIME;
        }
        let mut old = std::mem::take(&mut self.buckets);
        for team in teams {
            let Some(quota) = team.quota.clone() else { continue };
            let level = quota.burst as f64 * if start_full { 1.0 } else { RESTART_LEVEL };
            let new_bucket = Bucket {
                quota: quota.clone(),
                level,
                tolerated: 0.0,
                refilled_at: now,
                withheld: 0.0,
                last_withheld: now,
            };
            let mut bucket = old.swap_remove(&NameHash::of(&team.name)).unwrap_or(new_bucket);
            bucket.refill(now, self.reachable_share);
            bucket.level = bucket.level.min(quota.burst as f64);
            bucket.tolerated = self.tolerance.overdraft(&quota, self.report_age);
            bucket.quota = quota;
            self.buckets.insert(NameHash::of(&team.name), bucket);
        }
    }

    /// Sets the fraction of the fleet that is reachable, this instance included.
    pub fn set_reachable_share(&mut self, now: Instant, reachable_share: f64) {
        if self.reachable_share == reachable_share {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.refill(now, self.reachable_share);
        }
        self.reachable_share = reachable_share;
    }

    /// Returns the fraction of the fleet that is reachable.
    pub fn reachable_share(&self) -> f64 {
        self.reachable_share
    }

    /// Spends units of a team; teams without a quota are not limited.
    ///
    /// # Errors
    ///
    /// Returns the time until the units will be available.
    pub fn take(
        &mut self,
        now: Instant,
        team: &str,
        units: u64,
        grant: Grant,
    ) -> Result<(), Duration> {
        let team = NameHash::of(team);
        let Some(bucket) = self.buckets.get_mut(&team) else { return Ok(()) };
        bucket.refill(now, self.reachable_share);
        let remaining = bucket.level + bucket.overdraft(self.reachable_share, grant) - units as f64;
        if remaining < 0.0 {
            let rate = (bucket.quota.rate as f64 * self.reachable_share).max(1.0);
            return Err(Duration::from_secs_f64(-remaining / rate));
        }
        bucket.level -= units as f64;
        self.account(now, team).spent += units;
        Ok(())
    }

    /// Refunds the units of a request that has not run and never will.
    pub fn refund(&mut self, now: Instant, team: &str, units: u64) {
        let team = NameHash::of(team);
        self.account(now, team).refunded += units;
        if let Some(bucket) = self.buckets.get_mut(&team) {
            bucket.charge(-(units as f64));
        }
    }

    /// Records a peer's report of what it has charged teams.
    ///
    /// Charges from before the peer's first report are not deducted. Returns the accounts that have
    /// changed since its last report.
    pub fn record_report(
        &mut self,
        now: Instant,
        peer: (Name, u64),
        accounts: &[(NameHash, Account)],
        reception: Reception,
    ) -> Vec<(NameHash, Account)> {
        let report = self.reported.entry(peer).or_default();
        if reception.was_unreachable {
            report.late_reports_until = now + LATE_REPORT_TIME;
        }
        let mut changed = Vec::new();
        for (team, account) in accounts {
            let is_baseline = !report.complete && !report.accounts.contains_key(team);
            let known = report.accounts.entry(*team).or_default();
            let before = *known;
            let increase = known.merge(*account);
            if *known != before {
                changed.push((*team, *known));
            }
            let bucket = self.buckets.get_mut(team);
            if let Some(bucket) = bucket.filter(|_| increase != 0.0 && !is_baseline) {
                bucket.refill(now, self.reachable_share);
                match now < report.late_reports_until {
                    true => bucket.charge_withheld(increase),
                    false => bucket.charge(increase),
                }
            }
        }
        report.complete |= reception.all_accounts;
        changed
    }

    /// Returns all accounts that a peer has reported.
    pub fn reported(&self, peer: &(Name, u64)) -> impl Iterator<Item = (NameHash, Account)> {
        let report = self.reported.get(peer);
        report.into_iter().flat_map(|it| &it.accounts).map(|(team, account)| (*team, *account))
    }

    /// Removes the reports of a peer.
    pub fn remove_peer(&mut self, peer: &(Name, u64)) {
        self.reported.swap_remove(peer);
    }

    /// Returns the status of a team's bucket; `None` if the team has no quota.
    pub fn status(&self, team: &str) -> Option<Status> {
        let Bucket { quota, level, .. } = self.buckets.get(&NameHash::of(team))?;
        Some(Status { level: *level, rate: quota.rate, reachable_share: self.reachable_share })
    }

    fn account(&mut self, now: Instant, team: NameHash) -> &mut Account {
        let (account, changed) = self.accounts.entry(team).or_default();
        *changed = now;
        account
    }

    /// Returns the number of accounts of this instance.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the accounts of this instance that have changed since `since`.
    pub fn accounts(&self, since: Instant) -> impl Iterator<Item = (NameHash, Account)> {
        let changed = self.accounts.iter().filter(move |(_, (_, changed))| *changed >= since);
        changed.map(|(team, (account, _))| (*team, *account))
    }
}

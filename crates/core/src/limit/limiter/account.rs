//! Accounts of teams: creation, return of loans not in use, and removal.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use indexmap::IndexMap;

use crate::{
    Instant,
    object::{Name, Team},
};

use super::{
    super::{
        loans::Loans,
        participant::{Owner, Table},
        usage::Usage,
    },
    Account, Limiter, SWEEP_INTERVAL,
};

/// Time after which a team without loans and waiting requests is dropped.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

impl Limiter {
    pub(super) fn account(&mut self, now: Instant, team: &Team) -> &mut Account {
        if !self.accounts.contains_key(&team.name) {
            let account = self.new_account(now, team);
            self.accounts.insert(team.name.clone(), account);
        }
        let account = &mut self.accounts[&team.name];
        account.last_used = now;
        if account.team != *team {
            account.team = team.clone();
        }
        account
    }

    fn new_account(&self, now: Instant, team: &Team) -> Account {
        let (owners, own_ppm) =
            owners_for(&self.table, &self.own_name, &self.datacentre, &team.name);
        Account {
            team: team.clone(),
            owners,
            own_ppm,
            loans: Loans::default(),
            waiting: VecDeque::new(),
            pending: Vec::new(),
            reported_levels: IndexMap::new(),
            search_order: Vec::new(),
            tried: 0,
            round_size: 1,
            any_unreached: false,
            exhausted: None,
            topped_up_at: None,
            pending_refund: 0,
            last_used: now,
            usage: Usage::default(),
        }
    }

    pub(super) fn sweep(&mut self, now: Instant) {
        let names: Vec<Name> = self.accounts.keys().cloned().collect();
        for name in names {
            self.accounts[&name].loans.expire(now);
            self.return_matching(&name, |it| now.since(it.last_used) >= SWEEP_INTERVAL);
        }
        self.accounts.retain(|_, it| {
            let open = !it.loans.is_empty() || !it.waiting.is_empty() || !it.pending.is_empty();
            open || now.since(it.last_used) < IDLE_LIMIT
        });
    }
}

/// Returns the other owners of a team in the order of preference of instance `own`, and the share
/// of `own`, in millionths.
pub(super) fn owners_for(
    table: &Table,
    own: &Name,
    datacentre: &Name,
    team: &Name,
) -> (Arc<[Owner]>, u64) {
    let mut owners = table.owners(team);
    let own_ppm = owners.iter().find(|it| it.participant.name == *own).map_or(0, |it| it.ppm);
    owners.retain(|it| it.participant.name != *own);
    owners.sort_by_key(|it| {
        let local = it.participant.datacentre == *datacentre;
        (std::cmp::Reverse(it.ppm), !local, crate::member::rank(&it.participant.name, own))
    });
    (owners.into(), own_ppm)
}

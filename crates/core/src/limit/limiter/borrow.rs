//! The borrower's side: search for tokens at other owners.

use std::time::Duration;

use siskinstile_wire::message::limit::{Borrow, Kind, Lend};

use crate::{Instant, object::Name};

use super::{
    super::{
        Cause, LOAN_TERM, MAX_ADMIT_WAIT, MAX_PARTICIPANTS_WAIT, Verdict, bucket::Share,
        loans::Loan,
    },
    Account, Limiter, Outgoing, PendingBorrow, Waiting,
};

/// Time after which a round of a search continues without an owner's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// One instance borrows at most the burst divided by this in advance of need.
const ADVANCE_DIVISOR: u64 = 64;
/// Tokens requested from the owners of a round together, as a multiple of the tokens missing.
const ROUND_EXCESS: u64 = 2;
/// Growth factor of the number of owners from one round to the next.
const ROUND_GROWTH: usize = 4;
/// Time for which an owner that did not answer is skipped.
const SKIP_PERIOD: Duration = Duration::from_secs(2);
/// Shortest and longest time for which the result of a failed search holds for later requests.
const MIN_EXHAUSTED: Duration = Duration::from_millis(20);
const MAX_EXHAUSTED: Duration = Duration::from_millis(500);
/// Shortest time between two loans in advance of need.
const TOP_UP_INTERVAL: Duration = Duration::from_millis(500);

impl Account {
    /// Returns the owners by expected level, highest first. A level is the last one reported plus
    /// what the share has earned since, or the full burst share if none was reported.
    pub(super) fn by_level(&self, now: Instant) -> Vec<Name> {
        let mut owners: Vec<(u64, &Name)> = self
            .owners
            .iter()
            .map(|it| {
                let share = Share::new(&self.team, it.ppm);
                let level = match self.reported_levels.get(&it.participant.name) {
                    Some((tokens, at)) => share.tokens_after(*tokens, now.since(*at)),
                    None => share.tokens_after(self.team.burst, Duration::ZERO),
                };
                (level, &it.participant.name)
            })
            .collect();
        owners.sort_by_key(|it| std::cmp::Reverse(it.0));
        owners.into_iter().map(|it| it.1.clone()).collect()
    }
}

impl Limiter {
    pub(super) fn enqueue(&mut self, now: Instant, name: &Name, waiting: Waiting) {
        let account = &mut self.accounts[name];
        if account.waiting.is_empty() {
            account.search_order = account.by_level(now);
            (account.tried, account.round_size, account.any_unreached) = (0, 1, false);
        }
        account.waiting.push_back(waiting);
        self.active.insert(name.clone());
        self.search(now, name);
    }

    /// Handles an owner's answer. An answer to another incarnation and a repeated answer are
    /// ignored.
    pub fn handle_lend(&mut self, now: Instant, from: &Name, lend: &Lend) {
        self.reset_after_pause(now);
        if lend.incarnation != self.incarnation {
            return;
        }
        self.unresponsive.swap_remove(from);
        let Some((account_index, _, account)) = self.accounts.get_full_mut(lend.team.as_str())
        else {
            return;
        };
        let position =
            account.pending.iter().position(|it| it.sequence == lend.sequence && it.owner == *from);
        let Some(index) = position else { return };
        let pending = account.pending.swap_remove(index);
        account.reported_levels.insert(from.clone(), (lend.remaining, now));
        let expires = pending.sent_at + LOAN_TERM;
        if lend.tokens > 0 && expires > now {
            account.loans.add(Loan {
                owner: from.clone(),
                sequence: lend.sequence,
                tokens: lend.tokens,
                unspent: lend.tokens,
                expires,
                last_used: now,
            });
        }
        let name = self.accounts.get_index(account_index).map(|it| it.0.clone());
        name.iter().for_each(|name| self.search(now, name));
    }

    /// Grants waiting requests, and starts the next round once all owners of the last one have
    /// answered or are overdue.
    pub(super) fn search(&mut self, now: Instant, name: &Name) {
        self.serve(now, name);
        let account = &self.accounts[name];
        let missing: u64 = account.waiting.iter().map(|it| it.tokens).sum();
        if missing == 0 || account.pending.iter().any(|it| !it.overdue) {
            return;
        }
        let missing = missing.saturating_sub(self.available(now, name)).max(1);
        if self.table.participants.is_empty() {
            return;
        }
        let targets = self.next_round(now, name);
        if targets.is_empty() {
            return self.refuse_all(now, name);
        }
        let count = targets.len() as u64;
        let advance = match count {
            1 => self.advance(now, name) / 2,
            _ => 0,
        };
        let per_owner = missing.min((missing * ROUND_EXCESS).div_ceil(count));
        targets
            .into_iter()
            .for_each(|owner| self.send_borrow(now, name, owner, per_owner, advance));
    }

    /// Returns the tokens to borrow in advance of need: the demand of the last second, capped at a
    /// small part of the burst, since tokens borrowed here are missing at other instances.
    fn advance(&mut self, now: Instant, name: &Name) -> u64 {
        let account = &mut self.accounts[name];
        account.usage.demand(now).min(account.team.burst / ADVANCE_DIVISOR)
    }

    /// Returns the owners of the next round, without those that recently did not answer.
    fn next_round(&mut self, now: Instant, name: &Name) -> Vec<Name> {
        let account = &mut self.accounts[name];
        let mut targets = Vec::new();
        while targets.len() < account.round_size && account.tried < account.search_order.len() {
            let owner = &account.search_order[account.tried];
            account.tried += 1;
            match self.unresponsive.get(owner) {
                Some(at) if now.since(*at) < SKIP_PERIOD => account.any_unreached = true,
                _ => targets.push(owner.clone()),
            }
        }
        account.round_size *= ROUND_GROWTH;
        targets
    }

    fn serve(&mut self, now: Instant, name: &Name) {
        while let Some(first) = self.accounts[name].waiting.front().cloned() {
            let team = self.accounts[name].team.clone();
            if !self.spend(now, &team, first.tokens) {
                return;
            }
            self.accounts[name].waiting.pop_front();
            self.accounts[name].exhausted = None;
            self.verdicts.push((first.wait, Verdict::Granted));
        }
    }

    /// Refuses all waiting requests and returns the loans.
    fn refuse_all(&mut self, now: Instant, name: &Name) {
        let account = &mut self.accounts[name];
        let cause = match account.any_unreached {
            _ if self.table.participants.is_empty() => Cause::NoParticipants,
            true => Cause::Unreached,
            false => Cause::Empty,
        };
        let waiting = std::mem::take(&mut account.waiting);
        let min_tokens = waiting.iter().map(|it| it.tokens).min().unwrap_or(0);
        for Waiting { wait, tokens, .. } in waiting {
            let verdict = self.refuse(now, name, tokens, cause);
            if let Verdict::Refused { retry_after, .. } = verdict {
                let validity = (retry_after / 2).clamp(MIN_EXHAUSTED, MAX_EXHAUSTED);
                self.accounts[name].exhausted = Some((now + validity, min_tokens));
            }
            self.verdicts.push((wait, verdict));
        }
        self.return_matching(name, |_| true);
    }

    /// Borrows in advance of need if the available tokens are less than half of the usual advance.
    pub(super) fn top_up(&mut self, now: Instant, name: &Name) {
        let available = self.available(now, name);
        let advance = self.advance(now, name);
        let account = &mut self.accounts[name];
        let recent = account.topped_up_at.is_some_and(|at| now.since(at) < TOP_UP_INTERVAL);
        let exhausted = account.exhausted.is_some_and(|(until, _)| now < until);
        if recent || exhausted || !account.pending.is_empty() || available >= advance / 2 {
            return;
        }
        account.topped_up_at = Some(now);
        let unresponsive = &self.unresponsive;
        let responsive =
            |owner: &Name| unresponsive.get(owner).is_none_or(|at| now.since(*at) >= SKIP_PERIOD);
        let owner = account.by_level(now).into_iter().find(|it| responsive(it));
        if let Some(owner) = owner {
            self.active.insert(name.clone());
            self.send_borrow(now, name, owner, 0, advance);
        }
    }

    fn send_borrow(&mut self, now: Instant, name: &Name, owner: Name, tokens: u64, advance: u64) {
        self.sequence += 1;
        let sequence = self.sequence;
        let account = &mut self.accounts[name];
        account.pending.push(PendingBorrow {
            owner: owner.clone(),
            sequence,
            sent_at: now,
            overdue: false,
        });
        let repayments = account.loans.close(&owner, |it| it.unspent == 0 || it.expires <= now);
        let refund = std::mem::take(&mut account.pending_refund);
        let borrow =
            Borrow { team: name.to_string(), tokens, advance, sequence, repayments, refund };
        self.outgoing.push(Outgoing { to: owner, kind: Kind::Borrow(borrow) });
    }

    /// Returns the loans that match `selects`, and all spent ones of the same owners.
    pub(super) fn return_matching(&mut self, name: &Name, selects: impl Fn(&Loan) -> bool) {
        let account = &mut self.accounts[name];
        for owner in account.loans.owners(&selects) {
            let repayments = account.loans.close(&owner, |it| selects(it) || it.unspent == 0);
            self.sequence += 1;
            let refund = std::mem::take(&mut account.pending_refund);
            let sequence = self.sequence;
            let team = name.to_string();
            let borrow = Borrow { team, tokens: 0, advance: 0, sequence, repayments, refund };
            self.outgoing.push(Outgoing { to: owner, kind: Kind::Borrow(borrow) });
        }
    }

    /// Marks overdue answers, drops expired borrow requests, and refuses requests that have waited
    /// too long.
    pub(super) fn expire_overdue(&mut self, now: Instant, name: &Name) {
        let Some(account) = self.accounts.get_mut(name) else {
            self.active.remove(name);
            return;
        };
        for pending in &mut account.pending {
            if !pending.overdue && now.since(pending.sent_at) >= ANSWER_TIMEOUT {
                pending.overdue = true;
                account.any_unreached = true;
                self.unresponsive.insert(pending.owner.clone(), now);
            }
        }
        account.pending.retain(|it| now.since(it.sent_at) < LOAN_TERM);
        let limit =
            if self.table.participants.is_empty() { MAX_PARTICIPANTS_WAIT } else { MAX_ADMIT_WAIT };
        if account.waiting.front().is_some_and(|it| now.since(it.waiting_since) >= limit) {
            self.refuse_all(now, name);
        } else {
            self.search(now, name);
        }
        let account = &self.accounts[name];
        if account.waiting.is_empty() && account.pending.is_empty() {
            self.active.remove(name);
        }
    }
}

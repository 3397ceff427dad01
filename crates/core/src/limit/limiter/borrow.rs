//! The search for rights that lie at other owners.

use std::time::Duration;

use siskinstile_wire::message::limit::{Borrow, Kind, Lend};

use crate::{Instant, object::Name};

use super::{
    super::{
        Cause, LOAN_TERM, MAX_ADMIT_WAIT, MAX_PARTICIPANTS_WAIT, Verdict, bucket::Share,
        loans::Loan,
    },
    Account, Asked, Limiter, Outgoing, Waiting,
};

/// Time after which a round of a search no longer waits for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(60);
/// Most that one instance borrows ahead of need, as a divisor of the burst.
const AHEAD_DIVISOR: u64 = 64;
/// What the owners of a round are asked for together, as a multiple of what is missing.
const ROUND_EXCESS: u64 = 2;
/// Growth of the number of owners from one round to the next.
const ROUND_GROWTH: usize = 4;
/// Time for which an owner that did not answer is asked last.
const SILENCE: Duration = Duration::from_secs(2);
/// Shortest and longest time for which a failed search stands for those that would follow.
const DRY_LEAST: Duration = Duration::from_millis(20);
const DRY_MOST: Duration = Duration::from_millis(500);
/// Shortest time between two loans ahead of need.
const TOP_UP_INTERVAL: Duration = Duration::from_millis(500);

impl Account {
    /// Returns the owners, those first that have the most as far as is known.
    pub(super) fn fullest(&self, now: Instant) -> Vec<Name> {
        let mut owners: Vec<(u64, &Name)> = self
            .owners
            .iter()
            .map(|it| {
                let part = Share::new(&self.team, it.ppm);
                let level = match self.levels.get(&it.participant.name) {
                    Some((tokens, at)) => part.tokens_after(*tokens, now.since(*at)),
                    None => part.tokens_after(self.team.burst, Duration::ZERO),
                };
                (level, &it.participant.name)
            })
            .collect();
        owners.sort_by_key(|it| std::cmp::Reverse(it.0));
        owners.into_iter().map(|it| it.1.clone()).collect()
    }
}

impl Limiter {
    pub(super) fn wait(&mut self, now: Instant, name: &Name, waiting: Waiting) {
        let account = &mut self.accounts[name];
        if account.waiting.is_empty() {
            account.order = account.fullest(now);
            (account.tried, account.width, account.unreached) = (0, 1, false);
        }
        account.waiting.push_back(waiting);
        self.busy.insert(name.clone());
        self.search(now, name);
    }

    /// Takes the answer of an owner; one to another incarnation, or a second one, changes nothing.
    pub fn handle_lend(&mut self, now: Instant, from: &Name, lend: &Lend) {
        self.notice_pause(now);
        if lend.incarnation != self.incarnation {
            return;
        }
        self.silent.swap_remove(from);
        let Some((index, _, account)) = self.accounts.get_full_mut(lend.team.as_str()) else {
            return;
        };
        let found =
            account.asked.iter().position(|it| it.sequence == lend.sequence && it.owner == *from);
        let Some(found) = found else { return };
        let asked = account.asked.swap_remove(found);
        account.levels.insert(from.clone(), (lend.remaining, now));
        let until = asked.at + LOAN_TERM;
        if lend.tokens > 0 && until > now {
            account.loans.add(Loan {
                owner: from.clone(),
                sequence: lend.sequence,
                tokens: lend.tokens,
                left: lend.tokens,
                until,
                used: now,
            });
        }
        let name = self.accounts.get_index(index).map(|it| it.0.clone());
        name.iter().for_each(|name| self.search(now, name));
    }

    /// Serves what waits, and asks more owners if all that were asked have answered.
    pub(super) fn search(&mut self, now: Instant, name: &Name) {
        self.serve(now, name);
        let account = &self.accounts[name];
        let missing: u64 = account.waiting.iter().map(|it| it.tokens).sum();
        if missing == 0 || account.asked.iter().any(|it| !it.overdue) {
            return;
        }
        let missing = missing.saturating_sub(self.available(now, name)).max(1);
        if self.table.participants.is_empty() {
            return;
        }
        let targets = self.round(now, name);
        if targets.is_empty() {
            return self.refuse_all(now, name);
        }
        let count = targets.len() as u64;
        let ahead = match count {
            1 => self.ahead(now, name) / 2,
            _ => 0,
        };
        let each = missing.min((missing * ROUND_EXCESS).div_ceil(count));
        targets.into_iter().for_each(|owner| self.send_ask(now, name, owner, each, ahead));
    }

    /// Returns what it makes sense to borrow ahead of need: the recent demand of a second, if that
    /// is a small part of the burst; what lies borrowed at one instance is missing at the others.
    fn ahead(&mut self, now: Instant, name: &Name) -> u64 {
        let account = &mut self.accounts[name];
        account.usage.demand(now).min(account.team.burst / AHEAD_DIVISOR)
    }

    /// Returns the owners of the next round; those that lately did not answer are passed over.
    fn round(&mut self, now: Instant, name: &Name) -> Vec<Name> {
        let account = &mut self.accounts[name];
        let mut targets = Vec::new();
        while targets.len() < account.width && account.tried < account.order.len() {
            let owner = &account.order[account.tried];
            account.tried += 1;
            match self.silent.get(owner) {
                Some(at) if now.since(*at) < SILENCE => account.unreached = true,
                _ => targets.push(owner.clone()),
            }
        }
        account.width *= ROUND_GROWTH;
        targets
    }

    fn serve(&mut self, now: Instant, name: &Name) {
        while let Some(first) = self.accounts[name].waiting.front().cloned() {
            let team = self.accounts[name].team.clone();
            if !self.spend(now, &team, first.tokens) {
                return;
            }
            self.accounts[name].waiting.pop_front();
            self.accounts[name].dry = None;
            self.verdicts.push((first.wait, Verdict::Granted));
        }
    }

    /// Refuses what waits and hands back what could not be used.
    fn refuse_all(&mut self, now: Instant, name: &Name) {
        let account = &mut self.accounts[name];
        let cause = match account.unreached {
            _ if self.table.participants.is_empty() => Cause::NoParticipants,
            true => Cause::Unreached,
            false => Cause::Empty,
        };
        let waiting = std::mem::take(&mut account.waiting);
        let least = waiting.iter().map(|it| it.tokens).min().unwrap_or(0);
        for Waiting { wait, tokens, .. } in waiting {
            let verdict = self.refused(now, name, tokens, cause);
            if let Verdict::Refused { retry_after, .. } = verdict {
                let pause = (retry_after / 2).clamp(DRY_LEAST, DRY_MOST);
                self.accounts[name].dry = Some((now + pause, least));
            }
            self.verdicts.push((wait, verdict));
        }
        self.hand_back(name, |_| true);
    }

    /// Borrows ahead of need if what is here would last less than half of the usual interval.
    pub(super) fn top_up(&mut self, now: Instant, name: &Name) {
        let available = self.available(now, name);
        let ahead = self.ahead(now, name);
        let account = &mut self.accounts[name];
        let recent = account.topped_up.is_some_and(|at| now.since(at) < TOP_UP_INTERVAL);
        let dry = account.dry.is_some_and(|(until, _)| now < until);
        if recent || dry || !account.asked.is_empty() || available >= ahead / 2 {
            return;
        }
        account.topped_up = Some(now);
        let silent = &self.silent;
        let heard = |owner: &Name| silent.get(owner).is_none_or(|at| now.since(*at) >= SILENCE);
        let owner = account.fullest(now).into_iter().find(|it| heard(it));
        if let Some(owner) = owner {
            self.busy.insert(name.clone());
            self.send_ask(now, name, owner, 0, ahead);
        }
    }

    fn send_ask(&mut self, now: Instant, name: &Name, owner: Name, tokens: u64, advance: u64) {
        self.sequence += 1;
        let sequence = self.sequence;
        let account = &mut self.accounts[name];
        account.asked.push(Asked { owner: owner.clone(), sequence, at: now, overdue: false });
        let repayments = account.loans.close(&owner, |it| it.left == 0 || it.until <= now);
        let refund = std::mem::take(&mut account.refund);
        let borrow =
            Borrow { team: name.to_string(), tokens, advance, sequence, repayments, refund };
        self.out.push(Outgoing { to: owner, kind: Kind::Borrow(borrow) });
    }

    /// Gives up the loans that `ends` selects, and those that are used up with them.
    pub(super) fn hand_back(&mut self, name: &Name, ends: impl Fn(&Loan) -> bool) {
        let account = &mut self.accounts[name];
        for owner in account.loans.owners(&ends) {
            let repayments = account.loans.close(&owner, |it| ends(it) || it.left == 0);
            self.sequence += 1;
            let refund = std::mem::take(&mut account.refund);
            let sequence = self.sequence;
            let team = name.to_string();
            let borrow = Borrow { team, tokens: 0, advance: 0, sequence, repayments, refund };
            self.out.push(Outgoing { to: owner, kind: Kind::Borrow(borrow) });
        }
    }

    /// Ends what has taken too long.
    pub(super) fn expire(&mut self, now: Instant, name: &Name) {
        let Some(account) = self.accounts.get_mut(name) else {
            self.busy.remove(name);
            return;
        };
        for asked in &mut account.asked {
            if !asked.overdue && now.since(asked.at) >= ANSWER_LIMIT {
                asked.overdue = true;
                account.unreached = true;
                self.silent.insert(asked.owner.clone(), now);
            }
        }
        account.asked.retain(|it| now.since(it.at) < LOAN_TERM);
        let limit =
            if self.table.participants.is_empty() { MAX_PARTICIPANTS_WAIT } else { MAX_ADMIT_WAIT };
        if account.waiting.front().is_some_and(|it| now.since(it.since) >= limit) {
            self.refuse_all(now, name);
        } else {
            self.search(now, name);
        }
        let account = &self.accounts[name];
        if account.waiting.is_empty() && account.asked.is_empty() {
            self.busy.remove(name);
        }
    }
}

//! Deduction of teams' tokens: grants, refusals and refunds.

use crate::{
    Instant,
    object::{Name, Team},
};

use super::{
    super::{Cause, Verdict, bucket::Share, participant::WHOLE_PPM},
    Entry, Limiter, WaitId, Waiting,
};

impl Limiter {
    /// Deducts `tokens` of a team; `wait` identifies the request if its verdict is pending.
    pub fn take(&mut self, now: Instant, team: &Team, wait: WaitId, tokens: u64) -> Verdict {
        self.reset_after_pause(now);
        let account = self.account(now, team);
        account.usage.record_demand(now, tokens);
        let none_waiting = account.waiting.is_empty();
        if none_waiting && self.spend(now, team, tokens) {
            self.top_up(now, &team.name);
            return Verdict::Granted;
        }
        let account = &self.accounts[&team.name];
        let exhausted = account
            .exhausted
            .is_some_and(|(until, min_tokens)| now < until && tokens >= min_tokens);
        match () {
            () if tokens > team.burst => self.refuse(now, &team.name, tokens, Cause::Burst),
            () if exhausted
                || (account.owners.is_empty() && !self.table.participants.is_empty()) =>
            {
                self.refuse(now, &team.name, tokens, Cause::Empty)
            }
            () => {
                self.enqueue(now, &team.name, Waiting { wait, tokens, waiting_since: now });
                Verdict::Pending
            }
        }
    }

    /// Returns tokens that were charged at this instance and not used.
    pub fn refund(&mut self, now: Instant, team: &Team, tokens: u64) {
        let account = self.account(now, team);
        account.usage.granted = account.usage.granted.saturating_sub(tokens);
        account.usage.returned += tokens;
        let unrestored = tokens - account.loans.restore(now, tokens);
        match account.own_ppm {
            0 => account.pending_refund += unrestored,
            ppm => self.ledger.credit(now, team, ppm, unrestored),
        }
        self.record_entry(&team.name, -(tokens as i64));
    }

    /// Spends borrowed tokens first, then those of the own share. Returns false if there are too
    /// few.
    pub(super) fn spend(&mut self, now: Instant, team: &Team, tokens: u64) -> bool {
        let Some(account) = self.accounts.get_mut(&team.name) else { return false };
        let ppm = account.own_ppm;
        let borrowed = account.loans.tokens(now);
        let own_tokens = if ppm > 0 { self.ledger.tokens(now, team, ppm) } else { 0 };
        if borrowed + own_tokens < tokens {
            return false;
        }
        let spent = account.loans.spend(now, tokens);
        if tokens > spent {
            self.ledger.spend(now, team, ppm, tokens - spent);
        }
        account.usage.granted += tokens;
        self.record_entry(&team.name, tokens as i64);
        true
    }

    pub(super) fn refuse(
        &mut self,
        now: Instant,
        name: &Name,
        tokens: u64,
        cause: Cause,
    ) -> Verdict {
        let available = self.available(now, name);
        let account = &mut self.accounts[name];
        account.usage.record_refusal(cause);
        let share = Share::ideal(&account.team, WHOLE_PPM);
        let retry_after = share.time_to_earn(tokens.saturating_sub(available).max(1));
        Verdict::Refused { retry_after, cause }
    }

    pub(super) fn available(&mut self, now: Instant, name: &Name) -> u64 {
        let account = &self.accounts[name];
        let own_tokens = match account.own_ppm {
            0 => 0,
            ppm => self.ledger.tokens(now, &account.team, ppm),
        };
        own_tokens + account.loans.tokens(now)
    }

    fn record_entry(&mut self, team: &Name, tokens: i64) {
        if let Some(journal) = &mut self.journal {
            journal.push(Entry { team: team.clone(), tokens });
        }
    }
}

//! The limiter of one instance: owner of some shares, borrower of others.

mod account;
mod borrow;
mod report;
mod spend;

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use indexmap::IndexMap;
use siskinstile_macros::value;
use siskinstile_wire::message::limit::{Borrow, Kind, Lend};

use crate::{
    Instant,
    object::{Name, Team},
};

use super::{
    LOAN_TERM, Verdict,
    ledger::{Borrower, Ledger},
    loans::Loans,
    participant::{Owner, Table},
    usage::Usage,
};
use account::owners_for;

/// Time between two searches for unused loans; also the time without use after which a loan is
/// returned.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Identifier of a request that waits for tokens, chosen by the caller.
pub type WaitId = u64;

/// A message to another instance.
#[value]
pub struct Outgoing {
    /// Name of the receiving instance.
    pub to: Name,
    /// Payload of the message.
    pub kind: Kind,
}

/// A request that waits for tokens.
#[value]
struct Waiting {
    wait: WaitId,
    tokens: u64,
    waiting_since: Instant,
}

/// A borrow request that has not been answered.
#[value]
struct PendingBorrow {
    owner: Name,
    sequence: u64,
    sent_at: Instant,
    /// Whether the search continues without the answer.
    overdue: bool,
}

/// State of one team at this instance.
#[value]
struct Account {
    team: Team,
    /// The other owners, in the order of preference.
    owners: Arc<[Owner]>,
    /// This instance's own share, in millionths; zero if it is not an owner.
    own_ppm: u64,
    loans: Loans,
    waiting: VecDeque<Waiting>,
    pending: Vec<PendingBorrow>,
    /// Tokens that each owner reported as remaining in its last answer, with the time of the
    /// answer.
    reported_levels: IndexMap<Name, (u64, Instant)>,
    /// Owners for the current search, those with the highest expected level first.
    search_order: Vec<Name>,
    /// Number of owners tried in the current search.
    tried: usize,
    /// Number of owners to which the next round sends a borrow request.
    round_size: usize,
    /// Whether an owner did not answer in the current search.
    any_unreached: bool,
    /// Result of a failed search: until this time, requests that cost at least this much are
    /// refused without a new search.
    exhausted: Option<(Instant, u64)>,
    topped_up_at: Option<Instant>,
    pending_refund: u64,
    last_used: Instant,
    usage: Usage,
}

/// The limiter of one instance.
#[value]
pub struct Limiter {
    own_name: Name,
    incarnation: u64,
    datacentre: Name,
    table: Arc<Table>,
    /// Whether the platform had no table at some time since this incarnation started.
    first_start: bool,
    ledger: Ledger,
    accounts: IndexMap<Name, Account>,
    /// Teams with waiting requests or pending borrow requests.
    active: BTreeSet<Name>,
    /// Owners whose answer was overdue, with the time of the last such case.
    unresponsive: IndexMap<Name, Instant>,
    sequence: u64,
    last_tick: Instant,
    last_sweep: Instant,
    outgoing: Vec<Outgoing>,
    verdicts: Vec<(WaitId, Verdict)>,
    journal: Option<Vec<Entry>>,
}

/// A grant of tokens, or a refund if negative.
#[value(eq)]
pub struct Entry {
    /// Name of the team.
    pub team: Name,
    /// Number of tokens; negative for a refund.
    pub tokens: i64,
}

impl Limiter {
    /// Creates the limiter of an instance that has just started, without a participant table.
    pub fn new(own_name: Name, incarnation: u64, datacentre: Name) -> Limiter {
        let start = Instant::default();
        Limiter {
            own_name,
            incarnation,
            datacentre,
            table: Arc::default(),
            first_start: false,
            ledger: Ledger::new(start),
            accounts: IndexMap::new(),
            active: BTreeSet::new(),
            unresponsive: IndexMap::new(),
            sequence: 0,
            last_tick: start,
            last_sweep: start,
            outgoing: Vec::new(),
            verdicts: Vec::new(),
            journal: None,
        }
    }

    /// Returns the grants and refunds recorded since the last call. Recording starts with the first
    /// call.
    pub fn take_journal(&mut self) -> Vec<Entry> {
        self.journal.replace(Vec::new()).unwrap_or_default()
    }

    /// Returns the participant table; empty until it is known.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Records that the platform has no table yet, so that no earlier incarnation can have owned a
    /// share and the buckets start full.
    pub fn mark_first_start(&mut self) {
        self.first_start = true;
    }

    /// Sets the participant table; has no effect if a table is already known.
    pub fn set_table(&mut self, now: Instant, table: Arc<Table>) {
        if self.table.participants.is_empty() {
            if self.first_start {
                self.ledger.start_full(now);
            }
            self.table = table;
            self.accounts.retain(|_, it| !it.waiting.is_empty());
            for (name, account) in &mut self.accounts {
                self.active.insert(name.clone());
                account.waiting.iter_mut().for_each(|it| it.waiting_since = now);
                let (owners, own_ppm) =
                    owners_for(&self.table, &self.own_name, &self.datacentre, &account.team.name);
                (account.owners, account.own_ppm) = (owners, own_ppm);
                account.search_order = account.by_level(now);
                account.tried = 0;
            }
        }
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, team: &str, wait: WaitId) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.waiting.retain(|it| it.wait != wait);
        }
    }

    /// Handles a message that requests or returns tokens.
    pub fn handle_borrow(&mut self, now: Instant, team: &Team, from: Borrower, borrow: &Borrow) {
        self.reset_after_pause(now);
        let ppm = self.account(now, team).own_ppm;
        let to = from.name.clone();
        let incarnation = from.incarnation;
        let lent = match ppm {
            0 => (borrow.tokens + borrow.advance > 0).then_some(0),
            ppm => self.ledger.handle_borrow(now, team, ppm, from, borrow),
        };
        if let Some(tokens) = lent {
            let remaining = if ppm > 0 { self.ledger.tokens(now, team, ppm) } else { 0 };
            let team = team.name.to_string();
            let lend = Lend { team, tokens, sequence: borrow.sequence, incarnation, remaining };
            self.outgoing.push(Outgoing { to, kind: Kind::Lend(lend) });
        }
    }

    /// Handles overdue answers and waiting requests, and returns unused loans; to be called at each
    /// tick.
    pub fn tick(&mut self, now: Instant) {
        self.reset_after_pause(now);
        for name in self.active.clone() {
            self.expire_overdue(now, &name);
        }
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now);
        }
    }

    /// Returns every loan to its owner, before the instance leaves.
    pub fn return_loans(&mut self) {
        let names: Vec<Name> = self.accounts.keys().cloned().collect();
        names.iter().for_each(|name| self.return_matching(name, |_| true));
    }

    /// Takes the messages to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the verdicts on requests that were pending.
    pub fn take_verdicts(&mut self) -> Vec<(WaitId, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Returns the number of teams with state at this instance.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no team has state at this instance.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Resets the owned shares after a pause longer than a loan term, as after a restart.
    fn reset_after_pause(&mut self, now: Instant) {
        if now.since(self.last_tick) > LOAN_TERM {
            self.ledger.reset(now);
        }
        self.last_tick = self.last_tick.max(now);
    }
}

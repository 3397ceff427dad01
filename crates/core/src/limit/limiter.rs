//! One instance's part of the limiter: owner of some parts, borrower of others.

mod borrow;
mod report;

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
    Cause, LOAN_TERM, Verdict,
    bucket::Share,
    ledger::{Borrower, Ledger},
    loans::Loans,
    participant::{Owner, Table, WHOLE_PPM},
    usage::Usage,
};

/// Time after which a team without loans and requests is forgotten.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Time between two searches for what is unused.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Names a request that waits for rights.
pub type WaitId = u64;

/// A message to another instance.
#[value]
pub struct Outgoing {
    /// Name of the instance.
    pub to: Name,
    /// The message.
    pub kind: Kind,
}

/// A request that waits for rights.
#[value]
struct Waiting {
    wait: WaitId,
    tokens: u64,
    since: Instant,
}

/// A message that asked an owner for rights.
#[value]
struct Asked {
    owner: Name,
    sequence: u64,
    at: Instant,
    /// Whether the round no longer waits for it.
    overdue: bool,
}

/// What an instance knows of one team.
#[value]
struct Account {
    team: Team,
    /// The owners, in the order in which they are asked; this instance is not among them.
    owners: Arc<[Owner]>,
    /// The part of which this instance is an owner, in millionths.
    own_ppm: u64,
    loans: Loans,
    waiting: VecDeque<Waiting>,
    asked: Vec<Asked>,
    /// What owners had left when they last answered.
    levels: IndexMap<Name, (u64, Instant)>,
    /// The owners of this search, those first that have the most.
    order: Vec<Name>,
    /// Homes asked in this search.
    tried: usize,
    /// Homes that the next round asks.
    width: usize,
    /// Whether an owner did not answer in this search.
    unreached: bool,
    /// Until then, requests that cost at least this much are refused without a search.
    dry: Option<(Instant, u64)>,
    topped_up: Option<Instant>,
    refund: u64,
    touched: Instant,
    usage: Usage,
}

/// One instance's part of the limiter.
#[value]
pub struct Limiter {
    own: Name,
    incarnation: u64,
    datacentre: Name,
    table: Arc<Table>,
    /// Whether no table existed at some time since this incarnation started.
    first: bool,
    ledger: Ledger,
    accounts: IndexMap<Name, Account>,
    busy: BTreeSet<Name>,
    silent: IndexMap<Name, Instant>,
    sequence: u64,
    ticked: Instant,
    swept: Instant,
    out: Vec<Outgoing>,
    verdicts: Vec<(WaitId, Verdict)>,
    journal: Option<Vec<Entry>>,
}

/// Tokens that were granted, or given back if negative.
#[value(eq)]
pub struct Entry {
    /// Name of the team.
    pub team: Name,
    /// Tokens.
    pub tokens: i64,
}

impl Limiter {
    /// Creates the limiter of an instance that has just started.
    pub fn new(own: Name, incarnation: u64, datacentre: Name) -> Limiter {
        let start = Instant::default();
        Limiter {
            own,
            incarnation,
            datacentre,
            table: Arc::default(),
            first: false,
            ledger: Ledger::new(start),
            accounts: IndexMap::new(),
            busy: BTreeSet::new(),
            silent: IndexMap::new(),
            sequence: 0,
            ticked: start,
            swept: start,
            out: Vec::new(),
            verdicts: Vec::new(),
            journal: None,
        }
    }

    /// Returns what was granted and given back since the last call, and keeps it from now on.
    pub fn journal(&mut self) -> Vec<Entry> {
        self.journal.replace(Vec::new()).unwrap_or_default()
    }

    fn note(&mut self, team: &Name, tokens: i64) {
        if let Some(journal) = &mut self.journal {
            journal.push(Entry { team: team.clone(), tokens });
        }
    }

    /// Returns the participants; empty until they are known.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Notes that the platform has no table yet: no earlier incarnation has held a part.
    pub fn mark_first_start(&mut self) {
        self.first = true;
    }

    /// Takes the participants, which never change once they are known.
    pub fn set_table(&mut self, now: Instant, table: Arc<Table>) {
        if self.table.participants.is_empty() {
            if self.first {
                self.ledger.open_full(now);
            }
            self.table = table;
            self.accounts.retain(|_, it| !it.waiting.is_empty());
            for (name, account) in &mut self.accounts {
                self.busy.insert(name.clone());
                account.waiting.iter_mut().for_each(|it| it.since = now);
                let (owners, own_ppm) =
                    order(&self.table, &self.own, &self.datacentre, &account.team.name);
                (account.owners, account.own_ppm) = (owners, own_ppm);
                account.order = account.fullest(now);
                account.tried = 0;
            }
        }
    }

    /// Takes tokens of a team; `wait` names the request if its verdict comes later.
    pub fn take(&mut self, now: Instant, team: &Team, wait: WaitId, tokens: u64) -> Verdict {
        self.notice_pause(now);
        let account = self.open(now, team);
        account.usage.wanted(now, tokens);
        let first = account.waiting.is_empty();
        if first && self.spend(now, team, tokens) {
            self.top_up(now, &team.name);
            return Verdict::Granted;
        }
        let account = &self.accounts[&team.name];
        let dry = account.dry.is_some_and(|(until, least)| now < until && tokens >= least);
        match () {
            () if tokens > team.burst => self.refused(now, &team.name, tokens, Cause::Burst),
            () if dry || (account.owners.is_empty() && !self.table.participants.is_empty()) => {
                self.refused(now, &team.name, tokens, Cause::Empty)
            }
            () => {
                self.wait(now, &team.name, Waiting { wait, tokens, since: now });
                Verdict::Pending
            }
        }
    }

    /// Gives back tokens that were charged here and not used.
    pub fn refund(&mut self, now: Instant, team: &Team, tokens: u64) {
        let account = self.open(now, team);
        account.usage.granted = account.usage.granted.saturating_sub(tokens);
        account.usage.returned += tokens;
        let rest = tokens - account.loans.put(now, tokens);
        match account.own_ppm {
            0 => account.refund += rest,
            ppm => self.ledger.put(now, team, ppm, rest),
        }
        self.note(&team.name, -(tokens as i64));
    }

    /// Forgets a request that waits.
    pub fn cancel(&mut self, team: &str, wait: WaitId) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.waiting.retain(|it| it.wait != wait);
        }
    }

    /// Takes a message that asks for rights or hands them back.
    pub fn handle_borrow(&mut self, now: Instant, team: &Team, from: Borrower, borrow: &Borrow) {
        self.notice_pause(now);
        let ppm = self.open(now, team).own_ppm;
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
            self.out.push(Outgoing { to, kind: Kind::Lend(lend) });
        }
    }

    /// Does what is due: overdue answers, waits that are over, loans to hand back.
    pub fn tick(&mut self, now: Instant) {
        self.notice_pause(now);
        for name in self.busy.clone() {
            self.expire(now, &name);
        }
        if now.since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.sweep(now);
        }
    }

    /// Hands back every loan, before the instance leaves.
    pub fn return_loans(&mut self) {
        let names: Vec<Name> = self.accounts.keys().cloned().collect();
        names.iter().for_each(|name| self.hand_back(name, |_| true));
    }

    /// Returns the messages to be sent.
    pub fn outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.out)
    }

    /// Returns the verdicts on requests that waited.
    pub fn verdicts(&mut self) -> Vec<(WaitId, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Returns the number of teams that are kept.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no team is kept.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// After a pause longer than a term the parts kept here start anew, as after a restart.
    fn notice_pause(&mut self, now: Instant) {
        if now.since(self.ticked) > LOAN_TERM {
            self.ledger.reset(now);
        }
        self.ticked = self.ticked.max(now);
    }

    fn open(&mut self, now: Instant, team: &Team) -> &mut Account {
        if !self.accounts.contains_key(&team.name) {
            let account = self.create(now, team);
            self.accounts.insert(team.name.clone(), account);
        }
        let account = &mut self.accounts[&team.name];
        account.touched = now;
        if account.team != *team {
            account.team = team.clone();
        }
        account
    }

    fn create(&self, now: Instant, team: &Team) -> Account {
        let (owners, own_ppm) = order(&self.table, &self.own, &self.datacentre, &team.name);
        Account {
            team: team.clone(),
            owners,
            own_ppm,
            loans: Loans::default(),
            waiting: VecDeque::new(),
            asked: Vec::new(),
            levels: IndexMap::new(),
            order: Vec::new(),
            tried: 0,
            width: 1,
            unreached: false,
            dry: None,
            topped_up: None,
            refund: 0,
            touched: now,
            usage: Usage::default(),
        }
    }

    /// Spends borrowed tokens first, then those kept here.
    fn spend(&mut self, now: Instant, team: &Team, tokens: u64) -> bool {
        let Some(account) = self.accounts.get_mut(&team.name) else { return false };
        let ppm = account.own_ppm;
        let borrowed = account.loans.tokens(now);
        let here = if ppm > 0 { self.ledger.tokens(now, team, ppm) } else { 0 };
        if borrowed + here < tokens {
            return false;
        }
        let spent = account.loans.spend(now, tokens);
        if tokens > spent {
            self.ledger.spend(now, team, ppm, tokens - spent);
        }
        account.usage.granted += tokens;
        self.note(&team.name, tokens as i64);
        true
    }

    fn refused(&mut self, now: Instant, name: &Name, tokens: u64, cause: Cause) -> Verdict {
        let available = self.available(now, name);
        let account = &mut self.accounts[name];
        account.usage.refuse(cause);
        let part = Share::ideal(&account.team, WHOLE_PPM);
        let retry_after = part.time_for(tokens.saturating_sub(available).max(1));
        Verdict::Refused { retry_after, cause }
    }

    fn available(&mut self, now: Instant, name: &Name) -> u64 {
        let account = &self.accounts[name];
        let here = match account.own_ppm {
            0 => 0,
            ppm => self.ledger.tokens(now, &account.team, ppm),
        };
        here + account.loans.tokens(now)
    }

    fn sweep(&mut self, now: Instant) {
        let names: Vec<Name> = self.accounts.keys().cloned().collect();
        for name in names {
            self.accounts[&name].loans.expire(now);
            self.hand_back(&name, |it| now.since(it.used) >= SWEEP_INTERVAL);
        }
        self.accounts.retain(|_, it| {
            let open = !it.loans.is_empty() || !it.waiting.is_empty() || !it.asked.is_empty();
            open || now.since(it.touched) < IDLE_LIMIT
        });
    }
}

/// Returns the owners of a team in the order in which `own` asks them, and its own part.
fn order(table: &Table, own: &Name, datacentre: &Name, team: &Name) -> (Arc<[Owner]>, u64) {
    let mut owners = table.owners(team);
    let own_ppm = owners.iter().find(|it| it.participant.name == *own).map_or(0, |it| it.ppm);
    owners.retain(|it| it.participant.name != *own);
    owners.sort_by_key(|it| {
        let near = it.participant.datacentre == *datacentre;
        (std::cmp::Reverse(it.ppm), !near, crate::member::rank(&it.participant.name, own))
    });
    (owners.into(), own_ppm)
}

//! Limiters alone on virtual time: no reducer, no platform, no endpoints.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use indexmap::IndexMap;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use siskinstile_core::{
    Instant,
    limit::{
        Borrower, Limiter, Verdict,
        participant::{Participant, Table},
    },
    object::{Name, Team},
    state::TICK,
};
use siskinstile_wire::{Body, Envelope, message::limit as wire};

use crate::world::Links;

/// One limiter and its clock.
struct Node {
    datacentre: Name,
    incarnation: u64,
    limiter: Option<Limiter>,
    born: Instant,
    drift_ppm: i64,
    paused_until: Instant,
}

impl Node {
    fn clock(&self, now: Instant) -> Instant {
        let elapsed = now.since(self.born).as_micros() as i128;
        Instant((elapsed + elapsed * i128::from(self.drift_ppm) / 1_000_000) as u64)
    }
}

enum What {
    Message { to: usize, from: Borrower, kind: wire::Kind },
    Tick { node: usize, incarnation: u64 },
}

/// Something that a limiter decided.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Tokens were granted to a team, or given back if negative.
    Entry(Name, i64),
    /// A request was granted.
    Granted(u64),
    /// A request was refused.
    Refused(u64),
}

/// The limiters, the messages between them and the clock.
pub struct Mesh {
    /// The links, by data centre.
    pub links: Links,
    /// Random numbers of this run.
    pub rng: ChaCha8Rng,
    /// Messages sent, and their bytes as encoded.
    pub traffic: (u64, u64),
    /// Steps taken by limiters.
    pub steps: u64,
    /// What was decided, oldest first; the driver drains it.
    pub decisions: Vec<(Instant, usize, Decision)>,
    /// The teams as each instance has them in force.
    pub teams: Arc<IndexMap<Name, Arc<Team>>>,
    now: Instant,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    events: IndexMap<usize, What>,
    nodes: IndexMap<Name, Node>,
    table: Arc<Table>,
    cut: BTreeSet<Name>,
}

impl Mesh {
    /// Starts `each` limiters in each data centre, all for the first time.
    pub fn new(seed: u64, datacentres: usize, each: usize, drift_ppm: &[i64]) -> Mesh {
        let mut nodes = IndexMap::new();
        for index in 0..datacentres * each {
            let datacentre: Name = format!("dc-{}", index / each).into();
            let drift_ppm = drift_ppm.get(index % drift_ppm.len().max(1)).copied().unwrap_or(0);
            let node = Node {
                datacentre,
                incarnation: 1,
                limiter: None,
                born: Instant::default(),
                drift_ppm,
                paused_until: Instant::default(),
            };
            nodes.insert(Name::from(format!("instance-{index}")), node);
        }
        let participants = nodes
            .iter()
            .map(|(name, it)| Participant { name: name.clone(), datacentre: it.datacentre.clone() })
            .collect();
        let mut mesh = Mesh {
            links: Links::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            traffic: (0, 0),
            steps: 0,
            decisions: Vec::new(),
            teams: Arc::default(),
            now: Instant::default(),
            sequence: 0,
            queue: BinaryHeap::new(),
            events: IndexMap::new(),
            nodes,
            table: Arc::new(Table::new(participants)),
            cut: BTreeSet::new(),
        };
        (0..mesh.nodes.len()).for_each(|index| mesh.spawn(index, true));
        mesh
    }

    /// Returns the time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns the number of instances.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether there is no instance.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the name of an instance.
    pub fn name(&self, node: usize) -> &Name {
        self.nodes.get_index(node).expect("an instance").0
    }

    /// Returns the limiter of an instance that is alive.
    pub fn limiter(&self, node: usize) -> Option<&Limiter> {
        self.nodes[node].limiter.as_ref()
    }

    /// Returns whether an instance is alive and runs.
    pub fn runs(&self, node: usize) -> bool {
        self.nodes[node].limiter.is_some() && self.nodes[node].paused_until <= self.now
    }

    /// Ends an instance at once.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].limiter = None;
    }

    /// Starts a dead instance again, empty, with a higher incarnation.
    pub fn restart(&mut self, node: usize) {
        self.nodes[node].incarnation += 1;
        self.nodes[node].born = self.now;
        self.spawn(node, false);
    }

    /// Stops an instance for a while; what comes for it waits.
    pub fn pause(&mut self, node: usize, length: Duration) {
        self.nodes[node].paused_until = self.now + length;
    }

    /// Cuts a data centre off from all others, or mends it.
    pub fn cut(&mut self, datacentre: &str, cut: bool) {
        match cut {
            true => self.cut.insert(datacentre.into()),
            false => self.cut.remove(datacentre),
        };
    }

    fn spawn(&mut self, node: usize, first: bool) {
        let name = self.name(node).clone();
        let table = self.table.clone();
        let now = self.now;
        let it = &mut self.nodes[node];
        let clock = it.clock(now);
        let mut limiter = Limiter::new(name, it.incarnation, it.datacentre.clone());
        if first {
            limiter.mark_first_start();
        }
        limiter.set_table(clock, table);
        limiter.take_journal();
        it.limiter = Some(limiter);
        let incarnation = it.incarnation;
        self.push(self.now + TICK, What::Tick { node, incarnation });
    }

    /// Takes tokens at an instance; the decision comes into [`Mesh::decisions`].
    pub fn take(&mut self, node: usize, team: &Team, wait: u64, tokens: u64) {
        self.step(node, |limiter, clock| match limiter.take(clock, team, wait, tokens) {
            Verdict::Granted => Some(Decision::Granted(wait)),
            Verdict::Refused { .. } => Some(Decision::Refused(wait)),
            Verdict::Pending => None,
        });
    }

    /// Gives back tokens at an instance.
    pub fn give_back(&mut self, node: usize, team: &Team, tokens: u64) {
        self.step(node, |limiter, clock| {
            limiter.refund(clock, team, tokens);
            None
        });
    }

    /// Hands an instance a message now.
    pub fn message(&mut self, to: usize, from: Borrower, kind: wire::Kind) {
        let teams = self.teams.clone();
        self.step(to, |limiter, clock| {
            match kind {
                wire::Kind::Borrow(borrow) => {
                    let team = teams.get(borrow.team.as_str());
                    team.into_iter()
                        .for_each(|it| limiter.handle_borrow(clock, it, from.clone(), &borrow));
                }
                wire::Kind::Lend(lend) => limiter.handle_lend(clock, &from.name, &lend),
                wire::Kind::Fetch(_) | wire::Kind::Participants(_) => {}
            }
            None
        });
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: Instant) {
        while let Some(Reverse((at, _, event))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            match self.events.swap_remove(&event) {
                Some(What::Message { to, from, kind }) => self.deliver(to, from, kind),
                Some(What::Tick { node, incarnation }) => self.tick(node, incarnation),
                None => {}
            }
        }
        self.now = self.now.max(end);
    }

    fn deliver(&mut self, to: usize, from: Borrower, kind: wire::Kind) {
        match self.nodes[to].paused_until {
            until if until > self.now => self.push(until, What::Message { to, from, kind }),
            _ => self.message(to, from, kind),
        }
    }

    fn tick(&mut self, node: usize, incarnation: u64) {
        let it = &self.nodes[node];
        if it.incarnation != incarnation || it.limiter.is_none() {
            return;
        }
        if it.paused_until > self.now {
            return self.push(it.paused_until, What::Tick { node, incarnation });
        }
        self.step(node, |limiter, clock| {
            limiter.tick(clock);
            None
        });
        self.push(self.now + TICK, What::Tick { node, incarnation });
    }

    fn step(&mut self, node: usize, act: impl FnOnce(&mut Limiter, Instant) -> Option<Decision>) {
        let now = self.now;
        let it = &mut self.nodes[node];
        let clock = it.clock(now);
        let Some(limiter) = &mut it.limiter else { return };
        let decision = act(limiter, clock);
        let entries = limiter.take_journal();
        let verdicts = limiter.take_verdicts();
        let outgoing = limiter.take_outgoing();
        self.steps += 1;
        let later = verdicts.into_iter().map(|(wait, verdict)| match verdict {
            Verdict::Granted => Decision::Granted(wait),
            Verdict::Pending | Verdict::Refused { .. } => Decision::Refused(wait),
        });
        let entries = entries.into_iter().map(|it| Decision::Entry(it.team, it.tokens));
        let all = entries.chain(decision).chain(later).map(|it| (now, node, it));
        self.decisions.extend(all);
        outgoing.into_iter().for_each(|it| self.send(node, &it.to, it.kind));
    }

    fn send(&mut self, from: usize, to: &Name, kind: wire::Kind) {
        let Some(to) = self.nodes.get_index_of(to) else { return };
        let sender =
            Borrower { name: self.name(from).clone(), incarnation: self.nodes[from].incarnation };
        self.count(&sender, &kind);
        let (a, b) = (self.nodes[from].datacentre.clone(), self.nodes[to].datacentre.clone());
        if a != b && (self.cut.contains(&a) || self.cut.contains(&b)) {
            return;
        }
        for at in self.links.arrivals(self.now, &mut self.rng, &a, &b) {
            self.push(at, What::Message { to, from: sender.clone(), kind: kind.clone() });
        }
    }

    fn count(&mut self, sender: &Borrower, kind: &wire::Kind) {
        let message = wire::Message { kind: Some(kind.clone()) };
        let envelope = Envelope {
            from: sender.name.to_string(),
            incarnation: sender.incarnation,
            body: Some(Body::Limit(message)),
        };
        self.traffic.0 += 1;
        self.traffic.1 += prost::Message::encoded_len(&envelope) as u64;
    }

    fn push(&mut self, at: Instant, what: What) {
        self.sequence += 1;
        let event = self.sequence as usize;
        self.events.insert(event, what);
        self.queue.push(Reverse((at, self.sequence, event)));
    }
}

//! Rate limiters and their messages on virtual time, without the rest of the instances, the
//! platform or endpoints.

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

/// One instance: a limiter and its clock.
struct Node {
    datacentre: Name,
    incarnation: u64,
    limiter: Option<Limiter>,
    started_at: Instant,
    drift_ppm: i64,
    paused_until: Instant,
}

impl Node {
    fn clock(&self, now: Instant) -> Instant {
        let elapsed = now.since(self.started_at).as_micros() as i128;
        Instant((elapsed + elapsed * i128::from(self.drift_ppm) / 1_000_000) as u64)
    }
}

enum Scheduled {
    Message { to: usize, from: Borrower, kind: wire::Kind },
    Tick { node: usize, incarnation: u64 },
}

/// An event that a limiter reports.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Tokens were granted to a team, or refunded if negative.
    Entry(Name, i64),
    /// The request with this identifier was granted.
    Granted(u64),
    /// The request with this identifier was refused.
    Refused(u64),
}

/// The simulated fleet of limiters, with its links and its clock.
pub struct Mesh {
    /// Links between the instances, keyed by the data centres at both ends.
    pub links: Links,
    /// Random number generator of the run.
    pub rng: ChaCha8Rng,
    /// Number of messages sent and their encoded size in bytes.
    pub traffic: (u64, u64),
    /// Number of calls of limiters.
    pub limiter_calls: u64,
    /// Decisions with their time and instance, oldest first; the caller has to drain them.
    pub decisions: Vec<(Instant, usize, Decision)>,
    /// The teams as configured at every instance.
    pub teams: Arc<IndexMap<Name, Arc<Team>>>,
    now: Instant,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Instant, u64, usize)>>,
    events: IndexMap<usize, Scheduled>,
    nodes: IndexMap<Name, Node>,
    table: Arc<Table>,
    isolated: BTreeSet<Name>,
}

impl Mesh {
    /// Starts `per_datacentre` limiters in each data centre, as the first start of the fleet. The
    /// clock drifts are assigned to the instances in rotation; none means no drift.
    pub fn new(seed: u64, datacentres: usize, per_datacentre: usize, drift_ppm: &[i64]) -> Mesh {
        let mut nodes = IndexMap::new();
        for index in 0..datacentres * per_datacentre {
            let datacentre: Name = format!("dc-{}", index / per_datacentre).into();
            let drift_ppm = drift_ppm.get(index % drift_ppm.len().max(1)).copied().unwrap_or(0);
            let node = Node {
                datacentre,
                incarnation: 1,
                limiter: None,
                started_at: Instant::default(),
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
            limiter_calls: 0,
            decisions: Vec::new(),
            teams: Arc::default(),
            now: Instant::default(),
            sequence: 0,
            queue: BinaryHeap::new(),
            events: IndexMap::new(),
            nodes,
            table: Arc::new(Table::new(participants)),
            isolated: BTreeSet::new(),
        };
        (0..mesh.nodes.len()).for_each(|index| mesh.spawn(index, true));
        mesh
    }

    /// Returns the virtual time.
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

    /// Returns the name of an instance; panics if the index is out of range.
    pub fn name(&self, node: usize) -> &Name {
        self.nodes.get_index(node).expect("instance index out of range").0
    }

    /// Returns the limiter of an instance, or `None` if the instance is dead.
    pub fn limiter(&self, node: usize) -> Option<&Limiter> {
        self.nodes[node].limiter.as_ref()
    }

    /// Returns whether an instance is alive and not paused.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].limiter.is_some() && self.nodes[node].paused_until <= self.now
    }

    /// Kills an instance; its limiter loses all state.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].limiter = None;
    }

    /// Restarts an instance with empty state and the next incarnation.
    pub fn restart(&mut self, node: usize) {
        self.nodes[node].incarnation += 1;
        self.nodes[node].started_at = self.now;
        self.spawn(node, false);
    }

    /// Pauses an instance; messages that arrive and ticks are deferred until it resumes.
    pub fn pause(&mut self, node: usize, length: Duration) {
        self.nodes[node].paused_until = self.now + length;
    }

    /// Cuts a data centre off from all others, or reconnects it.
    pub fn set_isolated(&mut self, datacentre: &str, isolated: bool) {
        match isolated {
            true => self.isolated.insert(datacentre.into()),
            false => self.isolated.remove(datacentre),
        };
    }

    fn spawn(&mut self, node: usize, first: bool) {
        let name = self.name(node).clone();
        let table = self.table.clone();
        let now = self.now;
        let it = &mut self.nodes[node];
        let local_time = it.clock(now);
        let mut limiter = Limiter::new(name, it.incarnation, it.datacentre.clone());
        if first {
            limiter.mark_first_start();
        }
        limiter.set_table(local_time, table);
        limiter.take_journal();
        it.limiter = Some(limiter);
        let incarnation = it.incarnation;
        self.push(self.now + TICK, Scheduled::Tick { node, incarnation });
    }

    /// Requests tokens at an instance; the decision is added to [`Mesh::decisions`], at once or
    /// during a later [`Mesh::run`].
    pub fn take(&mut self, node: usize, team: &Team, wait_id: u64, tokens: u64) {
        self.step(node, |limiter, local_time| {
            match limiter.take(local_time, team, wait_id, tokens) {
                Verdict::Granted => Some(Decision::Granted(wait_id)),
                Verdict::Refused { .. } => Some(Decision::Refused(wait_id)),
                Verdict::Pending => None,
            }
        });
    }

    /// Refunds tokens at an instance.
    pub fn refund(&mut self, node: usize, team: &Team, tokens: u64) {
        self.step(node, |limiter, local_time| {
            limiter.refund(local_time, team, tokens);
            None
        });
    }

    /// Delivers a message to an instance without delay.
    pub fn handle_message(&mut self, to: usize, from: Borrower, kind: wire::Kind) {
        let teams = self.teams.clone();
        self.step(to, |limiter, local_time| {
            match kind {
                wire::Kind::Borrow(borrow) => {
                    let team = teams.get(borrow.team.as_str());
                    team.into_iter().for_each(|it| {
                        limiter.handle_borrow(local_time, it, from.clone(), &borrow)
                    });
                }
                wire::Kind::Lend(lend) => limiter.handle_lend(local_time, &from.name, &lend),
                wire::Kind::Fetch(_) | wire::Kind::Participants(_) => {}
            }
            None
        });
    }

    /// Processes all events up to and including `end`.
    pub fn run(&mut self, end: Instant) {
        while let Some(Reverse((at, _, event_id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            match self.events.swap_remove(&event_id) {
                Some(Scheduled::Message { to, from, kind }) => self.deliver(to, from, kind),
                Some(Scheduled::Tick { node, incarnation }) => self.tick(node, incarnation),
                None => {}
            }
        }
        self.now = self.now.max(end);
    }

    fn deliver(&mut self, to: usize, from: Borrower, kind: wire::Kind) {
        match self.nodes[to].paused_until {
            until if until > self.now => self.push(until, Scheduled::Message { to, from, kind }),
            _ => self.handle_message(to, from, kind),
        }
    }

    fn tick(&mut self, node: usize, incarnation: u64) {
        let it = &self.nodes[node];
        if it.incarnation != incarnation || it.limiter.is_none() {
            return;
        }
        if it.paused_until > self.now {
            return self.push(it.paused_until, Scheduled::Tick { node, incarnation });
        }
        self.step(node, |limiter, local_time| {
            limiter.tick(local_time);
            None
        });
        self.push(self.now + TICK, Scheduled::Tick { node, incarnation });
    }

    fn step(
        &mut self,
        node: usize,
        action: impl FnOnce(&mut Limiter, Instant) -> Option<Decision>,
    ) {
        let now = self.now;
        let it = &mut self.nodes[node];
        let local_time = it.clock(now);
        let Some(limiter) = &mut it.limiter else { return };
        let decision = action(limiter, local_time);
        let entries = limiter.take_journal();
        let verdicts = limiter.take_verdicts();
        let outgoing = limiter.take_outgoing();
        self.limiter_calls += 1;
        let delayed = verdicts.into_iter().map(|(wait_id, verdict)| match verdict {
            Verdict::Granted => Decision::Granted(wait_id),
            Verdict::Pending | Verdict::Refused { .. } => Decision::Refused(wait_id),
        });
        let entries = entries.into_iter().map(|it| Decision::Entry(it.team, it.tokens));
        let decisions = entries.chain(decision).chain(delayed).map(|it| (now, node, it));
        self.decisions.extend(decisions);
        outgoing.into_iter().for_each(|it| self.send(node, &it.to, it.kind));
    }

    fn send(&mut self, from: usize, to: &Name, kind: wire::Kind) {
        let Some(to) = self.nodes.get_index_of(to) else { return };
        let sender =
            Borrower { name: self.name(from).clone(), incarnation: self.nodes[from].incarnation };
        self.count_traffic(&sender, &kind);
        let (source, target) =
            (self.nodes[from].datacentre.clone(), self.nodes[to].datacentre.clone());
        if source != target && (self.isolated.contains(&source) || self.isolated.contains(&target))
        {
            return;
        }
        for at in self.links.arrivals(self.now, &mut self.rng, &source, &target) {
            self.push(at, Scheduled::Message { to, from: sender.clone(), kind: kind.clone() });
        }
    }

    fn count_traffic(&mut self, sender: &Borrower, kind: &wire::Kind) {
        let message = wire::Message { kind: Some(kind.clone()) };
        let envelope = Envelope {
            from: sender.name.to_string(),
            incarnation: sender.incarnation,
            body: Some(Body::Limit(message)),
        };
        self.traffic.0 += 1;
        self.traffic.1 += prost::Message::encoded_len(&envelope) as u64;
    }

    fn push(&mut self, at: Instant, event: Scheduled) {
        self.sequence += 1;
        let event_id = self.sequence as usize;
        self.events.insert(event_id, event);
        self.queue.push(Reverse((at, self.sequence, event_id)));
    }
}

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use proptest::prelude::*;
use siskinstile_core::{
    Config, Instant, Set,
    error::Kind,
    object::{Endpoint, Name, Pool, Role, Urgency},
    place::{BLOCK_TOKENS, Decision, Dispatcher, Job},
    request::{Id, Outcome, Placement},
};

const SLOTS: u32 = 4;
const BLOCKS: u64 = 12;

fn endpoint(name: &str, role: Role) -> Endpoint {
    Endpoint {
        name: name.into(),
        address: name.into(),
        datacentre: "dc".into(),
        role,
        slots: SLOTS,
        memory: BLOCKS * BLOCK_TOKENS,
        fences: false,
        leaving: false,
    }
}

fn pool() -> Pool {
    let names = [("p0", Role::Prefill), ("p1", Role::Prefill), ("d0", Role::Decode)];
    let mut pool: Pool = serde_json::from_value(serde_json::json!({
        "name": "pool", "service": "service", "endpoints": [], "queue_limit": 16,
    }))
    .unwrap();
    let other_decodes = [("d1", Role::Decode), ("d2", Role::Decode)];
    pool.endpoints =
        names.into_iter().chain(other_decodes).map(|it| endpoint(it.0, it.1)).collect();
    pool
}

fn config(pool: &Pool) -> Config {
    let mut set = Set::default();
    set.pools.insert(pool.name.clone(), pool.clone());
    Config::new(1, set)
}

fn job(id: u64, now: Instant) -> Job {
    Job {
        request: Id(id),
        pool: "pool".into(),
        route: "route".into(),
        team: "team".into(),
        weight: 1,
        urgency: Urgency::Patient,
        arrived: now,
        prompt_tokens: 1_000,
        max_tokens: 500,
        prefixes: Arc::new([]),
        first_token: Duration::from_secs(20),
        between_tokens: Duration::from_millis(45),
        excluded: Vec::new(),
        is_retry: false,
    }
}

/// A dispatcher with its pool and the placements that it has made.
struct Bench {
    dispatcher: Dispatcher,
    pool: Pool,
    now: Instant,
    placed: IndexMap<Id, (Placement, u64)>,
    waiting: Vec<Id>,
    refused: IndexMap<Id, Kind>,
    reasons: IndexMap<Id, String>,
}

impl Bench {
    fn new() -> Bench {
        Bench {
            dispatcher: Dispatcher::default(),
            pool: pool(),
            now: Instant::from_millis(1_000),
            placed: IndexMap::new(),
            waiting: Vec::new(),
            refused: IndexMap::new(),
            reasons: IndexMap::new(),
        }
    }

    fn submit(&mut self, job: Job) {
        let id = job.request;
        match self.dispatcher.submit(self.now, &Arc::new(self.pool.clone()), "dc", job) {
            Ok(()) => self.waiting.push(id),
            Err(failure) => drop(self.refused.insert(id, failure.kind)),
        }
    }

    fn poll(&mut self, blocks: &IndexMap<Id, u64>) {
        let config = config(&self.pool);
        for decision in self.dispatcher.poll(self.now, &config, "dc") {
            match decision {
                Decision::Placed { request, placement, reason } => {
                    self.reasons.insert(request, reason);
                    self.waiting.retain(|it| *it != request);
                    let held = blocks.get(&request).copied().unwrap_or(1);
                    assert!(self.placed.insert(request, (placement, held)).is_none());
                }
                Decision::Refused { request, failure, .. } => {
                    self.waiting.retain(|it| *it != request);
                    self.refused.insert(request, failure.kind);
                }
            }
        }
    }

    fn submit_and_poll(&mut self, id: u64, job: Job) -> Option<Placement> {
        self.submit(job);
        self.poll(&IndexMap::new());
        self.placed.get(&Id(id)).map(|it| it.0.clone())
    }

    fn observe(&mut self, id: Id, outcome: &Outcome) {
        self.dispatcher.observe(self.now, id, outcome);
    }

    fn complete_prefill(&mut self, id: Id) {
        self.observe(id, &Outcome::Computed { kv: "kv".into(), cached: 0 });
    }

    fn fail_step(&mut self, id: Id) {
        self.observe(id, &Outcome::Failed { sent: true, next_index: 0, ended: false });
    }

    /// Checks the dispatcher's record against the placements.
    fn check(&self) {
        let mut taken: IndexMap<Name, (u64, u64)> = IndexMap::new();
        for (placement, blocks) in self.placed.values() {
            let entry = taken.entry(placement.run.name.clone()).or_default();
            *entry = (entry.0 + 1, entry.1 + blocks);
        }
        for (name, (slots, blocks)) in taken {
            assert!(slots <= u64::from(SLOTS), "{name}: {slots} slots");
            assert!(blocks <= BLOCKS, "{name}: {blocks} blocks");
        }
        let Some(scheduler) = self.dispatcher.pool("pool") else { return };
        assert_eq!(scheduler.counts(), (self.waiting.len(), self.placed.len()));
    }
}

#[derive(Debug, Clone)]
enum Act {
    Submit { prompt: u64, max_tokens: u64, urgent: bool },
    Compute(usize),
    Import(usize),
    Complete(usize),
    Fail(usize),
    Remove(usize),
    Leave(usize, bool),
    Load(usize, u32),
    Wait(u64),
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => (1..30_000_u64, 1..4_000_u64, any::<bool>())
            .prop_map(|(prompt, max_tokens, urgent)| Act::Submit { prompt, max_tokens, urgent }),
        2 => (0..16_usize).prop_map(Act::Compute),
        2 => (0..16_usize).prop_map(Act::Import),
        2 => (0..16_usize).prop_map(Act::Complete),
        1 => (0..16_usize).prop_map(Act::Fail),
        1 => (0..16_usize).prop_map(Act::Remove),
        1 => (0..5_usize, any::<bool>()).prop_map(|(index, leaving)| Act::Leave(index, leaving)),
        1 => (0..5_usize, 0..10_u32).prop_map(|(index, load)| Act::Load(index, load)),
        2 => (1..2_000_u64).prop_map(Act::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// No placement exceeds slots or memory, uses a leaving endpoint or prefills without a decode
    /// slot; each job is waiting, placed, refused or removed.
    #[test]
    fn dispatcher_after_any_acts(acts in prop::collection::vec(act(), 1..120)) {
        let mut bench = Bench::new();
        let mut blocks = IndexMap::new();
        for (index, act) in acts.into_iter().enumerate() {
            let id_at = |index: usize| bench.placed.get_index(index).map(|it| *it.0);
            match act {
                Act::Submit { prompt, max_tokens, urgent } => {
                    let mut job = job(index as u64, bench.now);
                    (job.prompt_tokens, job.max_tokens) = (prompt, max_tokens);
                    if urgent {
                        job.urgency = Urgency::Urgent;
                        job.first_token = Duration::from_millis(1_700);
                    }
                    blocks.insert(job.request, job.blocks());
                    bench.submit(job);
                }
                Act::Compute(n) => id_at(n)
                    .into_iter()
                    .for_each(|id| bench.complete_prefill(id)),
                Act::Import(n) => id_at(n)
                    .into_iter()
                    .for_each(|id| bench.observe(id, &Outcome::Imported)),
                Act::Complete(n) => if let Some(id) = id_at(n) {
                    bench.observe(id, &Outcome::Completed { tokens: 5, answer: None });
                    bench.dispatcher.release(id);
                    bench.placed.swap_remove(&id);
                },
                Act::Fail(n) => if let Some(id) = id_at(n) {
                    bench.fail_step(id);
                    bench.dispatcher.release(id);
                    bench.placed.swap_remove(&id);
                },
                Act::Remove(n) => if let Some(id) = bench.waiting.get(n).copied() {
                    bench.dispatcher.remove(id);
                    bench.waiting.retain(|it| *it != id);
                },
                Act::Leave(n, leaving) => bench.pool.endpoints[n].leaving = leaving,
                Act::Load(n, load) => {
                    let name = bench.pool.endpoints[n].name.clone();
                    bench.dispatcher.record_load(&name, load, 0);
                }
                Act::Wait(ms) => {
                    bench.now = bench.now + Duration::from_millis(ms);
                    bench.dispatcher.tick(bench.now);
                }
            }
            let before = bench.placed.len();
            bench.poll(&blocks);
            for (placement, _) in bench.placed.values().skip(before) {
                let prefill = placement.prefill.as_ref().expect("a model pool prefills");
                for name in [&prefill.name, &placement.run.name] {
                    let listed = bench.pool.endpoints.iter().find(|it| it.name == *name);
                    prop_assert!(listed.is_some_and(|it| !it.leaving));
                }
            }
            bench.check();
        }
    }
}

#[test]
fn submit_full_queue() {
    let mut bench = Bench::new();
    for id in 0..17 {
        let job = job(id, bench.now);
        bench.submit(job);
    }
    assert_eq!(bench.refused.get(&Id(16)), Some(&Kind::QueueFull));
}

#[test]
fn submit_twice() {
    let mut bench = Bench::new();
    let first = job(1, bench.now);
    bench.submit(first.clone());
    bench.dispatcher.submit(bench.now, &Arc::new(bench.pool.clone()), "dc", first).unwrap();
    let next = job(2, bench.now);
    assert!(bench.submit_and_poll(2, next).is_some());
    bench.check();
}

#[test]
fn poll_late_urgent_job() {
    let mut bench = Bench::new();
    let mut urgent = job(1, bench.now);
    urgent.urgency = Urgency::Urgent;
    urgent.first_token = Duration::from_millis(10);
    assert_eq!(bench.submit_and_poll(1, urgent), None);
    assert_eq!(bench.refused.get(&Id(1)), Some(&Kind::TooLate));
}

/// A retry may have been executed already, so it is placed although it misses its target.
#[test]
fn poll_late_retry() {
    let mut bench = Bench::new();
    let mut urgent = job(1, bench.now);
    urgent.urgency = Urgency::Urgent;
    urgent.first_token = Duration::from_millis(10);
    urgent.is_retry = true;
    assert!(bench.submit_and_poll(1, urgent).is_some());
}

/// A prompt goes to the endpoint that has computed the same prefix before.
#[test]
fn poll_prefers_cached_prefix() {
    let mut bench = Bench::new();
    let mut warm = job(1, bench.now);
    (warm.prompt_tokens, warm.prefixes) = (6_100, Arc::new([1, 2, 3]));
    let first = bench.submit_and_poll(1, warm.clone()).unwrap();
    bench.now = bench.now + Duration::from_millis(400);
    bench.complete_prefill(Id(1));
    warm.request = Id(2);
    let second = bench.submit_and_poll(2, warm).unwrap();
    assert_eq!(first.prefill.unwrap().name, second.prefill.unwrap().name);
}

/// Many prompts with one prefix use a second endpoint rather than wait for the first.
#[test]
fn poll_spreads_hot_prefix() {
    let mut bench = Bench::new();
    let mut used = indexmap::IndexSet::new();
    for id in 0..8 {
        let mut hot = job(id, bench.now);
        (hot.prompt_tokens, hot.prefixes) = (8_000, Arc::new([1]));
        used.extend(bench.submit_and_poll(id, hot).map(|it| it.prefill.unwrap().name.clone()));
    }
    assert_eq!(used.len(), 2);
}

#[test]
fn drop_prefix_after_eviction() {
    let mut bench = Bench::new();
    let mut warm = job(1, bench.now);
    (warm.prompt_tokens, warm.prefixes) = (2_100, Arc::new([1]));
    let first = bench.submit_and_poll(1, warm.clone()).unwrap().prefill.unwrap();
    warm.request = Id(2);
    let second = bench.submit_and_poll(2, warm.clone()).unwrap().prefill.unwrap();
    assert_eq!(first.name, second.name);
    assert!(bench.reasons[&Id(2)].contains(" 100 tokens to compute"));
    bench.dispatcher.drop_prefix(&first.name, 1);
    warm.request = Id(3);
    bench.submit_and_poll(3, warm).unwrap();
    assert!(bench.reasons[&Id(3)].contains(" 2100 tokens to compute"));
}

/// An endpoint at which a prefill failed is ejected.
#[test]
fn observe_failed_prefill() {
    let mut bench = Bench::new();
    let first = bench.submit_and_poll(1, job(1, Instant::from_millis(1_000))).unwrap();
    bench.fail_step(Id(1));
    bench.dispatcher.release(Id(1));
    bench.placed.clear();
    let second = bench.submit_and_poll(2, job(2, Instant::from_millis(1_000))).unwrap();
    assert_ne!(first.prefill.unwrap().name, second.prefill.unwrap().name);
}

/// An endpoint whose decode steps take longer than the target between tokens gets no requests.
#[test]
fn poll_slow_decode_endpoint() {
    let mut bench = Bench::new();
    let slow = bench.submit_and_poll(1, job(1, Instant::from_millis(1_000))).unwrap().run;
    bench.complete_prefill(Id(1));
    bench.observe(Id(1), &Outcome::Imported);
    bench.now = bench.now + Duration::from_millis(200);
    bench.observe(Id(1), &Outcome::FirstByte);
    for id in 2..8 {
        let job = job(id, bench.now);
        if let Some(placement) = bench.submit_and_poll(id, job) {
            assert_ne!(placement.run.name, slow.name);
        }
    }
}

/// A prefill endpoint whose transfers are overdue is ejected before they are reported as failed.
#[test]
fn tick_stalled_link() {
    let mut bench = Bench::new();
    for id in 1..5 {
        let job = job(id, bench.now);
        bench.submit_and_poll(id, job).unwrap();
        bench.complete_prefill(Id(id));
    }
    let name = |bench: &Bench, id| bench.placed[&Id(id)].0.prefill.clone().unwrap().name.clone();
    let stalled = name(&bench, 1);
    for id in 1..5 {
        if name(&bench, id) != stalled {
            bench.observe(Id(id), &Outcome::Imported);
        }
    }
    bench.now = bench.now + Duration::from_millis(500);
    bench.dispatcher.tick(bench.now);
    let job = job(9, bench.now);
    bench.submit_and_poll(9, job).unwrap();
    assert_ne!(name(&bench, 9), stalled);
}

/// Slots that are taken by requests of other dispatchers are not used.
#[test]
fn record_load_of_other_dispatchers() {
    let mut bench = Bench::new();
    bench.submit(job(100, bench.now));
    for name in ["d0", "d1"] {
        bench.dispatcher.record_load(name, SLOTS, 0);
    }
    for id in 0..6 {
        let job = job(id, bench.now);
        bench.submit_and_poll(id, job);
    }
    let runs = bench.placed.values().map(|it| it.0.run.name.clone());
    assert!(runs.filter(|it| &**it == "d2").count() == SLOTS as usize);
}

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use serde_json::json;
use siskinstile_core::{
    Instant,
    order::{Candidate, Endpoint, Lease, LeaseClient, MAX_FENCE, Order, Phase, Step, TERM},
    store::{Answer, Object},
};

const CANDIDATES: usize = 3;
/// Longest time that an order is in transit.
const ORDER_DELAY_MS: u64 = 4_500;

#[derive(Debug, Clone)]
enum Op {
    Wait(u64),
    /// A candidate polls. Its call is lost before it takes effect (`fate` 0) or after (1), or
    /// succeeds.
    Poll {
        index: usize,
        fate: u8,
    },
    /// A candidate sends an order, which arrives after a delay.
    Order {
        index: usize,
        delay_ms: u64,
    },
    /// A candidate restarts with empty state.
    Restart(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..1_500_u64).prop_map(Op::Wait),
        5 => (0..CANDIDATES, 0..6_u8).prop_map(|(index, fate)| Op::Poll { index, fate }),
        12 => (0..CANDIDATES, 0..ORDER_DELAY_MS)
            .prop_map(|(index, delay_ms)| Op::Order { index, delay_ms }),
        2 => (0..CANDIDATES).prop_map(Op::Restart),
    ]
}

/// Candidates with drifting clocks, and the lease on the platform.
struct Bench {
    now_ms: u64,
    version: u64,
    lease: Option<Lease>,
    candidates: Vec<(LeaseClient, u64)>,
    /// Orders in transit to an endpoint that does not check fencing tokens.
    orders: Vec<(u64, u64)>,
    last_fence: u64,
}

fn candidate(index: usize, incarnation: u64) -> LeaseClient {
    LeaseClient::new(Candidate { name: format!("c{index}").into(), incarnation })
}

impl Bench {
    fn new() -> Bench {
        let candidates = (0..CANDIDATES).map(|index| (candidate(index, 1), 1)).collect();
        let (version, orders) = (0, Vec::new());
        Bench { now_ms: 1_000, version, lease: None, candidates, orders, last_fence: 0 }
    }

    /// Returns the time on a candidate's clock, which runs up to 1% fast or slow.
    fn clock(&self, index: usize) -> Instant {
        Instant::from_millis(self.now_ms * (99 + index as u64) / 100)
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Wait(ms) => self.wait(ms),
            Op::Poll { index, fate } => self.poll(index, fate),
            Op::Order { index, delay_ms } => {
                let now = self.clock(index);
                let client = &self.candidates[index].0;
                if client.may_order_unfenced(now) {
                    let fence = client.fence(now).unwrap();
                    self.orders.push((self.now_ms + delay_ms, fence));
                }
            }
            Op::Restart(index) => {
                let incarnation = self.candidates[index].1 + 1;
                self.candidates[index] = (candidate(index, incarnation), incarnation);
            }
        }
        let holders = (0..CANDIDATES)
            .filter(|index| self.candidates[*index].0.fence(self.clock(*index)).is_some())
            .count();
        assert!(holders <= 1, "{holders} hold the lease");
    }

    fn wait(&mut self, ms: u64) {
        self.now_ms += ms;
        self.orders.sort_unstable();
        let due = self.orders.extract_if(.., |it| it.0 <= self.now_ms);
        for (_, fence) in due.collect::<Vec<_>>() {
            assert!(fence >= self.last_fence, "an older order came after a newer one");
            self.last_fence = fence;
        }
    }

    fn poll(&mut self, index: usize, fate: u8) {
        let now = self.clock(index);
        let answer = match self.candidates[index].0.poll(now, true) {
            Step::Wait => return,
            _ if fate == 0 => Answer::Lost,
            Step::Read => self.read(),
            Step::Write { lease, if_version } => self.write(lease, if_version),
        };
        let answer = if fate == 1 { Answer::Lost } else { answer };
        self.candidates[index].0.handle_answer(now, answer);
    }

    fn read(&self) -> Answer {
        let Some(lease) = &self.lease else { return Answer::Missing };
        let value = Some(lease.value());
        let object =
            Object { kind: "lease".into(), name: "x".into(), version: self.version, value };
        Answer::Object(object)
    }

    fn write(&mut self, lease: Lease, if_version: u64) -> Answer {
        if if_version != self.version {
            return Answer::Conflict;
        }
        self.version += 1;
        self.lease = Some(lease);
        Answer::Written { version: self.version }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn poll_one_holder(ops in proptest::collection::vec(op(), 1..250)) {
        let mut bench = Bench::new();
        ops.iter().for_each(|op| bench.apply(op));
    }
}

/// A candidate that should not hold the lease does not read it.
#[test]
fn poll_not_needed() {
    let mut client = candidate(0, 1);
    assert!(matches!(client.poll(Instant::default(), false), Step::Wait));
}

/// Returns a candidate that has acquired the lease at 1 s.
fn holder() -> LeaseClient {
    let mut client = candidate(0, 1);
    let now = Instant::from_millis(1_000);
    assert!(matches!(client.poll(now, true), Step::Read));
    client.handle_answer(now, Answer::Missing);
    assert!(matches!(client.poll(now, true), Step::Write { .. }));
    client.handle_answer(now, Answer::Written { version: 1 });
    client
}

#[test]
fn may_send_paused_holder() {
    let client = holder();
    let order = Order::new(&Endpoint { fences: true }, 1, json!({ "role": "decode" }));
    assert_eq!(order.may_send(Instant::from_millis(1_500), &client), Some(1));
    let resumed = Instant::from_millis(1_000) + siskinstile_core::order::TERM;
    assert_eq!(order.may_send(resumed, &client), None);
}

#[test]
fn may_send_unfenced_endpoint() {
    let mut client = holder();
    let state = json!({ "role": "decode" });
    let mut order = Order::new(&Endpoint { fences: false }, 1, state.clone());
    order.handle_state(&json!({ "role": "prefill" }));
    assert_eq!(order.may_send(Instant::from_millis(1_500), &client), None);

    let renewed = Instant::from_millis(5_000);
    assert!(matches!(client.poll(renewed, true), Step::Write { .. }));
    client.handle_answer(renewed, Answer::Written { version: 2 });
    let clear = Instant::from_millis(1_000) + siskinstile_core::order::MARGIN;
    assert_eq!(order.may_send(clear + Duration::from_millis(1), &client), Some(1));
    order.handle_answer(true);
    order.handle_state(&json!({ "role": "prefill" }));
    assert_eq!(order.phase, Phase::Superseded);
}

fn answer(version: u64, lease: Option<&Lease>) -> Answer {
    match lease {
        Some(lease) => Answer::Object(Object {
            kind: "lease".into(),
            name: "orders".into(),
            version,
            value: Some(lease.value()),
        }),
        None => Answer::Missing,
    }
}

/// A holder whose lease was lost in a restore gives no orders, and neither it nor another candidate
/// takes the lease before the last term of the earlier history has passed.
#[test]
fn platform_restored_lease_lost() {
    let (mut holder, mut other) = (candidate(0, 1), candidate(1, 1));
    let at = |ms| Instant::default() + Duration::from_millis(ms);
    assert!(matches!(holder.poll(at(0), true), Step::Read));
    holder.handle_answer(at(0), answer(0, None));
    assert!(matches!(holder.poll(at(0), true), Step::Write { .. }));
    holder.handle_answer(at(0), Answer::Written { version: 7 });
    assert!(holder.fence(at(100)).is_some());
    let restored_ms = 5_000;
    for client in [&mut holder, &mut other] {
        client.platform_restored(at(restored_ms));
    }
    assert_eq!(holder.fence(at(restored_ms)), None);
    let term_ms = TERM.as_millis() as u64;
    for ms in (restored_ms..restored_ms + term_ms).step_by(500) {
        for client in [&mut holder, &mut other] {
            assert!(matches!(client.poll(at(ms), true), Step::Read), "after {ms} ms");
            client.handle_answer(at(ms), answer(0, None));
        }
    }
    let later = at(restored_ms + 2 * term_ms);
    assert!(matches!(other.poll(later, true), Step::Write { .. }));
}

/// An answer to a write that was made before the restore gives no lease: the version on which the
/// write depended may have been given out again.
#[test]
fn platform_restored_write_pending() {
    let mut client = candidate(0, 1);
    let now = Instant::default();
    client.poll(now, true);
    client.handle_answer(now, answer(0, None));
    assert!(matches!(client.poll(now, true), Step::Write { .. }));
    client.platform_restored(now);
    client.handle_answer(now, Answer::Written { version: 7 });
    assert_eq!(client.fence(now), None);
}

/// Guards against a candidate that ends with an overflow, or whose token is lower than the one before, since the
/// stored lease has a token that leaves no room for a next one: such a lease counts as unreadable and is replaced.
#[test]
fn read_fence_out_of_range() {
    for fence in [MAX_FENCE + 1, u64::MAX] {
        let mut client = candidate(0, 1);
        let now = Instant::from_millis(1_000);
        client.poll(now, true);
        let lease = Lease { holder: "odd".into(), incarnation: 1, fence };
        client.handle_answer(now, answer(3, Some(&lease)));
        let step = client.poll(now, true);
        let Step::Write { lease, if_version: 3 } = step else { panic!("{step:?}") };
        assert_eq!(lease.fence, 1);
    }
}

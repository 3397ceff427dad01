use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use serde_json::json;
use siskinstile_core::{
    Instant,
    order::{Contender, Endpoint, Holding, Lease, Order, Phase, Step},
    store::{Answer, Object},
};

const CONTENDERS: usize = 3;
/// Longest time that an order is on its way.
const ORDER_DELAY_MS: u64 = 4_500;

#[derive(Debug, Clone)]
enum Op {
    Wait(u64),
    /// A contender polls; its call is lost before or after its effect, or answered.
    Poll {
        at: usize,
        fate: u8,
    },
    /// A contender gives an order, which arrives after a delay.
    Order {
        at: usize,
        delay_ms: u64,
    },
    /// A contender starts again, empty.
    Restart(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..1_500_u64).prop_map(Op::Wait),
        5 => (0..CONTENDERS, 0..6_u8).prop_map(|(at, fate)| Op::Poll { at, fate }),
        12 => (0..CONTENDERS, 0..ORDER_DELAY_MS).prop_map(|(at, delay_ms)| Op::Order { at, delay_ms }),
        2 => (0..CONTENDERS).prop_map(Op::Restart),
    ]
}

/// Contenders with clocks that drift, and the platform's one lease.
struct Bench {
    now_ms: u64,
    version: u64,
    lease: Option<Lease>,
    contenders: Vec<(Holding, u64)>,
    /// Orders on their way to an endpoint that does not check numbers.
    orders: Vec<(u64, u64)>,
    last_fence: u64,
}

fn contender(at: usize, incarnation: u64) -> Holding {
    Holding::new(Contender { name: format!("c{at}").into(), incarnation })
}

impl Bench {
    fn new() -> Bench {
        let contenders = (0..CONTENDERS).map(|at| (contender(at, 1), 1)).collect();
        let (version, orders) = (0, Vec::new());
        Bench { now_ms: 1_000, version, lease: None, contenders, orders, last_fence: 0 }
    }

    /// Clocks run up to 1% fast or slow.
    fn clock(&self, at: usize) -> Instant {
        Instant::from_millis(self.now_ms * (99 + at as u64) / 100)
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Wait(ms) => self.wait(ms),
            Op::Poll { at, fate } => self.poll(at, fate),
            Op::Order { at, delay_ms } => {
                let now = self.clock(at);
                let holding = &self.contenders[at].0;
                if holding.may_order_unfenced(now) {
                    let fence = holding.fence(now).unwrap();
                    self.orders.push((self.now_ms + delay_ms, fence));
                }
            }
            Op::Restart(at) => {
                let incarnation = self.contenders[at].1 + 1;
                self.contenders[at] = (contender(at, incarnation), incarnation);
            }
        }
        let holders = (0..CONTENDERS)
            .filter(|at| self.contenders[*at].0.fence(self.clock(*at)).is_some())
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

    fn poll(&mut self, at: usize, fate: u8) {
        let now = self.clock(at);
        let answer = match self.contenders[at].0.poll(now, true) {
            Step::Wait => return,
            _ if fate == 0 => Answer::Lost,
            Step::Read => self.read(),
            Step::Write { lease, if_version } => self.write(lease, if_version),
        };
        let answer = if fate == 1 { Answer::Lost } else { answer };
        self.contenders[at].0.answered(now, answer);
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
    fn order_one_holder(ops in proptest::collection::vec(op(), 1..250)) {
        let mut bench = Bench::new();
        ops.iter().for_each(|op| bench.apply(op));
    }
}

/// Returns a contender that has taken the lease at 1 s.
/// An instance that should not hold the lease does not even read it.
#[test]
fn poll_unwanted() {
    let mut holding = contender(0, 1);
    assert!(matches!(holding.poll(Instant::default(), false), Step::Wait));
}

fn holder() -> Holding {
    let mut holding = contender(0, 1);
    let now = Instant::from_millis(1_000);
    assert!(matches!(holding.poll(now, true), Step::Read));
    holding.answered(now, Answer::Missing);
    assert!(matches!(holding.poll(now, true), Step::Write { .. }));
    holding.answered(now, Answer::Written { version: 1 });
    holding
}

#[test]
fn order_paused_holder() {
    let holding = holder();
    let order = Order::new(&Endpoint { fences: true }, 1, json!({ "role": "decode" }));
    assert_eq!(order.may_give(Instant::from_millis(1_500), &holding), Some(1));
    let woken = Instant::from_millis(1_000) + siskinstile_core::order::TERM;
    assert_eq!(order.may_give(woken, &holding), None);
}

#[test]
fn order_unfenced_endpoint() {
    let mut holding = holder();
    let state = json!({ "role": "decode" });
    let mut order = Order::new(&Endpoint { fences: false }, 1, state.clone());
    order.state_read(&json!({ "role": "prefill" }));
    assert_eq!(order.may_give(Instant::from_millis(1_500), &holding), None);

    let renewed = Instant::from_millis(5_000);
    assert!(matches!(holding.poll(renewed, true), Step::Write { .. }));
    holding.answered(renewed, Answer::Written { version: 2 });
    let clear = Instant::from_millis(1_000) + siskinstile_core::order::MARGIN;
    assert_eq!(order.may_give(clear + Duration::from_millis(1), &holding), Some(1));
    order.given(true);
    order.state_read(&json!({ "role": "prefill" }));
    assert_eq!(order.phase, Phase::Overtaken);
}

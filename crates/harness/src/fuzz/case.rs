//! A fuzz case: a seed and a list of operations, serializable for replay.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Number of instances.
pub const INSTANCES: usize = 4;
/// Number of operations of a generated case, not counting the wait after each.
const OPERATIONS_PER_CASE: usize = 70;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A completion by a model.
    Completion,
    /// An idempotent call of a plain service.
    Lookup,
    /// A non-idempotent call of a plain service.
    Issue,
}

/// An operation of a case. Instances and endpoints are given by their numbers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Op {
    /// Lets virtual time pass, in milliseconds.
    Wait(u64),
    /// A caller sends a request.
    Submit {
        /// The instance that receives it.
        at: usize,
        /// The kind of request.
        kind: Kind,
        /// Number of its idempotency key, if it has one.
        key: Option<u64>,
        /// Digest of its body; a key reused with another digest is an error.
        body: u64,
        /// Tokens to generate.
        tokens: u64,
    },
    /// The caller of the n-th open request disconnects.
    Leave(usize),
    /// An instance is killed.
    Kill {
        /// The instance.
        at: usize,
        /// Whether the platform keeps it in its list of instances.
        listed: bool,
    },
    /// A dead instance restarts with empty state.
    Restart(usize),
    /// The process of an instance is paused.
    Pause {
        /// The instance.
        at: usize,
        /// Duration, in milliseconds.
        ms: u64,
    },
    /// The link from one instance to another degrades.
    Link {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// Share of messages lost, in percent.
        loss: u8,
        /// Share of messages duplicated, in percent.
        twice: u8,
        /// Longest delay, in milliseconds.
        most_ms: u64,
        /// Whether the link drops every message.
        cut: bool,
    },
    /// The link between an instance and the platform degrades in one direction.
    Platform {
        /// The instance.
        at: usize,
        /// Whether it is the direction from the instance to the platform.
        outward: bool,
        /// Share of messages lost, in percent.
        loss: u8,
        /// Longest delay, in milliseconds.
        most_ms: u64,
        /// Whether the link drops every message.
        cut: bool,
    },
    /// All links recover.
    Mend,
    /// Sets the share of endpoint calls that fail in some way, in percent.
    Trouble(u32),
    /// An endpoint is down for a time and loses the memory that it holds.
    Down {
        /// The endpoint.
        endpoint: usize,
        /// Duration, in milliseconds.
        ms: u64,
    },
    /// An operator sets or clears the leaving mark of an endpoint.
    Mark {
        /// The endpoint.
        endpoint: usize,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A planned stop of an instance begins.
    Drain(usize),
}

/// A reproducible run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Case {
    /// Seed of all random number generators of the run.
    pub seed: u64,
    /// The operations, in order.
    pub ops: Vec<Op>,
}

impl Case {
    /// Generates the case of a seed; the same seed always gives the same case.
    pub fn generate(seed: u64) -> Case {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ops = Vec::new();
        for _ in 0..OPERATIONS_PER_CASE {
            ops.push(random_op(&mut rng));
            ops.push(Op::Wait(random_wait(&mut rng)));
        }
        Case { seed, ops }
    }
}

fn random_wait(rng: &mut ChaCha8Rng) -> u64 {
    match rng.random_range(0..10) {
        0 => rng.random_range(0..3_000),
        1..=3 => 0,
        _ => rng.random_range(0..150),
    }
}

fn random_op(rng: &mut ChaCha8Rng) -> Op {
    let at = rng.random_range(0..INSTANCES);
    match rng.random_range(0..100) {
        0..=54 => random_submit(rng, at),
        55..=59 => Op::Leave(rng.random_range(0..20)),
        60..=64 => Op::Kill { at, listed: rng.random() },
        65..=69 => Op::Restart(at),
        70..=73 => Op::Pause { at, ms: rng.random_range(0..8_000) },
        74..=77 => Op::Link {
            from: at,
            to: rng.random_range(0..INSTANCES),
            loss: rng.random_range(0..60),
            twice: rng.random_range(0..60),
            most_ms: rng.random_range(2..400),
            cut: rng.random_range(0..3) == 0,
        },
        78..=82 => Op::Platform {
            at,
            outward: rng.random(),
            loss: rng.random_range(0..80),
            most_ms: rng.random_range(2..2_500),
            cut: rng.random_range(0..4) == 0,
        },
        83..=85 => Op::Mend,
        86..=90 => Op::Trouble(rng.random_range(0..50)),
        91..=93 => Op::Down { endpoint: rng.random_range(0..6), ms: rng.random_range(0..4_000) },
        94..=97 => Op::Mark { endpoint: rng.random_range(0..6), leaving: rng.random() },
        _ => Op::Drain(at),
    }
}

fn random_submit(rng: &mut ChaCha8Rng, at: usize) -> Op {
    let kind = [Kind::Completion, Kind::Lookup, Kind::Issue][rng.random_range(0..3)];
    let has_key = rng.random_range(0..4) > 0;
    Op::Submit {
        at,
        kind,
        key: has_key.then(|| rng.random_range(0..6)),
        body: u64::from(rng.random_range(0..10) == 0),
        tokens: rng.random_range(1..120),
    }
}

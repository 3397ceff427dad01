//! One run of the fuzz as data: a seed and the operations on the world.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Number of instances.
pub const INSTANCES: usize = 4;
/// Number of operations of one case.
const OPERATIONS: usize = 70;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A completion.
    Completion,
    /// An idempotent plain call.
    Lookup,
    /// A plain call that may run once.
    Issue,
}

/// An operation; an instance is given by its number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Op {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A caller sends a request, with an idempotency key or none.
    Submit {
        /// The instance.
        at: usize,
        /// What it asks for.
        kind: Kind,
        /// The idempotency key.
        key: Option<u64>,
        /// Digest of the body.
        body: u64,
        /// Tokens to generate.
        tokens: u64,
    },
    /// The caller of an open request leaves.
    Leave(usize),
    /// An instance dies; the platform's list shows it on, or not.
    Kill {
        /// The instance.
        at: usize,
        /// Whether the platform's list goes on showing it.
        listed: bool,
    },
    /// A dead instance starts again, empty.
    Restart(usize),
    /// An instance stops for a while, in milliseconds.
    Pause {
        /// The instance.
        at: usize,
        /// How long, in milliseconds.
        ms: u64,
    },
    /// One direction between two instances gets worse.
    Link {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// Share of messages lost, in percent.
        loss: u8,
        /// Share of messages doubled, in percent.
        twice: u8,
        /// Longest delay, in milliseconds.
        most_ms: u64,
        /// Whether nothing arrives.
        cut: bool,
    },
    /// One direction between an instance and the platform gets worse.
    Platform {
        /// The instance.
        at: usize,
        /// Whether it is the direction to the platform.
        outward: bool,
        /// Share of messages lost, in percent.
        loss: u8,
        /// Longest delay, in milliseconds.
        most_ms: u64,
        /// Whether nothing arrives.
        cut: bool,
    },
    /// All links are well again.
    Mend,
    /// A share of the calls of endpoints goes wrong, in percent.
    Trouble(u32),
    /// An endpoint is down for a while, in milliseconds.
    Down {
        /// The endpoint.
        endpoint: usize,
        /// How long, in milliseconds.
        ms: u64,
    },
    /// An endpoint is marked as leaving, or no longer.
    Mark {
        /// The endpoint.
        endpoint: usize,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// An instance stops as planned.
    Drain(usize),
}

/// A seed and the operations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Case {
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// The operations.
    pub ops: Vec<Op>,
}

impl Case {
    /// Generates the case of a seed.
    pub fn generate(seed: u64) -> Case {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ops = Vec::new();
        for _ in 0..OPERATIONS {
            ops.push(op(&mut rng));
            ops.push(Op::Wait(wait(&mut rng)));
        }
        Case { seed, ops }
    }
}

fn wait(rng: &mut ChaCha8Rng) -> u64 {
    match rng.random_range(0..10) {
        0 => rng.random_range(0..3_000),
        1..=3 => 0,
        _ => rng.random_range(0..150),
    }
}

fn op(rng: &mut ChaCha8Rng) -> Op {
    let at = rng.random_range(0..INSTANCES);
    match rng.random_range(0..100) {
        0..=54 => submit(rng, at),
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

fn submit(rng: &mut ChaCha8Rng, at: usize) -> Op {
    let kind = [Kind::Completion, Kind::Lookup, Kind::Issue][rng.random_range(0..3)];
    let key = rng.random_range(0..4) > 0;
    Op::Submit {
        at,
        kind,
        key: key.then(|| rng.random_range(0..6)),
        body: u64::from(rng.random_range(0..10) == 0),
        tokens: rng.random_range(1..120),
    }
}

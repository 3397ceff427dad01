//! Claims of non-idempotent requests on the platform.
//!
//! A claim is created conditionally before the request runs, so that of all instances and retries
//! one runs it. It carries a token of its attempt: after a lost answer, reading it back tells whose
//! it is.

use std::sync::Arc;

use serde_json::Value;
use siskinstile_macros::value;

use crate::{
    error::{Failure, Kind, Ran},
    object::Name,
    request::{Arrival, Id, Response},
};

/// Kind of the platform's objects that hold claims.
pub const KIND: &str = "claim";

/// What the platform holds of a claim.
#[value(serde)]
pub struct Claim {
    /// The request that made it.
    pub token: String,
    /// Name of the instance that runs the request.
    #[serde(default)]
    pub instance: Name,
    /// Incarnation of that instance.
    #[serde(default)]
    pub incarnation: u64,
    /// Digest of its method, path and body.
    pub digest: u64,
    /// Its outcome; none while it runs.
    pub outcome: Option<Outcome>,
}

/// How a claimed request ended.
#[value(serde)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// With this answer.
    Answered(Arc<Response>),
    /// It did not run: the claim is free.
    NotRun,
    /// It may have run, or its answer was too large to keep.
    Unknown,
}

/// What a claim found on the platform means for a request.
#[value]
pub enum Verdict {
    /// It is the request's own: it may run.
    Own,
    /// An earlier request did not run: the claim may be taken over.
    Free,
    /// The earlier request's answer.
    Replay(Arc<Response>),
    /// The request fails.
    Fail(Failure),
}

/// Returns the name of the claim for a team's idempotency key.
pub fn name(team: &str, idempotency_key: &str) -> Name {
    let digest = crate::key::hash(team.as_bytes(), idempotency_key);
    Name::from(&digest[..40])
}

/// The instance that runs a claimed request.
#[value]
pub struct Runner {
    /// Its name.
    pub instance: Name,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Returns the value of a request's claim.
pub fn value(token: Id, digest: u64, runner: &Runner, outcome: Option<Outcome>) -> Value {
    let Runner { instance, incarnation } = runner.clone();
    let claim = Claim { token: token.to_string(), instance, incarnation, digest, outcome };
    serde_json::to_value(claim).expect("a claim is plain data")
}

/// Reads a claim.
pub fn read(found: &Value) -> Option<Claim> {
    serde_json::from_value(found.clone()).ok()
}

/// Judges a claim found on the platform; `runs` tells whether its runner may still be at work.
pub fn judge(arrival: &Arrival, found: &Value, runs: impl Fn(&Claim) -> bool) -> Verdict {
    let unknown = |kind| Verdict::Fail(Failure::not_run(kind).with_ran(Ran::Unknown));
    let Some(claim) = read(found) else { return unknown(Kind::Internal) };
    match claim.outcome {
        _ if claim.token == arrival.id.to_string() => Verdict::Own,
        Some(Outcome::NotRun) => Verdict::Free,
        _ if claim.digest != arrival.digest => Verdict::Fail(Failure::not_run(Kind::KeyReused)),
        Some(Outcome::Answered(answer)) => Verdict::Replay(answer),
        Some(Outcome::Unknown) => unknown(Kind::OutcomeUnknown),
        None if runs(&claim) => unknown(Kind::InProgress),
        None => unknown(Kind::OutcomeUnknown),
    }
}

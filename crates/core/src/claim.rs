//! Claims: idempotency records of non-idempotent requests, stored on the platform.
//!
//! A claim is created with a conditional write before the request is executed, so that only one of
//! all instances and client retries executes it. The claim carries the identifier of its request as
//! a token: if the answer to the write is lost, reading the claim back shows which request owns it.

use std::sync::Arc;

use serde_json::Value;
use siskinstile_macros::value;

use crate::{
    error::{Failure, Kind, Ran},
    object::Name,
    request::{Arrival, Id, Response},
};

/// Object kind of claims on the platform.
pub const KIND: &str = "claim";

/// A claim as stored on the platform.
#[value(serde)]
pub struct Claim {
    /// Identifier of the request that created the claim.
    pub token: String,
    /// Name of the instance that executes the request.
    #[serde(default)]
    pub instance: Name,
    /// Incarnation of that instance.
    #[serde(default)]
    pub incarnation: u64,
    /// Digest of the request's method, path and body.
    pub digest: u64,
    /// Outcome of the request; none while it is in progress.
    pub outcome: Option<Outcome>,
}

/// The outcome of a claimed request.
#[value(serde)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Answered with this response.
    Answered(Arc<Response>),
    /// Not executed; the claim may be taken over.
    NotRun,
    /// Possibly executed, or answered with a response too large to record.
    Unknown,
}

/// What to do with a request, given the claim found on the platform.
#[value]
pub enum Verdict {
    /// The claim belongs to this request, which may be executed.
    Own,
    /// The earlier request was not executed; its claim may be taken over.
    TakeOver,
    /// Return the recorded response of the earlier request.
    Replay(Arc<Response>),
    /// Fail the request with this error.
    Fail(Failure),
}

/// Returns the object name of the claim for a team's idempotency key, a hash of both.
pub fn name(team: &str, idempotency_key: &str) -> Name {
    let digest = crate::key::hash(team.as_bytes(), idempotency_key);
    Name::from(&digest[..40])
}

/// The instance that executes a claimed request.
#[value]
pub struct Runner {
    /// Name of the instance.
    pub instance: Name,
    /// Incarnation of the instance.
    pub incarnation: u64,
}

/// Returns the stored form of a request's claim.
pub fn value(token: Id, digest: u64, runner: &Runner, outcome: Option<Outcome>) -> Value {
    let Runner { instance, incarnation } = runner.clone();
    let claim = Claim { token: token.to_string(), instance, incarnation, digest, outcome };
    serde_json::to_value(claim).expect("a claim is plain data")
}

/// Parses a stored claim; none if it is malformed.
pub fn parse(found: &Value) -> Option<Claim> {
    serde_json::from_value(found.clone()).ok()
}

/// Decides how to proceed with a request whose claim already exists on the platform.
///
/// `is_running` returns whether the claim's request may still be in progress.
pub fn evaluate(arrival: &Arrival, found: &Value, is_running: impl Fn(&Claim) -> bool) -> Verdict {
    let unknown = |kind| Verdict::Fail(Failure::not_run(kind).with_ran(Ran::Unknown));
    let Some(claim) = parse(found) else { return unknown(Kind::Internal) };
    match claim.outcome {
        _ if claim.token == arrival.id.to_string() => Verdict::Own,
        Some(Outcome::NotRun) => Verdict::TakeOver,
        _ if claim.digest != arrival.digest => Verdict::Fail(Failure::not_run(Kind::KeyReused)),
        Some(Outcome::Answered(answer)) => Verdict::Replay(answer),
        Some(Outcome::Unknown) => unknown(Kind::OutcomeUnknown),
        None if is_running(&claim) => unknown(Kind::InProgress),
        None => unknown(Kind::OutcomeUnknown),
    }
}

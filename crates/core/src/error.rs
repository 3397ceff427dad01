//! The closed list of error kinds, with the table from kind to answer.

use std::time::Duration;

use siskinstile_macros::value;

/// Whether a request may have run at an endpoint.
#[value(id, serde)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of it can have reached an endpoint that may run it.
    No,
    /// It has run.
    Yes,
    /// It may have run.
    Unknown,
}

/// Why a request got no whole answer.
#[value(id, serde)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request cannot be understood.
    BadRequest,
    /// No key, an unknown, a wrong or a withdrawn one.
    Unauthorized,
    /// The key cannot be checked: the platform has been out of reach for longer than its grace.
    OfflineGrace,
    /// No such route, model or request.
    NotFound,
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// The caller sent its request too slowly.
    RequestTimeout,
    /// A request with the same idempotency key is running.
    InProgress,
    /// The body is larger than the route's limit.
    BodyTooLarge,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The team's rate and burst are used up.
    RateLimited,
    /// The queue of the pool is full.
    QueueFull,
    /// The latency targets cannot be met.
    TooLate,
    /// No endpoint can run it.
    NoEndpoint,
    /// The instance is leaving.
    Draining,
    /// The platform is out of reach and the request needs it.
    PlatformUnavailable,
    /// No configuration is in force yet.
    NotReady,
    /// The endpoint answered with an error of its own.
    EndpointFailed,
    /// It may have run, and must not be tried again.
    OutcomeUnknown,
    /// An instance's own fault.
    Internal,
}

/// One row of the table from kind to answer.
#[value(eq)]
pub struct Row {
    /// The kind.
    pub kind: Kind,
    /// HTTP status.
    pub status: u16,
    /// Text for the caller.
    pub message: &'static str,
    /// Whether waiting helps, so that the answer tells when to come back.
    pub retryable: bool,
}

const fn row(kind: Kind, status: u16, retryable: bool, message: &'static str) -> Row {
    Row { kind, status, message, retryable }
}

/// The table from kind to answer.
pub const TABLE: [Row; 20] = [
    row(Kind::BadRequest, 400, false, "the request cannot be understood"),
    row(Kind::Unauthorized, 401, false, "a valid key is needed"),
    row(Kind::OfflineGrace, 503, true, "keys of this team cannot be checked at present"),
    row(Kind::NotFound, 404, false, "no such route, model or request"),
    row(Kind::MethodNotAllowed, 405, false, "the path does not take this method"),
    row(Kind::RequestTimeout, 408, false, "the request took too long to arrive"),
    row(Kind::InProgress, 409, true, "a request with this idempotency key is running"),
    row(Kind::BodyTooLarge, 413, false, "the body is larger than the route allows"),
    row(Kind::KeyReused, 422, false, "the idempotency key was used with another body"),
    row(Kind::HeadTooLarge, 431, false, "the head of the request is too large"),
    row(Kind::RateLimited, 429, true, "the team's rate and burst are used up"),
    row(Kind::QueueFull, 503, true, "the queue of the pool is full"),
    row(Kind::TooLate, 503, true, "the latency targets cannot be met now"),
    row(Kind::NoEndpoint, 503, true, "no endpoint can run the request now"),
    row(Kind::Draining, 503, true, "the instance is leaving"),
    row(Kind::PlatformUnavailable, 503, true, "the platform is out of reach"),
    row(Kind::NotReady, 503, true, "no configuration is in force yet"),
    row(Kind::EndpointFailed, 502, true, "the endpoint failed"),
    row(Kind::OutcomeUnknown, 504, false, "the request may have run; its outcome is unknown"),
    row(Kind::Internal, 500, false, "an internal error"),
];

impl Kind {
    /// Returns the kind's row of the table.
    pub fn row(self) -> &'static Row {
        TABLE.iter().find(|row| row.kind == self).expect("every kind has a row")
    }

    /// Returns the word that answers and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::BadRequest => "bad_request",
            Kind::Unauthorized => "unauthorized",
            Kind::OfflineGrace => "offline_grace",
            Kind::NotFound => "not_found",
            Kind::MethodNotAllowed => "method_not_allowed",
            Kind::RequestTimeout => "request_timeout",
            Kind::InProgress => "in_progress",
            Kind::BodyTooLarge => "body_too_large",
            Kind::KeyReused => "key_reused",
            Kind::HeadTooLarge => "head_too_large",
            Kind::RateLimited => "rate_limited",
            Kind::QueueFull => "queue_full",
            Kind::TooLate => "too_late",
            Kind::NoEndpoint => "no_endpoint",
            Kind::Draining => "draining",
            Kind::PlatformUnavailable => "platform_unavailable",
            Kind::NotReady => "not_ready",
            Kind::EndpointFailed => "endpoint_failed",
            Kind::OutcomeUnknown => "outcome_unknown",
            Kind::Internal => "internal",
        }
    }
}

/// The error that a caller gets in place of an answer.
#[value(eq, serde)]
pub struct Failure {
    /// Why.
    pub kind: Kind,
    /// Whether the request may have run.
    pub ran: Ran,
    /// When to come back, if waiting helps.
    pub retry_after: Option<Duration>,
    /// More for the caller than the kind's own text.
    pub detail: Option<String>,
}

impl Failure {
    /// Creates the failure of a request that has not run.
    pub fn not_run(kind: Kind) -> Failure {
        Failure { kind, ran: Ran::No, retry_after: None, detail: None }
    }

    /// Sets whether the request may have run.
    pub fn with_ran(mut self, ran: Ran) -> Failure {
        self.ran = ran;
        self
    }

    /// Sets when to come back.
    pub fn with_retry_after(mut self, after: Duration) -> Failure {
        self.retry_after = Some(after);
        self
    }

    /// Sets the text that says more than the kind's own.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Failure {
        self.detail = Some(detail.into());
        self
    }
}

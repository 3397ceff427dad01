//! Error kinds that callers can receive, and the HTTP answer for each.

use std::time::Duration;

use siskinstile_macros::value;

/// Whether a request was executed at an endpoint.
#[value(id, serde)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Not executed: no byte of it can have reached an endpoint that might execute it.
    No,
    /// Executed.
    Yes,
    /// Possibly executed.
    Unknown,
}

/// Why a request did not get a complete answer.
#[value(id, serde)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// The key is missing, unknown, wrong or revoked.
    Unauthorized,
    /// The key cannot be verified: the platform has been unreachable for longer than its grace
    /// period.
    OfflineGrace,
    /// There is no such route, model or request.
    NotFound,
    /// The path exists, but does not accept this method.
    MethodNotAllowed,
    /// The request was not received within the time limit.
    RequestTimeout,
    /// A request with the same idempotency key is in progress.
    InProgress,
    /// The body is larger than the route's limit.
    BodyTooLarge,
    /// The idempotency key was used before with a different method, path or body.
    KeyReused,
    /// The request head is larger than the limit.
    HeadTooLarge,
    /// The team's rate and burst are used up, or its tokens could not be borrowed from their
    /// owners.
    RateLimited,
    /// The queue of the pool is full.
    QueueFull,
    /// The latency targets of the route cannot be met, or a limit on waiting has passed.
    TooLate,
    /// No endpoint can execute the request.
    NoEndpoint,
    /// Endpoints that ran the request, or prompts with a part of this one, crashed, so it is not run for
    /// a while.
    Quarantined,
    /// The instance is draining and accepts no new requests.
    Draining,
    /// The platform is unreachable and the request depends on it.
    PlatformUnavailable,
    /// The instance has no configuration yet.
    NotReady,
    /// The endpoints failed to answer the request.
    EndpointFailed,
    /// The request may have been executed and must not be retried.
    OutcomeUnknown,
    /// An internal error of the instance.
    Internal,
}

/// The HTTP answer for an error kind.
#[value(eq)]
pub struct Row {
    /// Error kind.
    pub kind: Kind,
    /// HTTP status.
    pub status: u16,
    /// Message for the caller.
    pub message: &'static str,
    /// Whether a later retry may succeed; such answers carry a retry-after time.
    pub retryable: bool,
}

const fn row(kind: Kind, status: u16, retryable: bool, message: &'static str) -> Row {
    Row { kind, status, message, retryable }
}

/// The HTTP answer for each error kind.
pub const TABLE: [Row; 21] = [
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
    row(Kind::Quarantined, 503, true, "the request, or a part of its prompt, crashes endpoints"),
    row(Kind::Draining, 503, true, "the instance is leaving"),
    row(Kind::PlatformUnavailable, 503, true, "the platform is out of reach"),
    row(Kind::NotReady, 503, true, "no configuration is in force yet"),
    row(Kind::EndpointFailed, 502, true, "the endpoint failed"),
    row(Kind::OutcomeUnknown, 504, false, "the request may have run; its outcome is unknown"),
    row(Kind::Internal, 500, false, "an internal error"),
];

impl Kind {
    /// Returns the row of [`TABLE`] for this kind.
    pub fn row(self) -> &'static Row {
        TABLE.iter().find(|row| row.kind == self).expect("every kind has a row")
    }

    /// Returns the identifier used in answers and metrics.
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
            Kind::Quarantined => "quarantined",
            Kind::Draining => "draining",
            Kind::PlatformUnavailable => "platform_unavailable",
            Kind::NotReady => "not_ready",
            Kind::EndpointFailed => "endpoint_failed",
            Kind::OutcomeUnknown => "outcome_unknown",
            Kind::Internal => "internal",
        }
    }
}

/// The error returned to a caller instead of an answer.
#[value(eq, serde)]
pub struct Failure {
    /// Error kind.
    pub kind: Kind,
    /// Whether the request was executed.
    pub ran: Ran,
    /// Time after which the caller may retry; none leaves the default of the kind.
    pub retry_after: Option<Duration>,
    /// Detail for the caller, in addition to the message of the kind.
    pub detail: Option<String>,
}

impl Failure {
    /// Creates the failure of a request that was not executed.
    pub fn not_run(kind: Kind) -> Failure {
        Failure { kind, ran: Ran::No, retry_after: None, detail: None }
    }

    /// Sets whether the request was executed.
    pub fn with_ran(mut self, ran: Ran) -> Failure {
        self.ran = ran;
        self
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, after: Duration) -> Failure {
        self.retry_after = Some(after);
        self
    }

    /// Sets the detail for the caller.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Failure {
        self.detail = Some(detail.into());
        self
    }
}

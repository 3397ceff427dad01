//! The reasons for which a field of an object is invalid.

use siskinstile_macros::value;

use super::{BODY_LIMIT_MAX, HASH_BYTES, NAME_MAX, SALT_BYTES_MIN, VALUE_MAX};
use crate::object::{Kind, Name, Role, Workload};

/// Why a field is invalid; the text also states what is valid.
#[value]
#[derive(thiserror::Error)]
#[non_exhaustive]
pub enum Problem {
    /// The named object does not exist.
    #[error("there is no {} `{name}`; name one that the set contains", kind.as_str())]
    Missing {
        /// Kind that the field refers to.
        kind: Kind,
        /// Name that was not found.
        name: Name,
    },
    /// The name has a character or a length that is not allowed.
    #[error("`{name}` is no name; use 1 to {NAME_MAX} characters of a-z, 0-9 and `-`")]
    InvalidName {
        /// The name as written.
        name: Name,
    },
    /// The object's JSON value is too large for the platform.
    #[error("the value has {bytes} bytes; keep it to at most {VALUE_MAX}")]
    TooLarge {
        /// Size of the value, in bytes.
        bytes: usize,
    },
    /// The number is 0.
    #[error("is 0; give at least 1")]
    Zero,
    /// The objective is out of range.
    #[error("is {percent}; give a number from 50 up to, but not including, 100")]
    ObjectiveOutOfRange {
        /// The objective as written, in percent.
        percent: f64,
    },
    /// A model service serves no model.
    #[error("a model service needs at least one model; list the models that it serves")]
    NoModels,
    /// A plain service lists models.
    #[error("a plain service has no models; leave the list empty")]
    PlainWithModels,
    /// The list contains the name twice.
    #[error("`{name}` is listed twice; list it once")]
    Duplicate {
        /// The repeated name.
        name: Name,
    },
    /// The rate exceeds the total prefill rate of all pools.
    #[error(
        "is {rate}, but all pools together prefill {capacity} tokens a second; give at most that"
    )]
    RateAboveCapacity {
        /// Rate of the team, in tokens per second.
        rate: u64,
        /// Total prefill rate of all pools, in tokens per second.
        capacity: u64,
    },
    /// The burst is smaller than the cost of one request of a route.
    #[error("is {burst}, but one request of route `{route}` costs {cost}; give at least that")]
    BurstBelowCost {
        /// Burst of the team, in tokens.
        burst: u64,
        /// Plain route with the highest cost.
        route: Name,
        /// Cost of one request, in tokens.
        cost: u64,
    },
    /// The salt is not hexadecimal or is too short.
    #[error("is no salt; give at least {SALT_BYTES_MIN} bytes as hexadecimal digits")]
    InvalidSalt,
    /// The hash is not hexadecimal or has the wrong length.
    #[error("is no SHA-256 hash; give {HASH_BYTES} bytes as hexadecimal digits")]
    InvalidHash,
    /// Another key has the same hash.
    #[error("is also the hash of key `{other}`; give each key its own salt and secret")]
    DuplicateHash {
        /// The earlier key.
        other: Name,
    },
    /// The service of the route does not serve the model.
    #[error("service `{service}` does not serve `{model}`; name one of its models")]
    ModelNotServed {
        /// Model of the route.
        model: Name,
        /// Service of the route.
        service: Name,
    },
    /// A route of a model service has no model.
    #[error("a route of a model service needs a model; name one")]
    ModelMissing,
    /// The field is set, but routes of this workload do not support it.
    #[error("does not belong on a route of a {} service; remove it", workload_name(*workload))]
    NotForWorkload {
        /// Workload of the service.
        workload: Workload,
    },
    /// A route of a plain service has no path or one that does not start with `/`.
    #[error("a route of a plain service needs a path prefix that starts with `/`")]
    InvalidPath,
    /// The method is not a supported HTTP method in capitals.
    #[error("`{method}` is no HTTP method; use one such as GET or POST, in capitals")]
    InvalidMethod {
        /// The method as written.
        method: Name,
    },
    /// A model route is marked as non-idempotent.
    #[error("a completion is idempotent: running it again charges nobody; set it to true")]
    NonIdempotentModel,
    /// Another route matches the same requests.
    #[error("route `{other}` takes the same requests; change or remove one of the two")]
    Overlap {
        /// The earlier route.
        other: Name,
    },
    /// The body limit exceeds the maximum.
    #[error("is {bytes}; give at most {BODY_LIMIT_MAX} bytes")]
    BodyLimitTooHigh {
        /// The limit as written, in bytes.
        bytes: u64,
    },
    /// The pool of the route runs another service.
    #[error(
        "pool `{pool}` runs service `{pool_service}`, not `{service}`; name a pool of the service"
    )]
    PoolServiceMismatch {
        /// Pool of the route.
        pool: Name,
        /// Service that the pool runs.
        pool_service: Name,
        /// Service of the route.
        service: Name,
    },
    /// An endpoint's role does not fit the workload of the pool's service.
    #[error(
        "a pool of a {} service has no such endpoints; use {}",
        workload_name(*workload),
        role_names(*workload)
    )]
    RoleMismatch {
        /// Workload of the pool's service.
        workload: Workload,
    },
    /// The pool lacks an endpoint of a role.
    #[error("the pool needs at least one {} endpoint; add one", role_name(*role))]
    RoleMissing {
        /// The role that no endpoint has.
        role: Role,
    },
    /// The address is not of the form `IP:PORT`.
    #[error("`{address}` is no address; give IP:PORT")]
    InvalidAddress {
        /// The address as written.
        address: Name,
    },
    /// Another endpoint, in any pool, has the same name.
    #[error("pool `{pool}` has an endpoint of this name; names are unique over all pools")]
    DuplicateEndpoint {
        /// Pool of the earlier endpoint.
        pool: Name,
    },
    /// Another endpoint, in any pool, has the same address.
    #[error("endpoint `{endpoint}` of pool `{pool}` has this address; give each its own")]
    DuplicateAddress {
        /// Pool of the earlier endpoint.
        pool: Name,
        /// The earlier endpoint.
        endpoint: Name,
    },
}

fn workload_name(workload: Workload) -> &'static str {
    match workload {
        Workload::Model => "model",
        Workload::Plain => "plain",
    }
}

fn role_names(workload: Workload) -> &'static str {
    match workload {
        Workload::Model => "prefill or decode",
        Workload::Plain => "plain",
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Prefill => "prefill",
        Role::Decode => "decode",
        Role::Plain => "plain",
    }
}

//! Numbered log events, catalogued in docs/log-events.md.

use log::Level;
use siskinstile_macros::value;

/// A log event type.
#[value(id)]
pub struct Code {
    /// Number; never reused for another event.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Fixed text of the event.
    pub text: &'static str,
}

const fn code(number: u16, level: Level, text: &'static str) -> Code {
    Code { number, level, text }
}

/// The daemon has started.
pub const STARTED: Code = code(100, Level::Info, "started");
/// The daemon is stopping gracefully.
pub const DRAINING: Code = code(101, Level::Info, "draining");
/// The daemon has stopped.
pub const STOPPED: Code = code(102, Level::Info, "stopped");
/// A new configuration has been adopted.
pub const CONFIG_ADOPTED: Code = code(200, Level::Info, "configuration in force");
/// The objects have errors; the current configuration stays.
pub const CONFIG_REFUSED: Code =
    code(201, Level::Warn, "objects have errors, configuration unchanged");
/// A configuration has been published.
pub const CONFIG_PUBLISHED: Code = code(202, Level::Info, "configuration published");
/// A published configuration could not be read.
pub const CONFIG_UNREADABLE: Code = code(203, Level::Error, "published configuration unreadable");
/// A platform call was not answered.
pub const PLATFORM_UNANSWERED: Code = code(300, Level::Warn, "no answer from the platform");
/// An attempt failed and the request is retried.
pub const ATTEMPT_RETRIED: Code = code(400, Level::Info, "attempt failed, retrying");
/// An accepted request ended with an error.
pub const REQUEST_FAILED: Code = code(401, Level::Warn, "request failed");
/// A request is quarantined, since endpoints ended that ran it.
pub const REQUEST_QUARANTINED: Code = code(402, Level::Warn, "request quarantined");
/// A connection to another instance failed.
pub const PEER_LOST: Code = code(500, Level::Warn, "connection to an instance failed");
/// The certificates have been reloaded.
pub const CERTIFICATES_RELOADED: Code = code(501, Level::Info, "certificates reloaded");
/// Changed certificates could not be read; the previous ones stay in use.
pub const CERTIFICATES_UNREADABLE: Code =
    code(502, Level::Error, "changed certificates unreadable, keeping the old ones");
/// A listener failed to accept a connection.
pub const ACCEPT_FAILED: Code = code(600, Level::Warn, "accepting a connection failed");

/// All codes, for comparison with the catalogue.
pub const CODES: [Code; 15] = [
    STARTED,
    DRAINING,
    STOPPED,
    CONFIG_ADOPTED,
    CONFIG_REFUSED,
    CONFIG_PUBLISHED,
    CONFIG_UNREADABLE,
    PLATFORM_UNANSWERED,
    ATTEMPT_RETRIED,
    REQUEST_FAILED,
    REQUEST_QUARANTINED,
    PEER_LOST,
    CERTIFICATES_RELOADED,
    CERTIFICATES_UNREADABLE,
    ACCEPT_FAILED,
];

/// A log event with a detail text.
#[value]
pub struct Record {
    /// Event type.
    pub code: Code,
    /// Detail; must not contain an API key.
    pub detail: String,
}

impl Record {
    /// Creates a record of an event.
    pub fn new(code: Code, detail: impl Into<String>) -> Record {
        Record { code, detail: detail.into() }
    }

    /// Writes the record to the log of the process.
    pub fn write(&self) {
        let Code { number, level, text } = self.code;
        log::log!(target: "siskinstile", level, "E{number} {text}: {}", self.detail);
    }
}

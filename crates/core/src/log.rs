//! The numbered log events; docs/log-events.md is their catalogue.

use log::Level;
use siskinstile_macros::value;

/// A kind of log event.
#[value(id)]
pub struct Code {
    /// Number, never used again for another event.
    pub number: u16,
    /// Level.
    pub level: Level,
    /// Text.
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
/// A configuration is in force.
pub const CONFIG_ADOPTED: Code = code(200, Level::Info, "configuration in force");
/// The objects have errors; nothing changes.
pub const CONFIG_REFUSED: Code =
    code(201, Level::Warn, "objects have errors, configuration unchanged");
/// A configuration was published.
pub const CONFIG_PUBLISHED: Code = code(202, Level::Info, "configuration published");
/// A published configuration could not be read.
pub const CONFIG_UNREADABLE: Code = code(203, Level::Error, "published configuration unreadable");
/// A platform call got no answer.
pub const PLATFORM_SILENT: Code = code(300, Level::Warn, "no answer from the platform");
/// An attempt broke and the request is tried again.
pub const ATTEMPT_RETRIED: Code = code(400, Level::Info, "attempt broke, trying again");
/// A request ended with an error after it was accepted.
pub const REQUEST_FAILED: Code = code(401, Level::Warn, "request failed");
/// A peer connection failed.
pub const PEER_LOST: Code = code(500, Level::Warn, "connection to an instance failed");
/// The certificates have been read again.
pub const CERTIFICATES_READ: Code = code(501, Level::Info, "certificates read again");
/// Changed certificates could not be read.
pub const CERTIFICATES_UNREADABLE: Code =
    code(502, Level::Error, "changed certificates unreadable, the old ones stay");
/// A listener could not accept a connection.
pub const ACCEPT_FAILED: Code = code(600, Level::Warn, "accepting a connection failed");

/// Every code, for the catalogue.
pub const CODES: [Code; 14] = [
    STARTED,
    DRAINING,
    STOPPED,
    CONFIG_ADOPTED,
    CONFIG_REFUSED,
    CONFIG_PUBLISHED,
    CONFIG_UNREADABLE,
    PLATFORM_SILENT,
    ATTEMPT_RETRIED,
    REQUEST_FAILED,
    PEER_LOST,
    CERTIFICATES_READ,
    CERTIFICATES_UNREADABLE,
    ACCEPT_FAILED,
];

/// A log event with its detail.
#[value]
pub struct Record {
    /// The kind of event.
    pub code: Code,
    /// The detail; never a key.
    pub detail: String,
}

impl Record {
    /// Creates a record.
    pub fn new(code: Code, detail: impl Into<String>) -> Record {
        Record { code, detail: detail.into() }
    }

    /// Writes the record to the process's log.
    pub fn write(&self) {
        let Code { number, level, text } = self.code;
        log::log!(target: "siskinstile", level, "E{number} {text}: {}", self.detail);
    }
}

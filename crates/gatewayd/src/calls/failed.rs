//! Failures of calls to endpoints.

use crate::{
    body,
    client::{Connection, Fault},
};

/// Cause of a failure after which nobody can tell whether the response is whole.
pub(super) const UNTAKEN: &str = "connection ended before the request was taken";

/// Why a call failed.
pub(super) struct Failed {
    /// Whether bytes of the request may have been sent.
    pub(super) sent: bool,
    /// Whether the endpoint could not be reached.
    pub(super) unresponsive: bool,
    /// Whether it broke off so soon that the endpoint need not have got the request.
    pub(super) at_once: bool,
    /// What went wrong, for the log.
    pub(super) cause: &'static str,
}

impl Failed {
    /// Returns the failure of a call whose response did not arrive as the endpoint sent it.
    pub(super) fn broken(cause: &'static str) -> Failed {
        Failed { sent: true, unresponsive: false, at_once: false, cause }
    }

    /// Returns the failure of a call whose response body could not be read from its connection.
    pub(super) fn of_body(fault: body::Fault, connection: &Connection) -> Failed {
        match fault {
            body::Fault::Cut if connection.is_untaken() => Failed::broken(UNTAKEN),
            body::Fault::Cut => Failed::broken("answer cut"),
            body::Fault::TooLarge => Failed::broken("answer too large"),
            body::Fault::OutOfMemory => Failed::broken("no memory for the answer"),
            body::Fault::Stalled => Failed::broken("answer stalled"),
        }
    }
}

impl From<Fault> for Failed {
    fn from(fault: Fault) -> Failed {
        match fault {
            Fault::Unreachable | Fault::NotListening => {
                Failed { sent: false, unresponsive: true, at_once: false, cause: "unreachable" }
            }
            Fault::ConnectionLimit => Failed {
                sent: false,
                unresponsive: false,
                at_once: false,
                cause: "too many connections",
            },
            Fault::Broken => Failed::broken("connection broke"),
            Fault::TooManyHeads => Failed::broken("too many interim heads"),
        }
    }
}

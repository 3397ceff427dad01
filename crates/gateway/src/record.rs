//! Structured log lines of a gateway; docs/log-events-gateway.md is the catalogue of their codes.

use log::Level;
use serde_json::Value;
use siskinstile_core::log::Code;
use siskinstile_macros::value;

use crate::Name;

const fn code(number: u16, level: Level, text: &'static str) -> Code {
    Code { number, level, text }
}

/// The process has started.
pub const STARTED: Code = code(700, Level::Info, "gateway started");
/// The process is stopping gracefully.
pub const DRAINING: Code = code(701, Level::Info, "gateway draining");
/// The process has stopped.
pub const STOPPED: Code = code(702, Level::Info, "gateway stopped");
/// The settings file has been reloaded.
pub const RELOADED: Code = code(703, Level::Info, "settings reloaded");
/// One of the addresses that the process listens on is not available yet; it is tried again.
pub const ADDRESS_MISSING: Code = code(704, Level::Warn, "address not available yet");
/// An address that was not available at the start is in use.
pub const ADDRESS_BOUND: Code = code(705, Level::Info, "address bound late");
/// The process may open fewer descriptors than its settings say.
pub const DESCRIPTORS_FEWER: Code = code(706, Level::Warn, "fewer descriptors than configured");
/// The settings file cannot be read or has a problem; the process waits for it.
pub const SETTINGS_UNUSABLE: Code = code(707, Level::Warn, "settings not usable yet");
/// The settings file could be used after it had not been usable.
pub const SETTINGS_READ: Code = code(708, Level::Info, "settings read");
/// The settings file could not be reloaded; the process keeps the settings that it has.
pub const RELOAD_FAILED: Code =
    code(709, Level::Error, "settings reload failed, previous ones kept");
/// A configuration is in force.
pub const CONFIGURED: Code = code(710, Level::Info, "configuration in force");
/// A configuration was refused; the previous one stays in force.
pub const CONFIG_REFUSED: Code =
    code(711, Level::Error, "configuration refused, previous one kept");
/// The list of endpoints has changed.
pub const LISTED: Code = code(712, Level::Info, "endpoints listed");
/// An entry of the platform cannot be read and is skipped.
pub const ENTRY_UNREADABLE: Code = code(713, Level::Warn, "unreadable entry skipped");
/// Fields of the settings that cannot be used have their defaults.
pub const SETTINGS_PARTIAL: Code = code(714, Level::Error, "settings used in part");
/// The store lists more objects of a kind, but shows no way to them.
pub const LIST_INCOMPLETE: Code = code(715, Level::Warn, "list of the store incomplete");
/// A call to the platform's store has failed; further failures are not logged until one succeeds.
pub const STORE_LOST: Code = code(720, Level::Warn, "platform store lost");
/// The platform's store answers again.
pub const STORE_REGAINED: Code = code(721, Level::Info, "platform store regained");
/// No heartbeats of a peer have arrived for so long that it has been removed from the members.
pub const PEER_LOST: Code = code(722, Level::Warn, "peer lost");
/// A heartbeat of a peer has arrived for the first time, or again after a time-out.
pub const PEER_REACHABLE: Code = code(723, Level::Info, "peer reachable");
/// A snapshot was taken from a peer.
pub const SNAPSHOT_TAKEN: Code = code(724, Level::Info, "snapshot taken from a peer");
/// The order lease has been acquired or lost.
pub const LEASE: Code = code(725, Level::Info, "order lease changed");
/// The platform's store has been restored from an older copy.
pub const STORE_RESTORED: Code = code(726, Level::Warn, "platform store restored");
/// An answer of the platform's store is of an earlier era than known, or states none.
pub const STORE_OUTDATED: Code = code(727, Level::Warn, "outdated answer of the store dropped");
/// The store lists an older configuration than the one in force, which is kept.
pub const CONFIG_OUTDATED: Code = code(728, Level::Warn, "older configuration ignored");
/// The transfer of a snapshot from a peer has broken off.
pub const SNAPSHOT_BROKEN: Code = code(729, Level::Warn, "snapshot from a peer broke off");
/// A request was refused and has not run.
pub const REFUSED: Code = code(730, Level::Info, "request refused");
/// Endpoints were chosen for a request.
pub const PLACED: Code = code(731, Level::Info, "request placed");
/// A call was refused or failed.
pub const CALL_FAILED: Code = code(732, Level::Info, "call failed");
/// A request was answered.
pub const ANSWERED: Code = code(733, Level::Info, "request answered");
/// A request failed after a byte of it may have been sent.
pub const FAILED: Code = code(734, Level::Warn, "request failed");
/// The caller closed the connection before the end of the response.
pub const CALLER_DISCONNECTED: Code = code(735, Level::Info, "caller disconnected");
/// An engine was ordered to change its stage.
pub const ORDERED: Code = code(740, Level::Info, "engine ordered to change its stage");
/// An endpoint has stated in a response that it is leaving.
pub const ENDPOINT_LEAVING: Code = code(741, Level::Info, "endpoint leaving");
/// An endpoint has refused a request and asked for no calls for some time.
pub const ENDPOINT_BACKOFF: Code = code(742, Level::Info, "endpoint backoff");
/// A part of prompts is quarantined, since engines crashed that answered prompts with it.
pub const PART_QUARANTINED: Code = code(743, Level::Warn, "prompt part quarantined");
/// A quarantined part of prompts is free again, since a run with it went well.
pub const PART_FREED: Code = code(744, Level::Info, "prompt part free again");
/// A peer has pulled a snapshot.
pub const SNAPSHOT_SERVED: Code = code(745, Level::Info, "snapshot sent to a peer");
/// An endpoint has begun to limit the requests that it takes, or ended it.
pub const ENDPOINT_LIMIT: Code = code(746, Level::Info, "endpoint limit");
/// A request is quarantined, since endpoints ended that ran it.
pub const REQUEST_QUARANTINED: Code = code(747, Level::Warn, "request quarantined");
/// A quarantined request is free again, since a run of it went well.
pub const REQUEST_FREED: Code = code(748, Level::Info, "request free again");
/// A prompt was computed, or begun, and the request has no use of it.
pub const PROMPT_WASTED: Code = code(766, Level::Info, "prompt computed in vain");
/// The budget for buffered bytes is exceeded, so that a request was refused or a slow caller's stream
/// aborted.
pub const MEMORY_SHORT: Code = code(767, Level::Warn, "memory for buffers exceeded");
/// This instance reaches no endpoint, and hands requests over to peers.
pub const CUT_OFF: Code = code(768, Level::Warn, "no endpoint reached");
/// This instance reaches endpoints again.
pub const CONNECTED: Code = code(769, Level::Info, "endpoints reached again");
/// A request was handed over to a peer.
pub const HANDED_OVER: Code = code(770, Level::Info, "request handed over");
/// A peer has not taken a request that was handed over to it, or the connection to it broke.
pub const NOT_TAKEN: Code = code(771, Level::Info, "handover failed");
/// An endpoint is cold, or not any more.
pub const ENDPOINT_COLD: Code = code(755, Level::Info, "endpoint cold");
/// The entry of an endpoint shows that it has ended with an earlier call.
pub const CRASH_SHOWN: Code = code(756, Level::Info, "crash shown by a later start");
/// An error outside of request processing, or debugging information.
pub const DIAGNOSTIC: Code = code(750, Level::Warn, "diagnostic");
/// The evacuation of a data centre has begun or ended.
pub const EVACUATION: Code = code(757, Level::Info, "evacuation of a data centre");
/// Requests are served although it is not known which data centres are evacuated.
pub const EVACUATIONS_UNKNOWN: Code = code(758, Level::Warn, "evacuations not known");
/// A route or a team names a region that no data centre has.
pub const REGION_UNKNOWN: Code = code(759, Level::Warn, "region without data centre");
/// An endpoint does not get a stream that goes on, as its start is not the one that its entry tells.
pub const START_NOT_PROVEN: Code = code(775, Level::Info, "start of an endpoint not proven");
/// The version of a stream was corrected, as its endpoint had started again before the stream began there.
pub const ORIGIN_CORRECTED: Code = code(776, Level::Info, "version of a stream corrected");
/// An endpoint breaks each answer, or does so no longer.
pub const ANSWERS_BROKEN: Code = code(779, Level::Warn, "endpoint breaks its answers");
/// The requests of a team on a route are quarantined, since endpoints ended that ran some of them.
pub const GROUP_QUARANTINED: Code = code(780, Level::Warn, "group of requests quarantined");
/// A quarantined group is free again, since enough of its requests went well.
pub const GROUP_FREED: Code = code(781, Level::Info, "group of requests free again");

/// Another endpoint has answered at the listed address of an endpoint.
pub const MISDIRECTED: Code = code(782, Level::Warn, "another endpoint at the address");
/// The origins of a service's streams are journaled in the store, or no longer.
pub const JOURNALING: Code = code(751, Level::Info, "journal of origins");
/// The store was asked where a stream began.
pub const ORIGIN_LOOKED_UP: Code = code(752, Level::Info, "origin looked up");
/// An object of the journal was not written and will be written again.
pub const JOURNAL_NOT_WRITTEN: Code = code(753, Level::Warn, "journal of origins not written");

/// The store has confirmed a copy that it had not confirmed for long.
pub const COPY_CONFIRMED: Code = code(772, Level::Info, "copy confirmed again");

/// A part of the process has panicked.
pub const INNER_FAULT: Code = code(773, Level::Error, "inner fault");
/// A caller, an endpoint or a peer has stated a number out of its range; the nearest one in it is used.
pub const VALUE_CLAMPED: Code = code(774, Level::Warn, "value out of range");

/// The process ends by an error.
pub const ENDED_BY_ERROR: Code = code(754, Level::Error, "gateway ended by an error");
/// The instance has all that it needs to serve.
pub const READY: Code = code(777, Level::Info, "ready to serve");
/// The instance lacks something that it needs to serve.
pub const NOT_READY: Code = code(778, Level::Warn, "not ready to serve yet");

/// All codes, in the order of the catalogue.
pub const CODES: &[Code] = &[
    STARTED,
    DRAINING,
    STOPPED,
    RELOADED,
    ADDRESS_MISSING,
    ADDRESS_BOUND,
    DESCRIPTORS_FEWER,
    SETTINGS_UNUSABLE,
    SETTINGS_READ,
    RELOAD_FAILED,
    CONFIGURED,
    CONFIG_REFUSED,
    LISTED,
    ENTRY_UNREADABLE,
    SETTINGS_PARTIAL,
    LIST_INCOMPLETE,
    STORE_LOST,
    STORE_REGAINED,
    PEER_LOST,
    PEER_REACHABLE,
    SNAPSHOT_TAKEN,
    LEASE,
    STORE_RESTORED,
    STORE_OUTDATED,
    CONFIG_OUTDATED,
    SNAPSHOT_BROKEN,
    REFUSED,
    PLACED,
    CALL_FAILED,
    ANSWERED,
    FAILED,
    CALLER_DISCONNECTED,
    ORDERED,
    ENDPOINT_LEAVING,
    ENDPOINT_BACKOFF,
    PART_QUARANTINED,
    PART_FREED,
    SNAPSHOT_SERVED,
    ENDPOINT_LIMIT,
    REQUEST_QUARANTINED,
    REQUEST_FREED,
    DIAGNOSTIC,
    PROMPT_WASTED,
    MEMORY_SHORT,
    EVACUATION,
    EVACUATIONS_UNKNOWN,
    REGION_UNKNOWN,
    JOURNALING,
    ORIGIN_LOOKED_UP,
    JOURNAL_NOT_WRITTEN,
    ENDED_BY_ERROR,
    ENDPOINT_COLD,
    CRASH_SHOWN,
    CUT_OFF,
    CONNECTED,
    HANDED_OVER,
    NOT_TAKEN,
    COPY_CONFIRMED,
    INNER_FAULT,
    VALUE_CLAMPED,
    START_NOT_PROVEN,
    ORIGIN_CORRECTED,
    READY,
    NOT_READY,
    ANSWERS_BROKEN,
    GROUP_QUARANTINED,
    GROUP_FREED,
    MISDIRECTED,
];

/// A log line: the event, its request and the inputs of the decision.
#[value]
pub struct Record {
    /// Event type.
    pub code: Code,
    /// The caller's identifier of the request, if the line concerns one.
    pub request: Option<Name>,
    /// Inputs and outcome, by name.
    pub fields: Vec<(&'static str, Value)>,
}

impl Record {
    /// Creates a line without fields.
    pub fn new(code: Code) -> Record {
        Record { code, request: None, fields: Vec::new() }
    }

    /// Sets the request by the caller's identifier.
    pub fn for_request(mut self, request: &Name) -> Record {
        self.request = Some(request.clone());
        self
    }

    /// Adds a field.
    pub fn with(mut self, name: &'static str, value: impl Into<Value>) -> Record {
        self.fields.push((name, value.into()));
        self
    }
}

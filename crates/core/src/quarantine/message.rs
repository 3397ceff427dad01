//! Reports as instances send them to each other, with ages in place of times.

use std::time::Duration;

use siskinstile_wire::message::heartbeat as wire;

use crate::{Instant, name_hash::NameHash};

use super::{Crash, GroupReport, Report, Subject};

impl Report {
    /// Returns a report of another instance that has just arrived.
    pub fn received(now: Instant, sent: &wire::Suspect) -> Report {
        let at = |age_ms| now - Duration::from_millis(age_ms);
        let crash = |it: &wire::Crash| Crash {
            engine: NameHash(it.engine),
            began_at: at(it.age_ms.saturating_add(it.took_ms)),
            at: at(it.age_ms),
        };
        Report {
            subject: Subject { hash: NameHash(sent.part), depth: sent.depth },
            crashes: sent.crashes.iter().map(crash).collect(),
            cleared_at: sent.cleared_age_ms.map(at),
            quarantined_until: sent.quarantined_ms.map(|it| now + Duration::from_millis(it)),
        }
    }

    /// Returns the report as it is sent now.
    pub fn to_send(&self, now: Instant) -> wire::Suspect {
        let age_ms = |at: Instant| now.since(at).as_millis() as u64;
        let crash = |it: &Crash| wire::Crash {
            engine: it.engine.0,
            age_ms: age_ms(it.at),
            took_ms: it.at.since(it.began_at).as_millis() as u64,
        };
        let remaining = self.quarantined_until.filter(|it| *it > now);
        wire::Suspect {
            part: self.subject.hash.0,
            depth: self.subject.depth,
            crashes: self.crashes.iter().map(crash).collect(),
            cleared_age_ms: self.cleared_at.map(age_ms),
            quarantined_ms: remaining.map(|it| it.since(now).as_millis() as u64),
        }
    }
}

impl GroupReport {
    /// Returns a report of another instance that has just arrived; `None` if it tells nothing.
    pub fn received(now: Instant, sent: &wire::SuspectGroup) -> Option<GroupReport> {
        let hashes = |it: &wire::CrashedRequest| (NameHash(it.engine), NameHash(it.request));
        Some(GroupReport {
            suspicion: Report::received(now, sent.suspicion.as_ref()?),
            requests: sent.requests.iter().map(hashes).collect(),
            successes: sent.successes.iter().copied().map(NameHash).collect(),
        })
    }

    /// Returns the report as it is sent now.
    pub fn to_send(&self, now: Instant) -> wire::SuspectGroup {
        let request = |(engine, request): &(NameHash, NameHash)| wire::CrashedRequest {
            engine: engine.0,
            request: request.0,
        };
        wire::SuspectGroup {
            suspicion: Some(self.suspicion.to_send(now)),
            requests: self.requests.iter().map(request).collect(),
            successes: self.successes.iter().map(|it| it.0).collect(),
        }
    }
}

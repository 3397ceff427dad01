//! Quarantined requests and prompt parts on the platform's store, for instances that start when no other is left
//! to tell them.

use std::{
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use siskinstile_gateway::{
    Event, Instant, Name,
    name_hash::NameHash,
    quarantine::{Change, Crash, Report, Subject},
    record::{self, Record},
};
use tokio::{sync::mpsc, time};

use super::Follower;
use crate::store::{Call, Kind, Object};

/// Longest remaining time that an entry is believed to have.
const MAX_REMAINING: Duration = Duration::from_secs(600);

/// The entry of a quarantined request or prompt part; its name is the hash of the subject.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    /// Largest position of the part in prompts, from 1; 0 for a request.
    depth: u32,
    /// Hashes of the endpoints that have crashed, each with its start.
    engines: Vec<String>,
    /// End of the quarantine, in milliseconds of Unix time.
    ends_at_ms: u64,
}

/// An entry that this instance has written, and when it has to be removed.
#[derive(Debug)]
struct Written {
    report: Report,
    until: Instant,
}

impl Follower {
    /// Takes over the entries on the store, then writes and removes entries as the reducer asks for
    /// it; runs until the process ends.
    pub async fn keep_quarantine(self: Rc<Follower>, mut changes: mpsc::UnboundedReceiver<Change>) {
        self.take_over_quarantine().await;
        let mut written: IndexMap<NameHash, Written> = IndexMap::new();
        let mut era = self.era();
        loop {
            let end = written.values().map(|it| it.until).min();
            let remaining = end.map_or(MAX_REMAINING, |it| it.since(self.control.now()));
            tokio::select! {
                change = changes.recv() => match change {
                    Some(Change::Begun(report)) => self.write(&mut written, report).await,
                    Some(Change::Ended(subject)) => {
                        written.swap_remove(&subject);
                        self.remove(&entry_name(subject)).await;
                    }
                    None => return,
                },
                () = time::sleep(remaining) => self.remove_ended(&mut written).await,
                // The restored copy may lack what this instance has written.
                new_era = self.era_after(era) => {
                    let restored = era.is_some();
                    era = new_era;
                    for it in std::mem::take(&mut written).into_values().filter(|_| restored) {
                        self.write(&mut written, it.report).await;
                    }
                }
            }
        }
    }

    /// Posts the quarantined subjects that the store lists, and removes entries that have ended.
    async fn take_over_quarantine(&self) {
        let entries = loop {
            match self.list_all(Kind::Quarantine, true).await {
                Ok(listing) => break listing.objects,
                Err(_) => self.back_off().await,
            }
        };
        let reports = entries.iter().filter_map(|it| self.read_entry(it));
        let (valid, ended): (Vec<Report>, Vec<Report>) =
            reports.partition(|it| it.quarantined_until.is_some());
        if !valid.is_empty() {
            self.control.post(Event::Quarantined(valid));
        }
        for report in ended {
            self.remove(&entry_name(report.subject.hash)).await;
        }
    }

    /// Parses an entry; `None` if it cannot be read.
    fn read_entry(&self, object: &Object) -> Option<Report> {
        let entry = serde_json::from_value::<Entry>(object.value.clone()).ok();
        let hash = u64::from_str_radix(&object.name, 16).ok();
        let (Some(entry), Some(hash)) = (entry, hash) else {
            let line = Record::new(record::ENTRY_UNREADABLE).with("entry", &*object.name);
            self.control.logger.write(&line);
            return None;
        };
        let remaining = Duration::from_millis(entry.ends_at_ms).saturating_sub(unix_time());
        let now = self.control.now();
        let engines = entry.engines.iter().filter_map(|it| u64::from_str_radix(it, 16).ok());
        let crash = |engine| Crash { engine: NameHash(engine), began_at: now, at: now };
        Some(Report {
            subject: Subject { hash: NameHash(hash), depth: entry.depth },
            crashes: engines.map(crash).collect(),
            cleared_at: None,
            quarantined_until: (!remaining.is_zero()).then(|| now + remaining.min(MAX_REMAINING)),
        })
    }

    /// Writes the entry of a quarantined subject until it is on the store or the quarantine has ended.
    async fn write(&self, written: &mut IndexMap<NameHash, Written>, report: Report) {
        let Some(until) = report.quarantined_until else { return };
        let (kind, name) = (Kind::Quarantine, entry_name(report.subject.hash));
        let ends_at = unix_time() + until.since(self.control.now());
        let engines = report.crashes.iter().map(|it| entry_name(it.engine).to_string());
        let entry = Entry {
            depth: report.subject.depth,
            engines: engines.collect(),
            ends_at_ms: ends_at.as_millis() as u64,
        };
        let value = serde_json::to_value(entry).expect("an entry has only numbers and strings");
        let call = Call::Create { kind, name, value };
        // After a conflict another instance, which has come to the same conclusion, was first.
        while self.call(&call).await.is_err() && until > self.control.now() {
            self.back_off().await;
        }
        written.insert(report.subject.hash, Written { report, until });
    }

    async fn remove_ended(&self, written: &mut IndexMap<NameHash, Written>) {
        let now = self.control.now();
        let ended = written.extract_if(.., |_, it| it.until <= now).map(|(subject, _)| subject);
        for subject in ended.collect::<Vec<_>>() {
            self.remove(&entry_name(subject)).await;
        }
    }

    async fn remove(&self, name: &Name) {
        let call = Call::Delete { kind: Kind::Quarantine, name: name.clone() };
        if self.call(&call).await.is_err() {
            log::debug!("the entry of quarantined subject {name} stays until the next start");
        }
    }
}

fn entry_name(hash: NameHash) -> Name {
    hash.to_string().into()
}

/// Returns the time of day, as Unix time.
pub(super) fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

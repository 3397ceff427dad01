//! The journal of origins on the platform's store: the format of its objects, and the calls that the reducer asks for.

use std::{rc::Rc, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use siskinstile_gateway::{
    Event,
    directory::Software,
    name_hash::NameHash,
    origin::journal::{Answer, Command, Content, Entry, Key, Marker},
    record::{self, Record},
};
use tokio::{sync::mpsc, task::spawn_local};

use super::{Follower, list::Listing, quarantine::unix_time};
use crate::store::{self, Call, Kind, Object};

/// Bytes of a stream's hash.
const HASH_BYTES: usize = 8;

/// An object as it is written.
#[derive(Debug, Serialize, Deserialize)]
struct Body {
    /// Time of the write, in milliseconds of Unix time.
    written_at_ms: u64,
    #[serde(flatten)]
    content: BodyContent,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum BodyContent {
    Origins(Vec<Group>),
    Versions(Versions),
}

/// The streams that began at endpoints of the same version.
#[derive(Debug, Serialize, Deserialize)]
struct Group {
    /// Hash of the version's name.
    software: String,
    /// Hashes of the streams, little-endian one after the other, in Base64.
    streams: String,
}

/// The versions of a service's endpoints.
#[derive(Debug, Serialize, Deserialize)]
struct Versions {
    /// Hashes of the versions' names.
    software: Vec<String>,
    /// Time since which they are the same, in milliseconds of Unix time.
    changed_at_ms: u64,
    /// Whether they are the same since the first start of the fleet.
    initial: bool,
    /// Era of the store in which this was written.
    era: u64,
}

impl Follower {
    /// Makes the calls for the journal that the reducer asks for; runs until the process ends.
    pub async fn keep_journal(self: Rc<Follower>, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut era = self.era();
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    // A lookup must not wait for a slow write.
                    Some(command) => drop(spawn_local(self.clone().run_command(command))),
                    None => return,
                },
                new_era = self.era_after(era) => {
                    if era.is_some() {
                        self.control.post(Event::Journal(Answer::Restored));
                    }
                    era = new_era;
                }
            }
        }
    }

    async fn run_command(self: Rc<Follower>, command: Command) {
        let answer = match command {
            Command::List => self.list_journal().await,
            Command::Write { key, revision, content } => {
                self.write_journal(key, revision, &content).await
            }
        };
        self.control.post(Event::Journal(answer));
        let lookups = self.control.read(|state| state.lookups());
        metrics::counter!("siskinstile_origin_lookups").absolute(lookups.ended);
        metrics::counter!("siskinstile_origins_found").absolute(lookups.found);
    }

    /// Lists the journal, together with what has changed of the endpoints: a marker that names a single version counts
    /// only if no other one is listed now, and the copy of an instance that was out of step may lack it.
    async fn list_journal(&self) -> Answer {
        let listed =
            tokio::try_join!(self.list_all(Kind::Origins, false), self.refresh(Kind::Endpoints));
        match listed {
            Ok((Listing { objects, is_complete: true, .. }, ())) => {
                Answer::Listed(objects.iter().filter_map(|it| self.read_journal(it)).collect())
            }
            // What is missing may tell the version that is looked for.
            Ok(_) | Err(_) => Answer::NotListed,
        }
    }

    async fn write_journal(&self, key: Key, revision: Option<u64>, content: &Content) -> Answer {
        let (kind, name) = (Kind::Origins, key.to_string().into());
        let value = serde_json::to_value(self.body(content)).expect("only numbers and strings");
        let call = match revision {
            Some(_) => Call::Replace { kind, name, revision, value },
            None => Call::Create { kind, name, value },
        };
        match self.call(&call).await {
            Ok(store::Answer::Object(object)) => {
                metrics::counter!("siskinstile_journal_writes").increment(1);
                Answer::Written(key, object.position.revision)
            }
            // One that has been deleted is no longer there to be replaced.
            Ok(store::Answer::Conflict(_) | store::Answer::Missing) => Answer::Conflict(key),
            _ => Answer::NotWritten(key),
        }
    }

    fn body(&self, content: &Content) -> Body {
        let now = unix_time();
        let content = match content {
            Content::Segment(origins) => BodyContent::Origins(groups(origins)),
            Content::Versions(marker) => BodyContent::Versions(Versions {
                software: marker.versions.iter().map(|it| it.0.to_string()).collect(),
                changed_at_ms: now.saturating_sub(marker.age).as_millis() as u64,
                initial: marker.is_initial,
                era: self.era().unwrap_or_default(),
            }),
        };
        Body { written_at_ms: now.as_millis() as u64, content }
    }

    /// Parses an object; `None` if its name is not one of the journal.
    fn read_journal(&self, object: &Object) -> Option<Entry> {
        let (key, body) = (Key::parse(&object.name), read(object));
        if key.is_none() || body.is_none() {
            let line = Record::new(record::ENTRY_UNREADABLE).with("entry", &*object.name);
            self.control.logger.write(&line);
        }
        let key = key?;
        let (age, is_current, content) = body.unwrap_or_else(|| unreadable(key));
        Some(Entry { key, revision: object.position.revision, age, is_current, content })
    }
}

/// Returns what stands for an object that cannot be read. Its revision has to be known, as the object could
/// never be replaced otherwise.
fn unreadable(key: Key) -> (Duration, bool, Content) {
    let age = Duration::ZERO;
    let content = match key {
        Key::Segment { .. } => Content::Segment(Vec::new()),
        Key::Versions { .. } => {
            Content::Versions(Marker { versions: Vec::new(), age, is_initial: false })
        }
    };
    (age, false, content)
}

/// Returns the age of an object, whether it was written in the era that lists it, and its contents.
fn read(object: &Object) -> Option<(Duration, bool, Content)> {
    let body: Body = serde_json::from_value(object.value.clone()).ok()?;
    let age = age(body.written_at_ms);
    match body.content {
        BodyContent::Origins(groups) => {
            let origins: Option<Vec<_>> = groups.iter().map(read_group).collect();
            Some((age, true, Content::Segment(origins?.concat())))
        }
        BodyContent::Versions(versions) => {
            let software: Option<Vec<Software>> =
                versions.software.iter().map(|it| read_software(it)).collect();
            let marker = Marker {
                versions: software?,
                age: self::age(versions.changed_at_ms),
                is_initial: versions.initial,
            };
            Some((age, versions.era == object.position.era, Content::Versions(marker)))
        }
    }
}

fn groups(origins: &[(NameHash, Software)]) -> Vec<Group> {
    let mut streams: IndexMap<Software, Vec<u8>> = IndexMap::new();
    for (stream, software) in origins {
        streams.entry(*software).or_default().extend(stream.0.to_le_bytes());
    }
    let group = |(software, streams): (Software, Vec<u8>)| Group {
        software: software.0.to_string(),
        streams: BASE64.encode(streams),
    };
    streams.into_iter().map(group).collect()
}

fn read_group(group: &Group) -> Option<Vec<(NameHash, Software)>> {
    let software = read_software(&group.software)?;
    let bytes = BASE64.decode(&group.streams).ok()?;
    let (hashes, rest) = bytes.as_chunks::<HASH_BYTES>();
    let origins = hashes.iter().map(|it| (NameHash(u64::from_le_bytes(*it)), software));
    rest.is_empty().then(|| origins.collect())
}

fn read_software(hash: &str) -> Option<Software> {
    u64::from_str_radix(hash, 16).ok().map(|it| Software(NameHash(it)))
}

fn age(at_ms: u64) -> Duration {
    unix_time().saturating_sub(Duration::from_millis(at_ms))
}

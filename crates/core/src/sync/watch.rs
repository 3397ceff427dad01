//! The manifest on the platform, which only a few instances of each data centre watch.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_macros::value;

use super::{
    Output, Sync,
    fetch::{Fetch, Source},
    unreadable,
};
use crate::{
    Instant,
    chunk::Bucket,
    fault::Fault,
    manifest::{self, Manifest},
    object::Name,
    store::{Answer, Call, Object, Tag},
};

/// Time without an answer after which a watch is reopened.
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between reads of the manifest by an instance that also watches it.
const READ_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between reads of the manifest by an instance that does not watch it.
const UNWATCHED_READ_INTERVAL: Duration = Duration::from_secs(30);
/// Delay after the first lost answer; each further one doubles it.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Longest delay after lost answers.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Time without a chunk after which a fetch from the platform is restarted.
const FETCH_TIMEOUT: Duration = Duration::from_secs(12);

/// The state of the watch and the reads of the manifest.
#[value(default)]
pub(super) struct Watch {
    /// When the platform last answered this instance or one whose heartbeat reports it.
    pub(super) last_contact: Option<Instant>,
    /// Highest generation read from the platform; none before the first read.
    pub(super) published: Option<u64>,
    /// Whether this instance is one of those that watch.
    is_watcher: bool,
    /// Number of the current watch; answers of earlier ones are ignored.
    number: u64,
    /// Store revision from which the next watch starts.
    revision: u64,
    /// When the current watch was opened; none while no watch is open.
    opened: Option<Instant>,
    last_read: Option<Instant>,
    paused_until: Instant,
    backoff: Duration,
}

impl Sync {
    /// Returns the calls that are due; `watcher` states whether this instance watches the manifest.
    pub fn tick(&mut self, now: Instant, watcher: bool) -> Vec<Output> {
        let watch = &mut self.watch;
        watch.is_watcher = watcher;
        if now < watch.paused_until || self.fault == Some(Fault::IgnorePeers) {
            return Vec::new();
        }
        let mut out = Vec::new();
        let interval = if watcher { READ_INTERVAL } else { UNWATCHED_READ_INTERVAL };
        if watch.last_read.is_none_or(|at| now.since(at) >= interval) {
            watch.last_read = Some(now);
            out.push(read_manifest());
        }
        let open = watch.opened.is_some_and(|at| now.since(at) < WATCH_TIMEOUT);
        if watcher && watch.published.is_some() && !open {
            out.push(self.watch(now));
        }
        out
    }

    /// Processes an answer of the platform.
    pub fn handle_answer(&mut self, now: Instant, tag: Tag, answer: Answer) -> Vec<Output> {
        if answer == Answer::Lost {
            return self.handle_lost(now, &tag);
        }
        self.watch.backoff = Duration::ZERO;
        match (tag, answer) {
            (Tag::Watch(number), _) if number != self.watch.number => Vec::new(),
            (Tag::Watch(_), Answer::Objects { revision, objects }) => {
                self.watch.revision = revision;
                self.watch.opened = None;
                let mut out = Vec::new();
                if self.watch.is_watcher {
                    out.push(self.watch(now));
                }
                for object in objects {
                    out.extend(self.handle_manifest(now, object));
                }
                out
            }
            (Tag::Watch(_), _) => {
                self.watch.opened = None;
                self.watch.revision = 0;
                self.watch.published = None;
                vec![read_manifest()]
            }
            (Tag::Manifest, Answer::Object(object)) => self.handle_manifest(now, object),
            (Tag::Manifest, Answer::Missing) => {
                self.watch.published.get_or_insert(0);
                Vec::new()
            }
            (Tag::Index(generation), Answer::Object(object)) => {
                self.handle_index(now, generation, object)
            }
            (Tag::Chunk(generation, bucket), Answer::Object(object)) => {
                self.handle_chunk(now, generation, bucket, object)
            }
            // The index or chunk was removed, so a newer generation has been published.
            (Tag::Index(_) | Tag::Chunk(..), _) => {
                self.fetch = None;
                vec![read_manifest()]
            }
            _ => Vec::new(),
        }
    }

    fn handle_lost(&mut self, now: Instant, tag: &Tag) -> Vec<Output> {
        let watch = &mut self.watch;
        watch.backoff = (watch.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        watch.paused_until = now + watch.backoff;
        match tag {
            Tag::Watch(number) if *number == watch.number => watch.opened = None,
            Tag::Manifest | Tag::Index(_) | Tag::Chunk(..) => watch.last_read = None,
            _ => {}
        }
        Vec::new()
    }

    fn watch(&mut self, now: Instant) -> Output {
        self.watch.number += 1;
        self.watch.opened = Some(now);
        let since = self.watch.revision;
        let call = Call::Watch { kinds: [Name::from(manifest::KIND)].into(), since };
        Output::Call(Tag::Watch(self.watch.number), call)
    }

    fn handle_manifest(&mut self, now: Instant, object: Object) -> Vec<Output> {
        self.watch.revision = self.watch.revision.max(object.version);
        let Some(manifest) = manifest::parse::<Manifest>(object.value) else {
            return vec![unreadable(&"the manifest")];
        };
        let generation = manifest.generation;
        self.watch.published = Some(self.watch.published.unwrap_or(0).max(generation));
        let newer = self.is_newer(generation);
        let busy = self.fetch.as_ref().is_some_and(|it| {
            let from_platform = matches!(it.source, Source::Platform(_));
            let timeout = if from_platform { FETCH_TIMEOUT } else { super::peer::FETCH_TIMEOUT };
            it.generation >= generation && now.since(it.last_progress) < timeout
        });
        if !newer || busy {
            return Vec::new();
        }
        let call = Call::Get { kind: manifest::CHUNK_KIND.into(), name: manifest.index };
        vec![Output::Call(Tag::Index(generation), call)]
    }

    fn handle_index(&mut self, now: Instant, generation: u64, object: Object) -> Vec<Output> {
        let index: Option<manifest::Index> = manifest::parse(object.value);
        let hashes = index.as_ref().and_then(manifest::Index::hashes);
        let (Some(index), Some(hashes)) = (index, hashes) else {
            return vec![unreadable(&"the index")];
        };
        let fetching = self.fetch.as_ref().map_or(0, |it| it.generation);
        if !self.is_newer(generation) || fetching > generation {
            return Vec::new();
        }
        let entry = |(id, name): (Name, Name)| Some((Bucket::parse(&id)?, name));
        let names: IndexMap<Bucket, Name> = index.chunks.into_iter().filter_map(entry).collect();
        let earlier = self.fetch.take();
        let source = Source::Platform(names);
        self.fetch = Some(Fetch::new(now, generation, hashes, source, &self.index, earlier));
        self.read_chunks()
    }

    fn read_chunks(&mut self) -> Vec<Output> {
        let Some(fetch) = &mut self.fetch else { return Vec::new() };
        if fetch.missing().next().is_none() {
            return self.finish_fetch();
        }
        let (generation, next) = (fetch.generation, fetch.next_batch());
        let Source::Platform(names) = &fetch.source else { return Vec::new() };
        let get = |bucket: Bucket| {
            let call =
                Call::Get { kind: manifest::CHUNK_KIND.into(), name: names.get(&bucket)?.clone() };
            Some(Output::Call(Tag::Chunk(generation, bucket), call))
        };
        next.into_iter().filter_map(get).collect()
    }

    fn handle_chunk(
        &mut self,
        now: Instant,
        generation: u64,
        bucket: Bucket,
        object: Object,
    ) -> Vec<Output> {
        let Some(fetch) = self.fetch.as_mut().filter(|it| it.generation == generation) else {
            return Vec::new();
        };
        fetch.last_progress = now;
        // The platform may return fields in another order, but the hash is over the canonical one.
        match crate::chunk::canonicalize(bucket, object.value.unwrap_or_default()) {
            Ok(text) => {
                let mut out = self.add_chunk(bucket, text);
                out.extend(self.read_chunks());
                out
            }
            Err(error) => vec![unreadable(&error)],
        }
    }
}

fn read_manifest() -> Output {
    let (kind, name) = (manifest::KIND.into(), manifest::CURRENT.into());
    Output::Call(Tag::Manifest, Call::Get { kind, name })
}

//! The manifest on the platform, watched by few instances of a data centre.

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

/// Silence after which a watch is cut and opened anew.
const SILENCE: Duration = Duration::from_secs(8);
/// Time between two reads of the manifest beside the watch.
const COMPARE: Duration = Duration::from_secs(5);
/// Time between two reads by an instance that does not watch.
const COMPARE_SLOWLY: Duration = Duration::from_secs(30);
/// First pause after a lost answer; doubled up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after lost answers.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Time without a part after which the platform's fetch is begun anew.
const STALLED: Duration = Duration::from_secs(12);

/// What is under way with the platform.
#[value(default)]
pub(super) struct Watch {
    /// When the platform last answered.
    pub(super) last_contact: Option<Instant>,
    /// Generation that the platform last told.
    pub(super) known: Option<u64>,
    /// Whether this instance is one of those that watch.
    wanted: bool,
    number: u64,
    revision: u64,
    opened: Option<Instant>,
    compared: Option<Instant>,
    paused_until: Instant,
    pause: Duration,
}

impl Sync {
    /// Does what is due; `watcher` tells whether this instance watches.
    pub fn tick(&mut self, now: Instant, watcher: bool) -> Vec<Output> {
        let watch = &mut self.watch;
        watch.wanted = watcher;
        if now < watch.paused_until || self.fault == Some(Fault::IgnorePeers) {
            return Vec::new();
        }
        let mut out = Vec::new();
        let period = if watcher { COMPARE } else { COMPARE_SLOWLY };
        if watch.compared.is_none_or(|at| now.since(at) >= period) {
            watch.compared = Some(now);
            out.push(get_manifest());
        }
        let open = watch.opened.is_some_and(|at| now.since(at) < SILENCE);
        if watcher && watch.known.is_some() && !open {
            out.push(self.watch(now));
        }
        out
    }

    /// Takes an answer of the platform.
    pub fn handle_answer(&mut self, now: Instant, tag: Tag, answer: Answer) -> Vec<Output> {
        if answer == Answer::Lost {
            return self.lost(now, &tag);
        }
        self.watch.pause = Duration::ZERO;
        match (tag, answer) {
            (Tag::Watch(number), _) if number != self.watch.number => Vec::new(),
            (Tag::Watch(_), Answer::Objects { revision, objects }) => {
                self.watch.revision = revision;
                self.watch.opened = None;
                let mut out = Vec::new();
                if self.watch.wanted {
                    out.push(self.watch(now));
                }
                for object in objects {
                    out.extend(self.manifest(now, object));
                }
                out
            }
            (Tag::Watch(_), _) => {
                self.watch.opened = None;
                self.watch.revision = 0;
                self.watch.known = None;
                vec![get_manifest()]
            }
            (Tag::Manifest, Answer::Object(object)) => self.manifest(now, object),
            (Tag::Manifest, Answer::Missing) => {
                self.watch.known.get_or_insert(0);
                Vec::new()
            }
            (Tag::Index(generation), Answer::Object(object)) => {
                self.index_read(now, generation, object)
            }
            (Tag::Chunk(generation, bucket), Answer::Object(object)) => {
                self.chunk_read(now, generation, bucket, object)
            }
            // The chunk was removed: a newer generation is in force.
            (Tag::Index(_) | Tag::Chunk(..), _) => {
                self.fetch = None;
                vec![get_manifest()]
            }
            _ => Vec::new(),
        }
    }

    fn lost(&mut self, now: Instant, tag: &Tag) -> Vec<Output> {
        let watch = &mut self.watch;
        watch.pause = (watch.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        watch.paused_until = now + watch.pause;
        match tag {
            Tag::Watch(number) if *number == watch.number => watch.opened = None,
            Tag::Manifest | Tag::Index(_) | Tag::Chunk(..) => watch.compared = None,
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

    fn manifest(&mut self, now: Instant, object: Object) -> Vec<Output> {
        self.watch.revision = self.watch.revision.max(object.version);
        let Some(manifest) = manifest::parse::<Manifest>(object.value) else {
            return vec![unreadable(&"the manifest")];
        };
        let generation = manifest.generation;
        self.watch.known = Some(self.watch.known.unwrap_or(0).max(generation));
        let newer = self.is_newer(generation);
        let busy = self.fetch.as_ref().is_some_and(|it| {
            let platform = matches!(it.source, Source::Platform(_));
            let limit = if platform { STALLED } else { super::peer::STALLED };
            it.generation >= generation && now.since(it.since) < limit
        });
        if !newer || busy {
            return Vec::new();
        }
        let call = Call::Get { kind: manifest::CHUNK_KIND.into(), name: manifest.index };
        vec![Output::Call(Tag::Index(generation), call)]
    }

    fn index_read(&mut self, now: Instant, generation: u64, object: Object) -> Vec<Output> {
        let index: Option<manifest::Index> = manifest::parse(object.value);
        let hashes = index.as_ref().and_then(manifest::Index::hashes);
        let (Some(index), Some(hashes)) = (index, hashes) else {
            return vec![unreadable(&"the index")];
        };
        let held = self.fetch.as_ref().map_or(0, |it| it.generation);
        if !self.is_newer(generation) || held > generation {
            return Vec::new();
        }
        let name = |(word, name): (Name, Name)| Some((Bucket::parse(&word)?, name));
        let names: IndexMap<Bucket, Name> = index.chunks.into_iter().filter_map(name).collect();
        let earlier = self.fetch.take();
        let source = Source::Platform(names);
        self.fetch = Some(Fetch::new(now, generation, hashes, source, &self.index, earlier));
        self.get_chunks()
    }

    fn get_chunks(&mut self) -> Vec<Output> {
        let Some(fetch) = &mut self.fetch else { return Vec::new() };
        if fetch.missing().next().is_none() {
            return self.finish();
        }
        let (generation, next) = (fetch.generation, fetch.ask());
        let Source::Platform(names) = &fetch.source else { return Vec::new() };
        let get = |bucket: Bucket| {
            let call =
                Call::Get { kind: manifest::CHUNK_KIND.into(), name: names.get(&bucket)?.clone() };
            Some(Output::Call(Tag::Chunk(generation, bucket), call))
        };
        next.into_iter().filter_map(get).collect()
    }

    fn chunk_read(
        &mut self,
        now: Instant,
        generation: u64,
        bucket: Bucket,
        object: Object,
    ) -> Vec<Output> {
        let Some(fetch) = self.fetch.as_mut().filter(|it| it.generation == generation) else {
            return Vec::new();
        };
        fetch.since = now;
        // The platform may have ordered fields anew; the objects' own order is what is hashed.
        match crate::chunk::canonicalize(bucket, object.value.unwrap_or_default()) {
            Ok(text) => {
                let mut out = self.chunk(bucket, text);
                out.extend(self.get_chunks());
                out
            }
            Err(error) => vec![unreadable(&error)],
        }
    }
}

fn get_manifest() -> Output {
    let (kind, name) = (manifest::KIND.into(), manifest::CURRENT.into());
    Output::Call(Tag::Manifest, Call::Get { kind, name })
}

//! One publication run, from the read of the manifest to its conditional update.

use indexmap::IndexSet;
use serde_json::Value;
use siskinstile_macros::value;

use super::{MAX_REMOVALS_PER_TICK, Publisher, RETAINED_GENERATIONS, RETENTION, Retired};
use crate::{
    Instant,
    chunk::{self, Bucket},
    fault::Fault,
    log,
    manifest::{self, Manifest},
    object::{Name, Set},
    store::{Answer, Call, PublishStep},
    sync::Output,
};

/// The publication run in progress.
#[value]
pub(super) struct Run {
    /// When the run started or its last answer arrived.
    pub(super) last_progress: Instant,
    /// Store version of the manifest that this run replaces; 0 if there is none.
    version: u64,
    old: Manifest,
    index: manifest::Index,
    /// The validated objects.
    set: Set,
    /// Buckets that may have changed.
    touched: IndexSet<Bucket>,
    /// Chunks whose writes have not been answered.
    unwritten: IndexSet<Bucket>,
    new: Manifest,
    /// Stored names that the new index no longer references.
    dropped: Vec<Name>,
}

impl Run {
    fn hashes(&self, old: &chunk::Index) -> chunk::Index {
        if self.touched.len() > chunk::REFRESH_LIMIT {
            return chunk::Index::of(&self.set);
        }
        let mut hashes = old.clone();
        hashes.refresh(&self.set, self.touched.iter().copied());
        hashes
    }

    /// Gives a bucket a new stored name in the index; returns the chunk to write under that name,
    /// or none if the bucket is empty now.
    fn replace(&mut self, bucket: Bucket, hash: Option<&Name>) -> Option<(Bucket, Name, String)> {
        let id = Name::from(bucket.id());
        self.dropped.extend(self.index.chunks.swap_remove(&id));
        let name = manifest::name(hash?, self.new.generation);
        self.index.chunks.insert(id, name.clone());
        self.unwritten.insert(bucket);
        Some((bucket, name, chunk::encode(&self.set, bucket)))
    }
}

impl Publisher {
    /// Starts a publication run.
    pub(super) fn start_run(
        &mut self,
        now: Instant,
        set: Set,
        touched: IndexSet<Bucket>,
    ) -> Vec<Output> {
        self.run_number += 1;
        self.run = Some(Run {
            last_progress: now,
            version: 0,
            old: Manifest::default(),
            index: manifest::Index::default(),
            set,
            touched,
            unwritten: IndexSet::new(),
            new: Manifest::default(),
            dropped: Vec::new(),
        });
        vec![self.call(PublishStep::Manifest, read_manifest())]
    }

    /// Processes the answer to a step of the run and returns the calls of the next step.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        step: PublishStep,
        answer: Answer,
    ) -> Vec<Output> {
        let Some(run) = &mut self.run else { return Vec::new() };
        run.last_progress = now;
        match (step, answer) {
            (PublishStep::Manifest, Answer::Object(object)) => {
                run.version = object.version;
                run.old = manifest::parse(object.value).unwrap_or_default();
                let name = run.old.index.clone();
                vec![self.call(PublishStep::Index, read(manifest::CHUNK_KIND, name))]
            }
            (PublishStep::Manifest, Answer::Missing) => self.write_chunks(now),
            (PublishStep::Index, Answer::Object(object)) => {
                run.index = manifest::parse(object.value).unwrap_or_default();
                self.write_chunks(now)
            }
            (PublishStep::PutChunk(bucket), Answer::Written { .. } | Answer::Conflict) => {
                run.unwritten.swap_remove(&bucket);
                match run.unwritten.is_empty() {
                    true => vec![self.write_index()],
                    false => Vec::new(),
                }
            }
            (PublishStep::PutIndex, Answer::Written { .. } | Answer::Conflict) => {
                vec![self.write_manifest()]
            }
            (PublishStep::PutManifest, Answer::Written { .. }) => self.finish_run(now),
            (PublishStep::PutManifest, Answer::Lost) => {
                vec![self.call(PublishStep::Verify, read_manifest())]
            }
            (PublishStep::Verify, Answer::Object(object))
                if manifest::parse::<Manifest>(object.value.clone()).as_ref() == Some(&run.new) =>
            {
                self.finish_run(now)
            }
            // Another publisher won the update, or an answer was lost: the run starts over.
            _ => self.retry_run(now),
        }
    }

    /// Aborts the run and schedules another one after a delay.
    fn retry_run(&mut self, now: Instant) -> Vec<Output> {
        if let (Some(run), Some(mirror)) = (self.run.take(), &mut self.mirror) {
            mirror.touched.extend(run.touched);
        }
        self.mark_changed(now);
        self.paused_until = now + super::BACKOFF;
        Vec::new()
    }

    /// Returns the writes of the chunks that changed, or of the index if none did.
    ///
    /// The run ends without a write if the content equals the published one or a chunk is too
    /// large.
    fn write_chunks(&mut self, now: Instant) -> Vec<Output> {
        self.record_retired(now);
        let (Some(fence), Some(run)) = (self.lease.fence(now), &mut self.run) else {
            return Vec::new();
        };
        // A later holder of the lease has published, so this instance's lease has expired.
        if run.old.fence > fence && self.fault != Some(Fault::PublishUnfenced) {
            return self.retry_run(now);
        }
        let old = run.index.hashes().unwrap_or_default();
        let hashes = run.hashes(&old);
        let digest = hashes.digest();
        if digest == run.old.digest {
            self.run = None;
            return Vec::new();
        }
        let generation = run.old.generation + 1;
        run.new = Manifest { generation, fence, digest, index: "".into() };
        let mut texts = Vec::new();
        for bucket in old.changed_buckets(&hashes) {
            texts.extend(run.replace(bucket, hashes.0.get(&bucket)));
        }
        if let Some((bucket, _, text)) = texts.iter().find(|it| it.2.len() > chunk::MAX_BYTES) {
            let detail = format!("chunk {} of {} bytes", bucket.id(), text.len());
            self.run = None;
            return vec![Output::Log(log::Record::new(log::CONFIG_REFUSED, detail))];
        }
        if texts.is_empty() {
            return vec![self.write_index()];
        }
        let put = |(bucket, name, text): (Bucket, Name, String)| {
            let value = serde_json::from_str(&text).expect("a chunk is JSON");
            self.call(PublishStep::PutChunk(bucket), create(name, value))
        };
        texts.into_iter().map(put).collect()
    }

    fn write_index(&mut self) -> Output {
        let removed: IndexSet<Name> = std::mem::take(&mut self.removed).into_iter().collect();
        let run = self.run.as_mut().expect("a run is in progress");
        let generation = run.new.generation;
        run.dropped.extend(Some(run.old.index.clone()).filter(|it| !it.is_empty()));
        run.index.retired.retain(|(_, name)| !removed.contains(name));
        let dropped = run.dropped.iter().map(|name| (generation, name.clone()));
        run.index.retired.extend(dropped);
        let value = serde_json::to_value(&run.index).expect("an index is plain data");
        let name = manifest::name(&chunk::hash(&value.to_string()), generation);
        run.new.index = name.clone();
        self.call(PublishStep::PutIndex, create(name, value))
    }

    fn write_manifest(&self) -> Output {
        let run = self.run.as_ref().expect("a run is in progress");
        let value = serde_json::to_value(&run.new).expect("a manifest is plain data");
        let call = Call::Put {
            kind: manifest::KIND.into(),
            name: manifest::CURRENT.into(),
            value,
            if_version: Some(run.version).filter(|_| self.fault != Some(Fault::PublishUnfenced)),
        };
        self.call(PublishStep::PutManifest, call)
    }

    fn finish_run(&mut self, now: Instant) -> Vec<Output> {
        self.record_retired(now);
        let Some(run) = self.run.take() else { return Vec::new() };
        let detail = format!("generation {}", run.new.generation);
        vec![Output::Log(log::Record::new(log::CONFIG_PUBLISHED, detail))]
    }

    /// Records when this instance first saw each retired chunk in an index.
    fn record_retired(&mut self, now: Instant) {
        let Some(run) = &self.run else { return };
        for (generation, name) in &run.index.retired {
            let known = self.retired.iter().any(|it| it.name == *name);
            if !known && !self.removed.contains(name) {
                let (name, generation) = (name.clone(), *generation);
                self.retired.push(Retired { name, generation, seen: now });
            }
        }
    }

    /// Returns removals of chunks that have been retired for so long that no reader needs them.
    pub(super) fn remove_retired(&mut self, now: Instant) -> Vec<Output> {
        let newest = self.retired.iter().map(|it| it.generation).max().unwrap_or(0);
        let expired = |it: &mut Retired| {
            it.generation + RETAINED_GENERATIONS <= newest && now.since(it.seen) >= RETENTION
        };
        let due: Vec<Retired> =
            self.retired.extract_if(.., expired).take(MAX_REMOVALS_PER_TICK).collect();
        let mut out = Vec::new();
        for Retired { name, .. } in due {
            self.removed.push(name.clone());
            let call = Call::Delete { kind: manifest::CHUNK_KIND.into(), name, if_version: None };
            out.push(self.call(PublishStep::Remove, call));
        }
        out
    }
}

fn read_manifest() -> Call {
    read(manifest::KIND, manifest::CURRENT.into())
}

fn read(kind: &str, name: Name) -> Call {
    Call::Get { kind: kind.into(), name }
}

fn create(name: Name, value: Value) -> Call {
    Call::Put { kind: manifest::CHUNK_KIND.into(), name, value, if_version: Some(0) }
}

//! A generation whose chunks are being fetched.

use indexmap::IndexMap;
use siskinstile_macros::value;

use super::matches_hash;
use crate::{
    Instant,
    chunk::{self, Bucket, Index},
    object::{Name, Set},
};

/// Largest number of chunks that are requested at once.
pub(super) const MAX_BATCH: usize = 16;

/// The source of the chunks.
#[value]
pub(super) enum Source {
    /// The platform, with the stored name of each chunk.
    Platform(IndexMap<Bucket, Name>),
    /// Another instance.
    Peer(Name),
}

/// A generation that is being fetched.
#[value]
pub(super) struct Fetch {
    pub(super) generation: u64,
    pub(super) index: Index,
    pub(super) source: Source,
    /// When the fetch started or its last chunk arrived.
    pub(super) last_progress: Instant,
    /// Buckets that differ from the configuration in force, with the texts that have arrived.
    pub(super) texts: IndexMap<Bucket, Option<String>>,
    /// Number of chunks that were requested and have not arrived.
    outstanding: usize,
}

impl Fetch {
    /// Starts a fetch of the buckets that differ from the index in force; reuses the texts of an
    /// earlier fetch whose hashes still match.
    pub(super) fn new(
        now: Instant,
        generation: u64,
        index: Index,
        source: Source,
        in_force: &Index,
        earlier: Option<Fetch>,
    ) -> Fetch {
        let mut fetched = earlier.map(|it| it.texts).unwrap_or_default();
        let mut reuse = |bucket: Bucket| {
            let Some(hash) = index.0.get(&bucket) else { return Some("[]".to_owned()) };
            fetched.swap_remove(&bucket).flatten().filter(|text| matches_hash(text, hash))
        };
        let changed = in_force.changed_buckets(&index);
        let texts = changed.into_iter().map(|bucket| (bucket, reuse(bucket))).collect();
        Fetch { generation, index, source, last_progress: now, texts, outstanding: 0 }
    }

    /// Iterates over the buckets whose text has not arrived.
    pub(super) fn missing(&self) -> impl Iterator<Item = Bucket> {
        self.texts.iter().filter(|it| it.1.is_none()).map(|it| *it.0)
    }

    /// Returns the buckets to request next; none until all outstanding ones have arrived.
    pub(super) fn next_batch(&mut self) -> Vec<Bucket> {
        if self.outstanding > 0 {
            return Vec::new();
        }
        let next: Vec<Bucket> = self.missing().take(MAX_BATCH).collect();
        self.outstanding = next.len();
        next
    }

    /// Adds the text of a bucket; returns whether the fetch is complete now.
    ///
    /// A text that is not missing or does not match its hash is ignored.
    pub(super) fn add(&mut self, bucket: Bucket, text: String) -> bool {
        let valid = self.index.0.get(&bucket).is_some_and(|hash| matches_hash(&text, hash));
        match self.texts.get_mut(&bucket) {
            Some(entry) if valid && entry.is_none() => *entry = Some(text),
            _ => return false,
        }
        self.outstanding = self.outstanding.saturating_sub(1);
        self.missing().next().is_none()
    }

    /// Applies the fetched chunks to `set`, the set in force.
    pub(super) fn apply_to(&self, set: &mut Set) -> Result<(), serde_json::Error> {
        for (bucket, text) in &self.texts {
            chunk::replace(set, *bucket, text.as_deref().unwrap_or("[]"))?;
        }
        Ok(())
    }
}

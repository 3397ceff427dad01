//! A generation of which chunks are still missing.

use indexmap::IndexMap;
use siskinstile_macros::value;

use super::matches;
use crate::{
    Instant,
    chunk::{self, Bucket, Index},
    object::{Name, Set},
};

/// Chunks asked for at once.
pub(super) const BATCH: usize = 16;

/// Where the chunks come from.
#[value]
pub(super) enum Source {
    /// The platform, with the names of the chunks there.
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
    /// When something of it last arrived.
    pub(super) since: Instant,
    /// Buckets that differ from what is in force, with the texts that have come.
    pub(super) texts: IndexMap<Bucket, Option<String>>,
    /// Chunks that were asked for and have not come.
    asked: usize,
}

impl Fetch {
    /// Begins to fetch what differs from the index in force, with what an earlier fetch has got.
    pub(super) fn new(
        now: Instant,
        generation: u64,
        index: Index,
        source: Source,
        in_force: &Index,
        earlier: Option<Fetch>,
    ) -> Fetch {
        let mut got = earlier.map(|it| it.texts).unwrap_or_default();
        let mut keep = |bucket: Bucket| {
            let Some(hash) = index.0.get(&bucket) else { return Some("[]".to_owned()) };
            got.swap_remove(&bucket).flatten().filter(|text| matches(text, hash))
        };
        let changed = in_force.changed_buckets(&index);
        let texts = changed.into_iter().map(|bucket| (bucket, keep(bucket))).collect();
        Fetch { generation, index, source, since: now, texts, asked: 0 }
    }

    /// Returns buckets of which the text is missing.
    pub(super) fn missing(&self) -> impl Iterator<Item = Bucket> {
        self.texts.iter().filter(|it| it.1.is_none()).map(|it| *it.0)
    }

    /// Returns the buckets to ask for next, once those asked for have come.
    pub(super) fn ask(&mut self) -> Vec<Bucket> {
        if self.asked > 0 {
            return Vec::new();
        }
        let next: Vec<Bucket> = self.missing().take(BATCH).collect();
        self.asked = next.len();
        next
    }

    /// Takes a text that matches its hash; returns whether nothing is missing.
    pub(super) fn take(&mut self, bucket: Bucket, text: String) -> bool {
        let wanted = self.index.0.get(&bucket).is_some_and(|hash| matches(&text, hash));
        match self.texts.get_mut(&bucket) {
            Some(held) if wanted && held.is_none() => *held = Some(text),
            _ => return false,
        }
        self.asked = self.asked.saturating_sub(1);
        self.missing().next().is_none()
    }

    /// Applies the chunks to the set in force.
    pub(super) fn build(&self, set: &mut Set) -> Result<(), serde_json::Error> {
        for (bucket, text) in &self.texts {
            chunk::replace(set, *bucket, text.as_deref().unwrap_or("[]"))?;
        }
        Ok(())
    }
}

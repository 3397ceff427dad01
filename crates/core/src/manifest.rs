//! The published configuration as stored on the platform: a small manifest that names an index of
//! chunks.
//!
//! Chunks and indexes are immutable and their names are never reused: a name consists of the hash
//! of the content and the generation for which it was written. A delayed removal can therefore
//! never delete content that has come into use again.

use std::sync::Arc;

use indexmap::IndexMap;
use serde_json::Value;
use siskinstile_macros::value;

use crate::{chunk::Bucket, object::Name};

/// Stored kind of the manifest.
pub const KIND: &str = "manifest";
/// Name of the current manifest.
pub const CURRENT: &str = "current";
/// Stored kind of chunks and indexes.
pub const CHUNK_KIND: &str = "chunk";

/// The manifest, which determines the published generation.
#[value(serde, default, eq)]
pub struct Manifest {
    /// Generation; each publication increments it.
    pub generation: u64,
    /// Fencing token of the publish lease under which the manifest was written.
    pub fence: u64,
    /// Digest of the set: a hash over the hashes of all chunks.
    pub digest: Arc<str>,
    /// Stored name of the index.
    pub index: Arc<str>,
}

/// The index that a manifest names.
#[value(serde, default, eq)]
pub struct Index {
    /// Stored names of the chunks by the identifiers of their buckets.
    pub chunks: IndexMap<Name, Name>,
    /// Stored names that are no longer referenced, with the generation that dropped them.
    #[serde(default)]
    pub retired: Vec<(u64, Name)>,
}

impl Index {
    /// Returns the hashes of the chunks by bucket; none if a bucket identifier is invalid.
    pub fn hashes(&self) -> Option<crate::chunk::Index> {
        let entry = |(id, name): (&Name, &Name)| Some((Bucket::parse(id)?, content_hash(name)));
        let hashes: Option<IndexMap<Bucket, Name>> = self.chunks.iter().map(entry).collect();
        hashes.map(crate::chunk::Index)
    }
}

/// Returns the stored name of content with this hash that is written for a generation.
pub fn name(hash: &str, generation: u64) -> Name {
    format!("{hash}-{generation}").into()
}

/// Returns the content hash that a stored name contains.
pub fn content_hash(name: &str) -> Name {
    name.split_once('-').map_or(name, |it| it.0).into()
}

/// Decodes a manifest or an index; none if the value is missing or invalid.
pub fn parse<T: serde::de::DeserializeOwned>(value: Option<Value>) -> Option<T> {
    serde_json::from_value(value?).ok()
}

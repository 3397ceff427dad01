//! What is in force, as the platform holds it: a small manifest that names an index of chunks.
//!
//! Chunks and indexes never change once written and no name is used again: a name is the hash of
//! the content and the generation that it was written for. So a removal that takes effect late can
//! never hit content that has come into use again.

use std::sync::Arc;

use indexmap::IndexMap;
use serde_json::Value;
use siskinstile_macros::value;

use crate::{chunk::Bucket, object::Name};

/// Kind and name of the manifest.
pub const KIND: &str = "manifest";
/// Name of the manifest that is in force.
pub const CURRENT: &str = "current";
/// Kind of the chunks and indexes.
pub const CHUNK_KIND: &str = "chunk";

/// The manifest.
#[value(serde, default, eq)]
pub struct Manifest {
    /// Generation, which grows by one with each publication.
    pub generation: u64,
    /// Fencing number of the publish lease under which it was written.
    pub fence: u64,
    /// Hash over all chunks.
    pub digest: Arc<str>,
    /// Name of the index.
    pub index: Arc<str>,
}

/// The index that a manifest names.
#[value(serde, default, eq)]
pub struct Index {
    /// Names of the chunks by the words of their buckets.
    pub chunks: IndexMap<Name, Name>,
    /// Names that are no longer used, with the generation that dropped them.
    #[serde(default)]
    pub retired: Vec<(u64, Name)>,
}

impl Index {
    /// Returns the hashes of the chunks; none if a bucket is unknown.
    pub fn hashes(&self) -> Option<crate::chunk::Index> {
        let entry = |(word, name): (&Name, &Name)| Some((Bucket::parse(word)?, content_hash(name)));
        let hashes: Option<IndexMap<Bucket, Name>> = self.chunks.iter().map(entry).collect();
        hashes.map(crate::chunk::Index)
    }
}

/// Returns the name of content that is written for a generation.
pub fn name(hash: &str, generation: u64) -> Name {
    format!("{hash}-{generation}").into()
}

/// Returns the hash in a name.
pub fn content_hash(name: &str) -> Name {
    name.split_once('-').map_or(name, |it| it.0).into()
}

/// Reads a manifest or an index.
pub fn parse<T: serde::de::DeserializeOwned>(value: Option<Value>) -> Option<T> {
    serde_json::from_value(value?).ok()
}

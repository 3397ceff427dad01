//! The chunks in which a set is published.
//!
//! The objects of each kind are divided into buckets by the hash of their names, so that a change
//! of one object affects one chunk. A chunk is the JSON array of a bucket's objects, ordered by
//! name, so that equal sets have equal chunks; a chunk is identified by the hash of its text.

use indexmap::IndexMap;
use serde::{Serialize, de::DeserializeOwned};
use siskinstile_macros::value;
use xxhash_rust::xxh3::xxh3_64;

use crate::object::{Kind, Name, Set};

/// Maximum size of a chunk, in bytes; the platform and the frames between instances are limited to
/// 1 MB.
pub const MAX_BYTES: usize = 1_000_000;
/// Number of changed buckets above which an index is rebuilt rather than refreshed.
pub const REFRESH_LIMIT: usize = 32;
/// Number of hexadecimal digits of a hash; a prefix of SHA-256.
const HASH_DIGITS: usize = 32;

/// A division of a set: the objects of one kind whose names hash to one number.
#[value(id)]
pub struct Bucket {
    /// Kind of the objects.
    pub kind: Kind,
    /// Number of the bucket among those of its kind, from 0.
    pub number: u16,
}

impl Bucket {
    /// Returns the bucket of the object with that kind and name.
    pub fn of(kind: Kind, name: &str) -> Bucket {
        let number = xxh3_64(name.as_bytes()) % u64::from(bucket_count(kind));
        Bucket { kind, number: number as u16 }
    }

    /// Returns the identifier of the bucket on the platform and in messages, such as `route-3`.
    pub fn id(self) -> String {
        format!("{}-{}", self.kind.as_str(), self.number)
    }

    /// Returns the bucket with an identifier; none if the identifier is invalid.
    pub fn parse(id: &str) -> Option<Bucket> {
        let (kind, number) = id.split_once('-')?;
        let bucket = Bucket { kind: Kind::parse(kind)?, number: number.parse().ok()? };
        (bucket.number < bucket_count(bucket.kind)).then_some(bucket)
    }
}

/// Returns the number of buckets of a kind.
const fn bucket_count(kind: Kind) -> u16 {
    match kind {
        Kind::Key => 256,
        Kind::Team => 64,
        Kind::Service | Kind::Route | Kind::Pool => 16,
    }
}

/// The hashes of a set's chunks by bucket; empty chunks have no entry.
#[value(default)]
pub struct Index(pub IndexMap<Bucket, Name>);

impl Index {
    /// Computes the index of a set.
    pub fn of(set: &Set) -> Index {
        let mut names: IndexMap<Bucket, Vec<&Name>> = IndexMap::new();
        for kind in Kind::ALL {
            for name in set.names(kind) {
                names.entry(Bucket::of(kind, name)).or_default().push(name);
            }
        }
        let hashes =
            names.into_iter().map(|(bucket, names)| (bucket, hash(&text(set, bucket, names))));
        Index(hashes.collect())
    }

    /// Recomputes the hashes of some buckets.
    pub fn refresh(&mut self, set: &Set, buckets: impl IntoIterator<Item = Bucket>) {
        for bucket in buckets {
            match encode(set, bucket).as_str() {
                "[]" => drop(self.0.swap_remove(&bucket)),
                text => drop(self.0.insert(bucket, hash(text))),
            }
        }
    }

    /// Returns the digest of the set: one hash over the hashes of all chunks.
    pub fn digest(&self) -> Name {
        let mut lines: Vec<String> =
            self.0.iter().map(|(bucket, hash)| format!("{} {hash}\n", bucket.id())).collect();
        lines.sort_unstable();
        hash(&lines.concat())
    }

    /// Returns the buckets whose chunks differ in `newer`.
    pub fn changed_buckets(&self, newer: &Index) -> Vec<Bucket> {
        let removed = self.0.keys().filter(|it| !newer.0.contains_key(*it));
        let changed = newer.0.iter().filter(|(bucket, hash)| self.0.get(*bucket) != Some(*hash));
        removed.chain(changed.map(|it| it.0)).copied().collect()
    }
}

/// Returns the hash of a chunk's text.
pub fn hash(text: &str) -> Name {
    crate::key::hash(b"", text)[..HASH_DIGITS].into()
}

/// Returns the text of a chunk, `[]` for an empty one.
pub fn encode(set: &Set, bucket: Bucket) -> String {
    let names = set.names(bucket.kind).filter(|it| Bucket::of(bucket.kind, it) == bucket);
    text(set, bucket, names.collect())
}

fn text(set: &Set, bucket: Bucket, mut names: Vec<&Name>) -> String {
    names.sort_unstable();
    let texts: Vec<String> = names.iter().filter_map(|it| set.json(bucket.kind, it)).collect();
    format!("[{}]", texts.join(","))
}

/// Replaces the objects of a bucket by those of a chunk's text.
///
/// # Errors
///
/// Returns the decoder's error if the text is not a JSON array of objects of that kind; the content
/// of the set is unspecified then.
pub fn replace(set: &mut Set, bucket: Bucket, text: &str) -> Result<(), serde_json::Error> {
    fn replace_objects<T: DeserializeOwned>(
        map: &mut IndexMap<Name, T>,
        bucket: Bucket,
        text: &str,
        name: fn(&T) -> &Name,
    ) -> Result<(), serde_json::Error> {
        let objects: Vec<T> = serde_json::from_str(text)?;
        map.retain(|name, _| Bucket::of(bucket.kind, name) != bucket);
        map.extend(objects.into_iter().map(|it| (name(&it).clone(), it)));
        Ok(())
    }
    match bucket.kind {
        Kind::Service => replace_objects(&mut set.services, bucket, text, |it| &it.name),
        Kind::Team => replace_objects(&mut set.teams, bucket, text, |it| &it.name),
        Kind::Key => replace_objects(&mut set.keys, bucket, text, |it| &it.name),
        Kind::Route => replace_objects(&mut set.routes, bucket, text, |it| &it.name),
        Kind::Pool => replace_objects(&mut set.pools, bucket, text, |it| &it.name),
    }
}

/// Returns the canonical text of a chunk from its JSON value, whose fields may be in any order.
///
/// # Errors
///
/// Returns the decoder's error if the value is not an array of objects of that kind.
pub fn canonicalize(bucket: Bucket, value: serde_json::Value) -> Result<String, serde_json::Error> {
    let mut set = Set::default();
    replace(&mut set, bucket, &value.to_string())?;
    Ok(encode(&set, bucket))
}

/// A change of one object.
#[value(eq)]
pub struct Change {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: Name,
    /// New value as JSON text; none for a removal.
    pub value: Option<String>,
}

/// Returns the changes that lead from one set to another.
pub fn diff(old: &Set, new: &Set) -> Vec<Change> {
    let mut out = Vec::new();
    compare(&mut out, Kind::Service, &old.services, &new.services);
    compare(&mut out, Kind::Team, &old.teams, &new.teams);
    compare(&mut out, Kind::Key, &old.keys, &new.keys);
    compare(&mut out, Kind::Route, &old.routes, &new.routes);
    compare(&mut out, Kind::Pool, &old.pools, &new.pools);
    out
}

fn compare<T: PartialEq + Serialize>(
    out: &mut Vec<Change>,
    kind: Kind,
    old: &IndexMap<Name, T>,
    new: &IndexMap<Name, T>,
) {
    for name in old.keys().filter(|it| !new.contains_key(*it)) {
        out.push(Change { kind, name: name.clone(), value: None });
    }
    for (name, object) in new.iter().filter(|(name, object)| old.get(*name) != Some(*object)) {
        let value = serde_json::to_string(object).expect("objects have string keys only");
        out.push(Change { kind, name: name.clone(), value: Some(value) });
    }
}

/// Applies changes to a set and returns the buckets that they touch.
///
/// # Errors
///
/// Returns the decoder's error if a value is not an object of its kind; the preceding changes
/// remain applied.
pub fn apply(set: &mut Set, changes: &[Change]) -> Result<Vec<Bucket>, serde_json::Error> {
    let mut touched = Vec::new();
    for change in changes {
        match &change.value {
            Some(value) => set.insert(change.kind, serde_json::from_str(value)?)?,
            None => set.remove(change.kind, &change.name),
        }
        touched.push(Bucket::of(change.kind, &change.name));
    }
    touched.sort_unstable();
    touched.dedup();
    Ok(touched)
}

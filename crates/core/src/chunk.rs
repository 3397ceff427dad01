//! The parts in which a set is published: objects of one kind by the hash of their names.
//!
//! One change of an object touches one chunk. A chunk is the JSON array of its objects in the order
//! of their names, so that equal sets have equal chunks, and its hash names its content.

use indexmap::IndexMap;
use serde::{Serialize, de::DeserializeOwned};
use siskinstile_macros::value;
use xxhash_rust::xxh3::xxh3_64;

use crate::object::{Kind, Name, Set};

/// Largest chunk, in bytes; the platform and the frames between instances hold 1 MB.
pub const MAX_BYTES: usize = 1_000_000;
/// Number of touched buckets above which an index is built whole.
pub const REFRESH_LIMIT: usize = 32;
/// Hexadecimal digits of a hash.
const HASH_DIGITS: usize = 32;

/// One part of a set.
#[value(id)]
pub struct Bucket {
    /// Kind of its objects.
    pub kind: Kind,
    /// Number among those of the kind.
    pub number: u16,
}

impl Bucket {
    /// Returns the bucket of an object.
    pub fn of(kind: Kind, name: &str) -> Bucket {
        let number = xxh3_64(name.as_bytes()) % u64::from(buckets(kind));
        Bucket { kind, number: number as u16 }
    }

    /// Returns the id that stands for it on the platform and in messages.
    pub fn id(self) -> String {
        format!("{}-{}", self.kind.as_str(), self.number)
    }

    /// Returns the bucket that an id stands for.
    pub fn parse(id: &str) -> Option<Bucket> {
        let (kind, number) = id.split_once('-')?;
        let bucket = Bucket { kind: Kind::parse(kind)?, number: number.parse().ok()? };
        (bucket.number < buckets(bucket.kind)).then_some(bucket)
    }
}

/// Returns the number of buckets of a kind.
const fn buckets(kind: Kind) -> u16 {
    match kind {
        Kind::Key => 256,
        Kind::Team => 64,
        Kind::Service | Kind::Route | Kind::Pool => 16,
    }
}

/// The hashes of a set's chunks; empty ones have none.
#[value(default)]
pub struct Index(pub IndexMap<Bucket, Name>);

impl Index {
    /// Returns the index of a set.
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

    /// Computes the hashes of some buckets anew.
    pub fn refresh(&mut self, set: &Set, buckets: impl IntoIterator<Item = Bucket>) {
        for bucket in buckets {
            match encode(set, bucket).as_str() {
                "[]" => drop(self.0.swap_remove(&bucket)),
                text => drop(self.0.insert(bucket, hash(text))),
            }
        }
    }

    /// Returns one hash over all chunks.
    pub fn digest(&self) -> Name {
        let mut lines: Vec<String> =
            self.0.iter().map(|(bucket, hash)| format!("{} {hash}\n", bucket.id())).collect();
        lines.sort_unstable();
        hash(&lines.concat())
    }

    /// Returns the buckets in which `newer` is not the same.
    pub fn changed_buckets(&self, newer: &Index) -> Vec<Bucket> {
        let gone = self.0.keys().filter(|it| !newer.0.contains_key(*it));
        let other = newer.0.iter().filter(|(bucket, hash)| self.0.get(*bucket) != Some(*hash));
        gone.chain(other.map(|it| it.0)).copied().collect()
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
/// The text is not a list of objects of that kind; the set may have changed.
pub fn replace(set: &mut Set, bucket: Bucket, text: &str) -> Result<(), serde_json::Error> {
    fn one<T: DeserializeOwned>(
        map: &mut IndexMap<Name, T>,
        bucket: Bucket,
        text: &str,
        name: fn(&T) -> &Name,
    ) -> Result<(), serde_json::Error> {
        let fresh: Vec<T> = serde_json::from_str(text)?;
        map.retain(|name, _| Bucket::of(bucket.kind, name) != bucket);
        map.extend(fresh.into_iter().map(|it| (name(&it).clone(), it)));
        Ok(())
    }
    match bucket.kind {
        Kind::Service => one(&mut set.services, bucket, text, |it| &it.name),
        Kind::Team => one(&mut set.teams, bucket, text, |it| &it.name),
        Kind::Key => one(&mut set.keys, bucket, text, |it| &it.name),
        Kind::Route => one(&mut set.routes, bucket, text, |it| &it.name),
        Kind::Pool => one(&mut set.pools, bucket, text, |it| &it.name),
    }
}

/// Returns the text of a chunk whose JSON value may have its fields in another order.
///
/// # Errors
///
/// The value is not a list of objects of that kind.
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
    /// New value as JSON; none for a removal.
    pub value: Option<String>,
}

/// Returns what leads from one set to another.
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
/// A value is not an object of its kind; the set may have changed.
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

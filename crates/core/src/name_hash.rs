//! Hashes of names. Heartbeats contain them instead of the names to stay small, since they are sent
//! to every instance.

use std::fmt;

use siskinstile_macros::value;
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

/// The hash of a name.
#[value(id)]
pub struct NameHash(pub u64);

impl NameHash {
    /// Returns the hash of a name.
    pub fn of(name: &str) -> NameHash {
        NameHash(xxh3_64(name.as_bytes()))
    }

    /// Returns the hash of several byte strings; each counts with its length, so that the same bytes
    /// divided otherwise have another hash.
    pub fn of_all<'a>(strings: impl IntoIterator<Item = &'a [u8]>) -> NameHash {
        let mut hasher = Xxh3Default::new();
        for string in strings {
            hasher.update(&(string.len() as u64).to_le_bytes());
            hasher.update(string);
        }
        NameHash(hasher.digest())
    }
}

impl fmt::Display for NameHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

//! Hashes of names. Heartbeats contain them instead of the names to stay small, since they are sent
//! to every instance.

use siskinstile_macros::value;
use xxhash_rust::xxh3::xxh3_64;

/// The hash of a name.
#[value(id)]
pub struct NameHash(pub u64);

impl NameHash {
    /// Returns the hash of a name.
    pub fn of(name: &str) -> NameHash {
        NameHash(xxh3_64(name.as_bytes()))
    }
}

//! Names as heartbeats carry them: hashes, since a heartbeat goes to every instance.

use siskinstile_macros::value;
use xxhash_rust::xxh3::xxh3_64;

/// The hash of a name.
#[value(id)]
pub struct Key(pub u64);

impl Key {
    /// Returns the key of a name.
    pub fn of(name: &str) -> Key {
        Key(xxh3_64(name.as_bytes()))
    }
}

//! Callers' keys: `NAME.SECRET`, of which only a salted hash is stored.
//!
//! The name finds the stored hash in constant work; the hashes are compared in constant time.
//! Secrets are random and long, so one round of SHA-256 is enough.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::object::{Key, Set};

/// A key as a caller presented it; never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps the text of a presented key.
    pub fn new(text: impl Into<String>) -> Secret {
        Secret(text.into())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Returns the hexadecimal SHA-256 of salt and secret.
pub fn hash(salt: &[u8], secret: &str) -> String {
    hex::encode(digest(salt, secret))
}

fn digest(salt: &[u8], secret: &str) -> [u8; 32] {
    Sha256::new().chain_update(salt).chain_update(secret.as_bytes()).finalize().into()
}

/// Returns the key object that `presented` matches, if it is not withdrawn.
///
/// An unknown name costs the same work as a wrong secret.
pub fn verify<'a>(set: &'a Set, presented: &Secret) -> Option<&'a Key> {
    let (name, secret) = presented.0.split_once('.').unwrap_or((&presented.0, ""));
    let known = set.keys.get(name);
    let mut salt = [0; 32];
    let salt_len = known.map_or(16, |key| (key.salt.len() / 2).min(salt.len()));
    let mut wanted = [0; 32];
    let mut readable = false;
    if let Some(key) = known {
        readable = hex::decode_to_slice(key.salt.as_bytes(), &mut salt[..salt_len]).is_ok()
            && hex::decode_to_slice(key.hash.as_bytes(), &mut wanted).is_ok();
    }
    let same: bool = digest(&salt[..salt_len], secret).ct_eq(&wanted).into();
    known.filter(|key| same && readable && !key.withdrawn)
}

//! Verification of callers' keys: `NAME.SECRET`, of which only a salted hash is stored.
//!
//! The stored hash is looked up by name, and the hashes are compared in constant time. Secrets are
//! long and random, so one round of SHA-256 is sufficient.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::object::{Key, Set};

/// A key as presented by a caller; its `Debug` output is redacted.
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

/// Returns the SHA-256 hash of salt and secret, in hexadecimal digits.
pub fn hash(salt: &[u8], secret: &str) -> String {
    hex::encode(digest(salt, secret))
}

fn digest(salt: &[u8], secret: &str) -> [u8; 32] {
    Sha256::new().chain_update(salt).chain_update(secret.as_bytes()).finalize().into()
}

/// Returns the key object that `presented` matches; none if there is none or it was revoked.
///
/// An unknown name takes as long as a wrong secret, so response times do not reveal which names
/// exist.
pub fn verify<'a>(set: &'a Set, presented: &Secret) -> Option<&'a Key> {
    let (name, secret) = presented.0.split_once('.').unwrap_or((&presented.0, ""));
    let known = set.keys.get(name);
    let mut salt = [0; 32];
    let salt_len = known.map_or(16, |key| (key.salt.len() / 2).min(salt.len()));
    let mut expected = [0; 32];
    let mut decoded = false;
    if let Some(key) = known {
        decoded = hex::decode_to_slice(key.salt.as_bytes(), &mut salt[..salt_len]).is_ok()
            && hex::decode_to_slice(key.hash.as_bytes(), &mut expected).is_ok();
    }
    let matches: bool = digest(&salt[..salt_len], secret).ct_eq(&expected).into();
    known.filter(|key| matches && decoded && !key.withdrawn)
}

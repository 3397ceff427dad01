//! Texts of large objects, so that a change can be sent as the difference from an earlier version.
//!
//! A version is compressed with the text of an earlier one as a prefix that is not sent. What it has
//! in common with that one then costs next to nothing, and without an earlier one it is compressed by
//! itself. Both sides need the same text, which follows from the position of the version.

use std::{collections::VecDeque, io, sync::Arc};

use siskinstile_gateway::Name;
use siskinstile_macros::value;
use siskinstile_wire::message::snapshot::Version;
use zstd::stream::{read::Decoder, write::Encoder};

use crate::store::{Object, Position};

/// Size from which the text of an object is kept and compressed, in bytes.
const MIN_TEXT_BYTES: usize = 4 << 10;
/// Number of versions of an object that are kept.
const MAX_VERSIONS: usize = 3;
/// Size limit of an object's text.
const MAX_TEXT_BYTES: usize = 16 << 20;
/// Number of compressed versions that are kept, as several peers pull the same.
const MAX_ENCODED: usize = 4;
/// Compression level of zstd; higher ones take several times as long for a few bytes less.
const LEVEL: i32 = 3;

/// A version of an object.
#[value(eq)]
struct Key {
    name: Name,
    position: Position,
}

impl Key {
    fn of(object: &Object) -> Key {
        Key { name: object.name.clone(), position: object.position }
    }
}

/// A version that has been compressed, for peers that have the base.
#[derive(Debug)]
struct Encoded {
    target: Key,
    base: Option<Position>,
    bytes: Arc<[u8]>,
}

/// A version of an object as it is sent.
#[derive(Debug)]
pub struct Difference {
    /// Position of the earlier version that the receiver needs.
    pub base: Option<Position>,
    /// Size of the text, in bytes.
    pub text_bytes: usize,
    /// The compressed text.
    pub bytes: Arc<[u8]>,
}

/// The latest versions of the large objects of one kind.
#[derive(Debug, Default)]
pub struct Archive {
    texts: VecDeque<(Key, Arc<[u8]>)>,
    encoded: VecDeque<Encoded>,
}

impl Archive {
    /// Adds the versions of objects that are not known yet, if they are large.
    pub fn record<'a>(&mut self, objects: impl Iterator<Item = &'a Object>) {
        for object in objects {
            let key = Key::of(object);
            if self.text(&key).is_some() {
                continue;
            }
            let text = object.value.to_string();
            if text.len() < MIN_TEXT_BYTES {
                continue;
            }
            let versions = self.texts.iter().filter(|(it, _)| it.name == key.name).count();
            if versions >= MAX_VERSIONS
                && let Some(oldest) = self.texts.iter().position(|(it, _)| it.name == key.name)
            {
                self.texts.remove(oldest);
            }
            self.texts.push_back((key, text.into_bytes().into()));
        }
    }

    /// Returns the versions that a peer may use as bases.
    pub fn versions(&self) -> Vec<Version> {
        let version = |key: &Key| Version {
            name: key.name.to_string(),
            era: key.position.era,
            revision: key.position.revision,
        };
        self.texts.iter().map(|(key, _)| version(key)).collect()
    }

    /// Compresses an object's version for a peer that has some versions, the latest of which known
    /// here becomes the base; `None` if the object is small or cannot be compressed.
    pub fn encode(&mut self, object: &Object, held: &[Version]) -> Option<Difference> {
        let target = Key::of(object);
        let text = self.text(&target)?;
        let base = held
            .iter()
            .filter(|it| *it.name == *target.name)
            .map(|it| Key {
                name: target.name.clone(),
                position: Position::new(it.era, it.revision),
            })
            .filter(|it| it.position < target.position && self.text(it).is_some())
            .max_by_key(|it| it.position);
        let base_position = base.as_ref().map(|it| it.position);
        let known = self.encoded.iter().find(|it| it.target == target && it.base == base_position);
        let bytes = match known {
            Some(known) => known.bytes.clone(),
            None => {
                let base_text = base.and_then(|it| self.text(&it));
                let bytes: Arc<[u8]> = compress(&text, base_text.as_deref().unwrap_or_default())
                    .inspect_err(|error| log::warn!("{} not compressed: {error}", target.name))
                    .ok()?
                    .into();
                self.encoded.truncate(MAX_ENCODED - 1);
                let encoded = Encoded { target, base: base_position, bytes: bytes.clone() };
                self.encoded.push_front(encoded);
                bytes
            }
        };
        Some(Difference { base: base_position, text_bytes: text.len(), bytes })
    }

    /// Returns the text of an object's version that a peer has compressed.
    ///
    /// # Errors
    ///
    /// Fails if the base is not known here, or if the bytes are not what the peer made of it.
    pub fn decode(&self, name: &Name, difference: &Difference) -> io::Result<Vec<u8>> {
        let base = match difference.base {
            Some(position) => self
                .text(&Key { name: name.clone(), position })
                .ok_or_else(|| io::Error::other("its earlier version is not known"))?,
            None => Arc::default(),
        };
        expand(&difference.bytes, &base, difference.text_bytes)
    }

    fn text(&self, key: &Key) -> Option<Arc<[u8]>> {
        self.texts.iter().find(|(it, _)| it == key).map(|(_, text)| text.clone())
    }
}

fn compress(text: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    // The window has to reach back over the text into the whole base.
    let window = (text.len() + base.len()).next_power_of_two().ilog2();
    encoder.window_log(window)?;
    encoder.long_distance_matching(true)?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(text.len() as u64))?;
    io::Write::write_all(&mut encoder, text)?;
    encoder.finish()
}

fn expand(bytes: &[u8], base: &[u8], text_bytes: usize) -> io::Result<Vec<u8>> {
    if text_bytes > MAX_TEXT_BYTES {
        return Err(io::Error::other(format!("a text of {text_bytes} bytes")));
    }
    let mut text = Vec::with_capacity(text_bytes);
    let decoder = Decoder::with_ref_prefix(bytes, base)?;
    // One more than stated, so that a longer text is noticed.
    io::Read::read_to_end(&mut io::Read::take(decoder, text_bytes as u64 + 1), &mut text)?;
    match text.len() == text_bytes {
        true => Ok(text),
        false => Err(io::Error::other("its size is not as stated")),
    }
}

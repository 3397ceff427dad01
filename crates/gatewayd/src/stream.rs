//! Splitting of an event stream into whole events.

use bytes::{Bytes, BytesMut};
use siskinstile_gateway::Name;

/// Bytes that end an event.
const END: &[u8] = b"\n\n";
/// Start of the line with an event's identifier.
const ID_FIELD: &[u8] = b"id:";
/// Largest event, in bytes.
const MOST_BYTES: usize = 1 << 20;

/// Holds back the bytes of an event until it is whole.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last: Option<Name>,
    events: u64,
}

impl Splitter {
    /// Creates a splitter that drops events up to and including `last`.
    pub fn after(last: Option<Name>) -> Splitter {
        Splitter { last, ..Splitter::default() }
    }

    /// Takes bytes; returns those of whole events that are to be passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = find(&self.partial, END) {
            let event = self.partial.split_to(end + END.len());
            if self.is_next(&event) {
                self.events += 1;
                whole.extend_from_slice(&event);
            }
        }
        whole.freeze()
    }

    /// Returns the number of events that were passed on.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether an event has begun that is not whole.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether the event under way is larger than any may be.
    pub fn is_overlong(&self) -> bool {
        self.partial.len() > MOST_BYTES
    }

    /// Returns the identifier of the last whole event.
    pub fn last(&self) -> Option<&Name> {
        self.last.as_ref()
    }

    /// Notes an event's identifier; returns whether it follows the last one.
    fn is_next(&mut self, event: &[u8]) -> bool {
        let Some(id) = identifier(event) else { return true };
        let number = |name: &str| name.parse::<u64>().ok();
        let follows = match (self.last.as_deref().and_then(number), number(&id)) {
            (Some(last), Some(next)) => next > last,
            _ => true,
        };
        if follows {
            self.last = Some(id);
        }
        follows
    }
}

fn identifier(event: &[u8]) -> Option<Name> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    Some(std::str::from_utf8(value).ok()?.trim().into())
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

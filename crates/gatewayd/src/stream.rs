//! Splitting of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};
use hyper::header::HeaderValue;
use siskinstile_gateway::Name;

/// Ends of an event: an empty line after a line, which ends with LF or CRLF as well.
const ENDS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];
/// Length of the longest of them.
const MAX_END_BYTES: usize = 3;
/// Prefix of the line that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";
/// Size limit of one event, which holds the text of a few tokens.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Buffers the bytes of an event until it is complete.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    /// Number of bytes of `partial` that have been searched for the end of the event.
    searched: usize,
    last_id: Option<Name>,
    events: u64,
}

impl Splitter {
    /// Creates a splitter that drops events up to and including `last_id`.
    pub fn after(last_id: Option<Name>) -> Splitter {
        Splitter { last_id, ..Splitter::default() }
    }

    /// Adds received bytes and returns the events that they complete.
    ///
    /// Events whose numeric identifier does not exceed the last one are dropped.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        while let Some(end) = self.find_end() {
            let event = self.partial.split_to(end);
            if self.is_next(&event) {
                self.events += 1;
                complete.extend_from_slice(&event);
            }
        }
        complete.freeze()
    }

    /// Returns the length of the first event that is complete.
    fn find_end(&mut self) -> Option<usize> {
        // The end may have begun with the last bytes of the previous search.
        let start = self.searched.saturating_sub(MAX_END_BYTES - 1);
        let after = |end: &[u8]| find(&self.partial[start..], end).map(|it| it + end.len());
        match ENDS.into_iter().filter_map(after).min() {
            Some(length) => {
                self.searched = 0;
                Some(start + length)
            }
            None => {
                self.searched = self.partial.len();
                None
            }
        }
    }

    /// Returns the number of events that `push` has returned.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether the buffered event exceeds the size limit.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Returns the identifier of the last complete event that had one.
    pub fn last_id(&self) -> Option<&Name> {
        self.last_id.as_ref()
    }

    /// Returns the identifier of the last complete event, after which another endpoint can go on; `None` also if it cannot
    /// be sent in a header.
    pub fn resume_id(&self) -> Option<&Name> {
        let is_sent = |it: &&Name| HeaderValue::from_bytes(it.as_bytes()).is_ok();
        self.last_id.as_ref().filter(is_sent)
    }

    /// Records an event's identifier and returns whether the event follows the last one.
    ///
    /// Events without an identifier, or with one that is not a number, always follow.
    fn is_next(&mut self, event: &[u8]) -> bool {
        let Some(id) = identifier(event) else { return true };
        let number = |name: &str| name.parse::<u64>().ok();
        let follows = match (self.last_id.as_deref().and_then(number), number(&id)) {
            (Some(last_id), Some(next)) => next > last_id,
            _ => true,
        };
        if follows {
            self.last_id = Some(id);
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

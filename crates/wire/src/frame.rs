//! Length-prefixed framing of messages on a byte stream.

use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::message::Envelope;

/// Maximum size of a frame, in bytes: a configuration chunk (up to 1 MB) with its envelope.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// A codec for envelopes that are preceded by a four-byte length.
///
/// Returns an I/O error for a frame over [`MAX_FRAME_BYTES`] or one that is not a valid envelope.
#[derive(Debug)]
pub struct Frame {
    codec: LengthDelimitedCodec,
}

impl Default for Frame {
    fn default() -> Frame {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Frame { codec }
    }
}

impl Decoder for Frame {
    type Item = Envelope;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Envelope>> {
        match self.codec.decode(src)? {
            Some(body) => Envelope::decode(body).map(Some).map_err(io::Error::other),
            None => Ok(None),
        }
    }
}

impl Encoder<Envelope> for Frame {
    type Error = io::Error;

    fn encode(&mut self, item: Envelope, dst: &mut BytesMut) -> io::Result<()> {
        self.codec.encode(Bytes::from(item.encode_to_vec()), dst)
    }
}

//! The framing of messages on a byte stream.

use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::message::Envelope;

/// Largest frame, in bytes: a chunk of configuration (under 1 MB) with its envelope.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Encodes and decodes envelopes behind a four-byte length.
#[derive(Debug)]
pub struct Frame {
    lengths: LengthDelimitedCodec,
}

impl Default for Frame {
    fn default() -> Frame {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Frame { lengths }
    }
}

impl Decoder for Frame {
    type Item = Envelope;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<Envelope>> {
        match self.lengths.decode(src)? {
            Some(body) => Envelope::decode(body).map(Some).map_err(io::Error::other),
            None => Ok(None),
        }
    }
}

impl Encoder<Envelope> for Frame {
    type Error = io::Error;

    fn encode(&mut self, item: Envelope, dst: &mut BytesMut) -> io::Result<()> {
        self.lengths.encode(Bytes::from(item.encode_to_vec()), dst)
    }
}

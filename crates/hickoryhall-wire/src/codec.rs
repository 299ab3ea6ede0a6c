//! Codec of length-delimited frames over TCP, and the size limits of frames.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{Frame, Keyring, OpenError};

/// Maximum size of a frame over TCP, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Maximum size of a frame in one UDP datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Encodes and decodes authenticated frames.
///
/// A length above [`MAX_FRAME_BYTES`] is an error as soon as the length prefix is read, so no memory
/// is reserved for the frame.
#[derive(Clone, Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
    keyring: Keyring,
}

impl FrameCodec {
    /// Creates a codec that seals and opens frames with `keyring`.
    #[must_use]
    pub fn new(keyring: Keyring) -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { lengths, keyring }
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: &Frame, to: &mut BytesMut) -> io::Result<()> {
        self.lengths
            .encode(Bytes::from(self.keyring.seal(frame)), to)
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Frame>> {
        let Some(bytes) = self.lengths.decode(from)? else {
            return Ok(None);
        };
        let invalid = |error: OpenError| io::Error::new(io::ErrorKind::InvalidData, error);
        self.keyring.open(&bytes).map(Some).map_err(invalid)
    }
}

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
    length_codec: LengthDelimitedCodec,
    keyring: Keyring,
}

impl FrameCodec {
    /// Creates a codec that seals and opens frames with `keyring`.
    #[must_use]
    pub fn new(keyring: Keyring) -> Self {
        let length_codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            length_codec,
            keyring,
        }
    }
}

impl Encoder<&Frame> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: &Frame, buffer: &mut BytesMut) -> io::Result<()> {
        self.length_codec
            .encode(Bytes::from(self.keyring.seal(frame)), buffer)
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Frame>> {
        let Some(bytes) = self.length_codec.decode(buffer)? else {
            return Ok(None);
        };
        let invalid_data = |error: OpenError| io::Error::new(io::ErrorKind::InvalidData, error);
        self.keyring.open(&bytes).map(Some).map_err(invalid_data)
    }
}

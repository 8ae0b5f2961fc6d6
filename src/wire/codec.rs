//! The framing of messages on a stream.
//!
//! A frame is a length of four bytes in little-endian order, the protocol version in one byte, and
//! the message in postcard encoding. The length counts the version byte and the message.

use bytes::{
    Buf,
    BytesMut, //
};
use derive_more::{
    Display,
    Error,
    From, //
};

use super::Message;

/// The version of the protocol; frames of another version are refused.
pub const PROTOCOL_VERSION: u8 = 1;

/// The largest length of a frame in bytes, without the length field itself.
pub const MAX_FRAME: usize = 4 << 20;

/// The size of the length field in bytes.
const HEADER: usize = 4;

/// An error that occurs when a frame or a datagram is encoded or decoded.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The frame is empty or larger than [`MAX_FRAME`].
    #[display("frame length of {_0} bytes is not between 1 and {MAX_FRAME}")]
    #[from(skip)]
    Length(#[error(not(source))] usize),
    /// The frame is of another protocol version.
    #[display("protocol version {_0} is not supported, expected {PROTOCOL_VERSION}")]
    #[from(skip)]
    Version(#[error(not(source))] u8),
    /// The message cannot be encoded or decoded.
    #[display("malformed message: {_0}")]
    Message(postcard::Error),
}

/// Encodes a message as one frame.
///
/// ```
/// use redwingyard::wire::{Decoder, Message, encode};
/// let mut decoder = Decoder::default();
/// decoder.extend(&encode(&Message::FetchRules));
/// assert_eq!(decoder.next_message().unwrap(), Some(Message::FetchRules));
/// ```
pub fn encode(message: &Message) -> Vec<u8> {
    let frame = vec![0, 0, 0, 0, PROTOCOL_VERSION];
    let mut frame = postcard::to_extend(message, frame)
        .expect("a message can be encoded into a growing vector");
    let length = (frame.len() - HEADER) as u32;
    frame[..HEADER].copy_from_slice(&length.to_le_bytes());
    frame
}

/// A decoder that splits a stream of bytes into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    buf: BytesMut,
}

impl Decoder {
    /// Appends bytes as they arrive.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next message, or none until all of its bytes have arrived.
    ///
    /// # Errors
    ///
    /// Fails on a frame that is empty, too large, of another version or malformed. The rest of the
    /// stream cannot be decoded after an error.
    pub fn next_message(&mut self) -> Result<Option<Message>, Error> {
        if self.buf.len() < HEADER {
            return Ok(None);
        }
        let length = (&self.buf[..HEADER]).get_u32_le() as usize;
        if length == 0 || length > MAX_FRAME {
            return Err(Error::Length(length));
        }
        if self.buf.len() < HEADER + length {
            return Ok(None);
        }
        self.buf.advance(HEADER);
        let frame = self.buf.split_to(length);
        if frame[0] != PROTOCOL_VERSION {
            return Err(Error::Version(frame[0]));
        }
        Ok(Some(postcard::from_bytes(&frame[1..])?))
    }
}

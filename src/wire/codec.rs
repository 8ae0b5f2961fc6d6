//! Frames: a length of four bytes, a version byte and a postcard message.

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

/// The version of the messages; a peer of another version is refused.
pub const PROTOCOL_VERSION: u8 = 1;

/// The largest frame in bytes.
pub const MAX_FRAME: usize = 4 << 20;

const HEADER: usize = 4;

/// Why a frame cannot be read.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The frame is larger than [`MAX_FRAME`].
    #[display("a frame of {_0} bytes is too large")]
    #[from(skip)]
    Length(#[error(not(source))] usize),
    /// The peer speaks another version.
    #[display("version {_0} is not supported")]
    #[from(skip)]
    Version(#[error(not(source))] u8),
    /// The message is malformed.
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
    let mut frame = postcard::to_extend(message, frame).expect("a message serializes into memory");
    let length = (frame.len() - HEADER) as u32;
    frame[..HEADER].copy_from_slice(&length.to_le_bytes());
    frame
}

/// Splits a stream of bytes into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    buf: BytesMut,
}

impl Decoder {
    /// Takes bytes in as they arrive.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole message.
    ///
    /// # Errors
    ///
    /// Fails on a frame that is too large, of another version or malformed; the
    /// stream cannot be read any further then.
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

//! How an answer marks its end.

use derive_more::Display;
use hyper::header::{
    CONTENT_LENGTH,
    HeaderMap,
    TRANSFER_ENCODING, //
};

/// How an answer marks its end (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Framing {
    /// It states its length, or has no body.
    #[display("length")]
    Length,
    /// It ends with a last chunk.
    #[display("chunks")]
    Chunks,
    /// It ends with its connection, and can't say whether it is whole.
    #[display("none")]
    Connection,
}

impl Framing {
    /// Returns the framing of an answer with a body from its header fields.
    ///
    /// ```
    /// use hyper::header::{HeaderMap, HeaderValue};
    /// use redwingyard::answer::Framing;
    /// let mut headers = HeaderMap::new();
    /// assert_eq!(Framing::of(&headers), Framing::Connection);
    /// headers.insert("content-length", HeaderValue::from_static("12"));
    /// assert_eq!(Framing::of(&headers), Framing::Length);
    /// headers.insert("transfer-encoding", HeaderValue::from_static("gzip, chunked"));
    /// assert_eq!(Framing::of(&headers), Framing::Chunks);
    /// headers.insert("transfer-encoding", HeaderValue::from_static("gzip"));
    /// assert_eq!(Framing::of(&headers), Framing::Connection);
    /// ```
    pub fn of(headers: &HeaderMap) -> Self {
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        if let Some(codings) = codings.next_back() {
            // Only the last coding delimits the body.
            let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
            let last = last.unwrap_or_default().trim_ascii();
            return match last.eq_ignore_ascii_case(b"chunked") {
                true => Framing::Chunks,
                false => Framing::Connection,
            };
        }
        match headers.contains_key(CONTENT_LENGTH) {
            true => Framing::Length,
            false => Framing::Connection,
        }
    }
}

//! The memory of this process: what the system says of it, and bytes that have been promised room.

use std::{
    fs,
    io, //
};

use bytes::Bytes;
use rustix::param::page_size;

use crate::pool::Holding;

/// Where the system says how many pages this process has: all of them, and those in memory.
const PAGES: &str = "/proc/self/statm";

/// Returns the memory that this process takes, in bytes.
pub(super) fn resident() -> io::Result<usize> {
    let text = fs::read_to_string(PAGES)?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<usize>().ok());
    let pages = pages.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, PAGES))?;
    Ok(pages * page_size())
}

/// Bytes with the room that they were promised.
struct Held {
    bytes: Bytes,
    _holding: Holding,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that give their room back when the last copy of them is dropped.
pub(super) fn hold(bytes: Bytes, holding: Holding) -> Bytes {
    let _holding = holding;
    Bytes::from_owner(Held { bytes, _holding })
}

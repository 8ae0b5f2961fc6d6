//! What the system says of this process's memory.

use std::{
    fs,
    io, //
};

use rustix::param::page_size;

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

//! The memory of this process: what the system says of it, and bytes that have been promised room.

use std::{
    fs,
    io,
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    Response,
    header::{
        CONNECTION,
        HeaderValue, //
    }, //
};
use rustix::{
    param::page_size,
    process::{
        Resource,
        getrlimit, //
    }, //
};

use super::body::Body;
use crate::pool::{
    MemoryBudget, //
    Reservation,
};

/// Where the system says how many pages this process has: all of them, and those in memory.
const PAGES: &str = "/proc/self/statm";

/// The interval at which a process's memory is measured: a part of the second or so in which a
/// crowd of callers arrives.
pub(super) const MEASURE_INTERVAL: Duration = Duration::from_millis(200);

/// The part of the descriptors that callers' connections may take; the rest is for targets,
/// and for callers that come while others are idle.
const CALLERS_PART: f64 = 0.7;

/// Returns the callers' connections beyond which each is closed after a refusal: they leave room
/// for connections to targets, and the memory bears twice as many.
pub(super) fn connection_limit(memory: &MemoryBudget) -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    let files = limit.map_or(usize::MAX, |limit| (limit as f64 * CALLERS_PART) as usize);
    files.min(memory.max_connections() / MemoryBudget::HARD_LIMIT_FACTOR)
}

/// Closes a connection after a refusal, where it would keep new callers out.
pub(super) fn close_if_near_limit(
    memory: &MemoryBudget,
    most: usize,
    response: &mut Response<Body>,
) {
    // Those that are served come back at once, over the same connection.
    if memory.is_near_limit(most) && !response.status().is_success() {
        set_connection_close(response);
    }
}

/// Says that a connection closes after an answer.
pub(super) fn set_connection_close(response: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

/// Measures what this process takes, in bytes, and logs where it becomes short of memory or is no
/// longer; `None` where the system does not say.
pub(super) fn measure(memory: &MemoryBudget, requests: usize) -> Option<usize> {
    let taken = match resident() {
        Ok(taken) => taken,
        Err(err) => {
            log::debug!("event=memory-unknown error=\"{err}\"");
            return None;
        }
    };
    if let Some(short) = memory.measure(taken) {
        let line = format!(
            "taken_kb={} connections={} requests={requests}",
            taken >> 10,
            memory.connections(),
        );
        match short {
            true => log::warn!("event=memory-short {line}"),
            false => log::info!("event=memory-eased {line}"),
        }
    }
    Some(taken)
}

/// Returns the memory that this process takes, in bytes.
fn resident() -> io::Result<usize> {
    let text = fs::read_to_string(PAGES)?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<usize>().ok());
    let pages = pages.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, PAGES))?;
    Ok(pages * page_size())
}

/// Bytes with the room that they were promised.
struct Held {
    bytes: Bytes,
    _holding: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that give their room back when the last copy of them is dropped.
pub(super) fn with_reservation(bytes: Bytes, holding: Reservation) -> Bytes {
    let _holding = holding;
    Bytes::from_owner(Held { bytes, _holding })
}

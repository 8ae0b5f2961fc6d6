//! The memory of this process: its measurement, the connection limit that follows from the limits
//! on memory and file descriptors, and buffers with a memory reservation.

use std::{
    ffi::c_int,
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
    MemoryBudget,
    Reservation, //
};

/// The file with the sizes of this process in pages: first its virtual memory, then its resident
/// memory.
const STATM_PATH: &str = "/proc/self/statm";

/// The interval at which the memory of a process is measured. A burst of new callers arrives within
/// about a second, so the process measures several times during it.
pub(super) const MEASURE_INTERVAL: Duration = Duration::from_millis(200);

/// The fraction of the file descriptors that callers' connections may take. The rest is for
/// connections to targets, and for new callers that connect while others are idle.
const CALLER_FILES_FRACTION: f64 = 0.7;

/// The size of an allocation, in bytes, from which on it has pages of its own. Bodies above it leave
/// the process when they are dropped.
const PAGES_THRESHOLD: c_int = 128 << 10;

/// The free memory at the end of the heap, in bytes, above which it is given back.
const TRIM_THRESHOLD: c_int = 1 << 20;

/// `M_TRIM_THRESHOLD` and `M_MMAP_THRESHOLD` of `malloc.h`.
#[cfg(target_env = "gnu")]
const M_TRIM_THRESHOLD: c_int = -1;
#[cfg(target_env = "gnu")]
const M_MMAP_THRESHOLD: c_int = -3;

#[cfg(target_env = "gnu")]
unsafe extern "C" {
    fn mallopt(param: c_int, value: c_int) -> c_int;
}

/// Makes the allocator give the memory of dropped bodies back to the system. It is called once, at the
/// start of the program.
///
/// By default the allocator of glibc raises its threshold to the size of each large allocation that
/// is freed, up to 32 MB. Bodies then lie in the heap, between smaller allocations that keep their
/// pages resident: a process of 64 MB that had reserved 20 MB for bodies took 128 MB.
pub fn fix_allocator() {
    #[cfg(target_env = "gnu")]
    // SAFETY: `mallopt` takes two integers, and locks the allocator's state itself.
    unsafe {
        mallopt(M_MMAP_THRESHOLD, PAGES_THRESHOLD);
        mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD);
    }
}

/// Returns the number of callers' connections above which each is closed after a refusal. It leaves
/// file descriptors for connections to targets, and there is memory for
/// [`MemoryBudget::HARD_LIMIT_FACTOR`] times as many.
pub(super) fn connection_limit(memory: &MemoryBudget) -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    let files = limit.map_or(usize::MAX, |limit| {
        (limit as f64 * CALLER_FILES_FRACTION) as usize
    });
    files.min(memory.max_connections() / MemoryBudget::HARD_LIMIT_FACTOR)
}

/// Closes the connection after its response if the response is not a success, and there are so
/// many connections, or so little memory, that new callers could be kept from connecting.
pub(super) fn close_if_near_limit(
    memory: &MemoryBudget,
    max_connections: usize,
    response: &mut Response<Body>,
) {
    // Callers with a successful response send their next request at once; they keep the connection.
    if memory.is_near_limit(max_connections) && !response.status().is_success() {
        set_connection_close(response);
    }
}

/// Adds the header field that closes the connection after this response.
pub(super) fn set_connection_close(response: &mut Response<Body>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

/// Measures the resident memory of this process in bytes, and logs when it becomes low on memory or
/// is no longer low. Returns `None` if the memory cannot be measured.
pub(super) fn measure(memory: &MemoryBudget, requests: usize) -> Option<usize> {
    let resident_bytes = match resident() {
        Ok(resident_bytes) => resident_bytes,
        Err(err) => {
            log::debug!("event=memory-unknown error=\"{err}\"");
            return None;
        }
    };
    if let Some(low) = memory.measure(resident_bytes) {
        let line = format!(
            "taken_kb={} connections={} requests={requests}",
            resident_bytes >> 10,
            memory.connections(),
        );
        match low {
            true => log::warn!("event=memory-short {line}"),
            false => log::info!("event=memory-eased {line}"),
        }
    }
    Some(resident_bytes)
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> io::Result<usize> {
    let text = fs::read_to_string(STATM_PATH)?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<usize>().ok());
    let pages = pages.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, STATM_PATH))?;
    Ok(pages * page_size())
}

/// Bytes together with the memory reservation that covers them.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that release their memory reservation when the last reference to them is dropped.
pub(super) fn with_reservation(bytes: Bytes, reservation: Reservation) -> Bytes {
    if !reservation.is_counted() {
        return bytes;
    }
    let _reservation = reservation;
    Bytes::from_owner(ReservedBytes {
        bytes,
        _reservation,
    })
}

//! Logging that never blocks the process.
//!
//! Log lines are buffered in memory and written to the standard output at intervals, without
//! blocking. If the reader of the standard output is too slow and the buffer is full, new lines are
//! dropped, and a log line reports how many.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration, //
};

use compio::time::sleep;
use rustix::{
    fs::{
        OFlags,
        fcntl_getfl,
        fcntl_setfl, //
    },
    io::Errno,
    stdio::stdout, //
};

/// The size of the buffer, in bytes. It holds the lines of a busy gateway for about a second.
const MAX_BUFFERED: usize = 128 << 10;

/// The largest write to a pipe that is atomic, in bytes (`PIPE_BUF` of Linux).
const ATOMIC_WRITE: usize = 4_096;

/// The interval at which the buffer is written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// The log lines that have not been written yet.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// The number of lines that were dropped and not reported yet.
    dropped: u64,
}

/// A writer that buffers log lines until [`Logs::run`] writes them.
#[derive(Clone, Debug, Default)]
pub struct Logs(Arc<Mutex<Buffer>>);

impl Logs {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        // A panic while the lock was held leaves at worst an incomplete line in the buffer.
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Passes the buffered lines to `write`, and removes as many bytes as it returns. Reports
    /// dropped lines once the buffer is less than half full.
    ///
    /// ```
    /// use std::io::Write;
    /// let mut logs = redwingyard::shell::Logs::default();
    /// logs.write_all(b"event=start\n").unwrap();
    /// let mut seen = Vec::new();
    /// logs.flush_to(|bytes| {
    ///     seen.extend_from_slice(&bytes[..5]);
    ///     5
    /// });
    /// logs.flush_to(|bytes| {
    ///     seen.extend_from_slice(bytes);
    ///     bytes.len()
    /// });
    /// assert_eq!(seen, b"event=start\n");
    /// ```
    pub fn flush_to(&self, write: impl FnOnce(&[u8]) -> usize) {
        let mut buffer = self.lock();
        if buffer.bytes.is_empty() {
            return;
        }
        let written = write(&buffer.bytes);
        buffer.bytes.drain(..written);
        if buffer.dropped > 0 && buffer.bytes.len() < MAX_BUFFERED / 2 {
            let dropped = std::mem::take(&mut buffer.dropped);
            let line = format!("level=warn event=log-lines-dropped count={dropped}\n");
            buffer.bytes.extend_from_slice(line.as_bytes());
        }
    }

    /// Writes the lines to the standard output at intervals. Never returns.
    pub async fn run(self) {
        if let Ok(flags) = fcntl_getfl(stdout()) {
            // If this fails, writes block while the reader is slow.
            let _ = fcntl_setfl(stdout(), flags | OFlags::NONBLOCK);
        }
        loop {
            sleep(FLUSH_INTERVAL).await;
            self.flush_to(write_some);
        }
    }

    /// Writes the remaining lines when the process ends, as far as the standard output accepts them
    /// without blocking.
    pub fn finish(&self) {
        self.flush_to(write_some);
    }
}

/// Writes lines to the standard output until it accepts no more, and returns the number of bytes
/// written. Each write is atomic on a pipe.
fn write_some(bytes: &[u8]) -> usize {
    let mut written = 0;
    while written < bytes.len() {
        let chunk = atomic_chunk(&bytes[written..]);
        match rustix::io::write(stdout(), chunk) {
            Ok(count) => written += count,
            Err(Errno::INTR) => {}
            Err(Errno::AGAIN) => break,
            // The reader has gone, so the lines are discarded.
            Err(_) => return bytes.len(),
        }
    }
    written
}

/// Returns as many whole lines from the beginning as one atomic write takes, or a part of a line
/// that is longer than that.
fn atomic_chunk(bytes: &[u8]) -> &[u8] {
    if bytes.len() <= ATOMIC_WRITE {
        return bytes;
    }
    let end = bytes[..ATOMIC_WRITE]
        .iter()
        .rposition(|byte| *byte == b'\n');
    &bytes[..end.map_or(ATOMIC_WRITE, |end| end + 1)]
}

impl Write for Logs {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > MAX_BUFFERED {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

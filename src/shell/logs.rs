//! Log lines that never hold the process up.
//!
//! Lines gather in memory and are written at intervals without blocking. Where the reader of
//! the standard output is too slow, lines are left out, and a line says how many.

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

/// The bytes that wait to be written at most: a second of a busy gateway's lines.
const MAX_PENDING: usize = 128 << 10;

/// The bytes that a pipe takes at once or not at all (`PIPE_BUF` of Linux).
const ATOMIC_WRITE: usize = 4_096;

/// The interval of the writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

/// A writer that gathers log lines for [`Logs::flush`].
#[derive(Clone, Debug, Default)]
pub struct Logs(Arc<Mutex<Pending>>);

impl Logs {
    fn pending(&self) -> MutexGuard<'_, Pending> {
        // A panic while a line was added leaves at worst a part of a line.
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Writes what `write` takes of the lines, and reports those that were left out.
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
        let mut pending = self.pending();
        if pending.bytes.is_empty() {
            return;
        }
        let written = write(&pending.bytes);
        pending.bytes.drain(..written);
        if pending.dropped > 0 && pending.bytes.len() < MAX_PENDING / 2 {
            let dropped = std::mem::take(&mut pending.dropped);
            let line = format!("level=warn event=log-lines-dropped count={dropped}\n");
            pending.bytes.extend_from_slice(line.as_bytes());
        }
    }

    /// Writes the lines to the standard output at intervals, for as long as it is polled.
    pub async fn run(self) {
        if let Ok(flags) = fcntl_getfl(stdout()) {
            // Where this fails, a slow reader delays the process.
            let _ = fcntl_setfl(stdout(), flags | OFlags::NONBLOCK);
        }
        loop {
            sleep(FLUSH_INTERVAL).await;
            self.flush_to(write_some);
        }
    }

    /// Writes what is left, as far as the reader takes it.
    pub fn finish(&self) {
        self.flush_to(write_some);
    }
}

/// Writes whole lines in pieces that a pipe takes at once or not at all, until it is full.
fn write_some(bytes: &[u8]) -> usize {
    let mut written = 0;
    while written < bytes.len() {
        let piece = piece(&bytes[written..]);
        match rustix::io::write(stdout(), piece) {
            Ok(count) => written += count,
            Err(Errno::INTR) => {}
            Err(Errno::AGAIN) => break,
            // Nobody reads any more.
            Err(_) => return bytes.len(),
        }
    }
    written
}

/// Returns the first whole lines that fit in one atomic write.
fn piece(bytes: &[u8]) -> &[u8] {
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
        let mut pending = self.pending();
        if pending.bytes.len() + line.len() > MAX_PENDING {
            pending.dropped += 1;
        } else {
            pending.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

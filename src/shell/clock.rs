//! The clock of a process, which tests can pause and advance.
//!
//! It also counts the time for which the VM is suspended, so that a resumed process knows how stale
//! its state is.

use std::{
    cell::Cell,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use rustix::time::{
    ClockId,
    clock_gettime, //
};

use crate::ids::Time;

/// A monotonic clock that starts at zero.
#[derive(Clone, Debug)]
pub struct Clock {
    /// The boot time at which the clock was created.
    start: Duration,
    /// The time at which a paused clock stands.
    paused: Cell<Option<Time>>,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: boot_time(),
            paused: Cell::new(None),
        }
    }
}

impl Clock {
    /// Returns the time since the clock was created.
    pub fn now(&self) -> Time {
        self.paused.get().unwrap_or_else(|| self.elapsed())
    }

    fn elapsed(&self) -> Time {
        boot_time().saturating_sub(self.start)
    }

    /// Stops the clock at the current time.
    pub fn pause(&self) {
        self.paused.set(Some(self.now()));
    }

    /// Advances a paused clock. A running clock does not change.
    ///
    /// ```
    /// use std::time::Duration;
    /// let clock = redwingyard::shell::Clock::default();
    /// clock.pause();
    /// let before = clock.now();
    /// clock.advance(Duration::from_secs(3));
    /// assert_eq!(clock.now() - before, Duration::from_secs(3));
    /// ```
    pub fn advance(&self, time: Duration) {
        if let Some(now) = self.paused.get() {
            self.paused.set(Some(now + time));
        }
    }

    /// Returns the time from the Unix epoch to the creation of the clock, by the system clock as it
    /// is now.
    pub fn epoch_offset(&self) -> Duration {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        wall.unwrap_or_default().saturating_sub(self.elapsed())
    }
}

/// Returns the time since the machine was booted, including suspensions.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

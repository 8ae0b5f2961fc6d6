//! The clock of a process, which tests can pause and advance.

use std::{
    cell::Cell,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use crate::ids::Time;

/// A monotonic clock that starts at zero.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    paused: Cell<Option<Time>>,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            paused: Cell::new(None),
        }
    }
}

impl Clock {
    /// Returns the time since the clock's start.
    pub fn now(&self) -> Time {
        self.paused.get().unwrap_or_else(|| self.start.elapsed())
    }

    /// Stops the clock where it is.
    pub fn pause(&self) {
        self.paused.set(Some(self.now()));
    }

    /// Moves a paused clock on.
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

    /// Returns the time from the Unix epoch to the clock's start.
    pub fn wall(&self) -> Duration {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        wall.unwrap_or_default()
            .saturating_sub(self.start.elapsed())
    }
}

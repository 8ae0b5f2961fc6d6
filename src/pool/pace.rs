//! The pace at which a target that has started or recovered gets requests (slow start).
//!
//! Such a target may have an empty cache, take long for its first answers or fail under the load that
//! it had before. While it lasts, slow start limits the requests that a router has there without an
//! answer. The limit follows the answers, not the time: a target that answers in time gets its full
//! share after a bounded number of answers.

use std::time::Duration;

use derive_more::Display;

use crate::ids::{
    Target,
    Time,
    rendezvous_weight, //
};

/// The answers in time after which slow start ends at a router.
const MAX_ANSWERS: u32 = 16;

/// The time after which the number of routers that may join without a report of answers doubles:
/// reports take 100 to 600 ms.
const JOIN_STEP: Duration = Duration::from_millis(300);

/// The routers that may have joined for each answer in progress that is reported: a router that has
/// joined makes its own requests grow as fast between two reports.
const JOINS_PER_ANSWER: u32 = 4;

/// The time without a late answer or a failure after which slow start ends at a router that sends the
/// target too few requests to get [`MAX_ANSWERS`].
const MAX_IDLE: Duration = Duration::from_secs(60);

/// Why slow start began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PaceCause {
    /// The target joined the list during traffic.
    #[display("joined")]
    Joined,
    /// The target has restarted.
    #[display("restarted")]
    Restarted,
    /// The target could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// The target has requested a cooldown.
    #[display("cooldown")]
    Cooldown,
}

/// The slow start of one target at one router.
///
/// Routers join in an order that differs from target to target, so that they don't all send at the
/// same time: the first at once, the others as reports show answers in progress at the target. A
/// router that gets no such report joins after a bounded time, as the first one may have failed.
///
/// ```
/// use std::time::Duration;
/// use redwingyard::pool::Pace;
/// let ms = Duration::from_millis;
/// let mut pace = Pace::new(ms(0), ms(0), 5);
/// assert!(!pace.is_turn(ms(100), 1));
/// assert!(pace.is_turn(ms(100), 2), "2 answers are in progress");
/// assert!(pace.is_turn(ms(900), 0), "no report has come");
/// assert!(pace.has_room(0) && !pace.has_room(1));
/// assert!(!pace.record_answer(ms(1_000), ms(900), true, 8));
/// assert!(pace.has_room(1) && !pace.has_room(2));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// When slow start began.
    begun: Time,
    /// When the first router may join: the end of a backoff or cooldown.
    open: Time,
    /// When the limit was last reduced. Answers to requests that were sent before say nothing about
    /// the limit after it.
    reduced: Time,
    /// The number of routers that join before this one.
    position: u32,
    /// Whether this router has sent a request to the target.
    joined: bool,
    /// The most requests without an answer.
    limit: u32,
    /// The answers in time since the last failure.
    answers: u32,
}

impl Pace {
    /// Begins a slow start in which the first router may send from `open` on, and this one after
    /// `position` others.
    pub fn new(now: Time, open: Time, position: u32) -> Self {
        Self {
            begun: now,
            open,
            reduced: now,
            position,
            joined: false,
            limit: 1,
            answers: 0,
        }
    }

    /// Begins anew with a limit of one, as the target has failed or restarted again.
    pub fn restart(&mut self, now: Time, open: Time) {
        *self = Self {
            begun: self.begun,
            ..Self::new(now, open, self.position)
        };
    }

    /// Sets the number of routers that join before this one.
    pub fn set_position(&mut self, position: u32) {
        self.position = position;
    }

    /// Returns whether this router may join now. Other routers report `streaming` answers in progress
    /// at the target.
    pub fn is_turn(&self, now: Time, streaming: u32) -> bool {
        let doublings = u32::BITS - self.position.leading_zeros();
        let joining = streaming.saturating_mul(JOINS_PER_ANSWER);
        self.joined || joining >= self.position || now >= self.open + JOIN_STEP * doublings
    }

    /// Returns whether another request may be sent, beside `unanswered` ones of this router.
    pub fn has_room(&self, unanswered: u32) -> bool {
        unanswered < self.limit
    }

    /// Records that this router has sent a request to the target.
    pub fn record_send(&mut self) {
        self.joined = true;
    }

    /// Records the first byte of the answer to a request that was sent at `sent`. Returns whether slow
    /// start ends, as the limit has reached this router's `share` of the target's ordinary limit or
    /// enough answers were in time.
    pub fn record_answer(&mut self, now: Time, sent: Time, timely: bool, share: u32) -> bool {
        if sent < self.reduced {
            return false;
        }
        if timely {
            self.limit += 1;
            self.answers += 1;
        } else {
            self.limit = (self.limit / 2).max(1);
            self.reduced = now;
        }
        timely && (self.limit >= share || self.answers >= MAX_ANSWERS)
    }

    /// Records the failure of an attempt that was sent at `sent`.
    pub fn record_failure(&mut self, now: Time, sent: Time) {
        if sent >= self.reduced {
            self.restart(now, self.open.max(now));
        }
    }

    /// Returns whether slow start ends because the router has sent too few requests to find a pace.
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.open.max(self.reduced) + MAX_IDLE
    }

    /// Returns the answers in time since the last failure.
    pub fn answers(&self) -> u32 {
        self.answers
    }

    /// Returns the time since slow start began.
    pub fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.begun)
    }
}

/// Returns the number of `routers` that join before the one of a rank in the slow start of a target.
///
/// The first one is at a place among the ranks that a hash of the target gives, and the others follow in
/// the order of their ranks. Routers whose views of the fleet differ by one router thus have positions
/// that are wrong by two at most.
///
/// ```
/// use redwingyard::pool::join_position;
/// let mut positions: Vec<_> = (0..28).map(|rank| join_position(7, rank, 28)).collect();
/// positions.sort_unstable();
/// assert!(positions.into_iter().eq(0..28));
/// ```
pub fn join_position(target: Target, rank: u32, routers: usize) -> u32 {
    let routers = routers.max(1) as u64;
    let first = ((rendezvous_weight(target, 0) >> 32) * routers) >> 32;
    ((u64::from(rank) % routers + routers - first) % routers) as u32
}

//! Tracks how stale a gateway's copy of the rules and the targets may be.
//!
//! A gateway has read the store's changes up to some position. From time to time one gateway of a
//! group asks the store for its newest position and sends it to the others by gossip. If a gateway
//! has read the changes up to that position, its copy was the newest one at that time.

use std::time::Duration;

use crate::ids::{
    Position,
    Time, //
};

/// The time within which changes must arrive once a newer position is known; after it, the watch is
/// taken to be silent and is read again.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// How recent a gateway's copy of the store is known to be.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// The position up to which changes have been read.
    applied: Option<Position>,
    /// The last known time at which that was the newest position.
    confirmed: Option<Time>,
    /// A newer position that has not been read yet, with a time at which it was the newest one.
    announced: Option<(Position, Time)>,
    /// When a newer position was first observed whose changes have not arrived.
    behind: Option<Time>,
    /// Whether the newest configuration can't be read, so that the rules are not the newest.
    unreadable: bool,
}

impl Freshness {
    /// Records that the changes up to a position have been read. A position of an earlier era is
    /// ignored.
    pub fn advance(&mut self, position: Position) {
        if self
            .applied
            .is_some_and(|applied| applied.era > position.era)
        {
            return;
        }
        self.applied = Some(position);
        self.behind = None;
        if let Some((newest, at)) = self.announced.take() {
            self.observe_newest(at, newest, at);
        }
    }

    /// Records whether the newest configuration can't be read. Nothing is confirmed until one can.
    pub fn set_unreadable(&mut self, unreadable: bool) {
        self.unreadable = unreadable;
    }

    /// Returns whether the newest configuration can't be read.
    pub fn is_unreadable(&self) -> bool {
        self.unreadable
    }

    /// Records that `newest` was the store's newest position at time `at`.
    ///
    /// A position of an earlier era says nothing about this one, and is ignored. So is a time that has
    /// not come yet: nothing can have been observed then.
    pub fn observe_newest(&mut self, now: Time, newest: Position, at: Time) {
        if at > now {
            return;
        }
        match self.applied {
            Some(applied) if applied.era > newest.era => {}
            Some(applied) if applied >= newest => {
                if !self.unreadable {
                    self.confirmed = self.confirmed.max(Some(at));
                }
            }
            _ => {
                self.announced = self.announced.max(Some((newest, at)));
                self.behind.get_or_insert(now);
            }
        }
    }

    /// Returns whether changes are overdue: at once if they are those of a later era. Returns `true`
    /// once, and again only when a newer position is observed and half a second passes once
    /// more.
    pub fn take_overdue(&mut self, now: Time) -> bool {
        let applied = self.applied.map(|applied| applied.era);
        let announced = self.announced.map(|(newest, _)| newest.era);
        let timeout = match applied < announced {
            true => Duration::ZERO,
            false => CHANGE_TIMEOUT,
        };
        let overdue = self.behind.is_some_and(|since| now >= since + timeout);
        if overdue {
            self.behind = None;
        }
        overdue
    }

    /// Returns the position up to which changes have been read.
    pub fn applied(&self) -> Option<Position> {
        self.applied
    }

    /// Returns the position that has been read and the last time at which it was the newest one.
    pub fn confirmed(&self) -> Option<(Position, Time)> {
        Some((self.applied?, self.confirmed?))
    }
}

//! What is known of the caller of a connection: whether it is still there.

use std::{
    cell::Cell,
    rc::{
        Rc,
        Weak, //
    },
    time::Duration, //
};

use compio::runtime::fd::PollFd;
use derive_more::{
    Display,
    Error, //
};
use rustix::event::{
    PollFlags,
    Timespec,
    poll, //
};
use socket2::Socket;

use super::{
    Clock,
    stream::LastEmpty, //
};
use crate::ids::Time;

/// The time for which a caller that was there counts as still there, without asking the operating
/// system again.
const PRESENCE_TTL: Duration = Duration::from_millis(20);

/// The caller has closed or reset its connection, at least in its own direction.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the caller has closed its connection")]
pub(super) struct CallerGone;

/// Tells whether the caller of a connection is still there.
#[derive(Clone, Debug)]
pub(super) struct Presence {
    clock: Clock,
    socket: Weak<PollFd<Socket>>,
    last_empty: LastEmpty,
    /// When the caller was last found there by a check.
    checked: Rc<Cell<Time>>,
}

impl Presence {
    /// Returns the presence of the caller at the other end of `socket`, whose reads are recorded in
    /// `last_empty`.
    pub(super) fn new(clock: Clock, socket: Weak<PollFd<Socket>>, last_empty: LastEmpty) -> Self {
        Self {
            clock,
            socket,
            last_empty,
            checked: Rc::default(),
        }
    }

    /// Returns the last time at which the caller is known to have been there.
    pub(super) fn seen(&self) -> Time {
        self.last_empty.at().max(self.checked.get())
    }

    /// Returns whether the caller has closed its connection, also if data that it sent before is
    /// unread. The operating system is not asked within [`PRESENCE_TTL`] after the caller was there.
    pub(super) fn is_gone(&self) -> bool {
        let now = self.clock.now();
        if now.saturating_sub(self.seen()) < PRESENCE_TTL {
            return false;
        }
        let gone = self
            .socket
            .upgrade()
            .is_none_or(|socket| has_closed(&socket));
        if !gone {
            self.checked.set(now);
        }
        gone
    }
}

/// Returns whether the peer of a socket has closed or reset the connection. On an error this is not
/// known, and the peer counts as there.
fn has_closed(socket: &Socket) -> bool {
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut sockets = [rustix::event::PollFd::new(socket, PollFlags::RDHUP)];
    let polled = poll(&mut sockets, Some(&Timespec::default()));
    polled.is_ok() && sockets[0].revents().intersects(closed)
}

//! What the process holds of a caller's connection beside bodies and answers, and the limits on it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    io,
    net::IpAddr,
    rc::{
        Rc,
        Weak, //
    },
    time::Duration, //
};

use compio::runtime::fd::PollFd;
use derive_more::Display;
use futures_channel::oneshot;
use rustix::event::{
    PollFlags,
    Timespec,
    poll, //
};
use socket2::Socket;

use super::{
    Clock,
    intake::{
        GROWTH_FACTOR,
        MAX_BODY, //
    },
    open_list::OpenList, //
};
use crate::{
    ids::Time,
    pool::{
        MemoryBudget,
        Reservation, //
    }, //
};

/// The bytes that a connection may send for a request beyond [`FRAMING_FACTOR`] times its body:
/// hyper allows 16 KB each for the extensions of chunks and for trailers, and reads up to 8 KB of
/// the next request. A router also reads the head of the next request, of up to 64 KB, in it.
const FRAMING_ALLOWANCE: u64 = 128 << 10;

/// The bytes that a connection may send for each byte of a body. A chunk of one byte with a size of
/// eight digits takes 13.
const FRAMING_FACTOR: u64 = 16;

/// The time for which a connection must have been without a request to be closed for another one.
const MIN_EVICTION_AGE: Duration = Duration::from_secs(1);

/// The number of connections that are closed at a time for other ones.
const MAX_EVICTIONS: usize = 16;

/// The answer to a head that did not arrive in time.
const LATE_HEAD: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\
                           content-length: 0\r\n\r\n";

/// Why this process closes a connection of a caller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum CloseCause {
    /// The head of a request did not arrive in time.
    #[display("late-head")]
    LateHead,
    /// There was no memory for the head of a request.
    #[display("head-memory")]
    HeadMemory,
    /// The framing of a body takes far more bytes than the body.
    #[display("framing")]
    Framing,
    /// The connection had no request, and others could not be accepted.
    #[display("evicted")]
    Evicted,
}

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing of a request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// The head has arrived. The body may still arrive, and the answer is not written.
    Request,
}

/// Follows what a caller's connection sends.
#[derive(Debug)]
pub(super) struct CallerWatch {
    clock: Clock,
    address: IpAddr,
    stage: Cell<Stage>,
    /// When the stage began.
    since: Cell<Time>,
    /// The bytes of the head that have arrived.
    head: Cell<usize>,
    /// The memory of hyper's buffer beyond what is counted for each connection.
    reservation: RefCell<Reservation>,
    /// The bytes that may still arrive for the request.
    allowance: Cell<u64>,
    /// Whether a rejected body is being read.
    draining: Cell<bool>,
    answered: Cell<bool>,
    /// Why the connection is closed from here, if it is.
    cause: Cell<Option<CloseCause>>,
    /// Ends the connection's task.
    closer: RefCell<Option<oneshot::Sender<()>>>,
    socket: RefCell<Weak<PollFd<Socket>>>,
}

impl CallerWatch {
    /// Returns the watch of a new connection, and the signal by which it is closed.
    pub(super) fn new(
        clock: Clock,
        memory: &MemoryBudget,
        address: IpAddr,
    ) -> (Rc<Self>, oneshot::Receiver<()>) {
        let (closer, closed) = oneshot::channel();
        let watch = Self {
            since: Cell::new(clock.now()),
            clock,
            address,
            stage: Cell::new(Stage::Idle),
            head: Cell::default(),
            reservation: RefCell::new(memory.reserve_head()),
            allowance: Cell::default(),
            draining: Cell::default(),
            answered: Cell::default(),
            cause: Cell::default(),
            closer: RefCell::new(Some(closer)),
            socket: RefCell::default(),
        };
        (Rc::new(watch), closed)
    }

    /// Sets the socket on which a late head is answered.
    pub(super) fn set_socket(&self, socket: Weak<PollFd<Socket>>) {
        self.socket.replace(socket);
    }

    /// Returns why the connection is closed from here, if it is.
    pub(super) fn cause(&self) -> Option<CloseCause> {
        self.cause.get()
    }

    /// Records that bytes have arrived.
    ///
    /// # Errors
    ///
    /// Fails if the connection may not send so many, or there is no memory for them.
    pub(super) fn received(&self, bytes: usize) -> io::Result<()> {
        match self.stage.get() {
            Stage::Request => {
                let left = self.allowance.get().checked_sub(bytes as u64);
                let left = left.ok_or_else(|| self.fail(CloseCause::Framing))?;
                self.allowance.set(left);
            }
            stage => {
                if stage == Stage::Idle {
                    self.enter(Stage::Head);
                    self.head.set(0);
                }
                let head = self.head.get() + bytes;
                self.head.set(head);
                if !self.reservation.borrow_mut().grow(GROWTH_FACTOR * head) {
                    return Err(self.fail(CloseCause::HeadMemory));
                }
            }
        }
        Ok(())
    }

    /// Records that a head was read whole. Its memory is held until the request is answered, as its
    /// fields are parts of the buffer.
    pub(super) fn begin_request(&self) {
        self.enter(Stage::Request);
        self.answered.set(false);
        self.allowance.set(FRAMING_ALLOWANCE);
    }

    /// Records that bytes of a body have arrived, without their framing.
    pub(super) fn received_body(&self, bytes: usize) {
        let more = FRAMING_FACTOR.saturating_mul(bytes as u64);
        self.allowance
            .set(self.allowance.get().saturating_add(more));
    }

    /// Records that the whole answer is written.
    pub(super) fn end_answer(&self) {
        self.answered.set(true);
        self.end_request();
    }

    /// Records that the body of a rejected request is read and dropped, or no longer.
    pub(super) fn set_draining(&self, draining: bool) {
        self.draining.set(draining);
        match draining {
            true => self.allowance.set(FRAMING_ALLOWANCE + MAX_BODY as u64),
            false => self.end_request(),
        }
    }

    fn end_request(&self) {
        let ended = self.answered.get() && !self.draining.get();
        if ended && self.stage.get() == Stage::Request {
            self.enter(Stage::Idle);
            self.reservation.borrow_mut().resize(0);
        }
    }

    fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(self.clock.now());
    }

    #[cold]
    fn fail(&self, cause: CloseCause) -> io::Error {
        self.cause.set(Some(cause));
        io::ErrorKind::ConnectionAborted.into()
    }

    /// Ends the connection, unless there is something to read: then this process is late, not the
    /// caller.
    fn close(&self, cause: CloseCause) {
        let socket = self.socket.borrow().upgrade();
        let Some(socket) = socket.filter(|socket| !has_unread(socket)) else {
            return;
        };
        if let Some(closer) = self.closer.take() {
            self.cause.set(Some(cause));
            if cause == CloseCause::LateHead {
                // Fails if the caller has gone, which needs no action.
                let _ = socket.send(LATE_HEAD);
            }
            // Fails only if the connection has ended already.
            let _ = closer.send(());
        }
    }
}

/// Returns whether data or an end waits to be read from a socket. On an error this is not known, and
/// counts as yes.
fn has_unread(socket: &Socket) -> bool {
    let mut sockets = [rustix::event::PollFd::new(socket, PollFlags::IN)];
    !matches!(poll(&mut sockets, Some(&Timespec::default())), Ok(0))
}

/// The watches of all connections of callers.
#[derive(Debug, Default)]
pub(super) struct CallerWatches(RefCell<OpenList<Weak<CallerWatch>>>);

impl CallerWatches {
    pub(super) fn push(&self, watch: &Rc<CallerWatch>) {
        let mut watches = self.0.borrow_mut();
        watches.push(Rc::downgrade(watch), |open| open.strong_count() > 0);
    }

    /// Returns the connections that are in a stage since `age` or longer.
    fn aged(
        &self,
        now: Time,
        age: Duration,
        is_in: impl Fn(Stage) -> bool,
    ) -> Vec<Rc<CallerWatch>> {
        let watches = self.0.borrow();
        let open = watches.iter().filter_map(Weak::upgrade);
        open.filter(|watch| is_in(watch.stage.get()) && now >= watch.since.get() + age)
            .collect()
    }

    /// Closes the connections whose heads have taken longer than `limit`.
    pub(super) fn close_late_heads(&self, now: Time, limit: Duration) {
        for watch in self.aged(now, limit, |stage| stage == Stage::Head) {
            watch.close(CloseCause::LateHead);
        }
    }

    /// Closes some connections that have had no request for a while, so that others can be accepted:
    /// those of the address with the most of them, the oldest first.
    pub(super) fn evict(&self, now: Time) {
        let mut idle = self.aged(now, MIN_EVICTION_AGE, |stage| stage != Stage::Request);
        let mut counts = HashMap::<_, usize>::new();
        for watch in &idle {
            *counts.entry(watch.address).or_default() += 1;
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        let Some((address, _)) = most else {
            return;
        };
        idle.retain(|watch| watch.address == address);
        idle.sort_by_key(|watch| watch.since.get());
        for watch in idle.into_iter().take(MAX_EVICTIONS) {
            watch.close(CloseCause::Evicted);
        }
    }
}

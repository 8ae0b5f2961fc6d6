//! A TCP connection with the reading and writing traits of hyper.
//!
//! `cyper_core::HyperStream` does the same with an additional buffer for each direction. A gateway
//! has thousands of connections and little memory, so this type uses only hyper's own buffers.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    fmt,
    io::{
        self,
        IoSlice, //
    },
    net::Shutdown,
    pin::Pin,
    rc::{
        Rc,
        Weak, //
    },
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration, //
};

use compio::{
    net::TcpStream,
    runtime::fd::PollFd, //
};
use hyper::rt::{
    Read,
    ReadBufCursor,
    Write, //
};
use socket2::Socket;

use super::{
    Clock,
    caller_watch::CallerWatch, //
};
use crate::{
    ids::Time,
    pool::TargetConnectionGuard, //
};

/// The number of successive successful reads after which the connection yields to other tasks, so
/// that a peer that sends without a pause cannot occupy the event loop.
const MAX_SUCCESSIVE_READS: u32 = 4;

/// The time at which a read last found a connection's receive queue empty.
#[derive(Clone, Debug)]
pub(super) struct LastEmpty {
    clock: Clock,
    at: Rc<Cell<Time>>,
}

impl LastEmpty {
    /// Starts with `at`, a time before which no data can have arrived.
    pub(super) fn new(clock: Clock, at: Time) -> Self {
        let at = Rc::new(Cell::new(at));
        Self { clock, at }
    }

    /// Returns the time at which the receive queue was last found empty.
    pub(super) fn at(&self) -> Time {
        self.at.get()
    }

    /// Records that the receive queue is empty now.
    fn record(&self) {
        self.at.set(self.clock.now());
    }
}

/// A connection that has no buffers of its own.
#[derive(Debug)]
pub(super) struct Stream {
    socket: Rc<PollFd<Socket>>,
    /// The number of reads that succeeded since the connection last yielded.
    read_streak: u32,
    /// Where to record that the receive queue was found empty, if anywhere.
    last_empty: Option<LastEmpty>,
    /// The largest number of bytes of one read.
    max_read: usize,
    /// Called when all bytes that were passed to the connection are written.
    on_flush: Option<FlushHook>,
    /// Decides about the next write.
    gate: WriteGate,
    /// Limits what a caller sends, if the peer is one.
    watch: Option<Rc<CallerWatch>>,
    /// Counts the connection until it is closed, if the peer is a target.
    _counted: Option<TargetConnectionGuard>,
}

/// A function that is called after each flush.
struct FlushHook(Box<dyn Fn()>);

impl fmt::Debug for FlushHook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FlushHook")
    }
}

/// Decides, at the moment of a write, whether it is still wanted.
#[derive(Clone, Default)]
pub(super) struct WriteGate(Rc<GateState>);

#[derive(Default)]
struct GateState {
    /// Tells whether the next write is still wanted; taken by that write.
    condition: RefCell<Option<Box<dyn Fn() -> bool>>>,
    refused: Cell<bool>,
}

impl WriteGate {
    /// Makes the next write fail, with no byte written, unless `is_wanted` holds when it is made.
    pub(super) fn set(&self, is_wanted: impl Fn() -> bool + 'static) {
        self.0.condition.replace(Some(Box::new(is_wanted)));
    }

    /// Returns whether a write was refused.
    pub(super) fn has_refused(&self) -> bool {
        self.0.refused.get()
    }

    fn check(&self) -> io::Result<()> {
        let condition = self.0.condition.take();
        if condition.is_none_or(|is_wanted| is_wanted()) {
            return Ok(());
        }
        self.0.refused.set(true);
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

impl fmt::Debug for WriteGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WriteGate")
            .field("refused", &self.0.refused)
            .finish_non_exhaustive()
    }
}

impl Stream {
    pub(super) fn new(stream: TcpStream) -> io::Result<Self> {
        let socket = Rc::new(stream.into_poll_fd()?);
        Ok(Self {
            socket,
            read_streak: 0,
            last_empty: None,
            max_read: usize::MAX,
            on_flush: None,
            gate: WriteGate::default(),
            watch: None,
            _counted: None,
        })
    }

    /// Limits each read to `max_read` bytes. hyper enlarges its buffer after a read that fills it,
    /// up to the largest size of a head; without this limit it would do so for each body.
    pub(super) fn with_max_read(self, max_read: usize) -> Self {
        Self { max_read, ..self }
    }

    /// Counts the connection in a memory budget until it is closed.
    pub(super) fn counted(self, counted: Option<TargetConnectionGuard>) -> Self {
        Self {
            _counted: counted,
            ..self
        }
    }

    /// Limits what the peer sends.
    pub(super) fn with_watch(self, watch: Rc<CallerWatch>) -> Self {
        watch.set_socket(self.socket());
        Self {
            watch: Some(watch),
            ..self
        }
    }

    /// Calls `hook` whenever all bytes that were passed to the connection are written.
    pub(super) fn on_flush(mut self, hook: impl Fn() + 'static) -> Self {
        self.on_flush = Some(FlushHook(Box::new(hook)));
        self
    }

    /// Returns a guard that shuts the connection down at the moment it is dropped, although the
    /// task of the connection may not run for some time.
    pub(super) fn shutdown_guard(&self) -> ShutdownGuard {
        ShutdownGuard(Rc::downgrade(&self.socket))
    }

    /// Returns the gate of this connection's writes.
    pub(super) fn write_gate(&self) -> WriteGate {
        self.gate.clone()
    }

    /// Returns the socket, for as long as the connection is open.
    pub(super) fn socket(&self) -> Weak<PollFd<Socket>> {
        Rc::downgrade(&self.socket)
    }

    /// Returns a handle that chooses how the connection ends.
    pub(super) fn reset_handle(&self) -> ResetHandle {
        ResetHandle(Rc::downgrade(&self.socket))
    }

    /// Records from now on when a read finds the receive queue empty.
    pub(super) fn record_empty(mut self, last_empty: LastEmpty) -> Self {
        self.last_empty = Some(last_empty);
        self
    }
}

/// Shuts a connection down in both directions when it is dropped.
#[derive(Debug)]
pub(super) struct ShutdownGuard(Weak<PollFd<Socket>>);

impl Drop for ShutdownGuard {
    fn drop(&mut self) {
        if let Some(socket) = self.0.upgrade() {
            // Fails if the peer has already closed the connection, which needs no action.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

/// Chooses how a connection ends, so that a caller can tell the end of an answer from a break where
/// nothing else says so.
#[derive(Clone, Debug)]
pub(super) struct ResetHandle(Weak<PollFd<Socket>>);

impl ResetHandle {
    /// Makes the connection end with a reset, also if this process is killed.
    pub(super) fn arm(&self) {
        self.set_linger(Some(Duration::ZERO));
    }

    /// Makes the connection end in order again.
    pub(super) fn disarm(&self) {
        self.set_linger(None);
    }

    fn set_linger(&self, linger: Option<Duration>) {
        if let Some(socket) = self.0.upgrade() {
            // Fails if the peer has already closed the connection, which needs no action.
            let _ = socket.set_linger(linger);
        }
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_streak >= MAX_SUCCESSIVE_READS {
            self.read_streak = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        // SAFETY: `recv` only writes to the buffer and never de-initializes any part of it.
        let space = unsafe { buf.as_mut() };
        let length = self.max_read.min(space.len());
        let space = &mut space[..length];
        let polled = self.socket.poll_read_with(cx, |socket| socket.recv(space));
        self.read_streak = match polled {
            Poll::Ready(_) => self.read_streak + 1,
            Poll::Pending => 0,
        };
        if let (Poll::Pending, Some(last_empty)) = (&polled, &self.last_empty) {
            last_empty.record();
        }
        let read = ready!(polled)?;
        if let (Some(watch), 1..) = (&self.watch, read) {
            watch.received(read)?;
        }
        // SAFETY: `recv` has initialized `read` bytes.
        unsafe { buf.advance(read) };
        Poll::Ready(Ok(()))
    }
}

impl Write for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        self.socket.poll_write_with(cx, |socket| socket.send(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        self.socket
            .poll_write_with(cx, |socket| socket.send_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(FlushHook(hook)) = &self.on_flush {
            hook();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.socket.shutdown(Shutdown::Write) {
            Err(err) if err.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            result => Poll::Ready(result),
        }
    }
}

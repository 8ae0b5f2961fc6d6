//! A connection as hyper reads and writes it.
//!
//! `cyper_core::HyperStream` does the same through a buffer for each direction; a gateway has
//! thousands of connections in little memory, so here hyper's own buffers are the only ones.

use std::{
    cell::Cell,
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
    }, //
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

use super::Clock;
use crate::ids::Time;

/// The reads that succeed one after another before other tasks have their turn: a peer that sends
/// without end must not keep the process to itself.
const MAX_STREAK: u32 = 16;

/// When a connection was last found to have nothing to read.
#[derive(Clone, Debug)]
pub(super) struct LastEmpty {
    clock: Clock,
    at: Rc<Cell<Time>>,
}

impl LastEmpty {
    /// Starts with the time before which nothing can have arrived.
    pub(super) fn new(clock: Clock, at: Time) -> Self {
        let at = Rc::new(Cell::new(at));
        Self { clock, at }
    }

    /// Returns the time.
    pub(super) fn at(&self) -> Time {
        self.at.get()
    }

    fn note(&self) {
        self.at.set(self.clock.now());
    }
}

/// A connection without buffers of its own.
#[derive(Debug)]
pub(super) struct Stream {
    socket: Rc<PollFd<Socket>>,
    /// The reads that have succeeded one after another.
    streak: u32,
    drained: Option<LastEmpty>,
    /// The most bytes of one read.
    most: usize,
}

impl Stream {
    /// Wraps a connection.
    pub(super) fn new(stream: TcpStream) -> io::Result<Self> {
        let socket = Rc::new(stream.into_poll_fd()?);
        Ok(Self {
            socket,
            streak: 0,
            drained: None,
            most: usize::MAX,
        })
    }

    /// Takes at most so many bytes with one read: hyper's buffer grows with what a read brings, up
    /// to the largest head, and would do so for each body.
    pub(super) fn with_max_read(self, most: usize) -> Self {
        Self { most, ..self }
    }

    /// Returns what ends the connection while its task still waits for its turn.
    pub(super) fn shutdown_guard(&self) -> ShutdownGuard {
        ShutdownGuard(Rc::downgrade(&self.socket))
    }

    /// Notes from now on when there is nothing to read.
    pub(super) fn record_empty(mut self, drained: LastEmpty) -> Self {
        self.drained = Some(drained);
        self
    }
}

/// Ends a connection when it is dropped.
#[derive(Debug)]
pub(super) struct ShutdownGuard(Weak<PollFd<Socket>>);

impl Drop for ShutdownGuard {
    fn drop(&mut self) {
        if let Some(socket) = self.0.upgrade() {
            // A connection that the peer has ended needs no more.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.streak >= MAX_STREAK {
            self.streak = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        // SAFETY: `recv` only writes to the buffer, and never makes it uninitialized.
        let space = unsafe { buf.as_mut() };
        let most = self.most.min(space.len());
        let space = &mut space[..most];
        let polled = self.socket.poll_read_with(cx, |socket| socket.recv(space));
        self.streak = match polled {
            Poll::Ready(_) => self.streak + 1,
            Poll::Pending => 0,
        };
        if let (Poll::Pending, Some(drained)) = (&polled, &self.drained) {
            drained.note();
        }
        let read = ready!(polled)?;
        // SAFETY: `recv` has initialized that many bytes.
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
        self.socket.poll_write_with(cx, |socket| socket.send(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket
            .poll_write_with(cx, |socket| socket.send_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.socket.shutdown(Shutdown::Write) {
            Err(err) if err.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            result => Poll::Ready(result),
        }
    }
}

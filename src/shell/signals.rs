//! Signals that a process handles until it ends.

use std::{
    future::{
        Future,
        ready, //
    },
    io,
    pin::Pin,
    task::{
        Context,
        Poll,
        Waker, //
    }, //
};

use compio::signal::unix::signal;

type Listener = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Receives a signal again and again.
///
/// compio restores the default action of a signal, which ends the process, whenever no listener is
/// left. A value of this type keeps one until it is dropped.
///
/// ```
/// use redwingyard::shell::Signals;
/// const SIGHUP: i32 = 1;
/// let signals = Signals::new(SIGHUP);
/// assert!(signals.is_ok());
/// ```
pub struct Signals {
    signal: i32,
    /// Receives the next signal.
    next: Listener,
    /// Holds the handler between two listeners; never polled again.
    _holder: Listener,
}

impl Signals {
    /// Begins to receive a signal.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be handled.
    pub fn new(signal: i32) -> io::Result<Self> {
        Ok(Self {
            signal,
            next: listen(signal)?,
            _holder: hold(signal)?,
        })
    }

    /// Waits for the next signal. Signals that arrive before the last one was received count once.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be handled any more.
    pub async fn receive(&mut self) -> io::Result<()> {
        self.next.as_mut().await?;
        self.next = listen(self.signal)?;
        Ok(())
    }
}

/// Returns a listener for a signal, whose handler is installed.
fn listen(number: i32) -> io::Result<Listener> {
    // A signal that has arrived already is one that the listener has received.
    let received = || -> Listener { Box::pin(ready(Ok(()))) };
    Ok(install(number)?.unwrap_or_else(received))
}

/// Returns a listener that keeps the handler of a signal installed.
fn hold(number: i32) -> io::Result<Listener> {
    loop {
        if let Some(listener) = install(number)? {
            return Ok(listener);
        }
    }
}

/// Installs the handler of a signal. Returns its listener, or `None` if a signal has arrived since.
fn install(number: i32) -> io::Result<Option<Listener>> {
    let mut listener: Listener = Box::pin(signal(number));
    // The first poll installs the handler. A listener that is ready must not be polled again.
    match listener
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()))
    {
        Poll::Ready(received) => received.map(|()| None),
        Poll::Pending => Ok(Some(listener)),
    }
}

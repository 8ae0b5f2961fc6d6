//! What a caller gets.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use derive_more::Display;

use crate::wire::{
    End,
    Head, //
};

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Ran {
    /// It did not run and never will.
    #[display("no")]
    No,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// It ran; its answer is no longer held.
    #[display("yes")]
    Yes,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Cause {
    /// The account has too many requests waiting.
    #[display("queue-full")]
    QueueFull,
    /// The request could not be started before its deadline.
    #[display("deadline")]
    Deadline,
    /// The wait would be longer than the deadline.
    #[display("overload")]
    Overload,
    /// The router has no memory for the body.
    #[display("no-memory")]
    NoMemory,
    /// The router is shutting down.
    #[display("draining")]
    Draining,
    /// The target failed or was lost while the request ran.
    #[display("target-lost")]
    TargetLost,
    /// The answer did not begin before the deadline.
    #[display("timeout")]
    Timeout,
    /// The idempotency key belongs to another request.
    #[display("key-reused")]
    KeyReused,
    /// The idempotency key has run.
    #[display("key-done")]
    KeyDone,
    /// The idempotency key may have run.
    #[display("key-unknown")]
    KeyUnknown,
    /// A request with the same idempotency key is running.
    #[display("key-running")]
    KeyRunning,
}

/// A truthful refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// Whether the request ran.
    pub ran: Ran,
    /// When the caller may come back.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// Returns the HTTP status.
    ///
    /// ```
    /// use redwingyard::router::{Cause, Ran, Refusal};
    /// let refusal = Refusal { cause: Cause::QueueFull, ran: Ran::No, retry: None };
    /// assert_eq!(refusal.status(), 429);
    /// ```
    pub fn status(&self) -> u16 {
        match self.cause {
            Cause::QueueFull => 429,
            Cause::Deadline | Cause::Overload | Cause::NoMemory | Cause::Draining => 503,
            Cause::TargetLost => 502,
            Cause::Timeout => 504,
            Cause::KeyReused => 422,
            Cause::KeyDone | Cause::KeyUnknown | Cause::KeyRunning => 409,
        }
    }
}

/// A piece of what a caller gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Status and header fields.
    Head(Rc<Head>),
    /// Bytes of the body.
    Data(Bytes),
    /// The whole answer has been sent.
    End(Rc<End>),
    /// There is no answer.
    Refuse(Refusal),
    /// The answer broke off; the caller must see that it is not whole.
    Break,
}

//! Replies to callers: answers and refusals.

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
    /// It ran, and its answer is no longer stored.
    #[display("yes")]
    Yes,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Cause {
    /// The queues of the account or of the router are full.
    #[display("queue-full")]
    QueueFull,
    /// The request was not dispatched before its deadline.
    #[display("deadline")]
    Deadline,
    /// The expected wait in the queue exceeds the request's timeout.
    #[display("overload")]
    Overload,
    /// The router has no memory left for the request's body.
    #[display("no-memory")]
    NoMemory,
    /// The router is shutting down.
    #[display("draining")]
    Draining,
    /// The target failed, or the link to its sidecar was lost, while the request may have
    /// run.
    #[display("target-lost")]
    TargetLost,
    /// The answer did not begin before the deadline.
    #[display("timeout")]
    Timeout,
    /// The idempotency key belongs to another request.
    #[display("key-reused")]
    KeyReused,
    /// A request with the same idempotency key has run, and its answer is no longer stored.
    #[display("key-done")]
    KeyDone,
    /// A request with the same idempotency key may have run.
    #[display("key-unknown")]
    KeyUnknown,
    /// A request with the same idempotency key is running.
    #[display("key-running")]
    KeyRunning,
}

/// A refusal, with what is known about the request's execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub cause: Cause,
    /// Whether the request ran.
    pub ran: Ran,
    /// The time after which the caller may retry, if a retry can succeed.
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

/// A piece of the reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Status and header fields.
    Head(Rc<Head>),
    /// Bytes of the body.
    Data(Bytes),
    /// The end of the answer.
    End(Rc<End>),
    /// A refusal in place of an answer.
    Refuse(Refusal),
    /// The answer was broken off; the caller's connection must show that it is incomplete.
    Break,
}

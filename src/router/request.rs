//! A request and its attempts.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;

use crate::{
    ids::{
        Account,
        Incarnation,
        Service,
        Target,
        Time, //
    },
    wire::{
        Head,
        IdempotencyKey, //
    }, //
};

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The client account.
    pub account: Account,
    /// The service.
    pub service: Service,
    /// Method, path and header fields.
    pub head: Rc<Head>,
    /// The body.
    pub body: Bytes,
    /// The rules line that makes it non-idempotent.
    pub write: Option<usize>,
    /// The idempotency key.
    pub bid: Option<IdempotencyKey>,
    /// The hash of the conversation that it continues.
    pub conversation: Option<u64>,
    /// The longest time to the first byte of the answer.
    pub limit: Duration,
}

/// An attempt that a sidecar has been sent.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) target: Target,
    pub(super) incarnation: Incarnation,
    pub(super) stamp: u64,
    pub(super) lost: Option<Time>,
    pub(super) acked: u64,
}

/// Where a request is.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// It waits in its account's queue.
    Queued,
    /// It waits for a moment before it is queued again.
    Delayed,
    /// A sidecar has it.
    Flying(Flight),
}

/// A request from its arrival to its last byte.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) ask: Ask,
    pub(super) arrived: Time,
    pub(super) attempt: u32,
    pub(super) stage: Stage,
    /// Whether an earlier attempt may have run.
    pub(super) doubtful: bool,
    pub(super) started: bool,
    pub(super) received: u64,
    pub(super) taken: u64,
    pub(super) wake: Time,
}

impl Request {
    pub(super) fn deadline(&self) -> Time {
        self.arrived + self.ask.limit
    }

    /// Returns the key by which its target must be chosen.
    pub(super) fn key(&self) -> Option<u64> {
        self.ask.bid.map(|bid| bid.key as u64)
    }
}

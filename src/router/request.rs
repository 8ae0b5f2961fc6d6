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

/// A caller's request as the router receives it.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The client account.
    pub account: Account,
    /// The service.
    pub service: Service,
    /// Method, path and header fields.
    pub head: Rc<Head>,
    /// The body.
    pub body: Bytes,
    /// The rules line that makes the request non-idempotent, if one does.
    pub write: Option<usize>,
    /// The idempotency key.
    pub key: Option<IdempotencyKey>,
    /// The hash of the conversation that the request continues.
    pub conversation: Option<u64>,
    /// What is left, now that its body is read, of the time to the first byte of the answer.
    pub timeout: Duration,
}

/// An attempt that was dispatched to a sidecar.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) target: Target,
    pub(super) incarnation: Incarnation,
    /// The sidecar's clock when it offered or granted the slot, in milliseconds.
    pub(super) stamp: u64,
    /// When the link to the sidecar was lost, unless it is up.
    pub(super) lost: Option<Time>,
    /// The body bytes acknowledged to the sidecar.
    pub(super) acked: u64,
}

#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// It waits in its account's queue.
    Queued,
    /// It waits for its timer before it is queued again.
    Delayed,
    /// An attempt was dispatched to a sidecar.
    Dispatched(Attempt),
}

/// The state of a request from its arrival to the end of its answer.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) spec: RequestSpec,
    pub(super) arrived: Time,
    pub(super) attempt: u32,
    pub(super) stage: Stage,
    /// Whether an earlier attempt may have run.
    pub(super) maybe_ran: bool,
    /// Whether the head of the answer was passed to the caller.
    pub(super) started: bool,
    /// The body bytes received from the sidecar in this attempt.
    pub(super) received: u64,
    /// The body bytes that the caller has read.
    pub(super) consumed: u64,
    /// When the request's timer is due.
    pub(super) timer: Time,
}

impl Request {
    /// Returns the time by which the answer must begin.
    pub(super) fn deadline(&self) -> Time {
        self.arrived + self.spec.timeout
    }

    /// Returns the part of the idempotency key that determines the owner: the only target that
    /// may run the request.
    pub(super) fn owner_key(&self) -> Option<u64> {
        self.spec.key.map(|key| key.key as u64)
    }
}

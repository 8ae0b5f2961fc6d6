//! The log lines of a router.

use std::sync::Arc;

use derive_more::Display;

use super::{
    Cause,
    Ran, //
};
use crate::wire::{
    AttemptId,
    Reason, //
};

/// A decision of a router, written as one line of key=value pairs.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Event {
    /// A request was dispatched to a target.
    #[display(
        "event=route request={id} account={account} target={target} why={why} \
         waited_us={waited} share_line={share} write_line={write}"
    )]
    Route {
        /// The attempt.
        id: AttemptId,
        /// The account.
        account: Arc<str>,
        /// The target.
        target: Arc<str>,
        /// What allowed the dispatch: `grant` or `offer`.
        why: &'static str,
        /// The time from the request's arrival to its dispatch, in microseconds.
        waited: u128,
        /// The rules line that gives the account its share, or zero.
        share: usize,
        /// The rules line that makes the request non-idempotent, or zero.
        write: usize,
    },
    /// A sidecar refused an attempt.
    #[display("event=return request={id} target={target} reason={reason}")]
    Return {
        /// The attempt.
        id: AttemptId,
        /// The target.
        target: Arc<str>,
        /// Why the sidecar refused it.
        reason: Reason,
    },
    /// An idempotent request is retried after an attempt with an unknown outcome.
    #[display("event=retry request={id} target={target}")]
    Retry {
        /// The attempt that was lost.
        id: AttemptId,
        /// The target to which it was dispatched.
        target: Arc<str>,
    },
    /// A sidecar was asked to send an answer from an offset, after a new link or missing bytes.
    #[display("event=resume request={id} target={target} offset={offset}")]
    Resume {
        /// The attempt.
        id: AttemptId,
        /// The target.
        target: Arc<str>,
        /// The body bytes passed to the caller so far.
        offset: u64,
    },
    /// A request was refused.
    #[display("event=refuse request={id} account={account} cause={cause} ran={ran}")]
    Refuse {
        /// The last attempt.
        id: AttemptId,
        /// The account.
        account: Arc<str>,
        /// Why the request was refused.
        cause: Cause,
        /// Whether the request ran.
        ran: Ran,
    },
    /// An answer was broken off after it had begun.
    #[display("event=break request={id} received={received}")]
    Break {
        /// The attempt.
        id: AttemptId,
        /// The body bytes passed to the caller.
        received: u64,
    },
    /// An answer is complete.
    #[display("event=done request={id} bytes={bytes} took_us={took}")]
    Done {
        /// The attempt.
        id: AttemptId,
        /// The length of the answer's body.
        bytes: u64,
        /// The time from the request's arrival to the end of the answer, in microseconds.
        took: u128,
    },
}

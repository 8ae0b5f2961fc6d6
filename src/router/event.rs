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

/// What a router decided, as one line of key=value pairs.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Event {
    /// A request was handed to a target.
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
        /// `grant` or `offer`.
        why: &'static str,
        /// The time since its arrival in microseconds.
        waited: u128,
        /// The rules line that gives the account its share, or zero.
        share: usize,
        /// The rules line that makes it non-idempotent, or zero.
        write: usize,
    },
    /// A sidecar sent an attempt back.
    #[display("event=return request={id} target={target} reason={reason}")]
    Return {
        /// The attempt.
        id: AttemptId,
        /// The target.
        target: Arc<str>,
        /// Why.
        reason: Reason,
    },
    /// An idempotent request whose outcome is unknown is tried again.
    #[display("event=retry request={id} target={target}")]
    Retry {
        /// The attempt that was lost.
        id: AttemptId,
        /// The target that had it.
        target: Arc<str>,
    },
    /// An attempt was asked about on a new link.
    #[display("event=resume request={id} target={target} offset={offset}")]
    Resume {
        /// The attempt.
        id: AttemptId,
        /// The target.
        target: Arc<str>,
        /// The body bytes that the caller has.
        offset: u64,
    },
    /// A request was refused.
    #[display("event=refuse request={id} account={account} cause={cause} ran={ran}")]
    Refuse {
        /// The last attempt.
        id: AttemptId,
        /// The account.
        account: Arc<str>,
        /// Why.
        cause: Cause,
        /// Whether it ran.
        ran: Ran,
    },
    /// An answer broke off after its first bytes.
    #[display("event=break request={id} received={received}")]
    Break {
        /// The attempt.
        id: AttemptId,
        /// The body bytes that the caller has.
        received: u64,
    },
    /// An answer is complete.
    #[display("event=done request={id} bytes={bytes} took_us={took}")]
    Done {
        /// The attempt.
        id: AttemptId,
        /// The length of its body.
        bytes: u64,
        /// The time since its arrival in microseconds.
        took: u128,
    },
}

//! The log lines of a sidecar.

use std::sync::Arc;

use derive_more::Display;

use crate::{
    ids::{
        Incarnation,
        Router,
        Usage, //
    },
    wire::{
        AttemptId,
        Reason, //
    }, //
};

/// What a sidecar decided, as one line of key=value pairs.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Event {
    /// A slot was granted to the account with the least service.
    #[display("event=grant grant={grant} account={account} router={router:08x} usage={usage}")]
    Grant {
        /// The grant.
        grant: u64,
        /// The account.
        account: Arc<str>,
        /// The router where its request waits.
        router: Router,
        /// The account's usage.
        usage: Usage,
    },
    /// An attempt was admitted.
    #[display("event=admit request={id} account={account} via={via}")]
    Admit {
        /// The attempt.
        id: AttemptId,
        /// The account.
        account: Arc<str>,
        /// `grant` or `offer`.
        via: &'static str,
    },
    /// An attempt was refused.
    #[display("event=refuse request={id} reason={reason}")]
    Refuse {
        /// The attempt.
        id: AttemptId,
        /// Why.
        reason: Reason,
    },
    /// The target failed.
    #[display("event=target-failed request={id} slots={slots}")]
    Failed {
        /// The attempt.
        id: AttemptId,
        /// The limit that is left.
        slots: u32,
    },
    /// A router that has backlog was looked for.
    #[display("event=seek router={router:08x}")]
    Seek {
        /// The router.
        router: Router,
    },
    /// A router went away and its idempotent attempts were aborted.
    #[display("event=orphan router-incarnation={incarnation:x} aborted={aborted}")]
    Orphan {
        /// The router's incarnation.
        incarnation: Incarnation,
        /// The attempts.
        aborted: usize,
    },
}

//! The log events of a sidecar.

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

/// A decision of a sidecar, displayed as one log line of key=value pairs.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Event {
    /// A slot was granted to the account with the least usage.
    #[display("event=grant grant={grant} account={account} router={router:08x} usage={usage}")]
    Grant {
        /// The number of the grant.
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
        /// Whether the dispatch used a `grant` or an `offer`.
        via: &'static str,
    },
    /// An attempt was refused.
    #[display("event=refuse request={id} reason={reason}")]
    Refuse {
        /// The attempt.
        id: AttemptId,
        /// The reason.
        reason: Reason,
    },
    /// The target could not be reached or failed while an attempt ran.
    #[display("event=target-failed request={id} slots={slots}")]
    Failed {
        /// The attempt.
        id: AttemptId,
        /// The number of slots that may be filled now.
        slots: u32,
    },
    /// The sidecar links to another router that has backlog.
    #[display("event=seek router={router:08x}")]
    Seek {
        /// The router.
        router: Router,
    },
    /// Idempotent attempts were aborted because their router has been lost.
    #[display("event=orphan router-incarnation={incarnation:x} aborted={aborted}")]
    Orphan {
        /// The router's incarnation.
        incarnation: Incarnation,
        /// The number of attempts.
        aborted: usize,
    },
}

//! The messages between routers and sidecars, and between routers.

use std::rc::Rc;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::{
    Account,
    Generation,
    Incarnation,
    Router,
    Sequence,
    Service,
    Target,
    Usage, //
};

/// The identifier of one attempt of a request; each retry has its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The incarnation of the router that has the caller's connection.
    pub incarnation: Incarnation,
    /// The sequence number that the router has given the request.
    pub sequence: Sequence,
    /// The number of the attempt, counted from one.
    pub attempt: u32,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:x}.{}.{}",
            self.incarnation, self.sequence, self.attempt
        )
    }
}

data! {
    /// The version of the rules that a process has in force.
    #[derive(Copy, Default)]
    pub struct RulesVersion {
        /// The generation number in the rules file.
        pub generation: Generation,
        /// The digest of the rules file's text.
        pub digest: u64,
    }

    /// The replacement of consecutive lines.
    pub struct Edit {
        /// The first line that is removed, counted from zero.
        pub line: u32,
        /// The number of lines that are removed.
        pub removed: u32,
        /// The text of the lines that are inserted in their place.
        pub inserted: String,
    }

    /// The changes from one version of the rules text to the next.
    pub struct Patch {
        /// The version that the changes apply to.
        pub base: RulesVersion,
        /// The changes in order.
        pub edits: Vec<Edit>,
    }

    /// The process at the other end of a link.
    #[derive(Copy)]
    pub enum Peer {
        /// A sidecar.
        Sidecar {
            /// The target that it runs beside.
            target: Target,
            /// The target's service.
            service: Service,
        },
        /// A router.
        Router {
            /// The router.
            router: Router,
        },
    }

    /// The content of the first message of each side of a link.
    #[derive(Copy)]
    pub struct Hello {
        /// The sender.
        pub peer: Peer,
        /// The sender's incarnation.
        pub incarnation: Incarnation,
        /// The version of the rules that the sender has in force.
        pub version: RulesVersion,
    }

    /// The status and header fields of a request or a response.
    pub struct Head {
        /// The status of a response, or zero for a request.
        pub status: u16,
        /// The method of a request; empty for a response.
        pub method: String,
        /// The path and query of a request; empty for a response.
        pub path: String,
        /// The header fields in their original order.
        pub fields: Vec<(String, Bytes)>,
    }

    /// The end of a response.
    pub struct End {
        /// The length of the whole body in bytes.
        pub length: u64,
        /// The trailer fields.
        pub trailers: Vec<(String, Bytes)>,
    }

    /// An attempt of a request that a router sends to a sidecar.
    pub struct Dispatch {
        /// The attempt.
        pub id: AttemptId,
        /// The incarnation of the sidecar that sent the grant or the offer.
        pub incarnation: Incarnation,
        /// The time of that grant or offer on the sidecar's clock, in milliseconds.
        pub stamp: u64,
        /// The grant that the attempt uses, or zero if it uses an offer.
        pub grant: u64,
        /// The client account.
        pub account: Account,
        /// Whether the request is non-idempotent.
        pub write: bool,
        /// The request's idempotency key, if it has one.
        pub key: Option<IdempotencyKey>,
        /// The generation of the rules by which the router chose the target.
        pub generation: Generation,
        /// The method, path and header fields.
        pub head: Rc<Head>,
        /// The request body.
        pub body: Bytes,
    }

    /// A request's idempotency key, in the form that sidecars compare.
    #[derive(Copy)]
    pub struct IdempotencyKey {
        /// The hash of the key and its client account.
        pub key: u128,
        /// The time of issue that the key contains, in milliseconds since the Unix epoch; none for
        /// a key without one.
        pub issued: Option<u64>,
        /// The hash of the request, which tells a repetition from another request with the same
        /// key.
        pub fingerprint: u64,
    }

    /// A part of a response.
    pub struct Chunk {
        /// The attempt that the response belongs to.
        pub id: AttemptId,
        /// The position of `data` in the body.
        pub offset: u64,
        /// The status and header fields, in the first chunk only.
        pub head: Option<Rc<Head>>,
        /// Bytes of the body.
        pub data: Bytes,
        /// The end of the response, in the last chunk only.
        pub end: Option<Rc<End>>,
    }

    /// The reason for which a sidecar sends no response to an attempt.
    #[derive(Copy, PartialOrd, Ord, derive_more::Display)]
    pub enum Reason {
        /// All slots of the target were taken; the attempt did not run.
        #[display("busy")]
        Busy,
        /// The target is leaving or draining; the attempt did not run.
        #[display("leaving")]
        Leaving,
        /// Its grant or offer came from another incarnation of the sidecar; the attempt did not
        /// run.
        #[display("stale")]
        Stale,
        /// It arrived too long after its grant or offer; the attempt did not run.
        #[display("expired")]
        Expired,
        /// The attempt was cancelled before it ran.
        #[display("cancelled")]
        Cancelled,
        /// The target could not be reached; the attempt did not run.
        #[display("unreachable")]
        Unreachable,
        /// The attempt has an idempotency key, and router and sidecar have different generations of
        /// the rules or another target owns the key; the attempt did not run.
        #[display("generation")]
        Generation,
        /// A request with the same idempotency key is running; the attempt did not run.
        #[display("key-running")]
        KeyRunning,
        /// The idempotency key was used for another request; the attempt did not run.
        #[display("key-reused")]
        KeyReused,
        /// A request with the idempotency key has run, and its response is no longer kept.
        #[display("key-done")]
        KeyDone,
        /// A request with the idempotency key may have run: before this sidecar owned the key, so
        /// long ago that the key is no longer remembered, or here, where it broke off.
        #[display("key-unknown")]
        KeyUnknown,
        /// The target failed while the attempt ran.
        #[display("failed")]
        Failed,
        /// The sidecar no longer has a record of the attempt.
        #[display("forgotten")]
        Forgotten,
    }

    /// The usage of one account.
    #[derive(Copy)]
    pub struct AccountUsage {
        /// The account.
        pub account: Account,
        /// The usage.
        pub usage: Usage,
    }

    /// The router with the largest known backlog of an account.
    #[derive(Copy)]
    pub struct BacklogHint {
        /// The account.
        pub account: Account,
        /// The router.
        pub router: Router,
    }

    /// An account's usage and backlog on the sender's side of a link between routers.
    #[derive(Copy)]
    pub struct ExchangeEntry {
        /// The account.
        pub account: Account,
        /// The usage counted on that side since the link was opened.
        pub usage: Usage,
        /// The backlog on that side: zero if no request waits, else one more than the binary
        /// logarithm of their number, rounded down.
        pub waiting: u8,
    }

    /// An account's usage in the whole fleet, and where its backlog is.
    #[derive(Copy)]
    pub struct AccountTotal {
        /// The account.
        pub account: Account,
        /// The usage.
        pub usage: Usage,
        /// The router with the largest known backlog of the account, for the accounts with the
        /// least usage.
        pub router: Option<Router>,
    }

    /// The usage counted by one sidecar since its last acknowledged report.
    pub struct Report {
        /// The sequence number of the report.
        pub sequence: u64,
        /// The sidecar's virtual time.
        pub virtual_time: Usage,
        /// The usage of each account.
        pub usages: Vec<AccountUsage>,
        /// The accounts whose fleet-wide usage the sidecar asks for.
        pub requested: Vec<Account>,
    }

    /// A router's answer to a sidecar's reports.
    pub struct Totals {
        /// The sequence number of the last report that is included.
        pub sequence: u64,
        /// The interval between these messages, in milliseconds.
        pub interval: u32,
        /// The fleet's virtual time.
        pub virtual_time: Usage,
        /// The accounts that the sidecar has asked for and whose usage has changed, and the
        /// backlogged accounts with the least usage.
        pub accounts: Vec<AccountTotal>,
    }

    /// The usage and backlog of accounts on the sender's side of a link between routers.
    #[derive(Default)]
    pub struct Exchange {
        /// The service.
        pub service: Service,
        /// The sequence number of this message on the link.
        pub sequence: u64,
        /// The sequence number of the last message that the sender received on the link.
        pub ack: u64,
        /// The fleet's virtual time.
        pub virtual_time: Usage,
        /// The absolute usage of accounts, in the first messages of a link until one of them is
        /// acknowledged.
        pub base: Vec<AccountUsage>,
        /// The accounts with usage or backlog on the sender's side.
        pub entries: Vec<ExchangeEntry>,
        /// The routers on the sender's side at which the backlogged accounts with the least usage
        /// wait.
        pub hints: Vec<BacklogHint>,
    }

    /// A message between two processes of the system.
    pub enum Message {
        /// The first message of each side, which introduces the sender.
        Hello(Hello),
        /// Shows that the sender is running, and which version of the rules it has in force.
        Heartbeat(RulesVersion),
        /// Asks for the text of the rules that the receiver has in force.
        FetchRules,
        /// The text of the rules that the sender has in force.
        Rules(String),
        /// The changes from the sender's previous version of the rules to its current one.
        Patch(Rc<Patch>),
        /// The backlog of an account at a router.
        Demand {
            /// The account.
            account: Account,
            /// The number of waiting requests.
            waiting: u32,
            /// The number of sidecars to which the router announces them.
            sidecars: u32,
        },
        /// Free slots to which a router may dispatch requests without a grant.
        Offer {
            /// The number of slots.
            slots: u32,
            /// The time of the offer on the sidecar's clock, in milliseconds.
            stamp: u64,
        },
        /// Permission to dispatch one request of an account.
        Grant {
            /// The identifier of the grant.
            grant: u64,
            /// The account.
            account: Account,
            /// The time of the grant on the sidecar's clock, in milliseconds.
            stamp: u64,
        },
        /// Returns a grant that the router does not need.
        Decline {
            /// The identifier of the grant.
            grant: u64,
        },
        /// Sends an attempt of a request to run.
        Dispatch(Rc<Dispatch>),
        /// A part of a response.
        Chunk(Chunk),
        /// States that an attempt gets no response.
        Refused {
            /// The attempt.
            id: AttemptId,
            /// The reason.
            reason: Reason,
        },
        /// Acknowledges the body bytes that the caller has taken.
        Ack {
            /// The attempt.
            id: AttemptId,
            /// The number of bytes since the start of the body.
            offset: u64,
        },
        /// Attempts of the sender whose whole responses have arrived, each as the sequence number
        /// of the request and the number of the attempt.
        Done(Vec<(Sequence, u32)>),
        /// Asks for the rest of the response to an attempt, such as after a link was lost.
        Query {
            /// The attempt.
            id: AttemptId,
            /// The stamp that its dispatch carried.
            stamp: u64,
            /// The number of body bytes received so far.
            offset: u64,
        },
        /// Cancels an attempt whose caller has disconnected, or whose response has not begun by the
        /// request's deadline.
        Cancel {
            /// The attempt.
            id: AttemptId,
        },
        /// The usage counted by a sidecar.
        Report(Report),
        /// The fleet-wide usage of accounts, in answer to reports.
        Totals(Totals),
        /// The usage and backlog on the sender's side of a link between routers, by service.
        Exchange(Vec<Exchange>),
    }
}

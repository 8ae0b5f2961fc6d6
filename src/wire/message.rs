//! The messages between routers and sidecars.

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

/// One attempt of one request; a retry has another identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The incarnation of the router that holds the caller.
    pub incarnation: Incarnation,
    /// The router's number of the request.
    pub sequence: Sequence,
    /// The attempt, counted from one.
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
    /// The rules that a process has in force.
    #[derive(Copy, Default)]
    pub struct RulesVersion {
        /// The generation.
        pub generation: Generation,
        /// The digest of the text.
        pub digest: u64,
    }

    /// A change of a run of lines.
    pub struct Edit {
        /// The first line that goes, counted from zero.
        pub line: u32,
        /// The lines that go.
        pub removed: u32,
        /// The lines that come.
        pub inserted: String,
    }

    /// The changes from one rules text to the next.
    pub struct Patch {
        /// The text that is changed.
        pub base: RulesVersion,
        /// The changes in order.
        pub edits: Vec<Edit>,
    }

    /// Who is at the other end of a link.
    #[derive(Copy)]
    pub enum Peer {
        /// A sidecar.
        Sidecar {
            /// The target beside it.
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

    /// The first message of each side of a link.
    #[derive(Copy)]
    pub struct Hello {
        /// Who sends it.
        pub peer: Peer,
        /// The sender's incarnation.
        pub incarnation: Incarnation,
        /// The rules that the sender has in force.
        pub version: RulesVersion,
    }

    /// The status and header fields of a request or an answer.
    pub struct Head {
        /// The status of an answer, or zero for a request.
        pub status: u16,
        /// The method of a request, or an empty text.
        pub method: String,
        /// The path and query of a request, or an empty text.
        pub path: String,
        /// The header fields in order.
        pub fields: Vec<(String, Bytes)>,
    }

    /// The end of an answer.
    pub struct End {
        /// The length of the whole body in bytes.
        pub length: u64,
        /// The trailer fields.
        pub trailers: Vec<(String, Bytes)>,
    }

    /// A request handed to a sidecar.
    pub struct Dispatch {
        /// The attempt.
        pub id: AttemptId,
        /// The sidecar incarnation that invited it.
        pub incarnation: Incarnation,
        /// The sidecar's clock when it invited it, in milliseconds.
        pub stamp: u64,
        /// The grant that it uses, or zero where it uses an offer.
        pub grant: u64,
        /// The client account.
        pub account: Account,
        /// Whether the request is non-idempotent.
        pub write: bool,
        /// The hash of its idempotency key within its account.
        pub key: Option<IdempotencyKey>,
        /// The rules that the router decided by.
        pub generation: Generation,
        /// Method, path and header fields.
        pub head: Rc<Head>,
        /// The body.
        pub body: Bytes,
    }

    /// An idempotency key as a sidecar sees it.
    #[derive(Copy)]
    pub struct IdempotencyKey {
        /// The hash of the key and its account.
        pub key: u128,
        /// The time of issue within the key, in milliseconds since the Unix epoch.
        pub issued: Option<u64>,
        /// The hash of what the request asks for.
        pub fingerprint: u64,
    }

    /// A piece of an answer.
    pub struct Chunk {
        /// The attempt that it answers.
        pub id: AttemptId,
        /// The position of `data` in the body.
        pub offset: u64,
        /// The status and header fields, on the first part.
        pub head: Option<Rc<Head>>,
        /// Bytes of the body.
        pub data: Bytes,
        /// The end mark, on the last part.
        pub end: Option<Rc<End>>,
    }

    /// Why an attempt has no answer.
    #[derive(Copy, PartialOrd, Ord, derive_more::Display)]
    pub enum Reason {
        /// Every slot was taken; the attempt did not run.
        #[display("busy")]
        Busy,
        /// The target is leaving or draining; the attempt did not run.
        #[display("leaving")]
        Leaving,
        /// Another sidecar incarnation invited it; the attempt did not run.
        #[display("stale")]
        Stale,
        /// It arrived too long after its invitation; the attempt did not run.
        #[display("expired")]
        Expired,
        /// It was cancelled before it ran.
        #[display("cancelled")]
        Cancelled,
        /// The target could not be reached; the attempt did not run.
        #[display("unreachable")]
        Unreachable,
        /// The rules of router and sidecar differ; the attempt did not run.
        #[display("generation")]
        Generation,
        /// A request with the same key is running; the attempt did not run.
        #[display("key-running")]
        KeyRunning,
        /// The key was used for another request; the attempt did not run.
        #[display("key-reused")]
        KeyReused,
        /// The key has run, and its answer is no longer held.
        #[display("key-done")]
        KeyDone,
        /// The key may have run before this sidecar owned it.
        #[display("key-unknown")]
        KeyUnknown,
        /// The target failed while the attempt ran.
        #[display("failed")]
        Failed,
        /// The sidecar no longer knows.
        #[display("forgotten")]
        Forgotten,
    }

    /// An account and an amount of service.
    #[derive(Copy)]
    pub struct AccountUsage {
        /// The account.
        pub account: Account,
        /// The service.
        pub usage: Usage,
    }

    /// The router where most requests of an account wait.
    #[derive(Copy)]
    pub struct BacklogHint {
        /// The account.
        pub account: Account,
        /// The router.
        pub router: Router,
    }

    /// An account's service and backlog on one side of a link between routers.
    #[derive(Copy)]
    pub struct ExchangeEntry {
        /// The account.
        pub account: Account,
        /// Service counted on that side since the link began.
        pub usage: Usage,
        /// The requests that wait on that side, as the logarithm of their number.
        pub waiting: u8,
    }

    /// An account's standing in the fleet.
    #[derive(Copy)]
    pub struct AccountTotal {
        /// The account.
        pub account: Account,
        /// The service that it has received.
        pub usage: Usage,
        /// Where its requests wait, if they do.
        pub router: Option<Router>,
    }

    /// Service given by one sidecar since its last acknowledged report.
    pub struct Report {
        /// The number of the report.
        pub sequence: u64,
        /// The sidecar's virtual time.
        pub virtual_time: Usage,
        /// Service by account.
        pub usages: Vec<AccountUsage>,
        /// The accounts whose standing the sidecar wants.
        pub requested: Vec<Account>,
    }

    /// A router's answer to a report.
    pub struct Totals {
        /// The last report that is included.
        pub sequence: u64,
        /// The interval of such messages, in milliseconds.
        pub interval: u32,
        /// The fleet's virtual time.
        pub virtual_time: Usage,
        /// The standings that the sidecar wants.
        pub accounts: Vec<AccountTotal>,
    }

    /// Service and backlog on one side of a link between routers.
    #[derive(Default)]
    pub struct Exchange {
        /// The service.
        pub service: Service,
        /// The number of this message on the link.
        pub sequence: u64,
        /// The last message received on the link.
        pub ack: u64,
        /// The fleet's virtual time.
        pub virtual_time: Usage,
        /// Absolute service, on a link's first messages.
        pub base: Vec<AccountUsage>,
        /// Accounts with service or backlog on the sender's side.
        pub entries: Vec<ExchangeEntry>,
        /// Where the accounts with the least service wait, on the sender's side.
        pub hints: Vec<BacklogHint>,
    }

    /// Every message between two processes of the system.
    pub enum Message {
        /// Introduces the sender.
        Hello(Hello),
        /// Shows that the sender lives, and its rules.
        Heartbeat(RulesVersion),
        /// Asks for the rules in force.
        FetchRules,
        /// The text of the rules in force.
        Rules(String),
        /// The changes to the rules that were in force at the sender until now.
        Patch(Rc<Patch>),
        /// Requests of an account that wait at a router.
        Demand {
            /// The account.
            account: Account,
            /// The requests.
            waiting: u32,
            /// The sidecars that know of them.
            sidecars: u32,
        },
        /// Free slots that a router may use without asking.
        Offer {
            /// The slots.
            slots: u32,
            /// The sidecar's clock, in milliseconds.
            stamp: u64,
        },
        /// Invites one request of an account.
        Grant {
            /// The grant.
            grant: u64,
            /// The account.
            account: Account,
            /// The sidecar's clock, in milliseconds.
            stamp: u64,
        },
        /// Returns a grant that is not needed.
        Decline {
            /// The grant.
            grant: u64,
        },
        /// Hands over a request.
        Dispatch(Rc<Dispatch>),
        /// A piece of an answer.
        Chunk(Chunk),
        /// Says that an attempt has no answer.
        Refused {
            /// The attempt.
            id: AttemptId,
            /// Why.
            reason: Reason,
        },
        /// Body bytes that a caller has taken of an attempt.
        Ack {
            /// The attempt.
            id: AttemptId,
            /// The bytes.
            offset: u64,
        },
        /// Attempts of the sender whose answers have arrived with their ends.
        Done(Vec<(Sequence, u32)>),
        /// Asks for what is missing of an attempt.
        Query {
            /// The attempt.
            id: AttemptId,
            /// The stamp of its dispatch.
            stamp: u64,
            /// The bytes received.
            offset: u64,
        },
        /// Ends an attempt whose caller has gone.
        Cancel {
            /// The attempt.
            id: AttemptId,
        },
        /// Service given by a sidecar.
        Report(Report),
        /// The fleet's standings.
        Totals(Totals),
        /// Service and backlog between routers, by service.
        Exchange(Vec<Exchange>),
    }
}

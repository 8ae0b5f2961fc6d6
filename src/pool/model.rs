//! What a pool is told and what it decides.

use std::time::Duration;

use derive_more::Display;

use crate::{
    ids::{
        Account,
        Sequence,
        Service,
        Target, //
    },
    wire::AccountUsage, //
};

/// The settings of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The failure domain of this router.
    pub domain: String,
    /// Whether requests go to the least busy target in order of arrival, for comparison.
    pub baseline: bool,
    /// The retries that may be saved up for each service.
    pub retries: u32,
    /// The seed of the random numbers.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            domain: String::new(),
            baseline: false,
            retries: 10,
            seed: 0,
        }
    }
}

/// A place where requests can be sent, as the feed of targets tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seat {
    /// The target.
    pub target: Target,
    /// The target's service.
    pub service: Service,
    /// The failure domain.
    pub domain: String,
    /// The requests that it serves at a time.
    pub slots: u32,
    /// The tokens that its memory holds, or zero for a plain target.
    pub memory: u64,
    /// Distinguishes its starts.
    pub born: u64,
}

data! {
    /// What a router has given to the accounts of a service lately.
    #[derive(Default)]
    pub struct Standing {
        /// The service.
        pub service: Service,
        /// Service given, by account; it fades with time.
        pub given: Vec<AccountUsage>,
        /// Service asked for, by account; it fades with time.
        pub asked: Vec<AccountUsage>,
        /// The accounts that were refused lately.
        pub refused: Vec<Account>,
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// The target could not be reached, so it has not run.
    #[display("unreachable")]
    Unreachable,
    /// The target said that it did not run it.
    #[display("refused")]
    Refused,
    /// Another target has the address, and did not run it.
    #[display("moved")]
    Moved,
    /// The connection broke or stayed silent; it may have run.
    #[display("lost")]
    Lost,
    /// The target answered with a failure of its own.
    #[display("error")]
    Error,
}

impl Fault {
    /// Returns whether the request certainly has not run.
    pub fn is_unrun(self) -> bool {
        matches!(self, Fault::Unreachable | Fault::Refused | Fault::Moved)
    }
}

/// Why a request is refused; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// It would wait longer than it may.
    #[display("overload")]
    Overload,
    /// It has waited as long as it may.
    #[display("waited")]
    Waited,
    /// It was read so late that its caller will have gone before an answer begins.
    #[display("late")]
    Late,
    /// No target of the service is known.
    #[display("no-target")]
    NoTarget,
    /// Every target has said that it wants no requests for now.
    #[display("resting")]
    Resting,
    /// Every attempt that it may make has failed.
    #[display("attempts")]
    Attempts,
}

/// What a pool wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a request to a target.
    Send {
        /// The request.
        sequence: Sequence,
        /// The target.
        target: Target,
        /// The time that it waited.
        waited: Duration,
        /// The expected time to the first byte.
        expected: Duration,
        /// The prompt tokens that the target is expected to read.
        unread: u64,
        /// The target's rank among the homes of the prompt's shared part.
        rank: Option<usize>,
    },
    /// Refuse a request, which has not run.
    Refuse {
        /// The request.
        sequence: Sequence,
        /// Why.
        cause: Refusal,
        /// When it can be served.
        retry: Duration,
        /// The requests of the service that wait here.
        waiting: usize,
    },
    /// Give up the present attempt and report it as lost.
    Abandon {
        /// The request.
        sequence: Sequence,
    },
    /// End a request whose time is over.
    Expire {
        /// The request.
        sequence: Sequence,
    },
}

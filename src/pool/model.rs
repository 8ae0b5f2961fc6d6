//! The inputs and outputs of a pool: settings, targets, faults, refusals and decisions.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use derive_more::Display;

use crate::{
    ids::{
        Account,
        Part,
        Sequence,
        Service,
        Target, //
    },
    pool::{
        ColdLimit,
        HeadroomSum,
        Standing,
        StatedCold,
        TargetView, //
    },
    router::RetryLimits,
    wire::AccountUsage, //
};

/// The settings of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The failure domain of this router.
    pub domain: String,
    /// Whether to use the baseline policy, which serves requests in order of arrival and sends
    /// each one to the target with the fewest requests; it exists for comparison.
    pub baseline: bool,
    /// How often all routers together may retry the requests of a service.
    pub retry: RetryLimits,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The prompt parts that operators have decided about: whether requests with them are refused.
    pub parts: BTreeMap<Part, bool>,
    /// Whether targets that have started or recovered get requests at a pace that follows their
    /// answers; see [`Pace`](super::Pace).
    pub slow_start: bool,
}

/// A target that requests can be sent to, as the feed of targets describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetSpec {
    /// The target.
    pub target: Target,
    /// The target's service.
    pub service: Service,
    /// The target's failure domain.
    pub domain: String,
    /// The requests that the target serves at a time.
    pub slots: u32,
    /// The tokens that the engine's KV cache holds, or zero for a target that is not a model
    /// engine.
    pub kv_capacity: u64,
    /// A number that changes each time the target restarts.
    pub born: u64,
    /// How the target is treated while it is cold; none if its service's targets never are.
    pub cold: Option<ColdLimit>,
    /// For how much longer the target is cold by its own entry, if that says so.
    pub stated: Option<StatedCold>,
}

data! {
    /// The recent usage of a service by account, which a router reports to other routers.
    #[derive(Default)]
    pub struct UsageReport {
        /// The service.
        pub service: Service,
        /// The service that accounts have received, as sums that decay with time.
        pub served: Vec<AccountUsage>,
        /// The service that accounts have requested, as sums that decay with time.
        pub demand: Vec<AccountUsage>,
        /// The accounts that had a request refused recently.
        pub refused: Vec<Account>,
    }
}

data! {
    /// What the fair shares of a service's accounts depend on at some routers, for other routers.
    #[derive(Default)]
    pub struct ShareReport {
        /// The service.
        pub service: Service,
        /// The headroom.
        pub headroom: HeadroomSum,
        /// The accounts that were held recently, those with the least usage.
        pub held: Vec<Account>,
    }
}

/// How an attempt to send a request to a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Fault {
    /// The target could not be reached, so the request has not run.
    #[display("unreachable")]
    Unreachable,
    /// The request was not sent, as the target may no longer get it.
    #[display("withdrawn")]
    Withdrawn,
    /// The target answered that it did not run the request.
    #[display("refused")]
    Refused,
    /// Another target answered at the address and did not run the request.
    #[display("moved")]
    Moved,
    /// The connection broke or the target did not answer; the request may have run.
    #[display("lost")]
    Lost,
    /// The target answered with a server error.
    #[display("error")]
    Error,
}

impl Fault {
    /// Returns whether the request certainly has not run.
    pub fn is_unexecuted(self) -> bool {
        matches!(
            self,
            Fault::Unreachable | Fault::Withdrawn | Fault::Refused | Fault::Moved
        )
    }
}

/// Why a request is refused. A refused request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The expected wait exceeds the longest time that the request may wait.
    #[display("overload")]
    Overload,
    /// The account has received its part of the fair share at this router, for longer than the request
    /// may wait.
    #[display("held")]
    Held,
    /// The request has waited in the queue for the longest time that it may.
    #[display("waited")]
    Waited,
    /// This process read the request so late that the caller will have given up before the answer
    /// begins.
    #[display("late")]
    Late,
    /// No target of the service is known.
    #[display("no-target")]
    NoTarget,
    /// Every target of the service is in a cooldown that it requested itself.
    #[display("resting")]
    CoolingDown,
    /// A part of its prompt is quarantined, as targets crash when they answer it.
    #[display("quarantined")]
    Quarantined(Part),
    /// This process stops before the answer could end.
    #[display("stopping")]
    Stopping,
    /// An attempt has failed, and no further one was allowed or found a target in time.
    #[display("attempts")]
    Attempts,
}

/// A decision of the pool, which the caller of its methods carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a request to a target.
    Send {
        /// The request.
        sequence: Sequence,
        /// The target.
        target: Target,
        /// The time since the request arrived.
        waited: Duration,
        /// The expected time to the first byte.
        expected: Duration,
        /// The prompt tokens that the target is not expected to have cached and has to read.
        unread_tokens: u64,
        /// The target's rank in the rendezvous hashing of the prompt's shared prefix; `None` where
        /// the target is not among the first ranks.
        rank: Option<usize>,
        /// What the account had and how much of the target it could use.
        standing: Standing,
        /// What was known of the target.
        view: TargetView,
    },
    /// Refuse a request, which has not run.
    Refuse {
        /// The request.
        sequence: Sequence,
        /// Why it is refused.
        cause: Refusal,
        /// The time after which the caller should retry.
        retry: Duration,
        /// The requests of the service that wait at this router.
        waiting: usize,
        /// What the account had and how much of each target it could use.
        standing: Standing,
    },
    /// Give up the current attempt and report it as [`Fault::Lost`].
    Abandon {
        /// The request.
        sequence: Sequence,
    },
    /// Go on with an attempt that has got no answer in time, as the retry budget is spent.
    Keep {
        /// The request.
        sequence: Sequence,
    },
    /// End a request whose caller no longer waits, whenever the request arrived.
    Expire {
        /// The request.
        sequence: Sequence,
    },
}

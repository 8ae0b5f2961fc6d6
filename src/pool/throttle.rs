//! What each account may use, by its usage and that of others: a fraction of each engine, and a part
//! of its fair share at each router.
//!
//! An account is throttled only if requests of another account were refused recently whose usage is
//! far below its own. It is held to its part only if an account was refused that has received less
//! than its fair share.

use std::time::Duration;

use super::{
    Headroom,
    Hold,
    Ledger,
    RecentService,
    Standing,
    ledger::DECAY_TIME,
    place::ROUTERS_AT_ONCE, //
};
use crate::ids::{
    Time,
    Usage, //
};

/// The ratio of an account's usage to that of a refused account up to which the account is not
/// throttled.
const MAX_RATIO: f64 = 1.4;

/// The exponent of the throttling of accounts beyond [`MAX_RATIO`]: their fraction of an engine
/// shrinks as this power of the ratio.
const THROTTLE_EXPONENT: f64 = 1.5;

/// The fraction of the objective for which a request waits for its home engine before it may be
/// sent to another one (delay scheduling, Zaharia et al., EuroSys 2010).
const HOME_WAIT_FRACTION: f64 = 0.24;

/// The fraction of the time between two turns of an account at a router that a turn lasts.
const TURN_FRACTION: f64 = 0.25;

/// The longest time for which an account is expected to be held: longer than any request waits.
const MAX_HOLD: Duration = Duration::from_secs(60);

/// What all accounts together can receive.
#[derive(Clone, Copy, Debug)]
pub(super) struct Supply {
    /// The tokens that all engines produce in a second, where that is known.
    pub(super) rate: Option<u64>,
    /// The number of routers that send to the same targets, including this one.
    pub(super) routers: usize,
    /// Whether engines have room for any account.
    pub(super) spare: bool,
}

/// The service of an account in the whole fleet and at this router.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) fleet: RecentService,
    pub(super) own: RecentService,
    /// The mean work of a request at this router.
    pub(super) mean_work: f64,
}

impl Flow {
    /// Returns the same with one request more that asks for `work`.
    pub(super) fn with_request(mut self, work: Usage) -> Self {
        self.fleet.demand += work;
        self.own.demand += work;
        if self.mean_work == 0.0 {
            self.mean_work = work as f64;
        }
        self
    }
}

/// The usage that accounts are compared with in one round of placement.
#[derive(Debug)]
pub(super) struct Fairness {
    /// The usage above which an account is throttled: its fair share, or [`MAX_RATIO`] times the
    /// lowest usage of a refused account where that is larger.
    max_unthrottled: Usage,
    /// The usage of the accounts that were refused recently.
    refused: Vec<RecentService>,
    /// The most service that any account has recently received.
    max_usage: Usage,
    /// The fair share to which accounts are held, each router to its part of it; none unless an account
    /// was refused that has received less.
    held_to: Option<Usage>,
    /// The multiple of the stated rate that the fair share is one of.
    headroom: f64,
    /// Whether engines have room for any account.
    spare: bool,
    /// The accounts that were held recently.
    held: Vec<RecentService>,
}

impl Fairness {
    /// Creates the comparison from a ledger. Accounts may receive more than the stated rate, by the
    /// factor of `headroom`, while answers begin in time.
    ///
    /// Without `headroom`, the service has no engines, and the rate is not that of its targets. There,
    /// and where few routers send to the same targets, no account is held: the reports of few routers
    /// tell where there is room.
    pub(super) fn new(
        ledger: &Ledger,
        now: Time,
        supply: Supply,
        headroom: Option<&Headroom>,
    ) -> Self {
        let Supply {
            rate,
            routers,
            spare,
        } = supply;
        let share = rate.map_or(0, |rate| ledger.fair_share(now, rate));
        let headroom = headroom.map(|headroom| headroom.factor(now));
        let most = rate.zip(headroom).filter(|_| routers > ROUTERS_AT_ONCE);
        let limit = most.map(|(rate, headroom)| {
            ledger.fair_share(now, (rate as f64 * headroom) as u64) //
        });
        let refused = ledger.all_refused(now);
        // The lowest usage of a refused account sets the threshold. Without a refusal no account is
        // throttled, because all get what they request.
        let least = refused.iter().map(|account| account.usage).min();
        let threshold = least.unwrap_or(Usage::MAX) as f64 * MAX_RATIO;
        let is_behind = |limit: Usage| {
            refused
                .iter()
                .any(|account| account.usage < account.demand.min(limit))
        };
        Self {
            held_to: limit.filter(|limit| is_behind(*limit)),
            headroom: headroom.unwrap_or(1.0),
            spare,
            held: ledger.all_held(now),
            max_unthrottled: share.max(threshold as Usage),
            max_usage: ledger.max_usage(now),
            refused,
        }
    }

    /// Returns the fraction of the objective for which an account's request waits for its home
    /// engine. It is zero for an account whose usage is far below that of another one, so that its
    /// requests are sent to any engine with capacity.
    pub(super) fn home_fraction(&self, account: &RecentService) -> f64 {
        match account.ratio_to(self.max_usage) > MAX_RATIO {
            true => 0.0,
            false => HOME_WAIT_FRACTION,
        }
    }

    /// Returns whether an account has received its part of the fair share at this router.
    ///
    /// An account that asks for more than the fair share is held to it. Each router takes the part
    /// of it that is asked for there (flow-proportional shares; Raghavan et al., "Cloud Control with
    /// Distributed Rate Limiting", SIGCOMM 2007), by sums of its own, which are never out of date.
    pub(super) fn is_held(&self, flow: &Flow) -> bool {
        !self.hold_time(flow, 0).is_zero()
    }

    /// Returns how long an account is held at this router, behind `waiting` requests of its own: until
    /// its usage has decayed far enough for one request more.
    pub(super) fn hold_time(&self, flow: &Flow, waiting: usize) -> Duration {
        let interval = self.requests_in_part(flow).recip();
        if interval <= 0.0 {
            return Duration::ZERO;
        }
        // A sum that gets one request each time it has decayed to this has the part as its mean.
        let threshold = flow.mean_work / interval.exp_m1();
        let decay = (flow.own.usage as f64 / threshold).max(1.0).ln();
        let time = DECAY_TIME.as_secs_f64() * (decay + waiting as f64 * interval);
        Duration::from_secs_f64(time.min(MAX_HOLD.as_secs_f64()))
    }

    /// Returns whether this router may now send a request of an account whose part of the fair share
    /// is less than a request. Such an account has a turn at each router once in the time in which its
    /// part adds up to a request; `phase`, from 0 to 1, is where in that time the turn begins, so that
    /// routers don't all send at once.
    pub(super) fn is_turn(&self, now: Time, flow: &Flow, phase: f64) -> bool {
        let requests = self.requests_in_part(flow);
        if requests >= 1.0 {
            return true;
        }
        let period = DECAY_TIME.as_secs_f64() / requests;
        (now.as_secs_f64() / period + phase).fract() < TURN_FRACTION
    }

    /// Returns the requests of mean work in an account's part of the fair share at this router;
    /// infinity if it is not held.
    fn requests_in_part(&self, flow: &Flow) -> f64 {
        let demand = flow.fleet.demand;
        let Some(share) = self.held_to.filter(|share| demand > *share) else {
            return f64::INFINITY;
        };
        if self.spare && !self.is_ahead(flow.fleet.usage) {
            return f64::INFINITY;
        }
        share as f64 * flow.own.demand as f64 / demand as f64 / flow.mean_work
    }

    /// Returns whether an account with `usage` has received far more than one that was held, so that
    /// spare capacity is for that one first.
    fn is_ahead(&self, usage: Usage) -> bool {
        let mut held = self.held.iter();
        held.any(|account| account.ratio_to(usage) > MAX_RATIO)
    }

    /// Returns what decides the part of the engines that an account may use.
    pub(super) fn standing(&self, flow: &Flow) -> Standing {
        Standing {
            recent: flow.fleet,
            allowed: self.allowed_fraction(flow.fleet.usage),
            hold: Hold {
                share: self.held_to,
                headroom: self.headroom,
                spare: self.spare,
                own: flow.own,
            },
        }
    }

    /// Returns the fraction of an engine that an account with `usage` may use. It falls with the
    /// usage, so that accounts above their share are also ordered among each other.
    fn allowed_fraction(&self, usage: Usage) -> f64 {
        let over = (usage as f64 / self.max_unthrottled.max(1) as f64).max(1.0);
        let ratios = self.refused.iter().map(|account| account.ratio_to(usage));
        let ratio = ratios.fold(MAX_RATIO, f64::max);
        (1.0 / (1.0 + over.ln())).min((MAX_RATIO / ratio).powf(THROTTLE_EXPONENT))
    }
}

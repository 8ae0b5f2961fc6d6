//! The fraction of the engines that each account may use, by its usage and that of others.
//!
//! An account is throttled only if requests of another account were refused recently whose usage is
//! far below its own.

use super::{
    Ledger,
    RecentService,
    Standing, //
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
}

impl Fairness {
    /// Creates the comparison from a ledger, where all accounts together can receive `rate` tokens
    /// in a second.
    pub(super) fn new(ledger: &Ledger, now: Time, rate: Option<u64>) -> Self {
        let share = rate.map_or(0, |rate| ledger.fair_share(now, rate));
        let refused = ledger.all_refused(now);
        // The lowest usage of a refused account sets the threshold. Without a refusal no account is
        // throttled, because all get what they request.
        let least = refused.iter().map(|account| account.usage).min();
        let threshold = least.unwrap_or(Usage::MAX) as f64 * MAX_RATIO;
        Self {
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

    /// Returns what decides the part of the engines that an account with `recent` service may use.
    pub(super) fn standing(&self, recent: RecentService) -> Standing {
        let allowed = self.allowed_fraction(recent.usage);
        Standing { recent, allowed }
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

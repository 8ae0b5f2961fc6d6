//! How much of the engines is open to each account, by what the others have had.
//!
//! It answers one load: several accounts ask for more than the engines can give.

use super::{
    AccountUsage, //
    Ledger,
};
use crate::ids::{
    Time,
    Usage, //
};

/// How much more than an account that was refused another one may have had and not be held
/// back for it.
const LEAD: f64 = 1.4;

/// How fast the part of an engine shrinks that is open to an account with a larger lead than
/// that, as a power of the lead.
const CATCH_UP: f64 = 1.5;

/// The part of the objective that a request waits for an engine that keeps its shared part
/// before it goes to any other (delay scheduling, Zaharia et al., EuroSys 2010).
const HOME_WAIT: f64 = 0.24;

/// What accounts are compared with in one round of placement.
#[derive(Debug)]
pub(super) struct Order {
    /// The service above which an account has had more than its share.
    level: Usage,
    /// The accounts that were refused lately.
    refused: Vec<AccountUsage>,
    /// The most service that any account has had.
    most: Usage,
}

impl Order {
    /// Compares the accounts of a ledger, where all can have `rate` tokens in a second.
    pub(super) fn new(ledger: &Ledger, now: Time, rate: Option<u64>) -> Self {
        let share = rate.map_or(0, |rate| ledger.fair_share(now, rate));
        let refused = ledger.all_refused(now);
        // Nobody is held back while those behind get all that they ask for.
        let least = refused.iter().map(|account| account.usage).min();
        let behind = least.unwrap_or(Usage::MAX) as f64 * LEAD;
        Self {
            level: share.max(behind as Usage),
            most: ledger.max_usage(now),
            refused,
        }
    }

    /// Returns the part of the objective that an account's request waits for its home; one of
    /// an account that is far behind another goes wherever there is room.
    pub(super) fn home_part(&self, account: &AccountUsage) -> f64 {
        match account.ratio_to(self.most) > LEAD {
            true => 0.0,
            false => HOME_WAIT,
        }
    }

    /// Returns the part of an engine that is open to an account with some usage: the more it
    /// has had, the less, so that accounts ahead are told apart too.
    pub(super) fn open_part(&self, usage: Usage) -> f64 {
        let over = (usage as f64 / self.level.max(1) as f64).max(1.0);
        let leads = self.refused.iter().map(|account| account.ratio_to(usage));
        let lead = leads.fold(LEAD, f64::max);
        (1.0 / (1.0 + over.ln())).min((LEAD / lead).powf(CATCH_UP))
    }
}

//! A sidecar's view of the service that accounts have received.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::MAX_LEAD;
use crate::{
    ids::{
        Account,
        Router,
        Usage, //
    },
    wire::{
        AccountUsage,
        Report,
        Totals, //
    }, //
};

/// The interval of a sidecar's reports until its home router sends another interval.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The divisor of the predicted usage that gives its reduction at each report.
const PREDICTION_DECAY: Usage = 16;

/// A sidecar's estimate of the service that accounts have received.
///
/// The usage of an account is the sum of three parts: the home router's figure, the service that
/// this sidecar has given and the router has not yet included, and the service that other sidecars
/// are predicted to have given since that figure. Sidecars with the same figures make the same
/// decisions, so the prediction is this sidecar's own service times the number of other sidecars.
/// Without the prediction, all of them would serve the same account until the next figures arrive.
#[derive(Debug, Default)]
pub struct UsageView {
    /// Usage received from the home router, with acknowledged reports and raises.
    base: BTreeMap<Account, Usage>,
    /// Service of this sidecar that no report carries yet.
    pending: BTreeMap<Account, Usage>,
    /// Service that other sidecars are predicted to have given.
    predicted: BTreeMap<Account, Usage>,
    /// Service of the last report, until the report is acknowledged.
    unacked: BTreeMap<Account, Usage>,
    /// For each least-served account, its usage and the router where most of its requests
    /// wait.
    hints: BTreeMap<Account, (Usage, Router)>,
    sequence: u64,
    virtual_time: Usage,
}

impl UsageView {
    /// Returns the usage of an account, with the service predicted of other sidecars.
    pub fn usage(&self, account: Account) -> Usage {
        let predicted = self.predicted.get(&account).copied();
        self.known_usage(account) + predicted.unwrap_or_default()
    }

    /// Returns the usage of an account without the prediction.
    fn known_usage(&self, account: Account) -> Usage {
        [&self.base, &self.pending, &self.unacked]
            .iter()
            .filter_map(|map| map.get(&account))
            .sum()
    }

    /// Adds service given by this sidecar, while `others` sidecars are predicted to give the
    /// same.
    ///
    /// ```
    /// let mut view = redwingyard::fair::UsageView::default();
    /// view.charge(7, 250, 0);
    /// view.charge(8, 250, 3);
    /// assert_eq!((view.usage(7), view.usage(8)), (250, 1_000));
    /// ```
    pub fn charge(&mut self, account: Account, usage: Usage, others: u32) {
        if usage > 0 {
            *self.pending.entry(account).or_default() += usage;
            *self.predicted.entry(account).or_default() += usage * Usage::from(others);
        }
    }

    /// Reduces the predictions that the home router has not confirmed.
    pub fn decay_predictions(&mut self) {
        for usage in self.predicted.values_mut() {
            *usage -= *usage / PREDICTION_DECAY;
        }
        self.predicted.retain(|_, usage| *usage >= PREDICTION_DECAY);
    }

    /// Returns the account to serve next: the one with the least sum of usage and advance.
    ///
    /// Each backlogged account comes with its advance, the expected usage of its requests that
    /// already run here.
    ///
    /// ```
    /// let mut view = redwingyard::fair::UsageView::default();
    /// view.charge(1, 10, 0);
    /// view.charge(2, 30, 0);
    /// assert_eq!(view.next_account([(1, 0), (2, 0)].into_iter()), Some(1));
    /// assert_eq!(view.next_account([(1, 50), (2, 0)].into_iter()), Some(2));
    /// ```
    pub fn next_account(
        &self,
        accounts: impl Iterator<Item = (Account, Usage)>,
    ) -> Option<Account> {
        accounts
            .min_by_key(|(account, advance)| (self.usage(*account) + advance, *account))
            .map(|(account, _)| account)
    }

    /// Advances virtual time to the usage of an account that is being served.
    pub fn advance_time(&mut self, account: Account) {
        // Predictions are left out: virtual time that includes one would raise every returning
        // account at every router.
        self.virtual_time = self.virtual_time.max(self.known_usage(account));
    }

    /// Raises the usage of an account that returns from idleness.
    ///
    /// The account starts at the least usage of the accounts in `backlogged` if this sidecar
    /// already has usage for it, and at their lower median otherwise. If there are no other
    /// accounts, it starts at the virtual time.
    ///
    /// ```
    /// let mut view = redwingyard::fair::UsageView::default();
    /// view.charge(1, 500, 0);
    /// view.activate(2, [1].into_iter());
    /// assert_eq!(view.usage(2), 500);
    /// ```
    pub fn activate(&mut self, account: Account, backlogged: impl Iterator<Item = Account>) {
        let others = backlogged.filter(|other| *other != account);
        let usages = others.map(|other| self.known_usage(other));
        let reported = self.base.contains_key(&account);
        let floor = match reported {
            // Only the home router can tell whether the account was idle at every router, so
            // a known account is raised to the minimum only.
            true => usages.min(),
            false => super::lower_median(usages),
        };
        self.raise_to(account, floor.unwrap_or(self.virtual_time));
    }

    /// Raises each account of `backlogged` whose usage is more than [`MAX_LEAD`] below the
    /// largest.
    pub fn bound_leads(&mut self, backlogged: impl Iterator<Item = Account> + Clone) {
        let largest = backlogged
            .clone()
            .map(|account| self.known_usage(account))
            .max();
        let floor = largest.unwrap_or(0).saturating_sub(MAX_LEAD);
        for account in backlogged {
            self.raise_to(account, floor);
        }
    }

    /// Returns the router where the least-served account of the fleet waits, if its usage is
    /// more than `lead` below `least`, the least usage of the accounts that wait here.
    pub fn starved_router(&self, least: Option<Usage>, lead: Usage) -> Option<Router> {
        let (usage, router) = self.hints.values().min()?;
        let behind = least.is_none_or(|least| usage + lead < least);
        behind.then_some(*router)
    }

    /// Returns whether there is service that the home router has not acknowledged.
    pub fn has_unacked(&self) -> bool {
        !self.unacked.is_empty() || !self.pending.is_empty()
    }

    /// Returns the report to send; its service stays the same until it is acknowledged.
    pub fn next_report(&mut self, requested: Vec<Account>) -> Report {
        if self.unacked.is_empty() {
            self.sequence += 1;
            self.unacked = std::mem::take(&mut self.pending);
        }
        let usages = self.unacked.iter().map(|(account, usage)| AccountUsage {
            account: *account,
            usage: *usage,
        });
        Report {
            sequence: self.sequence,
            virtual_time: self.virtual_time,
            usages: usages.collect(),
            requested,
        }
    }

    /// Applies the totals that the home router has sent.
    pub fn apply_totals(&mut self, totals: &Totals) {
        let acked = totals.sequence == self.sequence;
        let unacked = match acked {
            true => std::mem::take(&mut self.unacked),
            false => BTreeMap::new(),
        };
        for (account, usage) in unacked {
            *self.base.entry(account).or_default() += usage;
        }
        self.hints.clear();
        for total in &totals.accounts {
            let base = self.base.entry(total.account).or_default();
            // The router's figure excludes a report that is not acknowledged, so the sum stays
            // exact.
            let increment = total.usage.saturating_sub(*base);
            *base += increment;
            if let Some(predicted) = self.predicted.get_mut(&total.account) {
                *predicted = predicted.saturating_sub(increment);
            }
            if let Some(router) = total.router {
                self.hints.insert(total.account, (total.usage, router));
            }
        }
        self.virtual_time = self.virtual_time.max(totals.virtual_time);
    }

    /// Drops the hints of the previous home router; usage stays, as it only grows.
    pub fn clear_hints(&mut self) {
        self.hints.clear();
    }

    fn raise_to(&mut self, account: Account, floor: Usage) {
        let missing = floor.saturating_sub(self.known_usage(account));
        if missing > 0 {
            *self.base.entry(account).or_default() += missing;
        }
    }
}

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

/// The interval of a sidecar's reports until its home router tells another.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The part of what was foreseen that is forgotten at each report.
const FORESIGHT_DECAY: Usage = 16;

/// What a sidecar knows of the service that accounts have received.
///
/// The usage of an account is what the home router told, plus what this sidecar has
/// given since and the router has not yet included, plus what other sidecars will have
/// given meanwhile. Those that see the same figures decide alike, so the last is taken to
/// be this sidecar's own service times the number of the others; without it, all of them
/// would serve the same account until the next figures arrive.
#[derive(Debug, Default)]
pub struct UsageView {
    told: BTreeMap<Account, Usage>,
    pending: BTreeMap<Account, Usage>,
    foreseen: BTreeMap<Account, Usage>,
    batch: BTreeMap<Account, Usage>,
    hints: BTreeMap<Account, (Usage, Router)>,
    sequence: u64,
    level: Usage,
}

impl UsageView {
    /// Returns the usage of an account, with what other sidecars are foreseen to give.
    pub fn usage(&self, account: Account) -> Usage {
        let foreseen = self.foreseen.get(&account).copied();
        self.settled(account) + foreseen.unwrap_or_default()
    }

    /// Returns the usage of an account that has certainly been given.
    fn settled(&self, account: Account) -> Usage {
        [&self.told, &self.pending, &self.batch]
            .iter()
            .filter_map(|map| map.get(&account))
            .sum()
    }

    /// Adds service given by this sidecar while `others` decide alike.
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
            *self.foreseen.entry(account).or_default() += usage * Usage::from(others);
        }
    }

    /// Forgets a part of what was foreseen and has not come true.
    pub fn decay_predictions(&mut self) {
        for usage in self.foreseen.values_mut() {
            *usage -= *usage / FORESIGHT_DECAY;
        }
        self.foreseen.retain(|_, usage| *usage >= FORESIGHT_DECAY);
    }

    /// Returns the account to serve next out of backlogged ones with their advances.
    ///
    /// The advance is the expected usage of requests that already run here.
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
        // A guess in the level would raise every account that returns, at every router.
        self.level = self.level.max(self.settled(account));
    }

    /// Levels an account that comes back from idleness with those in `backlogged`.
    ///
    /// ```
    /// let mut view = redwingyard::fair::UsageView::default();
    /// view.charge(1, 500, 0);
    /// view.activate(2, [1].into_iter());
    /// assert_eq!(view.usage(2), 500);
    /// ```
    pub fn activate(&mut self, account: Account, backlogged: impl Iterator<Item = Account>) {
        let others = backlogged.filter(|other| *other != account);
        let usages = others.map(|other| self.settled(other));
        let known = self.told.contains_key(&account);
        let floor = match known {
            // The home router decides whether the account has been idle everywhere.
            true => usages.min(),
            false => super::lower_median(usages),
        };
        self.raise(account, floor.unwrap_or(self.level));
    }

    /// Bounds the lead of any account of `backlogged` over another.
    pub fn bound_leads(&mut self, backlogged: impl Iterator<Item = Account> + Clone) {
        let most = backlogged
            .clone()
            .map(|account| self.settled(account))
            .max();
        let floor = most.unwrap_or(0).saturating_sub(MAX_LEAD);
        for account in backlogged {
            self.raise(account, floor);
        }
    }

    /// Returns the router where the account with the least service waits, if the lead
    /// of `least`, the least usage seen here, over it exceeds `lead`.
    pub fn starved_router(&self, least: Option<Usage>, lead: Usage) -> Option<Router> {
        let (usage, router) = self.hints.values().min()?;
        let behind = least.is_none_or(|least| usage + lead < least);
        behind.then_some(*router)
    }

    /// Returns whether there is service that no router has acknowledged.
    pub fn has_unreported(&self) -> bool {
        !self.batch.is_empty() || !self.pending.is_empty()
    }

    /// Returns the report to send; the same one until it is acknowledged.
    pub fn next_report(&mut self, requested: Vec<Account>) -> Report {
        if self.batch.is_empty() {
            self.sequence += 1;
            self.batch = std::mem::take(&mut self.pending);
        }
        let usages = self.batch.iter().map(|(account, usage)| AccountUsage {
            account: *account,
            usage: *usage,
        });
        Report {
            sequence: self.sequence,
            virtual_time: self.level,
            usages: usages.collect(),
            requested,
        }
    }

    /// Takes in the standings that the home router tells.
    pub fn apply_totals(&mut self, totals: &Totals) {
        let acked = totals.sequence == self.sequence;
        let batch = match acked {
            true => std::mem::take(&mut self.batch),
            false => BTreeMap::new(),
        };
        for (account, usage) in batch {
            *self.told.entry(account).or_default() += usage;
        }
        self.hints.clear();
        for standing in &totals.accounts {
            let told = self.told.entry(standing.account).or_default();
            // A router's figure excludes an unacknowledged batch, so the sum stays exact.
            let grown = standing.usage.saturating_sub(*told);
            *told += grown;
            if let Some(foreseen) = self.foreseen.get_mut(&standing.account) {
                *foreseen = foreseen.saturating_sub(grown);
            }
            if let Some(router) = standing.router {
                self.hints
                    .insert(standing.account, (standing.usage, router));
            }
        }
        self.level = self.level.max(totals.virtual_time);
    }

    /// Forgets what the last home router told of backlogs; figures stay, as they only grow.
    pub fn clear_hints(&mut self) {
        self.hints.clear();
    }

    fn raise(&mut self, account: Account, floor: Usage) {
        let missing = floor.saturating_sub(self.settled(account));
        if missing > 0 {
            *self.told.entry(account).or_default() += missing;
        }
    }
}

//! The recent usage of accounts across the whole fleet, by which waiting accounts are prioritized.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use crate::{
    ids::{
        Account,
        Time,
        Usage, //
    },
    mesh::{
        Scope,
        Source, //
    },
    pool::{
        RecentService,
        UsageReport,
        throttle::Flow, //
    },
    wire::AccountUsage, //
};

/// The time constant of the exponential decay of usage. An account that returns from idleness is
/// preferred to others for about this time.
pub(super) const DECAY_TIME: Duration = Duration::from_millis(1_500);

/// The time for which a reported sum stays as it is: several rounds of the exchange. An account that is
/// served as before gets as much as decays, so the sum decays only if no further report comes.
const REPORT_TTL: Duration = Duration::from_millis(1_000);

/// The time for which a refusal shows that an account still has unmet demand.
const REFUSAL_WINDOW: Duration = Duration::from_secs(3);

/// The fraction of service that is charged while no account is refused. Such service is taken from
/// no other account, but it still occupies the engines when other accounts send requests next.
const UNCONTENDED_FRACTION: f64 = 0.05;

/// The weight of a new request in the mean of their work.
const MEAN_GAIN: f64 = 1.0 / 32.0;

/// The most held accounts in a report, those with the least usage: the others are held by the same
/// comparison.
const MAX_HELD: usize = 16;

/// The most accounts in each list of the usage reports of all services together. With this bound, the
/// lists of served, demanded and refused accounts fit into one datagram.
pub(super) const MAX_REPORTED: usize = 1_000;

/// An amount of service that decays exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    usage: f64,
    /// The time from which on it decays.
    updated: Time,
}

impl DecayingSum {
    fn value_at(self, now: Time) -> f64 {
        let age = now.saturating_sub(self.updated);
        self.usage * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Time, usage: f64) {
        self.usage = (self.value_at(now) + usage).max(0.0);
        self.updated = now;
    }
}

/// The last report of a source.
#[derive(Clone, Debug, Default)]
struct Peer {
    usage: BTreeMap<Account, DecayingSum>,
    demand: BTreeMap<Account, DecayingSum>,
    refused: Vec<Account>,
    received: Time,
}

/// The service that accounts have recently received from this router and from other routers.
///
/// Usage decays with time. An account that was idle therefore has priority for only some seconds
/// after it returns, and a router needs no stored state when it restarts.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The service that this router has given.
    own: BTreeMap<Account, DecayingSum>,
    /// The same, counted in full whether accounts were refused or not.
    full: BTreeMap<Account, DecayingSum>,
    /// The service that was requested from this router.
    demand: BTreeMap<Account, DecayingSum>,
    peers: BTreeMap<Source, Peer>,
    /// When this router last refused a request of each account.
    refused: BTreeMap<Account, Time>,
    /// When a request of each account was last held back at this router.
    held: BTreeMap<Account, Time>,
    /// The accounts that each source has reported as held, and when.
    held_elsewhere: BTreeMap<Source, (Vec<Account>, Time)>,
    /// The exponentially weighted mean of the service that a request asks for.
    mean_work: f64,
}

impl Ledger {
    /// Charges an account for service from this router, and returns the amount that was charged.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::{mesh::Source, pool::{Ledger, UsageReport}, wire::AccountUsage};
    /// let mut ledger = Ledger::default();
    /// ledger.charge(Duration::ZERO, 7, 40);
    /// let served = vec![AccountUsage { account: 7, usage: 2 }];
    /// let report = UsageReport { served, ..UsageReport::default() };
    /// ledger.merge(Duration::ZERO, Source::router(1), &report);
    /// ledger.merge(Duration::ZERO, Source::router(1), &report);
    /// assert_eq!(ledger.usage(Duration::ZERO, 7), 4);
    /// // After a refusal, service is charged in full.
    /// ledger.record_refusal(Duration::ZERO, 8);
    /// ledger.charge(Duration::ZERO, 7, 30);
    /// assert_eq!(ledger.usage(Duration::ZERO, 7), 34);
    /// assert_eq!(ledger.usage(Duration::from_millis(1_500), 7), 13);
    /// ```
    pub fn charge(&mut self, now: Time, account: Account, usage: Usage) -> Usage {
        let fraction = match self.is_contended(now) {
            true => 1.0,
            false => UNCONTENDED_FRACTION,
        };
        let charged = usage as f64 * fraction;
        let full = self.full.entry(account).or_default();
        full.add(now, usage as f64);
        self.own.entry(account).or_default().add(now, charged);
        charged as Usage
    }

    /// Returns whether any router has refused a request recently.
    fn is_contended(&self, now: Time) -> bool {
        let here = self.refused.values().any(|at| now < *at + REFUSAL_WINDOW);
        here || refused_by(now, self.peers.values()).next().is_some()
    }

    /// Refunds what was charged for a request that did not run, of the service `usage`.
    pub fn refund(&mut self, now: Time, account: Account, charged: Usage, usage: Usage) {
        let own = self.own.entry(account).or_default();
        own.add(now, -(charged as f64));
        let full = self.full.entry(account).or_default();
        full.add(now, -(usage as f64));
    }

    /// Adds service that an account has requested from this router, whether it is served or not.
    pub fn add_demand(&mut self, now: Time, account: Account, usage: Usage) {
        let demand = self.demand.entry(account).or_default();
        demand.add(now, usage as f64);
        self.mean_work = match self.mean_work > 0.0 {
            true => self.mean_work + (usage as f64 - self.mean_work) * MEAN_GAIN,
            false => usage as f64,
        };
    }

    /// Returns what decides whether an account is held at this router.
    pub(super) fn flow(&self, now: Time, account: Account) -> Flow {
        Flow {
            fleet: self.account_usage(now, account),
            own: RecentService {
                usage: total(now, account, [&self.full].into_iter()),
                demand: total(now, account, [&self.demand].into_iter()),
            },
            mean_work: self.mean_work,
        }
    }

    /// Records that a request of an account was refused. Returns whether it is the first one that was
    /// refused here recently.
    pub fn record_refusal(&mut self, now: Time, account: Account) -> bool {
        let last = self.refused.insert(account, now);
        last.is_none_or(|last| now >= last + REFUSAL_WINDOW)
    }

    /// Returns the accounts that were refused recently within a scope, for this router's report on
    /// that scope.
    pub fn refused(&self, now: Time, scope: Scope) -> Vec<Account> {
        let elsewhere = refused_by(now, self.narrower_peers(scope));
        let accounts: BTreeSet<_> = elsewhere.chain(self.locally_refused(now)).collect();
        accounts.into_iter().take(MAX_REPORTED).collect()
    }

    /// Returns the accounts that this router refused recently.
    fn locally_refused(&self, now: Time) -> impl Iterator<Item = Account> {
        let recently = move |(_, at): &(&Account, &Time)| now < **at + REFUSAL_WINDOW;
        let refused = self.refused.iter().filter(recently);
        refused.map(|(account, _)| *account)
    }

    /// Returns the usage of the accounts that any router refused recently.
    pub fn all_refused(&self, now: Time) -> Vec<RecentService> {
        let elsewhere = refused_by(now, self.peers.values());
        let accounts: BTreeSet<_> = elsewhere.chain(self.locally_refused(now)).collect();
        let usage = |account| self.account_usage(now, account);
        accounts.into_iter().map(usage).collect()
    }

    /// Records that an account was held to its part of the fair share.
    pub fn record_held(&mut self, now: Time, account: Account) {
        self.held.insert(account, now);
    }

    /// Replaces the accounts that a source has reported as held.
    pub fn merge_held(&mut self, now: Time, source: Source, accounts: &[Account]) {
        let accounts = accounts.iter().take(MAX_HELD).copied().collect();
        self.held_elsewhere.insert(source, (accounts, now));
    }

    /// Returns the accounts that were held recently within a scope, for this router's report on that
    /// scope: those with the least usage.
    pub fn held(&self, now: Time, scope: Scope) -> Vec<Account> {
        let narrower = self.held_elsewhere.range(..Source { scope, id: 0 });
        let accounts = self.recently_held(now, narrower.map(|(_, report)| report));
        let mut ranked: Vec<_> = accounts
            .into_iter()
            .map(|account| (self.usage(now, account), account))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(MAX_HELD);
        ranked.into_iter().map(|(_, account)| account).collect()
    }

    /// Returns the service of the accounts that any router held recently.
    pub fn all_held(&self, now: Time) -> Vec<RecentService> {
        let accounts = self.recently_held(now, self.held_elsewhere.values());
        let usage = |account| self.account_usage(now, account);
        accounts.into_iter().map(usage).collect()
    }

    /// Returns the accounts that were held recently at this router or by the reports.
    fn recently_held<'a>(
        &self,
        now: Time,
        reports: impl Iterator<Item = &'a (Vec<Account>, Time)>,
    ) -> BTreeSet<Account> {
        let is_recent = |at: Time| now < at + REFUSAL_WINDOW;
        let own = self.held.iter().filter(|(_, at)| is_recent(**at));
        let fresh = reports.filter(|(_, at)| is_recent(*at));
        let elsewhere = fresh.flat_map(|(accounts, _)| accounts);
        own.map(|(account, _)| account)
            .chain(elsewhere)
            .copied()
            .collect()
    }

    /// Returns the reports of sources with a narrower scope, which this router includes in its
    /// report on `scope`.
    fn narrower_peers(&self, scope: Scope) -> impl Iterator<Item = &Peer> {
        let narrower = self.peers.range(..Source { scope, id: 0 });
        narrower.map(|(_, peer)| peer)
    }

    /// Drops the reports of the sources that are not kept.
    pub fn retain_sources(&mut self, is_kept: impl Fn(Source) -> bool) {
        self.peers.retain(|source, _| is_kept(*source));
        self.held_elsewhere.retain(|source, _| is_kept(*source));
    }

    /// Replaces the last report of a source by a new one.
    pub fn merge(&mut self, now: Time, source: Source, report: &UsageReport) {
        let sum = |entry: &AccountUsage| {
            let usage = entry.usage as f64;
            (
                entry.account,
                DecayingSum {
                    usage,
                    updated: now + REPORT_TTL,
                },
            )
        };
        let peer = Peer {
            usage: report.served.iter().map(sum).collect(),
            demand: report.demand.iter().map(sum).collect(),
            refused: report.refused.clone(),
            received: now,
        };
        self.peers.insert(source, peer);
    }

    /// Returns the service that accounts have recently received within a scope, for this router's
    /// report on that scope.
    pub fn served(&self, now: Time, scope: Scope) -> Vec<AccountUsage> {
        let peers = self.narrower_peers(scope).map(|peer| &peer.usage);
        largest_usages(totals(now, [&self.own].into_iter().chain(peers)))
    }

    /// Returns the service that accounts have recently requested within a scope, for this router's
    /// report on that scope.
    pub fn demand(&self, now: Time, scope: Scope) -> Vec<AccountUsage> {
        let peers = self.narrower_peers(scope).map(|peer| &peer.demand);
        largest_usages(totals(now, [&self.demand].into_iter().chain(peers)))
    }

    /// Returns the service given by this router and by each other source.
    fn all_served(&self) -> impl Iterator<Item = &BTreeMap<Account, DecayingSum>> {
        let peers = self.peers.values().map(|peer| &peer.usage);
        [&self.own].into_iter().chain(peers)
    }

    /// Returns the service requested from this router and from each other source.
    fn all_demand(&self) -> impl Iterator<Item = &BTreeMap<Account, DecayingSum>> {
        let peers = self.peers.values().map(|peer| &peer.demand);
        [&self.demand].into_iter().chain(peers)
    }

    /// Returns the service that an account has recently received from all routers.
    pub fn usage(&self, now: Time, account: Account) -> Usage {
        total(now, account, self.all_served())
    }

    /// Returns the most service that any account has recently received.
    pub fn max_usage(&self, now: Time) -> Usage {
        let most = totals(now, self.all_served()).into_values();
        most.fold(0.0, f64::max) as Usage
    }

    /// Returns the service that an account has recently received and requested.
    pub fn account_usage(&self, now: Time, account: Account) -> RecentService {
        RecentService {
            usage: self.usage(now, account),
            demand: total(now, account, self.all_demand()),
        }
    }

    /// Returns the usage above which an account has received more than its max-min fair share,
    /// where all accounts together can receive `rate` in a second.
    ///
    /// An account with less demand than an even share receives its whole demand, and the rest of
    /// that share is divided among the others.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::Ledger;
    /// let mut ledger = Ledger::default();
    /// for (account, demand) in [(1, 100), (2, 900), (3, 2_000)] {
    ///     ledger.add_demand(Duration::ZERO, account, demand);
    /// }
    /// // Of the 600 that decaying sums hold at 400 in a second and a time constant of 1.5 s, the
    /// // first account gets 100 and the two others get 250 each.
    /// assert_eq!(ledger.fair_share(Duration::ZERO, 400), 250);
    /// ```
    pub fn fair_share(&self, now: Time, rate: u64) -> Usage {
        let demands = totals(now, self.all_demand());
        let mut demands: Vec<_> = demands.into_values().collect();
        demands.sort_by(f64::total_cmp);
        let mut left = rate as f64 * DECAY_TIME.as_secs_f64();
        for (i, demand) in demands.iter().enumerate() {
            let even = left / (demands.len() - i) as f64;
            if *demand > even {
                return even as Usage;
            }
            left -= demand;
        }
        Usage::MAX
    }
}

/// Returns the accounts that peers refused recently. An account may occur more than once.
fn refused_by<'a>(
    now: Time,
    peers: impl Iterator<Item = &'a Peer>,
) -> impl Iterator<Item = Account> {
    let fresh = peers.filter(move |peer| now < peer.received + REFUSAL_WINDOW);
    fresh.flat_map(|peer| peer.refused.iter().copied())
}

/// Returns the sum of one account over all sources.
fn total<'a>(
    now: Time,
    account: Account,
    sources: impl Iterator<Item = &'a BTreeMap<Account, DecayingSum>>,
) -> Usage {
    let found = sources.filter_map(|sums| sums.get(&account));
    found.map(|sum| sum.value_at(now)).sum::<f64>() as Usage
}

/// Returns the sum of each account over all sources.
fn totals<'a>(
    now: Time,
    sources: impl Iterator<Item = &'a BTreeMap<Account, DecayingSum>>,
) -> BTreeMap<Account, f64> {
    let mut totals = BTreeMap::new();
    for (account, sum) in sources.flatten() {
        *totals.entry(*account).or_default() += sum.value_at(now);
    }
    totals
}

/// Returns the sums of the [`MAX_REPORTED`] accounts with the largest ones.
fn largest_usages(totals: BTreeMap<Account, f64>) -> Vec<AccountUsage> {
    let entry = |(account, usage)| AccountUsage {
        account,
        usage: usage as Usage,
    };
    let usages = totals.into_iter().map(entry);
    let mut usages: Vec<_> = usages.filter(|entry| entry.usage > 0).collect();
    keep_largest(&mut usages, MAX_REPORTED);
    usages
}

/// Keeps the accounts with the largest sums, at most `most` of them.
pub(super) fn keep_largest(usages: &mut Vec<AccountUsage>, most: usize) {
    if usages.len() > most {
        usages.select_nth_unstable_by_key(most, |entry| Reverse(entry.usage));
        usages.truncate(most);
    }
}

//! A router's table of the service that accounts have received from the whole fleet.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use super::MAX_LEAD;
use crate::{
    ids::{
        Account,
        Incarnation,
        Router,
        Service,
        Target,
        Time,
        Usage, //
    },
    wire::{
        AccountTotal,
        AccountUsage,
        BacklogHint,
        Exchange,
        ExchangeEntry,
        Report,
        Totals, //
    }, //
};

/// The shortest interval between two exchange rounds of routers.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The time after which an observation of a backlog is stale.
const BACKLOG_TTL: Duration = Duration::from_secs(15);

/// The time for which a sidecar is sent the usage of an account that it reported or asked
/// for.
const INTEREST_TTL: Duration = Duration::from_secs(10);

/// The smallest raise of an account's usage by a peer's absolute figures that is passed on to
/// children.
const MIN_PROPAGATED_RAISE: Usage = 100_000;

/// The number of least-served backlogged accounts that every sidecar is sent.
const LEAST_SERVED_COUNT: usize = 8;

/// Requests of one account that wait in this router's queues, or behind one peer.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    /// The router where most of them wait, if it is known.
    router: Option<Router>,
    waiting: u32,
    observed: Time,
    /// The peer that sent the observation, or `None` for this router's own queues.
    via: Option<Router>,
}

/// The state of a sidecar that reports to this router.
#[derive(Debug, Default)]
struct SidecarState {
    incarnation: Incarnation,
    sequence: u64,
    /// The sequence number of the last acknowledged report.
    acked: u64,
    /// When the sidecar last reported or asked for each account.
    interest: BTreeMap<Account, Time>,
    /// The usage that the sidecar was last sent for each account.
    sent_usage: BTreeMap<Account, Usage>,
}

/// The state of a link to another router in the exchange tree.
#[derive(Debug, Default)]
struct LinkState {
    /// For each account, the sum to send and the first exchange that carries its last change.
    outgoing: BTreeMap<Account, (Usage, u64)>,
    /// For each account, the largest sum received from the peer.
    incoming: BTreeMap<Account, Usage>,
    /// The sequence number of the last exchange sent.
    sent: u64,
    /// The sequence number of the last exchange that the peer has acknowledged.
    acked: u64,
    /// The sequence number of the last exchange received.
    received: u64,
    /// Whether the peer is this router's parent.
    upward: bool,
    /// Exchanges carry absolute figures until the peer acknowledges this one or a later one.
    base_until: u64,
}

/// The service that accounts have received from the fleet, as one router knows it.
///
/// Each exchange over a link of the tree carries running sums of the service counted on the
/// sender's side. Sums only grow while the link lasts, so a lost, delayed, duplicated or
/// reordered exchange does no harm. On a new link the child sends its parent the service that
/// no earlier parent has acknowledged. The parent sends absolute figures, and the child keeps
/// the larger of each figure and its own. A parent that started with an empty table adopts
/// the absolute figures of its first child.
#[derive(Debug, Default)]
pub struct UsageTable {
    service: Service,
    usage: BTreeMap<Account, Usage>,
    /// The fleet's virtual time: the usage at which an account starts while none waits.
    virtual_time: Usage,
    backlogs: BTreeMap<Account, Vec<Backlog>>,
    sidecars: BTreeMap<Target, SidecarState>,
    links: BTreeMap<Router, LinkState>,
    /// Service reported by sidecars and children that has not been sent to any parent.
    unsent: BTreeMap<Account, Usage>,
    /// Service sent to the parent and not yet acknowledged, with the exchange that first
    /// carried it.
    in_flight: Option<(u64, BTreeMap<Account, Usage>)>,
    /// Whether a peer has sent absolute figures that this table adopted.
    has_base: bool,
}

impl UsageTable {
    /// Creates the empty table of a service.
    pub fn new(service: Service) -> Self {
        Self {
            service,
            ..Self::default()
        }
    }

    /// Returns the usage of an account.
    pub fn usage(&self, account: Account) -> Usage {
        self.usage.get(&account).copied().unwrap_or_default()
    }

    /// Returns each account with its usage.
    pub fn usages(&self) -> impl Iterator<Item = (Account, Usage)> {
        self.usage.iter().map(|(account, usage)| (*account, *usage))
    }

    /// Returns the accounts with requests that wait at any router of the fleet.
    pub fn backlogged(&self) -> impl Iterator<Item = Account> + Clone {
        let waiting = |(account, backlogs): (&Account, &Vec<Backlog>)| {
            (!backlogs.is_empty()).then_some(*account)
        };
        self.backlogs.iter().filter_map(waiting)
    }

    /// Records how many requests of an account wait at this router.
    pub fn set_backlog(&mut self, now: Time, router: Router, account: Account, waiting: u32) {
        let backlog = Backlog {
            router: Some(router),
            waiting,
            observed: now,
            via: None,
        };
        self.replace_backlog(account, backlog);
    }

    /// Drops the backlogs recorded for this router's own queues.
    pub fn clear_local_backlogs(&mut self) {
        self.drop_backlogs(None);
    }

    /// Adds the service of a sidecar's report, unless the report was already applied.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::{fair::UsageTable, wire::{Report, AccountUsage}};
    /// let mut table = UsageTable::new(1);
    /// let report = Report {
    ///     sequence: 1,
    ///     virtual_time: 0,
    ///     usages: vec![AccountUsage { account: 7, usage: 40 }],
    ///     requested: vec![7],
    /// };
    /// table.apply_report(Duration::ZERO, 3, 99, &report);
    /// table.apply_report(Duration::ZERO, 3, 99, &report);
    /// assert_eq!(table.usage(7), 40);
    /// ```
    pub fn apply_report(
        &mut self,
        now: Time,
        target: Target,
        incarnation: Incarnation,
        report: &Report,
    ) {
        let sidecar = self.sidecars.entry(target).or_default();
        if sidecar.incarnation != incarnation {
            *sidecar = SidecarState {
                incarnation,
                ..SidecarState::default()
            };
        }
        let fresh = report.sequence > sidecar.sequence;
        sidecar.sequence = sidecar.sequence.max(report.sequence);
        let served = report.usages.iter().map(|served| served.account);
        for account in served.chain(report.requested.iter().copied()) {
            sidecar.interest.insert(account, now);
        }
        if fresh {
            for served in &report.usages {
                self.add_usage(served.account, served.usage, None);
            }
        }
        self.virtual_time = self.virtual_time.max(report.virtual_time);
    }

    /// Returns the totals to send to each sidecar that reports to this router.
    pub fn all_totals(&mut self, now: Time) -> Vec<(Target, Totals)> {
        let targets: Vec<_> = self.sidecars.keys().copied().collect();
        targets
            .into_iter()
            .filter_map(|target| Some((target, self.totals(now, target)?)))
            .collect()
    }

    /// Removes a sidecar whose link has closed.
    pub fn remove_sidecar(&mut self, target: Target) {
        self.sidecars.remove(&target);
    }

    /// Adds a link to another router.
    ///
    /// `upward` says that the peer is this router's parent. The sums for this parent start
    /// with all service that no earlier parent has acknowledged.
    pub fn add_link(&mut self, peer: Router, upward: bool) {
        let mut link = LinkState {
            upward,
            base_until: 1,
            ..LinkState::default()
        };
        if upward {
            self.restore_unsent();
            let unsent = self.unsent.iter();
            link.outgoing = unsent
                .map(|(account, usage)| (*account, (*usage, 1)))
                .collect();
        }
        self.links.insert(peer, link);
    }

    /// Moves service that was sent to a parent but not acknowledged back to `unsent`.
    fn restore_unsent(&mut self) {
        let (_, unacked) = self.in_flight.take().unwrap_or_default();
        for (account, usage) in unacked {
            *self.unsent.entry(account).or_default() += usage;
        }
    }

    /// Removes a link to another router, and the backlogs received over it.
    pub fn remove_link(&mut self, peer: Router) {
        self.links.remove(&peer);
        self.drop_backlogs(Some(peer));
    }

    /// Returns the next exchange to send to a linked router.
    pub fn next_exchange(&mut self, peer: Router) -> Option<Exchange> {
        let entries = self.entries(peer)?;
        let hints = self.backlog_hints(peer);
        let link = self.links.get_mut(&peer)?;
        link.sent += 1;
        if link.upward && self.in_flight.is_none() {
            self.in_flight = Some((link.sent, std::mem::take(&mut self.unsent)));
        }
        let base = match link.acked < link.base_until {
            true => account_usages(&self.usage),
            false => Vec::new(),
        };
        Some(Exchange {
            service: self.service,
            sequence: link.sent,
            ack: link.received,
            virtual_time: self.virtual_time,
            base,
            entries,
            hints,
        })
    }

    /// Returns the entries for a peer: accounts with service that it has not acknowledged, or
    /// with requests that wait on this side of the link.
    fn entries(&self, peer: Router) -> Option<Vec<ExchangeEntry>> {
        let link = self.links.get(&peer)?;
        let changed = link.outgoing.iter().filter(|(_, out)| out.1 > link.acked);
        let changed = changed.map(|(account, _)| *account);
        let waiting = self.backlogged();
        let accounts: BTreeSet<_> = changed.chain(waiting).collect();
        let entry = |account| {
            let backlog = self.largest_backlog(account, Some(peer));
            let waiting = backlog.map_or(0, |backlog| backlog.waiting);
            let usage = link.outgoing.get(&account).map_or(0, |out| out.0);
            let known = link
                .outgoing
                .get(&account)
                .is_none_or(|out| out.1 <= link.acked);
            let unchanged = waiting == 0 && known;
            (!unchanged).then_some(ExchangeEntry {
                account,
                usage,
                waiting: log2_bucket(waiting),
            })
        };
        Some(accounts.into_iter().filter_map(entry).collect())
    }

    /// Merges an exchange received from a linked router.
    pub fn merge(&mut self, now: Time, peer: Router, exchange: &Exchange) {
        let Some(link) = self.links.get_mut(&peer) else {
            return;
        };
        // The absolute figures in a parent's first exchange already include its sums.
        let first = link.received == 0;
        link.received = link.received.max(exchange.sequence);
        link.acked = link.acked.max(exchange.ack);
        let upward = link.upward;
        let acked = link.acked;
        let mut increments = Vec::new();
        for entry in &exchange.entries {
            let sum = link.incoming.entry(entry.account).or_default();
            increments.push((entry.account, entry.usage.saturating_sub(*sum)));
            *sum = entry.usage.max(*sum);
        }
        if upward
            && self
                .in_flight
                .as_ref()
                .is_some_and(|(sent, _)| acked >= *sent)
        {
            self.in_flight = None;
        }
        if !upward || !first {
            for (account, usage) in increments {
                self.add_usage(account, usage, Some(peer));
            }
        }
        // A parent that already has a base takes only sums from its children.
        if upward || !self.has_base {
            self.adopt_base(peer, &exchange.base);
        }
        self.virtual_time = self.virtual_time.max(exchange.virtual_time);
        self.drop_backlogs(Some(peer));
        for entry in exchange.entries.iter().filter(|entry| entry.waiting > 0) {
            let hint = exchange
                .hints
                .iter()
                .find(|hint| hint.account == entry.account);
            let backlog = Backlog {
                router: hint.map(|hint| hint.router),
                waiting: 1 << (entry.waiting - 1).min(30),
                observed: now,
                via: Some(peer),
            };
            self.replace_backlog(entry.account, backlog);
        }
    }

    /// Drops stale backlogs and raises each backlogged account whose usage is more than
    /// [`MAX_LEAD`] below the largest.
    pub fn tick(&mut self, now: Time) {
        let fresh = |observed: Time| now.saturating_sub(observed) < BACKLOG_TTL;
        for backlogs in self.backlogs.values_mut() {
            backlogs.retain(|backlog| backlog.waiting > 0 && fresh(backlog.observed));
        }
        self.backlogs.retain(|_, backlogs| !backlogs.is_empty());
        let usages = self.backlogged().map(|account| self.usage(account));
        let floor = usages.max().unwrap_or(0).saturating_sub(MAX_LEAD);
        let accounts: Vec<_> = self.backlogged().collect();
        for account in accounts {
            self.raise_to(account, floor);
        }
    }

    /// Returns the least-served backlogged accounts, at most [`LEAST_SERVED_COUNT`].
    fn least_served(&self) -> Vec<Account> {
        let mut least: Vec<_> = self.backlogged().collect();
        least.sort_by_key(|account| self.usage(*account));
        least.truncate(LEAST_SERVED_COUNT);
        least
    }

    /// Returns the totals to send to a sidecar: changed usage of the accounts that it has recently
    /// reported or requested, and the least-served accounts.
    fn totals(&mut self, now: Time, target: Target) -> Option<Totals> {
        let least = self.least_served();
        let sidecar = self.sidecars.get_mut(&target)?;
        sidecar
            .interest
            .retain(|_, seen| now.saturating_sub(*seen) < INTEREST_TTL);
        let mut accounts = Vec::new();
        for account in sidecar.interest.keys() {
            let usage = self.usage.get(account).copied().unwrap_or_default();
            if sidecar.sent_usage.insert(*account, usage) != Some(usage) && !least.contains(account)
            {
                accounts.push(AccountTotal {
                    account: *account,
                    usage,
                    router: None,
                });
            }
        }
        sidecar
            .sent_usage
            .retain(|account, _| sidecar.interest.contains_key(account));
        let sequence = sidecar.sequence;
        let acked = std::mem::replace(&mut sidecar.acked, sequence);
        for account in least {
            accounts.push(AccountTotal {
                account,
                usage: self.usage(account),
                router: self
                    .largest_backlog(account, None)
                    .and_then(|backlog| backlog.router),
            });
        }
        // Nothing is sent without a total or a report to acknowledge.
        let changed = !accounts.is_empty() || sequence != acked;
        changed.then_some(Totals {
            sequence,
            interval: EXCHANGE_INTERVAL.as_millis() as u32,
            virtual_time: self.virtual_time,
            accounts,
        })
    }

    fn backlog_hints(&self, peer: Router) -> Vec<BacklogHint> {
        let hint = |account| {
            let backlog = self.largest_backlog(account, Some(peer))?;
            let router = backlog.router?;
            Some(BacklogHint { account, router })
        };
        self.least_served().into_iter().filter_map(hint).collect()
    }

    /// Returns the largest backlog of an account, without those received from `except`.
    fn largest_backlog(&self, account: Account, except: Option<Router>) -> Option<Backlog> {
        self.backlogs
            .get(&account)?
            .iter()
            .filter(|backlog| backlog.via.is_none() || backlog.via != except)
            .max_by_key(|backlog| backlog.waiting)
            .copied()
    }

    /// Drops the backlogs received from a peer, or this router's own for `None`.
    ///
    /// The account's empty list stays until the next tick, so an account that is recorded
    /// again before then does not count as returning.
    fn drop_backlogs(&mut self, peer: Option<Router>) {
        for backlogs in self.backlogs.values_mut() {
            backlogs.retain(|backlog| backlog.via != peer);
        }
    }

    /// Replaces the backlog of one source; a returning account starts at the lower median.
    fn replace_backlog(&mut self, account: Account, backlog: Backlog) {
        if !self.backlogs.contains_key(&account) && backlog.waiting > 0 {
            let usages = self.backlogged().map(|other| self.usage(other));
            let floor = super::lower_median(usages).unwrap_or(self.virtual_time);
            self.raise_to(account, floor);
        }
        let backlogs = self.backlogs.entry(account).or_default();
        backlogs.retain(|other| other.via != backlog.via);
        if backlog.waiting > 0 {
            backlogs.push(backlog);
        }
    }

    /// Adds service received from the peer `via`, or from a sidecar for `None`, and passes it
    /// on to the other peers.
    fn add_usage(&mut self, account: Account, usage: Usage, via: Option<Router>) {
        if usage == 0 {
            return;
        }
        *self.usage.entry(account).or_default() += usage;
        let from_parent =
            via.is_some_and(|via| self.links.get(&via).is_some_and(|link| link.upward));
        if !from_parent {
            *self.unsent.entry(account).or_default() += usage;
        }
        for (peer, link) in &mut self.links {
            if Some(*peer) != via {
                let (sum, changed) = link.outgoing.entry(account).or_default();
                *sum += usage;
                *changed = link.sent + 1;
            }
        }
    }

    /// Raises usage to a peer's absolute figures, and sends absolute figures to the children
    /// if the largest raise is at least [`MIN_PROPAGATED_RAISE`].
    ///
    /// The raise is passed on as absolute figures and not as sums. A router with an empty table
    /// adopts figures that other routers may already have, and adding them to the sums would count
    /// them twice there.
    fn adopt_base(&mut self, peer: Router, base: &[AccountUsage]) {
        self.has_base |= !base.is_empty();
        let mut raised = 0;
        for entry in base {
            let missing = entry.usage.saturating_sub(self.usage(entry.account));
            raised = raised.max(missing);
            self.raise_to(entry.account, entry.usage);
        }
        if raised < MIN_PROPAGATED_RAISE {
            return;
        }
        for (other, link) in &mut self.links {
            if *other != peer && !link.upward {
                link.base_until = link.sent + 1;
            }
        }
    }

    fn raise_to(&mut self, account: Account, floor: Usage) {
        let usage = self.usage.entry(account).or_default();
        *usage = (*usage).max(floor);
    }
}

/// Returns zero for zero, and one more than the integer binary logarithm for other numbers.
fn log2_bucket(number: u32) -> u8 {
    (u32::BITS - number.leading_zeros()) as u8
}

/// Returns the usage of each account as a list for an exchange.
fn account_usages(usage: &BTreeMap<Account, Usage>) -> Vec<AccountUsage> {
    usage
        .iter()
        .map(|(account, usage)| AccountUsage {
            account: *account,
            usage: *usage,
        })
        .collect()
}

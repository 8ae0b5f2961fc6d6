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

/// The interval between two exchanges of routers.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The time that an observation of a backlog is believed.
const HINT_LIFE: Duration = Duration::from_secs(15);

/// The time that a sidecar's interest in an account lasts.
const INTEREST_LIFE: Duration = Duration::from_secs(10);

/// The least raise that is passed on, in usage.
const ADOPT_MIN: Usage = 100_000;

/// The accounts with the least service that every sidecar is told of.
const LEAST_TOLD: usize = 8;

/// A backlog observed at a router.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    router: Option<Router>,
    waiting: u32,
    seen: Time,
    via: Option<Router>,
}

/// A sidecar whose home is this router.
#[derive(Debug, Default)]
struct Leaf {
    incarnation: Incarnation,
    sequence: u64,
    answered: u64,
    interest: BTreeMap<Account, Time>,
    told: BTreeMap<Account, Usage>,
}

/// A link to another router, in the tree of routers.
#[derive(Debug, Default)]
struct Edge {
    out: BTreeMap<Account, (Usage, u64)>,
    seen: BTreeMap<Account, Usage>,
    sent: u64,
    acked: u64,
    received: u64,
    upward: bool,
    /// The exchange from which on absolute figures are sent until acknowledged.
    based: u64,
}

/// The service that accounts have received from the fleet, as one router knows it.
///
/// Each link of the tree carries running sums of the service counted on its far side.
/// Sums only grow while the link lasts, so a lost, late, doubled or reordered exchange
/// does no harm. On a new link the child tells its parent of the service that no earlier
/// parent has acknowledged, and the parent answers with absolute figures, of which the
/// child takes the larger; a parent that has started empty adopts its first child's.
#[derive(Debug, Default)]
pub struct UsageTable {
    service: Service,
    usage: BTreeMap<Account, Usage>,
    level: Usage,
    backlogs: BTreeMap<Account, Vec<Backlog>>,
    leaves: BTreeMap<Target, Leaf>,
    edges: BTreeMap<Router, Edge>,
    /// Service counted on this side that no parent has been told of, and the exchange
    /// that tells of the rest.
    unsent: BTreeMap<Account, Usage>,
    flight: Option<(u64, BTreeMap<Account, Usage>)>,
    /// Whether absolute figures have been adopted or had at all.
    seasoned: bool,
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

    /// Returns the accounts that wait somewhere in the fleet.
    pub fn backlogged(&self) -> impl Iterator<Item = Account> + Clone {
        let waits =
            |(account, seen): (&Account, &Vec<Backlog>)| (!seen.is_empty()).then_some(*account);
        self.backlogs.iter().filter_map(waits)
    }

    /// Notes how many requests of an account wait at this router.
    pub fn set_backlog(&mut self, now: Time, router: Router, account: Account, waiting: u32) {
        let backlog = Backlog {
            router: Some(router),
            waiting,
            seen: now,
            via: None,
        };
        self.note(account, backlog);
    }

    /// Drops what was noted of this router's own queues.
    pub fn clear_local_backlogs(&mut self) {
        self.forget_backlogs(None);
    }

    /// Takes in a sidecar's report.
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
        let leaf = self.leaves.entry(target).or_default();
        if leaf.incarnation != incarnation {
            *leaf = Leaf {
                incarnation,
                ..Leaf::default()
            };
        }
        let fresh = report.sequence > leaf.sequence;
        leaf.sequence = leaf.sequence.max(report.sequence);
        let served = report.usages.iter().map(|tally| tally.account);
        for account in served.chain(report.requested.iter().copied()) {
            leaf.interest.insert(account, now);
        }
        if fresh {
            for tally in &report.usages {
                self.add(tally.account, tally.usage, None);
            }
        }
        self.level = self.level.max(report.virtual_time);
    }

    /// Returns what to tell each sidecar whose home is this router.
    pub fn all_totals(&mut self, now: Time) -> Vec<(Target, Totals)> {
        let targets: Vec<_> = self.leaves.keys().copied().collect();
        targets
            .into_iter()
            .filter_map(|target| Some((target, self.totals(now, target)?)))
            .collect()
    }

    /// Forgets a sidecar that has gone.
    pub fn remove_sidecar(&mut self, target: Target) {
        self.leaves.remove(&target);
    }

    /// Begins a link to another router.
    ///
    /// `upward` says that the peer is this router's parent. It is then told, as sums, of
    /// all service that an earlier parent has not acknowledged.
    pub fn add_link(&mut self, peer: Router, upward: bool) {
        let mut edge = Edge {
            upward,
            based: 1,
            ..Edge::default()
        };
        if upward {
            self.restore_unsent();
            let unsent = self.unsent.iter();
            edge.out = unsent
                .map(|(account, usage)| (*account, (*usage, 1)))
                .collect();
        }
        self.edges.insert(peer, edge);
    }

    /// Takes back what was on its way to a parent.
    fn restore_unsent(&mut self) {
        let (_, flight) = self.flight.take().unwrap_or_default();
        for (account, usage) in flight {
            *self.unsent.entry(account).or_default() += usage;
        }
    }

    /// Ends a link to another router.
    pub fn remove_link(&mut self, peer: Router) {
        self.edges.remove(&peer);
        self.forget_backlogs(Some(peer));
    }

    /// Returns what to tell a linked router.
    pub fn next_exchange(&mut self, peer: Router) -> Option<Exchange> {
        let entries = self.entries(peer)?;
        let hints = self.hints(peer);
        let edge = self.edges.get_mut(&peer)?;
        edge.sent += 1;
        if edge.upward && self.flight.is_none() {
            self.flight = Some((edge.sent, std::mem::take(&mut self.unsent)));
        }
        let base = match edge.acked < edge.based {
            true => tallies_of(&self.usage),
            false => Vec::new(),
        };
        Some(Exchange {
            service: self.service,
            sequence: edge.sent,
            ack: edge.received,
            virtual_time: self.level,
            base,
            entries,
            hints,
        })
    }

    /// Returns the accounts of this side that have changed or wait.
    fn entries(&self, peer: Router) -> Option<Vec<ExchangeEntry>> {
        let edge = self.edges.get(&peer)?;
        let changed = edge.out.iter().filter(|(_, out)| out.1 > edge.acked);
        let changed = changed.map(|(account, _)| *account);
        let waiting = self.backlogged();
        let accounts: BTreeSet<_> = changed.chain(waiting).collect();
        let entry = |account| {
            let backlog = self.fullest(account, Some(peer));
            let waiting = backlog.map_or(0, |backlog| backlog.waiting);
            let usage = edge.out.get(&account).map_or(0, |out| out.0);
            let known = edge.out.get(&account).is_none_or(|out| out.1 <= edge.acked);
            let silent = waiting == 0 && known;
            (!silent).then_some(ExchangeEntry {
                account,
                usage,
                waiting: logarithm(waiting),
            })
        };
        Some(accounts.into_iter().filter_map(entry).collect())
    }

    /// Takes in what a linked router tells.
    pub fn merge(&mut self, now: Time, peer: Router, exchange: &Exchange) {
        let Some(edge) = self.edges.get_mut(&peer) else {
            return;
        };
        // A parent's first base includes what the link has carried so far.
        let first = edge.received == 0;
        edge.received = edge.received.max(exchange.sequence);
        edge.acked = edge.acked.max(exchange.ack);
        let upward = edge.upward;
        let acked = edge.acked;
        let mut grown = Vec::new();
        for entry in &exchange.entries {
            let seen = edge.seen.entry(entry.account).or_default();
            grown.push((entry.account, entry.usage.saturating_sub(*seen)));
            *seen = entry.usage.max(*seen);
        }
        if upward && self.flight.as_ref().is_some_and(|(sent, _)| acked >= *sent) {
            self.flight = None;
        }
        if !upward || !first {
            for (account, usage) in grown {
                self.add(account, usage, Some(peer));
            }
        }
        // A parent that has figures of its own needs only what this side has counted.
        if upward || !self.seasoned {
            self.adopt(peer, &exchange.base);
        }
        self.level = self.level.max(exchange.virtual_time);
        self.forget_backlogs(Some(peer));
        for entry in exchange.entries.iter().filter(|entry| entry.waiting > 0) {
            let hint = exchange
                .hints
                .iter()
                .find(|hint| hint.account == entry.account);
            let backlog = Backlog {
                router: hint.map(|hint| hint.router),
                waiting: 1 << (entry.waiting - 1).min(30),
                seen: now,
                via: Some(peer),
            };
            self.note(entry.account, backlog);
        }
    }

    /// Drops outdated observations and bounds the lead of any account.
    pub fn tick(&mut self, now: Time) {
        let fresh = |seen: Time| now.saturating_sub(seen) < HINT_LIFE;
        for seen in self.backlogs.values_mut() {
            seen.retain(|backlog| backlog.waiting > 0 && fresh(backlog.seen));
        }
        self.backlogs.retain(|_, seen| !seen.is_empty());
        let usages = self.backlogged().map(|account| self.usage(account));
        let floor = usages.max().unwrap_or(0).saturating_sub(MAX_LEAD);
        let accounts: Vec<_> = self.backlogged().collect();
        for account in accounts {
            self.raise(account, floor);
        }
    }

    /// Returns the backlogged accounts with the least service.
    fn least(&self) -> Vec<Account> {
        let mut least: Vec<_> = self.backlogged().collect();
        least.sort_by_key(|account| self.usage(*account));
        least.truncate(LEAST_TOLD);
        least
    }

    fn totals(&mut self, now: Time, target: Target) -> Option<Totals> {
        let least = self.least();
        let leaf = self.leaves.get_mut(&target)?;
        leaf.interest
            .retain(|_, seen| now.saturating_sub(*seen) < INTEREST_LIFE);
        let mut accounts = Vec::new();
        for account in leaf.interest.keys() {
            let usage = self.usage.get(account).copied().unwrap_or_default();
            if leaf.told.insert(*account, usage) != Some(usage) && !least.contains(account) {
                accounts.push(AccountTotal {
                    account: *account,
                    usage,
                    router: None,
                });
            }
        }
        leaf.told
            .retain(|account, _| leaf.interest.contains_key(account));
        let sequence = leaf.sequence;
        let answered = std::mem::replace(&mut leaf.answered, sequence);
        for account in least {
            accounts.push(AccountTotal {
                account,
                usage: self.usage(account),
                router: self
                    .fullest(account, None)
                    .and_then(|backlog| backlog.router),
            });
        }
        // A sidecar with nothing to learn is left alone.
        let news = !accounts.is_empty() || sequence != answered;
        news.then_some(Totals {
            sequence,
            interval: EXCHANGE_INTERVAL.as_millis() as u32,
            virtual_time: self.level,
            accounts,
        })
    }

    fn hints(&self, peer: Router) -> Vec<BacklogHint> {
        let hint = |account| {
            let backlog = self.fullest(account, Some(peer))?;
            let router = backlog.router?;
            Some(BacklogHint { account, router })
        };
        self.least().into_iter().filter_map(hint).collect()
    }

    /// Returns where most requests of an account wait, `except` what a peer told.
    fn fullest(&self, account: Account, except: Option<Router>) -> Option<Backlog> {
        self.backlogs
            .get(&account)?
            .iter()
            .filter(|backlog| backlog.via.is_none() || backlog.via != except)
            .max_by_key(|backlog| backlog.waiting)
            .copied()
    }

    /// Drops what a peer has told of backlogs; accounts that it names again soon do not
    /// count as returning.
    fn forget_backlogs(&mut self, peer: Option<Router>) {
        for seen in self.backlogs.values_mut() {
            seen.retain(|backlog| backlog.via != peer);
        }
    }

    fn note(&mut self, account: Account, backlog: Backlog) {
        if !self.backlogs.contains_key(&account) && backlog.waiting > 0 {
            let usages = self.backlogged().map(|other| self.usage(other));
            let floor = super::lower_median(usages).unwrap_or(self.level);
            self.raise(account, floor);
        }
        let seen = self.backlogs.entry(account).or_default();
        seen.retain(|other| other.via != backlog.via);
        if backlog.waiting > 0 {
            seen.push(backlog);
        }
    }

    /// Adds service counted behind `via`, or by a sidecar, and passes it on.
    fn add(&mut self, account: Account, usage: Usage, via: Option<Router>) {
        if usage == 0 {
            return;
        }
        *self.usage.entry(account).or_default() += usage;
        let from_parent = via.is_some_and(|via| self.edges.get(&via).is_some_and(|e| e.upward));
        if !from_parent {
            *self.unsent.entry(account).or_default() += usage;
        }
        for (peer, edge) in &mut self.edges {
            if Some(*peer) != via {
                let (sum, changed) = edge.out.entry(account).or_default();
                *sum += usage;
                *changed = edge.sent + 1;
            }
        }
    }

    /// Raises figures to those of a peer, and has the other peers do the same.
    ///
    /// They are passed on as absolute figures: passed on as sums, the figures that an
    /// empty router adopts would count twice.
    fn adopt(&mut self, peer: Router, base: &[AccountUsage]) {
        self.seasoned |= !base.is_empty();
        let mut raised = 0;
        for tally in base {
            let missing = tally.usage.saturating_sub(self.usage(tally.account));
            raised = raised.max(missing);
            self.raise(tally.account, tally.usage);
        }
        if raised < ADOPT_MIN {
            return;
        }
        for (other, edge) in &mut self.edges {
            if *other != peer && !edge.upward {
                edge.based = edge.sent + 1;
            }
        }
    }

    fn raise(&mut self, account: Account, floor: Usage) {
        let usage = self.usage.entry(account).or_default();
        *usage = (*usage).max(floor);
    }
}

/// Returns zero for zero, and one more than the binary logarithm for other numbers.
fn logarithm(number: u32) -> u8 {
    (u32::BITS - number.leading_zeros()) as u8
}

fn tallies_of(usage: &BTreeMap<Account, Usage>) -> Vec<AccountUsage> {
    usage
        .iter()
        .map(|(account, usage)| AccountUsage {
            account: *account,
            usage: *usage,
        })
        .collect()
}

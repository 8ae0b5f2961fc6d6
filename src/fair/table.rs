//! A router's table of the service that accounts have received from the whole fleet.

use std::{
    collections::BTreeMap,
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
        Exchange,
        Hint,
        Report,
        Standing,
        Tally,
        Totals, //
    },
};

/// The interval between two exchanges of routers.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// The time that an observation of a backlog is believed.
const HINT_LIFE: Duration = Duration::from_secs(3);

/// The time that a sidecar's interest in an account lasts.
const INTEREST_LIFE: Duration = Duration::from_secs(10);

/// The least raise that is passed on, in usage.
const ADOPT_MIN: Usage = 100_000;

/// The accounts with the least service that every sidecar is told of.
const LEAST_TOLD: usize = 8;

/// A backlog observed at a router.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    router: Router,
    waiting: u32,
    seen: Time,
    via: Option<Router>,
}

/// A sidecar whose home is this router.
#[derive(Debug, Default)]
struct Leaf {
    incarnation: Incarnation,
    sequence: u64,
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
    /// The exchange from which on absolute figures are sent until acknowledged.
    based: u64,
}

/// The service that accounts have received from the fleet, as one router knows it.
///
/// Each link of the tree carries running sums of the service counted on its far side.
/// Sums only grow while the link lasts, so a lost, late, doubled or reordered exchange
/// does no harm. A new link starts with the absolute figures of both sides, of which
/// each takes the larger.
#[derive(Debug, Default)]
pub struct Table {
    service: Service,
    usage: BTreeMap<Account, Usage>,
    level: Usage,
    backlogs: BTreeMap<Account, Vec<Backlog>>,
    leaves: BTreeMap<Target, Leaf>,
    edges: BTreeMap<Router, Edge>,
}

impl Table {
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
        self.backlogs.keys().copied()
    }

    /// Notes how many requests of an account wait at this router.
    pub fn observe(&mut self, now: Time, router: Router, account: Account, waiting: u32) {
        let backlog = Backlog {
            router,
            waiting,
            seen: now,
            via: None,
        };
        self.note(account, backlog);
    }

    /// Takes in a sidecar's report and returns the answer to it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::{fair::Table, wire::{Report, Tally}};
    /// let mut table = Table::new(1);
    /// let report = Report {
    ///     sequence: 1,
    ///     level: 0,
    ///     tallies: vec![Tally { account: 7, usage: 40 }],
    ///     wanted: vec![7],
    /// };
    /// table.report(Duration::ZERO, 3, 99, &report);
    /// let totals = table.report(Duration::ZERO, 3, 99, &report);
    /// assert_eq!(table.usage(7), 40);
    /// assert_eq!(totals.sequence, 1);
    /// ```
    pub fn report(
        &mut self,
        now: Time,
        target: Target,
        incarnation: Incarnation,
        report: &Report,
    ) -> Totals {
        let leaf = self.leaves.entry(target).or_default();
        if leaf.incarnation != incarnation {
            *leaf = Leaf {
                incarnation,
                ..Leaf::default()
            };
        }
        let fresh = report.sequence > leaf.sequence;
        leaf.sequence = leaf.sequence.max(report.sequence);
        let served = report.tallies.iter().map(|tally| tally.account);
        for account in served.chain(report.wanted.iter().copied()) {
            leaf.interest.insert(account, now);
        }
        if fresh {
            for tally in &report.tallies {
                self.add(tally.account, tally.usage, None);
            }
        }
        self.level = self.level.max(report.level);
        self.totals(now, target)
    }

    /// Forgets a sidecar that has gone.
    pub fn forget(&mut self, target: Target) {
        self.leaves.remove(&target);
    }

    /// Begins a link to another router.
    pub fn link(&mut self, peer: Router) {
        let edge = Edge {
            based: 1,
            ..Edge::default()
        };
        self.edges.insert(peer, edge);
    }

    /// Ends a link to another router.
    pub fn unlink(&mut self, peer: Router) {
        self.edges.remove(&peer);
    }

    /// Returns what to tell a linked router.
    pub fn exchange(&mut self, now: Time, peer: Router) -> Option<Exchange> {
        let edge = self.edges.get_mut(&peer)?;
        edge.sent += 1;
        let tallies = edge
            .out
            .iter()
            .filter(|(_, (_, changed))| *changed > edge.acked)
            .map(|(account, (usage, _))| Tally {
                account: *account,
                usage: *usage,
            })
            .collect();
        let base = match edge.acked < edge.based {
            true => tallies_of(&self.usage),
            false => Vec::new(),
        };
        Some(Exchange {
            service: self.service,
            sequence: edge.sent,
            ack: edge.received,
            level: self.level,
            base,
            tallies,
            hints: self.hints(now, peer),
        })
    }

    /// Takes in what a linked router tells.
    pub fn merge(&mut self, now: Time, peer: Router, exchange: &Exchange) {
        let Some(edge) = self.edges.get_mut(&peer) else {
            return;
        };
        // The first base includes what the link has carried so far.
        let first = edge.received == 0;
        edge.received = edge.received.max(exchange.sequence);
        edge.acked = edge.acked.max(exchange.ack);
        let mut grown = Vec::new();
        for tally in &exchange.tallies {
            let seen = edge.seen.entry(tally.account).or_default();
            grown.push((tally.account, tally.usage.saturating_sub(*seen)));
            *seen = tally.usage.max(*seen);
        }
        if !first {
            for (account, usage) in grown {
                self.add(account, usage, Some(peer));
            }
        }
        self.adopt(peer, &exchange.base);
        self.level = self.level.max(exchange.level);
        for hint in &exchange.hints {
            let age = Duration::from_millis(u64::from(hint.age));
            let backlog = Backlog {
                router: hint.router,
                waiting: hint.waiting,
                seen: now.saturating_sub(age),
                via: Some(peer),
            };
            self.note(hint.account, backlog);
        }
    }

    /// Drops outdated observations and bounds the lead of any account.
    pub fn tick(&mut self, now: Time) {
        let fresh = |seen: Time| now.saturating_sub(seen) < HINT_LIFE;
        for seen in self.backlogs.values_mut() {
            seen.retain(|backlog| backlog.waiting > 0 && fresh(backlog.seen));
        }
        self.backlogs.retain(|_, seen| !seen.is_empty());
        let usages = self.backlogs.keys().map(|account| self.usage(*account));
        let floor = usages.max().unwrap_or(0).saturating_sub(MAX_LEAD);
        let accounts: Vec<_> = self.backlogged().collect();
        for account in accounts {
            self.raise(account, floor);
        }
    }

    /// Returns the bytes of state that the table keeps, without allocator overhead.
    pub fn size(&self) -> usize {
        let pair = size_of::<(Account, Usage)>();
        let edges: usize = self
            .edges
            .values()
            .map(|edge| edge.out.len() * (pair + size_of::<u64>()) + edge.seen.len() * pair)
            .sum();
        let leaves: usize = self
            .leaves
            .values()
            .map(|leaf| (leaf.interest.len() + leaf.told.len()) * pair)
            .sum();
        let backlogs = self.backlogs.len() * size_of::<Backlog>();
        self.usage.len() * pair + edges + leaves + backlogs
    }

    fn totals(&mut self, now: Time, target: Target) -> Totals {
        let mut least: Vec<_> = self.backlogs.keys().copied().collect();
        least.sort_by_key(|account| self.usage(*account));
        least.truncate(LEAST_TOLD);
        let Some(leaf) = self.leaves.get_mut(&target) else {
            return Totals {
                sequence: 0,
                level: self.level,
                standings: Vec::new(),
            };
        };
        leaf.interest
            .retain(|_, seen| now.saturating_sub(*seen) < INTEREST_LIFE);
        let mut standings = Vec::new();
        for account in leaf.interest.keys() {
            let usage = self.usage.get(account).copied().unwrap_or_default();
            if leaf.told.insert(*account, usage) != Some(usage) && !least.contains(account) {
                standings.push(Standing {
                    account: *account,
                    usage,
                    router: None,
                });
            }
        }
        leaf.told
            .retain(|account, _| leaf.interest.contains_key(account));
        let sequence = leaf.sequence;
        for account in least {
            standings.push(Standing {
                account,
                usage: self.usage(account),
                router: self.fullest(account, None).map(|backlog| backlog.router),
            });
        }
        Totals {
            sequence,
            level: self.level,
            standings,
        }
    }

    fn hints(&self, now: Time, peer: Router) -> Vec<Hint> {
        let fullest = |account: &Account| {
            let backlog = self.fullest(*account, Some(peer))?;
            Some(Hint {
                account: *account,
                router: backlog.router,
                waiting: backlog.waiting,
                age: now.saturating_sub(backlog.seen).as_millis() as u32,
            })
        };
        self.backlogs.keys().filter_map(fullest).collect()
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

    fn note(&mut self, account: Account, backlog: Backlog) {
        if !self.backlogs.contains_key(&account) && backlog.waiting > 0 {
            let usages = self.backlogs.keys().map(|other| self.usage(*other));
            let floor = usages.min().unwrap_or(self.level);
            self.raise(account, floor);
        }
        let seen = self.backlogs.entry(account).or_default();
        seen.retain(|other| other.via != backlog.via);
        if backlog.waiting > 0 {
            seen.push(backlog);
        }
        if seen.is_empty() {
            self.backlogs.remove(&account);
        }
    }

    /// Adds service counted behind `via`, or by a sidecar, and passes it on.
    fn add(&mut self, account: Account, usage: Usage, via: Option<Router>) {
        if usage == 0 {
            return;
        }
        *self.usage.entry(account).or_default() += usage;
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
    fn adopt(&mut self, peer: Router, base: &[Tally]) {
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
            if *other != peer {
                edge.based = edge.sent + 1;
            }
        }
    }

    fn raise(&mut self, account: Account, floor: Usage) {
        let usage = self.usage.entry(account).or_default();
        *usage = (*usage).max(floor);
    }
}

fn tallies_of(usage: &BTreeMap<Account, Usage>) -> Vec<Tally> {
    usage
        .iter()
        .map(|(account, usage)| Tally {
            account: *account,
            usage: *usage,
        })
        .collect()
}

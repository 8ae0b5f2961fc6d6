//! The order among accounts, by the service that each has lately had from the whole fleet.

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
        Served,
        Standing, //
    },
    wire::AccountUsage, //
};

/// The time in which service counts for less by a factor of e: of the order of the windows
/// in which callers notice that others are served before them.
const MEMORY: Duration = Duration::from_secs(4);

/// The time for which an account that was refused counts as one that is kept waiting.
const PRESSED: Duration = Duration::from_secs(3);

/// The part that is counted of service that is given while nobody is refused: it was taken
/// from nobody, but those who come next find the engines full of it.
const CALM_PART: f64 = 0.05;

/// The accounts that other routers are told of; with those asked for and those given, they fit
/// into one datagram.
const MOST_TOLD: usize = 1_000;

/// Service that fades with time.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    usage: f64,
    at: Time,
}

impl Fading {
    fn at(self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at);
        self.usage * (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Time, usage: f64) {
        self.usage = (self.at(now) + usage).max(0.0);
        self.at = now;
    }
}

/// What a source has told.
#[derive(Clone, Debug, Default)]
struct Peer {
    usage: BTreeMap<Account, Fading>,
    asked: BTreeMap<Account, Fading>,
    refused: Vec<Account>,
    heard: Time,
}

/// The service that accounts have lately had, from this router and from the others.
///
/// Service fades, so an account that returns from idleness is served first for some seconds
/// and no longer, and nothing has to be kept when a router starts again.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    own: BTreeMap<Account, Fading>,
    asked: BTreeMap<Account, Fading>,
    peers: BTreeMap<Source, Peer>,
    refused: BTreeMap<Account, Time>,
}

impl Ledger {
    /// Counts service given by this router, and returns what is counted of it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::{mesh::Source, pool::{Ledger, Standing}, wire::AccountUsage};
    /// let mut ledger = Ledger::default();
    /// ledger.charge(Duration::ZERO, 7, 40);
    /// let given = vec![AccountUsage { account: 7, usage: 2 }];
    /// let standing = Standing { given, ..Standing::default() };
    /// ledger.merge(Duration::ZERO, Source::router(1), &standing);
    /// ledger.merge(Duration::ZERO, Source::router(1), &standing);
    /// assert_eq!(ledger.usage(Duration::ZERO, 7), 4);
    /// // From the first refusal on, service is taken from others.
    /// ledger.refuse(Duration::ZERO, 8);
    /// ledger.charge(Duration::ZERO, 7, 30);
    /// assert_eq!(ledger.usage(Duration::ZERO, 7), 34);
    /// assert_eq!(ledger.usage(Duration::from_secs(4), 7), 12);
    /// ```
    pub fn charge(&mut self, now: Time, account: Account, usage: Usage) -> Usage {
        let part = match self.is_pressed(now) {
            true => 1.0,
            false => CALM_PART,
        };
        let charged = usage as f64 * part;
        self.own.entry(account).or_default().add(now, charged);
        charged as Usage
    }

    /// Returns whether any account was refused lately.
    fn is_pressed(&self, now: Time) -> bool {
        let here = self.refused.values().any(|at| now < *at + PRESSED);
        here || refused_by(now, self.peers.values()).next().is_some()
    }

    /// Takes back what was counted of service that was not given.
    pub fn refund(&mut self, now: Time, account: Account, usage: Usage) {
        self.own
            .entry(account)
            .or_default()
            .add(now, -(usage as f64));
    }

    /// Counts service that an account has asked for here, given or not.
    pub fn ask(&mut self, now: Time, account: Account, usage: Usage) {
        let asked = self.asked.entry(account).or_default();
        asked.add(now, usage as f64);
    }

    /// Notes that a request of an account was refused for want of room.
    pub fn refuse(&mut self, now: Time, account: Account) {
        self.refused.insert(account, now);
    }

    /// Returns the accounts that were refused lately within a scope that this router speaks for.
    pub fn refused(&self, now: Time, scope: Scope) -> Vec<Account> {
        let elsewhere = refused_by(now, self.narrower(scope));
        let accounts: BTreeSet<_> = elsewhere.chain(self.refused_here(now)).collect();
        accounts.into_iter().take(MOST_TOLD).collect()
    }

    fn refused_here(&self, now: Time) -> impl Iterator<Item = Account> {
        let lately = move |(_, at): &(&Account, &Time)| now < **at + PRESSED;
        let refused = self.refused.iter().filter(lately);
        refused.map(|(account, _)| *account)
    }

    /// Returns the accounts that were refused lately, here or at another router.
    pub fn all_refused(&self, now: Time) -> Vec<Served> {
        let elsewhere = refused_by(now, self.peers.values());
        let accounts: BTreeSet<_> = elsewhere.chain(self.refused_here(now)).collect();
        let standing = |account| self.standing(now, account);
        accounts.into_iter().map(standing).collect()
    }

    /// Returns what those have told that this router speaks for in a scope.
    fn narrower(&self, scope: Scope) -> impl Iterator<Item = &Peer> {
        let narrower = self.peers.range(..Source { scope, id: 0 });
        narrower.map(|(_, peer)| peer)
    }

    /// Forgets what sources have told whose figures others tell from now on.
    pub fn forget_all_but(&mut self, is_kept: impl Fn(Source) -> bool) {
        self.peers.retain(|source, _| is_kept(*source));
    }

    /// Takes in what a source has given lately, and what it was asked for; it replaces what it
    /// has told before.
    pub fn merge(&mut self, now: Time, source: Source, standing: &Standing) {
        let fading = |tally: &AccountUsage| {
            let usage = tally.usage as f64;
            (tally.account, Fading { usage, at: now })
        };
        let peer = Peer {
            usage: standing.given.iter().map(fading).collect(),
            asked: standing.asked.iter().map(fading).collect(),
            refused: standing.refused.clone(),
            heard: now,
        };
        self.peers.insert(source, peer);
    }

    /// Returns what was given lately within a scope that this router speaks for.
    pub fn given(&self, now: Time, scope: Scope) -> Vec<AccountUsage> {
        let peers = self.narrower(scope).map(|peer| &peer.usage);
        tallies(totals(now, [&self.own].into_iter().chain(peers)))
    }

    /// Returns what was asked for lately within a scope that this router speaks for.
    pub fn asked(&self, now: Time, scope: Scope) -> Vec<AccountUsage> {
        let peers = self.narrower(scope).map(|peer| &peer.asked);
        tallies(totals(now, [&self.asked].into_iter().chain(peers)))
    }

    /// Returns what this router and each other one have given.
    fn all_given(&self) -> impl Iterator<Item = &BTreeMap<Account, Fading>> {
        let peers = self.peers.values().map(|peer| &peer.usage);
        [&self.own].into_iter().chain(peers)
    }

    /// Returns what this router and each other one were asked for.
    fn all_asked(&self) -> impl Iterator<Item = &BTreeMap<Account, Fading>> {
        let peers = self.peers.values().map(|peer| &peer.asked);
        [&self.asked].into_iter().chain(peers)
    }

    /// Returns the service that an account has lately had.
    pub fn usage(&self, now: Time, account: Account) -> Usage {
        total(now, account, self.all_given())
    }

    /// Returns the most service that any account has lately had.
    pub fn most(&self, now: Time) -> Usage {
        let most = totals(now, self.all_given()).into_values();
        most.fold(0.0, f64::max) as Usage
    }

    /// Returns what an account has lately had and asked for.
    pub fn standing(&self, now: Time, account: Account) -> Served {
        Served {
            usage: self.usage(now, account),
            asked: total(now, account, self.all_asked()),
        }
    }

    /// Returns the service above which an account has had more than its share, where all
    /// accounts together can have `rate` in a second.
    ///
    /// Accounts that ask for less than an even share leave the rest to the others (max-min
    /// fairness).
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::Ledger;
    /// let mut ledger = Ledger::default();
    /// for (account, asked) in [(1, 100), (2, 900), (3, 2_000)] {
    ///     ledger.ask(Duration::ZERO, account, asked);
    /// }
    /// // What is counted of 4 s at 400 in a second is 1,600: 100 for one, 750 for each other.
    /// assert_eq!(ledger.level(Duration::ZERO, 400), 750);
    /// ```
    pub fn level(&self, now: Time, rate: u64) -> Usage {
        let asked = totals(now, self.all_asked());
        let mut asked: Vec<_> = asked.into_values().collect();
        asked.sort_by(f64::total_cmp);
        let mut left = rate as f64 * MEMORY.as_secs_f64();
        for (i, demand) in asked.iter().enumerate() {
            let even = left / (asked.len() - i) as f64;
            if *demand > even {
                return even as Usage;
            }
            left -= demand;
        }
        Usage::MAX
    }
}

/// Returns the accounts that peers refused lately, with repetitions.
fn refused_by<'a>(
    now: Time,
    peers: impl Iterator<Item = &'a Peer>,
) -> impl Iterator<Item = Account> {
    let fresh = peers.filter(move |peer| now < peer.heard + PRESSED);
    fresh.flat_map(|peer| peer.refused.iter().copied())
}

/// Returns what one account has at all routers together.
fn total<'a>(
    now: Time,
    account: Account,
    parts: impl Iterator<Item = &'a BTreeMap<Account, Fading>>,
) -> Usage {
    let found = parts.filter_map(|part| part.get(&account));
    found.map(|fading| fading.at(now)).sum::<f64>() as Usage
}

/// Returns what each account has at all routers together.
fn totals<'a>(
    now: Time,
    parts: impl Iterator<Item = &'a BTreeMap<Account, Fading>>,
) -> BTreeMap<Account, f64> {
    let mut totals = BTreeMap::new();
    for (account, fading) in parts.flatten() {
        *totals.entry(*account).or_default() += fading.at(now);
    }
    totals
}

/// Returns what accounts have, for those that have the most.
fn tallies(totals: BTreeMap<Account, f64>) -> Vec<AccountUsage> {
    let tally = |(account, usage)| AccountUsage {
        account,
        usage: usage as Usage,
    };
    let tallies = totals.into_iter().map(tally);
    let mut tallies: Vec<_> = tallies.filter(|tally| tally.usage > 0).collect();
    if tallies.len() > MOST_TOLD {
        tallies.select_nth_unstable_by_key(MOST_TOLD, |tally| Reverse(tally.usage));
        tallies.truncate(MOST_TOLD);
    }
    tallies
}

//! The order among accounts, by the service that each has lately had from the whole fleet.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use crate::{
    ids::{
        Account,
        Router,
        Time,
        Usage, //
    },
    wire::Tally, //
};

/// The time in which service counts for less by a factor of e: of the order of the windows
/// in which callers notice that others are served before them.
const MEMORY: Duration = Duration::from_secs(4);

/// The time for which an account that was refused counts as one that waits.
const PRESSED: Duration = Duration::from_millis(1_000);

/// The lead over the least served account that no one is held back for, in usage: some of
/// the largest requests.
const SLACK: Usage = 40_000;

/// The lead beyond it, as a part of what the least served account has had.
const LEAD: f64 = 0.2;

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

/// What another router has told.
#[derive(Clone, Debug, Default)]
struct Peer {
    usage: BTreeMap<Account, Fading>,
    pressed: BTreeSet<Account>,
    heard: Time,
}

/// The service that accounts have lately had, from this router and from the others.
///
/// Service fades, so an account that returns from idleness is served first for some seconds
/// and no longer, and nothing has to be kept when a router starts again.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    own: BTreeMap<Account, Fading>,
    peers: BTreeMap<Router, Peer>,
    refused: BTreeMap<Account, Time>,
}

impl Ledger {
    /// Counts service given by this router.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::{pool::Ledger, wire::Tally};
    /// let mut ledger = Ledger::default();
    /// ledger.charge(Duration::ZERO, 7, 40);
    /// ledger.merge(Duration::ZERO, 1, &[Tally { account: 7, usage: 2 }], &[]);
    /// ledger.merge(Duration::ZERO, 1, &[Tally { account: 7, usage: 2 }], &[]);
    /// assert_eq!(ledger.usage(Duration::ZERO, 7), 42);
    /// assert_eq!(ledger.usage(Duration::from_secs(4), 7), 15);
    /// ```
    pub fn charge(&mut self, now: Time, account: Account, usage: Usage) {
        self.own.entry(account).or_default().add(now, usage as f64);
    }

    /// Takes back service that was counted and not given.
    pub fn refund(&mut self, now: Time, account: Account, usage: Usage) {
        self.own
            .entry(account)
            .or_default()
            .add(now, -(usage as f64));
    }

    /// Notes that a request of an account was refused for want of room.
    pub fn press(&mut self, now: Time, account: Account) {
        self.refused.insert(account, now);
    }

    /// Takes in what another router has given lately, and whose requests wait there.
    pub fn merge(&mut self, now: Time, router: Router, tallies: &[Tally], pressed: &[Account]) {
        let fading = |tally: &Tally| {
            let usage = tally.usage as f64;
            (tally.account, Fading { usage, at: now })
        };
        let peer = Peer {
            usage: tallies.iter().map(fading).collect(),
            pressed: pressed.iter().copied().collect(),
            heard: now,
        };
        self.peers.insert(router, peer);
    }

    /// Returns what this router has given lately.
    pub fn tallies(&self, now: Time) -> Vec<Tally> {
        let tally = |(account, fading): (&Account, &Fading)| Tally {
            account: *account,
            usage: fading.at(now) as Usage,
        };
        let tallies = self.own.iter().map(tally);
        tallies.filter(|tally| tally.usage > 0).collect()
    }

    /// Returns the accounts that were refused here lately.
    pub fn refused(&self, now: Time) -> impl Iterator<Item = Account> {
        let lately = move |at: &Time| now < *at + PRESSED;
        let refused = self.refused.iter().filter(move |(_, at)| lately(at));
        refused.map(|(account, _)| *account)
    }

    /// Returns the service that an account has lately had.
    pub fn usage(&self, now: Time, account: Account) -> Usage {
        let of = |usage: &BTreeMap<Account, Fading>| usage.get(&account).map_or(0.0, |f| f.at(now));
        let peers: f64 = self.peers.values().map(|peer| of(&peer.usage)).sum();
        (of(&self.own) + peers) as Usage
    }

    /// Returns the most service that an account may have had without being ahead of one that
    /// waits, here among `waiting` or at another router.
    pub fn bound(&self, now: Time, waiting: impl Iterator<Item = Account>) -> Usage {
        let fresh = |peer: &&Peer| now < peer.heard + PRESSED;
        let peers = self.peers.values().filter(fresh);
        let elsewhere = peers.flat_map(|peer| peer.pressed.iter().copied());
        let pressed = waiting.chain(self.refused(now)).chain(elsewhere);
        let least = pressed.map(|account| self.usage(now, account)).min();
        least.map_or(Usage::MAX, |least| {
            least + SLACK + (least as f64 * LEAD) as Usage
        })
    }
}

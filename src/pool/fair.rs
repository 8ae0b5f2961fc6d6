//! The order among accounts, by the service that each has had from the whole fleet.

use std::collections::BTreeMap;

use crate::{
    ids::{
        Account,
        Incarnation,
        Router,
        Usage, //
    },
    wire::Tally, //
};

/// A peer's counters, which only grow within its incarnation.
#[derive(Clone, Debug, Default)]
struct Peer {
    incarnation: Incarnation,
    usage: BTreeMap<Account, Usage>,
}

/// The service that accounts have had, from this router and from the others.
///
/// An account that comes back from idleness starts level with the one that was served last
/// (virtual token counter, Sheng et al., OSDI 2024).
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    own: BTreeMap<Account, Usage>,
    peers: BTreeMap<Router, Peer>,
    lift: BTreeMap<Account, Usage>,
    level: Usage,
}

impl Ledger {
    /// Counts service given by this router.
    ///
    /// ```
    /// use redwingyard::{pool::Ledger, wire::Tally};
    /// let mut ledger = Ledger::default();
    /// ledger.charge(7, 40);
    /// ledger.merge(1, 99, &[Tally { account: 7, usage: 2 }]);
    /// ledger.merge(1, 99, &[Tally { account: 7, usage: 2 }]);
    /// assert_eq!(ledger.usage(7), 42);
    /// ```
    pub fn charge(&mut self, account: Account, usage: Usage) {
        self.level = self.level.max(self.usage(account));
        *self.own.entry(account).or_default() += usage;
    }

    /// Takes back service that was counted and not given.
    pub fn refund(&mut self, account: Account, usage: Usage) {
        let own = self.own.entry(account).or_default();
        *own = own.saturating_sub(usage);
    }

    /// Takes in another router's counters.
    pub fn merge(&mut self, router: Router, incarnation: Incarnation, tallies: &[Tally]) {
        let peer = self.peers.entry(router).or_default();
        if peer.incarnation != incarnation {
            // What the earlier incarnation gave stays given.
            for (account, usage) in std::mem::take(&mut peer.usage) {
                *self.lift.entry(account).or_default() += usage;
            }
            peer.incarnation = incarnation;
        }
        for tally in tallies {
            let usage = peer.usage.entry(tally.account).or_default();
            *usage = tally.usage.max(*usage);
        }
    }

    /// Returns this router's own counters.
    pub fn tallies(&self) -> Vec<Tally> {
        let tally = |(account, usage): (&Account, &Usage)| Tally {
            account: *account,
            usage: *usage,
        };
        self.own.iter().map(tally).collect()
    }

    /// Returns the service that an account is taken to have had.
    pub fn usage(&self, account: Account) -> Usage {
        let of = |usage: &BTreeMap<Account, Usage>| usage.get(&account).copied().unwrap_or(0);
        let peers: Usage = self.peers.values().map(|peer| of(&peer.usage)).sum();
        of(&self.own) + peers + of(&self.lift)
    }

    /// Levels an account that begins to wait with the least of those that wait already, or
    /// with the one served last.
    pub fn rise(&mut self, account: Account, waiting: impl Iterator<Item = Account>) {
        let least = waiting.map(|other| self.usage(other)).min();
        let floor = least.unwrap_or(self.level).min(self.level);
        let missing = floor.saturating_sub(self.usage(account));
        if missing > 0 {
            *self.lift.entry(account).or_default() += missing;
        }
    }
}

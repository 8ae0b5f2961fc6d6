//! What routers tell each other about their targets and accounts.

use std::cmp::Reverse;

use super::{
    Load,
    Pool,
    UsageReport,
    core::Lane,
    member::Member, //
};
use crate::{
    ids::{
        Service,
        Target,
        Time, //
    },
    mesh::{
        Scope,
        Source, //
    }, //
};

/// The targets that other routers are told of, those with the most requests first; with the
/// accounts they fit into one datagram.
const MOST_LOADS: usize = 1_500;

impl Pool {
    /// Takes in what others have at the targets and have given to accounts; it replaces what the
    /// same source has told before.
    pub fn merge_peer(
        &mut self,
        now: Time,
        source: Source,
        loads: &[Load],
        standings: &[UsageReport],
    ) {
        let before = self
            .sources
            .insert(source, loads.iter().map(|load| load.target).collect());
        for target in before.unwrap_or_default() {
            if let Some(member) = self.members.get_mut(&target) {
                member.peers.remove(&source);
            }
        }
        for load in loads {
            if let Some(member) = self.members.get_mut(&load.target) {
                member.peers.insert(source, (*load, now));
            }
        }
        for lane in self.lanes.values_mut() {
            lane.due = true;
        }
        for standing in standings {
            let ledger = &mut self.lane(standing.service).ledger;
            ledger.merge(now, source, standing);
        }
    }

    /// Forgets what sources have told whose figures others tell from now on.
    pub fn retain_sources(&mut self, is_kept: impl Fn(Source) -> bool) {
        if self.sources.keys().all(|source| is_kept(*source)) {
            return;
        }
        self.sources.retain(|source, _| is_kept(*source));
        for member in self.members.values_mut() {
            member.peers.retain(|source, _| is_kept(*source));
        }
        for lane in self.lanes.values_mut() {
            lane.ledger.retain_sources(&is_kept);
        }
    }

    /// Sets how many routers send to the same targets, this one included.
    pub fn set_routers(&mut self, routers: usize) {
        if routers == self.routers {
            return;
        }
        self.routers = routers;
        for member in self.members.values_mut() {
            member.share_memory(routers);
        }
    }

    /// Returns what all routers together have at a target.
    pub fn load(&self, target: Target) -> Option<Load> {
        self.members.get(&target).map(Member::load)
    }

    /// Returns what this router, or all in a scope that it speaks for, have at the targets.
    pub fn loads(&self, scope: Scope) -> Vec<Load> {
        let members = self.members.values().map(|member| member.load_of(scope));
        let mut loads: Vec<_> = members.filter(|load| load.running > 0).collect();
        if loads.len() > MOST_LOADS {
            loads.select_nth_unstable_by_key(MOST_LOADS, |load| Reverse(load.running));
            loads.truncate(MOST_LOADS);
        }
        loads
    }

    /// Returns what this router, or all in a scope that it speaks for, have given to accounts
    /// lately, and what they were asked for.
    pub fn usage_reports(&self, now: Time, scope: Scope) -> Vec<UsageReport> {
        let standing = |(service, lane): (&Service, &Lane)| UsageReport {
            service: *service,
            served: lane.ledger.served(now, scope),
            demand: lane.ledger.demand(now, scope),
            refused: lane.ledger.refused(now, scope),
        };
        self.lanes.iter().map(standing).collect()
    }
}

/// The targets of which a source has told something.
pub(super) type Told = Vec<Target>;

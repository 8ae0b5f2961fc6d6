//! The reports that routers exchange about the load of targets and the usage of accounts.

use std::cmp::Reverse;

use super::{
    Load,
    Pool,
    ShareReport,
    TargetView,
    UsageReport,
    core::ServiceState,
    ledger::{
        MAX_REPORTED,
        keep_largest, //
    },
    member::Member,
    timer::PEER_LOAD_TTL, //
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

/// The most targets whose load is reported to other routers, those with the most requests first.
/// With this bound, the loads and the accounts' usage fit into one datagram.
const MAX_LOADS: usize = 1_500;

impl Pool {
    /// Replaces the last report of a source on the load of targets and the usage of accounts.
    pub fn merge_peer(
        &mut self,
        now: Time,
        source: Source,
        loads: &[Load],
        reports: &[UsageReport],
    ) {
        let report = LastReport {
            received: now,
            targets: loads.iter().map(|load| load.target).collect(),
        };
        let previous = self.sources.insert(source, report);
        for target in previous.unwrap_or_default().targets {
            if let Some(member) = self.members.get_mut(&target) {
                member.peers.remove(&source);
            }
        }
        for load in loads {
            if let Some(member) = self.members.get_mut(&load.target) {
                member.peers.insert(source, (*load, now));
            }
        }
        for state in self.services.values_mut() {
            state.dispatch_due = true;
        }
        for report in reports {
            let ledger = &mut self.service_mut(report.service).ledger;
            ledger.merge(now, source, report);
        }
    }

    /// Drops the reports of the sources that are not kept.
    pub fn retain_sources(&mut self, is_kept: impl Fn(Source) -> bool) {
        if self.sources.keys().all(|source| is_kept(*source)) {
            return;
        }
        self.sources.retain(|source, _| is_kept(*source));
        for member in self.members.values_mut() {
            member.peers.retain(|source, _| is_kept(*source));
            member.speed.retain_sources(&is_kept);
        }
        for state in self.services.values_mut() {
            state.ledger.retain_sources(&is_kept);
            if let Some(headroom) = &mut state.headroom {
                headroom.retain_sources(&is_kept);
            }
        }
    }

    /// Sets the number of routers that send to the same targets, including this one.
    pub fn set_routers(&mut self, now: Time, routers: usize) {
        if routers > 1 {
            self.joined.get_or_insert(now);
        }
        self.fleet = self.fleet.max(routers);
        if routers == self.routers {
            return;
        }
        self.routers = routers;
        for member in self.members.values_mut() {
            member.set_cache_share(routers);
        }
        self.update_positions();
    }

    /// Returns the load of a target from all routers together.
    pub fn load(&self, target: Target) -> Option<Load> {
        self.members.get(&target).map(Member::load)
    }

    /// Adds the age of the reports that loads consist of to the view of a target.
    pub(super) fn with_report_age(&self, now: Time, view: TargetView) -> TargetView {
        let ages = self.sources.values();
        let ages = ages.map(|report| now.saturating_sub(report.received));
        let (fresh, expired): (Vec<_>, Vec<_>) = ages.partition(|age| *age < PEER_LOAD_TTL);
        TargetView {
            age: fresh.into_iter().max().unwrap_or_default(),
            expired: expired.len(),
            ..view
        }
    }

    /// Returns the loads of the targets from the routers of a scope, for this router's report on
    /// that scope.
    pub fn loads(&self, scope: Scope) -> Vec<Load> {
        let members = self.members.values().map(|member| member.scope_load(scope));
        let mut loads: Vec<_> = members.filter(|load| load.running > 0).collect();
        if loads.len() > MAX_LOADS {
            loads.select_nth_unstable_by_key(MAX_LOADS, |load| Reverse(load.running));
            loads.truncate(MAX_LOADS);
        }
        loads
    }

    /// Replaces the last report of a source on what the fair shares depend on. A service that has had no
    /// prompt here has no headroom yet.
    pub fn merge_shares(&mut self, now: Time, source: Source, reports: &[ShareReport]) {
        for report in reports {
            let Some(state) = self.services.get_mut(&report.service) else {
                continue;
            };
            state.ledger.merge_held(now, source, &report.held);
            if let Some(headroom) = &mut state.headroom {
                headroom.merge(now, source, report.headroom);
            }
        }
    }

    /// Returns what the fair shares depend on at the routers of a scope, for this router's report on
    /// that scope.
    pub fn share_reports(&self, now: Time, scope: Scope) -> Vec<ShareReport> {
        let report = |(service, state): (&Service, &ServiceState)| {
            Some(ShareReport {
                service: *service,
                headroom: state.headroom.as_ref()?.sum(now, scope),
                held: state.ledger.held(now, scope),
            })
        };
        self.services.iter().filter_map(report).collect()
    }

    /// Returns the largest headroom of any service.
    pub fn headroom(&self, now: Time) -> f64 {
        let services = self.services.values();
        let headrooms = services.filter_map(|state| state.headroom.as_ref());
        headrooms
            .map(|headroom| headroom.factor(now))
            .fold(1.0, f64::max)
    }

    /// Returns the recent usage of the accounts at the routers of a scope, for this router's report
    /// on that scope. The services share the most accounts that fit into a datagram.
    pub fn usage_reports(&self, now: Time, scope: Scope) -> Vec<UsageReport> {
        let most = MAX_REPORTED / self.services.len().max(1);
        let report = |(service, state): (&Service, &ServiceState)| {
            let mut report = UsageReport {
                service: *service,
                served: state.ledger.served(now, scope),
                demand: state.ledger.demand(now, scope),
                refused: state.ledger.refused(now, scope),
            };
            keep_largest(&mut report.served, most);
            keep_largest(&mut report.demand, most);
            report.refused.truncate(most);
            report
        };
        self.services.iter().map(report).collect()
    }
}

/// The last report of a source on the load of targets.
#[derive(Clone, Debug, Default)]
pub(super) struct LastReport {
    received: Time,
    /// The targets whose load it reports.
    targets: Vec<Target>,
}

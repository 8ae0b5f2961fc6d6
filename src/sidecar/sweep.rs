//! Periodic work with a longer interval than a tick: expiry, usage reports and the search for
//! routers with backlog.

use std::time::Duration;

use super::{
    Event,
    Output,
    Sidecar,
    State, //
};
use crate::{
    ids::{
        Account,
        Time,
        Usage, //
    },
    wire::{
        Message,
        Reason, //
    }, //
};

/// The time after the loss of a router at which its attempts are aborted.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);

/// The shortest time between two new links to routers that have backlog.
const SEEK_INTERVAL: Duration = Duration::from_millis(500);

/// The difference in usage between the least-served account that waits here and one with less usage
/// that waits at another router, above which the sidecar links to that router.
const SEEK_LEAD: Usage = 20_000_000;

/// The time without backlog after which an account counts as idle, so that its usage is raised
/// when it returns.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// The interval at which the home router is asked again for the usage of an account.
const USAGE_REFRESH_INTERVAL: Duration = Duration::from_secs(5);

impl Sidecar {
    /// Does the work that is not needed at every tick.
    pub(super) fn sweep(&mut self, now: Time) {
        self.records.expire(now);
        self.keys.expire(now);
        self.abort_orphans(now);
        let backlogged: Vec<_> = self.backlogged().collect();
        for account in &backlogged {
            self.last_backlogged.insert(*account, now);
        }
        self.last_backlogged
            .retain(|_, seen| now < *seen + IDLE_TIME);
        let last_backlogged = &self.last_backlogged;
        self.probed
            .retain(|account, _| last_backlogged.contains_key(account));
        self.view.bound_leads(backlogged.iter().copied());
        if now >= self.report_due {
            self.report(now, backlogged);
        }
        self.seek(now);
    }

    /// Ends the attempts of routers that were lost more than [`ORPHAN_TIMEOUT`] ago: cancels
    /// the queued ones and aborts the running ones, except writes.
    pub(super) fn abort_orphans(&mut self, now: Time) {
        let late: Vec<_> = self
            .lost_routers
            .iter()
            .filter(|(_, since)| now > **since + ORPHAN_TIMEOUT)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in late {
            self.lost_routers.remove(&incarnation);
            let orphans: Vec<_> = self
                .runs
                .keys()
                .filter(|id| id.incarnation == incarnation)
                .copied()
                .collect();
            for id in &orphans {
                self.abort(now, *id);
            }
            let waiting: Vec<_> = self.ready.iter().map(|dispatch| dispatch.id).collect();
            for id in waiting
                .into_iter()
                .filter(|id| id.incarnation == incarnation)
            {
                self.dequeue(id);
                self.records
                    .close(now, id, State::Refused(Reason::Cancelled));
            }
            if !orphans.is_empty() {
                self.outputs.push(Output::Log(Event::Orphan {
                    incarnation,
                    aborted: orphans.len(),
                }));
            }
        }
    }

    /// Reports the usage since the last report to the home router, and asks it for the usage of
    /// accounts that have a backlog here. The next report is due after 1.5 report intervals, or,
    /// once totals arrive from the router, shortly before its next totals.
    pub(super) fn report(&mut self, now: Time, backlogged: Vec<Account>) {
        let Some(home) = self.home_router else {
            return;
        };
        self.report_due = now + self.report_interval * 3 / 2;
        self.view.decay_predictions();
        self.usage_requests
            .retain(|_, requested| now < *requested + USAGE_REFRESH_INTERVAL);
        let requested = &mut self.usage_requests;
        let is_new = |account: &Account| requested.insert(*account, now).is_none();
        let wanted: Vec<_> = backlogged.into_iter().filter(is_new).collect();
        if wanted.is_empty() && !self.view.has_unacked() {
            return;
        }
        let report = self.view.next_report(wanted);
        self.outputs
            .push(Output::Send(home, Message::Report(report)));
    }

    /// Links to another router with backlog: while this target has free slots and no requests
    /// wait here, or where an account that waits there has [`SEEK_LEAD`] less usage than every
    /// account that waits here.
    pub(super) fn seek(&mut self, now: Time) {
        if now < self.last_seek + SEEK_INTERVAL || self.is_leaving() {
            return;
        }
        let least = self
            .backlogged()
            .map(|account| self.view.usage(account))
            .min();
        let idle = self.free_slots(now) > 0;
        let hint = match least {
            None if !idle => return,
            _ => self.view.starved_router(least, SEEK_LEAD),
        };
        if let Some(router) = hint.filter(|router| !self.links.contains_key(router)) {
            self.last_seek = now;
            self.outputs.push(Output::Log(Event::Seek { router }));
            self.outputs.push(Output::Connect(router));
        }
    }
}

//! Work that need not be done at every tick: expiry, reports and searches.

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

/// The time that the attempts of a router that has gone are kept running.
const ORPHAN_LIFE: Duration = Duration::from_secs(10);

/// The interval between two searches for a router that has backlog.
const SEEK_INTERVAL: Duration = Duration::from_millis(500);

/// The lead over an account waiting elsewhere that makes a sidecar look for it.
const SEEK_LEAD: Usage = 20_000_000;

/// The absence from the backlog after which an account counts as returning.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// The interval at which the home router is asked for an account's standing again.
const INTEREST_INTERVAL: Duration = Duration::from_secs(5);

impl Sidecar {
    /// Does what need not be done at every tick.
    pub(super) fn sweep(&mut self, now: Time) {
        self.records.expire(now);
        self.keys.expire(now);
        self.reap(now);
        let backlogged: Vec<_> = self.backlogged().collect();
        for account in &backlogged {
            self.recent.insert(*account, now);
        }
        self.recent.retain(|_, seen| now < *seen + RETURN_TIME);
        let recent = &self.recent;
        self.reaches
            .retain(|account, _| recent.contains_key(account));
        self.view.bound_leads(backlogged.iter().copied());
        if now >= self.due {
            self.report(now, backlogged);
        }
        self.seek(now);
    }

    /// Aborts the idempotent attempts of routers that have been gone for long.
    pub(super) fn reap(&mut self, now: Time) {
        let late: Vec<_> = self
            .gone
            .iter()
            .filter(|(_, since)| now > **since + ORPHAN_LIFE)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in late {
            self.gone.remove(&incarnation);
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
                self.unready(id);
                self.records
                    .close(now, id, State::Refused(Reason::Cancelled));
            }
            if !orphans.is_empty() {
                self.outs.push(Output::Log(Event::Orphan {
                    incarnation,
                    aborted: orphans.len(),
                }));
            }
        }
    }

    pub(super) fn report(&mut self, now: Time, backlogged: Vec<Account>) {
        let Some(home) = self.home else {
            return;
        };
        self.due = now + self.pace * 3 / 2;
        self.view.decay_predictions();
        self.asked
            .retain(|_, asked| now < *asked + INTEREST_INTERVAL);
        let asked = &mut self.asked;
        let fresh = |account: &Account| asked.insert(*account, now).is_none();
        let wanted: Vec<_> = backlogged.into_iter().filter(fresh).collect();
        if wanted.is_empty() && !self.view.has_unreported() {
            return;
        }
        let report = self.view.next_report(wanted);
        self.outs.push(Output::Send(home, Message::Report(report)));
    }

    /// Looks for a router outside the links that waits while this target idles or that
    /// holds an account which is behind all those that wait here.
    pub(super) fn seek(&mut self, now: Time) {
        if now < self.sought + SEEK_INTERVAL || self.is_leaving() {
            return;
        }
        let least = self
            .backlogged()
            .map(|account| self.view.usage(account))
            .min();
        let idle = self.free(now) > 0;
        let hint = match least {
            None if !idle => return,
            _ => self.view.starved_router(least, SEEK_LEAD),
        };
        if let Some(router) = hint.filter(|router| !self.links.contains_key(router)) {
            self.sought = now;
            self.outs.push(Output::Log(Event::Seek { router }));
            self.outs.push(Output::Connect(router));
        }
    }
}

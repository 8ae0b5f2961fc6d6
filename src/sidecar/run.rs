//! Attempts at the target: their start, answers, failures and charges.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;

use super::{
    Event,
    Output,
    Sidecar,
    State,
    core::{
        Run,
        smooth, //
    },
    key::{
        Kept,
        MAX_KEPT, //
    }, //
};
use crate::{
    fair,
    ids::{
        Router,
        Time, //
    },
    wire::{
        AttemptId,
        End,
        Head,
        Message,
        Reason, //
    }, //
};

impl Sidecar {
    /// Frees the slot of an attempt and charges its account.
    pub(super) fn leave(&mut self, now: Time, id: AttemptId) -> Option<Run> {
        let mut run = self.runs.remove(&id)?;
        self.paused.remove(&id);
        let spent = now.saturating_sub(run.since);
        self.charge(now, &mut run);
        let cost = self.costs.entry(run.dispatch.account).or_insert(spent);
        *cost = smooth(*cost, spent);
        self.cost = smooth(self.cost, spent);
        Some(run)
    }

    pub(super) fn answer(
        &mut self,
        now: Time,
        id: AttemptId,
        head: Option<Head>,
        data: Bytes,
        end: Option<End>,
    ) {
        if !self.runs.contains_key(&id) {
            return;
        }
        let ended = end.is_some();
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let part = record.answer.push(id, head, data, end.clone());
        if let Some(router) = self.router_of(id) {
            self.outs.push(Output::Send(router, Message::Chunk(part)));
        }
        if ended {
            let run = self.leave(now, id);
            self.limit.succeed();
            if let Some(bid) = run.and_then(|run| run.dispatch.key) {
                let kept = self.kept(id, end);
                self.keys.finish(bid.key, kept);
            }
            self.records.close(now, id, State::Ended);
        }
    }

    pub(super) fn kept(&self, id: AttemptId, end: Option<End>) -> Option<Kept> {
        let answer = &self.records.get(id)?.answer;
        if answer.size() > MAX_KEPT {
            return None;
        }
        let head = answer.head()?.clone();
        Some((head, answer.whole()?.into(), Rc::new(end?)))
    }

    pub(super) fn failed(&mut self, now: Time, id: AttemptId, sent: bool) {
        let Some(run) = self.leave(now, id) else {
            return;
        };
        self.limit.fail(now);
        self.outs.push(Output::Log(Event::Failed {
            id,
            slots: self.limit.slots(now),
        }));
        if let Some(bid) = &run.dispatch.key {
            match sent {
                true => self.keys.lose(bid.key),
                false => self.keys.release(bid.key),
            }
        }
        let reason = match sent {
            true => Reason::Failed,
            false => Reason::Unreachable,
        };
        self.records.close(now, id, State::Refused(reason));
        if let Some(router) = self.router_of(id) {
            let message = Message::Refused { id, reason };
            self.outs.push(Output::Send(router, message));
        }
    }

    pub(super) fn router_of(&self, id: AttemptId) -> Option<Router> {
        self.links
            .iter()
            .find(|(_, link)| link.incarnation == id.incarnation)
            .map(|(router, _)| *router)
    }

    pub(super) fn charge_runs(&mut self, now: Time) {
        let mut runs = std::mem::take(&mut self.runs);
        for run in runs.values_mut() {
            self.charge(now, run);
        }
        self.runs = runs;
    }

    /// Charges an account for the time since its run was last charged.
    fn charge(&mut self, now: Time, run: &mut Run) {
        let account = run.dispatch.account;
        let spent = now.saturating_sub(run.since);
        let due = spent.saturating_sub(run.charged);
        let share = self.rules.share(self.settings.service, account);
        let others = self.others(account);
        self.view.charge(account, fair::usage(due, share), others);
        run.charged = spent;
    }

    /// Hands admitted attempts to the target while it has slots.
    pub(super) fn start(&mut self, now: Time) {
        // Admitted attempts run even where the limit has since shrunk to nothing.
        let slots = self.limit.slots(now).max(1) as usize;
        while self.runs.len() < slots {
            let Some(dispatch) = self.ready.pop_front() else {
                break;
            };
            self.records.advance(dispatch.id, State::Running);
            let run = Run {
                dispatch: dispatch.clone(),
                since: now,
                charged: Duration::ZERO,
            };
            self.runs.insert(dispatch.id, run);
            self.outs.push(Output::Run(dispatch));
        }
    }
}

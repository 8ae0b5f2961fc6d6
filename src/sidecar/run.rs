//! The attempts that run at the target: their start, answers and failures, and the usage that
//! is charged for them.

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
        moving_average, //
    },
    key::{
        CachedAnswer,
        MAX_CACHED_BYTES, //
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
    /// Frees the slot of a running attempt, charges its account for the remaining time, and
    /// updates the average costs.
    pub(super) fn end_run(&mut self, now: Time, id: AttemptId) -> Option<Run> {
        let mut run = self.runs.remove(&id)?;
        self.paused.remove(&id);
        let elapsed = now.saturating_sub(run.since);
        self.charge(now, &mut run);
        let cost = self.costs.entry(run.dispatch.account).or_insert(elapsed);
        *cost = moving_average(*cost, elapsed);
        self.cost = moving_average(self.cost, elapsed);
        Some(run)
    }

    /// Stores a piece of an answer and forwards it to the attempt's router. The last piece ends
    /// the attempt.
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
        let chunk = record.answer.push(id, head, data, end.clone());
        if let Some(router) = self.router_of(id) {
            self.outputs
                .push(Output::Send(router, Message::Chunk(chunk)));
        }
        if ended {
            let run = self.end_run(now, id);
            self.limit.record_success();
            if let Some(key) = run.and_then(|run| run.dispatch.key) {
                let cached = self.cacheable_answer(id, end);
                self.keys.record_answer(key.key, cached);
            }
            self.records.close(now, id, State::Ended);
        }
    }

    /// Returns the answer of an attempt with a key, or `None` where its body is larger than
    /// [`MAX_CACHED_BYTES`] or no longer complete.
    pub(super) fn cacheable_answer(&self, id: AttemptId, end: Option<End>) -> Option<CachedAnswer> {
        let answer = &self.records.get(id)?.answer;
        if answer.unacked_bytes() > MAX_CACHED_BYTES {
            return None;
        }
        let head = answer.head()?.clone();
        Some((head, answer.full_body()?.into(), Rc::new(end?)))
    }

    /// Ends an attempt that failed at the target, and refuses it. `sent` says that some of the
    /// request may have reached the target.
    pub(super) fn failed(&mut self, now: Time, id: AttemptId, sent: bool) {
        let Some(run) = self.end_run(now, id) else {
            return;
        };
        self.limit.record_failure(now);
        self.outputs.push(Output::Log(Event::Failed {
            id,
            slots: self.limit.slots(now),
        }));
        if let Some(key) = &run.dispatch.key {
            match sent {
                true => self.keys.mark_unknown(key.key),
                false => self.keys.release(key.key),
            }
        }
        let reason = match sent {
            true => Reason::Failed,
            false => Reason::Unreachable,
        };
        self.records.close(now, id, State::Refused(reason));
        if let Some(router) = self.router_of(id) {
            let message = Message::Refused { id, reason };
            self.outputs.push(Output::Send(router, message));
        }
    }

    /// Returns the linked router that sent an attempt.
    pub(super) fn router_of(&self, id: AttemptId) -> Option<Router> {
        self.links
            .iter()
            .find(|(_, link)| link.incarnation == id.incarnation)
            .map(|(router, _)| *router)
    }

    /// Charges the accounts of all running attempts up to now.
    pub(super) fn charge_runs(&mut self, now: Time) {
        let mut runs = std::mem::take(&mut self.runs);
        for run in runs.values_mut() {
            self.charge(now, run);
        }
        self.runs = runs;
    }

    /// Charges an attempt's account for the slot time since the attempt was last charged.
    fn charge(&mut self, now: Time, run: &mut Run) {
        let account = run.dispatch.account;
        let elapsed = now.saturating_sub(run.since);
        let uncharged = elapsed.saturating_sub(run.charged);
        let share = self.rules.share(self.settings.service, account);
        let others = self.other_sidecars(account);
        self.view
            .charge(account, fair::usage(uncharged, share), others);
        run.charged = elapsed;
    }

    /// Starts admitted attempts while the target has slots.
    pub(super) fn start(&mut self, now: Time) {
        // The limit can fall to zero after an attempt was admitted. Admitted attempts still
        // run, one at a time.
        let slots = self.limit.slots(now).max(1) as usize;
        while self.runs.len() < slots {
            let Some(dispatch) = self.ready.pop_front() else {
                break;
            };
            self.records.set_state(dispatch.id, State::Running);
            let run = Run {
                dispatch: dispatch.clone(),
                since: now,
                charged: Duration::ZERO,
            };
            self.runs.insert(dispatch.id, run);
            self.outputs.push(Output::Run(dispatch));
        }
    }
}

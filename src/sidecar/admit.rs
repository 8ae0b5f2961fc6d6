//! Admission: which attempts run, and what is remembered of the others.

use std::{
    rc::Rc,
    time::Duration, //
};

use super::{
    Event,
    KeyDecision,
    Output,
    Sidecar,
    State,
    record::DISPATCH_LIFETIME, //
};
use crate::{
    ids::{
        Router,
        Sequence,
        Time, //
    },
    wire::{
        AttemptId,
        Dispatch,
        IdempotencyKey,
        Message,
        Reason, //
    }, //
};

impl Sidecar {
    pub(super) fn dispatch(&mut self, now: Time, router: Router, dispatch: Rc<Dispatch>) {
        let id = dispatch.id;
        if self.records.get(id).is_some() {
            return self.repeat(router, id, 0);
        }
        let granted = self.settle(now, dispatch.grant).is_some();
        if dispatch.grant == 0
            && let Some(link) = self.links.get_mut(&router)
        {
            link.offered = link.offered.saturating_sub(1);
        }
        if let Err(reason) = self.admit(now, &dispatch, granted) {
            return self.refuse(now, router, id, reason);
        }
        if let Some(bid) = &dispatch.key
            && self.replayed(now, router, &dispatch, bid)
        {
            return;
        }
        self.outs.push(Output::Log(Event::Admit {
            id,
            account: self.rules.name(dispatch.account),
            via: if granted { "grant" } else { "offer" },
        }));
        self.view.advance_time(dispatch.account);
        self.records.open(id, State::Ready);
        self.ready.push_back(dispatch);
    }

    /// Checks everything but the idempotency key.
    pub(super) fn admit(
        &self,
        now: Time,
        dispatch: &Dispatch,
        granted: bool,
    ) -> Result<(), Reason> {
        if dispatch.incarnation != self.settings.incarnation {
            return Err(Reason::Stale);
        }
        if now > Duration::from_millis(dispatch.stamp) + DISPATCH_LIFETIME {
            return Err(Reason::Expired);
        }
        if self.is_leaving() {
            return Err(Reason::Leaving);
        }
        if !granted && self.free(now) == 0 || self.records.is_full() {
            return Err(Reason::Busy);
        }
        Ok(())
    }

    /// Decides on a request with a key; returns whether it is answered without running.
    pub(super) fn replayed(
        &mut self,
        now: Time,
        router: Router,
        dispatch: &Dispatch,
        bid: &IdempotencyKey,
    ) -> bool {
        let id = dispatch.id;
        let owner = self
            .rules
            .idempotency_owner(self.settings.service, bid.key as u64);
        if dispatch.generation != self.rules.generation() || owner != Some(self.settings.target) {
            self.refuse(now, router, id, Reason::Generation);
            return true;
        }
        match self.keys.claim(now, bid) {
            KeyDecision::Run => return false,
            KeyDecision::Refuse(reason) => self.refuse(now, router, id, reason),
            KeyDecision::Replay(head, body, end) => {
                self.records.open(id, State::Ended);
                let record = self.records.get_mut(id).expect("the record was opened");
                let (head, end) = ((*head).clone(), (*end).clone());
                let part = record.answer.push(id, Some(head), body, Some(end));
                self.records.close(now, id, State::Ended);
                self.outs.push(Output::Send(router, Message::Chunk(part)));
            }
        }
        true
    }

    pub(super) fn refuse(&mut self, now: Time, router: Router, id: AttemptId, reason: Reason) {
        self.records.close(now, id, State::Refused(reason));
        self.outs.push(Output::Log(Event::Refuse { id, reason }));
        let message = Message::Refused { id, reason };
        self.outs.push(Output::Send(router, message));
    }

    /// Sends again what is known of an attempt.
    pub(super) fn repeat(&mut self, router: Router, id: AttemptId, offset: u64) {
        let Some(record) = self.records.get(id) else {
            return;
        };
        match (record.state, record.answer.resume(id, offset)) {
            (State::Refused(reason), _) => {
                let message = Message::Refused { id, reason };
                self.outs.push(Output::Send(router, message));
            }
            (State::Ready, _) => {}
            (_, Some(parts)) => {
                let parts = parts.into_iter();
                let sends = parts.map(|part| Output::Send(router, Message::Chunk(part)));
                self.outs.extend(sends);
            }
            (_, None) => {
                let reason = Reason::Forgotten;
                let message = Message::Refused { id, reason };
                self.outs.push(Output::Send(router, message));
            }
        }
    }

    /// Drops the answers that a router has whole.
    pub(super) fn done(&mut self, router: Router, done: &[(Sequence, u32)]) {
        let Some(link) = self.links.get(&router) else {
            return;
        };
        let incarnation = link.incarnation;
        for (sequence, attempt) in done {
            let id = AttemptId {
                incarnation,
                sequence: *sequence,
                attempt: *attempt,
            };
            if let Some(record) = self.records.get_mut(id) {
                record.answer.finish();
            }
        }
    }

    pub(super) fn ack(&mut self, id: AttemptId, offset: u64) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.answer.ack(offset);
        if !record.answer.is_full() && self.paused.remove(&id) {
            self.outs.push(Output::Resume(id));
        }
    }

    pub(super) fn query(
        &mut self,
        now: Time,
        router: Router,
        id: AttemptId,
        stamp: u64,
        offset: u64,
    ) {
        if self.records.get(id).is_some() {
            return self.repeat(router, id, offset);
        }
        let stamp = Duration::from_millis(stamp);
        let reason = self.records.presume(now, id, stamp);
        let message = Message::Refused { id, reason };
        self.outs.push(Output::Send(router, message));
    }

    pub(super) fn cancel(&mut self, now: Time, router: Router, id: AttemptId) {
        match self.records.get(id).map(|record| record.state) {
            None => self.refuse(now, router, id, Reason::Cancelled),
            Some(State::Ready) => {
                self.unready(id);
                self.refuse(now, router, id, Reason::Cancelled);
            }
            Some(State::Running) => self.abort(now, id),
            Some(_) => {}
        }
    }

    /// Takes an attempt that has not run out of the queue.
    pub(super) fn unready(&mut self, id: AttemptId) {
        if let Some(at) = self.ready.iter().position(|dispatch| dispatch.id == id)
            && let Some(dispatch) = self.ready.remove(at)
            && let Some(bid) = &dispatch.key
        {
            self.keys.release(bid.key);
        }
    }

    /// Breaks off an idempotent attempt; a write runs to its end.
    pub(super) fn abort(&mut self, now: Time, id: AttemptId) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if run.dispatch.write {
            return;
        }
        self.leave(now, id);
        self.records.close(now, id, State::Refused(Reason::Failed));
        self.outs.push(Output::Abort(id));
    }
}

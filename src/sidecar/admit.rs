//! Admission control: decides which attempts run, and answers dispatches and queries about
//! attempts that are already recorded.

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
    /// Handles a dispatch: queues the attempt if it is admitted, or refuses it. A copy of an
    /// earlier dispatch gets what is recorded of that attempt.
    pub(super) fn dispatch(&mut self, now: Time, router: Router, dispatch: Rc<Dispatch>) {
        let id = dispatch.id;
        if self.records.get(id).is_some() {
            return self.repeat(router, id, 0);
        }
        let granted = self.close_grant(now, dispatch.grant).is_some();
        if dispatch.grant == 0
            && let Some(link) = self.links.get_mut(&router)
        {
            link.offered = link.offered.saturating_sub(1);
        }
        if let Err(reason) = self.admit(now, &dispatch, granted) {
            return self.refuse(now, router, id, reason);
        }
        if let Some(key) = &dispatch.key
            && self.resolve_key(now, router, &dispatch, key)
        {
            return;
        }
        self.outputs.push(Output::Log(Event::Admit {
            id,
            account: self.rules.name(dispatch.account),
            via: if granted { "grant" } else { "offer" },
        }));
        self.view.advance_time(dispatch.account);
        self.records.open(id, State::Ready);
        self.ready.push_back(dispatch);
    }

    /// Returns why a dispatch is refused, if it is. The idempotency key is checked by
    /// [`Sidecar::resolve_key`].
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
        if !granted && self.free_slots(now) == 0 || self.records.is_full() {
            return Err(Reason::Busy);
        }
        Ok(())
    }

    /// Decides on a request with an idempotency key. Returns whether it was refused or answered
    /// from the cache, and must not run.
    pub(super) fn resolve_key(
        &mut self,
        now: Time,
        router: Router,
        dispatch: &Dispatch,
        key: &IdempotencyKey,
    ) -> bool {
        let id = dispatch.id;
        let owner = self
            .rules
            .idempotency_owner(self.settings.service, key.key as u64);
        if dispatch.generation != self.rules.generation() || owner != Some(self.settings.target) {
            self.refuse(now, router, id, Reason::Generation);
            return true;
        }
        match self.keys.claim(now, key) {
            KeyDecision::Run => return false,
            KeyDecision::Refuse(reason) => self.refuse(now, router, id, reason),
            KeyDecision::Replay(head, body, end) => {
                self.records.open(id, State::Ended);
                let record = self
                    .records
                    .get_mut(id)
                    .expect("`Records::open` has just inserted this record");
                let (head, end) = ((*head).clone(), (*end).clone());
                let chunk = record.answer.push(id, Some(head), body, Some(end));
                self.records.close(now, id, State::Ended);
                self.outputs
                    .push(Output::Send(router, Message::Chunk(chunk)));
            }
        }
        true
    }

    /// Records a refusal and sends it to the router.
    pub(super) fn refuse(&mut self, now: Time, router: Router, id: AttemptId, reason: Reason) {
        self.records.close(now, id, State::Refused(reason));
        self.outputs.push(Output::Log(Event::Refuse { id, reason }));
        let message = Message::Refused { id, reason };
        self.outputs.push(Output::Send(router, message));
    }

    /// Sends the recorded state of an attempt again: its refusal, or its answer from `offset` on.
    pub(super) fn repeat(&mut self, router: Router, id: AttemptId, offset: u64) {
        let Some(record) = self.records.get(id) else {
            return;
        };
        match (record.state, record.answer.resume(id, offset)) {
            (State::Refused(reason), _) => {
                let message = Message::Refused { id, reason };
                self.outputs.push(Output::Send(router, message));
            }
            (State::Ready, _) => {}
            (_, Some(chunks)) => {
                let chunks = chunks.into_iter();
                let sends = chunks.map(|chunk| Output::Send(router, Message::Chunk(chunk)));
                self.outputs.extend(sends);
            }
            (_, None) => {
                let reason = Reason::Forgotten;
                let message = Message::Refused { id, reason };
                self.outputs.push(Output::Send(router, message));
            }
        }
    }

    /// Drops the bodies of answers that a router has received completely.
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
                record.answer.discard();
            }
        }
    }

    /// Drops the bytes that a router has acknowledged, and resumes reading from the target if
    /// it was paused.
    pub(super) fn ack(&mut self, id: AttemptId, offset: u64) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.answer.ack(offset);
        if !record.answer.is_full() && self.paused.remove(&id) {
            self.outputs.push(Output::Resume(id));
        }
    }

    /// Answers a router's query about an attempt.
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
        let reason = self.records.presume_aborted(now, id, stamp);
        let message = Message::Refused { id, reason };
        self.outputs.push(Output::Send(router, message));
    }

    /// Cancels an attempt whose caller has gone. An attempt that is not yet known is recorded as
    /// cancelled, so that its dispatch is refused when it arrives.
    pub(super) fn cancel(&mut self, now: Time, router: Router, id: AttemptId) {
        match self.records.get(id).map(|record| record.state) {
            None => self.refuse(now, router, id, Reason::Cancelled),
            Some(State::Ready) => {
                self.dequeue(id);
                self.refuse(now, router, id, Reason::Cancelled);
            }
            Some(State::Running) => self.abort(now, id),
            Some(_) => {}
        }
    }

    /// Removes an attempt from the queue before it has run, and releases its key.
    pub(super) fn dequeue(&mut self, id: AttemptId) {
        if let Some(at) = self.ready.iter().position(|dispatch| dispatch.id == id)
            && let Some(dispatch) = self.ready.remove(at)
            && let Some(key) = &dispatch.key
        {
            self.keys.release(key.key);
        }
    }

    /// Aborts a running attempt, unless it is a write: writes run to their end.
    pub(super) fn abort(&mut self, now: Time, id: AttemptId) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        if run.dispatch.write {
            return;
        }
        self.end_run(now, id);
        self.records.close(now, id, State::Refused(Reason::Failed));
        self.outputs.push(Output::Abort(id));
    }
}

//! Attempts that were refused, lost or cancelled: retries and refusals.

use std::time::Duration;

use super::{
    Cause,
    Event,
    Output,
    Ran,
    Refusal,
    Reply,
    RetryBudget,
    Router,
    request::Stage, //
};
use crate::{
    ids::{
        Incarnation,
        Sequence,
        Service,
        Target,
        Time, //
    },
    wire::{
        AttemptId,
        Message,
        Reason, //
    }, //
};

/// The delay before a request is queued again after [`Reason::Unreachable`],
/// [`Reason::Generation`] or [`Reason::KeyRunning`].
const RETURN_WAIT: Duration = Duration::from_millis(100);

impl Router {
    /// Ends a request whose caller has disconnected, and cancels its attempt.
    pub(super) fn caller_gone(&mut self, now: Time, sequence: Sequence) {
        let Some(request) = self.remove(sequence) else {
            return;
        };
        let queue_id = (request.spec.service, request.spec.account);
        match &request.stage {
            Stage::Queued => {
                self.queues.remove(queue_id, sequence);
                self.announce(now, queue_id);
            }
            Stage::Delayed => {}
            Stage::Dispatched(dispatched) => {
                let id = self.attempt_id(sequence, &request);
                self.outputs
                    .push(Output::Send(dispatched.target, Message::Cancel { id }));
            }
        }
    }

    /// Ends a request with a refusal.
    ///
    /// A refusal never says that the request did not run if an earlier attempt may have run.
    pub(super) fn refuse(&mut self, sequence: Sequence, cause: Cause, ran: Ran) {
        let Some(request) = self.remove(sequence) else {
            return;
        };
        let ran = match (ran, request.maybe_ran) {
            (Ran::No, true) => Ran::Unknown,
            (ran, _) => ran,
        };
        let queue_id = (request.spec.service, request.spec.account);
        let retry = match cause {
            Cause::KeyReused | Cause::KeyDone | Cause::KeyUnknown => None,
            Cause::KeyRunning | Cause::Draining => Some(Duration::from_secs(1)),
            _ => Some(
                self.queues
                    .expected_wait(queue_id)
                    .max(Duration::from_secs(1)),
            ),
        };
        self.outputs.push(Output::Log(Event::Refuse {
            id: self.attempt_id(sequence, &request),
            account: self.rules.name(request.spec.account),
            cause,
            ran,
        }));
        let refusal = Refusal { cause, ran, retry };
        self.outputs
            .push(Output::Reply(sequence, Reply::Refuse(refusal)));
    }

    /// Ends a request whose answer cannot be completed: refuses it, or breaks the answer off
    /// if it has begun.
    pub(super) fn give_up(&mut self, sequence: Sequence, cause: Cause) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        if !request.started {
            return self.refuse(sequence, cause, Ran::Unknown);
        }
        self.outputs.push(Output::Log(Event::Break {
            id: self.attempt_id(sequence, request),
            received: request.received,
        }));
        self.remove(sequence);
        self.outputs.push(Output::Reply(sequence, Reply::Break));
    }

    /// Queries a reconnected sidecar about its attempts, or handles them as lost if the sidecar
    /// has restarted.
    pub(super) fn query_all(&mut self, now: Time, target: Target, incarnation: Incarnation) {
        let sequences = self.in_flight.get(&target).cloned().unwrap_or_default();
        for sequence in sequences {
            let Some(request) = self.requests.get_mut(&sequence) else {
                continue;
            };
            let Stage::Dispatched(dispatched) = &mut request.stage else {
                continue;
            };
            if dispatched.incarnation != incarnation {
                self.attempt_lost(now, sequence);
                continue;
            }
            dispatched.lost = None;
            self.query(sequence);
        }
    }

    /// Asks a sidecar to send an answer from the first byte that has not arrived.
    pub(super) fn query(&mut self, sequence: Sequence) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let Stage::Dispatched(dispatched) = &request.stage else {
            return;
        };
        let id = self.attempt_id(sequence, request);
        let (target, stamp) = (dispatched.target, dispatched.stamp);
        let offset = request.received;
        self.outputs.push(Output::Log(Event::Resume {
            id,
            target: self.rules.name(target),
            offset,
        }));
        let message = Message::Query { id, stamp, offset };
        self.outputs.push(Output::Send(target, message));
    }

    /// Sets a request's timer, but not past its deadline while its answer has not begun.
    pub(super) fn set_timer(&mut self, sequence: Sequence, at: Time) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        self.timers.remove(&(request.timer, sequence));
        request.timer = match request.started {
            true => at,
            false => at.min(request.deadline()),
        };
        self.timers.insert((request.timer, sequence));
    }

    /// Handles an attempt whose outcome is unknown: retries an idempotent request whose answer
    /// has not begun, within the retry budget, and gives up any other.
    pub(super) fn attempt_lost(&mut self, now: Time, sequence: Sequence) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let Stage::Dispatched(dispatched) = request.stage.clone() else {
            return;
        };
        request.maybe_ran = true;
        let retryable = request.spec.write.is_none() && !request.started;
        let service = request.spec.service;
        if !retryable || !self.budget_mut(service).spend(now, 0) {
            return self.give_up(sequence, Cause::TargetLost);
        }
        let request = &self.requests[&sequence];
        self.outputs.push(Output::Log(Event::Retry {
            id: self.attempt_id(sequence, request),
            target: self.rules.name(dispatched.target),
        }));
        self.delay(sequence, Time::ZERO);
    }

    /// Returns the retry budget of a service. It has no reserve, as this router can't tell how many
    /// others retry the service's requests.
    pub(super) fn budget_mut(&mut self, service: Service) -> &mut RetryBudget {
        let new = || RetryBudget::new(self.settings.retry);
        self.budgets.entry(service).or_insert_with(new)
    }

    /// Ends an attempt and queues its request again at the time `until`.
    pub(super) fn delay(&mut self, sequence: Sequence, until: Time) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        if let Stage::Dispatched(dispatched) = &request.stage
            && let Some(sequences) = self.in_flight.get_mut(&dispatched.target)
        {
            sequences.remove(&sequence);
        }
        request.attempt += 1;
        request.stage = Stage::Delayed;
        self.set_timer(sequence, until);
    }

    /// Puts a delayed request back at the front of its queue.
    pub(super) fn requeue(&mut self, now: Time, sequence: Sequence) {
        let waiter = self.waiter(sequence);
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.stage = Stage::Queued;
        let queue_id = (request.spec.service, request.spec.account);
        let deadline = request.deadline();
        self.queues.push_front(queue_id, waiter);
        self.set_timer(sequence, deadline);
        self.record_backlog(now, queue_id);
        self.use_offers(now, queue_id.0);
        self.announce(now, queue_id);
    }

    /// Handles a sidecar's refusal of an attempt: queues the request again, refuses it, or
    /// treats the attempt as lost.
    pub(super) fn attempt_refused(
        &mut self,
        now: Time,
        target: Target,
        id: AttemptId,
        reason: Reason,
    ) {
        let Some(sequence) = self.current_request(target, id) else {
            return;
        };
        self.outputs.push(Output::Log(Event::Return {
            id,
            target: self.rules.name(target),
            reason,
        }));
        match reason {
            Reason::Busy | Reason::Leaving | Reason::Stale | Reason::Expired => {
                if let Some(link) = self.links.get_mut(&target) {
                    link.slots = 0;
                }
                self.delay(sequence, now);
                self.requeue(now, sequence);
            }
            Reason::Cancelled => {
                self.delay(sequence, now);
                self.requeue(now, sequence);
            }
            Reason::Unreachable | Reason::Generation => {
                self.delay(sequence, now + RETURN_WAIT);
            }
            Reason::KeyRunning => {
                // This attempt did not run, but another request with the same key may have.
                if let Some(request) = self.requests.get_mut(&sequence) {
                    request.maybe_ran = true;
                }
                self.delay(sequence, now + RETURN_WAIT);
            }
            Reason::KeyReused => self.refuse(sequence, Cause::KeyReused, Ran::No),
            Reason::KeyDone => self.refuse(sequence, Cause::KeyDone, Ran::Yes),
            Reason::KeyUnknown => self.refuse(sequence, Cause::KeyUnknown, Ran::Unknown),
            Reason::Failed | Reason::Forgotten => self.attempt_lost(now, sequence),
        }
    }

    /// Ends every request: one that is not at a target is refused as not run.
    pub(super) fn close(&mut self, now: Time) {
        self.draining = true;
        let sequences: Vec<_> = self.requests.keys().copied().collect();
        for sequence in sequences {
            let Some(request) = self.requests.get(&sequence) else {
                continue;
            };
            match &request.stage {
                Stage::Queued => {
                    let queue_id = (request.spec.service, request.spec.account);
                    self.queues.remove(queue_id, sequence);
                    self.refuse(sequence, Cause::Draining, Ran::No);
                    self.announce(now, queue_id);
                }
                Stage::Delayed => self.refuse(sequence, Cause::Draining, Ran::No),
                Stage::Dispatched(dispatched) => {
                    let id = self.attempt_id(sequence, request);
                    let message = Message::Cancel { id };
                    self.outputs.push(Output::Send(dispatched.target, message));
                    self.give_up(sequence, Cause::Timeout);
                }
            }
        }
    }

    pub(super) fn timer_due(&mut self, now: Time, sequence: Sequence) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let late = !request.started && now >= request.deadline();
        match &request.stage {
            Stage::Queued if late => {
                let queue_id = (request.spec.service, request.spec.account);
                self.queues.remove(queue_id, sequence);
                self.refuse(sequence, Cause::Deadline, Ran::No);
                self.announce(now, queue_id);
            }
            Stage::Delayed if late => {
                let cause = match request.spec.key.is_some() && request.maybe_ran {
                    true => Cause::KeyRunning,
                    false => Cause::Deadline,
                };
                self.refuse(sequence, cause, Ran::No);
            }
            Stage::Delayed => self.requeue(now, sequence),
            Stage::Dispatched(dispatched) if late => {
                let id = self.attempt_id(sequence, request);
                let message = Message::Cancel { id };
                self.outputs.push(Output::Send(dispatched.target, message));
                self.give_up(sequence, Cause::Timeout);
            }
            Stage::Dispatched(dispatched) if dispatched.lost.is_some() => {
                self.attempt_lost(now, sequence)
            }
            Stage::Dispatched(_) if !request.started => {
                let deadline = request.deadline();
                self.set_timer(sequence, deadline);
            }
            _ => {}
        }
    }
}

//! What becomes of an attempt that was refused, lost or abandoned.

use std::time::Duration;

use super::{
    Cause,
    Event,
    Output,
    Ran,
    Refusal,
    Reply,
    Router,
    request::Stage, //
};
use crate::{
    ids::{
        Incarnation,
        Sequence,
        Target,
        Time, //
    },
    wire::{
        AttemptId,
        Message,
        Reason, //
    }, //
};

/// The time before a request that was sent back is queued again.
const RETURN_WAIT: Duration = Duration::from_millis(100);

impl Router {
    pub(super) fn gone(&mut self, now: Time, sequence: Sequence) {
        let Some(request) = self.remove(sequence) else {
            return;
        };
        let owner = (request.ask.service, request.ask.account);
        match &request.stage {
            Stage::Queued => {
                self.queues.remove(owner, sequence);
                self.tell(now, owner);
            }
            Stage::Delayed => {}
            Stage::Flying(flight) => {
                let id = self.id_of(sequence, &request);
                self.outs
                    .push(Output::Send(flight.target, Message::Cancel { id }));
            }
        }
    }

    pub(super) fn refuse(&mut self, sequence: Sequence, cause: Cause, ran: Ran) {
        let Some(request) = self.remove(sequence) else {
            return;
        };
        let ran = match (ran, request.doubtful) {
            (Ran::No, true) => Ran::Unknown,
            (ran, _) => ran,
        };
        let owner = (request.ask.service, request.ask.account);
        let retry = match cause {
            Cause::KeyReused | Cause::KeyDone | Cause::KeyUnknown => None,
            Cause::KeyRunning | Cause::Draining => Some(Duration::from_secs(1)),
            _ => Some(self.queues.wait(owner).max(Duration::from_secs(1))),
        };
        self.outs.push(Output::Log(Event::Refuse {
            id: self.id_of(sequence, &request),
            account: self.rules.name(request.ask.account),
            cause,
            ran,
        }));
        let refusal = Refusal { cause, ran, retry };
        self.outs
            .push(Output::Reply(sequence, Reply::Refuse(refusal)));
    }

    /// Ends a request whose answer cannot be completed.
    pub(super) fn give_up(&mut self, sequence: Sequence, cause: Cause) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        if !request.started {
            return self.refuse(sequence, cause, Ran::Unknown);
        }
        self.outs.push(Output::Log(Event::Break {
            id: self.id_of(sequence, request),
            received: request.received,
        }));
        self.remove(sequence);
        self.outs.push(Output::Reply(sequence, Reply::Break));
    }

    /// Asks a sidecar that is back about the attempts that it had.
    pub(super) fn ask_again(&mut self, target: Target, incarnation: Incarnation) {
        let flights = self.flights.get(&target).cloned().unwrap_or_default();
        for sequence in flights {
            let Some(request) = self.requests.get_mut(&sequence) else {
                continue;
            };
            let Stage::Flying(flight) = &mut request.stage else {
                continue;
            };
            if flight.incarnation != incarnation {
                self.lose(sequence);
                continue;
            }
            flight.lost = None;
            self.query(sequence);
        }
    }

    /// Asks a sidecar for what is missing of an answer.
    pub(super) fn query(&mut self, sequence: Sequence) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let Stage::Flying(flight) = &request.stage else {
            return;
        };
        let id = self.id_of(sequence, request);
        let (target, stamp) = (flight.target, flight.stamp);
        let offset = request.received;
        self.outs.push(Output::Log(Event::Resume {
            id,
            target: self.rules.name(target),
            offset,
        }));
        let message = Message::Query { id, stamp, offset };
        self.outs.push(Output::Send(target, message));
    }

    /// Moves a request's timer, but never past its deadline while it has no answer.
    pub(super) fn wake_at(&mut self, sequence: Sequence, at: Time) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        self.timers.remove(&(request.wake, sequence));
        request.wake = match request.started {
            true => at,
            false => at.min(request.deadline()),
        };
        self.timers.insert((request.wake, sequence));
    }

    /// Resolves an attempt whose outcome cannot be known.
    pub(super) fn lose(&mut self, sequence: Sequence) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let Stage::Flying(flight) = request.stage.clone() else {
            return;
        };
        request.doubtful = true;
        let again = request.ask.write.is_none() && !request.started;
        if !again || !self.budget.spend() {
            return self.give_up(sequence, Cause::TargetLost);
        }
        let request = &self.requests[&sequence];
        self.outs.push(Output::Log(Event::Retry {
            id: self.id_of(sequence, request),
            target: self.rules.name(flight.target),
        }));
        self.delay(sequence, Time::ZERO);
    }

    /// Takes an attempt back and queues its request again later.
    pub(super) fn delay(&mut self, sequence: Sequence, until: Time) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        if let Stage::Flying(flight) = &request.stage
            && let Some(flights) = self.flights.get_mut(&flight.target)
        {
            flights.remove(&sequence);
        }
        request.attempt += 1;
        request.stage = Stage::Delayed;
        self.wake_at(sequence, until);
    }

    pub(super) fn requeue(&mut self, now: Time, sequence: Sequence) {
        let waiter = self.waiter(sequence);
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.stage = Stage::Queued;
        let owner = (request.ask.service, request.ask.account);
        let deadline = request.deadline();
        self.queues.push_front(owner, waiter);
        self.wake_at(sequence, deadline);
        self.observe(now, owner);
        self.drain_offers(now, owner.0);
        self.tell(now, owner);
    }

    pub(super) fn refused(&mut self, now: Time, target: Target, id: AttemptId, reason: Reason) {
        let Some(sequence) = self.current(target, id) else {
            return;
        };
        self.outs.push(Output::Log(Event::Return {
            id,
            target: self.rules.name(target),
            reason,
        }));
        match reason {
            Reason::Busy | Reason::Leaving | Reason::Stale | Reason::Expired => {
                if let Some(link) = self.links.get_mut(&target) {
                    link.offer = 0;
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
                // This attempt did not run, but what the caller asks for may.
                if let Some(request) = self.requests.get_mut(&sequence) {
                    request.doubtful = true;
                }
                self.delay(sequence, now + RETURN_WAIT);
            }
            Reason::KeyReused => self.refuse(sequence, Cause::KeyReused, Ran::No),
            Reason::KeyDone => self.refuse(sequence, Cause::KeyDone, Ran::Yes),
            Reason::KeyUnknown => self.refuse(sequence, Cause::KeyUnknown, Ran::Unknown),
            Reason::Failed | Reason::Forgotten => self.lose(sequence),
        }
    }

    pub(super) fn wake(&mut self, now: Time, sequence: Sequence) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let late = !request.started && now >= request.deadline();
        match &request.stage {
            Stage::Queued if late => {
                let owner = (request.ask.service, request.ask.account);
                self.queues.remove(owner, sequence);
                self.refuse(sequence, Cause::Deadline, Ran::No);
                self.tell(now, owner);
            }
            Stage::Delayed if late => {
                let cause = match request.ask.bid.is_some() && request.doubtful {
                    true => Cause::KeyRunning,
                    false => Cause::Deadline,
                };
                self.refuse(sequence, cause, Ran::No);
            }
            Stage::Delayed => self.requeue(now, sequence),
            Stage::Flying(flight) if late => {
                let id = self.id_of(sequence, request);
                let message = Message::Cancel { id };
                self.outs.push(Output::Send(flight.target, message));
                self.give_up(sequence, Cause::Timeout);
            }
            Stage::Flying(flight) if flight.lost.is_some() => self.lose(sequence),
            Stage::Flying(_) if !request.started => {
                let deadline = request.deadline();
                self.wake_at(sequence, deadline);
            }
            _ => {}
        }
    }
}

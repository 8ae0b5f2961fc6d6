//! Attempts that have failed, and whether another one follows.

use std::time::Duration;

use super::{
    Fault,
    Output,
    Pool,
    core::Stage, //
};
use crate::ids::{
    Sequence,
    Target,
    Time, //
};

/// The attempts that may fail before they reach a target, beside those that may run.
const MAX_MISSES: u32 = 3;

impl Pool {
    /// Notes that an attempt has failed; the request stays until [`Pool::requeue`] or
    /// [`Pool::end`].
    pub fn fail(&mut self, now: Time, sequence: Sequence, fault: Fault) -> Vec<Output> {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return Vec::new();
        };
        let stage = std::mem::replace(&mut request.stage, Stage::Idle);
        let Stage::Flying { target, claim, .. } = stage else {
            request.stage = stage;
            return Vec::new();
        };
        request.tried.push(target);
        match fault {
            Fault::Unreachable => request.misses += 1,
            _ => request.sends += 1,
        }
        let (service, account) = (request.ask.service, request.ask.account);
        let charged = std::mem::take(&mut request.charged);
        if let Some(member) = self.members.get_mut(&target) {
            member.release(claim);
            match fault {
                Fault::Unreachable | Fault::Moved => member.health.miss(now),
                Fault::Lost | Fault::Error | Fault::Refused => member.health.fail(),
            }
        }
        if fault.is_unexecuted() {
            self.lane(service).ledger.refund(now, account, charged);
        }
        self.pump(now, service);
        self.take()
    }

    /// Returns whether a request whose attempt has failed may be tried again.
    ///
    /// This takes one retry out of the service's budget, unless the attempt never reached a
    /// target.
    pub fn may_retry(&mut self, sequence: Sequence, fault: Fault) -> bool {
        let Some(request) = self.requests.get(&sequence) else {
            return false;
        };
        let ask = &request.ask;
        let safe = fault.is_unexecuted() || ask.idempotent;
        let left = match fault {
            Fault::Unreachable => request.misses <= MAX_MISSES,
            // A refusal is no run, so one more target than the attempts may be asked.
            Fault::Refused | Fault::Moved => request.sends <= ask.attempts,
            Fault::Lost | Fault::Error => request.sends < ask.attempts,
        };
        let service = ask.service;
        let others = self.has_untried(sequence);
        safe && left && others && (fault == Fault::Unreachable || self.lane(service).budget.spend())
    }

    /// Notes that a target wants no requests for some time.
    pub fn start_cooldown(&mut self, now: Time, target: Target, time: Duration) {
        if let Some(member) = self.members.get_mut(&target) {
            member.health.start_cooldown(now, time);
        }
    }

    /// Returns whether a request may be sent to a target now, as far as the target wants any.
    pub fn accepts_requests(&self, now: Time, target: Target) -> bool {
        let member = self.members.get(&target);
        member.is_some_and(|member| member.health.cooldown_left(now).is_zero())
    }

    fn has_untried(&self, sequence: Sequence) -> bool {
        let request = &self.requests[&sequence];
        let lane = self.lanes.get(&request.ask.service);
        let fresh = |target: &Target| !request.tried.contains(target);
        lane.is_some_and(|lane| lane.members.iter().any(fresh))
    }

    /// Queues a request again whose attempt has failed, ahead of its account's others.
    pub fn requeue(&mut self, now: Time, sequence: Sequence) -> Vec<Output> {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return Vec::new();
        };
        request.stage = Stage::Waiting;
        let (service, account) = (request.ask.service, request.ask.account);
        let hold = super::place::hold(&request.ask);
        self.lane(service).queue.push_front(account, sequence);
        self.wake_at(sequence, now + hold);
        self.pump(now, service);
        self.take()
    }
}

//! Failed attempts, and whether a request is retried.

use std::time::Duration;

use derive_more::Display;

use super::{
    Fault,
    Output,
    Pool,
    core::Stage, //
};
use crate::{
    ids::{
        Sequence,
        Target,
        Time, //
    },
    router::RetryBudget, //
};

/// The attempts that may fail without reaching a target before a request is given up; they are
/// counted apart from [`RequestSpec::attempts`](super::RequestSpec::attempts).
const MAX_UNREACHED: u32 = 3;

/// Whether a request is retried, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum RetryVerdict {
    /// It is retried, which was charged to the retry budget.
    #[display("charged")]
    Charged,
    /// It is retried without a charge, as no target has seen the request.
    #[display("uncharged")]
    Uncharged,
    /// The retry budget of the service is spent.
    #[display("over-budget")]
    OverBudget,
    /// The request has had all its attempts.
    #[display("no-attempts")]
    NoAttempts,
    /// All targets of the service have been tried.
    #[display("no-target")]
    NoTarget,
    /// The request may have run and is not idempotent.
    #[display("may-have-run")]
    MayHaveRun,
    /// A part of the prompt is quarantined.
    #[display("quarantined")]
    Quarantined,
    /// The request has ended.
    #[display("ended")]
    Ended,
}

/// The decision about a request whose attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryDecision {
    /// Whether the request is retried.
    pub verdict: RetryVerdict,
    /// The retries that are left in the budget of the service afterwards.
    pub left: u32,
}

impl RetryDecision {
    /// Returns whether the request is retried.
    ///
    /// ```
    /// use redwingyard::pool::{RetryDecision, RetryVerdict};
    /// let decision = RetryDecision { verdict: RetryVerdict::OverBudget, left: 0 };
    /// assert!(!decision.is_allowed());
    /// ```
    pub fn is_allowed(self) -> bool {
        matches!(
            self.verdict,
            RetryVerdict::Charged | RetryVerdict::Uncharged
        )
    }
}

impl Pool {
    /// Records that an attempt has failed. The request stays registered until [`Pool::requeue`] or
    /// [`Pool::end`] is called.
    pub fn fail(&mut self, now: Time, sequence: Sequence, fault: Fault) -> Vec<Output> {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return Vec::new();
        };
        self.quarantine.end_trial(sequence);
        request.begun = None;
        let stage = std::mem::replace(&mut request.stage, Stage::Idle);
        let Stage::InFlight { target, claim, .. } = stage else {
            request.stage = stage;
            return Vec::new();
        };
        request.tried.push(target);
        match fault {
            Fault::Unreachable => request.unreached += 1,
            _ => request.reached += 1,
        }
        let (service, account) = (request.spec.service, request.spec.account);
        let charged = std::mem::take(&mut request.charged);
        if let Some(member) = self.members.get_mut(&target) {
            member.release(claim);
            match fault {
                Fault::Unreachable | Fault::Moved => member.health.record_unreachable(now),
                Fault::Lost | Fault::Error | Fault::Refused => member.health.record_failure(),
            }
        }
        if fault.is_unexecuted() {
            self.service_mut(service)
                .ledger
                .refund(now, account, charged);
        }
        self.dispatch(now, service);
        self.take_outputs()
    }

    /// Decides whether a request whose attempt has failed is retried.
    ///
    /// A retry is spent from the service's retry budget, unless the target could not be reached.
    pub fn decide_retry(&mut self, now: Time, sequence: Sequence, fault: Fault) -> RetryDecision {
        let verdict = match self.retry_obstacle(now, sequence, fault) {
            Some(obstacle) => obstacle,
            None if fault == Fault::Unreachable => RetryVerdict::Uncharged,
            None => match self.budget_of(sequence).is_some_and(RetryBudget::spend) {
                true => RetryVerdict::Charged,
                false => RetryVerdict::OverBudget,
            },
        };
        let left = self.budget_of(sequence).map_or(0, |budget| budget.left());
        RetryDecision { verdict, left }
    }

    /// Returns what prevents a retry apart from the retry budget, if anything does.
    fn retry_obstacle(&self, now: Time, sequence: Sequence, fault: Fault) -> Option<RetryVerdict> {
        let Some(request) = self.requests.get(&sequence) else {
            return Some(RetryVerdict::Ended);
        };
        let spec = &request.spec;
        let has_attempts = match fault {
            Fault::Unreachable => request.unreached <= MAX_UNREACHED,
            // A refused attempt did not run, so one more than the allowed attempts may be made.
            Fault::Refused | Fault::Moved => request.reached <= spec.attempts,
            Fault::Lost | Fault::Error => request.reached < spec.attempts,
        };
        if self.quarantined_part(now, sequence).is_some() {
            Some(RetryVerdict::Quarantined)
        } else if !fault.is_unexecuted() && !spec.idempotent {
            Some(RetryVerdict::MayHaveRun)
        } else if !has_attempts {
            Some(RetryVerdict::NoAttempts)
        } else if !self.has_untried_target(sequence) {
            Some(RetryVerdict::NoTarget)
        } else {
            None
        }
    }

    /// Returns the retry budget of a request's service.
    fn budget_of(&mut self, sequence: Sequence) -> Option<&mut RetryBudget> {
        let service = self.requests.get(&sequence)?.spec.service;
        Some(&mut self.service_mut(service).budget)
    }

    /// Starts the cooldown that a target has requested, in which no request is sent to it.
    pub fn start_cooldown(&mut self, now: Time, target: Target, time: Duration) {
        if let Some(member) = self.members.get_mut(&target) {
            member.health.start_cooldown(now, time);
        }
    }

    /// Returns whether a target is known and not in a cooldown.
    pub fn accepts_requests(&self, now: Time, target: Target) -> bool {
        let member = self.members.get(&target);
        member.is_some_and(|member| member.health.cooldown_left(now).is_zero())
    }

    /// Returns whether the service has a target at which the request has not failed yet.
    fn has_untried_target(&self, sequence: Sequence) -> bool {
        let request = &self.requests[&sequence];
        let state = self.services.get(&request.spec.service);
        let untried = |target: &Target| !request.tried.contains(target);
        state.is_some_and(|state| state.members.iter().any(untried))
    }

    /// Queues a request again after a failed attempt, at the front of its account's queue.
    pub fn requeue(&mut self, now: Time, sequence: Sequence) -> Vec<Output> {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return Vec::new();
        };
        request.stage = Stage::Waiting;
        let (service, account) = (request.spec.service, request.spec.account);
        let max_wait = super::place::max_wait(&request.spec);
        self.service_mut(service)
            .queue
            .push_front(account, sequence);
        self.set_timer(sequence, now + max_wait);
        self.dispatch(now, service);
        self.take_outputs()
    }
}

//! Failed attempts, and whether a request is retried.

use std::time::Duration;

use derive_more::Display;

use super::{
    Fault,
    Output,
    PaceCause,
    Pool,
    core::Stage, //
};
use crate::ids::{
    Sequence,
    Target,
    Time, //
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
        let Stage::InFlight {
            target,
            claim,
            since,
            ..
        } = stage
        else {
            request.stage = stage;
            return Vec::new();
        };
        request.tried.push(target);
        match fault {
            Fault::Unreachable | Fault::Withdrawn => request.unreached += 1,
            _ => request.reached += 1,
        }
        let (service, account) = (request.spec.service, request.spec.account);
        let charged = std::mem::take(&mut request.charged);
        // A target that gets no more requests is expected to stop. Its failures must not count when
        // its failure domain returns to service.
        let state = self.services.get(&service);
        let is_listed = state.is_some_and(|state| state.members.contains(&target));
        if let Some(member) = self.members.get_mut(&target) {
            member.release(claim);
            match fault {
                _ if !is_listed => {}
                Fault::Unreachable | Fault::Moved => member.health.record_unreachable(now),
                Fault::Lost | Fault::Error | Fault::Refused => member.health.record_failure(),
                Fault::Withdrawn => {}
            }
        }
        match fault {
            // An attempt at a target that may get no requests was not made.
            Fault::Unreachable if self.accepts_requests(now, target) => {
                self.warmup.record_unreachable(now, target);
            }
            Fault::Refused | Fault::Error => self.warmup.record_reached(now, target, since),
            _ => {}
        }
        match fault {
            Fault::Unreachable | Fault::Moved => self.pace_unreachable(now, target),
            Fault::Lost | Fault::Error | Fault::Refused => self.pace_failure(now, target, since),
            Fault::Withdrawn => {}
        }
        if fault.is_unexecuted() {
            let work = self.work(sequence);
            let ledger = &mut self.service_mut(service).ledger;
            ledger.refund(now, account, charged, work);
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
            None if matches!(fault, Fault::Unreachable | Fault::Withdrawn) => {
                RetryVerdict::Uncharged
            }
            None if self.charge_retry(now, sequence) => RetryVerdict::Charged,
            None => RetryVerdict::OverBudget,
        };
        let left = self.retries_left(now, sequence);
        RetryDecision { verdict, left }
    }

    /// Charges a retry to the retry budget, unless it is charged already. Returns whether it may be
    /// made.
    fn charge_retry(&mut self, now: Time, sequence: Sequence) -> bool {
        let reserve = self.retry_reserve(now);
        let Some(request) = self.requests.get_mut(&sequence) else {
            return false;
        };
        let service = request.spec.service;
        std::mem::take(&mut request.prepaid) || self.service_mut(service).budget.spend(now, reserve)
    }

    /// Charges a retry to the retry budget before the current attempt is given up for it. Returns
    /// whether it may be made.
    pub(super) fn prepay_retry(&mut self, now: Time, sequence: Sequence) -> bool {
        let charged = self.charge_retry(now, sequence);
        if let Some(request) = self.requests.get_mut(&sequence) {
            request.prepaid = charged;
        }
        charged
    }

    /// Returns the retries that are left in the budget of a request's service.
    fn retries_left(&mut self, now: Time, sequence: Sequence) -> u32 {
        let reserve = self.retry_reserve(now);
        let Some(request) = self.requests.get(&sequence) else {
            return 0;
        };
        let service = request.spec.service;
        self.service_mut(service).budget.left(now, reserve)
    }

    /// Returns the retries of each service in a window that need not be earned by requests.
    ///
    /// A router that has just started has none: it may not know the whole fleet, and an earlier
    /// process at the same address may have spent them.
    fn retry_reserve(&self, now: Time) -> u32 {
        let limits = &self.settings.retry;
        match self.joined {
            Some(joined) if now >= joined + limits.window() => {
                limits.reserve(self.fleet, self.draw)
            }
            _ => 0,
        }
    }

    /// Returns what prevents a retry apart from the retry budget, if anything does.
    fn retry_obstacle(&self, now: Time, sequence: Sequence, fault: Fault) -> Option<RetryVerdict> {
        let Some(request) = self.requests.get(&sequence) else {
            return Some(RetryVerdict::Ended);
        };
        let spec = &request.spec;
        let has_attempts = match fault {
            Fault::Unreachable | Fault::Withdrawn => request.unreached <= MAX_UNREACHED,
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

    /// Starts the cooldown that a target has requested, in which no request is sent to it.
    pub fn start_cooldown(&mut self, now: Time, target: Target, time: Duration) {
        if let Some(member) = self.members.get_mut(&target) {
            member.health.start_cooldown(now, time);
            let open = now + member.health.cooldown_left(now);
            self.begin_slow_start(now, target, PaceCause::Cooldown, open);
        }
    }

    /// Returns whether a target is known and not in a cooldown.
    pub fn accepts_requests(&self, now: Time, target: Target) -> bool {
        let member = self.members.get(&target);
        member.is_some_and(|member| member.health.cooldown_left(now).is_zero())
    }

    /// Returns the target at which a request is, if it has been sent.
    pub fn current_target(&self, sequence: Sequence) -> Option<Target> {
        match self.requests.get(&sequence)?.stage {
            Stage::InFlight { target, .. } => Some(target),
            _ => None,
        }
    }

    /// Returns whether the service has a target to which the request was not sent yet.
    pub(super) fn has_untried_target(&self, sequence: Sequence) -> bool {
        let request = &self.requests[&sequence];
        let current = match request.stage {
            Stage::InFlight { target, .. } => Some(target),
            _ => None,
        };
        let state = self.services.get(&request.spec.service);
        let untried = |target: &Target| !request.tried.contains(target) && Some(*target) != current;
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

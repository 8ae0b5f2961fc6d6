//! Load shedding: which requests can't be served in time, and when their callers should retry.
//!
//! When an account sends far more than its share, requests that would wait too long are refused
//! at arrival, at very little cost. When the process itself lacks processor time, requests whose
//! callers would give up before the answer begins are refused instead of sent.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::{
    Output,
    Pool,
    Refusal,
    RequestSpec,
    Standing,
    core::ServiceState, //
};
use crate::ids::{
    Account,
    Sequence,
    Service,
    Time, //
};

/// The shortest retry time that is sent to a caller.
const MIN_RETRY: Duration = Duration::from_millis(300);

/// The longest retry time, as a fraction of the time until the deadline. Callers give up when they
/// are asked to wait longer.
const MAX_RETRY_FRACTION: f64 = 0.3;

/// The number of steps that remain after this process has read a request, each of which it may
/// delay: sending the request, reading the beginning of its answer, and passing that on.
const REMAINING_STEPS: u32 = 3;

/// How long a new request would wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Expected {
    /// The time in the queue behind other requests.
    wait: Duration,
    /// The time until the account's usage has decayed to its part.
    held: Duration,
    /// The time until the first target leaves its cooldown.
    cooldown: Duration,
}

impl ServiceState {
    /// Records that a request of an account was refused.
    fn record_refusal(&mut self, now: Time, account: Account) {
        if self.ledger.record_refusal(now, account) {
            self.discard_fairness();
        }
    }

    /// Returns the expected wait of a new request of an account, behind the requests of accounts
    /// with less usage.
    fn expected_wait(&self, now: Time, account: Account) -> Duration {
        let usage = |account| self.ledger.usage(now, account);
        let own = usage(account);
        self.queue
            .expected_wait(account, |other| usage(other) < own)
    }
}

/// Returns whether the caller will have given up before the answer begins. Each of the remaining
/// steps is assumed to be delayed by as much as reading the request was.
fn would_expire(now: Time, spec: &RequestSpec) -> bool {
    let left = spec.deadline.saturating_sub(now);
    let client_timeout = spec
        .client_timeout
        .map(|time| time.saturating_sub(spec.read_delay));
    spec.read_delay * REMAINING_STEPS >= client_timeout.map_or(left, |time| time.min(left))
}

impl Pool {
    /// Refuses a request that can't be served in time, without registering it. Returns the cause
    /// and the time after which the caller should retry, or `None` if the request may be queued.
    ///
    /// An account may send far more than its share, so a refusal must cost very little.
    pub fn refuse_early(&mut self, now: Time, spec: &RequestSpec) -> Option<(Refusal, Duration)> {
        let max_wait = super::place::max_wait(spec);
        let work = self.work_of(spec);
        let expected = self.expected(now, spec);
        if let Some(cause) = self.quarantine_cause(now, spec) {
            return Some((cause, Duration::ZERO));
        }
        let cause = match would_expire(now, spec) {
            true => Refusal::Late,
            false => self.refusal_cause(spec.service, max_wait, expected)?,
        };
        let state = self.service_mut(spec.service);
        state.ledger.add_demand(now, spec.account, work);
        state.budget.earn(now);
        state.record_refusal(now, spec.account);
        if cause == Refusal::Held {
            state.ledger.record_held(now, spec.account);
        }
        Some((cause, self.retry_time(now, spec, expected)))
    }

    /// Refuses a registered request and removes it.
    pub(super) fn refuse(&mut self, now: Time, sequence: Sequence, cause: Refusal) {
        let Some(request) = self.remove(sequence) else {
            return;
        };
        let spec = &request.spec;
        let supply = self.supply(now, spec.service);
        let state = self.service_mut(spec.service);
        state.record_refusal(now, spec.account);
        let waiting = state.queue.len();
        let flow = state.ledger.flow(now, spec.account);
        let fairness = state.fairness(now, supply);
        let standing = fairness.standing(&flow);
        if cause == Refusal::Held || cause == Refusal::Waited && fairness.is_held(&flow) {
            state.ledger.record_held(now, spec.account);
        }
        let expected = self.expected(now, spec);
        let retry = self.retry_time(now, spec, expected);
        self.outputs.push(Output::Refuse {
            sequence,
            cause,
            retry,
            waiting,
            standing,
        });
    }

    /// Returns what decides the part of the engines that an account may use now.
    pub fn standing(&mut self, now: Time, service: Service, account: Account) -> Standing {
        let supply = self.supply(now, service);
        let Some(state) = self.services.get_mut(&service) else {
            return Standing::default();
        };
        let flow = state.ledger.flow(now, account);
        state.fairness(now, supply).standing(&flow)
    }

    /// Returns how long a new request would wait.
    pub(super) fn expected(&mut self, now: Time, spec: &RequestSpec) -> Expected {
        let (supply, account) = (self.supply(now, spec.service), spec.account);
        let Some(state) = self.services.get_mut(&spec.service) else {
            return Expected::default();
        };
        if spec.prompt.is_some() {
            state.headroom.get_or_insert_default();
        }
        let fairness = state.fairness(now, supply);
        let state = &self.services[&spec.service];
        let waiting = state.queue.of_account(account).map_or(0, VecDeque::len);
        let work = self.work_of(spec);
        let flow = state.ledger.flow(now, account).with_request(work);
        let held = fairness.hold_time(&flow, waiting);
        Expected {
            // Requests that wait while engines have room wait for their home engines.
            wait: match supply.spare {
                true => Duration::ZERO,
                false => state.expected_wait(now, account),
            },
            held,
            cooldown: self.min_cooldown(now, state),
        }
    }

    /// Returns why a request that may wait for `max_wait` can't be queued, if it can't.
    pub(super) fn refusal_cause(
        &self,
        service: Service,
        max_wait: Duration,
        expected: Expected,
    ) -> Option<Refusal> {
        let state = self.services.get(&service);
        if state.is_none_or(|state| state.members.is_empty()) {
            return Some(Refusal::NoTarget);
        }
        if expected.cooldown > max_wait {
            return Some(Refusal::CoolingDown);
        }
        if expected.held > max_wait {
            return Some(Refusal::Held);
        }
        (expected.wait > max_wait).then_some(Refusal::Overload)
    }

    /// Returns the time until the first target of a service leaves its cooldown.
    fn min_cooldown(&self, now: Time, state: &ServiceState) -> Duration {
        let members = state.members.iter();
        let members = members.filter_map(|target| self.members.get(target));
        let cooldowns = members.map(|member| member.health.cooldown_left(now));
        cooldowns.min().unwrap_or_default()
    }

    /// Returns the time after which the caller of a refused request should retry.
    fn retry_time(&mut self, now: Time, spec: &RequestSpec, expected: Expected) -> Duration {
        // Random jitter, so that callers that are refused together don't retry together.
        let spread = 1.0 + self.rng.f64();
        let wait = expected.wait.max(expected.held).max(expected.cooldown);
        let wait = wait.max(MIN_RETRY).mul_f64(spread);
        let left = spec.deadline.saturating_sub(now);
        wait.min(left.mul_f64(MAX_RETRY_FRACTION))
    }
}

//! Refusing: which requests can't be served in time, and when their callers should come back.
//!
//! It answers the load of an account that asks for far more than its share: what could not be
//! queued is refused at once, at next to no cost. It also answers a process without processor
//! time: what its caller would not wait for is not begun.

use std::time::Duration;

use super::{
    Output,
    Pool,
    Refusal,
    RequestSpec,
    core::Lane, //
};
use crate::ids::{
    Account,
    Sequence,
    Service,
    Time, //
};

/// The shortest time that a caller is told to wait.
const MIN_RETRY: Duration = Duration::from_millis(300);

/// The part of the caller's time that it is told to wait at most; callers give up on more.
const RETRY_PART: f64 = 0.3;

/// The steps of a request that wait for this process after it was read: it is sent, and the
/// beginning of its answer is read and passed on.
const STEPS: u32 = 3;

/// How long a request would wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Expected {
    /// The time behind others in the queue.
    wait: Duration,
    /// The time until a target wants requests.
    rest: Duration,
}

impl Lane {
    /// Returns the expected wait of a request of an account that joins now: those of accounts
    /// that have had less come first.
    fn wait(&self, now: Time, account: Account) -> Duration {
        let usage = |account| self.ledger.usage(now, account);
        let own = usage(account);
        self.queue.wait(account, |other| usage(other) < own)
    }
}

/// Returns whether a request's caller will have gone before an answer begins: as long as it lay
/// unread, it waits again at each step.
fn is_hopeless(now: Time, ask: &RequestSpec) -> bool {
    let left = ask.deadline.saturating_sub(now);
    let client_timeout = ask
        .client_timeout
        .map(|time| time.saturating_sub(ask.read_delay));
    ask.read_delay * STEPS >= client_timeout.map_or(left, |time| time.min(left))
}

impl Pool {
    /// Refuses a request that could not be queued, without taking it in; returns why, and when to
    /// come back.
    ///
    /// The load: an account asks for far more than its share, so that refusing it must cost next
    /// to nothing.
    pub fn refuse_early(&mut self, now: Time, ask: &RequestSpec) -> Option<(Refusal, Duration)> {
        let hold = super::place::hold(ask);
        let work = self.work_of(ask);
        let expected = self.expected(now, ask.service, ask.account);
        let cause = match is_hopeless(now, ask) {
            true => Refusal::Late,
            false => self.turns_away(ask.service, hold, expected)?,
        };
        let lane = self.lane(ask.service);
        lane.ledger.add_demand(now, ask.account, work);
        lane.budget.earn();
        lane.ledger.record_refusal(now, ask.account);
        Some((cause, self.retry_time(now, ask, expected)))
    }

    pub(super) fn refuse(&mut self, now: Time, sequence: Sequence, cause: Refusal) {
        let Some(request) = self.remove(sequence) else {
            return;
        };
        let ask = &request.ask;
        let lane = self.lane(ask.service);
        lane.ledger.record_refusal(now, ask.account);
        let waiting = lane.queue.len();
        let expected = self.expected(now, ask.service, ask.account);
        let retry = self.retry_time(now, ask, expected);
        self.outs.push(Output::Refuse {
            sequence,
            cause,
            retry,
            waiting,
        });
    }

    /// Returns how long a request of an account that joins now would wait.
    pub(super) fn expected(&self, now: Time, service: Service, account: Account) -> Expected {
        let lane = self.lanes.get(&service);
        lane.map_or_else(Expected::default, |lane| Expected {
            wait: lane.wait(now, account),
            rest: self.rest_left(now, lane),
        })
    }

    /// Returns why a request that may wait for `hold` can't be queued.
    pub(super) fn turns_away(
        &self,
        service: Service,
        hold: Duration,
        expected: Expected,
    ) -> Option<Refusal> {
        let lane = self.lanes.get(&service);
        if lane.is_none_or(|lane| lane.members.is_empty()) {
            return Some(Refusal::NoTarget);
        }
        if expected.rest > hold {
            return Some(Refusal::CoolingDown);
        }
        (expected.wait > hold).then_some(Refusal::Overload)
    }

    /// Returns how long it takes until a target of a lane wants requests.
    fn rest_left(&self, now: Time, lane: &Lane) -> Duration {
        let members = lane.members.iter();
        let members = members.filter_map(|target| self.members.get(target));
        let rests = members.map(|member| member.health.cooldown_left(now));
        rests.min().unwrap_or_default()
    }

    /// Returns when a refused caller should come back.
    fn retry_time(&mut self, now: Time, ask: &RequestSpec, expected: Expected) -> Duration {
        // Those refused together should not come back together.
        let spread = 1.0 + self.rng.f64();
        let wait = expected.wait.max(expected.rest);
        let wait = wait.max(MIN_RETRY).mul_f64(spread);
        let left = ask.deadline.saturating_sub(now);
        wait.min(left.mul_f64(RETRY_PART))
    }
}

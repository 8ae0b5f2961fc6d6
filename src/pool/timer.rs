//! Timers: the longest wait in the queue, targets that do not answer, and deadlines.

use std::time::Duration;

use super::{
    Output,
    Pool,
    Refusal,
    core::Stage, //
};
use crate::ids::{
    Sequence,
    Time, //
};

/// The time for which a reported load is used: several rounds of the exchange.
pub(super) const PEER_LOAD_TTL: Duration = Duration::from_millis(1_000);

/// The number of objectives after which a target that has sent no first byte counts as failed.
pub(super) const SILENCE_OBJECTIVES: u32 = 4;

impl Pool {
    /// Handles the timers that are due, drops reported loads that have expired, and dispatches the
    /// queues.
    pub fn tick(&mut self, now: Time) -> Vec<Output> {
        self.quarantine.expire(now);
        self.warmup.tick(now);
        self.expire_slow_starts(now);
        while let Some((at, sequence)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, sequence));
            self.on_timer(now, sequence);
        }
        for member in self.members.values_mut() {
            member
                .peers
                .retain(|_, (_, received)| now < *received + PEER_LOAD_TTL);
            member.speed.expire(now);
        }
        let waiting = self
            .services
            .iter()
            .filter(|(_, state)| !state.queue.is_empty());
        let services: Vec<_> = waiting.map(|(service, _)| *service).collect();
        for service in services {
            self.dispatch(now, service);
        }
        self.take_outputs()
    }

    /// Starts a grace period after this process has run `time` late. Answers may have arrived that
    /// it has not read yet, so targets get as much time again before they count as silent.
    pub fn start_grace(&mut self, now: Time, time: Duration) {
        self.grace_end = now + time;
    }

    fn on_timer(&mut self, now: Time, sequence: Sequence) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let deadline = request.spec.latest_deadline();
        match &request.stage {
            Stage::Waiting if request.reached > 0 => self.refuse(now, sequence, Refusal::Attempts),
            Stage::Waiting => self.refuse(now, sequence, Refusal::Waited),
            _ if now >= deadline => self.outputs.push(Output::Expire { sequence }),
            Stage::InFlight { read: false, .. } if now < self.grace_end => {
                self.set_timer(sequence, self.grace_end.min(deadline));
            }
            Stage::InFlight { read: false, .. } => {
                let next = self.handle_silence(now, sequence);
                self.set_timer(sequence, next.min(deadline));
            }
            _ => self.set_timer(sequence, deadline),
        }
    }

    /// Handles a request whose target has not sent the first byte in time, and returns when to do so
    /// again. The attempt is given up if the request is idempotent, has attempts left, its service
    /// has other targets, and the retry budget allows another attempt. Otherwise a failure of the
    /// target is recorded, and the attempt goes on.
    fn handle_silence(&mut self, now: Time, sequence: Sequence) -> Time {
        let request = &self.requests[&sequence];
        let Stage::InFlight { target, since, .. } = request.stage else {
            return Time::MAX;
        };
        let spec = &request.spec;
        let silence = spec.objective * SILENCE_OBJECTIVES;
        let retryable = spec.idempotent
            && request.reached + 1 < spec.attempts
            && self.has_untried_target(sequence);
        if retryable && self.prepay_retry(now, sequence) {
            self.outputs.push(Output::Abandon { sequence });
            return Time::MAX;
        }
        if let Some(member) = self.members.get_mut(&target) {
            member.health.record_failure();
        }
        self.pace_failure(now, target, since);
        if !retryable {
            return Time::MAX;
        }
        self.outputs.push(Output::Keep { sequence });
        now + silence
    }

    /// Sets the timer of a request, which replaces the earlier one.
    pub(super) fn set_timer(&mut self, sequence: Sequence, at: Time) {
        if let Some(request) = self.requests.get_mut(&sequence) {
            self.timers.remove(&(request.timer, sequence));
            request.timer = at;
            self.timers.insert((at, sequence));
        }
    }
}

//! What becomes due with time: refusals, silent targets, and requests whose time is over.

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

/// The time for which the load that others have told is believed: some rounds of the exchange.
const PEER_LIFE: Duration = Duration::from_millis(1_000);

/// The part of the objective after which a target that says nothing is taken to hang, times.
pub(super) const HANG_OBJECTIVES: u32 = 4;

impl Pool {
    /// Lets time pass: refuses what has waited too long and ends what has run too long.
    pub fn tick(&mut self, now: Time) -> Vec<Output> {
        while let Some((at, sequence)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, sequence));
            self.wake(now, sequence);
        }
        for member in self.members.values_mut() {
            member
                .peers
                .retain(|_, (_, heard)| now < *heard + PEER_LIFE);
        }
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.queue.is_empty());
        let services: Vec<_> = waiting.map(|(service, _)| *service).collect();
        for service in services {
            self.pump(now, service);
        }
        self.take()
    }

    /// Notes that this router has lost `time` up to now, and may not have read what has arrived:
    /// what seems silent is given as much time again.
    pub fn start_grace(&mut self, now: Time, time: Duration) {
        self.excused = now + time;
    }

    fn wake(&mut self, now: Time, sequence: Sequence) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let deadline = request.ask.deadline;
        match &request.stage {
            Stage::Waiting if request.sends > 0 => self.refuse(now, sequence, Refusal::Attempts),
            Stage::Waiting => self.refuse(now, sequence, Refusal::Waited),
            _ if now >= deadline => self.outs.push(Output::Expire { sequence }),
            Stage::Flying { read: false, .. } if now < self.excused => {
                self.wake_at(sequence, self.excused.min(deadline));
            }
            Stage::Flying { read: false, .. } => {
                self.hang(sequence);
                self.wake_at(sequence, deadline);
            }
            _ => self.wake_at(sequence, deadline),
        }
    }

    /// Deals with a target that has said nothing for long.
    fn hang(&mut self, sequence: Sequence) {
        let request = &self.requests[&sequence];
        let Stage::Flying { target, .. } = request.stage else {
            return;
        };
        let again = request.ask.idempotent && request.sends + 1 < request.ask.attempts;
        if again && self.lanes[&request.ask.service].members.len() > 1 {
            self.outs.push(Output::Abandon { sequence });
        } else if let Some(member) = self.members.get_mut(&target) {
            member.health.fail();
        }
    }

    pub(super) fn wake_at(&mut self, sequence: Sequence, at: Time) {
        if let Some(request) = self.requests.get_mut(&sequence) {
            self.timers.remove(&(request.wake, sequence));
            request.wake = at;
            self.timers.insert((at, sequence));
        }
    }
}

//! The pool's use of [`Pace`]: which targets are in slow start, and the answers and failures that
//! decide it.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    Pace,
    PaceCause,
    Pool,
    core::Stage,
    join_position,
    member::Member,
    place::REQUESTS_PER_SLOT, //
};
use crate::ids::{
    Sequence,
    Service,
    Target,
    Time, //
};

/// Routers join in order only while at most one in this many targets of a service is in slow start. The
/// others could not take the load of more until all routers have joined.
const MIN_TARGETS: usize = 4;

/// The beginning or the end of a target's slow start at this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceChange {
    /// Slow start began.
    Begun {
        /// The target.
        target: Target,
        /// Why.
        cause: PaceCause,
    },
    /// Slow start ended.
    Ended {
        /// The target.
        target: Target,
        /// The answers in time since the last failure.
        answers: u32,
        /// The time since it began.
        took: Duration,
    },
}

/// The slow starts of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowStarts {
    /// The number of routers with a smaller address than this one.
    rank: u32,
    /// The targets that are in slow start, with their services.
    targets: BTreeMap<Target, Service>,
    /// The number of these targets of each service.
    counts: BTreeMap<Service, usize>,
    /// The requests that had to wait while slow start kept them from a target.
    held: u64,
    changes: Vec<PaceChange>,
}

impl Member {
    /// Returns whether slow start has room for another request.
    pub(super) fn has_room(&self) -> bool {
        let unanswered = self.own.running.saturating_sub(self.own.streaming);
        self.pace.is_none_or(|pace| pace.has_room(unanswered))
    }

    /// Returns the answers in progress at the target that other routers report.
    fn reported_answers(&self) -> u32 {
        let streaming = self.peers.values().map(|(load, _)| load.streaming);
        streaming.fold(0, u32::saturating_add)
    }

    /// Returns the requests at a time that are this router's share of what the target ordinarily gets
    /// from all `routers`.
    fn share(&self, routers: usize) -> u32 {
        let limit = match self.spec.kv_capacity {
            0 => self.spec.slots.max(1) * REQUESTS_PER_SLOT,
            _ => self.concurrency.limit(),
        };
        limit.div_ceil(routers.max(1) as u32)
    }
}

impl Pool {
    /// Begins the slow start of a target, or begins it anew. The first router may send from `open` on.
    ///
    /// A target whose requests per second are bounded while it is cold has none.
    pub(super) fn begin_slow_start(
        &mut self,
        now: Time,
        target: Target,
        cause: PaceCause,
        open: Time,
    ) {
        let Some(member) = self.members.get_mut(&target) else {
            return;
        };
        if !self.settings.slow_start || member.spec.cold.is_some() {
            return;
        }
        if let Some(pace) = &mut member.pace {
            return pace.restart(now, open);
        }
        let position = join_position(target, self.slow_starts.rank, self.routers);
        member.pace = Some(Pace::new(now, open, position));
        let service = member.spec.service;
        self.slow_starts.targets.insert(target, service);
        *self.slow_starts.counts.entry(service).or_default() += 1;
        let change = PaceChange::Begun { target, cause };
        self.slow_starts.changes.push(change);
    }

    /// Begins the slow start of a target that could not be reached.
    pub(super) fn pace_unreachable(&mut self, now: Time, target: Target) {
        let member = self.members.get(&target);
        let backoff = member.map_or(Duration::ZERO, |member| member.health.backoff_left(now));
        self.begin_slow_start(now, target, PaceCause::Unreachable, now + backoff);
    }

    /// Records the first byte of an answer to a request that was sent at `sent`.
    pub(super) fn pace_answer(&mut self, now: Time, target: Target, sent: Time, timely: bool) {
        let routers = self.routers;
        let Some(member) = self.members.get_mut(&target) else {
            return;
        };
        let share = member.share(routers);
        if let Some(pace) = &mut member.pace
            && pace.record_answer(now, sent, timely, share)
        {
            self.end_slow_start(now, target);
        }
    }

    /// Records the failure of an attempt that was sent at `sent`.
    pub(super) fn pace_failure(&mut self, now: Time, target: Target, sent: Time) {
        let member = self.members.get_mut(&target);
        if let Some(pace) = member.and_then(|member| member.pace.as_mut()) {
            pace.record_failure(now, sent);
        }
    }

    fn end_slow_start(&mut self, now: Time, target: Target) {
        let Some(service) = self.slow_starts.targets.remove(&target) else {
            return;
        };
        if let Some(count) = self.slow_starts.counts.get_mut(&service) {
            *count -= 1;
        }
        let member = self.members.get_mut(&target);
        let Some(pace) = member.and_then(|member| member.pace.take()) else {
            return;
        };
        self.slow_starts.changes.push(PaceChange::Ended {
            target,
            answers: pace.answers(),
            took: pace.age(now),
        });
    }

    /// Ends the slow starts that have expired, and those of targets that have left.
    pub(super) fn expire_slow_starts(&mut self, now: Time) {
        let is_over = |target: &&Target| {
            let pace = self.members.get(target).and_then(|member| member.pace);
            pace.is_none_or(|pace| pace.is_expired(now))
        };
        let over = self.slow_starts.targets.keys().filter(is_over).copied();
        for target in over.collect::<Vec<_>>() {
            self.end_slow_start(now, target);
        }
    }

    /// Returns whether this router may send to a target, as far as the order in which routers join its
    /// slow start is concerned.
    pub(super) fn is_turn(&self, now: Time, member: &Member) -> bool {
        let Some(pace) = &member.pace else {
            return true;
        };
        let service = member.spec.service;
        let state = self.services.get(&service);
        let listed = state.map_or(0, |state| state.members.len());
        let slow = self.slow_starts.counts.get(&service).copied();
        slow.unwrap_or(0) * MIN_TARGETS > listed || pace.is_turn(now, member.reported_answers())
    }

    /// Removes the targets that are backing off or at which it is not this router's turn, unless no
    /// others are left.
    pub(super) fn retain_open(&self, now: Time, members: &mut Vec<&Member>) {
        let is_open =
            |member: &&Member| self.is_turn(now, member) && !member.health.is_backing_off(now);
        if !self.slow_starts.targets.is_empty() && members.iter().any(is_open) {
            members.retain(is_open);
        }
    }

    /// Counts a request that waits if slow start keeps it from a target.
    pub(super) fn count_held(&mut self, now: Time, sequence: Sequence) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let is_held = |target: &Target| {
            let member = self.members.get(target);
            member.is_some_and(|member| !(member.has_room() && self.is_turn(now, member)))
        };
        let service = request.spec.service;
        let mut targets = self.slow_starts.targets.iter();
        let held = matches!(request.stage, Stage::Waiting)
            && targets.any(|(target, other)| *other == service && is_held(target));
        self.slow_starts.held += u64::from(held);
    }

    /// Sets the number of routers that come before this one in trying suspects and in the order of
    /// their addresses.
    pub fn set_rank(&mut self, rank: u32) {
        self.quarantine.set_rank(rank);
        if rank != self.slow_starts.rank {
            self.slow_starts.rank = rank;
            self.update_positions();
        }
    }

    /// Updates the order in which routers join slow starts after the fleet has changed.
    pub(super) fn update_positions(&mut self) {
        for target in self.slow_starts.targets.keys() {
            let member = self.members.get_mut(target);
            if let Some(pace) = member.and_then(|member| member.pace.as_mut()) {
                pace.set_position(join_position(*target, self.slow_starts.rank, self.routers));
            }
        }
    }

    /// Returns the number of targets that are in slow start.
    pub fn slow_starts(&self) -> usize {
        self.slow_starts.targets.len()
    }

    /// Returns the number of requests that had to wait while slow start kept them from a target.
    pub fn slow_start_held(&self) -> u64 {
        self.slow_starts.held
    }

    /// Returns the slow starts that began or ended since the last call.
    pub fn take_pace_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.slow_starts.changes)
    }
}

//! Cold targets: which gateway may send to a target that has just started, and how much.
//!
//! The load that this module handles is that of all gateways together at a target that has started
//! or recovered during traffic. A cold target crashes when it gets more than a bound of requests in
//! one second. One gateway, the owner of the target, sends at most half of the bound in
//! [`SEND_WINDOW`], and all others send nothing. It is half so that two views of the fleet at the
//! same time stay within the bound.
//!
//! ```
//! use std::time::Duration;
//! use redwingyard::{mesh::FleetView, pool::{Arrival, ColdLimit, Warmup}};
//!
//! let limit = ColdLimit::new(Duration::from_secs(3), 4.0);
//! let mut warmup = Warmup::default();
//! warmup.set_view(Duration::ZERO, FleetView { alone: true, ..FleetView::default() });
//! warmup.list(Duration::ZERO, 9, Some(limit), None, Arrival::Joined);
//! let sent = (0..5).filter(|_| {
//!     let permitted = warmup.permits(Duration::ZERO, 9);
//!     warmup.record_send(Duration::ZERO, 9);
//!     permitted
//! });
//! assert_eq!(sent.count(), 2);
//! assert!(warmup.permits(Duration::from_secs(3), 9));
//! ```

use std::{
    cell::Cell,
    cmp::Reverse,
    collections::{
        BTreeSet,
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use derive_more::Display;

use super::{
    Pool,
    core::Stage, //
};
use crate::{
    ids::{
        Revision,
        Sequence,
        Target,
        Time,
        rendezvous_weight, //
    },
    mesh::FleetView,
    wire::ColdNotice, //
};

/// The time in which an owner sends at most its allowance: a second, and a margin for requests that
/// arrive later after their placement than others.
pub const SEND_WINDOW: Duration = Duration::from_millis(1_250);

/// The longest time from the placement of a request at a cold target to its sending.
pub const MAX_SEND_DELAY: Duration = Duration::from_millis(100);

/// The time that a gateway must have run before it is the owner of a target.
const START_TIME: Duration = Duration::from_secs(3);

/// The time for which a gateway does not send to a cold target that a change of its membership view
/// has given to it.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The time between two ticks after which this process counts as suspended in between.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// The longest time for which a target is cold by one statement.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// The multiple of a service's cold time for which notices of other gateways may block a target in
/// a row.
const MAX_NOTICE_TIMES: u32 = 2;

/// The multiple of a service's cold time for which a target counts as unreachable after a failure.
/// It doubles with each failure that follows, up to [`MAX_HOLD`].
const HOLD_TIMES: u32 = 2;

/// The longest time for which a target counts as unreachable after a failure. It exceeds the time
/// within which another gateway becomes the owner of the target.
const MAX_HOLD: Duration = Duration::from_secs(20);

/// The time for which the sends to a target are remembered after it has left the list.
const GONE_TIME: Duration = Duration::from_secs(5);

/// The most notices in a datagram.
const MAX_NOTICES: usize = 64;

/// The largest allowance.
const MAX_ALLOWANCE: f64 = 10_000.0;

data! {
    /// How long the targets of a service are cold, and what they can take meanwhile.
    #[derive(Copy)]
    pub struct ColdLimit {
        /// The time for which a target is cold after its start.
        pub time: Duration,
        /// The requests that the owner may send to a cold target in [`SEND_WINDOW`].
        pub allowance: u32,
    }

    /// The time for which a target is cold by its own entry.
    #[derive(Copy)]
    pub struct StatedCold {
        /// The revision of the entry.
        pub revision: Revision,
        /// The remaining time when the entry was written.
        pub left: Duration,
    }

    /// A cold target, for operators.
    pub struct ColdStatus {
        /// The target.
        pub target: Target,
        /// Why it is cold.
        pub cause: ColdCause,
        /// How much longer it is cold, in milliseconds.
        pub left_ms: u64,
        /// Whether this gateway may send to it.
        pub owner: bool,
        /// The requests that this gateway has sent to it in the last [`SEND_WINDOW`].
        pub sends: usize,
        /// The most that it may send in that time.
        pub allowance: u32,
    }

    /// Why a target is cold.
    #[derive(Copy, Display)]
    #[serde(rename_all = "lowercase")]
    pub enum ColdCause {
        /// Its entry states a remaining time.
        #[display("stated")]
        Stated,
        /// It has joined the list.
        #[display("joined")]
        Joined,
        /// It has started again.
        #[display("restarted")]
        Restarted,
        /// It can't be reached.
        #[display("unreachable")]
        Unreachable,
        /// It can be reached again.
        #[display("recovered")]
        Recovered,
        /// Its failure domain has returned to service.
        #[display("evacuated")]
        Evacuated,
        /// Another gateway says so.
        #[display("peer")]
        Peer,
    }
}

/// A target that has become cold or warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The target.
    pub target: Target,
    /// Why it is or was cold.
    pub cause: ColdCause,
    /// How much longer it is cold; zero for a target that is now warm.
    pub left: Duration,
}

/// How a target is in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It is in the first list since the start of this process.
    First,
    /// It was not in the list before.
    Joined,
    /// It has started again since the list before.
    Restarted,
    /// It was in the list before.
    Known,
}

impl ColdLimit {
    /// Returns the limit for targets that are cold for `time` and crash beyond `bound` requests per
    /// second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::pool::ColdLimit;
    /// let allowance = |bound| ColdLimit::new(Duration::from_secs(3), bound).allowance;
    /// assert_eq!([26.0, 27.9, 2.0, 1.9].map(allowance), [13, 13, 1, 0]);
    /// ```
    pub fn new(time: Duration, bound: f64) -> Self {
        Self {
            time,
            allowance: (bound / 2.0).clamp(0.0, MAX_ALLOWANCE) as u32,
        }
    }
}

/// The notices of other gateways that a target is cold.
#[derive(Clone, Copy, Debug, Default)]
struct Notices {
    /// When the first notice of a row arrived, if there was one.
    begun: Option<Time>,
    last: Time,
    end: Time,
}

/// The failures to reach a target since its last success.
#[derive(Clone, Copy, Debug)]
struct Outage {
    last: Time,
    hold: Duration,
}

impl Outage {
    fn end(&self) -> Time {
        self.last + self.hold
    }
}

#[derive(Clone, Debug)]
struct ColdTarget {
    limit: ColdLimit,
    /// What its newest entry states, and the end of that.
    stated: Option<(StatedCold, Time)>,
    /// The end of the cold time by what this gateway has seen.
    end: Time,
    outage: Option<Outage>,
    notices: Notices,
    /// The latest sends, at most as many as the allowance.
    sends: VecDeque<Time>,
    /// The last cause, while the target is cold.
    cause: Option<ColdCause>,
    /// When it was found to have left the list.
    gone: Option<Time>,
    /// The list that it was last in.
    list: u64,
    /// Whether this gateway has the greatest weight for it, and the version of the view for which
    /// that was found.
    ranked_first: Cell<(u64, bool)>,
}

impl ColdTarget {
    fn new(limit: ColdLimit) -> Self {
        Self {
            limit,
            stated: None,
            end: Duration::ZERO,
            outage: None,
            notices: Notices::default(),
            sends: VecDeque::new(),
            cause: None,
            gone: None,
            list: 0,
            ranked_first: Cell::default(),
        }
    }

    /// Returns the end of the cold time.
    fn cold_end(&self) -> Time {
        let outage = self.outage.map_or(Duration::ZERO, |outage| outage.end());
        self.timed_end().max(outage)
    }

    /// Returns the end of the cold time apart from an outage.
    fn timed_end(&self) -> Time {
        let stated = self.stated.map_or(Duration::ZERO, |(_, end)| end);
        self.end.max(stated).max(self.notices.end)
    }

    fn is_cold(&self, now: Time) -> bool {
        now < self.cold_end()
    }

    /// Returns the sends in the last [`SEND_WINDOW`].
    fn recent_sends(&self, now: Time) -> usize {
        let is_recent = |at: &&Time| now < **at + SEND_WINDOW;
        self.sends.iter().rev().take_while(is_recent).count()
    }

    fn record_send(&mut self, now: Time) {
        self.sends.push_back(now);
        while self.sends.len() > self.limit.allowance as usize {
            self.sends.pop_front();
        }
    }

    /// Applies what the entry states. The end of an entry that is read again stays. An entry of an
    /// earlier revision, from an older copy of the registry, does not shorten the time.
    fn apply_stated(&mut self, now: Time, stated: StatedCold) {
        let mut end = now + stated.left.min(MAX_COLD_TIME);
        if let Some((known, known_end)) = self.stated {
            if known == stated {
                return;
            }
            if stated.revision <= known.revision {
                end = end.max(known_end);
            }
        }
        self.stated = Some((stated, end));
    }

    /// Applies a notice. One that arrives a cold time after the last one begins a new row.
    fn apply_notice(&mut self, now: Time, left: Duration) {
        let longest = self.limit.time * MAX_NOTICE_TIMES;
        let notices = &mut self.notices;
        if now >= notices.last + self.limit.time {
            notices.begun = None;
        }
        let begun = *notices.begun.get_or_insert(now);
        notices.last = now;
        let latest = match self.outage {
            Some(_) => now + longest,
            None => begun + longest,
        };
        notices.end = notices.end.max((now + left).min(latest));
    }

    fn record_unreachable(&mut self, now: Time) {
        let first = self.limit.time * HOLD_TIMES;
        let outage = self.outage.get_or_insert(Outage {
            last: now,
            hold: first,
        });
        if now >= outage.end() {
            outage.hold = (outage.hold * 2).min(MAX_HOLD.max(first));
        }
        outage.last = now;
    }
}

/// Decides which targets are cold, whether this gateway owns them, and whether it may send now.
#[derive(Clone, Debug, Default)]
pub struct Warmup {
    targets: HashMap<Target, ColdTarget>,
    /// The targets that were cold when they were last looked at.
    cold: BTreeSet<Target>,
    /// The targets whose failure domain has returned to service, until the next list has them.
    returning: BTreeSet<Target>,
    view: FleetView,
    /// Incremented with each change of the view or of the removed gateways.
    version: u64,
    /// The gateways that have left the view within [`SETTLE_TIME`].
    removed: Vec<(u32, Time)>,
    /// The end of the majority of the view; see [`FleetView::majority_end`].
    majority_end: Time,
    /// When [`Warmup::tick`] was last called.
    ticked: Time,
    /// When this process was last found to have been suspended.
    resumed: Option<Time>,
    /// The number of the current list.
    list: u64,
    has_list: bool,
    changes: Vec<ColdChange>,
    /// How often a cold target was passed over.
    held: Cell<u64>,
}

impl Warmup {
    /// Sets the view of the fleet.
    pub fn set_view(&mut self, now: Time, view: FleetView) {
        self.majority_end = view.majority_end();
        let ids = |view: &FleetView| Vec::from_iter(view.routers.iter().map(|(id, _)| *id));
        let (before, after) = (ids(&self.view), ids(&view));
        if before != after || view.own != self.view.own {
            self.version += 1;
            let kept = BTreeSet::from_iter(after);
            let removed = before.into_iter().filter(|id| !kept.contains(id));
            self.removed.extend(removed.map(|id| (id, now)));
        }
        self.view = view;
        self.forget_removed(now);
    }

    /// Drops the gateways that left the view longer ago than [`SETTLE_TIME`].
    fn forget_removed(&mut self, now: Time) {
        let count = self.removed.len();
        self.removed.retain(|(_, at)| now < *at + SETTLE_TIME);
        self.version += u64::from(self.removed.len() != count);
    }

    /// Begins a list of targets, each of which is passed to [`Warmup::list`].
    pub fn begin_list(&mut self, has_targets: bool) {
        self.list += 1;
        self.has_list |= has_targets;
    }

    /// Returns whether any list had targets.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Adds a target to the current list: the limit of its service, if there is one, and what its
    /// entry states.
    pub fn list(
        &mut self,
        now: Time,
        target: Target,
        limit: Option<ColdLimit>,
        stated: Option<StatedCold>,
        arrival: Arrival,
    ) {
        let Some(limit) = limit else {
            self.targets.remove(&target);
            self.cold.remove(&target);
            return;
        };
        let list = self.list;
        let state = self
            .targets
            .entry(target)
            .or_insert_with(|| ColdTarget::new(limit));
        state.limit = limit;
        state.list = list;
        // An entry that left the list while requests were running is still known to the pool.
        let arrival = match (arrival, state.gone.take()) {
            (Arrival::Known, Some(_)) => Arrival::Joined,
            (arrival, _) => arrival,
        };
        let mut cause = ColdCause::Stated;
        if matches!(arrival, Arrival::Joined | Arrival::Restarted) {
            state.outage = None;
            state.stated = None;
            if stated.is_none() {
                state.end = state.end.max(now + limit.time);
                cause = match arrival {
                    Arrival::Restarted => ColdCause::Restarted,
                    _ => ColdCause::Joined,
                };
            }
        }
        if let Some(stated) = stated {
            state.apply_stated(now, stated);
        }
        if self.returning.contains(&target) {
            state.end = state.end.max(now + limit.time);
            cause = ColdCause::Evacuated;
        }
        self.note(now, target, cause);
    }

    /// Ends a list. The targets that were not in it are forgotten after `GONE_TIME`.
    pub fn end_list(&mut self, now: Time) {
        self.returning.clear();
        let (list, cold) = (self.list, &mut self.cold);
        self.targets.retain(|target, state| {
            if state.list == list {
                return true;
            }
            cold.remove(target);
            state.cause = None;
            now < *state.gone.get_or_insert(now) + GONE_TIME
        });
    }

    /// Records what the entry of a target states, between two lists.
    pub fn state(&mut self, now: Time, target: Target, stated: StatedCold) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.apply_stated(now, stated);
            self.note(now, target, ColdCause::Stated);
        }
    }

    /// Records that the failure domain of a target has returned to service.
    pub fn mark(&mut self, now: Time, target: Target) {
        self.returning.insert(target);
        if let Some(state) = self.targets.get_mut(&target) {
            state.end = state.end.max(now + state.limit.time);
            self.note(now, target, ColdCause::Evacuated);
        }
    }

    /// Records that a target could not be reached, or is known to have crashed.
    pub fn record_unreachable(&mut self, now: Time, target: Target) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.record_unreachable(now);
            self.note(now, target, ColdCause::Unreachable);
        }
    }

    /// Records an answer of a target to a request that was sent at `sent`. One to a request from
    /// before a failure does not show that the target can be reached again.
    pub fn record_reached(&mut self, now: Time, target: Target, sent: Time) {
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        if state.outage.is_some_and(|outage| sent >= outage.last) {
            state.outage = None;
            state.end = state.end.max(now + state.limit.time);
            self.note(now, target, ColdCause::Recovered);
        }
    }

    /// Merges the notices of another gateway.
    pub fn merge(&mut self, now: Time, notices: &[ColdNotice]) {
        for notice in notices {
            if let Some(state) = self.targets.get_mut(&notice.target) {
                state.apply_notice(now, Duration::from_millis(u64::from(notice.left)));
                self.note(now, notice.target, ColdCause::Peer);
            }
        }
    }

    /// Returns notices for other gateways, of the targets with the most time left.
    pub fn notices(&self, now: Time) -> Vec<ColdNotice> {
        let notice = |target: &Target| {
            let state = &self.targets.get(target)?;
            let in_outage = state.outage.is_some_and(|outage| now < outage.end());
            let outage = state.limit.time * u32::from(in_outage);
            let left = state.timed_end().saturating_sub(now).max(outage);
            (!left.is_zero()).then(|| ColdNotice {
                target: *target,
                left: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            })
        };
        let mut notices: Vec<_> = self.cold.iter().filter_map(notice).collect();
        notices.sort_unstable_by_key(|notice| Reverse(notice.left));
        notices.truncate(MAX_NOTICES);
        notices
    }

    /// Finds the targets that have become warm, and whether this process was suspended.
    pub fn tick(&mut self, now: Time) {
        if now >= self.ticked + MAX_TICK_GAP {
            self.resumed = Some(now);
        }
        self.ticked = now;
        self.forget_removed(now);
        let (targets, changes) = (&mut self.targets, &mut self.changes);
        self.cold.retain(|target| {
            let Some(state) = targets.get_mut(target) else {
                return false;
            };
            let cold = state.is_cold(now);
            if !cold && let Some(cause) = state.cause.take() {
                changes.push(ColdChange {
                    target: *target,
                    cause,
                    left: Duration::ZERO,
                });
            }
            cold
        });
    }

    /// Returns whether this gateway may send a request to a target now.
    pub fn permits(&self, now: Time, target: Target) -> bool {
        let Some(state) = self.targets.get(&target) else {
            return true;
        };
        if !state.is_cold(now) {
            return true;
        }
        let permitted =
            self.owns(now, target) && state.recent_sends(now) < state.limit.allowance as usize;
        self.held.set(self.held.get() + u64::from(!permitted));
        permitted
    }

    /// Records that a request was placed at a target.
    pub fn record_send(&mut self, now: Time, target: Target) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.record_send(now);
        }
    }

    /// Returns whether a request that was placed at a target at `placed` may no longer be sent, as
    /// it would arrive with later ones.
    pub fn is_overdue(&self, now: Time, target: Target, placed: Time) -> bool {
        let state = self.targets.get(&target);
        let is_cold = state.is_some_and(|state| state.is_cold(now));
        is_cold && now > placed + MAX_SEND_DELAY
    }

    /// Returns whether this gateway is the owner of a target and may send to it while it is cold.
    ///
    /// Unless it is alone, it must have run for some time without being suspended, have heard of
    /// more than half of the fleet, and have had the target for some time.
    pub fn owns(&self, now: Time, target: Target) -> bool {
        if self.view.alone {
            return true;
        }
        let has_resumed = |at: Time| now >= at + SETTLE_TIME;
        now >= START_TIME
            && !self.view.leaving
            && now < self.ticked + MAX_TICK_GAP
            && self.resumed.is_none_or(has_resumed)
            && now < self.majority_end
            && self.is_ranked_first(target)
    }

    /// Returns whether this gateway has the greatest weight for a target among the gateways of the
    /// view and those that have left it within [`SETTLE_TIME`].
    fn is_ranked_first(&self, target: Target) -> bool {
        let state = self.targets.get(&target);
        if let Some((version, first)) = state.map(|state| state.ranked_first.get())
            && version == self.version
        {
            return first;
        }
        let weigh = |id: u32| (rendezvous_weight(id, u64::from(target)), id);
        let own = weigh(self.view.own);
        let others = self.view.routers.iter().chain(&self.removed);
        let first = others.map(|(id, _)| weigh(*id)).all(|other| other < own);
        if let Some(state) = state {
            state.ranked_first.set((self.version, first));
        }
        first
    }

    /// Returns the number of cold targets.
    pub fn len(&self) -> usize {
        self.cold.len()
    }

    /// Returns whether no target is cold.
    pub fn is_empty(&self) -> bool {
        self.cold.is_empty()
    }

    /// Returns how often a cold target was passed over in a placement.
    pub fn held(&self) -> u64 {
        self.held.get()
    }

    /// Returns the cold targets.
    pub fn status(&self, now: Time) -> Vec<ColdStatus> {
        let status = |target: &Target| {
            let state = self.targets.get(target)?;
            Some(ColdStatus {
                target: *target,
                cause: state.cause?,
                left_ms: state.cold_end().saturating_sub(now).as_millis() as u64,
                owner: self.owns(now, *target),
                sends: state.recent_sends(now),
                allowance: state.limit.allowance,
            })
        };
        self.cold.iter().filter_map(status).collect()
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records a change if a target has become cold, or is cold for another cause of which this
    /// gateway knows by itself.
    fn note(&mut self, now: Time, target: Target, cause: ColdCause) {
        let Some(state) = self.targets.get_mut(&target) else {
            return;
        };
        if !state.is_cold(now) {
            return;
        }
        let is_new = self.cold.insert(target) || state.cause.is_none();
        if is_new || (cause != ColdCause::Peer && state.cause != Some(cause)) {
            state.cause = Some(cause);
            let left = state.cold_end().saturating_sub(now);
            self.changes.push(ColdChange {
                target,
                cause,
                left,
            });
        }
    }
}

impl Pool {
    /// Sets the view of the fleet, which decides the owners of cold targets.
    pub fn set_view(&mut self, now: Time, view: FleetView) {
        self.warmup.set_view(now, view);
    }

    /// Marks targets as cold whose failure domain has returned to service, before or after they are
    /// listed again. Targets of services without a cold time are left out.
    pub fn mark_cold(&mut self, now: Time, targets: impl IntoIterator<Item = Target>) {
        for target in targets {
            self.warmup.mark(now, target);
        }
    }

    /// Records what the entry of a target states, between two lists.
    pub fn state_cold(&mut self, now: Time, target: Target, stated: StatedCold) {
        self.warmup.state(now, target, stated);
    }

    /// Merges the notices of another gateway about cold targets.
    pub fn merge_cold(&mut self, now: Time, notices: &[ColdNotice]) {
        self.warmup.merge(now, notices);
    }

    /// Returns notices about cold targets for other gateways.
    pub fn cold_notices(&self, now: Time) -> Vec<ColdNotice> {
        self.warmup.notices(now)
    }

    /// Returns whether a request was placed at a cold target too long ago to be sent there now; see
    /// [`Fault::Withdrawn`](super::Fault::Withdrawn).
    pub fn is_overdue(&self, now: Time, sequence: Sequence) -> bool {
        let request = self.requests.get(&sequence);
        match request.map(|request| &request.stage) {
            Some(Stage::InFlight { target, since, .. }) => {
                self.warmup.is_overdue(now, *target, *since)
            }
            _ => false,
        }
    }

    /// Returns the cold targets.
    pub fn cold_status(&self, now: Time) -> Vec<ColdStatus> {
        self.warmup.status(now)
    }

    /// Returns the number of cold targets, and how often one was passed over in a placement.
    pub fn cold_counts(&self) -> (usize, u64) {
        (self.warmup.len(), self.warmup.held())
    }

    /// Takes the targets that have become cold or warm since the last call.
    pub fn take_cold_changes(&mut self) -> Vec<ColdChange> {
        self.warmup.take_changes()
    }
}

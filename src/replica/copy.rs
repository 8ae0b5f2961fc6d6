//! The rules and the targets that have been read, and the position up to which they have.

use super::{
    Freshness,
    Outage, //
};
use crate::{
    feed::{
        DomainNames,
        Listing, //
    },
    ids::{
        Generation,
        Position,
        Revision,
        Target,
        Time, //
    },
    platform::Registry,
    rules::Rules, //
};

/// A complete list of targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetList {
    /// The targets.
    pub targets: Vec<Listing>,
    /// The revision at which it was read, if changes before it may have been missed.
    pub read: Option<Revision>,
    /// The entries that were removed since the list before it, with the revision at which each was
    /// last written.
    pub removed: Vec<(Target, Revision)>,
    /// Whether it is the first one after an outage of the store.
    pub restored: bool,
    /// The position at which it was read, if it is the first one of an era after another one.
    pub returned: Option<Position>,
}

/// What has been read from the store and not been applied yet.
#[derive(Debug, Default)]
pub struct Pending {
    /// The newest rules, if they have changed, with the position of their last change.
    pub rules: Option<(Position, Rules)>,
    /// All targets, if any has changed.
    pub targets: Option<TargetList>,
    /// The evacuated failure domains, with the position up to which they are known, if that has
    /// advanced.
    pub evacuated: Option<(Position, DomainNames)>,
}

/// Returns whether rules take the place of others, each with the position of its last change: those of
/// a greater generation do, and those of the same one if the store has come back from an older copy
/// and they were written since.
///
/// ```
/// use redwingyard::{ids::Position, replica::replaces};
/// let in_force = (Position::new(0, 9), 4);
/// assert!(!replaces((Position::new(1, 5), 3), in_force));
/// assert!(replaces((Position::new(1, 6), 4), in_force));
/// ```
pub fn replaces(new: (Position, Generation), old: (Position, Generation)) -> bool {
    let has_returned = new.0.era > old.0.era;
    new.1 > old.1 || (new.1 == old.1 && has_returned)
}

/// What has been read from the store, as one value: it is confirmed only together with the rules and
/// the targets that were handed on.
///
/// ```
/// use std::time::Duration;
/// use redwingyard::{ids::Position, replica::Replica, rules::Rules};
///
/// let mut replica = Replica::default();
/// let (at, position) = (Duration::from_secs(1), Position::new(0, 7));
/// replica.put_rules(position, Some(Rules::default()));
/// assert!(replica.confirmed().is_none());
/// replica.advance(at, position, at);
/// assert!(replica.take_pending().unwrap().rules.is_some());
/// assert_eq!(replica.confirmed(), Some((position, at)));
/// ```
#[derive(Debug, Default)]
pub struct Replica {
    freshness: Freshness,
    outage: Outage,
    /// The position of the newest configuration that was read.
    config: Option<Position>,
    /// The position up to which the evacuated failure domains were handed on.
    evacuated: Option<Position>,
    pending: Pending,
}

impl Replica {
    /// Returns whether a configuration is newer than all that were read.
    pub fn lacks_config(&self, position: Position) -> bool {
        Some(position) > self.config
    }

    /// Hands on the rules of a configuration, unless it or a newer one has been read.
    ///
    /// Without rules, the configuration can't be read. The rules before it stay, and nothing is
    /// confirmed to be the newest until there is a newer configuration. Rules that were handed on and
    /// not taken yet stay if they would stay in force; see [`replaces`].
    pub fn put_rules(&mut self, position: Position, rules: Option<Rules>) {
        if !self.lacks_config(position) {
            return;
        }
        self.config = Some(position);
        self.freshness.set_unreadable(rules.is_none());
        let Some(rules) = rules else {
            return;
        };
        let new = (position, rules.generation());
        let is_newer = |(old, pending): &(Position, Rules)| {
            replaces(new, (*old, pending.generation())) //
        };
        if self.pending.rules.as_ref().is_none_or(is_newer) {
            self.pending.rules = Some((position, rules));
        }
    }

    /// Hands on the targets that were read at a position; `restored` says that they are the first
    /// ones after an outage of the store.
    pub fn put_targets(&mut self, position: Position, registry: Registry, restored: bool) {
        let applied = self.freshness.applied();
        let returned = applied.is_some_and(|applied| applied.era < position.era);
        let pending = self.pending.targets.take().unwrap_or_default();
        let mut removed = pending.removed;
        removed.extend(registry.removed);
        self.pending.targets = Some(TargetList {
            targets: registry.targets,
            read: registry.whole.then_some(position.revision).or(pending.read),
            removed,
            restored: restored || pending.restored,
            returned: returned.then_some(position).or(pending.returned),
        });
    }

    /// Hands on the evacuated failure domains that were read up to a position, unless those of a
    /// later one were handed on.
    pub fn put_evacuated(&mut self, position: Position, domains: DomainNames) {
        if Some(position) < self.evacuated {
            return;
        }
        self.evacuated = Some(position);
        self.pending.evacuated = Some((position, domains));
    }

    /// Records that everything up to a position was handed on, which was the store's newest one at
    /// time `at`.
    pub fn advance(&mut self, now: Time, position: Position, at: Time) {
        self.freshness.advance(position);
        self.freshness.observe_newest(now, position, at);
    }

    /// Records that a position was the store's newest one at time `at`, as it has answered this gateway
    /// or another one.
    pub fn observe_newest(&mut self, now: Time, newest: Position, at: Time) {
        if at <= now {
            self.outage.record_answer(at);
        }
        self.freshness.observe_newest(now, newest, at);
    }

    /// Returns what is known of an outage of the store since everything was read last.
    pub fn outage(&mut self) -> &mut Outage {
        &mut self.outage
    }

    /// Returns whether changes that are known to exist are overdue; see
    /// [`Freshness::take_overdue`].
    pub fn take_overdue(&mut self, now: Time) -> bool {
        self.freshness.take_overdue(now)
    }

    /// Takes what was handed on since the last call, or `None` if nothing was.
    pub fn take_pending(&mut self) -> Option<Pending> {
        let pending = std::mem::take(&mut self.pending);
        let is_empty =
            pending.rules.is_none() && pending.targets.is_none() && pending.evacuated.is_none();
        (!is_empty).then_some(pending)
    }

    /// Returns whether the newest configuration can't be read.
    pub fn is_unreadable(&self) -> bool {
        self.freshness.is_unreadable()
    }

    /// Returns the position up to which everything was handed on.
    pub fn applied(&self) -> Option<Position> {
        self.freshness.applied()
    }

    /// Returns the position up to which everything was handed on, and the last time at which it was
    /// the newest one.
    pub fn confirmed(&self) -> Option<(Position, Time)> {
        self.freshness.confirmed()
    }
}

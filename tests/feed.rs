//! The feed of targets: removal, draining, restarts, late heartbeats and outages of the registry.

use std::time::Duration;

use redwingyard::{
    feed::{
        Change,
        Feed,
        HELD_TIME,
        Listing,
        RESTORE_GRACE, //
    },
    ids::{
        Revision,
        id, //
    }, //
};
use rstest::rstest;

fn listing(name: &str) -> Listing {
    Listing {
        name: name.to_owned(),
        service: "api".to_owned(),
        born: 10,
        ..Listing::default()
    }
}

fn draining(name: &str) -> Listing {
    Listing {
        draining: true,
        ..listing(name)
    }
}

fn restarted(name: &str) -> Listing {
    Listing {
        born: 20,
        ..listing(name)
    }
}

/// A list that arrives at a time, with the expected changes and number of serving targets.
struct Step {
    at: Duration,
    list: Vec<Listing>,
    /// Whether this is the first list after an outage of the registry.
    restored: bool,
    changes: Vec<Change>,
    serving: usize,
}

fn step(at: u64, list: Vec<Listing>, changes: Vec<Change>, serving: usize) -> Step {
    Step {
        at: Duration::from_millis(at),
        list,
        restored: false,
        changes,
        serving,
    }
}

fn joined(name: &str) -> Change {
    Change::Joined(name.to_owned())
}

fn left(name: &str) -> Change {
    Change::Left(name.to_owned())
}

#[rstest]
#[case::missing_target_is_removed(vec![
    step(0, vec![listing("a"), listing("b")], vec![joined("a"), joined("b")], 2),
    step(800, vec![listing("b")], vec![left("a")], 1),
])]
#[case::an_older_heartbeat_does_not_undo_draining(vec![
    step(0, vec![listing("a")], vec![joined("a")], 1),
    step(800, vec![draining("a")], vec![Change::Draining("a".to_owned())], 0),
    step(1_600, vec![listing("a")], vec![], 0),
])]
#[case::a_restart_undoes_draining(vec![
    step(0, vec![draining("a")], vec![Change::Draining("a".to_owned())], 0),
    step(800, vec![restarted("a")], vec![Change::Restarted("a".to_owned())], 1),
    step(1_600, vec![draining("a")], vec![], 1),
])]
#[case::missing_after_an_outage_is_kept_for_the_grace_period(vec![
    step(0, vec![listing("a"), listing("b")], vec![joined("a"), joined("b")], 2),
    Step {
        restored: true,
        ..step(5_000, vec![listing("b")], vec![Change::Lapsed("a".to_owned())], 2)
    },
    step(6_000, vec![listing("a"), listing("b")], vec![], 2),
])]
#[case::still_missing_after_the_grace_period_is_removed(vec![
    step(0, vec![listing("a")], vec![joined("a")], 1),
    Step {
        restored: true,
        ..step(5_000, vec![], vec![Change::Lapsed("a".to_owned())], 1)
    },
    step(5_000 + RESTORE_GRACE.as_millis() as u64, vec![], vec![left("a")], 0),
])]
fn applies_lists_of_the_registry(#[case] steps: Vec<Step>) {
    let mut feed = Feed::default();
    for step in steps {
        let changes = feed.update(step.at, step.list, step.restored);
        assert_eq!(changes, step.changes, "at {:?}", step.at);
        assert_eq!(feed.serving().count(), step.serving, "at {:?}", step.at);
    }
}

#[test]
fn a_target_whose_address_another_has_is_not_serving_until_a_restart() {
    let mut feed = Feed::default();
    feed.update(Duration::ZERO, vec![listing("a")], false);
    let target = redwingyard::ids::id("a");
    assert_eq!(feed.moved(target), Some(Change::Moved("a".to_owned())));
    assert_eq!(feed.moved(target), None);
    feed.update(Duration::from_secs(1), vec![listing("a")], false);
    assert_eq!(feed.serving().count(), 0);
    feed.update(Duration::from_secs(2), vec![restarted("a")], false);
    assert_eq!(feed.serving().count(), 1);
}

/// An entry of a target at a revision.
fn written(name: &str, revision: u64) -> Listing {
    Listing {
        revision,
        ..listing(name)
    }
}

/// A list that is read at some time after the registry has come back from a copy of revision 10, in
/// which the target `a` is again that had left.
struct Returned {
    entry: Listing,
    /// Whether the target had announced that it drains before it left.
    drained: bool,
    /// How long after the return the list is read.
    after: Duration,
    serving: usize,
}

#[rstest]
#[case::entry_of_the_copy(Returned { entry: written("a", 8), drained: false, after: Duration::ZERO, serving: 0 })]
#[case::written_since(Returned { entry: written("a", 11), drained: false, after: Duration::ZERO, serving: 1 })]
#[case::started_since(Returned { entry: Listing { born: 20, ..written("a", 8) }, drained: false, after: Duration::ZERO, serving: 1 })]
#[case::still_there(Returned { entry: written("a", 8), drained: false, after: HELD_TIME, serving: 1 })]
#[case::drained_and_still_there(Returned { entry: written("a", 8), drained: true, after: HELD_TIME, serving: 0 })]
#[case::drained_and_written_since(Returned { entry: written("a", 11), drained: true, after: Duration::ZERO, serving: 0 })]
fn a_target_that_left_does_not_come_back_by_an_old_copy(#[case] case: Returned) {
    let at = Duration::from_secs;
    let mut feed = Feed::default();
    feed.update(at(0), vec![written("a", 8)], false);
    if case.drained {
        feed.update(
            at(1),
            vec![Listing {
                draining: true,
                ..written("a", 9)
            }],
            false,
        );
    }
    feed.update(at(2), vec![], false);
    feed.return_to(at(3), 10);
    feed.update(at(3), vec![written("a", 8)], true);
    assert_eq!(feed.serving().count(), 0);
    assert_eq!(feed.held().count(), 1);
    let now = at(3) + case.after;
    feed.expire(now);
    feed.update(now, vec![case.entry], false);
    assert_eq!(feed.serving().count(), case.serving);
}

/// What was read of a target that had its entry last written at revision 8, and what is read first
/// after the registry has come back from a copy.
struct FirstRead {
    /// The revision at which the removed entry was last written, if the removal was seen.
    removed: Option<Revision>,
    /// The revision at which the list without it was read, if changes may have been missed.
    missing: Option<Revision>,
    entry: Revision,
    serving: usize,
}

#[rstest]
#[case::last_entry(FirstRead { removed: None, missing: None, entry: 8, serving: 0 })]
#[case::written_since(FirstRead { removed: None, missing: None, entry: 9, serving: 1 })]
#[case::removed_entry(FirstRead { removed: Some(10), missing: None, entry: 10, serving: 0 })]
#[case::written_since_the_removal(FirstRead { removed: Some(10), missing: None, entry: 11, serving: 1 })]
#[case::unseen_entry(FirstRead { removed: None, missing: Some(10), entry: 10, serving: 0 })]
#[case::written_since_the_list(FirstRead { removed: None, missing: Some(10), entry: 11, serving: 1 })]
fn an_entry_that_was_written_before_the_return_was_noticed_counts(
    #[case] case: FirstRead,
    #[values(false, true)] missing_before: bool,
) {
    let at = Duration::from_secs;
    let mut feed = Feed::default();
    feed.read_at(8);
    feed.update(at(0), vec![written("a", 8)], false);
    if missing_before {
        feed.update(at(1), vec![], false);
    }
    if let Some(written) = case.removed {
        feed.record_removal(id("a"), written);
    }
    if let Some(revision) = case.missing {
        feed.read_at(revision);
    }
    feed.update(at(1), vec![], false);
    feed.return_to(at(2), 12);
    feed.read_at(12);
    feed.update(at(2), vec![written("a", case.entry)], true);
    assert_eq!(feed.serving().count(), case.serving);
}

#[test]
fn an_entry_that_another_router_holds_back_gets_no_requests() {
    let mut feed = Feed::default();
    feed.update(
        Duration::ZERO,
        vec![written("a", 8), written("b", 12)],
        false,
    );
    let target = id("a");
    // Another entry of the same target has been read here.
    assert_eq!(feed.hold_entry(Duration::ZERO, target, 7), None);
    assert_eq!(feed.serving().count(), 2);
    let held = feed.hold_entry(Duration::ZERO, target, 8);
    assert_eq!(held, Some(Change::Held("a".to_owned())));
    feed.update(
        Duration::ZERO,
        vec![written("a", 8), written("b", 12)],
        false,
    );
    assert_eq!(feed.serving().count(), 1);
    feed.update(
        Duration::ZERO,
        vec![written("a", 13), written("b", 12)],
        false,
    );
    assert_eq!(feed.serving().count(), 2);
}

#[test]
fn each_entry_that_is_held_back_comes_first_from_some_target_on() {
    let names = ["a", "b", "c", "d"];
    let entries: Vec<_> = names.iter().map(|name| written(name, 8)).collect();
    let mut feed = Feed::default();
    feed.update(Duration::ZERO, entries, false);
    for name in names {
        feed.hold_entry(Duration::ZERO, id(name), 8);
    }
    for name in names {
        let held: Vec<_> = feed
            .held_from(id(name))
            .map(|listing| &listing.name)
            .collect();
        assert_eq!(held[0], name);
        assert_eq!(held.len(), names.len());
    }
}

/// A router that has started after the return hears of each entry in any order.
#[rstest]
fn all_entries_that_another_router_holds_back_get_no_requests(
    #[values([8, 9, 10], [10, 9, 8], [9, 10, 8])] order: [Revision; 3],
) {
    let name = |revision: Revision| format!("i-{revision}");
    let entries = order.map(|revision| written(&name(revision), revision));
    let mut feed = Feed::default();
    feed.update(Duration::ZERO, entries.to_vec(), false);
    for revision in order {
        feed.hold_entry(Duration::ZERO, id(&name(revision)), revision);
    }
    assert_eq!(feed.held().count(), order.len());
    assert_eq!(feed.serving().count(), 0);
}

/// A router that has read the copy late takes a new entry for one of the copy.
#[test]
fn a_new_entry_that_another_router_holds_back_stays_in_use() {
    let mut feed = Feed::default();
    feed.return_to(Duration::ZERO, 12);
    let entries = vec![written("a", 8), written("b", 13)];
    feed.update(Duration::ZERO, entries, true);
    assert_eq!(feed.hold_entry(Duration::ZERO, id("b"), 13), None);
    let held = feed.hold_entry(Duration::ZERO, id("a"), 8);
    assert_eq!(held, Some(Change::Held("a".to_owned())));
}

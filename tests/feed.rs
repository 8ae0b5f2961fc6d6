//! The feed of targets: departures, lapses, restarts and late heartbeats.

use std::time::Duration;

use redwingyard::feed::{
    Change,
    Feed,
    Listing,
    RESTORE_GRACE, //
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

fn reborn(name: &str) -> Listing {
    Listing {
        born: 20,
        ..listing(name)
    }
}

/// A list that arrives at a time, and what follows from it.
struct Step {
    at: Duration,
    list: Vec<Listing>,
    /// Whether the registry was away before.
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
#[case::missing_is_gone(vec![
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
    step(800, vec![reborn("a")], vec![Change::Restarted("a".to_owned())], 1),
    step(1_600, vec![draining("a")], vec![], 1),
])]
#[case::missing_after_an_outage_is_kept_until_it_had_time_to_return(vec![
    step(0, vec![listing("a"), listing("b")], vec![joined("a"), joined("b")], 2),
    Step {
        restored: true,
        ..step(5_000, vec![listing("b")], vec![Change::Lapsed("a".to_owned())], 2)
    },
    step(6_000, vec![listing("a"), listing("b")], vec![], 2),
])]
#[case::missing_for_long_after_an_outage_is_gone(vec![
    step(0, vec![listing("a")], vec![joined("a")], 1),
    Step {
        restored: true,
        ..step(5_000, vec![], vec![Change::Lapsed("a".to_owned())], 1)
    },
    step(5_000 + RESTORE_GRACE.as_millis() as u64, vec![], vec![left("a")], 0),
])]
fn follows_the_registry(#[case] steps: Vec<Step>) {
    let mut feed = Feed::default();
    for step in steps {
        let changes = feed.update(step.at, step.list, step.restored);
        assert_eq!(changes, step.changes, "at {:?}", step.at);
        assert_eq!(feed.serving().count(), step.serving, "at {:?}", step.at);
    }
}

#[test]
fn an_address_that_another_target_has_gets_nothing_until_a_restart() {
    let mut feed = Feed::default();
    feed.update(Duration::ZERO, vec![listing("a")], false);
    let target = redwingyard::ids::id("a");
    assert_eq!(feed.moved(target), Some(Change::Moved("a".to_owned())));
    assert_eq!(feed.moved(target), None);
    feed.update(Duration::from_secs(1), vec![listing("a")], false);
    assert_eq!(feed.serving().count(), 0);
    feed.update(Duration::from_secs(2), vec![reborn("a")], false);
    assert_eq!(feed.serving().count(), 1);
}

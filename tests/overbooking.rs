//! Whether engines get what the routers that send to them believe, on fleets of different sizes.

mod engines;
mod fleet;

use std::time::Duration;

use fleet::{
    Caller,
    Fleet,
    Kind,
    SLOTS,
    TOKEN_RATE,
    World,
    quantiles, //
};
use rstest::rstest;

/// The time after which the queues are full and the routers have heard of all accounts.
const SETTLED: Duration = Duration::from_secs(3);

/// The seconds after that time.
const WINDOW: u64 = 7;

/// The largest fraction of requests that may fare otherwise than their router expects.
const MAX_FRACTION: f64 = 0.1;

/// The tokens that must begin at each engine in a second while more are asked for.
const MIN_WORK: u64 = TOKEN_RATE * 9 / 10;

const KINDS: [Kind; 3] = [
    Kind {
        weight: 1_079.0,
        shared: 5_382,
        own: 6_610,
        spread: 1.0,
        most: 54_600,
        output: 383,
        objective: Duration::from_millis(600),
        budget: Duration::from_secs(12),
        sessions: 60,
    },
    Kind {
        weight: 596.0,
        shared: 198,
        own: 628,
        spread: 0.8,
        most: 3_310,
        output: 291,
        objective: Duration::from_millis(400),
        budget: Duration::from_secs(10),
        sessions: 50,
    },
    Kind {
        weight: 1_910.0,
        shared: 568,
        own: 1_800,
        spread: 0.9,
        most: 6_870,
        output: 22,
        objective: Duration::from_millis(500),
        budget: Duration::from_millis(2_500),
        sessions: 160,
    },
];

/// Returns a fleet where one account reaches few routers, three that send far more than their share
/// reach all of them, and the others reach some.
fn overloaded(routers: usize, engines: u32, reach: usize) -> Fleet {
    let small = Caller {
        account: 1,
        rate: 2.6,
        reach,
        start: Duration::ZERO,
    };
    let large = |account| Caller {
        account,
        rate: 4.0,
        reach: routers,
        ..small
    };
    let other = |account| Caller {
        account,
        rate: 0.27,
        reach: routers.min(10),
        ..small
    };
    let callers = [small]
        .into_iter()
        .chain((2..5).map(large))
        .chain((5..25).map(other));
    Fleet {
        routers,
        engines,
        kinds: KINDS.to_vec(),
        callers: callers.collect(),
        seconds: 10,
        seed: 43,
    }
}

/// Returns the fraction of the items for which a condition holds.
fn fraction<T>(items: &[T], condition: impl Fn(&T) -> bool) -> f64 {
    let count = items.iter().filter(|item| condition(item)).count();
    count as f64 / items.len() as f64
}

/// Guards against routers that take an engine for idle because they don't know of each other's
/// requests yet.
#[rstest]
#[case::four(4, 9, 1)]
#[case::twenty_eight(28, 50, 1)]
#[case::hundred(103, 180, 3)]
#[case::four_hundred(400, 180, 12)]
fn engines_are_not_overbooked(#[case] routers: usize, #[case] engines: u32, #[case] reach: usize) {
    let stats = World::new(overloaded(routers, engines, reach)).play().stats;
    let placements: Vec<_> = stats
        .placements
        .iter()
        .filter(|placed| placed.at >= SETTLED)
        .collect();
    let running = placements.iter().map(|placed| placed.running);
    let believed = placements.iter().map(|placed| placed.believed);
    let expected = stats.first_bytes.iter().map(|first| first.expected);
    let seen = stats.first_bytes.iter().map(|first| first.seen);
    println!("running {:?}", quantiles(running));
    println!("believed {:?}", quantiles(believed));
    println!("expected {:?}", quantiles(expected));
    println!("seen {:?}", quantiles(seen));
    let full = fraction(&placements, |placed| placed.running >= SLOTS as u32);
    let over = fraction(&placements, |placed| placed.running > 2 * placed.limit);
    let late = fraction(&stats.first_bytes, |first| first.late);
    let begun = stats.got(3) / WINDOW / u64::from(engines);
    println!("full {full:.3} over {over:.3} late {late:.3} begun {begun}");
    assert!(
        full <= MAX_FRACTION,
        "{full} of the requests find no free slot"
    );
    assert!(
        over <= MAX_FRACTION,
        "{over} of the requests find twice the limit"
    );
    assert!(late <= MAX_FRACTION, "{late} of the answers begin late");
    assert!(
        begun >= MIN_WORK,
        "{begun} tokens a second begin at an engine"
    );
}

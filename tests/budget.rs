//! The retry budget of a fleet of pools without a network, against the platform's bound: in each
//! window, a fraction of the requests and a slack for the whole fleet.

mod engines;

use std::time::Duration;

use engines::{
    millis,
    sent, //
};
use redwingyard::pool::{
    Fault,
    Pool,
    RequestSpec,
    Settings,
    TargetSpec, //
};
use rstest::rstest;

const SERVICE: u32 = 1;

/// The bound: retries as a fraction of the requests, and the length of a window in steps.
const RATIO: f64 = 0.2;
const WINDOW: usize = 100;

/// The length of a step, in milliseconds.
const STEP: u64 = 100;

/// The steps of a play, and those in which each attempt fails.
const STEPS: u64 = 500;
const OUTAGE: std::ops::Range<u64> = 300..460;

/// The steps between two restarts of all processes.
const RESTART_INTERVAL: u64 = 30;

/// The steps after which a process that has started knows all others.
const DISCOVERY: u64 = 30;

/// The attempts of a request.
const ATTEMPTS: u32 = 3;

struct Case {
    pools: usize,
    /// The bound's slack for the fleet, in retries.
    slack: f64,
    /// Requests per second of the fleet.
    rate: u64,
    /// How often all processes restart during the outage.
    restarts: u64,
    /// Whether each process hears of no other one during the outage.
    isolated: bool,
    /// The share of attempts that fail during the outage, in percent.
    failing: u64,
}

const CASE: Case = Case {
    pools: 103,
    slack: 246.0,
    rate: 524,
    restarts: 0,
    isolated: false,
    failing: 100,
};

/// The requests and the retries of each step.
#[derive(Default)]
struct Play {
    requests: Vec<u64>,
    retries: Vec<u64>,
    /// The requests that failed at least once.
    failed: u64,
}

struct Process {
    pool: Pool,
    started: u64,
}

fn start(step: u64, seed: usize) -> Process {
    let mut pool = Pool::new(Settings {
        seed: seed as u64,
        ..Settings::default()
    });
    let spec = |target| TargetSpec {
        target,
        service: SERVICE,
        slots: 64,
        ..TargetSpec::default()
    };
    pool.set_targets(Duration::ZERO, (1..=ATTEMPTS + 1).map(spec).collect());
    Process {
        pool,
        started: step,
    }
}

/// Lets a request fail at each target until the pool gives it up; returns the retries.
fn fail_request(pool: &mut Pool, now: Duration) -> u64 {
    let spec = RequestSpec {
        account: 7,
        service: SERVICE,
        idempotent: true,
        attempts: ATTEMPTS,
        objective: millis(400),
        deadline: now + millis(5_000),
        read_delay: Duration::ZERO,
        client_timeout: None,
        prompt: None,
    };
    let (sequence, outputs) = pool.arrive(now, spec);
    assert_eq!(sent(&outputs).len(), 1);
    let mut retries = 0;
    pool.fail(now, sequence, Fault::Lost);
    while pool.decide_retry(now, sequence, Fault::Lost).is_allowed() {
        retries += 1;
        assert_eq!(sent(&pool.requeue(now, sequence)).len(), 1);
        pool.fail(now, sequence, Fault::Lost);
    }
    pool.end(now, sequence, false);
    retries
}

fn answer_request(pool: &mut Pool, now: Duration) {
    let spec = RequestSpec {
        account: 7,
        service: SERVICE,
        deadline: now + millis(5_000),
        objective: millis(400),
        ..RequestSpec::default()
    };
    let (sequence, _) = pool.arrive(now, spec);
    pool.first_byte(now, sequence);
    pool.end(now, sequence, true);
}

fn play(case: &Case) -> Play {
    let mut fleet: Vec<_> = (0..case.pools).map(|i| start(0, i)).collect();
    let mut play = Play::default();
    let mut asked = 0;
    for step in 0..STEPS {
        let outage = OUTAGE.contains(&step);
        let mut restarts = (1..=case.restarts).map(|i| OUTAGE.start + i * RESTART_INTERVAL);
        if let Some(i) = restarts.position(|restart| restart == step) {
            let seed = case.pools * (i + 1);
            fleet = (0..case.pools).map(|j| start(step, seed + j)).collect();
        }
        for process in &mut fleet {
            let now = millis(STEP * (step - process.started));
            let alone = step - process.started < DISCOVERY || outage && case.isolated;
            let routers = if alone { 1 } else { case.pools };
            process.pool.set_routers(now, routers);
            process.pool.tick(now);
        }
        let due = case.rate * STEP * (step + 1) / 1_000;
        let mut retries = 0;
        for serial in asked..due {
            let process = &mut fleet[serial as usize % case.pools];
            let now = millis(STEP * (step - process.started));
            if outage && serial % 100 < case.failing {
                play.failed += 1;
                retries += fail_request(&mut process.pool, now);
            } else {
                answer_request(&mut process.pool, now);
            }
        }
        play.requests.push(due - asked);
        play.retries.push(retries);
        asked = due;
    }
    play
}

/// Returns the retries of the window by which the bound is exceeded most, and its bound.
fn worst_window(play: &Play, slack: f64) -> (f64, f64) {
    let sum = |list: &[u64], from: usize| list[from..from + WINDOW].iter().sum::<u64>() as f64;
    let windows = (WINDOW..=STEPS as usize - WINDOW).map(|from| {
        let starts = [from, from - WINDOW / 2, from - WINDOW];
        let requests = starts.map(|start| sum(&play.requests, start));
        let most = requests.into_iter().fold(0.0, f64::max);
        (sum(&play.retries, from), RATIO * most + slack)
    });
    windows
        .max_by(|a, b| (a.0 - a.1).total_cmp(&(b.0 - b.1)))
        .expect("a play has windows")
}

#[rstest]
#[case::pools_4_restarted(Case { pools: 4, slack: 54.0, rate: 4, restarts: 1, ..CASE })]
#[case::pools_28(Case { pools: 28, slack: 54.0, rate: 140, ..CASE })]
#[case::pools_28_restarted(Case { pools: 28, slack: 54.0, rate: 140, restarts: 1, ..CASE })]
#[case::pools_103(CASE)]
#[case::pools_103_restarted(Case { restarts: 1, ..CASE })]
#[case::pools_103_restarted_twice(Case { rate: 20, restarts: 2, ..CASE })]
#[case::pools_103_isolated(Case { isolated: true, ..CASE })]
#[case::pools_103_little_traffic(Case { rate: 20, ..CASE })]
#[case::pools_400(Case { pools: 400, rate: 2_000, ..CASE })]
#[case::pools_400_restarted(Case { pools: 400, rate: 2_000, restarts: 1, ..CASE })]
#[case::pools_400_little_traffic(Case { pools: 400, rate: 40, ..CASE })]
fn retries_of_all_routers_exceed_the_budget_of_the_fleet(#[case] case: Case) {
    let (retries, bound) = worst_window(&play(&case), case.slack);
    assert!(
        retries <= bound,
        "{retries} retries in a window, {bound} are allowed"
    );
}

struct SmallFleet {
    failing: u64,
    /// The least number of retries in percent of the requests that fail once.
    retried: u64,
}

/// A budget of the fleet must leave each router of a small fleet enough to hide common failures.
#[rstest]
#[case::few_failures(SmallFleet { failing: 3, retried: 100 })]
#[case::outage(SmallFleet { failing: 100, retried: 10 })]
fn a_small_fleet_retries_within_its_budget(#[case] fleet: SmallFleet) {
    let case = Case {
        pools: 4,
        slack: 54.0,
        rate: 40,
        failing: fleet.failing,
        ..CASE
    };
    let play = play(&case);
    let (retries, bound) = worst_window(&play, case.slack);
    assert!(
        retries <= bound,
        "{retries} retries in a window, {bound} are allowed"
    );
    let retries: u64 = play.retries.iter().sum();
    assert!(
        100 * retries >= fleet.retried * play.failed,
        "{retries} retries of {} requests",
        play.failed
    );
}

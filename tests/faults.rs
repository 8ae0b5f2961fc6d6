//! Simulations of a fleet with faults, alone and combined. Every call must have an outcome that is
//! true, and no write may run more than once.

mod drive;

use std::time::Duration;

use drive::{
    Fleet,
    Load,
    Plan,
    fleet::Node,
    truth::{
        Call,
        Outcome, //
    }, //
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        TestRng,
        TestRunner, //
    }, //
};
use redwingyard::{
    router::Ran,
    wire::IdempotencyKey, //
};
use rstest::rstest;

const ROUTERS: usize = 3;
const TARGETS: usize = 4;

/// The number of random schedules.
const CASES: u32 = 24;

/// The time at which all partitions have healed and callers send no further requests.
const ARRIVALS_END: Duration = Duration::from_secs(75);

/// The time by which all calls must have ended.
const CALLS_END: Duration = Duration::from_secs(150);

#[derive(Clone, Debug)]
enum Fault {
    /// A process is killed and restarted without its state.
    Restart(Node),
    /// A process is paused for a time and handles its events late.
    Pause(Node, Duration),
    /// The current link between two processes drops all messages, while new links work.
    Blackhole(Node, Node),
    /// A network partition separates processes from the others for a time.
    Partition(Vec<Node>, Duration),
}

/// Returns the plan of a simulation with four accounts, two of which send writes, on a network that
/// reorders and duplicates messages.
fn plan(seed: u64) -> Plan {
    let loads = (0..4).map(|i| {
        let mut load = Load::at(i % ROUTERS, ROUTERS, 0);
        load.rate = vec![1.5; ROUTERS];
        load.write = i % 2 == 0;
        load
    });
    let mut plan = Plan::new(ROUTERS, TARGETS, 4, loads.collect(), seed);
    plan.limit = Duration::from_secs(20);
    plan.jitter = Duration::from_millis(3);
    plan.duplicate_rate = 0.02;
    plan
}

/// Runs a schedule of faults, and returns the fleet at the time by which all calls must have ended.
fn run_schedule(seed: u64, faults: &[(Duration, Fault)]) -> Fleet {
    let mut fleet = Fleet::new(plan(seed), Duration::ZERO);
    let mut faults = faults.to_vec();
    faults.sort_by_key(|(at, _)| *at);
    let mut partitions: Vec<(Duration, Vec<Node>)> = Vec::new();
    for (at, fault) in faults {
        heal_partitions(&mut fleet, &mut partitions, at);
        fleet.run(at);
        match fault {
            Fault::Restart(node) => {
                fleet.kill(node);
                fleet.start(node, "");
            }
            Fault::Pause(node, time) => {
                fleet.paused.insert(node, at + time);
            }
            Fault::Blackhole(a, b) => fleet.blackhole(a, b),
            Fault::Partition(nodes, time) => {
                for node in &nodes {
                    fleet.groups.insert(*node, 1);
                }
                partitions.push((at + time, nodes));
            }
        }
    }
    heal_partitions(&mut fleet, &mut partitions, ARRIVALS_END);
    fleet.run(ARRIVALS_END);
    for load in &mut fleet.plan.loads {
        load.active = Some((Duration::ZERO, Duration::from_secs(1)));
    }
    fleet.run(CALLS_END);
    fleet
}

/// Ends the partitions whose end is at most `until`, each at its time.
fn heal_partitions(
    fleet: &mut Fleet,
    partitions: &mut Vec<(Duration, Vec<Node>)>,
    until: Duration,
) {
    partitions.sort_by_key(|(at, _)| *at);
    while partitions.first().is_some_and(|(at, _)| *at <= until) {
        let (at, nodes) = partitions.remove(0);
        fleet.run(at);
        for node in nodes {
            fleet.groups.remove(&node);
        }
    }
}

/// Returns what is wrong with a call after the simulation, if anything is.
fn find_violation(call: &Call) -> Option<&'static str> {
    match call.outcome {
        None => Some("has no outcome"),
        _ if call.write && call.runs > 1 => Some("is a write that ran more than once"),
        Some(Outcome::Whole) if call.runs == 0 => Some("has an answer, but did not run"),
        Some(Outcome::Refused(refusal)) if refusal.ran == Ran::No && call.runs > 0 => {
            Some("was reported as not run, but ran")
        }
        _ => None,
    }
}

/// Panics if any call of the simulation violates a guarantee.
fn check_calls(fleet: &Fleet) {
    for (i, call) in fleet.truth.calls.iter().enumerate() {
        if let Some(violation) = find_violation(call) {
            panic!("call {i} {violation}: {call:?}");
        }
    }
}

/// Counts the calls of which the caller cannot know whether they ran.
fn count_unknown(fleet: &Fleet) -> usize {
    let unknown = |call: &&Call| match call.outcome {
        Some(Outcome::Refused(refusal)) => refusal.ran == Ran::Unknown,
        Some(Outcome::Broken) => true,
        _ => false,
    };
    fleet.truth.calls.iter().filter(unknown).count()
}

/// A fixed schedule of faults.
struct Case {
    /// The faults, each with its time in seconds.
    faults: &'static [(u64, CaseFault)],
    /// The number of calls whose outcome may stay unknown.
    max_unknown: usize,
}

/// A fault as the case tables write it. Durations are in seconds.
#[derive(Clone, Copy)]
enum CaseFault {
    RestartRouter(usize),
    RestartSidecar(usize),
    PauseRouter(usize, u64),
    PauseSidecar(usize, u64),
    Blackhole(usize, usize),
    PartitionRouter(usize, u64),
    PartitionSidecar(usize, u64),
}

impl CaseFault {
    fn fault(self) -> Fault {
        match self {
            CaseFault::RestartRouter(i) => Fault::Restart(Node::Router(i)),
            CaseFault::RestartSidecar(i) => Fault::Restart(Node::Sidecar(i)),
            CaseFault::PauseRouter(i, s) => Fault::Pause(Node::Router(i), Duration::from_secs(s)),
            CaseFault::PauseSidecar(i, s) => Fault::Pause(Node::Sidecar(i), Duration::from_secs(s)),
            CaseFault::Blackhole(i, j) => Fault::Blackhole(Node::Router(i), Node::Sidecar(j)),
            CaseFault::PartitionRouter(i, s) => {
                Fault::Partition(vec![Node::Router(i)], Duration::from_secs(s))
            }
            CaseFault::PartitionSidecar(i, s) => {
                Fault::Partition(vec![Node::Sidecar(i)], Duration::from_secs(s))
            }
        }
    }
}

/// Each kind of fault that affects requests, once, twice and combined with another kind.
///
/// The bounds on unknown outcomes follow from the slots. No outcome may be unknown unless a sidecar
/// is restarted, or a process is paused or partitioned for longer than a router waits for an
/// answer. A restarted sidecar loses the requests in its four slots. A sidecar that is paused or
/// partitioned has offered these slots to each of the three routers, which use them until they
/// detect the fault: twelve requests. A router that is paused or partitioned has offers of all
/// sixteen slots.
#[rstest]
#[case::no_faults(Case { faults: &[], max_unknown: 0 })]
#[case::router_restart(Case { faults: &[(10, CaseFault::RestartRouter(0))], max_unknown: 0 })]
#[case::router_restart_twice(Case {
    faults: &[(10, CaseFault::RestartRouter(0)), (11, CaseFault::RestartRouter(0))],
    max_unknown: 0,
})]
#[case::sidecar_restart(Case { faults: &[(10, CaseFault::RestartSidecar(1))], max_unknown: 4 })]
#[case::sidecar_restart_twice(Case {
    faults: &[(10, CaseFault::RestartSidecar(1)), (12, CaseFault::RestartSidecar(1))],
    max_unknown: 8,
})]
#[case::blackholed_link(Case { faults: &[(10, CaseFault::Blackhole(0, 1))], max_unknown: 0 })]
#[case::several_blackholed_links(Case {
    faults: &[
        (10, CaseFault::Blackhole(0, 1)),
        (10, CaseFault::Blackhole(0, 2)),
        (10, CaseFault::Blackhole(1, 1)),
    ],
    max_unknown: 0,
})]
#[case::router_pause(Case { faults: &[(10, CaseFault::PauseRouter(0, 30))], max_unknown: 16 })]
#[case::sidecar_pause(Case { faults: &[(10, CaseFault::PauseSidecar(1, 60))], max_unknown: 12 })]
#[case::router_partition(Case {
    faults: &[(10, CaseFault::PartitionRouter(0, 30))],
    max_unknown: 16,
})]
#[case::short_sidecar_partition(Case {
    faults: &[(10, CaseFault::PartitionSidecar(1, 2))],
    max_unknown: 0,
})]
#[case::sidecar_partition(Case {
    faults: &[(10, CaseFault::PartitionSidecar(1, 30))],
    max_unknown: 12,
})]
#[case::partition_and_restart(Case {
    faults: &[(10, CaseFault::PartitionSidecar(1, 20)), (15, CaseFault::RestartSidecar(1))],
    max_unknown: 12,
})]
#[case::pause_and_blackhole(Case {
    faults: &[(10, CaseFault::PauseSidecar(1, 20)), (31, CaseFault::Blackhole(0, 1))],
    max_unknown: 12,
})]
fn known_schedules(#[case] case: Case) {
    let faults: Vec<_> = case
        .faults
        .iter()
        .map(|(at, kind)| (Duration::from_secs(*at), kind.fault()))
        .collect();
    let fleet = run_schedule(41, &faults);
    check_calls(&fleet);
    let unknown = count_unknown(&fleet);
    assert!(
        unknown <= case.max_unknown,
        "the outcomes of {unknown} calls are unknown"
    );
    let ran = fleet.truth.calls.iter().filter(|call| call.runs > 0);
    assert!(ran.count() > 500, "more than 500 calls ran");
}

fn any_node() -> impl Strategy<Value = Node> {
    prop_oneof![
        (0..ROUTERS).prop_map(Node::Router),
        (0..TARGETS).prop_map(Node::Sidecar),
    ]
}

fn any_fault() -> impl Strategy<Value = (Duration, Fault)> {
    let fault = prop_oneof![
        any_node().prop_map(Fault::Restart),
        (any_node(), 1..60_u64).prop_map(|(node, s)| Fault::Pause(node, Duration::from_secs(s))),
        (0..ROUTERS, 0..TARGETS)
            .prop_map(|(i, j)| Fault::Blackhole(Node::Router(i), Node::Sidecar(j))),
        (proptest::collection::vec(any_node(), 1..4), 1..30_u64)
            .prop_map(|(nodes, s)| Fault::Partition(nodes, Duration::from_secs(s))),
    ];
    (5_000..45_000_u64, fault).prop_map(|(at, fault)| (Duration::from_millis(at), fault))
}

/// Random schedules of up to five faults, with reordered and duplicated messages.
///
/// The test fails if any of these is missing: the record of a cancelled attempt that
/// `Records::presume_aborted` leaves, the checks of the stamp and of the incarnation in
/// `Sidecar::admit`, and the record that makes a dispatch run only once.
#[test]
fn random_schedules() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (1..1_000_u64, proptest::collection::vec(any_fault(), 1..6));
    let result = runner.run(&strategy, |(seed, faults)| {
        let fleet = run_schedule(seed, &faults);
        for (i, call) in fleet.truth.calls.iter().enumerate() {
            let violation = find_violation(call);
            prop_assert!(
                violation.is_none(),
                "call {i} {}: {call:?}",
                violation.unwrap_or("")
            );
        }
        Ok(())
    });
    if let Err(err) = result {
        panic!("{err}");
    }
}

/// Callers that repeat requests with the same idempotency key at other routers, while sidecars
/// restart.
///
/// The test fails without `Keys::claim` in the sidecar, or if a restarted sidecar treats keys that
/// were issued before its start as new.
#[test]
fn idempotency_keys_run_at_most_once() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(plan(seed), Duration::ZERO);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut sent = 0;
        for step in 0..400_u64 {
            let now = Duration::from_secs(3) + Duration::from_millis(50) * step as u32;
            fleet.run(now);
            if step % 80 == 40 {
                let node = Node::Sidecar(rng.usize(..TARGETS));
                fleet.kill(node);
                fleet.start(node, "");
            }
            // Each key is sent twice, to two routers, 50 ms apart.
            let key = u128::from(step / 2);
            let epoch_time = Duration::from_secs(1_000_000) + now;
            let idempotency_key = IdempotencyKey {
                key,
                issued: Some(
                    (epoch_time - Duration::from_millis(50 * (step % 2))).as_millis() as u64,
                ),
                fingerprint: 1,
            };
            fleet.submit(
                step as usize % ROUTERS,
                0,
                true,
                Some(idempotency_key),
                false,
            );
            sent += 1;
        }
        fleet.run(Duration::from_secs(60));
        assert_eq!(sent, 400);
        let repeated: Vec<_> = fleet
            .truth
            .keys
            .iter()
            .filter(|(_, runs)| **runs > 1)
            .collect();
        assert!(
            repeated.is_empty(),
            "seed {seed}: keys ran more than once: {repeated:?}"
        );
        let ran = fleet.truth.keys.len();
        assert!(ran > 120, "seed {seed}: only {ran} of 200 keys ran");
    }
}

//! Measures fairness and utilisation of the decision code against baselines.
//!
//! Prints a line of key=value pairs for each scenario and policy, and fails where the decision code
//! misses a bound that is not listed in `KNOWN-RED.txt`. All figures come from seeds and simulated
//! time, so they are the same in each run. Only `core_percent` is measured on the machine, and it
//! has no bound.

mod baseline;
mod bounds;
mod plot;
mod scenario;

#[path = "../../tests/drive/mod.rs"]
mod drive;

use std::{
    collections::BTreeMap,
    process::ExitCode,
    sync::{
        Mutex,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    thread,
    time::Duration, //
};

use bounds::Figures;
use drive::Fleet;
use scenario::Scenario;

/// The simulated time before figures are measured.
const WARM_UP: Duration = Duration::from_secs(15);

fn main() -> ExitCode {
    // Cargo passes `--bench`. `--alone` leaves out the baselines, and so the check of the bounds.
    // `--plot` only writes the plots of service over time. Any other argument selects the
    // scenarios whose names contain it.
    let filters: Vec<_> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with("--"))
        .collect();
    let is_selected = |scenario: &Scenario| {
        filters
            .iter()
            .all(|filter| scenario.name.contains(filter.as_str()))
    };
    let scenarios: Vec<_> = scenario::all().into_iter().filter(is_selected).collect();
    if std::env::args().any(|arg| arg == "--plot") {
        scenarios.iter().for_each(plot::write);
        return ExitCode::SUCCESS;
    }
    let missed = measure_all(&scenarios);
    println!("bounds_missed={missed}");
    match missed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Runs scenarios on all cores, prints their lines in order and returns the number of bounds
/// missed, without known failures.
fn measure_all(scenarios: &[Scenario]) -> usize {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(BTreeMap::new());
    let workers = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    let Some(scenario) = scenarios.get(i) else {
                        return;
                    };
                    let result = measure(scenario);
                    results
                        .lock()
                        .expect("no worker panics while it holds the lock")
                        .insert(i, result);
                }
            });
        }
    });
    let results = results
        .into_inner()
        .expect("no worker panics while it holds the lock");
    for (lines, _) in results.values() {
        lines.iter().for_each(|line| println!("{line}"));
    }
    results.values().map(|(_, missed)| missed).sum()
}

/// Runs one scenario with the decision code and the baselines. Returns the lines to print and
/// the number of bounds missed, without known failures.
fn measure(scenario: &Scenario) -> (Vec<String>, usize) {
    let mut fleet = Fleet::new(scenario.plan.clone(), WARM_UP);
    fleet.run(WARM_UP);
    fleet.control.clear();
    fleet.step_time.clear();
    let mut lines = scenario.run(&mut fleet);
    let span = scenario.span;
    let figures = Figures {
        policy: "redwingyard",
        gap: fleet.truth.gap,
        utilisation: fleet.truth.utilisation(),
        control_rate: Some(fleet.control_rate(span)),
        core_fraction: fleet
            .step_time
            .values()
            .max()
            .map(|time| time.as_secs_f64() / span.as_secs_f64()),
        waits: scenario.waits(&fleet.truth),
    };
    if std::env::args().any(|arg| arg == "--alone") {
        lines.push(bounds::format_line(scenario, &figures, &[]));
        return (lines, 0);
    }
    let omniscient = baseline::run(scenario, baseline::Policy::Omniscient);
    let missed = bounds::missed_bounds(scenario, &figures, &omniscient);
    lines.push(bounds::format_line(scenario, &figures, &missed));
    lines.push(bounds::format_line(scenario, &omniscient, &[]));
    for policy in [
        baseline::Policy::LeastLoaded,
        baseline::Policy::RouterShares,
    ] {
        let figures = baseline::run(scenario, policy);
        lines.push(bounds::format_line(scenario, &figures, &[]));
    }
    let new_misses = missed
        .iter()
        .filter(|bound| !bounds::is_known_failure(scenario, bound));
    (lines, new_misses.count())
}

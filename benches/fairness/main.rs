//! Measures fairness and utilisation of the decision code against baselines.
//!
//! Prints one line of key=value pairs a scenario and fails where a bound is missed. All
//! figures come from seeds and a clock of the drive, so they are the same each time; only
//! `core` is measured on the machine, and no bound is set on it.

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

/// The time before figures count.
const WARM_UP: Duration = Duration::from_secs(15);

fn main() -> ExitCode {
    // Cargo passes `--bench`; `--alone` leaves the baselines out, `--plot` only draws
    // service over time, and any other word selects scenarios by name.
    let only: Vec<_> = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with("--"))
        .collect();
    let chosen = |scenario: &Scenario| {
        only.iter()
            .all(|word| scenario.name.contains(word.as_str()))
    };
    let scenarios: Vec<_> = scenario::all().into_iter().filter(chosen).collect();
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

/// Runs scenarios on every core and prints their lines in order.
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
                    results.lock().expect("no holder panics").insert(i, result);
                }
            });
        }
    });
    let results = results.into_inner().expect("no holder panics");
    for (lines, _) in results.values() {
        lines.iter().for_each(|line| println!("{line}"));
    }
    results.values().map(|(_, missed)| missed).sum()
}

/// Runs one scenario with the decision code and the baselines; returns the lines to
/// print and the number of bounds missed.
fn measure(scenario: &Scenario) -> (Vec<String>, usize) {
    let mut fleet = Fleet::new(scenario.plan.clone(), WARM_UP);
    fleet.run(WARM_UP);
    fleet.control.clear();
    fleet.step_time.clear();
    let mut lines = scenario.run(&mut fleet);
    let span = scenario.span;
    let figures = Figures {
        name: "redwingyard",
        gap: fleet.truth.gap,
        utilisation: fleet.truth.utilisation(),
        control: Some(fleet.control_rate(span)),
        core: fleet
            .step_time
            .values()
            .max()
            .map(|most| most.as_secs_f64() / span.as_secs_f64()),
        waits: scenario.waits(&fleet.truth),
    };
    if std::env::args().any(|arg| arg == "--alone") {
        lines.push(bounds::line(scenario, &figures, &[]));
        return (lines, 0);
    }
    let limit = baseline::run(scenario, baseline::Policy::Omniscient);
    let missed = bounds::check(scenario, &figures, &limit);
    lines.push(bounds::line(scenario, &figures, &missed));
    lines.push(bounds::line(scenario, &limit, &[]));
    for policy in [
        baseline::Policy::LeastLoaded,
        baseline::Policy::RouterShares,
    ] {
        let figures = baseline::run(scenario, policy);
        lines.push(bounds::line(scenario, &figures, &[]));
    }
    let new = missed
        .iter()
        .filter(|bound| !bounds::is_known(scenario, bound));
    (lines, new.count())
}

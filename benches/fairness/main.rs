//! Measures fairness and utilisation of the decision code against baselines.
//!
//! Prints one line of key=value pairs a scenario and fails where a bound is missed. All
//! figures come from seeds and a clock of the drive, so they are the same each time; only
//! `core` is measured on the machine, and no bound is set on it.

mod baseline;
mod bounds;
mod scenario;

#[path = "../../tests/drive/mod.rs"]
mod drive;

use std::{
    process::ExitCode,
    time::Duration, //
};

use bounds::Figures;
use drive::Fleet;
use scenario::Scenario;

/// The time before figures count.
const WARM_UP: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    // Cargo passes `--bench`; any other word selects scenarios by name.
    let only: Vec<_> = std::env::args()
        .skip(1)
        .filter(|arg| arg != "--bench")
        .collect();
    let mut missed = 0;
    for scenario in scenario::all() {
        if only
            .iter()
            .all(|word| scenario.name.contains(word.as_str()))
        {
            missed += measure(&scenario);
        }
    }
    println!("bounds_missed={missed}");
    match missed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Runs one scenario with the decision code and the baselines.
fn measure(scenario: &Scenario) -> usize {
    let mut fleet = Fleet::new(scenario.plan.clone(), WARM_UP);
    fleet.run(WARM_UP);
    fleet.control.clear();
    fleet.spent.clear();
    scenario.run(&mut fleet);
    let span = scenario.span;
    let figures = Figures {
        name: "redwingyard",
        gap: fleet.truth.gap,
        utilisation: fleet.truth.utilisation(),
        control: Some(fleet.control_rate(span)),
        core: fleet
            .spent
            .values()
            .max()
            .map(|most| most.as_secs_f64() / span.as_secs_f64()),
        waits: scenario.waits(&fleet.truth),
    };
    let limit = baseline::run(scenario, baseline::Policy::Omniscient);
    let missed = bounds::check(scenario, &figures, &limit);
    bounds::print(scenario, &figures, &missed);
    bounds::print(scenario, &limit, &[]);
    for policy in [
        baseline::Policy::LeastLoaded,
        baseline::Policy::RouterShares,
    ] {
        let figures = baseline::run(scenario, policy);
        bounds::print(scenario, &figures, &[]);
    }
    missed.len()
}

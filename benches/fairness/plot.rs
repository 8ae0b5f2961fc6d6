//! A plot of the service that each account receives over time.

use std::{
    fmt::Write,
    fs,
    time::Duration, //
};

use super::{
    WARM_UP,
    drive::Fleet,
    scenario::{
        Group,
        Scenario, //
    }, //
};

const STEP: Duration = Duration::from_millis(250);
const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 420.0;
const MARGIN: f64 = 50.0;
const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/plots");

/// Runs a scenario without its faults and writes the plot of its services.
pub(super) fn write(scenario: &Scenario) {
    let mut fleet = Fleet::new(scenario.plan.clone(), WARM_UP);
    let steps = (scenario.span.as_millis() / STEP.as_millis()) as u32;
    let accounts = scenario.plan.loads.len();
    let mut lines = vec![Vec::new(); accounts];
    fleet.run(WARM_UP);
    for step in 0..steps {
        fleet.run(WARM_UP + STEP * step);
        for (account, line) in lines.iter_mut().enumerate() {
            let share = f64::from(scenario.plan.loads[account].share);
            line.push(fleet.truth.service(fleet.now, account).as_secs_f64() / share);
        }
    }
    fs::create_dir_all(FOLDER).expect("the folder of plots can be made");
    let path = format!("{FOLDER}/service-{}.svg", scenario.name);
    fs::write(path, draw(scenario, &lines)).expect("the plot can be written");
}

fn draw(scenario: &Scenario, lines: &[Vec<f64>]) -> String {
    let starts: Vec<_> = lines.iter().map(|line| line[0]).collect();
    let most = lines
        .iter()
        .zip(&starts)
        .map(|(line, start)| line[line.len() - 1] - start);
    let high = most.fold(1.0, f64::max);
    let count = lines[0].len() as f64;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{MARGIN}\" y=\"20\">{}: slot time over share (most {high:.0} s) in {:.0} s; \
         large accounts blue, small orange, tiny gray</text>\n",
        scenario.name,
        count * STEP.as_secs_f64()
    );
    for (account, line) in lines.iter().enumerate() {
        let color = match scenario.groups[account] {
            Group::Large => "steelblue",
            Group::Small => "darkorange",
            Group::Tiny => "gray",
        };
        let points = line.iter().enumerate().map(|(i, value)| {
            let x = MARGIN + i as f64 / count * (WIDTH - 2.0 * MARGIN);
            let y = HEIGHT - MARGIN - (value - starts[account]) / high * (HEIGHT - 2.0 * MARGIN);
            format!("{x:.0},{y:.0}")
        });
        let points: Vec<_> = points.collect();
        let _ = writeln!(
            svg,
            "<polyline fill=\"none\" stroke=\"{color}\" points=\"{}\"/>",
            points.join(" ")
        );
    }
    svg + "</svg>\n"
}

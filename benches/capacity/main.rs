//! Measures how memory, messages and processor time grow with the size of a fleet.
//!
//! Prints key=value lines: for each slope, its value at five sizes and the line fitted to them.
//! With `--write`, also writes the lines to `benches/results/capacity.txt`, which docs/CAPACITY.md
//! quotes, and a plot of each slope to `docs/plots`.

mod alloc;
mod fit;
mod links;
mod slopes;

#[path = "../../examples/standin/mod.rs"]
mod standin;

use std::fs;

use fit::Fit;
use slopes::Slope;

const RESULT_FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/benches/results/capacity.txt");
const PLOT_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/plots");

fn main() {
    let write = std::env::args().any(|arg| arg == "--write");
    let mut lines = Vec::new();
    for slope in slopes::all() {
        let points: Vec<_> = slope
            .sizes
            .iter()
            .map(|size| (*size as f64, (slope.measure)(*size)))
            .collect();
        lines.extend(report(&slope, &points));
        if write {
            fs::create_dir_all(PLOT_DIR).expect("the directory of plots can be created");
            let path = format!("{PLOT_DIR}/{}.svg", slope.name);
            fs::write(path, fit::plot(slope.name, slope.per, slope.unit, &points))
                .expect("the plot can be written");
        }
    }
    if write {
        fs::write(RESULT_FILE, lines.join("\n") + "\n").expect("the results can be written");
    }
}

/// Prints the points and the fitted line of a slope, and returns the printed lines.
fn report(slope: &Slope, points: &[(f64, f64)]) -> Vec<String> {
    let mut lines = Vec::new();
    for (size, value) in points {
        lines.push(format!(
            "slope={} {}={size} {}={}",
            slope.name,
            slope.per,
            slope.unit,
            fit::format_number(*value)
        ));
    }
    let fit = Fit::new(points);
    lines.push(format!(
        "fit={} unit={} per={} each={} base={} r2={:.3}",
        slope.name,
        slope.unit,
        slope.per,
        fit::format_number(fit.each),
        fit::format_number(fit.base),
        fit.r2
    ));
    lines.iter().for_each(|line| println!("{line}"));
    lines
}

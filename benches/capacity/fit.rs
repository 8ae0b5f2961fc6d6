//! Straight lines through measured points, and their plots.

use std::fmt::Write;

/// A line fitted by least squares.
pub(super) struct Fit {
    pub(super) each: f64,
    pub(super) base: f64,
    pub(super) r2: f64,
}

impl Fit {
    pub(super) fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let both: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let square: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let each = both / square;
        let base = y - each * x;
        let rest: f64 = points
            .iter()
            .map(|p| (p.1 - base - each * p.0).powi(2))
            .sum();
        let all: f64 = points.iter().map(|p| (p.1 - y).powi(2)).sum();
        let r2 = if all > 0.0 { 1.0 - rest / all } else { 1.0 };
        Self { each, base, r2 }
    }
}

/// Returns a number with three digits.
pub(super) fn short(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = (2 - value.abs().log10().floor() as i32).max(0) as usize;
    format!("{value:.digits$}")
}

const WIDTH: f64 = 480.0;
const HEIGHT: f64 = 300.0;
const MARGIN: f64 = 60.0;

/// Returns a plot of points and their line as SVG.
pub(super) fn plot(name: &str, per: &str, unit: &str, points: &[(f64, f64)]) -> String {
    let fit = Fit::new(points);
    let most =
        |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).fold(f64::MIN_POSITIVE, f64::max);
    let (far, high) = (most(|p| p.0), most(|p| p.1));
    let x = |value: f64| MARGIN + value / far * (WIDTH - 2.0 * MARGIN);
    let y = |value: f64| HEIGHT - MARGIN - value / high * (HEIGHT - 2.0 * MARGIN);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{MARGIN}\" y=\"24\" font-size=\"14\">{name}</text>\n"
    );
    let (left, right, top, bottom) = (x(0.0), x(far), y(high), y(0.0));
    let _ = writeln!(
        svg,
        "<path d=\"M{left} {top}V{bottom}H{right}\" fill=\"none\" stroke=\"black\"/>\n\
         <text x=\"{left}\" y=\"{}\">0</text>\n\
         <text x=\"{right}\" y=\"{}\" text-anchor=\"end\">{} {per}</text>\n\
         <text x=\"{}\" y=\"{top}\" text-anchor=\"end\">{}</text>\n\
         <text x=\"{left}\" y=\"44\">{unit}</text>",
        bottom + 16.0,
        bottom + 16.0,
        short(far),
        left - 4.0,
        short(high)
    );
    let _ = writeln!(
        svg,
        "<line x1=\"{left}\" y1=\"{:.1}\" x2=\"{right}\" y2=\"{:.1}\" stroke=\"gray\"/>",
        y(fit.base),
        y(fit.base + fit.each * far)
    );
    for point in points {
        let _ = writeln!(
            svg,
            "<circle cx=\"{:.1}\" cy=\"{:.1}\" r=\"4\" fill=\"steelblue\"/>",
            x(point.0),
            y(point.1)
        );
    }
    svg + "</svg>\n"
}

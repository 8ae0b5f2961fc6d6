//! Lines fitted to measured points, and plots of both.

use std::fmt::Write;

/// A line that is fitted to points by least squares.
pub(super) struct Fit {
    /// The slope of the line.
    pub(super) each: f64,
    /// The value of the line at zero.
    pub(super) base: f64,
    /// The coefficient of determination.
    pub(super) r2: f64,
}

impl Fit {
    pub(super) fn new(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let each = sum_xy / sum_xx;
        let base = mean_y - each * mean_x;
        let residual: f64 = points
            .iter()
            .map(|p| (p.1 - base - each * p.0).powi(2))
            .sum();
        let total: f64 = points.iter().map(|p| (p.1 - mean_y).powi(2)).sum();
        let r2 = if total > 0.0 {
            1.0 - residual / total
        } else {
            1.0
        };
        Self { each, base, r2 }
    }
}

/// Formats a number with three significant digits, or all digits before the decimal point where
/// these are more.
pub(super) fn format_number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = (2 - value.abs().log10().floor() as i32).max(0) as usize;
    format!("{value:.digits$}")
}

/// The size of a plot and the margin around its axes, in SVG units.
const WIDTH: f64 = 480.0;
const HEIGHT: f64 = 300.0;
const MARGIN: f64 = 60.0;

/// Returns a plot of points and their fitted line as SVG.
pub(super) fn plot(name: &str, per: &str, unit: &str, points: &[(f64, f64)]) -> String {
    let fit = Fit::new(points);
    let greatest =
        |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).fold(f64::MIN_POSITIVE, f64::max);
    let (max_x, max_y) = (greatest(|p| p.0), greatest(|p| p.1));
    let x = |value: f64| MARGIN + value / max_x * (WIDTH - 2.0 * MARGIN);
    let y = |value: f64| HEIGHT - MARGIN - value / max_y * (HEIGHT - 2.0 * MARGIN);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{MARGIN}\" y=\"24\" font-size=\"14\">{name}</text>\n"
    );
    let (left, right, top, bottom) = (x(0.0), x(max_x), y(max_y), y(0.0));
    let _ = writeln!(
        svg,
        "<path d=\"M{left} {top}V{bottom}H{right}\" fill=\"none\" stroke=\"black\"/>\n\
         <text x=\"{left}\" y=\"{}\">0</text>\n\
         <text x=\"{right}\" y=\"{}\" text-anchor=\"end\">{} {per}</text>\n\
         <text x=\"{}\" y=\"{top}\" text-anchor=\"end\">{}</text>\n\
         <text x=\"{left}\" y=\"44\">{unit}</text>",
        bottom + 16.0,
        bottom + 16.0,
        format_number(max_x),
        left - 4.0,
        format_number(max_y)
    );
    let _ = writeln!(
        svg,
        "<line x1=\"{left}\" y1=\"{:.1}\" x2=\"{right}\" y2=\"{:.1}\" stroke=\"gray\"/>",
        y(fit.base),
        y(fit.base + fit.each * max_x)
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

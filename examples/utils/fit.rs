//! Least-squares fits and medians of measurements, with their reports.

#![allow(dead_code, reason = "no program uses all of these functions")]

/// A straight line fitted to measured points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    pub(crate) slope: f64,
    pub(crate) intercept: f64,
    /// Largest residual, in percent of the measured value.
    pub(crate) residual_percent: f64,
}

/// Fits a line by least squares.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariances = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let squares = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    let slope = covariances.sum::<f64>() / squares.sum::<f64>();
    let intercept = mean_y - slope * mean_x;
    let residual = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs() / y.abs().max(1e-12);
    Line {
        slope,
        intercept,
        residual_percent: 100.0 * points.iter().map(residual).fold(0.0, f64::max),
    }
}

/// Prints the points and the line fitted to them.
pub(crate) fn report_fit(label: &str, unit: &str, points: &[(f64, f64)]) -> Line {
    let line = fit_line(points);
    let formatted: Vec<String> = points
        .iter()
        .map(|(x, y)| format!("{x}: {y:.6}", y = round_to_five_digits(*y)))
        .collect();
    println!("{label} [{unit}]");
    println!("    points   {}", formatted.join("  "));
    println!(
        "    slope    {:.6}  at 0: {:.6}  largest residual {:.1}%",
        round_to_five_digits(line.slope),
        round_to_five_digits(line.intercept),
        line.residual_percent
    );
    line
}

/// Rounds to five significant digits.
fn round_to_five_digits(value: f64) -> f64 {
    if value == 0.0 {
        return 0.0;
    }
    let scale = 10f64.powi(4 - value.abs().log10().floor() as i32);
    (value * scale).round() / scale
}

/// The minimum, median and maximum.
pub(crate) fn min_median_max(values: &[f64]) -> (f64, f64, f64) {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len() - 1;
    (sorted[0], sorted[sorted.len() / 2], sorted[last])
}

/// Prints the median, minimum and maximum over the runs.
pub(crate) fn report_spread(label: &str, unit: &str, values: &[f64]) {
    let (min, median, max) = min_median_max(values);
    println!(
        "{label}: median {:.4} {unit}, {:.4} to {:.4} over {} runs",
        round_to_five_digits(median),
        round_to_five_digits(min),
        round_to_five_digits(max),
        values.len()
    );
}

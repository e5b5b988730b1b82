//! Least squares and medians.

#![allow(dead_code, reason = "each program uses its own part")]

/// A straight line through measured points.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    pub(crate) slope: f64,
    pub(crate) intercept: f64,
    /// Greatest distance of a point from the line, in percent of the point.
    pub(crate) residual_percent: f64,
}

/// The line with the least squares of distances.
pub(crate) fn line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let over = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let under = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    let slope = over.sum::<f64>() / under.sum::<f64>();
    let intercept = mean_y - slope * mean_x;
    let residual = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs() / y.abs().max(1e-12);
    Line {
        slope,
        intercept,
        residual_percent: 100.0 * points.iter().map(residual).fold(0.0, f64::max),
    }
}

/// Prints points and their line.
pub(crate) fn report(what: &str, unit: &str, points: &[(f64, f64)]) -> Line {
    let line = line(points);
    let shown: Vec<String> = points
        .iter()
        .map(|(x, y)| format!("{x}: {y:.6}", y = round(*y)))
        .collect();
    println!("{what} [{unit}]");
    println!("    points   {}", shown.join("  "));
    println!(
        "    slope    {:.6}  at 0: {:.6}  farthest point off by {:.1}%",
        round(line.slope),
        round(line.intercept),
        line.residual_percent
    );
    line
}

/// Keeps five digits that count.
fn round(value: f64) -> f64 {
    if value == 0.0 {
        return 0.0;
    }
    let scale = 10f64.powi(4 - value.abs().log10().floor() as i32);
    (value * scale).round() / scale
}

/// Least, median and greatest.
pub(crate) fn spread(values: &[f64]) -> (f64, f64, f64) {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len() - 1;
    (sorted[0], sorted[sorted.len() / 2], sorted[last])
}

/// Prints least, median and greatest of the runs.
pub(crate) fn report_spread(what: &str, unit: &str, values: &[f64]) {
    let (least, median, most) = spread(values);
    println!(
        "{what}: median {:.4} {unit}, {:.4} to {:.4} over {} runs",
        round(median),
        round(least),
        round(most),
        values.len()
    );
}

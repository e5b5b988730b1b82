//! Report of a run, as text and as a plot.

use std::fmt::Write;
use std::path::Path;

use plotters::prelude::*;

use crate::Error;
use crate::Result;
use crate::ledger::SecondCounts;
use crate::ledger::Summary;
use crate::starvation::Counts;

/// Summarizes a run: its counts and violated guarantees, and the faults if there are
/// violations.
pub fn text(seed: u64, summary: &Summary) -> String {
    let mut text = String::new();
    let served: u32 = summary.seconds.iter().map(|second| second.served).sum();
    let failed: u32 = summary.seconds.iter().map(|second| second.failed).sum();
    let reset: u32 = summary.seconds.iter().map(|second| second.reset).sum();
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "seed {seed}: {} faults, {served} served, {failed} not, {reset} open flows reset, \
         {} promises broken",
        summary.faults.len(),
        summary.breaches.len()
    );
    for (priority, counts) in &summary.priorities {
        let Counts { served, failed } = counts;
        let _ = writeln!(text, "  priority {priority}: {served} served, {failed} not");
    }
    for breach in &summary.breaches {
        let _ = writeln!(text, "  {breach}");
    }
    if !summary.breaches.is_empty() {
        for (at, fault) in &summary.faults {
            let _ = writeln!(text, "  fault {:8.3} s {fault}", at.as_secs_f64());
        }
    }
    text
}

/// Plots served and failed requests, resets and the age of the oldest copy of the store
/// over time, with a line at the start of each fault.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn plot(path: &Path, summary: &Summary) -> Result<()> {
    let root = SVGBackend::new(path, (900, 500)).into_drawing_area();
    draw(&root, summary).map_err(|error| Error::Plot(error.to_string()))
}

type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw(
    root: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    summary: &Summary,
) -> DrawResult {
    root.fill(&WHITE)?;
    let seconds = &summary.seconds;
    let max_requests = seconds.iter().map(|s| s.served + s.failed).max();
    let max_requests = f64::from(max_requests.unwrap_or_default()).max(10.0);
    let mut chart = ChartBuilder::on(root)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..seconds.len() as f64, 0.0..max_requests)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (at, _) in &summary.faults {
        let x = at.as_secs_f64();
        let fault_line = PathElement::new(vec![(x, 0.0), (x, max_requests)], BLACK.mix(0.2));
        chart.draw_series([fault_line])?;
    }
    let series = |value: fn(&SecondCounts) -> f64| {
        let points = seconds.iter().enumerate();
        points.map(move |(x, second)| (x as f64, value(second)))
    };
    chart.draw_series(LineSeries::new(series(|s| f64::from(s.served)), &GREEN))?;
    chart.draw_series(LineSeries::new(series(|s| f64::from(s.failed)), &RED))?;
    chart.draw_series(LineSeries::new(series(|s| f64::from(s.reset)), &BLUE))?;
    let ages = series(|s| s.oldest_view_ms as f64 / 100.0);
    chart.draw_series(LineSeries::new(ages, &MAGENTA))?;
    root.present()?;
    Ok(())
}

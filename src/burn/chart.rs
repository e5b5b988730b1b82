//! Renders the burn report as text, JSON and an SVG plot.

use std::io;

use comfy_table::Table;
use plotters::prelude::*;

use crate::burn::Rate;
use crate::burn::merge::Report;
use crate::burn::merge::ServiceBurn;
use crate::burn::merge::WindowBurn;
use crate::burn::window::Window;
use crate::document::Objective;
use crate::error::Error;
use crate::error::Result;
use crate::id;

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (960, 540);

/// Lower end of the logarithmic burn rate axis.
const MIN_RATE: f64 = 0.01;

/// Smallest upper end of the burn rate axis.
const MIN_AXIS_TOP: f64 = 100.0;

/// Space for the legend right of the last window, in distances between windows.
const LEGEND_WIDTH: f64 = 0.7;

/// Colour of the lower threshold; the bright colours are for services.
const GREY: RGBColor = RGBColor(128, 128, 128);

/// Radius of a point of the plot, in pixels.
const POINT_RADIUS: i32 = 4;

/// Shown in place of a burn rate if there are no events.
const NO_EVENTS: &str = "-";

impl Report {
    /// A table for people, followed by a line for each gap, conflict or short coverage.
    ///
    /// A cell holds the burn rate, then the number of bad events and of all events.
    pub fn text(&self) -> String {
        let mut lines = vec![self.table().trim_fmt()];
        if self.heard.is_empty() {
            lines.push("no instance was heard from: nothing is known".to_owned());
        }
        lines.extend(self.gaps.iter().map(|gap| {
            let (instance, reason) = (&gap.instance, &gap.reason);
            format!("gap: {instance} was not heard from: {reason}")
        }));
        lines.extend(
            self.unlisted
                .iter()
                .map(|reason| format!("gap: the list of instances may be incomplete: {reason}")),
        );
        let services = self.services.iter();
        lines.extend(services.filter_map(|(service, burn)| conflict(service, burn)));
        lines.extend(self.short_coverage());
        lines.join("\n") + "\n"
    }

    /// The whole report as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if it cannot be written as JSON.
    pub fn json(&self) -> Result<String> {
        serde_json::to_string_pretty(self).map_err(|error| Error::Io {
            step: "write burn report",
            peer: "JSON".to_owned(),
            source: error.into(),
        })
    }

    /// An SVG plot of the burn rate by window and service, with both thresholds.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if it cannot be drawn.
    pub fn svg(&self) -> Result<String> {
        let mut svg = String::new();
        draw(self, &mut svg).map_err(|error| Error::Io {
            step: "draw burn report",
            peer: "SVG".to_owned(),
            source: io::Error::other(error.to_string()),
        })?;
        Ok(svg)
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        let windows = Window::ALL.map(|window| window.to_string());
        let header = ["service", "objective"].map(str::to_owned).into_iter();
        table.set_header(header.chain(windows).chain(["verdict".to_owned()]));
        for (service, burn) in &self.services {
            let names = [service.to_string(), format_objective(&burn.objective)].into_iter();
            let cells = Window::ALL.map(|window| cell(burn.windows.get(&window)));
            table.add_row(names.chain(cells).chain([burn.verdict.to_string()]));
        }
        table
    }

    /// A line for each instance whose counts cover less than the longest window.
    fn short_coverage(&self) -> impl Iterator<Item = String> {
        let longest = Window::ThreeDays;
        let sources = self.heard.iter();
        let short = sources
            .filter(move |source| u128::from(source.covered_ms) < longest.length().as_millis());
        short.map(|source| {
            let seconds = source.covered_ms / 1_000;
            format!("counts of {} reach back {seconds} s only", source.holder)
        })
    }
}

fn format_objective(objective: &Objective) -> String {
    let (percent, latency) = (objective.good_percent, objective.latency_ms);
    format!("{percent} % in {latency} ms")
}

fn cell(burn: Option<&WindowBurn>) -> String {
    let Some((burn, rate)) = burn.and_then(|burn| Some((burn, burn.rate?))) else {
        return NO_EVENTS.to_owned();
    };
    format!("{rate} ({}/{})", burn.count.bad, burn.count.total())
}

fn conflict(service: &id::Service, burn: &ServiceBurn) -> Option<String> {
    if burn.conflict.is_empty() {
        return None;
    }
    let objectives: Vec<String> = burn.conflict.iter().map(format_objective).collect();
    Some(format!(
        "conflict: instances have different objectives for {service}: {}; the strictest is used",
        objectives.join(", ")
    ))
}

type DrawResult = std::result::Result<(), DrawingAreaErrorKind<io::Error>>;

fn draw(report: &Report, svg: &mut String) -> DrawResult {
    let root = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let last = (Window::ALL.len() - 1) as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(caption(report), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(
            0.0..last + LEGEND_WIDTH,
            (MIN_RATE..axis_top(report)).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_labels(Window::ALL.len())
        .x_label_formatter(&|x| window_label(*x))
        .x_desc("window")
        .y_desc("burn rate (0.01 or less at the bottom)")
        .draw()?;
    for (name, limit, color) in [("page", Rate::PAGE, BLACK), ("ticket", Rate::TICKET, GREY)] {
        let line = [(0.0, limit.0), (last, limit.0)];
        chart
            .draw_series(LineSeries::new(line, color))?
            .label(format!("{name} above {}", limit.0))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    for (index, (service, burn)) in report.services.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = points(burn);
        let dots = points
            .iter()
            .map(|dot| Circle::new(*dot, POINT_RADIUS, color.filled()));
        chart
            .draw_series(dots)?
            .label(service.as_str())
            .legend(move |(x, y)| Circle::new((x + 8, y), POINT_RADIUS, color.filled()));
        for pair in points.windows(2).filter(|pair| are_adjacent(pair)) {
            chart.draw_series(LineSeries::new(pair.to_vec(), color))?;
        }
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()
}

/// The plot's caption. It names the gaps, so that a plot shown without its report
/// hides none.
fn caption(report: &Report) -> String {
    if report.heard.is_empty() {
        return "service-level burn: no instance was heard from".to_owned();
    }
    let gaps: Vec<&str> = report
        .gaps
        .iter()
        .map(|gap| gap.instance.as_str())
        .collect();
    match gaps.as_slice() {
        [] => "service-level burn".to_owned(),
        gaps => format!("service-level burn, not heard from: {}", gaps.join(", ")),
    }
}

/// Upper end of the burn rate axis.
fn axis_top(report: &Report) -> f64 {
    let windows = report
        .services
        .values()
        .flat_map(|burn| burn.windows.values());
    let rates = windows.filter_map(|window| window.rate);
    rates.map(|rate| rate.0 * 1.5).fold(MIN_AXIS_TOP, f64::max)
}

/// Points of the plot for the windows that have events.
fn points(burn: &ServiceBurn) -> Vec<(f64, f64)> {
    let positions = Window::ALL.into_iter().zip([0.0, 1.0, 2.0, 3.0]);
    positions
        .filter_map(|(window, x)| {
            let rate = burn.windows.get(&window)?.rate?;
            Some((x, rate.0.max(MIN_RATE)))
        })
        .collect()
}

/// Whether two points belong to neighbouring windows.
fn are_adjacent(pair: &[(f64, f64)]) -> bool {
    matches!(pair, [(a, _), (b, _)] if b - a < 1.5)
}

fn window_label(x: f64) -> String {
    let near = |index: usize| (x - index as f64).abs() < 0.01;
    let index = (0..Window::ALL.len()).find(|index| near(*index));
    index.map_or_else(String::new, |index| Window::ALL[index].to_string())
}

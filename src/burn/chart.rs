//! The burn report as text, JSON and a plot.

use std::io;

use comfy_table::Table;
use plotters::prelude::*;

use crate::burn::Rate;
use crate::burn::merge::Figure;
use crate::burn::merge::Line;
use crate::burn::merge::Report;
use crate::burn::window::Window;
use crate::document::Objective;
use crate::error::Error;
use crate::error::Result;
use crate::id;

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (960, 540);

/// Lowest burn rate that the plot shows; its scale is logarithmic.
const LOWEST: f64 = 0.01;

/// Highest burn rate that the plot shows at least.
const HIGHEST: f64 = 100.0;

/// Room for the legend beside the last window, in distances between windows.
const LEGEND: f64 = 0.7;

/// Colour of the lower threshold; services have the bright ones.
const GREY: RGBColor = RGBColor(128, 128, 128);

/// Radius of a point of the plot, in pixels.
const POINT: i32 = 4;

/// Shown where there are no events.
const NOTHING: &str = "-";

impl Report {
    /// A table for people, with a line for each thing that limits its figures.
    ///
    /// A cell holds the burn rate and, behind it, the bad of all events.
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
        lines.extend(services.filter_map(|(service, line)| conflict(service, line)));
        lines.extend(self.short_cover());
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

    /// A plot as SVG: the burn rate by window and service, and both thresholds.
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
        for (service, line) in &self.services {
            let names = [service.to_string(), promise(&line.objective)].into_iter();
            let cells = Window::ALL.map(|window| cell(line.windows.get(&window)));
            table.add_row(names.chain(cells).chain([line.verdict.to_string()]));
        }
        table
    }

    /// Says which instances have counted for less than the longest window.
    fn short_cover(&self) -> impl Iterator<Item = String> {
        let longest = Window::ThreeDays;
        let heard = self.heard.iter();
        let short =
            heard.filter(move |heard| u128::from(heard.covered_ms) < longest.length().as_millis());
        short.map(|heard| {
            let seconds = heard.covered_ms / 1_000;
            format!("counts of {} reach back {seconds} s only", heard.holder)
        })
    }
}

fn promise(objective: &Objective) -> String {
    let (percent, latency) = (objective.good_percent, objective.latency_ms);
    format!("{percent} % in {latency} ms")
}

fn cell(figure: Option<&Figure>) -> String {
    let Some((figure, rate)) = figure.and_then(|figure| Some((figure, figure.rate?))) else {
        return NOTHING.to_owned();
    };
    format!("{rate} ({}/{})", figure.count.bad, figure.count.total())
}

fn conflict(service: &id::Service, line: &Line) -> Option<String> {
    if line.conflict.is_empty() {
        return None;
    }
    let promises: Vec<String> = line.conflict.iter().map(promise).collect();
    Some(format!(
        "conflict: instances have different objectives for {service}: {}; the strictest is used",
        promises.join(", ")
    ))
}

type Drawn = std::result::Result<(), DrawingAreaErrorKind<io::Error>>;

fn draw(report: &Report, svg: &mut String) -> Drawn {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let last = (Window::ALL.len() - 1) as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(caption(report), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..last + LEGEND, (LOWEST..highest(report)).log_scale())?;
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
    for (place, (service, line)) in report.services.iter().enumerate() {
        let color = Palette99::pick(place).to_rgba();
        let points = points(line);
        let dots = points
            .iter()
            .map(|dot| Circle::new(*dot, POINT, color.filled()));
        chart
            .draw_series(dots)?
            .label(service.as_str())
            .legend(move |(x, y)| Circle::new((x + 8, y), POINT, color.filled()));
        for pair in points.windows(2).filter(|pair| adjacent(pair)) {
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

/// The caption names the gaps, so that a plot passed on alone hides none.
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

fn highest(report: &Report) -> f64 {
    let figures = report
        .services
        .values()
        .flat_map(|line| line.windows.values());
    let rates = figures.filter_map(|figure| figure.rate);
    rates.map(|rate| rate.0 * 1.5).fold(HIGHEST, f64::max)
}

/// The windows that have events, as places on the plot.
fn points(line: &Line) -> Vec<(f64, f64)> {
    let places = Window::ALL.into_iter().zip([0.0, 1.0, 2.0, 3.0]);
    places
        .filter_map(|(window, x)| {
            let rate = line.windows.get(&window)?.rate?;
            Some((x, rate.0.max(LOWEST)))
        })
        .collect()
}

/// Whether no window without events lies between two points.
fn adjacent(pair: &[(f64, f64)]) -> bool {
    matches!(pair, [(a, _), (b, _)] if b - a < 1.5)
}

fn window_label(x: f64) -> String {
    let near = |place: usize| (x - place as f64).abs() < 0.01;
    let place = (0..Window::ALL.len()).find(|place| near(*place));
    place.map_or_else(String::new, |place| Window::ALL[place].to_string())
}

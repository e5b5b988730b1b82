//! Measurements of a run, and their tables over several seeds.

use std::collections::BTreeMap;

use godwitreel::reason::Reason;

/// Counters and samples of one run.
#[derive(Debug, Default)]
pub(crate) struct Measurements {
    slots: usize,
    latencies: Vec<f64>,
    /// Answers to non-idempotent requests.
    pub(crate) non_idempotent_answers: u64,
    /// Calls whose final outcome was a refusal.
    pub(crate) refused: u64,
    /// All refusals, including those of calls that were retried.
    pub(crate) refusals: u64,
    /// Non-idempotent requests whose outcome stayed unknown.
    pub(crate) unknown: u64,
    /// Idempotent requests without an answer within the deadline.
    pub(crate) unanswered: u64,
    /// Calls whose caller never received a response.
    pub(crate) silent: u64,
    /// Non-idempotent requests that ran more than once.
    pub(crate) run_twice: u64,
    /// Non-idempotent requests that ran although they were refused.
    pub(crate) run_despite_refusal: u64,
    /// Packets that reached an address that runs another service.
    pub(crate) misdirected: u64,
    /// Feeds that were ended, so that their callers have to open them again.
    pub(crate) feeds_ended: u64,
    /// Feeds without a notification for too long.
    pub(crate) feeds_stalled: u64,
    /// Feeds opened.
    pub(crate) feeds_open: u64,
    reasons: BTreeMap<Reason, u64>,
    samples: u64,
    peak_sum: f64,
    peak_samples: u64,
    over_slots_sum: f64,
    feed_peak_sum: f64,
    last_feed_peak: f64,
    /// Last time at which a server had more than 1.25 times the mean number of feeds.
    pub(crate) uneven_until: f64,
    /// Last time at which a server had more than three requests per slot.
    pub(crate) crowded_until: f64,
}

impl Measurements {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    pub(crate) fn answered(&mut self, latency: f64, is_non_idempotent: bool) {
        self.latencies.push(latency);
        self.non_idempotent_answers += u64::from(is_non_idempotent);
    }

    pub(crate) fn count_reason(&mut self, is_counted: bool, reason: Reason) {
        *self.reasons.entry(reason).or_default() += u64::from(is_counted);
    }

    pub(crate) fn sample(&mut self, now: f64, loads: &[(usize, usize)]) {
        const UNEVEN_RATIO: f64 = 1.25;
        const CROWDED_PER_SLOT: usize = 3;
        self.samples += 1;
        let servers = loads.len().max(1) as f64;
        let sum: usize = loads.iter().map(|load| load.0).sum();
        let peak = loads.iter().map(|load| load.0).max().unwrap_or(0);
        if sum > 0 {
            self.peak_sum += peak as f64 * servers / sum as f64;
            self.peak_samples += 1;
        }
        let over = loads.iter().filter(|load| load.0 > self.slots).count();
        self.over_slots_sum += over as f64 / servers;
        if peak > CROWDED_PER_SLOT * self.slots {
            self.crowded_until = now;
        }
        let feeds: usize = loads.iter().map(|load| load.1).sum();
        let max = loads.iter().map(|load| load.1).max().unwrap_or(0);
        if feeds > 0 {
            let ratio = max as f64 * servers / feeds as f64;
            self.feed_peak_sum += ratio;
            self.last_feed_peak = ratio;
            if ratio > UNEVEN_RATIO {
                self.uneven_until = now;
            }
        }
    }

    pub(crate) fn reason(&self, reason: Reason) -> f64 {
        self.reasons.get(&reason).copied().unwrap_or(0) as f64
    }

    /// Time average of the ratio of the most loaded server's requests to the mean.
    pub(crate) fn peak(&self) -> f64 {
        self.peak_sum / self.peak_samples.max(1) as f64
    }

    /// Percentage of server time with more requests than slots.
    pub(crate) fn over_slots_percent(&self) -> f64 {
        100.0 * self.over_slots_sum / self.samples.max(1) as f64
    }

    /// Time average of the ratio of the highest number of feeds at a server to the mean.
    pub(crate) fn feed_peak(&self) -> f64 {
        self.feed_peak_sum / self.samples.max(1) as f64
    }

    /// A quantile of the latency, in milliseconds.
    pub(crate) fn latency(&self, quantile: f64) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * quantile) as usize;
        1_000.0
            * sorted
                .get(index.min(sorted.len().saturating_sub(1)))
                .copied()
                .unwrap_or(0.0)
    }

    /// Percentage of calls that were answered.
    pub(crate) fn answered_percent(&self) -> f64 {
        let answered = self.latencies.len() as f64;
        let bad = (self.refused + self.unknown + self.unanswered + self.silent) as f64;
        100.0 * answered / (answered + bad).max(1.0)
    }

    /// Percentage of calls that were answered within a second.
    pub(crate) fn prompt_percent(&self) -> f64 {
        let prompt = self
            .latencies
            .iter()
            .filter(|latency| **latency <= 1.0)
            .count();
        self.answered_percent() * prompt as f64 / self.latencies.len().max(1) as f64
    }
}

/// A column of a table: its title and its value.
pub(crate) type Column = (&'static str, fn(&Measurements) -> f64);

fn cell(values: &[f64]) -> String {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let min = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if min == max {
        return format_short(mean);
    }
    format!(
        "{} ({}–{})",
        format_short(mean),
        format_short(min),
        format_short(max)
    )
}

fn format_short(value: f64) -> String {
    match value.abs() {
        _ if value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}

/// Prints a table's title and header.
pub(crate) fn print_header(title: &str, columns: &[Column]) {
    println!("\n{title}\n");
    let names: Vec<&str> = columns.iter().map(|column| column.0).collect();
    println!("| variant | {} |", names.join(" | "));
    println!("|---|{}", "---|".repeat(columns.len()));
}

/// Prints one row: the mean over the runs, with the minimum and maximum.
pub(crate) fn print_row(name: &str, columns: &[Column], runs: &[Measurements]) {
    let cells = columns.iter().map(|(_, value)| {
        let values: Vec<f64> = runs.iter().map(value).collect();
        cell(&values)
    });
    println!("| {name} | {} |", cells.collect::<Vec<_>>().join(" | "));
}

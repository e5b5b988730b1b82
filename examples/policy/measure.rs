//! Figures of one run, and their table over several seeds.

use std::collections::BTreeMap;

use godwitreel::reason::Reason;

/// What one run gave.
#[derive(Debug, Default)]
pub(crate) struct Measure {
    slots: usize,
    latencies: Vec<f64>,
    /// Answers to non-idempotent requests.
    pub(crate) once: u64,
    /// Calls that ended in a refusal.
    pub(crate) refused: u64,
    /// Refusals, those of calls that came back included.
    pub(crate) refusals: u64,
    /// Non-idempotent requests whose outcome stayed unknown.
    pub(crate) unknown: u64,
    /// Idempotent requests without an answer within the deadline.
    pub(crate) late: u64,
    /// Callers that never heard anything.
    pub(crate) silent: u64,
    /// Non-idempotent requests that ran twice.
    pub(crate) doubles: u64,
    /// Non-idempotent requests that ran though the caller was told otherwise.
    pub(crate) lies: u64,
    /// Packets that reached an address that runs another service.
    pub(crate) misdirected: u64,
    /// Feeds whose callers were told to open again.
    pub(crate) feeds_ended: u64,
    /// Feeds without a notification for too long.
    pub(crate) feeds_stalled: u64,
    /// Feeds opened.
    pub(crate) feeds_open: u64,
    reasons: BTreeMap<Reason, u64>,
    samples: u64,
    peaks: f64,
    peak_samples: u64,
    over: f64,
    feed_peaks: f64,
    feed_peak: f64,
    /// Last time at which feeds were uneven by more than a quarter.
    pub(crate) uneven_until: f64,
    /// Last time at which a server had more than three requests per slot.
    pub(crate) crowded_until: f64,
}

impl Measure {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    pub(crate) fn answered(&mut self, latency: f64, once: bool) {
        self.latencies.push(latency);
        self.once += u64::from(once);
    }

    pub(crate) fn note(&mut self, count: bool, reason: Reason) {
        *self.reasons.entry(reason).or_default() += u64::from(count);
    }

    pub(crate) fn sample(&mut self, now: f64, loads: &[(usize, usize)]) {
        const UNEVEN: f64 = 1.25;
        const CROWDED: usize = 3;
        self.samples += 1;
        let servers = loads.len().max(1) as f64;
        let sum: usize = loads.iter().map(|load| load.0).sum();
        let peak = loads.iter().map(|load| load.0).max().unwrap_or(0);
        if sum > 0 {
            self.peaks += peak as f64 * servers / sum as f64;
            self.peak_samples += 1;
        }
        let over = loads.iter().filter(|load| load.0 > self.slots).count();
        self.over += over as f64 / servers;
        if peak > CROWDED * self.slots {
            self.crowded_until = now;
        }
        let feeds: usize = loads.iter().map(|load| load.1).sum();
        let most = loads.iter().map(|load| load.1).max().unwrap_or(0);
        if feeds > 0 {
            let uneven = most as f64 * servers / feeds as f64;
            self.feed_peaks += uneven;
            self.feed_peak = uneven;
            if uneven > UNEVEN {
                self.uneven_until = now;
            }
        }
    }

    pub(crate) fn reason(&self, reason: Reason) -> f64 {
        self.reasons.get(&reason).copied().unwrap_or(0) as f64
    }

    /// Mean over time of the most loaded server's requests over the mean.
    pub(crate) fn peak(&self) -> f64 {
        self.peaks / self.peak_samples.max(1) as f64
    }

    /// Percent of server time with more requests than slots.
    pub(crate) fn over(&self) -> f64 {
        100.0 * self.over / self.samples.max(1) as f64
    }

    /// Mean over time of the peak of feeds over their mean.
    pub(crate) fn feed_peak(&self) -> f64 {
        self.feed_peaks / self.samples.max(1) as f64
    }

    /// A latency percentile in milliseconds.
    pub(crate) fn latency(&self, share: f64) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_by(f64::total_cmp);
        let place = (sorted.len() as f64 * share) as usize;
        1_000.0
            * sorted
                .get(place.min(sorted.len().saturating_sub(1)))
                .copied()
                .unwrap_or(0.0)
    }

    /// Percent of calls answered.
    pub(crate) fn good(&self) -> f64 {
        let answered = self.latencies.len() as f64;
        let bad = (self.refused + self.unknown + self.late + self.silent) as f64;
        100.0 * answered / (answered + bad).max(1.0)
    }

    /// Percent of calls answered within a second.
    pub(crate) fn prompt(&self) -> f64 {
        let prompt = self
            .latencies
            .iter()
            .filter(|latency| **latency <= 1.0)
            .count();
        self.good() * prompt as f64 / self.latencies.len().max(1) as f64
    }
}

/// A column of a table.
pub(crate) type Column = (&'static str, fn(&Measure) -> f64);

fn cell(values: &[f64]) -> String {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if least == most {
        return short(mean);
    }
    format!("{} ({}–{})", short(mean), short(least), short(most))
}

fn short(value: f64) -> String {
    match value.abs() {
        _ if value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}

/// Prints the head of a table.
pub(crate) fn head(title: &str, columns: &[Column]) {
    println!("\n{title}\n");
    let names: Vec<&str> = columns.iter().map(|column| column.0).collect();
    println!("| variant | {} |", names.join(" | "));
    println!("|---|{}", "---|".repeat(columns.len()));
}

/// Prints one row: the mean over the runs, with the least and the greatest.
pub(crate) fn row(name: &str, columns: &[Column], runs: &[Measure]) {
    let cells = columns.iter().map(|(_, value)| {
        let values: Vec<f64> = runs.iter().map(value).collect();
        cell(&values)
    });
    println!("| {name} | {} |", cells.collect::<Vec<_>>().join(" | "));
}

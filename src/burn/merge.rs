//! The burn report: samples of many instances as one.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::burn::Rate;
use crate::burn::Sample;
use crate::burn::Tally;
use crate::burn::window::Count;
use crate::burn::window::Window;
use crate::document::Objective;
use crate::id;

/// What is to be done about a service, the least urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Nothing.
    Ok,
    /// Find out: an instance was not heard from, so nobody knows.
    UnknownGap,
    /// Act in time: 3 d and 6 h both burn above [`Rate::TICKET`].
    Ticket,
    /// Act now: 1 h and 5 min both burn above [`Rate::PAGE`].
    Page,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Ok => "ok",
            Self::UnknownGap => "unknown-gap",
            Self::Ticket => "ticket",
            Self::Page => "page",
        })
    }
}

/// One window of one service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Events of all instances.
    pub count: Count,
    /// The burn rate; none without events.
    pub rate: Option<Rate>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The strictest objective that an instance has in force.
    pub objective: Objective,
    /// All objectives in force, if instances differ.
    pub conflict: Vec<Objective>,
    /// Figures by window.
    pub windows: BTreeMap<Window, Figure>,
    /// What is to be done.
    pub verdict: Verdict,
}

/// A sample that is part of the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// Which instance, in which of its lives.
    pub holder: id::Holder,
    /// How far its counts reach back, in milliseconds.
    pub covered_ms: u64,
}

/// An instance that was not heard from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Gap {
    /// Which instance.
    pub instance: id::Instance,
    /// What was seen instead of its sample.
    pub reason: String,
}

/// Burn of all services at all instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Where the figures come from.
    pub heard: Vec<Heard>,
    /// Where none came from.
    pub gaps: Vec<Gap>,
    /// Why the list of instances may be incomplete, if it may.
    #[serde(default)]
    pub unlisted: Option<String>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Line>,
}

impl Report {
    /// Merges samples, in any order and number, and names the gaps.
    ///
    /// Of several samples of one holder only the newest counts. A new life of an
    /// instance counts from zero, so an old life's sample is counted beside it.
    pub fn merge(samples: &[Sample], mut gaps: Vec<Gap>) -> Self {
        let samples = newest(samples);
        gaps.sort();
        gaps.dedup();
        let heard = samples.values().map(|sample| Heard {
            holder: sample.holder.clone(),
            covered_ms: sample.covered_ms,
        });
        let blind = samples.is_empty() || !gaps.is_empty();
        let services = by_service(samples.values().copied());
        let services = services.into_iter();
        Self {
            heard: heard.collect(),
            services: services
                .map(|(service, tallies)| (service, line(&tallies, blind)))
                .collect(),
            gaps,
            unlisted: None,
        }
    }

    /// Adds what became known to be missing after the merge: instances that were
    /// not heard, and a list of instances that may be incomplete. A service that
    /// looked well before is not known to be.
    pub fn add_missing(&mut self, gaps: Vec<Gap>, unlisted: Option<String>) {
        if gaps.is_empty() && unlisted.is_none() {
            return;
        }
        self.gaps.extend(gaps);
        self.gaps.sort();
        self.gaps.dedup();
        self.unlisted = unlisted;
        for line in self.services.values_mut() {
            line.verdict = line.verdict.max(Verdict::UnknownGap);
        }
    }

    /// Whether every instance was heard, and it is known which ones there are.
    pub fn is_whole(&self) -> bool {
        !self.heard.is_empty() && self.gaps.is_empty() && self.unlisted.is_none()
    }

    /// The most urgent verdict; [`Verdict::UnknownGap`] if nobody was heard.
    pub fn worst(&self) -> Verdict {
        let least = if self.is_whole() {
            Verdict::Ok
        } else {
            Verdict::UnknownGap
        };
        let verdicts = self.services.values().map(|line| line.verdict);
        verdicts.fold(least, Verdict::max)
    }
}

/// The sample of each holder that covers most; a life's coverage only grows.
fn newest(samples: &[Sample]) -> BTreeMap<&id::Holder, &Sample> {
    let mut newest: BTreeMap<&id::Holder, &Sample> = BTreeMap::new();
    for sample in samples {
        let kept = newest.entry(&sample.holder).or_insert(sample);
        if sample.covered_ms > kept.covered_ms {
            *kept = sample;
        }
    }
    newest
}

fn by_service<'a>(
    samples: impl Iterator<Item = &'a Sample>,
) -> BTreeMap<id::Service, Vec<&'a Tally>> {
    let mut services: BTreeMap<id::Service, Vec<&Tally>> = BTreeMap::new();
    for (service, tally) in samples.flat_map(|sample| &sample.services) {
        services.entry(service.clone()).or_default().push(tally);
    }
    services
}

fn line(tallies: &[&Tally], blind: bool) -> Line {
    let objectives = distinct(tallies);
    let objective = strictest(&objectives);
    let figures = Window::ALL.map(|window| (window, figure(tallies, window, &objective)));
    let windows = BTreeMap::from(figures);
    Line {
        objective,
        verdict: verdict(&windows, blind),
        conflict: if objectives.len() > 1 {
            objectives
        } else {
            Vec::new()
        },
        windows,
    }
}

fn distinct(tallies: &[&Tally]) -> Vec<Objective> {
    let mut objectives = Vec::new();
    for tally in tallies {
        if !objectives.contains(&tally.objective) {
            objectives.push(tally.objective);
        }
    }
    objectives
}

fn strictest(objectives: &[Objective]) -> Objective {
    let strictest = objectives.iter().copied().reduce(|a, b| Objective {
        good_percent: a.good_percent.max(b.good_percent),
        latency_ms: a.latency_ms.min(b.latency_ms),
    });
    strictest.unwrap_or_default()
}

fn figure(tallies: &[&Tally], window: Window, objective: &Objective) -> Figure {
    let counts = tallies
        .iter()
        .filter_map(|tally| tally.windows.get(&window));
    let count = counts.copied().fold(Count::default(), Count::plus);
    Figure {
        count,
        rate: Rate::of(count, objective),
    }
}

/// Two windows must agree: the long one shows that it matters, the short one that
/// it still goes on, so that an alert ends soon after its cause.
fn verdict(windows: &BTreeMap<Window, Figure>, blind: bool) -> Verdict {
    let above = |window, limit| {
        let rate = windows.get(&window).and_then(|figure| figure.rate);
        rate.is_some_and(|rate| rate > limit)
    };
    let all_above = |pair: [Window; 2], limit| pair.into_iter().all(|w| above(w, limit));
    if all_above([Window::Hour, Window::FiveMinutes], Rate::PAGE) {
        Verdict::Page
    } else if all_above([Window::ThreeDays, Window::SixHours], Rate::TICKET) {
        Verdict::Ticket
    } else if blind {
        Verdict::UnknownGap
    } else {
        Verdict::Ok
    }
}

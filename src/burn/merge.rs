//! The burn report: merges the samples of many instances.

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

/// Action that a service needs, the least urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No action.
    Ok,
    /// Not known: an instance gave no sample.
    UnknownGap,
    /// Act, though not at once: 3 d and 6 h both burn above [`Rate::TICKET`].
    Ticket,
    /// Act at once: 1 h and 5 min both burn above [`Rate::PAGE`].
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

/// Counts and burn rate of one service in one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Event counts of all instances.
    pub count: Count,
    /// The burn rate, or `None` if there are no events.
    pub rate: Option<Rate>,
}

/// The report on one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The strictest combination of the objectives in force at the instances.
    pub objective: Objective,
    /// All objectives in force, if instances have different ones; else empty.
    pub conflict: Vec<Objective>,
    /// Counts and burn rates by window.
    pub windows: BTreeMap<Window, WindowBurn>,
    /// Action that the service needs.
    pub verdict: Verdict,
}

/// Origin of a sample that is part of the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleSource {
    /// The instance and its incarnation.
    pub holder: id::Holder,
    /// Period that its counts cover, in milliseconds.
    pub covered_ms: u64,
}

/// An instance that gave no sample.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Gap {
    /// The instance.
    pub instance: id::Instance,
    /// Why there is no sample.
    pub reason: String,
}

/// Burn rates of all services over all instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The samples that the report includes.
    pub heard: Vec<SampleSource>,
    /// The instances without a sample.
    pub gaps: Vec<Gap>,
    /// Why the list of instances may be incomplete, if it may.
    #[serde(default)]
    pub unlisted: Option<String>,
    /// Services by name.
    pub services: BTreeMap<id::Service, ServiceBurn>,
}

impl Report {
    /// Merges any number of samples, in any order, and lists the gaps.
    ///
    /// Of several samples of one holder only the newest counts. A new incarnation of
    /// an instance counts from zero, so the samples of all its incarnations are added.
    pub fn merge(samples: &[Sample], mut gaps: Vec<Gap>) -> Self {
        let samples = newest_samples(samples);
        gaps.sort();
        gaps.dedup();
        let sources = samples.values().map(|sample| SampleSource {
            holder: sample.holder.clone(),
            covered_ms: sample.covered_ms,
        });
        let has_gaps = samples.is_empty() || !gaps.is_empty();
        let services = tallies_by_service(samples.values().copied());
        let services = services.into_iter();
        Self {
            heard: sources.collect(),
            services: services
                .map(|(service, tallies)| (service, service_burn(&tallies, has_gaps)))
                .collect(),
            gaps,
            unlisted: None,
        }
    }

    /// Adds gaps found after the merge: instances without a sample, and the reason why
    /// the list of instances may be incomplete. If there are any, the verdict of each
    /// service becomes at least [`Verdict::UnknownGap`].
    pub fn add_missing(&mut self, gaps: Vec<Gap>, unlisted: Option<String>) {
        if gaps.is_empty() && unlisted.is_none() {
            return;
        }
        self.gaps.extend(gaps);
        self.gaps.sort();
        self.gaps.dedup();
        self.unlisted = unlisted;
        for service in self.services.values_mut() {
            service.verdict = service.verdict.max(Verdict::UnknownGap);
        }
    }

    /// Whether every instance gave a sample and the list of instances is complete.
    pub fn is_complete(&self) -> bool {
        !self.heard.is_empty() && self.gaps.is_empty() && self.unlisted.is_none()
    }

    /// The most urgent verdict, at least [`Verdict::UnknownGap`] if the report has gaps.
    pub fn worst(&self) -> Verdict {
        let lowest = if self.is_complete() {
            Verdict::Ok
        } else {
            Verdict::UnknownGap
        };
        let verdicts = self.services.values().map(|service| service.verdict);
        verdicts.fold(lowest, Verdict::max)
    }
}

/// The newest sample of each holder: the one that covers the longest period, since an
/// incarnation's period only grows.
fn newest_samples(samples: &[Sample]) -> BTreeMap<&id::Holder, &Sample> {
    let mut newest: BTreeMap<&id::Holder, &Sample> = BTreeMap::new();
    for sample in samples {
        let current = newest.entry(&sample.holder).or_insert(sample);
        if sample.covered_ms > current.covered_ms {
            *current = sample;
        }
    }
    newest
}

fn tallies_by_service<'a>(
    samples: impl Iterator<Item = &'a Sample>,
) -> BTreeMap<id::Service, Vec<&'a Tally>> {
    let mut services: BTreeMap<id::Service, Vec<&Tally>> = BTreeMap::new();
    for (service, tally) in samples.flat_map(|sample| &sample.services) {
        services.entry(service.clone()).or_default().push(tally);
    }
    services
}

fn service_burn(tallies: &[&Tally], has_gaps: bool) -> ServiceBurn {
    let objectives = distinct_objectives(tallies);
    let objective = strictest(&objectives);
    let burns = Window::ALL.map(|window| (window, window_burn(tallies, window, &objective)));
    let windows = BTreeMap::from(burns);
    ServiceBurn {
        objective,
        verdict: verdict(&windows, has_gaps),
        conflict: if objectives.len() > 1 {
            objectives
        } else {
            Vec::new()
        },
        windows,
    }
}

fn distinct_objectives(tallies: &[&Tally]) -> Vec<Objective> {
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

fn window_burn(tallies: &[&Tally], window: Window, objective: &Objective) -> WindowBurn {
    let counts = tallies
        .iter()
        .filter_map(|tally| tally.windows.get(&window));
    let count = counts
        .copied()
        .fold(Count::default(), Count::saturating_add);
    WindowBurn {
        count,
        rate: Rate::of(count, objective),
    }
}

/// Two windows must both be above the limit: the long one shows that the burn is
/// significant, the short one that it continues, so that an alert ends soon after its
/// cause.
fn verdict(windows: &BTreeMap<Window, WindowBurn>, has_gaps: bool) -> Verdict {
    let above = |window, limit| {
        let rate = windows.get(&window).and_then(|burn| burn.rate);
        rate.is_some_and(|rate| rate > limit)
    };
    let all_above = |windows: [Window; 2], limit| windows.into_iter().all(|w| above(w, limit));
    if all_above([Window::Hour, Window::FiveMinutes], Rate::PAGE) {
        Verdict::Page
    } else if all_above([Window::ThreeDays, Window::SixHours], Rate::TICKET) {
        Verdict::Ticket
    } else if has_gaps {
        Verdict::UnknownGap
    } else {
        Verdict::Ok
    }
}

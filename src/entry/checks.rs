//! Checks of an entry instance's settings that go beyond one field's form.

use crate::entry::Settings;
use crate::replica::Bandwidth;
use crate::settings::checks::Check;
use crate::settings::checks::range;
use crate::settings::checks::refuse;

/// Longest time that a store may be silent unnoticed, in milliseconds.
const MOST_NOTICE: u64 = 30_000;

/// Longest time in which changes must be in force, in milliseconds.
const MOST_BOUND: u64 = 86_400_000;

/// Longest pause in which changes gather, in milliseconds. Servers that drain
/// must get no new flows 3 s after they said so.
const MOST_GATHER: u64 = 2_000;

/// Longest wait for another instance's copy, in milliseconds: a fleet must be back
/// 12 s after all of it was killed.
const MOST_COPY_WAIT: u64 = 10_000;

/// Longest life of a flow, in seconds.
const MOST_FLOW_TTL: u64 = 86_400;

/// Longest planned stop, in milliseconds.
const MOST_GRACE: u64 = 3_600_000;

/// Greatest margin that still ever lets a flow leave its zone.
const MOST_SPILL: f64 = 1_000.0;

/// Least and greatest rate of a link, in Mbit/s: a modem's, and more than any
/// machine has.
const LEAST_LINK: f64 = 0.01;
const MOST_LINK: f64 = 10_000_000.0;

/// The first thing wrong with the settings.
pub(crate) fn settings(settings: &Settings) -> Check {
    stores(settings)
        .or_else(|| range("flow_ttl_s", settings.flow_ttl_s, 1, MOST_FLOW_TTL))
        .or_else(|| range("grace_ms", settings.grace_ms, 1, MOST_GRACE))
        .or_else(|| spill(settings.spill))
        .or_else(|| link(settings.link_mbps))
        .or_else(|| range("max_flows", settings.max_flows.into(), 1, 10_000_000))
        .or_else(|| ports(settings))
}

fn stores(settings: &Settings) -> Check {
    let store = &settings.store;
    if store.addresses.is_empty() {
        return refuse("store.addresses", "[]", "at least one address");
    }
    let reads = u64::from(store.reads_per_second.0);
    range("store.reads_per_second", reads, 2, 1_000_000)
        .or_else(|| range("store.notice_ms", store.notice_ms, 100, MOST_NOTICE))
        .or_else(|| bounds(&store.bounds_ms))
        .or_else(|| range("store.gather_ms", store.gather_ms, 0, MOST_GATHER))
        .or_else(|| range("store.copy_wait_ms", store.copy_wait_ms, 0, MOST_COPY_WAIT))
}

fn bounds(bounds_ms: &[u64]) -> Check {
    let mut checks = bounds_ms.iter().enumerate().map(|(place, bound)| {
        let field = format!("store.bounds_ms[{place}]");
        range(&field, *bound, 1, MOST_BOUND)
    });
    checks.find_map(|check| check)
}

fn spill(spill: f64) -> Check {
    if (0.0..=MOST_SPILL).contains(&spill) {
        return None;
    }
    refuse("spill", spill, format_args!("0 to {MOST_SPILL}"))
}

fn link(link: Bandwidth) -> Check {
    if (LEAST_LINK..=MOST_LINK).contains(&link.0) {
        return None;
    }
    let allowed = format_args!("{LEAST_LINK} to {MOST_LINK} Mbit/s").to_string();
    refuse("link_mbps", link, allowed)
}

fn ports(settings: &Settings) -> Check {
    if settings.metrics == settings.ready {
        return refuse("metrics", settings.metrics, "another address than ready");
    }
    None
}

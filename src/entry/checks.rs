//! Validates value ranges and combinations in an entry instance's settings.

use crate::entry::Settings;
use crate::replica::Bandwidth;
use crate::settings::Milliseconds;
use crate::settings::checks::Check;
use crate::settings::checks::positive;
use crate::settings::checks::range;
use crate::settings::checks::refuse;

/// Upper limit of `store.notice_ms`.
const MAX_NOTICE_MS: u64 = 30_000;

/// Upper limit of `store.gather_ms`. A draining server must get no new flows later than
/// 3 s after it announced that it drains, so changes can't be held back for longer.
const MAX_GATHER_MS: u64 = 2_000;

/// Upper limit of `store.copy_wait_ms`. A fleet must be available 12 s after all of its
/// instances were killed.
const MAX_COPY_WAIT_MS: u64 = 10_000;

/// Upper limit of `spill`; with a greater margin no flow would ever leave its zone.
const MAX_SPILL: f64 = 1_000.0;

/// Upper limit of `balancing.owners_per_server`.
const MAX_OWNERS: u64 = 1_000;

/// Lower limit of `link_mbps`: the rate of a modem.
const MIN_LINK_MBPS: f64 = 0.01;

/// Returns the first invalid setting, if there is one.
pub(crate) fn settings(settings: &Settings) -> Check {
    check_store(settings)
        .or_else(|| positive("flow_ttl_s", settings.flow_ttl_s.0))
        .or_else(|| check_grace(settings))
        .or_else(|| check_spill(settings.spill))
        .or_else(|| check_balancing(settings))
        .or_else(|| check_link(settings.link_mbps))
        .or_else(|| range("max_flows", settings.max_flows.into(), 1, 10_000_000))
        .or_else(|| check_ports(settings))
}

fn check_store(settings: &Settings) -> Check {
    let store = &settings.store;
    if store.addresses.is_empty() {
        return refuse("store.addresses", "[]", "at least one address");
    }
    let reads = u64::from(store.reads_per_second.0);
    range("store.reads_per_second", reads, 2, 1_000_000)
        .or_else(|| range("store.notice_ms", store.notice_ms, 100, MAX_NOTICE_MS))
        .or_else(|| check_bounds(&store.bounds_ms))
        .or_else(|| positive("store.catch_up_ms", store.catch_up_ms.0))
        .or_else(|| range("store.gather_ms", store.gather_ms, 0, MAX_GATHER_MS))
        .or_else(|| {
            range(
                "store.copy_wait_ms",
                store.copy_wait_ms,
                0,
                MAX_COPY_WAIT_MS,
            )
        })
}

fn check_bounds(bounds_ms: &[Milliseconds]) -> Check {
    let mut checks = bounds_ms.iter().enumerate().map(|(index, bound)| {
        let field = format!("store.bounds_ms[{index}]");
        positive(&field, bound.0)
    });
    checks.find_map(|check| check)
}

fn check_grace(settings: &Settings) -> Check {
    match (settings.grace_ms, settings.grace_s) {
        (Some(_), Some(grace)) => refuse("grace_s", grace.0, "either grace_s or grace_ms"),
        (Some(grace), None) => positive("grace_ms", grace.0),
        (None, Some(grace)) => positive("grace_s", grace.0),
        (None, None) => None,
    }
}

fn check_balancing(settings: &Settings) -> Check {
    let owners = settings.balancing.owners_per_server.into();
    range("balancing.owners_per_server", owners, 0, MAX_OWNERS)
}

fn check_spill(spill: f64) -> Check {
    if (0.0..=MAX_SPILL).contains(&spill) {
        return None;
    }
    refuse("spill", spill, format_args!("0 to {MAX_SPILL}"))
}

fn check_link(link: Bandwidth) -> Check {
    if link.0 >= MIN_LINK_MBPS {
        return None;
    }
    let allowed = format_args!("{MIN_LINK_MBPS} Mbit/s or more").to_string();
    refuse("link_mbps", link, allowed)
}

fn check_ports(settings: &Settings) -> Check {
    if settings.metrics == settings.ready {
        return refuse("metrics", settings.metrics, "an address other than ready");
    }
    None
}

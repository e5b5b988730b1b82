//! Checks of settings that go beyond one field's form.

use std::net::SocketAddr;

use crate::document;
use crate::id::Endpoint;
use crate::settings::Daemon;
use crate::settings::jsonc::Refusal;

/// Fewest slices; below, one slice is too large a share of the traffic.
const MIN_SLICES: u64 = 16;
/// Most slices; above, the slice table outgrows its keys in the platform.
const MAX_SLICES: u64 = 65_536;
/// Longest time that a setting may give, in seconds.
const DAY: u64 = 86_400;
/// Smallest largest datagram, in bytes: what every IPv4 host has to accept.
const MIN_DATAGRAM: u64 = 576;
/// Largest payload of a UDP datagram over IPv4, in bytes.
const MAX_DATAGRAM: u64 = 65_507;
/// Smallest budget in which heartbeats fit, in bytes per second.
const MIN_PEER_BYTES: u64 = 256;
/// Largest budget for control traffic, in bytes per second.
const MAX_PEER_BYTES: u64 = 10_000_000;

pub(crate) type Check = Option<Refusal>;

pub(crate) fn refuse(field: impl ToString, value: impl ToString, allowed: impl ToString) -> Check {
    Some(Refusal {
        field: field.to_string(),
        value: value.to_string(),
        allowed: allowed.to_string(),
    })
}

pub(crate) fn range(field: &str, value: u64, least: u64, most: u64) -> Check {
    if (least..=most).contains(&value) {
        return None;
    }
    refuse(field, value, format_args!("{least} to {most}"))
}

/// The first thing wrong with a daemon's settings.
pub(crate) fn daemon(daemon: &Daemon) -> Check {
    numbers(daemon)
        .or_else(|| times(daemon))
        .or_else(|| lists(daemon))
        .or_else(|| addresses(daemon))
        .or_else(|| modules(daemon))
}

/// The first thing wrong with a service document.
pub(crate) fn service(service: &document::Service) -> Check {
    reachable("address", service.address)
}

fn numbers(daemon: &Daemon) -> Check {
    let limits = &daemon.limits;
    let flows = u64::from(limits.max_flows);
    let bytes = u64::from(daemon.peer_bytes_per_second.0);
    range("workers", daemon.workers.into(), 1, 64)
        .or_else(|| slices(daemon.slices))
        .or_else(|| range("limits.max_flows", flows, 1, 10_000_000))
        .or_else(|| range("limits.max_parked", limits.max_parked.into(), 1, 1_000_000))
        .or_else(|| {
            let datagram = limits.max_datagram.into();
            range("limits.max_datagram", datagram, MIN_DATAGRAM, MAX_DATAGRAM)
        })
        .or_else(|| {
            range(
                "peer_bytes_per_second",
                bytes,
                MIN_PEER_BYTES,
                MAX_PEER_BYTES,
            )
        })
}

fn slices(slices: u32) -> Check {
    let value = u64::from(slices);
    if value.is_power_of_two() && (MIN_SLICES..=MAX_SLICES).contains(&value) {
        return None;
    }
    let allowed = format_args!("a power of two, {MIN_SLICES} to {MAX_SLICES}").to_string();
    refuse("slices", slices, allowed)
}

fn times(daemon: &Daemon) -> Check {
    let probe = &daemon.probe;
    range("heartbeat_ms", daemon.heartbeat_ms, 10, 60_000)
        .or_else(|| range("suspect_after_ms", daemon.suspect_after_ms, 21, 600_000))
        .or_else(|| suspicion(daemon))
        .or_else(|| range("isolation_limit_s", daemon.isolation_limit_s, 1, DAY))
        .or_else(|| range("outsider_wait_s", daemon.outsider_wait_s, 2, 2 * DAY))
        .or_else(|| takeover(daemon))
        .or_else(|| range("stop_grace_s", daemon.stop_grace_s, 1, 3_600))
        .or_else(|| range("probe.interval_ms", probe.interval_ms, 10, 60_000))
        .or_else(|| range("probe.timeout_ms", probe.timeout_ms, 1, probe.interval_ms))
        .or_else(|| {
            let least = probe.interval_ms + probe.timeout_ms;
            range("probe.confirm_for_ms", probe.confirm_for_ms, least, 600_000)
        })
}

/// A single lost heartbeat must not make a peer suspect.
fn suspicion(daemon: &Daemon) -> Check {
    if daemon.suspect_after_ms > 2 * daemon.heartbeat_ms {
        return None;
    }
    let allowed =
        format_args!("more than twice heartbeat_ms ({})", daemon.heartbeat_ms).to_string();
    refuse("suspect_after_ms", daemon.suspect_after_ms, allowed)
}

/// An outsider may take a slice only when the old pair has surely stopped; were
/// it sooner, a booking could run at both and send two trucks.
fn takeover(daemon: &Daemon) -> Check {
    if daemon.outsider_wait_s > daemon.isolation_limit_s {
        return None;
    }
    let allowed =
        format_args!("more than isolation_limit_s ({})", daemon.isolation_limit_s).to_string();
    refuse("outsider_wait_s", daemon.outsider_wait_s, allowed)
}

fn lists(daemon: &Daemon) -> Check {
    if daemon.platform.is_empty() {
        return refuse("platform", "[]", "at least one address");
    }
    for (index, base) in daemon.platform.iter().enumerate() {
        if daemon.platform[..index].contains(base) {
            return refuse(format_args!("platform[{index}]"), base, "each address once");
        }
    }
    match daemon.keys.as_slice() {
        [_] => None,
        [first, second] if first != second => None,
        _ => refuse("keys", daemon.keys.len(), "one key, or two that differ"),
    }
}

/// One address that the daemon binds.
struct Bound {
    field: String,
    address: Endpoint,
}

fn addresses(daemon: &Daemon) -> Check {
    let bound = bound(daemon);
    for (index, this) in bound.iter().enumerate() {
        if this.address.0.port() == 0 {
            return refuse(&this.field, this.address, "a port from 1 to 65535");
        }
        let clash = bound[..index]
            .iter()
            .find(|other| overlap(this.address.0, other.address.0));
        if let Some(other) = clash {
            let allowed = format_args!("an address other than that of {}", other.field).to_string();
            return refuse(&this.field, this.address, allowed);
        }
    }
    advertised(daemon, &bound)
}

fn bound(daemon: &Daemon) -> Vec<Bound> {
    let own = [("peer", daemon.peer), ("status", daemon.status)];
    let own = own.into_iter().map(|(field, address)| Bound {
        field: field.to_owned(),
        address,
    });
    let listeners = daemon.listeners.iter().map(|(service, address)| Bound {
        field: format!("listeners.{service}"),
        address: *address,
    });
    own.chain(listeners).collect()
}

/// Whether two sockets would claim the same packets; the unspecified address
/// claims those of every other one.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let wild = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (wild || a.ip() == b.ip())
}

fn advertised(daemon: &Daemon, bound: &[Bound]) -> Check {
    let Some(address) = daemon.peer_advertise else {
        return reachable("peer", daemon.peer).map(|refusal| Refusal {
            allowed: format!("{}, or peer_advertise beside it", refusal.allowed),
            ..refusal
        });
    };
    let clash = bound
        .iter()
        .find(|other| other.field != "peer" && other.address == address);
    match clash {
        Some(other) => {
            let allowed = format_args!("an address other than that of {}", other.field).to_string();
            refuse("peer_advertise", address, allowed)
        }
        None => reachable("peer_advertise", address),
    }
}

/// Whether others can send to an address.
fn reachable(field: &str, address: Endpoint) -> Check {
    if address.0.port() != 0 && !address.0.ip().is_unspecified() {
        return None;
    }
    refuse(
        field,
        address,
        "an IP address and port that others can send to",
    )
}

fn modules(daemon: &Daemon) -> Check {
    let legal = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | ':');
    let bad = daemon
        .log
        .modules
        .keys()
        .find(|module| module.is_empty() || !module.chars().all(legal))?;
    let field = format!("log.modules.{bad}");
    refuse(field, bad, "a module's path as in godwitreel::platform")
}

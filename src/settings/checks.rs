//! Checks of settings beyond the syntax of single fields.

use std::net::SocketAddr;

use crate::document;
use crate::id::Endpoint;
use crate::settings::Daemon;
use crate::settings::jsonc::Refusal;

/// Smallest number of slices; with fewer, one slice is too large a share of the traffic.
const MIN_SLICES: u64 = 16;
/// Largest number of slices; with more, the slice table does not fit into its keys in the
/// platform.
const MAX_SLICES: u64 = 65_536;
/// Seconds per day; upper bound of long times.
const DAY_S: u64 = 86_400;
/// Smallest value of `limits.max_datagram`, in bytes: the size that every IPv4 host must
/// accept.
const MIN_MAX_DATAGRAM: u64 = 576;
/// Largest payload of a UDP datagram over IPv4, in bytes.
const MAX_UDP_PAYLOAD: u64 = 65_507;
/// Smallest budget for control traffic, in bytes per second; heartbeats must fit into it.
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

pub(crate) fn range(field: &str, value: u64, min: u64, max: u64) -> Check {
    if (min..=max).contains(&value) {
        return None;
    }
    refuse(field, value, format_args!("{min} to {max}"))
}

pub(crate) fn positive(field: &str, value: f64) -> Check {
    if value > 0.0 {
        return None;
    }
    refuse(field, value, "a number above 0")
}

/// The first refused field of a daemon's settings.
pub(crate) fn daemon(daemon: &Daemon) -> Check {
    check_numbers(daemon)
        .or_else(|| check_times(daemon))
        .or_else(|| check_lists(daemon))
        .or_else(|| check_addresses(daemon))
        .or_else(|| check_log_modules(daemon))
}

/// The first refused field of a service document.
pub(crate) fn service(service: &document::Service) -> Check {
    check_reachable("address", service.address)
}

fn check_numbers(daemon: &Daemon) -> Check {
    let limits = &daemon.limits;
    let flows = u64::from(limits.max_flows);
    let bytes = u64::from(daemon.peer_bytes_per_second.0);
    range("workers", daemon.workers.into(), 1, 64)
        .or_else(|| check_slices(daemon.slices))
        .or_else(|| range("limits.max_flows", flows, 1, 10_000_000))
        .or_else(|| range("limits.max_parked", limits.max_parked.into(), 1, 1_000_000))
        .or_else(|| {
            let datagram = limits.max_datagram.into();
            range(
                "limits.max_datagram",
                datagram,
                MIN_MAX_DATAGRAM,
                MAX_UDP_PAYLOAD,
            )
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

fn check_slices(slices: u32) -> Check {
    let value = u64::from(slices);
    if value.is_power_of_two() && (MIN_SLICES..=MAX_SLICES).contains(&value) {
        return None;
    }
    let allowed = format_args!("a power of two, {MIN_SLICES} to {MAX_SLICES}").to_string();
    refuse("slices", slices, allowed)
}

fn check_times(daemon: &Daemon) -> Check {
    let probe = &daemon.probe;
    range("heartbeat_ms", daemon.heartbeat_ms, 10, 60_000)
        .or_else(|| range("suspect_after_ms", daemon.suspect_after_ms, 21, 600_000))
        .or_else(|| check_suspect_after(daemon))
        .or_else(|| range("isolation_limit_s", daemon.isolation_limit_s, 1, DAY_S))
        .or_else(|| range("outsider_wait_s", daemon.outsider_wait_s, 2, 2 * DAY_S))
        .or_else(|| check_takeover_wait(daemon))
        .or_else(|| range("stop_grace_s", daemon.stop_grace_s, 1, 3_600))
        .or_else(|| range("probe.interval_ms", probe.interval_ms, 10, 60_000))
        .or_else(|| range("probe.timeout_ms", probe.timeout_ms, 1, probe.interval_ms))
        .or_else(|| {
            let min_confirm_ms = probe.interval_ms + probe.timeout_ms;
            range(
                "probe.confirm_for_ms",
                probe.confirm_for_ms,
                min_confirm_ms,
                600_000,
            )
        })
}

/// Requires that a single lost heartbeat does not make a peer suspected.
fn check_suspect_after(daemon: &Daemon) -> Check {
    if daemon.suspect_after_ms > 2 * daemon.heartbeat_ms {
        return None;
    }
    let allowed =
        format_args!("more than twice heartbeat_ms ({})", daemon.heartbeat_ms).to_string();
    refuse("suspect_after_ms", daemon.suspect_after_ms, allowed)
}

/// Requires that an instance takes over a slice without its records only after the old
/// home and backup have stopped non-idempotent work for certain. If it took over
/// sooner, a booking could run at both instances and send two trucks.
fn check_takeover_wait(daemon: &Daemon) -> Check {
    if daemon.outsider_wait_s > daemon.isolation_limit_s {
        return None;
    }
    let allowed =
        format_args!("more than isolation_limit_s ({})", daemon.isolation_limit_s).to_string();
    refuse("outsider_wait_s", daemon.outsider_wait_s, allowed)
}

fn check_lists(daemon: &Daemon) -> Check {
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

/// An address that the daemon binds, and the field that sets it.
struct BoundAddress {
    field: String,
    address: Endpoint,
}

fn check_addresses(daemon: &Daemon) -> Check {
    let bound = bound_addresses(daemon);
    for (index, current) in bound.iter().enumerate() {
        if current.address.0.port() == 0 {
            return refuse(&current.field, current.address, "a port from 1 to 65535");
        }
        let conflict = bound[..index]
            .iter()
            .find(|other| overlap(current.address.0, other.address.0));
        if let Some(other) = conflict {
            let allowed = format_args!("an address other than that of {}", other.field).to_string();
            return refuse(&current.field, current.address, allowed);
        }
    }
    check_advertised_address(daemon, &bound)
}

fn bound_addresses(daemon: &Daemon) -> Vec<BoundAddress> {
    let own = [("peer", daemon.peer), ("status", daemon.status)];
    let own = own.into_iter().map(|(field, address)| BoundAddress {
        field: field.to_owned(),
        address,
    });
    let listeners = daemon
        .listeners
        .iter()
        .map(|(service, address)| BoundAddress {
            field: format!("listeners.{service}"),
            address: *address,
        });
    own.chain(listeners).collect()
}

/// Whether two sockets would receive the same packets. The unspecified address covers
/// every other address.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let has_wildcard = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (has_wildcard || a.ip() == b.ip())
}

fn check_advertised_address(daemon: &Daemon, bound: &[BoundAddress]) -> Check {
    let Some(address) = daemon.peer_advertise else {
        return check_reachable("peer", daemon.peer).map(|refusal| Refusal {
            allowed: format!("{}, or peer_advertise beside it", refusal.allowed),
            ..refusal
        });
    };
    let conflict = bound
        .iter()
        .find(|other| other.field != "peer" && other.address == address);
    match conflict {
        Some(other) => {
            let allowed = format_args!("an address other than that of {}", other.field).to_string();
            refuse("peer_advertise", address, allowed)
        }
        None => check_reachable("peer_advertise", address),
    }
}

/// Requires an address that other hosts can send to.
fn check_reachable(field: &str, address: Endpoint) -> Check {
    if address.0.port() != 0 && !address.0.ip().is_unspecified() {
        return None;
    }
    refuse(
        field,
        address,
        "an IP address and port that others can send to",
    )
}

fn check_log_modules(daemon: &Daemon) -> Check {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | ':');
    let bad = daemon
        .log
        .modules
        .keys()
        .find(|module| module.is_empty() || !module.chars().all(is_allowed))?;
    let field = format!("log.modules.{bad}");
    refuse(field, bad, "a module's path as in godwitreel::platform")
}

//! This instance's registration in the platform, kept alive by a lease.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::INSTANCES;
use crate::control::Registration;
use crate::error::Result;
use crate::platform::Client;
use crate::platform::Lease;
use crate::platform::ResolvedWrite;

/// Life of the lease without renewal.
const TTL: Duration = Duration::from_secs(30);

/// Time between two renewals.
const RENEW_EVERY: Duration = Duration::from_secs(10);

/// Wait after a failure.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Keeps the newest registration in the platform until the sender is dropped,
/// then withdraws it.
pub(crate) async fn keep(client: Client, mut wanted: watch::Receiver<Registration>) {
    let mut lease = None;
    loop {
        let registration = wanted.borrow_and_update().clone();
        let wait = match write(&client, &mut lease, &registration).await {
            Ok(()) => RENEW_EVERY,
            Err(_) => RETRY_AFTER,
        };
        if !pause(&client, &mut lease, &mut wanted, wait).await {
            break;
        }
    }
    if let Some(lease) = lease {
        let _ = client.lease_revoke(lease).await;
    }
}

/// Renews until the registration changes or the lease is lost; tells whether to
/// go on.
async fn pause(
    client: &Client,
    lease: &mut Option<Lease>,
    wanted: &mut watch::Receiver<Registration>,
    wait: Duration,
) -> bool {
    let mut next = Instant::now() + wait;
    loop {
        tokio::select! {
            changed = wanted.changed() => return changed.is_ok(),
            () = sleep(next.saturating_duration_since(Instant::now())) => {}
        }
        let Some(held) = *lease else {
            return true;
        };
        match client.lease_keepalive(held).await {
            Ok(left) if !left.is_zero() => next = Instant::now() + RENEW_EVERY,
            Ok(_) | Err(crate::Error::Refused { .. }) => {
                // The lease lapsed while the platform or this process was away;
                // the registration went with it and must be written anew.
                *lease = None;
                return true;
            }
            Err(_) => next = Instant::now() + RETRY_AFTER,
        }
    }
}

async fn write(
    client: &Client,
    lease: &mut Option<Lease>,
    registration: &Registration,
) -> Result<()> {
    let held = match *lease {
        Some(held) => held,
        None => client.lease_grant(TTL).await?,
    };
    *lease = Some(held);
    let key = format!("{INSTANCES}{}", registration.holder.instance);
    let found = client.get(&key).await?;
    let value = serde_json::to_vec(registration).unwrap_or_default();
    let expected = found.map(|entry| entry.mod_revision);
    let written = client
        .compare_and_swap_resolved(&key, expected, &value, Some(held))
        .await?;
    match written {
        ResolvedWrite::Done(_) => Ok(()),
        _ => Err(crate::Error::Unanswered {
            step: "registration",
            peer: "platform".to_owned(),
            reason: "another write came first".to_owned(),
        }),
    }
}

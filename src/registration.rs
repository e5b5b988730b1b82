//! Registers this instance in the platform, with a lease that is renewed.

use std::future;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::INSTANCES;
use crate::control::Registration;
use crate::error::Result;
use crate::platform::Client;
use crate::platform::Era;
use crate::platform::Lease;
use crate::platform::ResolvedWrite;

/// Lifetime of the lease without renewal.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Interval between renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// Delay after a failure.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// A lease and the era of the store that granted it. In another era, the store may have
/// granted the same lease to another instance.
#[derive(Clone, Copy)]
struct GrantedLease {
    lease: Lease,
    era: Era,
}

/// Writes the newest registration to the platform and renews its lease until the
/// sender is dropped. Then the lease is revoked, which removes the registration.
pub(crate) async fn maintain(client: Client, mut wanted: watch::Receiver<Registration>) {
    let mut lease = None;
    loop {
        let registration = wanted.borrow_and_update().clone();
        let wait = match write_registration(&client, &mut lease, &registration).await {
            Ok(()) => RENEWAL_INTERVAL,
            Err(_) => RETRY_DELAY,
        };
        if !renew_until_change(&client, &mut lease, &mut wanted, wait).await {
            break;
        }
    }
    if let Some(granted) = lease.filter(|granted| client.era() == Some(granted.era)) {
        let _ = client.lease_revoke(granted.lease).await;
    }
}

/// Waits until the store is restored and has lost the lease.
async fn wait_for_loss(client: &Client, lease: Option<GrantedLease>) {
    match lease {
        Some(granted) => client.wait_for_restore(granted.era).await,
        None => future::pending().await,
    }
}

/// Renews the lease until the registration changes or the lease is lost. Returns false
/// when the sender of registrations was dropped.
async fn renew_until_change(
    client: &Client,
    lease: &mut Option<GrantedLease>,
    wanted: &mut watch::Receiver<Registration>,
    wait: Duration,
) -> bool {
    let mut next_renewal = Instant::now() + wait;
    loop {
        tokio::select! {
            changed = wanted.changed() => return changed.is_ok(),
            () = sleep(next_renewal.saturating_duration_since(Instant::now())) => {}
            () = wait_for_loss(client, *lease) => {
                *lease = None;
                return true;
            }
        }
        let Some(current) = *lease else {
            return true;
        };
        match client.lease_keepalive(current.lease).await {
            Ok(left) if !left.is_zero() => next_renewal = Instant::now() + RENEWAL_INTERVAL,
            Ok(_) | Err(crate::Error::Refused { .. }) => {
                // The lease expired while the platform or this process was unavailable.
                // The registration was deleted with it and has to be written again.
                *lease = None;
                return true;
            }
            Err(_) => next_renewal = Instant::now() + RETRY_DELAY,
        }
    }
}

async fn write_registration(
    client: &Client,
    lease: &mut Option<GrantedLease>,
    registration: &Registration,
) -> Result<()> {
    let current = match *lease {
        Some(current) => current,
        None => {
            let granted = client.lease_grant(LEASE_TTL).await?;
            let era = client.era().unwrap_or_default();
            GrantedLease {
                lease: granted,
                era,
            }
        }
    };
    *lease = Some(current);
    let key = format!("{INSTANCES}{}", registration.holder.instance);
    let found = client.get(&key).await?;
    let value = serde_json::to_vec(registration).unwrap_or_default();
    let expected = found.map(|entry| entry.mod_revision);
    let written = client
        .compare_and_swap_resolved(&key, expected, &value, Some(current.lease))
        .await?;
    match written {
        ResolvedWrite::Done(_) => Ok(()),
        _ => Err(crate::Error::Unanswered {
            step: "registration",
            peer: "platform".to_owned(),
            reason: "another write changed the registration first".to_owned(),
        }),
    }
}

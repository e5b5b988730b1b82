//! Registration of instances in the store, by entries with a lease, through which they
//! find each other.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::time;

use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::pacing::Backoff;
use crate::platform::Era;
use crate::platform::Lease;
use crate::platform::poll::Reader;
use crate::replica::Bandwidth;

/// Key prefix of the instances' entries.
pub(crate) const PREFIX: &str = "godwitreel/entry/";

/// Lifetime of an entry without renewal.
///
/// Until the entry expires, a stopped instance costs the one below it one failed
/// connection. So there is no hurry, and an outage of the store should not empty the
/// list.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Time between two renewals: a third of the lifetime, so that two renewals may fail.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// An instance that others may subscribe to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Availability zone of the instance.
    pub zone: id::Zone,
    /// Address at which the instance accepts subscribers.
    pub address: SocketAddrV4,
    /// Rate of the instance's link, by which instances are ranked.
    #[serde(default = "default_link")]
    pub link_mbps: Bandwidth,
}

/// An instance that does not report its link rate ranks last, and feeds others only if
/// no other instance can.
fn default_link() -> Bandwidth {
    Bandwidth(0.0)
}

/// Registration of an instance.
pub(crate) struct Registration {
    pub(crate) reader: Reader,
    pub(crate) member: Member,
    pub(crate) log: Logger,
}

/// Key prefix of the members of a zone.
///
/// An instance that starts only needs the members of its own zone: the list of 300
/// members has 80 KB, and sent to as many instances it would fill the store's link for
/// a quarter of a second.
pub(crate) fn zone_prefix(zone: &id::Zone) -> String {
    format!("{PREFIX}{zone}/")
}

/// Key of a member's entry.
pub(crate) fn key(member: &Member) -> String {
    format!("{}{}", zone_prefix(&member.zone), member.instance)
}

/// Parses the member from an entry; `None` for other keys.
pub(crate) fn parse_member(key: &str, value: &[u8]) -> Option<serde_json::Result<Member>> {
    key.strip_prefix(PREFIX)?;
    Some(serde_json::from_slice(value))
}

/// Keeps an instance registered until the process ends.
pub(crate) async fn register(registration: Registration) {
    let options = registration.reader.client().options().clone();
    let mut backoff = Backoff::new(options.backoff, options.seed);
    loop {
        match registration.register_and_renew(&mut backoff).await {
            Ok(never) => match never {},
            // A lease can expire while its holder is running, or be lost when the store is
            // restored: the entry is then written again.
            Err(Error::Refused { reason, .. }) => {
                info!(registration.log, "registration lapsed"; "reason" => reason);
            }
            Err(error) => {
                warn!(registration.log, "registration failed"; "error" => %error);
            }
        }
        time::sleep(backoff.next_delay()).await;
    }
}

fn restored(era: Era) -> Error {
    Error::Refused {
        step: "registration",
        peer: format!("era {era}"),
        reason: "the store has been restored".to_owned(),
    }
}

impl Registration {
    /// Registers and renews the registration until an error occurs.
    async fn register_and_renew(&self, backoff: &mut Backoff) -> Result<std::convert::Infallible> {
        let (lease, era) = self.reader.grant(LEASE_TTL).await?;
        let key = key(&self.member);
        let value = serde_json::to_vec(&self.member).map_err(|error| Error::Decode {
            step: "registration",
            peer: key.clone(),
            reason: error.to_string(),
        })?;
        self.reader.put(&key, &value, lease).await?;
        backoff.reset();
        info!(self.log, "registered"; "lease" => lease.0);
        loop {
            tokio::select! {
                () = time::sleep(RENEW_INTERVAL) => self.renew(lease).await?,
                () = self.reader.wait_for_restore(era) => return Err(restored(era)),
            }
        }
    }

    /// A renewal that got no response is retried at the next interval; the lease outlives
    /// two failures.
    async fn renew(&self, lease: Lease) -> Result<()> {
        match self.reader.renew(lease).await {
            Err(refused @ Error::Refused { .. }) => Err(refused),
            Err(error) => {
                warn!(self.log, "renewal failed"; "error" => %error);
                Ok(())
            }
            Ok(()) => Ok(()),
        }
    }
}

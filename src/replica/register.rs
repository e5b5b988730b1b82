//! How instances find each other: entries under a lease in the store.

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
use crate::platform::Lease;
use crate::platform::poll::Reader;
use crate::replica::Bandwidth;

/// Prefix of the instances' entries.
pub(crate) const PREFIX: &str = "godwitreel/entry/";

/// Life of an entry without renewal.
///
/// An instance that is gone costs the one below it one failed connection until
/// then, so there is no hurry, and an outage of the store should not empty the
/// list.
const TTL: Duration = Duration::from_secs(30);

/// Time between two renewals: a third of the life, so that two may fail.
const RENEW_EVERY: Duration = Duration::from_secs(10);

/// An instance that others may subscribe to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub instance: id::Instance,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it takes subscriptions.
    pub address: SocketAddrV4,
    /// Rate of its link, by which instances are ranked.
    #[serde(default = "default_link")]
    pub link_mbps: Bandwidth,
}

/// An instance that does not tell feeds nobody who has a choice.
fn default_link() -> Bandwidth {
    Bandwidth(0.0)
}

/// What an instance registers.
pub(crate) struct Registration {
    pub(crate) reader: Reader,
    pub(crate) member: Member,
    pub(crate) log: Logger,
}

/// Where the members of a zone register.
///
/// Whoever starts needs to know its own zone's only: the list of three hundred has 80 KB,
/// and as many times as much fills the store's link for a quarter of a second.
pub(crate) fn zone_prefix(zone: &id::Zone) -> String {
    format!("{PREFIX}{zone}/")
}

/// Where a member registers.
pub(crate) fn key(member: &Member) -> String {
    format!("{}{}", zone_prefix(&member.zone), member.instance)
}

/// The member that an entry names; `None` for other keys.
pub(crate) fn member(key: &str, value: &[u8]) -> Option<serde_json::Result<Member>> {
    key.strip_prefix(PREFIX)?;
    Some(serde_json::from_slice(value))
}

/// Keeps an instance registered until the process ends.
pub(crate) async fn register(registration: Registration) {
    let options = registration.reader.client().options().clone();
    let mut backoff = Backoff::new(options.backoff, options.seed);
    loop {
        match registration.hold(&mut backoff).await {
            Ok(never) => match never {},
            // Leases vanish while their holders live: the entry is written anew.
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

impl Registration {
    /// Registers and renews until something fails.
    async fn hold(&self, backoff: &mut Backoff) -> Result<std::convert::Infallible> {
        let lease = self.reader.grant(TTL).await?;
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
            time::sleep(RENEW_EVERY).await;
            self.renew(lease).await?;
        }
    }

    /// An unanswered renewal is repeated with the next one; the lease outlives two.
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

//! The first instances of a zone, in one small entry of the store.
//!
//! Load pattern: a whole fleet loses power and starts again at once. If each instance
//! listed the members of its zone, the store would send bytes that grow with the square
//! of the zone: 45 MB for 986 instances in six zones, as much as the heads' listings. So
//! the first instance of a zone keeps one entry up to date that names the instances that
//! rank first, and an instance that starts reads only that.
//!
//! The entry has no lease and may be outdated. Instances in it that are gone cost an
//! instance that starts a failed connection each. If all of them are gone, it reads the
//! store itself after a while.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::watch;
use tokio::time;

use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::platform::Lease;
use crate::platform::poll::Reader;
use crate::replica::Member;
use crate::replica::SharedCopy;
use crate::replica::tree;
use crate::replica::tree::FAN_OUT;

/// Key prefix of the zones' rosters.
const PREFIX: &str = "godwitreel/roster/";

/// Number of instances in a roster. All instances of a small zone fit, so that each of
/// them knows its rank; of a large one, all that feed others.
const MAX_INSTANCES: usize = 2 * FAN_OUT;

/// Time for which the first instances of a zone must stay the same before they are
/// written. Instances that start together register within this time.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time after which the number of keys is compared again.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// The instances of a zone that rank first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// These instances, by rank.
    pub first: Vec<Member>,
    /// Number of instances in the zone.
    pub zone_size: usize,
    /// Number of keys in the store, rounded up to a power of two; 0 when it is not known.
    pub keys: usize,
}

impl Roster {
    /// The roster of a zone with these members, while the store has this many keys.
    pub fn of(zone: &id::Zone, members: &[Member], keys: usize) -> Self {
        let ranked = tree::ranked(zone, members);
        let first = ranked.iter().take(MAX_INSTANCES);
        Self {
            first: first.map(|member| Member::clone(member)).collect(),
            zone_size: ranked.len(),
            keys: keys.next_power_of_two(),
        }
    }

    /// The roster of all given members of a zone, in whatever number, for when the number
    /// of keys is not known.
    pub(crate) fn of_listed(zone: &id::Zone, members: &[Member]) -> Self {
        let ranked = tree::ranked(zone, members);
        Self {
            zone_size: ranked.len(),
            first: ranked.into_iter().cloned().collect(),
            keys: 0,
        }
    }
}

/// Key of a zone's roster.
pub(crate) fn key(zone: &id::Zone) -> String {
    format!("{PREFIX}{zone}")
}

/// Reads a zone's roster; `None` when the zone has none yet, or one that cannot be read.
///
/// It may be some seconds old, which costs the store less.
pub(crate) async fn read(reader: &Reader, zone: &id::Zone, log: &Logger) -> Result<Option<Roster>> {
    let page = match reader.get_stale(&key(zone)).await {
        Ok(page) => page,
        Err(Error::Refused { .. }) => return Ok(None),
        Err(error) => return Err(error),
    };
    let Some(entry) = page.entries.first() else {
        return Ok(None);
    };
    match serde_json::from_slice::<Roster>(&entry.value) {
        Ok(roster) if !roster.first.is_empty() => Ok(Some(roster)),
        Ok(_) => Ok(None),
        Err(error) => {
            warn!(log, "invalid roster"; "key" => &entry.key, "error" => %error);
            Ok(None)
        }
    }
}

/// Writes the zone's roster whenever it differs from the store's, while this instance is
/// the first of the zone.
pub(crate) struct Maintainer {
    pub(crate) reader: Reader,
    pub(crate) zone: id::Zone,
    pub(crate) shared: Arc<SharedCopy>,
    /// The roster as it should be; `None` while another instance is the first.
    pub(crate) wanted: watch::Receiver<Option<Roster>>,
    pub(crate) log: Logger,
}

impl Maintainer {
    /// Maintains the roster until the source of the wanted rosters ends.
    pub(crate) async fn run(mut self) {
        loop {
            // The interval ends also without a change of the instances.
            let changed = time::timeout(CHECK_INTERVAL, self.wanted.changed()).await;
            if matches!(changed, Ok(Err(_))) {
                return;
            }
            while let Ok(Ok(())) = time::timeout(SETTLE_TIME, self.wanted.changed()).await {}
            if let Err(error) = self.write().await {
                warn!(self.log, "roster not written"; "error" => %error);
            }
        }
    }

    async fn write(&mut self) -> Result<()> {
        let Some(mut wanted) = self.wanted.borrow_and_update().clone() else {
            return Ok(());
        };
        let key = key(&self.zone);
        let (keys, stored) = self.shared.with_copy(|copy| {
            let stored = copy.get(&key).map(|entry| entry.value.clone());
            (copy.key_count(), stored)
        });
        wanted.keys = keys.next_power_of_two();
        let value = serde_json::to_vec(&wanted).map_err(|error| Error::Decode {
            step: "roster",
            peer: key.clone(),
            reason: error.to_string(),
        })?;
        if stored.as_deref() == Some(&value[..]) {
            return Ok(());
        }
        self.reader.put(&key, &value, Lease(0)).await?;
        info!(self.log, "roster written"; "instances" => wanted.zone_size, "keys" => wanted.keys);
        Ok(())
    }
}

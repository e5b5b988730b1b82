//! The first copy of an instance that starts.
//!
//! Load pattern: a whole fleet loses its power and starts at once, with a store of
//! hundreds of kilobytes and links of 10 Mbit/s. If each instance read the store,
//! the store's own link would be full for a fifth of a second and a thin link for
//! 0.35 s more, while every caller waits. So the first few of a zone read it, those
//! with the widest links, and the others get a packed copy from these.

use std::net::SocketAddrV4;
use std::time::Duration;

use slog::info;
use tokio::time;
use tokio::time::Instant;

use crate::id;
use crate::replica::Member;
use crate::replica::follow::End;
use crate::replica::follow::Follower;
use crate::replica::follow::upstream::COPY_PATIENCE;
use crate::replica::register;
use crate::replica::subscribe::Report;
use crate::replica::subscribe::Subscription;
use crate::replica::tree;

/// Instances of a zone that read the store at once, the first by rank. Three, so
/// that the others have somebody to ask when two of them are gone.
const READERS: usize = 3;

/// How long after each other instances that start together come up: the platform
/// starts all within 0.3 s.
const START_SPREAD: Duration = Duration::from_millis(300);

/// Pause before instances that do not answer yet are asked for a copy again.
const START_RETRY: Duration = Duration::from_millis(50);

/// What came of asking the instances above for a copy.
enum Copied {
    /// The copy.
    Report(Report),
    /// Some answer, but with an old copy or none in time.
    Useless,
    /// None answers.
    Nobody,
}

impl Follower {
    /// Gets the first copy from an instance above, which may be waiting for its
    /// own. `false` when the store has to be read.
    pub(super) async fn copy_from_above(&mut self) -> Result<bool, End> {
        let reader = self.sources.reader.clone();
        let page = reader.page(register::PREFIX, None).await?;
        for entry in &page.entries {
            self.enroll(&entry.key, &entry.value);
        }
        // A page may not hold all members; who is not on it has a rank all the same.
        let me = self.sources.me.clone();
        self.members.entry(register::key(&me)).or_insert(me);
        self.above = None;
        let feeders = self.feeders();
        let give_up = Instant::now() + START_SPREAD;
        while !feeders.is_empty() {
            match self.copy_from_any(&feeders).await {
                Copied::Report(report) => {
                    self.take(report).await?;
                    return Ok(true);
                }
                Copied::Useless => return Ok(false),
                Copied::Nobody if Instant::now() >= give_up => return Ok(false),
                Copied::Nobody => time::sleep(START_RETRY).await,
            }
        }
        Ok(false)
    }

    /// Whom to ask for a copy: the nearest above, then the zone's readers; nobody
    /// when this instance is one of them.
    fn feeders(&mut self) -> Vec<SocketAddrV4> {
        let members: Vec<Member> = self.members.values().cloned().collect();
        let me = &self.sources.me;
        let ranked = tree::ranked(&me.zone, &members);
        let place = ranked
            .iter()
            .position(|member| member.instance == me.instance);
        if place.is_none_or(|place| place < READERS) {
            return Vec::new();
        }
        let readers = ranked.iter().take(READERS).map(|member| member.address);
        let readers: Vec<SocketAddrV4> = readers.collect();
        let mut feeders = self.above();
        feeders.retain(|address| !readers.contains(address));
        feeders.extend(readers);
        feeders
    }

    async fn copy_from_any(&self, feeders: &[SocketAddrV4]) -> Copied {
        let mut has_old = false;
        for feeder in feeders {
            let copying = copy_from(*feeder, &self.sources.me.instance);
            match time::timeout(COPY_PATIENCE, copying).await {
                Ok(Ok(report)) if self.is_fresh(&report) => return Copied::Report(report),
                // Its owner is cut off from the store. Who took it over would use
                // routes that have been withdrawn meanwhile.
                Ok(Ok(_)) => {
                    info!(self.sources.log, "copy of upstream too old"; "peer" => %feeder);
                    has_old = true;
                }
                Ok(Err(error)) => {
                    info!(self.sources.log, "no copy from upstream"; "error" => %error);
                }
                Err(_) => {
                    info!(self.sources.log, "no copy from upstream in time"; "peer" => %feeder);
                    return Copied::Useless;
                }
            }
        }
        if has_old {
            Copied::Useless
        } else {
            Copied::Nobody
        }
    }
}

async fn copy_from(feeder: SocketAddrV4, me: &id::Instance) -> crate::Result<Report> {
    let joined = Subscription::join(feeder, me, None, Vec::new()).await;
    let (mut subscription, mut report) = joined?;
    while !report.is_everything {
        report = subscription.next().await?;
    }
    Ok(report)
}

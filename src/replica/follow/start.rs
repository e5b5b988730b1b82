//! The first copy of an instance that starts.
//!
//! Load pattern: a whole fleet loses power and starts again at once, with a store of
//! hundreds of kilobytes and links of 10 Mbit/s. If each instance read the store, the
//! store's own link would be full for a fifth of a second, and a slow link for another
//! 0.35 s, while every caller waits. So only the heads of a zone read the store, which
//! are the instances with the fastest links, and the others get a compressed copy from
//! them.
//!
//! Another load pattern: instances are restarted in turn, the store becomes
//! unreachable, and further instances are killed. An instance that starts then can only
//! get a copy from one that still has it. Asking one instance after the other, or
//! waiting for the store first, would prolong the wait of callers. See
//! [`super::search`].

use std::net::SocketAddrV4;
use std::time::Duration;

use slog::info;
use tokio::time;
use tokio::time::Instant;

use crate::pacing::Bounds;
use crate::replica::Member;
use crate::replica::follow::End;
use crate::replica::follow::Follower;
use crate::replica::follow::Presence;
use crate::replica::follow::SLOW_RETRY;
use crate::replica::follow::search;
use crate::replica::follow::search::Search;
use crate::replica::register;
use crate::replica::store;
use crate::replica::subscribe::Report;
use crate::replica::tree;
use crate::replica::tree::HEADS;

/// Pause before an instance that does not respond yet is asked for a copy again. The
/// store is read in parallel, so this does not go on for long.
const RETRY: Bounds = Bounds {
    first: Duration::from_millis(25),
    most: Duration::from_millis(25),
};

/// Instances from which the first copy is requested.
struct Feeders {
    /// Their addresses; empty when this instance is a head of its zone.
    addresses: Vec<SocketAddrV4>,
    /// How long to wait for them before the store is read as well.
    wait: Duration,
}

impl Follower {
    /// Gets the first copy, from the store or from an instance that has one.
    ///
    /// Machines that lose power together regain it within 0.3 s of each other, so the
    /// instances to ask may not be running yet. An instance that gets no copy in time
    /// also reads the store, and takes whichever arrives first. The wait starts at
    /// [`crate::replica::Pace::copy_wait`] and grows by rank, so that they do not all
    /// read the store at once.
    ///
    /// Until the store has responded, all instances that may have a copy are asked as
    /// well. One search continues across all attempts to reach the store: on a slow link,
    /// a copy may take longer than one attempt and its pause, and would never complete if
    /// each attempt started again.
    pub(super) async fn begin(&mut self) -> Result<(), End> {
        let search = self.search().run();
        tokio::pin!(search);
        loop {
            let feeders = tokio::select! {
                feeders = self.feeders() => feeders,
                report = &mut search => return self.take_found(report).await,
            };
            match feeders {
                Ok(feeders) => return self.begin_from(feeders).await,
                Err(End::Failed(error)) => self.fail(&error).await?,
                Err(abandoned) => return Err(abandoned),
            }
            let pause = self.backoff.next_delay().min(SLOW_RETRY);
            if let Ok(report) = time::timeout(pause, &mut search).await {
                return self.take_found(report).await;
            }
        }
    }

    fn search(&self) -> Search {
        Search {
            me: self.sources.me.clone(),
            seeds: self.sources.seeds.clone(),
            fresh: self.sources.pace.fresh,
            begun: self.begun,
            introduced: self.shared.introduced(),
            log: self.sources.log.clone(),
        }
    }

    /// Applies the copy that a search has found while the store did not respond.
    async fn take_found(&mut self, report: Report) -> Result<(), End> {
        info!(self.sources.log, "copy of another instance taken"; "revision" => report.revision,
            "age_ms" => report.age.map(|age| age.as_millis() as u64));
        // Until the store responds, an upstream with an old copy is as good as any other.
        self.presence = Presence::Away(Instant::now() + self.probe_pause);
        self.take(report).await
    }

    /// Gets the first copy while the store responds.
    async fn begin_from(&mut self, feeders: Feeders) -> Result<(), End> {
        let reader = self.sources.reader.clone();
        let all = self.sources.keys.all;
        if feeders.addresses.is_empty() {
            let listing = store::list(&reader, all).await?;
            return self.take_listing(listing).await;
        }
        let copying = self.copy_from_first(&feeders.addresses);
        let reading = async {
            time::sleep(feeders.wait).await;
            store::list(&reader, all).await
        };
        let first = tokio::select! {
            report = copying => Ok(report),
            listing = reading => Err(listing),
        };
        match first {
            Ok(report) => self.take(report).await,
            Err(listing) => self.take_listing(listing?).await,
        }
    }

    /// Reads the list of members from the store and returns the instances to ask for a
    /// copy.
    async fn feeders(&mut self) -> Result<Feeders, End> {
        let reader = self.sources.reader.clone();
        let zone = register::zone_prefix(&self.sources.me.zone);
        let page = reader.page(&zone, None).await?;
        for entry in &page.entries {
            self.enroll(&entry.key, &entry.value);
        }
        // One page may not contain all members. This instance needs a rank even if it is
        // not on the page.
        let me = self.sources.me.clone();
        self.members.entry(register::key(&me)).or_insert(me);
        self.above = None;
        let above = self.above();
        let is_head = above.len() < HEADS;
        let members: Vec<Member> = self.members.values().cloned().collect();
        let (me, first) = (&self.sources.me, self.sources.pace.copy_wait);
        Ok(Feeders {
            addresses: if is_head { Vec::new() } else { above },
            wait: tree::copy_wait(&me.instance, &me.zone, &members, first),
        })
    }

    /// The first copy that any of the instances returns. All are asked in parallel, since
    /// a machine without power does not even refuse a connection.
    async fn copy_from_first(&self, feeders: &[SocketAddrV4]) -> Report {
        let copies = feeders
            .iter()
            .map(|feeder| Box::pin(self.copy_from(*feeder)));
        let (report, _, _) = futures::future::select_all(copies).await;
        report
    }

    /// Waits until an instance has a fresh copy and returns it.
    async fn copy_from(&self, feeder: SocketAddrV4) -> Report {
        let (me, log) = (&self.sources.me, &self.sources.log);
        let report = search::await_copy(feeder, me, RETRY, log).await;
        if self.is_fresh(&report) {
            return report;
        }
        // The owner of the copy is cut off from the store. With this copy, routes would be
        // used that have been withdrawn since.
        info!(log, "copy of upstream too old"; "peer" => %feeder);
        std::future::pending().await
    }
}

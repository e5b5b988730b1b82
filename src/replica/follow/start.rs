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

use crate::pacing::BackoffBounds;
use crate::replica::Member;
use crate::replica::follow::FollowEnd;
use crate::replica::follow::Follower;
use crate::replica::follow::MAX_RETRY_PAUSE;
use crate::replica::follow::StoreState;
use crate::replica::follow::search;
use crate::replica::follow::search::CopySearch;
use crate::replica::register;
use crate::replica::store;
use crate::replica::subscribe::UpstreamUpdate;
use crate::replica::tree;
use crate::replica::tree::HEAD_COUNT;

/// Pause before an instance that does not respond yet is asked for a copy again. The
/// store is read in parallel, so this does not go on for long.
const RETRY_PAUSES: BackoffBounds = BackoffBounds {
    first_delay: Duration::from_millis(25),
    max_delay: Duration::from_millis(25),
};

/// Instances from which the first copy is requested.
struct CopySources {
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
    /// [`crate::replica::PollTiming::copy_wait`] and grows by rank, so that they do not all
    /// read the store at once.
    ///
    /// Until the store has responded, all instances that may have a copy are asked as
    /// well. One search continues across all attempts to reach the store: on a slow link,
    /// a copy may take longer than one attempt and its pause, and would never complete if
    /// each attempt started again.
    pub(super) async fn fetch_first_copy(&mut self) -> Result<(), FollowEnd> {
        let search = self.search().run();
        tokio::pin!(search);
        loop {
            let copy_sources = tokio::select! {
                copy_sources = self.copy_sources() => copy_sources,
                update = &mut search => return self.apply_found_copy(update).await,
            };
            match copy_sources {
                Ok(copy_sources) => return self.fetch_copy_from(copy_sources).await,
                Err(FollowEnd::Failed(error)) => self.record_failure(&error).await?,
                Err(closed) => return Err(closed),
            }
            let pause = self.backoff.next_delay().min(MAX_RETRY_PAUSE);
            if let Ok(update) = time::timeout(pause, &mut search).await {
                return self.apply_found_copy(update).await;
            }
        }
    }

    fn search(&self) -> CopySearch {
        CopySearch {
            me: self.sources.me.clone(),
            seeds: self.sources.seeds.clone(),
            fresh: self.sources.timing.fresh_age,
            started_at: self.started_at,
            copy_holders: self.shared.copy_holders(),
            log: self.sources.log.clone(),
        }
    }

    /// Applies the copy that a search has found while the store did not respond.
    async fn apply_found_copy(&mut self, update: UpstreamUpdate) -> Result<(), FollowEnd> {
        info!(self.sources.log, "copy of another instance taken"; "revision" => update.revision,
            "age_ms" => update.age.map(|age| age.as_millis() as u64));
        // Until the store responds, an upstream with an old copy is as good as any other.
        self.store_state = StoreState::Unreachable(Instant::now() + self.probe_pause);
        self.apply_update(update).await
    }

    /// Gets the first copy while the store responds.
    async fn fetch_copy_from(&mut self, copy_sources: CopySources) -> Result<(), FollowEnd> {
        let reader = self.sources.reader.clone();
        let all = self.sources.keys.root_prefix;
        if copy_sources.addresses.is_empty() {
            let listing = store::list(&reader, all).await?;
            return self.apply_listing(listing).await;
        }
        let copying = self.first_copy_from(&copy_sources.addresses);
        let reading = async {
            time::sleep(copy_sources.wait).await;
            store::list(&reader, all).await
        };
        let first = tokio::select! {
            update = copying => Ok(update),
            listing = reading => Err(listing),
        };
        match first {
            Ok(update) => self.apply_update(update).await,
            Err(listing) => self.apply_listing(listing?).await,
        }
    }

    /// Reads the list of members from the store and returns the instances to ask for a
    /// copy.
    async fn copy_sources(&mut self) -> Result<CopySources, FollowEnd> {
        let reader = self.sources.reader.clone();
        let zone = register::zone_prefix(&self.sources.me.zone);
        let page = reader.page(&zone, None).await?;
        for entry in &page.entries {
            self.add_member(&entry.key, &entry.value);
        }
        // One page may not contain all members. This instance needs a rank even if it is
        // not on the page.
        let me = self.sources.me.clone();
        self.members.entry(register::key(&me)).or_insert(me);
        self.upstreams = None;
        let upstreams = self.upstreams();
        let is_head = upstreams.len() < HEAD_COUNT;
        let members: Vec<Member> = self.members.values().cloned().collect();
        let (me, first) = (&self.sources.me, self.sources.timing.copy_wait);
        Ok(CopySources {
            addresses: if is_head { Vec::new() } else { upstreams },
            wait: tree::copy_wait(&me.instance, &me.zone, &members, first),
        })
    }

    /// The first copy that any of the instances returns. All are asked in parallel, since
    /// a machine without power does not even refuse a connection.
    async fn first_copy_from(&self, addresses: &[SocketAddrV4]) -> UpstreamUpdate {
        let copies = addresses
            .iter()
            .map(|address| Box::pin(self.copy_from(*address)));
        let (update, _, _) = futures::future::select_all(copies).await;
        update
    }

    /// Waits until an instance has a fresh copy and returns it.
    async fn copy_from(&self, address: SocketAddrV4) -> UpstreamUpdate {
        let (me, log) = (&self.sources.me, &self.sources.log);
        let update = search::await_copy(address, me, RETRY_PAUSES, log).await;
        if self.is_fresh(&update) {
            return update;
        }
        // The owner of the copy is cut off from the store. With this copy, routes would be
        // used that have been withdrawn since.
        info!(log, "copy of upstream too old"; "peer" => %address);
        std::future::pending().await
    }
}

//! The first copy of an instance that starts.
//!
//! Load pattern: a whole fleet loses its power and starts at once, with a store of
//! hundreds of kilobytes and links of 10 Mbit/s. If each instance read the store,
//! the store's own link would be full for a fifth of a second and a thin link for
//! 0.35 s more, while every caller waits. So the first few of a zone read it, those
//! with the widest links, and the others get a packed copy from these.
//!
//! A second one: instances are restarted in turn, the store falls silent, and others
//! are killed. Whoever starts then can only get a copy from whoever still has one, and
//! every moment in which it asks one instance after the other, or waits for the store
//! first, is one in which callers wait. See [`super::search`].

use std::net::SocketAddrV4;
use std::time::Duration;

use slog::info;
use tokio::time;
use tokio::time::Instant;

use crate::pacing::BackoffBounds;
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

/// Pause before an instance that does not answer yet is asked for a copy again; the store
/// is read beside it, so that this does not go on for long.
const RETRY: BackoffBounds = BackoffBounds {
    first_delay: Duration::from_millis(25),
    max_delay: Duration::from_millis(25),
};

/// Where an instance that starts gets its first copy.
struct Feeders {
    /// Whom to ask; nobody when this instance is a head of its zone.
    addresses: Vec<SocketAddrV4>,
    /// How long to wait for them before the store is read as well.
    wait: Duration,
}

impl Follower {
    /// Gets the first copy: from the store, or from an instance that has it.
    ///
    /// Machines that start together have their power back within 0.3 s of each
    /// other, so that those to be asked may not be there yet. Whoever waits in vain
    /// reads the store as well, and takes what comes first: one after the other, by
    /// rank, from [`crate::replica::PollTiming::copy_wait`] on.
    ///
    /// While the store has not answered, all who may have a copy are asked, too. One
    /// search goes on through all tries of the store: a copy that takes longer on a thin
    /// link than a try and its pause would never be whole if each began it anew.
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
            fresh: self.sources.timing.fresh_age,
            begun: self.begun,
            introduced: self.shared.introduced(),
            log: self.sources.log.clone(),
        }
    }

    /// Takes over what a search has found, while the store does not answer.
    async fn take_found(&mut self, report: Report) -> Result<(), End> {
        info!(self.sources.log, "copy of another instance taken"; "revision" => report.revision,
            "age_ms" => report.age.map(|age| age.as_millis() as u64));
        // An upstream with an old copy is as good as any until the store answers.
        self.presence = Presence::Away(Instant::now() + self.probe_pause);
        self.take(report).await
    }

    /// Gets the first copy while the store answers.
    async fn begin_from(&mut self, feeders: Feeders) -> Result<(), End> {
        let reader = self.sources.reader.clone();
        let all = self.sources.keys.root_prefix;
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

    /// Whom to ask for a copy, as the store's list of members says.
    async fn feeders(&mut self) -> Result<Feeders, End> {
        let reader = self.sources.reader.clone();
        let zone = register::zone_prefix(&self.sources.me.zone);
        let page = reader.page(&zone, None).await?;
        for entry in &page.entries {
            self.enroll(&entry.key, &entry.value);
        }
        // A page may not hold all members; who is not on it has a rank all the same.
        let me = self.sources.me.clone();
        self.members.entry(register::key(&me)).or_insert(me);
        self.above = None;
        let above = self.above();
        let is_head = above.len() < HEADS;
        let members: Vec<Member> = self.members.values().cloned().collect();
        let (me, first) = (&self.sources.me, self.sources.timing.copy_wait);
        Ok(Feeders {
            addresses: if is_head { Vec::new() } else { above },
            wait: tree::copy_wait(&me.instance, &me.zone, &members, first),
        })
    }

    /// The copy of whichever gives one first. All are asked at once: a machine
    /// without power does not even refuse.
    async fn copy_from_first(&self, feeders: &[SocketAddrV4]) -> Report {
        let copies = feeders
            .iter()
            .map(|feeder| Box::pin(self.copy_from(*feeder)));
        let (report, _, _) = futures::future::select_all(copies).await;
        report
    }

    /// The copy of an instance, as soon as it has one.
    async fn copy_from(&self, feeder: SocketAddrV4) -> Report {
        let (me, log) = (&self.sources.me, &self.sources.log);
        let report = search::await_copy(feeder, me, RETRY, log).await;
        if self.is_fresh(&report) {
            return report;
        }
        // Its owner is cut off from the store. Who took it over would use routes that
        // have been withdrawn meanwhile.
        info!(log, "copy of upstream too old"; "peer" => %feeder);
        std::future::pending().await
    }
}

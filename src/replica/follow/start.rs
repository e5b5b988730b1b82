//! The first copy of an instance that starts.
//!
//! Load pattern: a whole fleet loses power and starts again at once, with a store of
//! hundreds of kilobytes and links of 10 Mbit/s. If each instance read the store, the
//! store's own link would be full for a fifth of a second, and a slow link for another
//! 0.35 s, while every caller waits. So only the heads of a zone read the store, which
//! are the instances with the fastest links, and the others get a compressed copy from
//! them. [`FirstCopyPlan`] decides whom an instance asks, and when it stops waiting.
//!
//! Another load pattern: instances are restarted in turn, the store becomes
//! unreachable, and further instances are killed. An instance that starts then can only
//! get a copy from one that still has it. Asking one instance after the other, or
//! waiting for the store first, would prolong the wait of callers. See
//! [`super::search`].

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use crate::pacing::BackoffBounds;
use crate::platform::Revision;
use crate::replica::FirstCopyPlan;
use crate::replica::Member;
use crate::replica::Roster;
use crate::replica::first_copy::ASK_INTERVAL;
use crate::replica::follow::FollowEnd;
use crate::replica::follow::Follower;
use crate::replica::follow::MAX_RETRY_PAUSE;
use crate::replica::follow::StoreState;
use crate::replica::follow::search::AnsweringPeers;
use crate::replica::follow::search::CopyRequest;
use crate::replica::follow::search::CopySearch;
use crate::replica::follow::search::EarlyEntries;
use crate::replica::register;
use crate::replica::roster;
use crate::replica::store;
use crate::replica::store::Listing;
use crate::replica::subscribe::UpstreamUpdate;

/// Pause before an instance that does not respond yet is asked for a copy again. The
/// store is read in parallel, so this does not go on for long.
const RETRY_PAUSES: BackoffBounds = BackoffBounds {
    first_delay: Duration::from_millis(25),
    max_delay: Duration::from_millis(100),
};

/// How long a reading of the store goes on after another instance's copy has arrived. The
/// subscribers of this instance have received a part of what it reads; if the reading ended
/// there, they would have to ask elsewhere for a whole copy. Callers retransmit after this
/// time.
const MAX_READING_EXTENSION: Duration = Duration::from_millis(200);

/// What an instance that starts takes as its first copy.
enum FirstCopy {
    Received(UpstreamUpdate),
    Listed(Listing),
}

impl Follower {
    /// Gets the first copy, from the store or from an instance that has one.
    ///
    /// Machines that lose power together regain it within 0.3 s of each other, so the
    /// instances to ask may not be running yet. An instance that gets no copy in time
    /// also reads the store, and takes whichever arrives first.
    ///
    /// Until the store has responded, all instances that may have a copy are asked as
    /// well. One search continues across all attempts to reach the store: on a slow link,
    /// a copy may take longer than one attempt and its pause, and would never complete if
    /// each attempt started again.
    pub(super) async fn fetch_first_copy(&mut self) -> Result<(), FollowEnd> {
        let search = self.search().run();
        tokio::pin!(search);
        loop {
            let plan = tokio::select! {
                plan = self.first_copy_plan() => plan,
                update = &mut search => return self.apply_found_copy(update).await,
            };
            match plan {
                Ok(plan) => {
                    self.fetch_copy_by(plan).await?;
                    self.shared.drop_log_later();
                    return Ok(());
                }
                Err(FollowEnd::Failed(error)) => {
                    self.record_failure(&error, Instant::now()).await?
                }
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
            fresh: self.timing().fresh_age,
            started_at: self.started_at,
            copy_holders: self.shared.copy_holders(),
            copy_log: Arc::clone(&self.shared.log),
            log: self.sources.log.clone(),
        }
    }

    /// Applies the copy that a search has found while the store did not respond.
    async fn apply_found_copy(&mut self, update: UpstreamUpdate) -> Result<(), FollowEnd> {
        info!(self.sources.log, "copy of another instance taken";
            "revision" => %Revision(update.revision),
            "age_ms" => update.age.map(|age| age.as_millis() as u64));
        // Until the store responds, an upstream with an old copy is as good as any other.
        self.store_state = StoreState::Unreachable(Instant::now() + self.probe_pause());
        self.apply_update(update).await
    }

    /// Gets the first copy while the store responds.
    async fn fetch_copy_by(&mut self, plan: FirstCopyPlan) -> Result<(), FollowEnd> {
        if plan.sources.is_empty() {
            let listing = self.read_and_pass_on().await?;
            return self.apply_listing(listing).await;
        }
        match self.first_to_arrive(&plan).await? {
            FirstCopy::Received(update) => self.apply_update(update).await,
            FirstCopy::Listed(listing) => self.apply_listing(listing).await,
        }
    }

    /// The copy of another instance or the store's listing.
    async fn first_to_arrive(&self, plan: &FirstCopyPlan) -> crate::Result<FirstCopy> {
        let answering = AnsweringPeers::default();
        let copying = self.first_copy_from(plan, &answering);
        tokio::pin!(copying);
        let progress = || answering.progress(self.sources.reader.call_time());
        tokio::select! {
            update = &mut copying => return Ok(FirstCopy::Received(update)),
            () = plan.wait_for_turn(progress) => {}
        }
        let progress = progress();
        info!(self.sources.log, "no copy in time"; "answering" => progress.answering,
            "call_ms" => progress.call_time.as_millis() as u64,
            "last_part_ms" => progress.last_part_at.map(|at| at.elapsed().as_millis() as u64));
        let reading = self.read_and_pass_on();
        tokio::pin!(reading);
        let mut update = tokio::select! {
            update = copying => update,
            listing = &mut reading => return listing.map(FirstCopy::Listed),
        };
        let received_at = Instant::now();
        if let Ok(Ok(listing)) = time::timeout(MAX_READING_EXTENSION, reading).await {
            return Ok(FirstCopy::Listed(listing));
        }
        update.age = update.age.map(|age| age + received_at.elapsed());
        Ok(FirstCopy::Received(update))
    }

    /// Reads the whole store and passes each page on as it arrives.
    async fn read_and_pass_on(&self) -> crate::Result<Listing> {
        let (reader, all) = (&self.sources.reader, self.sources.keys.root_prefix);
        let writer = self.shared.log.begin(rand::random(), Instant::now());
        let (early, begin) = (self.early_entries(), Instant::now());
        let mut failure = None;
        let listing = store::list_each(reader, all, |entries| {
            early.report(entries, begin.elapsed());
            let appended = writer.as_ref().map(|writer| writer.append_entries(entries));
            failure = failure.take().or(appended.and_then(Result::err));
        });
        let listing = listing.await?;
        match (failure, writer) {
            (Some(error), _) => warn!(self.sources.log, "copy not passed on"; "error" => %error),
            (None, Some(writer)) => writer.finish(listing.revision),
            (None, None) => {}
        }
        Ok(listing)
    }

    fn early_entries(&self) -> EarlyEntries {
        EarlyEntries {
            sender: self.sender.clone(),
            fresh: self.timing().fresh_age,
        }
    }

    /// Reads the zone's roster, or the list of its members if it has none, and plans from
    /// whom to get a copy.
    async fn first_copy_plan(&mut self) -> Result<FirstCopyPlan, FollowEnd> {
        let reader = self.sources.reader.clone();
        let (zone, log) = (&self.sources.me.zone, &self.sources.log);
        let begin = Instant::now();
        let stored = roster::read(&reader, zone, log).await?;
        let call_time = begin.elapsed();
        let roster = match stored {
            Some(roster) => roster,
            None => self.list_members().await?,
        };
        let first_wait = self.timing().copy_wait;
        let me = &self.sources.me;
        let plan = FirstCopyPlan::with_call_time(me, &roster, first_wait, call_time);
        info!(self.sources.log, "first copy"; "sources" => plan.sources.len(),
            "roster_ms" => call_time.as_millis() as u64,
            "wait_ms" => plan.wait.as_millis() as u64,
            "patience_ms" => plan.patience.as_millis() as u64,
            "limit_ms" => plan.limit.as_millis() as u64);
        Ok(plan)
    }

    /// Reads the members of the own zone from the store.
    async fn list_members(&mut self) -> Result<Roster, FollowEnd> {
        let zone = self.sources.me.zone.clone();
        let prefix = register::zone_prefix(&zone);
        let page = self.sources.reader.page(&prefix, None).await?;
        for entry in &page.entries {
            self.add_member(&entry.key, &entry.value);
        }
        // One page may not contain all members. This instance needs a rank even if it is
        // not on the page.
        let me = self.sources.me.clone();
        self.members.entry(register::key(&me)).or_insert(me);
        self.upstreams = None;
        let members: Vec<Member> = self.members.values().cloned().collect();
        Ok(Roster::of_listed(&zone, &members))
    }

    /// The first copy that any of the sources returns. A source is asked while the ones
    /// before it do not answer, or have no copy for long.
    async fn first_copy_from(
        &self,
        plan: &FirstCopyPlan,
        answering: &AnsweringPeers,
    ) -> UpstreamUpdate {
        let early = self.early_entries();
        let request = CopyRequest {
            me: &self.sources.me,
            retry: RETRY_PAUSES,
            copy_log: &self.shared.log,
            early: Some(&early),
            max_age: Some(self.timing().fresh_age),
            answering,
            log: &self.sources.log,
        };
        let mut copies = FuturesUnordered::new();
        let mut remaining = plan.sources.iter();
        let mut asked_at = Instant::now();
        loop {
            let pause = match answering.count() {
                0 => ASK_INTERVAL,
                _ => plan.ask_pause,
            };
            if (copies.is_empty() || asked_at.elapsed() >= pause)
                && let Some(source) = remaining.next()
            {
                copies.push(request.await_copy(*source));
                asked_at = Instant::now();
            }
            tokio::select! {
                Some(update) = copies.next() => return update,
                () = time::sleep(ASK_INTERVAL) => {}
            }
        }
    }
}

//! Keeps the copy up to date, from the instance above or from the store.

mod poll;
mod search;
mod start;
mod upstream;

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::error::Error;
use crate::flow::StoreContact;
use crate::pacing::Backoff;
use crate::platform::Change;
use crate::platform::Entry;
use crate::platform::Revision;
use crate::platform::poll::Reader;
use crate::platform::poll::UnreadableEntry;
use crate::replica::KeyLayout;
use crate::replica::Member;
use crate::replica::PollTiming;
use crate::replica::Roster;
use crate::replica::SharedCopy;
use crate::replica::Update;
use crate::replica::copy;
use crate::replica::follow::poll::LargeValueState;
use crate::replica::follow::upstream::Cooldown;
use crate::replica::follow::upstream::RECOVERY_REPORT_TIMEOUT;
use crate::replica::publish::HEARTBEAT_INTERVAL;
use crate::replica::register;
use crate::replica::roster;
use crate::replica::store;
use crate::replica::store::Listing;
use crate::replica::subscribe::UpstreamUpdate;

/// Longest pause between two polls while the store is unreachable and an upstream is
/// connected, which reports the store's return at once.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_500);

/// Time for the calls to the store after an upstream has failed to report its return: one
/// more probe, one poll for all changes, and their way to the decisions about flows.
const CATCH_UP_TIME: Duration = Duration::from_millis(700);

/// Shortest pause between two probes, so that they do not overlap with the retries of the
/// upstream.
const MIN_PROBE_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause between two probes; a longer one would save few calls.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(4);

/// Longest pause between two probes with which an instance that reaches the store uses its
/// state again within `catch_up` of its return, whatever its upstream does.
///
/// The store may return right after a failed probe was sent. The next probe follows after
/// the pause, then the upstream has [`RECOVERY_REPORT_TIMEOUT`] to report the return, and
/// then this instance leaves it and polls the store, within [`CATCH_UP_TIME`].
pub(crate) fn probe_pause(catch_up: Duration) -> Duration {
    let pause = catch_up.saturating_sub(RECOVERY_REPORT_TIMEOUT + CATCH_UP_TIME);
    pause.clamp(MIN_PROBE_PAUSE, MAX_PROBE_PAUSE)
}

/// The sources of changes, and the settings for following them.
pub(crate) struct FollowOptions {
    pub(crate) reader: Reader,
    pub(crate) keys: KeyLayout,
    /// Changes when the settings are reloaded.
    pub(crate) timing: watch::Receiver<PollTiming>,
    /// This instance, as registered for others.
    pub(crate) me: Member,
    /// Instances to ask for a copy when the store does not respond at the start.
    pub(crate) seeds: Vec<SocketAddrV4>,
    pub(crate) log: Logger,
}

/// Why following stopped.
enum FollowEnd {
    Failed(Error),
    ReceiverClosed,
}

impl From<Error> for FollowEnd {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

impl<T> From<mpsc::error::SendError<T>> for FollowEnd {
    fn from(_: mpsc::error::SendError<T>) -> Self {
        Self::ReceiverClosed
    }
}

/// Reachability of the store from this instance.
#[derive(Clone, Copy, Debug)]
enum StoreState {
    /// No failure is known.
    Reachable,
    /// The store did not respond; it is not probed again until this time.
    Unreachable(Instant),
    /// The store responds again; until this time the upstream may still report the
    /// recovery itself.
    Recovered(Instant),
}

struct Follower {
    sources: FollowOptions,
    shared: Arc<SharedCopy>,
    sender: mpsc::Sender<Update>,
    members: HashMap<String, Member>,
    /// Addresses of the instances above this one; `None` after the members have changed.
    upstreams: Option<Vec<SocketAddrV4>>,
    /// Whether the members have changed since they were last reported.
    has_new_members: bool,
    /// The zone's roster while this instance is the first of the zone.
    roster: watch::Sender<Option<Roster>>,
    /// Upstreams that failed.
    cooldowns: HashMap<SocketAddrV4, Cooldown>,
    is_store_silent: bool,
    store_state: StoreState,
    /// Share of [`PollTiming::probe_pause`] by which pauses are shortened, up to a quarter, so
    /// that a fleet that loses the store at one moment does not probe it again at one moment.
    probe_jitter: f64,
    /// When the store was last asked by a poll of this instance's own.
    polled_at: Instant,
    /// Whether the last poll brought changes.
    had_changes: bool,
    /// Whether the store has dropped the history after the synced revision.
    is_compacted: bool,
    /// When this instance lists a store that has dropped its history, if no upstream has had
    /// contact with the store until then.
    listing_due: Option<Instant>,
    /// When an upstream last reported later contact with the store.
    contact_recorded_at: Instant,
    /// Time between the last two such reports.
    contact_interval: Duration,
    /// Polling state of the large value.
    large: LargeValueState,
    backoff: Backoff,
    /// When following started.
    started_at: Instant,
    /// While a fallback upstream is followed: when the store is probed next.
    next_fallback_probe: Option<Instant>,
}

/// Keeps the copy up to date until the receiver is dropped.
pub(crate) async fn follow(
    sources: FollowOptions,
    shared: Arc<SharedCopy>,
    sender: mpsc::Sender<Update>,
) {
    let options = sources.reader.client().options().clone();
    let (wanted_roster, wanted) = watch::channel(None);
    let maintainer = roster::Maintainer {
        reader: sources.reader.clone(),
        zone: sources.me.zone.clone(),
        shared: Arc::clone(&shared),
        wanted,
        log: sources.log.clone(),
    };
    tokio::spawn(maintainer.run());
    let mut follower = Follower {
        probe_jitter: (options.seed % 100) as f64 / 400.0,
        polled_at: Instant::now(),
        sources,
        shared,
        sender,
        members: HashMap::new(),
        upstreams: None,
        has_new_members: false,
        roster: wanted_roster,
        cooldowns: HashMap::new(),
        is_store_silent: true,
        store_state: StoreState::Reachable,
        had_changes: false,
        is_compacted: false,
        listing_due: None,
        contact_recorded_at: Instant::now(),
        contact_interval: Duration::ZERO,
        large: LargeValueState::default(),
        backoff: Backoff::new(options.backoff, options.seed),
        started_at: Instant::now(),
        next_fallback_probe: None,
    };
    while !matches!(follower.round().await, Err(FollowEnd::ReceiverClosed)) {}
}

impl Follower {
    /// One poll of the store, or one subscription from start to end.
    async fn round(&mut self) -> Result<(), FollowEnd> {
        if let Some(peer) = self.candidate() {
            return self.subscribe(peer).await;
        }
        match self.update_from_store().await {
            Err(FollowEnd::Failed(error)) => {
                self.record_failure(&error, Instant::now()).await?;
                let pause = self.backoff.next_delay().min(MAX_RETRY_PAUSE);
                time::sleep(pause).await;
                Ok(())
            }
            other => other,
        }
    }

    fn timing(&self) -> PollTiming {
        *self.sources.timing.borrow()
    }

    /// Pause of this instance between two probes of the store.
    fn probe_pause(&self) -> Duration {
        self.timing().probe_pause.mul_f64(1.0 - self.probe_jitter)
    }

    fn is_copy_old(&self) -> bool {
        let age = self.shared.age(Instant::now());
        age.is_none_or(|age| age > self.timing().max_age)
    }

    /// Polls the store without waiting for a change.
    async fn catch_up(&mut self) -> Result<(), FollowEnd> {
        self.is_store_silent = true;
        match self.update_from_store().await {
            Err(FollowEnd::Failed(error)) => {
                // The next round polls again, after its usual pauses.
                self.mark_store_unreachable(&error, self.polled_at);
                Ok(())
            }
            other => other,
        }
    }

    /// Marks the store as unreachable, unless the error is itself a response. The pause until
    /// the next probe counts from `since`.
    fn mark_store_unreachable(&mut self, error: &Error, since: Instant) {
        if store::needs_listing(error) {
            return;
        }
        self.store_state = StoreState::Unreachable(since + self.probe_pause());
    }

    /// Whether the store is known not to respond here. Then an upstream with an old copy
    /// is as good as any other, and reports the store's return.
    fn is_store_unreachable(&self) -> bool {
        match self.store_state {
            StoreState::Reachable => false,
            StoreState::Unreachable(until) | StoreState::Recovered(until) => Instant::now() < until,
        }
    }

    async fn apply_update(&mut self, update: UpstreamUpdate) -> Result<(), FollowEnd> {
        let now = Instant::now();
        let contact = update.age.map(|age| now - age);
        self.shared
            .outcomes
            .receive_from_upstream(now, update.outcomes);
        if let Some(received) = update.received {
            info!(self.sources.log, "large value received";
                "revision" => %Revision(received.revision),
                "bytes" => received.bytes, "took_ms" => received.transfer_time.as_millis() as u64);
        }
        let revision = update.revision;
        self.sources.reader.record_era(Revision(revision).era());
        if update.is_full_copy {
            let entries = update
                .changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Put(entry) => Some(entry),
                    Change::Delete { .. } => None,
                });
            let refused = Vec::new();
            self.reset(entries.collect(), refused, revision).await?;
        } else if !update.awaits_copy && self.shared.synced_revision().is_some() {
            // An instance without a copy applies no changes from another one without a copy,
            // which may be this instance itself: it would treat the empty copy as complete
            // and ask no further seeds while the store is unreachable.
            self.apply(update.changes, revision).await?;
        }
        let Some(contact) = contact else {
            return Ok(());
        };
        // Smaller steps may be due to the time of transfer alone.
        let known = self.shared.contact();
        if known.is_none_or(|known| contact > known + HEARTBEAT_INTERVAL) {
            self.record_later_contact(now);
        }
        self.shared.record_contact(contact);
        if !self.is_copy_old() {
            self.is_store_silent = false;
            self.is_compacted = false;
            self.store_state = StoreState::Reachable;
            let contact = StoreContact::at(contact);
            self.sender.send(Update::Contact(contact)).await?;
        }
        Ok(())
    }

    async fn update_from_store(&mut self) -> Result<(), FollowEnd> {
        self.polled_at = Instant::now();
        match self.shared.synced_revision() {
            None => self.fetch_first_copy().await,
            Some(_) if self.is_compacted => {
                let all = self.sources.keys.root_prefix;
                let listing = store::list(&self.sources.reader, all).await?;
                self.apply_listing(listing).await
            }
            Some(synced_revision) => self.poll(synced_revision).await,
        }
    }

    async fn apply_listing(&mut self, listing: Listing) -> Result<(), FollowEnd> {
        self.is_compacted = false;
        self.large = LargeValueState::default();
        self.reset(listing.entries, listing.refused, listing.revision)
            .await?;
        self.record_answer(StoreContact::at(listing.requested_at))
            .await
    }

    async fn record_answer(&mut self, contact: StoreContact) -> Result<(), FollowEnd> {
        self.forget_outage();
        self.is_store_silent = false;
        self.store_state = StoreState::Reachable;
        self.backoff.reset();
        self.shared.record_contact(contact.until);
        Ok(self.sender.send(Update::Contact(contact)).await?)
    }

    /// Ends the cooldowns of an outage that the store's response has ended: upstreams that had
    /// no newer copy then may have one now.
    fn forget_outage(&mut self) {
        if matches!(self.store_state, StoreState::Unreachable(_)) {
            self.cooldowns.clear();
        }
    }

    async fn reset(
        &mut self,
        entries: Vec<Entry>,
        refused: Vec<UnreadableEntry>,
        revision: u64,
    ) -> Result<(), FollowEnd> {
        let known = self.shared.synced_revision();
        let known = known.map(Revision);
        if !self.shared.reset(&entries, revision) {
            info!(self.sources.log, "listing older than the copy";
                "revision" => %Revision(revision),
                "copy_revision" => known.as_ref().map(ToString::to_string));
            return Ok(());
        }
        let era = Revision(revision).era();
        if known.is_some_and(|known| known.era() < era) {
            self.sender.send(Update::Restored { era }).await?;
        }
        self.members.clear();
        self.upstreams = None;
        self.has_new_members = true;
        for entry in &entries {
            self.add_member(&entry.key, &entry.value);
        }
        // For some keys, newer changes than the listed ones may be known. Going back to the
        // listing, even briefly, would send new flows to servers that have announced that
        // they drain.
        let entries = self
            .shared
            .with_copy(|copy| copy.entries().cloned().collect());
        let reset = Update::Reset {
            entries,
            refused,
            revision,
        };
        self.sender.send(reset).await?;
        self.report_members().await
    }

    /// Reports the instances that share the callers, if they have changed.
    async fn report_members(&mut self) -> Result<(), FollowEnd> {
        if !std::mem::take(&mut self.has_new_members) {
            return Ok(());
        }
        self.update_roster();
        let members = self.members.values().cloned().collect();
        Ok(self.sender.send(Update::Members(members)).await?)
    }

    /// Sets the roster that the zone should have, if this instance is the first of the zone.
    fn update_roster(&mut self) {
        let me = &self.sources.me;
        let is_member = self.members.contains_key(&register::key(me));
        let is_first = is_member && self.upstreams().is_empty();
        let wanted = is_first.then(|| {
            let members: Vec<Member> = self.members.values().cloned().collect();
            Roster::of(&self.sources.me.zone, &members, 0)
        });
        self.roster.send_if_modified(|roster| {
            let is_changed = *roster != wanted;
            *roster = wanted;
            is_changed
        });
    }

    async fn apply(&mut self, changes: Vec<Change>, revision: u64) -> Result<(), FollowEnd> {
        for change in self.shared.apply(changes, revision) {
            if copy::key(&change) == self.sources.keys.config_key {
                self.large.note_change(Instant::now());
            }
            match &change {
                Change::Put(entry) => self.add_member(&entry.key, &entry.value),
                Change::Delete { key, .. } => {
                    if self.members.remove(key).is_some() {
                        self.upstreams = None;
                        self.has_new_members = true;
                    }
                }
            }
            self.sender.send(Update::Change(change)).await?;
        }
        self.report_members().await
    }

    fn add_member(&mut self, key: &str, value: &[u8]) {
        match register::parse_member(key, value) {
            None => {}
            // An instance that restarts registers as what it was.
            Some(Ok(member)) if self.members.get(key) == Some(&member) => {}
            Some(Ok(member)) => {
                self.members.insert(key.to_owned(), member);
                self.upstreams = None;
                self.has_new_members = true;
            }
            Some(Err(error)) => {
                warn!(self.sources.log, "invalid member entry"; "key" => key, "error" => %error);
            }
        }
    }

    async fn record_failure(&mut self, error: &Error, since: Instant) -> Result<(), FollowEnd> {
        self.is_compacted |= store::needs_listing(error);
        self.mark_store_unreachable(error, since);
        if self.is_store_silent && self.backoff.has_failed() {
            return Ok(());
        }
        self.is_store_silent = true;
        let reason = error.to_string();
        Ok(self
            .sender
            .send(Update::StoreUnreachable { reason })
            .await?)
    }
}

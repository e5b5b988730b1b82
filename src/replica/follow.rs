//! Keeping the copy up to date, from the instance above or from the store.

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
use tokio::time;
use tokio::time::Instant;

use crate::error::Error;
use crate::flow::StoreContact;
use crate::pacing::Backoff;
use crate::platform::Change;
use crate::platform::Entry;
use crate::platform::poll::Reader;
use crate::platform::poll::UnreadableEntry;
use crate::replica::KeyLayout;
use crate::replica::Member;
use crate::replica::PollTiming;
use crate::replica::SharedCopy;
use crate::replica::Update;
use crate::replica::copy;
use crate::replica::follow::poll::Large;
use crate::replica::follow::upstream::Rest;
use crate::replica::register;
use crate::replica::store;
use crate::replica::store::Listing;
use crate::replica::subscribe::Report;

/// Longest pause between two polls while the store is silent and an upstream is
/// heard: it tells at once when the store is back.
const SLOW_RETRY: Duration = Duration::from_millis(1_500);

/// Pause before the store is probed again beside an upstream that is cut off from it,
/// too. Load pattern: the store refuses or is silent for seconds, and all
/// instances of a fleet find their copies old at once. If each left its upstream and
/// asked again and again, 70 instances made 1,400 calls in five seconds, and what the
/// zone tells of servers stopped; with it they make 100. One probe each in four seconds
/// finds an upstream that alone stays cut off; it tells of the store's return at once.
const PROBE_PAUSE: Duration = Duration::from_secs(4);

/// Where changes can come from.
pub(crate) struct FollowOptions {
    pub(crate) reader: Reader,
    pub(crate) keys: KeyLayout,
    pub(crate) timing: PollTiming,
    /// This instance, as others know it.
    pub(crate) me: Member,
    /// Instances to ask when the store does not answer at the start.
    pub(crate) seeds: Vec<SocketAddrV4>,
    pub(crate) log: Logger,
}

/// Why following ended.
enum End {
    Failed(Error),
    Abandoned,
}

impl From<Error> for End {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

impl<T> From<mpsc::error::SendError<T>> for End {
    fn from(_: mpsc::error::SendError<T>) -> Self {
        Self::Abandoned
    }
}

/// What is known of the store's answers to this instance.
#[derive(Clone, Copy, Debug)]
enum Presence {
    /// Nothing that speaks against it.
    Unknown,
    /// It did not answer, and is not probed again until then.
    Away(Instant),
    /// It answers again, which the upstream is given until then to tell.
    Back(Instant),
}

struct Follower {
    sources: FollowOptions,
    shared: Arc<SharedCopy>,
    sender: mpsc::Sender<Update>,
    members: HashMap<String, Member>,
    /// The instances above this one, until the members change.
    above: Option<Vec<SocketAddrV4>>,
    /// Whether the members have changed since they were told last.
    has_new_members: bool,
    /// Upstreams that failed.
    resting: HashMap<SocketAddrV4, Rest>,
    is_silent: bool,
    presence: Presence,
    /// [`PROBE_PAUSE`] and up to a quarter more, so that a fleet that has found the
    /// store away at once does not probe it at once again.
    probe_pause: Duration,
    /// The last poll brought changes.
    had_changes: bool,
    /// The store has dropped the history after the horizon.
    is_compacted: bool,
    /// What is known of the large value beside the copy.
    large: Large,
    backoff: Backoff,
    /// When this instance began to follow.
    begun: Instant,
    /// While an instance is followed that is not above: when the store is tried next.
    detour_ends: Option<Instant>,
}

/// Keeps the copy up to date until the receiver is dropped.
pub(crate) async fn follow(
    sources: FollowOptions,
    shared: Arc<SharedCopy>,
    sender: mpsc::Sender<Update>,
) {
    let options = sources.reader.client().options().clone();
    let mut follower = Follower {
        sources,
        shared,
        sender,
        members: HashMap::new(),
        above: None,
        has_new_members: false,
        resting: HashMap::new(),
        is_silent: true,
        presence: Presence::Unknown,
        probe_pause: PROBE_PAUSE.mul_f64(1.0 + (options.seed % 100) as f64 / 400.0),
        had_changes: false,
        is_compacted: false,
        large: Large::default(),
        backoff: Backoff::new(options.backoff, options.seed),
        begun: Instant::now(),
        detour_ends: None,
    };
    while !matches!(follower.round().await, Err(End::Abandoned)) {}
}

impl Follower {
    /// One poll of the store, or one subscription from its begin to its end.
    async fn round(&mut self) -> Result<(), End> {
        if let Some(peer) = self.candidate() {
            return self.subscribe(peer).await;
        }
        match self.ask_store().await {
            Err(End::Failed(error)) => {
                self.fail(&error).await?;
                let pause = self.backoff.next_delay().min(SLOW_RETRY);
                time::sleep(pause).await;
                Ok(())
            }
            other => other,
        }
    }

    fn is_old(&self) -> bool {
        let age = self.shared.age(Instant::now());
        age.is_none_or(|age| age > self.sources.timing.max_age)
    }

    /// Asks the store without waiting for a change.
    async fn catch_up(&mut self) -> Result<(), End> {
        self.is_silent = true;
        match self.ask_store().await {
            Err(End::Failed(error)) => {
                // The next round repeats it, with its pauses.
                self.note_away(&error);
                Ok(())
            }
            other => other,
        }
    }

    /// Takes the store for away, unless the error is an answer.
    fn note_away(&mut self, error: &Error) {
        if store::needs_listing(error) {
            return;
        }
        self.presence = Presence::Away(Instant::now() + self.probe_pause);
    }

    /// Whether the store is known not to answer here: then an upstream with an old
    /// copy is as good as any, and news of the store's return comes through it.
    fn is_store_away(&self) -> bool {
        match self.presence {
            Presence::Unknown => false,
            Presence::Away(until) | Presence::Back(until) => Instant::now() < until,
        }
    }

    async fn take(&mut self, report: Report) -> Result<(), End> {
        let now = Instant::now();
        let contact = report.age.map(|age| now - age);
        self.shared
            .outcomes
            .receive_from_upstream(now, report.remarks);
        if let Some(received) = report.received {
            info!(self.sources.log, "large value received"; "revision" => received.revision,
                "bytes" => received.bytes, "took_ms" => received.took.as_millis() as u64);
        }
        let revision = report.revision;
        if report.is_everything {
            let entries = report
                .changes
                .into_iter()
                .filter_map(|change| match change {
                    Change::Put(entry) => Some(entry),
                    Change::Delete { .. } => None,
                });
            let refused = Vec::new();
            self.reset(entries.collect(), refused, revision).await?;
        } else if !report.awaits_copy && self.shared.horizon().is_some() {
            // Whoever has nothing yet learns nothing from an instance that has nothing
            // either, itself for one: it would take the empty copy for a whole one and
            // ask no further seed while the store is away.
            self.apply(report.changes, revision).await?;
        }
        let Some(contact) = contact else {
            return Ok(());
        };
        self.shared.touch(contact);
        if !self.is_old() {
            self.is_silent = false;
            self.presence = Presence::Unknown;
            let contact = StoreContact::at(contact);
            self.sender.send(Update::Contact(contact)).await?;
        }
        Ok(())
    }

    async fn ask_store(&mut self) -> Result<(), End> {
        match self.shared.horizon() {
            None => self.begin().await,
            Some(_) if self.is_compacted => {
                let all = self.sources.keys.root_prefix;
                let listing = store::list(&self.sources.reader, all).await?;
                self.take_listing(listing).await
            }
            Some(horizon) => self.poll(horizon).await,
        }
    }

    async fn take_listing(&mut self, listing: Listing) -> Result<(), End> {
        self.is_compacted = false;
        self.large = Large::default();
        self.reset(listing.entries, listing.refused, listing.revision)
            .await?;
        self.answered(StoreContact::at(listing.asked)).await
    }

    async fn answered(&mut self, contact: StoreContact) -> Result<(), End> {
        self.is_silent = false;
        self.presence = Presence::Unknown;
        self.backoff.reset();
        self.shared.touch(contact.until);
        Ok(self.sender.send(Update::Contact(contact)).await?)
    }

    async fn reset(
        &mut self,
        entries: Vec<Entry>,
        refused: Vec<UnreadableEntry>,
        revision: u64,
    ) -> Result<(), End> {
        if !self.shared.reset(&entries, revision) {
            return Ok(());
        }
        self.members.clear();
        self.above = None;
        self.has_new_members = true;
        for entry in &entries {
            self.enroll(&entry.key, &entry.value);
        }
        // Of some keys more may be known than the listing says: going back, if only
        // for a moment, would send new flows to servers that have said that they leave.
        let known = self.shared.look(|copy| copy.entries().cloned().collect());
        let reset = Update::Reset {
            entries: known,
            refused,
            revision,
        };
        self.sender.send(reset).await?;
        self.tell_members().await
    }

    /// Tells which instances share the callers, if that has changed.
    async fn tell_members(&mut self) -> Result<(), End> {
        if !std::mem::take(&mut self.has_new_members) {
            return Ok(());
        }
        let members = self.members.values().cloned().collect();
        Ok(self.sender.send(Update::Members(members)).await?)
    }

    async fn apply(&mut self, changes: Vec<Change>, revision: u64) -> Result<(), End> {
        for change in self.shared.apply(changes, revision) {
            if copy::key(&change) == self.sources.keys.config_key {
                self.large.note_change(Instant::now());
            }
            match &change {
                Change::Put(entry) => self.enroll(&entry.key, &entry.value),
                Change::Delete { key, .. } => {
                    if self.members.remove(key).is_some() {
                        self.above = None;
                        self.has_new_members = true;
                    }
                }
            }
            self.sender.send(Update::Change(change)).await?;
        }
        self.tell_members().await
    }

    fn enroll(&mut self, key: &str, value: &[u8]) {
        match register::member(key, value) {
            None => {}
            Some(Ok(member)) => {
                self.members.insert(key.to_owned(), member);
                self.above = None;
                self.has_new_members = true;
            }
            Some(Err(error)) => {
                warn!(self.sources.log, "member refused"; "key" => key, "error" => %error);
            }
        }
    }

    async fn fail(&mut self, error: &Error) -> Result<(), End> {
        self.is_compacted |= store::needs_listing(error);
        self.note_away(error);
        if self.is_silent && self.backoff.has_failed() {
            return Ok(());
        }
        self.is_silent = true;
        let reason = error.to_string();
        Ok(self
            .sender
            .send(Update::StoreUnreachable { reason })
            .await?)
    }
}

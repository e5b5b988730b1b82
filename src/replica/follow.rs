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
use tokio::time;
use tokio::time::Instant;

use crate::error::Error;
use crate::flow::Contact;
use crate::pacing::Backoff;
use crate::platform::Change;
use crate::platform::Entry;
use crate::platform::poll::Reader;
use crate::platform::poll::Refusal;
use crate::replica::Keys;
use crate::replica::Member;
use crate::replica::Pace;
use crate::replica::Shared;
use crate::replica::Update;
use crate::replica::copy;
use crate::replica::follow::poll::Large;
use crate::replica::follow::upstream::Rest;
use crate::replica::register;
use crate::replica::store;
use crate::replica::store::Listing;
use crate::replica::subscribe::Report;

/// Longest pause between two polls while the store is unreachable and an upstream is
/// connected, which reports the store's return at once.
const SLOW_RETRY: Duration = Duration::from_millis(1_500);

/// Pause before the store is probed again while an upstream is followed that is cut off
/// from the store as well. Load pattern: the store refuses requests or is silent for
/// seconds, and the copies of all instances of a fleet become old at once. When each
/// left its upstream and polled the store again and again, 70 instances made 1,400
/// calls in five seconds, and the exchange of request outcomes in the zone stopped.
/// With this pause they make 100 calls. One probe per instance in four seconds is
/// enough to detect an upstream that alone stays cut off, and an upstream reports the
/// store's return at once.
const PROBE_PAUSE: Duration = Duration::from_secs(4);

/// What following needs: the sources of changes and their settings.
pub(crate) struct Sources {
    pub(crate) reader: Reader,
    pub(crate) keys: Keys,
    pub(crate) pace: Pace,
    /// This instance, as registered for others.
    pub(crate) me: Member,
    /// Instances to ask for a copy when the store does not respond at the start.
    pub(crate) seeds: Vec<SocketAddrV4>,
    pub(crate) log: Logger,
}

/// Why following stopped.
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

/// Reachability of the store from this instance.
#[derive(Clone, Copy, Debug)]
enum Presence {
    /// No failure is known.
    Unknown,
    /// The store did not respond; it is not probed again until this time.
    Away(Instant),
    /// The store responds again; until this time the upstream may still report that
    /// itself.
    Back(Instant),
}

struct Follower {
    sources: Sources,
    shared: Arc<Shared>,
    sender: mpsc::Sender<Update>,
    members: HashMap<String, Member>,
    /// Addresses of the instances above this one; `None` after the members have changed.
    above: Option<Vec<SocketAddrV4>>,
    /// Whether the members have changed since they were last reported.
    has_new_members: bool,
    /// Upstreams that failed.
    resting: HashMap<SocketAddrV4, Rest>,
    is_silent: bool,
    presence: Presence,
    /// [`PROBE_PAUSE`] plus up to a quarter, so that a fleet that loses the store at one
    /// moment does not probe it again at one moment.
    probe_pause: Duration,
    /// Whether the last poll brought changes.
    had_changes: bool,
    /// Whether the store has dropped the history after the synced revision.
    is_compacted: bool,
    /// Polling state of the large value.
    large: Large,
    backoff: Backoff,
    /// When following started.
    begun: Instant,
    /// While a fallback upstream is followed: when the store is probed next.
    detour_ends: Option<Instant>,
}

/// Keeps the copy up to date until the receiver is dropped.
pub(crate) async fn follow(sources: Sources, shared: Arc<Shared>, sender: mpsc::Sender<Update>) {
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
    /// One poll of the store, or one subscription from start to end.
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
        age.is_none_or(|age| age > self.sources.pace.most_age)
    }

    /// Polls the store without waiting for a change.
    async fn catch_up(&mut self) -> Result<(), End> {
        self.is_silent = true;
        match self.ask_store().await {
            Err(End::Failed(error)) => {
                // The next round polls again, after its usual pauses.
                self.note_away(&error);
                Ok(())
            }
            other => other,
        }
    }

    /// Marks the store as unreachable, unless the error is itself a response.
    fn note_away(&mut self, error: &Error) {
        if store::needs_listing(error) {
            return;
        }
        self.presence = Presence::Away(Instant::now() + self.probe_pause);
    }

    /// Whether the store is known not to respond here. Then an upstream with an old copy
    /// is as good as any other, and reports the store's return.
    fn is_store_away(&self) -> bool {
        match self.presence {
            Presence::Unknown => false,
            Presence::Away(until) | Presence::Back(until) => Instant::now() < until,
        }
    }

    async fn take(&mut self, report: Report) -> Result<(), End> {
        let now = Instant::now();
        let contact = report.age.map(|age| now - age);
        self.shared.board.hear_above(now, report.remarks);
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
            // An instance without a copy takes no changes from another one without a copy,
            // such as itself: it would treat the empty copy as complete and ask no further
            // seeds while the store is unreachable.
            self.apply(report.changes, revision).await?;
        }
        let Some(contact) = contact else {
            return Ok(());
        };
        self.shared.touch(contact);
        if !self.is_old() {
            self.is_silent = false;
            self.presence = Presence::Unknown;
            let contact = Contact::at(contact);
            self.sender.send(Update::Contact(contact)).await?;
        }
        Ok(())
    }

    async fn ask_store(&mut self) -> Result<(), End> {
        match self.shared.horizon() {
            None => self.begin().await,
            Some(_) if self.is_compacted => {
                let all = self.sources.keys.all;
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
        self.answered(Contact::at(listing.asked)).await
    }

    async fn answered(&mut self, contact: Contact) -> Result<(), End> {
        self.is_silent = false;
        self.presence = Presence::Unknown;
        self.backoff.reset();
        self.shared.touch(contact.until);
        Ok(self.sender.send(Update::Contact(contact)).await?)
    }

    async fn reset(
        &mut self,
        entries: Vec<Entry>,
        refused: Vec<Refusal>,
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
        // For some keys, newer changes than the listed ones may be known. Going back to the
        // listing, even briefly, would send new flows to servers that have announced that
        // they drain.
        let known = self.shared.look(|copy| copy.entries().cloned().collect());
        let reset = Update::Reset {
            entries: known,
            refused,
            revision,
        };
        self.sender.send(reset).await?;
        self.tell_members().await
    }

    /// Reports the instances that share the callers, if they have changed.
    async fn tell_members(&mut self) -> Result<(), End> {
        if !std::mem::take(&mut self.has_new_members) {
            return Ok(());
        }
        let members = self.members.values().cloned().collect();
        Ok(self.sender.send(Update::Members(members)).await?)
    }

    async fn apply(&mut self, changes: Vec<Change>, revision: u64) -> Result<(), End> {
        for change in self.shared.apply(changes, revision) {
            if copy::key(&change) == self.sources.keys.large {
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
        Ok(self.sender.send(Update::Silent { reason }).await?)
    }
}

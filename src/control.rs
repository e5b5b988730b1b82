//! Slice planning: decides which instance is home and which is backup of each slice.
//!
//! Like the engine, [`SlicePlanner`] does no I/O. From the slice table, the
//! registrations and the heartbeats it derives writes to the platform, copies to new
//! backups and messages to peers. Every move of a slice has two steps: install a backup,
//! then promote it to home.

mod plan;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::id;
use crate::peer;
use crate::peer::member::Member;
use crate::peer::member::MembershipView;
use crate::platform::Entry;
use crate::table::Document;
use crate::table::ROWS_PER_DOCUMENT;
use crate::table::Row;
use crate::table::Table;

/// Key prefix of the slice table's documents.
pub const SLICES_PREFIX: &str = "godwitreel/slices/";

/// Key prefix of the instances' registrations.
pub const INSTANCES: &str = "godwitreel/instances/";

/// How long a takeover request from a home is valid.
const TAKEOVER_REQUEST_TTL: Duration = Duration::from_secs(5);

/// Settings of the slice planner, fixed at the start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name and incarnation of this instance.
    pub me: id::Holder,
    /// Availability zone of this instance.
    pub zone: id::Zone,
    /// Address at which this instance receives peer messages.
    pub address: id::Endpoint,
    /// Number of slices.
    pub slices: u32,
    /// Time without a heartbeat after which a peer is suspected to be dead.
    pub suspect_after: Duration,
    /// Time without contact to the platform after which non-idempotent work stops.
    pub isolation_limit: Duration,
    /// Time of unbroken contact with the platform that must pass before a slice is taken
    /// over without its records.
    pub recordless_takeover_wait: Duration,
}

/// Registration of an instance in the platform, bound to a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name and incarnation of the instance.
    pub holder: id::Holder,
    /// Availability zone of the instance.
    pub zone: id::Zone,
    /// Address at which the instance receives peer messages.
    pub peer: id::Endpoint,
    /// Address at which the instance serves `GET /status`.
    pub status: id::Endpoint,
    /// Whether the instance is handing its slices over.
    pub leaving: bool,
}

/// An action that the control task executes for the planner.
#[derive(Clone, Debug)]
pub enum Command {
    /// Write a document of the slice table by compare-and-swap.
    Write {
        /// Number of the document.
        document: u32,
        /// The version to replace; none to create the document.
        expected: Option<u64>,
        /// Rows of the document; the writer adds a unique write id.
        rows: Vec<Row>,
    },
    /// Copy the records of these slices to a new backup.
    AddBackup {
        /// The slices.
        slices: Vec<id::Slice>,
        /// The backup.
        backup: id::Holder,
    },
    /// Cancel the copies of these slices to a new backup.
    CancelBackup(Vec<id::Slice>),
    /// Ask a backup to become home of slices.
    RequestTakeover {
        /// The backup.
        to: id::Holder,
        /// The slices.
        slices: Vec<id::Slice>,
    },
    /// Distribute the new slice table to the workers.
    Table(Arc<Table>),
    /// Distribute the new membership view to the workers.
    Membership(Arc<MembershipView>),
}

/// Result of writing a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect and created this version.
    Done(u64),
    /// The write did not take effect or was overwritten; contains the current entry.
    Lost(Option<Entry>),
    /// The write may have taken effect or may still do so.
    Unknown,
}

/// Last heartbeat of a peer.
#[derive(Clone, Debug)]
struct LastHeartbeat {
    member: Member,
    received_at: Instant,
}

/// State of one document of the slice table.
#[derive(Clone, Debug, Default)]
struct DocumentState {
    version: Option<u64>,
    /// Rows that the write in progress changes.
    pending_write: Option<Vec<(id::Slice, Row)>>,
    /// Version that a write with unknown result was to replace; that write may still take
    /// effect.
    unresolved_write: Option<Option<u64>>,
    /// Whether the platform's document has older rows than the table. Its store was restored
    /// from an older copy, and an instance that starts would believe these rows.
    is_outdated: bool,
}

/// A copy of a slice to a new backup.
#[derive(Clone, Debug)]
struct BackupCopy {
    backup: id::Holder,
    is_complete: bool,
}

/// Decides which instance is home and backup of which slice.
#[derive(Debug)]
pub struct SlicePlanner {
    settings: Settings,
    started: Instant,
    table: Table,
    documents: Vec<DocumentState>,
    last_heartbeats: BTreeMap<id::Instance, LastHeartbeat>,
    registered: BTreeMap<id::Instance, Registration>,
    /// Since when a holder has had no registration, within the current period of unbroken
    /// contact with the platform.
    unregistered_since: HashMap<id::Holder, Instant>,
    backup_copies: BTreeMap<id::Slice, BackupCopy>,
    /// Recently cancelled copies: the backup, and until when it is not chosen again.
    cancelled_copies: BTreeMap<id::Slice, (id::Holder, Instant)>,
    /// Slices that move to a less loaded instance, with that instance.
    migration_targets: BTreeMap<id::Slice, id::Holder>,
    /// Slices that this instance was asked to take over, and until when that is valid.
    takeover_requests: BTreeMap<id::Slice, Instant>,
    /// Last time at which this instance sent takeover requests.
    last_takeover_request: Option<Instant>,
    /// Since when slices are known to have lost their records.
    records_lost_since: HashMap<id::Slice, Instant>,
    last_contact: Option<Instant>,
    /// Last contact at which the platform listed this incarnation.
    last_listed_at: Option<Instant>,
    /// Time of the last tick.
    last_tick: Option<Instant>,
    is_platform_silent: bool,
    leaving: bool,
    table_changed: bool,
    view: Arc<MembershipView>,
}

impl SlicePlanner {
    /// Creates a planner with an empty table and no known peers.
    pub fn new(settings: Settings, now: Instant) -> Self {
        let documents = settings.slices.div_ceil(ROWS_PER_DOCUMENT);
        Self {
            started: now,
            table: Table::new(settings.slices),
            documents: vec![DocumentState::default(); documents as usize],
            last_heartbeats: BTreeMap::new(),
            registered: BTreeMap::new(),
            unregistered_since: HashMap::new(),
            backup_copies: BTreeMap::new(),
            cancelled_copies: BTreeMap::new(),
            migration_targets: BTreeMap::new(),
            takeover_requests: BTreeMap::new(),
            last_takeover_request: None,
            records_lost_since: HashMap::new(),
            last_contact: None,
            last_listed_at: None,
            last_tick: None,
            is_platform_silent: true,
            leaving: false,
            table_changed: true,
            view: Arc::default(),
            settings,
        }
    }

    /// Applies a registration or a document of the table, received from the platform or a
    /// peer.
    pub fn apply_entry(&mut self, now: Instant, entry: &Entry) {
        if let Some(number) = entry.key.strip_prefix(SLICES_PREFIX) {
            if let Ok(number) = number.parse::<u32>() {
                self.apply_document(now, number, entry);
            }
        } else if let Some(name) = entry.key.strip_prefix(INSTANCES)
            && let Ok(registration) = serde_json::from_slice::<Registration>(&entry.value)
            && registration.holder.instance.as_str() == name
        {
            let instance = registration.holder.instance.clone();
            self.registered.insert(instance, registration);
            self.update_last_listed();
        }
    }

    /// Updates the time at which the platform last listed this incarnation.
    ///
    /// The authority of this instance must not be extended by contact alone: other
    /// instances measure their wait from the end of its registration. If this instance
    /// could read from the platform but not renew its lease, both could otherwise act for
    /// the same slice.
    fn update_last_listed(&mut self) {
        let me = &self.settings.me;
        let listed = self.registered.get(&me.instance);
        if listed.is_some_and(|listed| listed.holder == *me) {
            self.last_listed_at = self.last_contact;
        }
    }

    /// Applies the removal of a key.
    pub fn remove(&mut self, key: &str) {
        let name = key.strip_prefix(INSTANCES);
        if let Some(instance) = name.and_then(|name| name.parse::<id::Instance>().ok()) {
            self.registered.remove(&instance);
        }
    }

    /// Removes registrations that the platform no longer lists, and marks documents that a
    /// restore of its store has lost.
    pub fn retain(&mut self, keep: &BTreeSet<&str>) {
        for (number, state) in self.documents.iter_mut().enumerate() {
            let is_listed = keep.contains(format!("{SLICES_PREFIX}{number}").as_str());
            if state.version.is_some() && !is_listed {
                state.version = None;
                state.is_outdated = true;
            }
        }
        self.registered
            .retain(|name, _| keep.contains(format!("{INSTANCES}{name}").as_str()));
    }

    fn apply_document(&mut self, now: Instant, number: u32, entry: &Entry) {
        let Some(state) = self.documents.get_mut(number as usize) else {
            return;
        };
        if state
            .version
            .is_some_and(|version| version >= entry.mod_revision)
        {
            return;
        }
        let Ok(document) = serde_json::from_slice::<Document>(&entry.value) else {
            return;
        };
        state.version = Some(entry.mod_revision);
        state.unresolved_write = None;
        let first = number * ROWS_PER_DOCUMENT;
        let mut is_outdated = false;
        for (index, row) in document.rows.into_iter().enumerate() {
            let slice = id::Slice(first + index as u32);
            let epoch = row.epoch;
            self.apply_row(now, slice, row);
            let known = self.table.get(slice).map(|known| known.epoch);
            is_outdated |= known > Some(epoch);
        }
        self.documents[number as usize].is_outdated = is_outdated;
    }

    fn apply_row(&mut self, now: Instant, slice: id::Slice, row: Row) {
        let is_home = row.is_home(&self.settings.me);
        let backup = row.backup.clone();
        let before = self.table.get(slice).cloned().unwrap_or_default();
        if !self.table.update_if_newer(slice, row.clone()) {
            return;
        }
        if !row.records_lost {
            self.records_lost_since.remove(&slice);
        } else if row.continues(&before) {
            self.records_lost_since.entry(slice).or_insert(now);
        } else {
            self.records_lost_since.insert(slice, now);
        }
        self.table_changed = true;
        self.takeover_requests.remove(&slice);
        if !is_home {
            self.backup_copies.remove(&slice);
            self.migration_targets.remove(&slice);
        }
        if self.backup_copies.get(&slice).map(|copy| &copy.backup) == backup.as_ref() {
            self.backup_copies.remove(&slice);
        }
    }

    /// Records that the platform answered at this time.
    pub fn contact(&mut self, at: Instant) {
        if self.is_platform_silent {
            // During the outage, holders may have been registered without being seen here.
            self.unregistered_since.clear();
        }
        self.is_platform_silent = false;
        self.last_contact = self.last_contact.max(Some(at));
        self.update_last_listed();
    }

    /// Records that the platform does not answer.
    pub fn lose_contact(&mut self) {
        self.is_platform_silent = true;
    }

    /// Whether the platform currently does not answer.
    pub fn is_platform_silent(&self) -> bool {
        self.is_platform_silent
    }

    /// Time of the platform's last answer.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact
    }

    /// Records a peer's heartbeat; returns whether the peer or its incarnation is new.
    pub fn heartbeat(
        &mut self,
        now: Instant,
        from: &id::Holder,
        message: &peer::Heartbeat,
    ) -> bool {
        let (Ok(zone), Ok(address)) = (message.zone.parse(), message.address.parse()) else {
            return false;
        };
        let member = Member {
            holder: from.clone(),
            zone,
            address,
            leaving: message.leaving,
        };
        let known = self.last_heartbeats.get(&from.instance);
        if known.is_some_and(|known| known.member.holder.incarnation > from.incarnation) {
            return false;
        }
        let is_new = known.is_none_or(|known| known.member.holder != *from);
        let heartbeat = LastHeartbeat {
            member,
            received_at: now,
        };
        self.last_heartbeats
            .insert(from.instance.clone(), heartbeat);
        is_new
    }

    /// Records that a home asks this instance, its backup, to take slices over.
    pub fn takeover_requested(&mut self, now: Instant, from: &id::Holder, slices: &[u32]) {
        for slice in slices {
            let slice = id::Slice(*slice);
            if slice.0 < self.table.len() && self.table.row(slice).is_home(from) {
                self.takeover_requests
                    .insert(slice, now + TAKEOVER_REQUEST_TTL);
            }
        }
    }

    /// Records that a new backup has all records of a slice.
    pub fn backup_synced(&mut self, slice: id::Slice, backup: &id::Holder) {
        if let Some(copy) = self.backup_copies.get_mut(&slice)
            && copy.backup == *backup
        {
            copy.is_complete = true;
        }
    }

    /// Records the result of a write.
    pub fn write_finished(&mut self, now: Instant, document: u32, result: WriteResult) {
        let Some(state) = self.documents.get_mut(document as usize) else {
            return;
        };
        let rows = state.pending_write.take().unwrap_or_default();
        match result {
            WriteResult::Done(version) => {
                state.unresolved_write = None;
                state.is_outdated = false;
                if state.version.is_none_or(|known| known < version) {
                    state.version = Some(version);
                    for (slice, row) in rows {
                        self.apply_row(now, slice, row);
                    }
                }
            }
            WriteResult::Lost(entry) => {
                if let Some(entry) = entry {
                    self.apply_document(now, document, &entry);
                }
            }
            WriteResult::Unknown => state.unresolved_write = Some(state.version),
        }
    }

    /// Starts or stops handing over all slices.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether this instance is handing its slices over.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Numbers of slices of which the table names this instance as home, as backup, and as
    /// home without a backup.
    pub fn holdings(&self) -> (u32, u32, u32) {
        let me = &self.settings.me;
        let mut counts = (0, 0, 0);
        for (_, row) in self.table.rows() {
            if row.is_home(me) {
                counts.0 += 1;
                counts.2 += u32::from(row.backup.is_none());
            }
            counts.1 += u32::from(row.is_backup(me));
        }
        counts
    }

    /// The other instances, each with the time of its last heartbeat, if any.
    pub fn peers(&self) -> Vec<(Member, Option<Instant>)> {
        let mut peers = BTreeMap::new();
        for registration in self.registered.values() {
            let member = Member {
                holder: registration.holder.clone(),
                zone: registration.zone.clone(),
                address: registration.peer,
                leaving: registration.leaving,
            };
            peers.insert(registration.holder.instance.clone(), (member, None));
        }
        for (instance, heartbeat) in &self.last_heartbeats {
            let known = peers.get(instance);
            let is_newer = known.is_none_or(|(member, _): &(Member, _)| {
                member.holder.incarnation <= heartbeat.member.holder.incarnation
            });
            if is_newer {
                let peer = (heartbeat.member.clone(), Some(heartbeat.received_at));
                peers.insert(instance.clone(), peer);
            }
        }
        peers.remove(&self.settings.me.instance);
        peers.into_values().collect()
    }

    /// Whether a heartbeat of this holder was received recently.
    pub fn is_live(&self, now: Instant, holder: &id::Holder) -> bool {
        if *holder == self.settings.me {
            return true;
        }
        self.last_heartbeats
            .get(&holder.instance)
            .is_some_and(|heartbeat| {
                heartbeat.member.holder == *holder
                    && now < heartbeat.received_at + self.settings.suspect_after
            })
    }
}

//! The control task's decisions: who is home and backup of which slice.
//!
//! Like the engine, [`SlicePlanner`] has no input or output of its own. It looks at
//! the slice table, the registrations and the heartbeats, and asks for writes to
//! the platform, for copies to new backups and for messages to peers. Everything
//! that moves is made of two steps: install a backup, promote the backup.

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

/// Prefix of the slice table's documents.
pub const SLICES_PREFIX: &str = "godwitreel/slices/";

/// Prefix of the instances' registrations.
pub const INSTANCES: &str = "godwitreel/instances/";

/// How long a request to take slices over is honoured.
const YIELD_VALID: Duration = Duration::from_secs(5);

/// What the control task is told once.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance's life.
    pub me: id::Holder,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it takes peer messages.
    pub address: id::Endpoint,
    /// Count of slices.
    pub slices: u32,
    /// Silence after which a peer is taken to be gone.
    pub suspect_after: Duration,
    /// Silence of the platform after which non-idempotent work stops.
    pub isolation_limit: Duration,
    /// Unbroken contact with the platform before a slice is taken without records.
    pub recordless_takeover_wait: Duration,
}

/// An instance's registration in the platform, under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Which instance, in which of its lives.
    pub holder: id::Holder,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where it takes peer messages.
    pub peer: id::Endpoint,
    /// Where it answers `GET /status`.
    pub status: id::Endpoint,
    /// Whether it is handing its slices over.
    pub leaving: bool,
}

/// What the control task wants done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Write a document of the slice table by compare-and-swap.
    Write {
        /// Number of the document.
        document: u32,
        /// The version to replace; none to create it.
        expected: Option<u64>,
        /// Its rows; the writer adds a mark of its own.
        rows: Vec<Row>,
    },
    /// Copy the records of these slices to a new backup.
    AddBackup {
        /// The slices.
        slices: Vec<id::Slice>,
        /// The backup.
        backup: id::Holder,
    },
    /// Go on without the backup that was being joined.
    CancelBackup(Vec<id::Slice>),
    /// Ask a backup to take slices over.
    RequestTakeover {
        /// The backup.
        to: id::Holder,
        /// The slices.
        slices: Vec<id::Slice>,
    },
    /// The workers need the new table.
    Table(Arc<Table>),
    /// The workers need the new view.
    Membership(Arc<MembershipView>),
}

/// How a write of a document ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It stands, at this version.
    Done(u64),
    /// It did not take effect, or was replaced; this is what stands.
    Lost(Option<Entry>),
    /// It may have taken effect or still do so.
    Unknown,
}

/// A peer that was heard.
#[derive(Clone, Debug)]
struct Heard {
    member: Member,
    at: Instant,
}

/// One document of the slice table.
#[derive(Clone, Debug, Default)]
struct Part {
    version: Option<u64>,
    /// The write under way: the rows it changes.
    writing: Option<Vec<(id::Slice, Row)>>,
    /// A write against this version may still take effect.
    uncertain: Option<Option<u64>>,
}

/// A copy to a new backup.
#[derive(Clone, Debug)]
struct Joining {
    backup: id::Holder,
    complete: bool,
}

/// The control task's state.
#[derive(Debug)]
pub struct SlicePlanner {
    settings: Settings,
    started: Instant,
    table: Table,
    parts: Vec<Part>,
    heard: BTreeMap<id::Instance, Heard>,
    registered: BTreeMap<id::Instance, Registration>,
    /// Since when a holder has had no registration, as long as contact was unbroken.
    gone: HashMap<id::Holder, Instant>,
    joining: BTreeMap<id::Slice, Joining>,
    /// Copies that were given up lately: to whom, and until when it is passed over.
    abandoned: BTreeMap<id::Slice, (id::Holder, Instant)>,
    /// Slices on their way to a less loaded instance.
    migrating: BTreeMap<id::Slice, id::Holder>,
    yielded: BTreeMap<id::Slice, Instant>,
    asked: Option<Instant>,
    /// Since when slices are known to have lost their records.
    blank_since: HashMap<id::Slice, Instant>,
    last_contact: Option<Instant>,
    /// Last contact at which the platform listed this life.
    listed_at: Option<Instant>,
    ticked: Option<Instant>,
    silent: bool,
    leaving: bool,
    table_changed: bool,
    view: Arc<MembershipView>,
}

impl SlicePlanner {
    /// Starts without any knowledge.
    pub fn new(settings: Settings, now: Instant) -> Self {
        let documents = settings.slices.div_ceil(ROWS_PER_DOCUMENT);
        Self {
            started: now,
            table: Table::new(settings.slices),
            parts: vec![Part::default(); documents as usize],
            heard: BTreeMap::new(),
            registered: BTreeMap::new(),
            gone: HashMap::new(),
            joining: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            migrating: BTreeMap::new(),
            yielded: BTreeMap::new(),
            asked: None,
            blank_since: HashMap::new(),
            last_contact: None,
            listed_at: None,
            ticked: None,
            silent: true,
            leaving: false,
            table_changed: true,
            view: Arc::default(),
            settings,
        }
    }

    /// Takes a registration or a document of the table, from platform or peer.
    pub fn apply_entry(&mut self, now: Instant, entry: &Entry) {
        if let Some(number) = entry.key.strip_prefix(SLICES_PREFIX) {
            if let Ok(number) = number.parse::<u32>() {
                self.store_document(now, number, entry);
            }
        } else if let Some(name) = entry.key.strip_prefix(INSTANCES)
            && let Ok(registration) = serde_json::from_slice::<Registration>(&entry.value)
            && registration.holder.instance.as_str() == name
        {
            let instance = registration.holder.instance.clone();
            self.registered.insert(instance, registration);
            self.confirm_listing();
        }
    }

    /// Others count from when this life is not listed any more, so its own time
    /// must not run on by contact alone: a platform that lets it read but not renew
    /// would let both go on.
    fn confirm_listing(&mut self) {
        let me = &self.settings.me;
        let listed = self.registered.get(&me.instance);
        if listed.is_some_and(|listed| listed.holder == *me) {
            self.listed_at = self.last_contact;
        }
    }

    /// Takes the removal of a key.
    pub fn remove(&mut self, key: &str) {
        let name = key.strip_prefix(INSTANCES);
        if let Some(instance) = name.and_then(|name| name.parse::<id::Instance>().ok()) {
            self.registered.remove(&instance);
        }
    }

    /// Drops registrations that the platform does not list any more.
    pub fn retain(&mut self, keep: &BTreeSet<&str>) {
        self.registered
            .retain(|name, _| keep.contains(format!("{INSTANCES}{name}").as_str()));
    }

    fn store_document(&mut self, now: Instant, number: u32, entry: &Entry) {
        let Some(part) = self.parts.get_mut(number as usize) else {
            return;
        };
        if part
            .version
            .is_some_and(|version| version >= entry.mod_revision)
        {
            return;
        }
        let Ok(document) = serde_json::from_slice::<Document>(&entry.value) else {
            return;
        };
        part.version = Some(entry.mod_revision);
        part.uncertain = None;
        let first = number * ROWS_PER_DOCUMENT;
        for (place, row) in document.rows.into_iter().enumerate() {
            self.take_row(now, id::Slice(first + place as u32), row);
        }
    }

    fn take_row(&mut self, now: Instant, slice: id::Slice, row: Row) {
        let home = row.is_home(&self.settings.me);
        let backup = row.backup.clone();
        let before = self.table.get(slice).cloned().unwrap_or_default();
        if !self.table.update_if_newer(slice, row.clone()) {
            return;
        }
        if !row.records_lost {
            self.blank_since.remove(&slice);
        } else if row.continues(&before) {
            self.blank_since.entry(slice).or_insert(now);
        } else {
            self.blank_since.insert(slice, now);
        }
        self.table_changed = true;
        self.yielded.remove(&slice);
        if !home {
            self.joining.remove(&slice);
            self.migrating.remove(&slice);
        }
        if self.joining.get(&slice).map(|joining| &joining.backup) == backup.as_ref() {
            self.joining.remove(&slice);
        }
    }

    /// The platform answered at this time.
    pub fn contact(&mut self, at: Instant) {
        if self.silent {
            // Whoever was not seen during the silence may have been there.
            self.gone.clear();
        }
        self.silent = false;
        self.last_contact = self.last_contact.max(Some(at));
        self.confirm_listing();
    }

    /// The platform does not answer.
    pub fn lose_contact(&mut self) {
        self.silent = true;
    }

    /// Whether the platform does not answer now.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// When the platform last answered.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact
    }

    /// A peer's sign of life; tells whether the peer is new.
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
        let known = self.heard.get(&from.instance);
        if known.is_some_and(|known| known.member.holder.incarnation > from.incarnation) {
            return false;
        }
        let new = known.is_none_or(|known| known.member.holder != *from);
        let heard = Heard { member, at: now };
        self.heard.insert(from.instance.clone(), heard);
        new
    }

    /// A home asks this instance, its backup, to take slices over.
    pub fn takeover_requested(&mut self, now: Instant, from: &id::Holder, slices: &[u32]) {
        for slice in slices {
            let slice = id::Slice(*slice);
            if slice.0 < self.table.len() && self.table.row(slice).is_home(from) {
                self.yielded.insert(slice, now + YIELD_VALID);
            }
        }
    }

    /// A new backup has all records of a slice.
    pub fn backup_synced(&mut self, slice: id::Slice, backup: &id::Holder) {
        if let Some(joining) = self.joining.get_mut(&slice)
            && joining.backup == *backup
        {
            joining.complete = true;
        }
    }

    /// A write has ended.
    pub fn write_finished(&mut self, now: Instant, document: u32, written: WriteResult) {
        let Some(part) = self.parts.get_mut(document as usize) else {
            return;
        };
        let rows = part.writing.take().unwrap_or_default();
        match written {
            WriteResult::Done(version) => {
                part.uncertain = None;
                if part.version.is_none_or(|known| known < version) {
                    part.version = Some(version);
                    for (slice, row) in rows {
                        self.take_row(now, slice, row);
                    }
                }
            }
            WriteResult::Lost(entry) => {
                if let Some(entry) = entry {
                    self.store_document(now, document, &entry);
                }
            }
            WriteResult::Unknown => part.uncertain = Some(part.version),
        }
    }

    /// Begins or ends handing all slices over.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether it is handing its slices over.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Slices that the table still gives to this instance, as home and as backup.
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

    /// The other instances: each with when it was last heard, if ever.
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
        for (instance, heard) in &self.heard {
            let known = peers.get(instance);
            let newer = known.is_none_or(|(member, _): &(Member, _)| {
                member.holder.incarnation <= heard.member.holder.incarnation
            });
            if newer {
                let peer = (heard.member.clone(), Some(heard.at));
                peers.insert(instance.clone(), peer);
            }
        }
        peers.remove(&self.settings.me.instance);
        peers.into_values().collect()
    }

    /// Whether a holder was heard recently.
    pub fn is_live(&self, now: Instant, holder: &id::Holder) -> bool {
        if *holder == self.settings.me {
            return true;
        }
        self.heard.get(&holder.instance).is_some_and(|heard| {
            heard.member.holder == *holder && now < heard.at + self.settings.suspect_after
        })
    }
}

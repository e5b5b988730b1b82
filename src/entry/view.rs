//! Decodes updates of the store's copy into state updates of the data plane.

use crate::entry::DecodedEntry;
use crate::entry::StoreSchema;
use crate::entry::Subject;
use crate::flow::Peer;
use crate::flow::StateUpdate;
use crate::platform;
use crate::platform::Change;
use crate::platform::poll::UnreadableEntry;
use crate::replica::Member;
use crate::replica::Update;

/// State updates decoded from an update of the copy, and the entries that could not be
/// decoded.
#[derive(Debug, Default)]
pub(crate) struct DecodedUpdate {
    pub(crate) state_updates: Vec<StateUpdate>,
    pub(crate) unreadable: Vec<UnreadableEntry>,
}

impl DecodedUpdate {
    pub(crate) fn new(schema: &StoreSchema, update: Update) -> Self {
        let mut decoded = Self::default();
        match update {
            Update::Reset {
                entries, refused, ..
            } => decoded.reset(schema, &entries, refused),
            Update::Part { entries } => decoded.add_part(schema, &entries),
            Update::Change(Change::Put(entry)) => decoded.put(schema, &entry),
            Update::Change(Change::Delete { key, .. }) => {
                let subject = (schema.key_subject)(&key);
                decoded.state_updates.extend(subject.map(on_deleted));
            }
            Update::Refused(entry) => decoded.add_unreadable(schema, entry),
            Update::Contact(contact) => decoded
                .state_updates
                .push(StateUpdate::StoreContact(contact)),
            Update::Restored { .. } => decoded.state_updates.push(StateUpdate::StoreRestored),
            Update::StoreUnreachable { .. } => {
                decoded.state_updates.push(StateUpdate::StoreUnreachable)
            }
            Update::Members(members) => {
                let peers = members.into_iter().map(peer).collect();
                decoded.state_updates.push(StateUpdate::Peers(peers));
            }
            Update::UpstreamChanged { .. } => {}
        }
        decoded
    }

    /// Adds the state update of an entry. If the entry cannot be decoded, its server gets
    /// no new flows, and its last known state is kept for its open flows.
    fn put(&mut self, schema: &StoreSchema, entry: &platform::Entry) {
        match (schema.decode_entry)(entry) {
            Ok(DecodedEntry::Server(server)) => {
                self.state_updates.push(StateUpdate::Server(server))
            }
            Ok(DecodedEntry::Routes(routes)) => {
                self.state_updates.push(StateUpdate::Routes(routes))
            }
            Ok(DecodedEntry::Evacuation(zone)) => {
                self.state_updates.push(StateUpdate::ZoneEvacuated(zone))
            }
            Ok(DecodedEntry::Other) => {}
            Err(reason) => {
                let key = entry.key.clone();
                self.add_unreadable(schema, UnreadableEntry { key, reason });
            }
        }
    }

    fn add_unreadable(&mut self, schema: &StoreSchema, entry: UnreadableEntry) {
        let subject = (schema.key_subject)(&entry.key);
        self.state_updates.extend(subject.map(on_unreadable));
        self.unreadable.push(entry);
    }

    /// Adds the state updates of some entries, while the first copy comes in. Entries that
    /// cannot be decoded are reported with the complete copy.
    fn add_part(&mut self, schema: &StoreSchema, entries: &[platform::Entry]) {
        let mut servers = Vec::new();
        for entry in entries {
            match (schema.decode_entry)(entry) {
                Ok(DecodedEntry::Server(server)) => servers.push(server),
                Ok(_) => self.put(schema, entry),
                Err(_) => {}
            }
        }
        if !servers.is_empty() {
            self.state_updates.push(StateUpdate::SomeServers(servers));
        }
    }

    /// Adds the state updates of a whole copy, which replaces the previous one.
    fn reset(
        &mut self,
        schema: &StoreSchema,
        entries: &[platform::Entry],
        unreadable: Vec<UnreadableEntry>,
    ) {
        for entry in unreadable {
            self.add_unreadable(schema, entry);
        }
        for entry in entries {
            self.put(schema, entry);
        }
        let mut listed = Vec::new();
        let mut unreadable = Vec::new();
        let mut evacuated = Vec::new();
        let mut others = Vec::new();
        for update in self.state_updates.drain(..) {
            match update {
                StateUpdate::Server(server) => listed.push(server),
                StateUpdate::ServerUnreadable(server) => unreadable.push(server),
                StateUpdate::ZoneEvacuated(zone) => evacuated.push(zone),
                other => others.push(other),
            }
        }
        let servers = StateUpdate::Servers { listed, unreadable };
        self.state_updates = others;
        // Evacuations come before the servers, so that no server of an evacuated zone gets
        // new flows in between.
        self.state_updates
            .push(StateUpdate::EvacuatedZones(evacuated.into_iter().collect()));
        self.state_updates.push(servers);
    }
}

fn peer(member: Member) -> Peer {
    Peer {
        instance: member.instance,
        zone: member.zone,
    }
}

/// The state update that follows from a deleted entry.
fn on_deleted(subject: Subject) -> StateUpdate {
    match subject {
        Subject::Server(server) => StateUpdate::ServerRemoved(server),
        Subject::Evacuation(zone) => StateUpdate::ZoneRestored(zone),
    }
}

/// The state update that follows from an entry whose value cannot be decoded. An
/// evacuation is in force while its key exists, whatever its value.
fn on_unreadable(subject: Subject) -> StateUpdate {
    match subject {
        Subject::Server(server) => StateUpdate::ServerUnreadable(server),
        Subject::Evacuation(zone) => StateUpdate::ZoneEvacuated(zone),
    }
}

//! From the store's entries to beliefs of the decisions.

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

/// What an update of the copy says, and which entries could not be read.
#[derive(Debug, Default)]
pub(crate) struct Reading {
    pub(crate) beliefs: Vec<StateUpdate>,
    pub(crate) refused: Vec<UnreadableEntry>,
}

impl Reading {
    pub(crate) fn new(schema: &StoreSchema, update: Update) -> Self {
        let mut reading = Self::default();
        match update {
            Update::Reset {
                entries, refused, ..
            } => reading.reset(schema, &entries, refused),
            Update::Change(Change::Put(entry)) => reading.put(schema, &entry),
            Update::Change(Change::Delete { key, .. }) => {
                let subject = (schema.key_subject)(&key);
                reading.beliefs.extend(subject.map(deleted));
            }
            Update::Refused(refusal) => reading.refuse(schema, refusal),
            Update::Contact(contact) => reading.beliefs.push(StateUpdate::StoreContact(contact)),
            Update::StoreUnreachable { .. } => reading.beliefs.push(StateUpdate::StoreUnreachable),
            Update::Members(members) => {
                let peers = members.into_iter().map(peer).collect();
                reading.beliefs.push(StateUpdate::Peers(peers));
            }
            Update::UpstreamChanged { .. } => {}
        }
        reading
    }

    /// An entry that cannot be read names no server to use; what was known of the
    /// server stays for its open flows.
    fn put(&mut self, schema: &StoreSchema, entry: &platform::Entry) {
        match (schema.decode_entry)(entry) {
            Ok(DecodedEntry::Server(server)) => self.beliefs.push(StateUpdate::Server(server)),
            Ok(DecodedEntry::Routes(routes)) => self.beliefs.push(StateUpdate::Routes(routes)),
            Ok(DecodedEntry::Evacuation(zone)) => {
                self.beliefs.push(StateUpdate::ZoneEvacuated(zone))
            }
            Ok(DecodedEntry::Other) => {}
            Err(reason) => {
                let key = entry.key.clone();
                self.refuse(schema, UnreadableEntry { key, reason });
            }
        }
    }

    fn refuse(&mut self, schema: &StoreSchema, refusal: UnreadableEntry) {
        let subject = (schema.key_subject)(&refusal.key);
        self.beliefs.extend(subject.map(unreadable));
        self.refused.push(refusal);
    }

    fn reset(
        &mut self,
        schema: &StoreSchema,
        entries: &[platform::Entry],
        refused: Vec<UnreadableEntry>,
    ) {
        for refusal in refused {
            self.refuse(schema, refusal);
        }
        for entry in entries {
            self.put(schema, entry);
        }
        let mut listed = Vec::new();
        let mut unreadable = Vec::new();
        let mut evacuated = Vec::new();
        let mut others = Vec::new();
        for belief in self.beliefs.drain(..) {
            match belief {
                StateUpdate::Server(server) => listed.push(server),
                StateUpdate::ServerUnreadable(server) => unreadable.push(server),
                StateUpdate::ZoneEvacuated(zone) => evacuated.push(zone),
                other => others.push(other),
            }
        }
        let servers = StateUpdate::Servers { listed, unreadable };
        self.beliefs = others;
        // No server must take new flows in between.
        self.beliefs
            .push(StateUpdate::EvacuatedZones(evacuated.into_iter().collect()));
        self.beliefs.push(servers);
    }
}

fn peer(member: Member) -> Peer {
    Peer {
        instance: member.instance,
        zone: member.zone,
    }
}

/// What follows from an entry that is gone.
fn deleted(subject: Subject) -> StateUpdate {
    match subject {
        Subject::Server(server) => StateUpdate::ServerRemoved(server),
        Subject::Evacuation(zone) => StateUpdate::ZoneRestored(zone),
    }
}

/// What follows from an entry whose value cannot be read.
fn unreadable(subject: Subject) -> StateUpdate {
    match subject {
        Subject::Server(server) => StateUpdate::ServerUnreadable(server),
        Subject::Evacuation(zone) => StateUpdate::ZoneEvacuated(zone),
    }
}

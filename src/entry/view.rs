//! Decodes updates of the store's copy into state updates of the data plane.

use crate::entry::Entry;
use crate::entry::Subject;
use crate::entry::Vocabulary;
use crate::flow::Belief;
use crate::flow::Peer;
use crate::platform;
use crate::platform::Change;
use crate::platform::poll::Refusal;
use crate::replica::Member;
use crate::replica::Update;

/// State updates decoded from an update of the copy, and the entries that could not be
/// decoded.
#[derive(Debug, Default)]
pub(crate) struct DecodedUpdate {
    pub(crate) state_updates: Vec<Belief>,
    pub(crate) unreadable: Vec<Refusal>,
}

impl DecodedUpdate {
    pub(crate) fn new(schema: &Vocabulary, update: Update) -> Self {
        let mut decoded = Self::default();
        match update {
            Update::Reset {
                entries, refused, ..
            } => decoded.reset(schema, &entries, refused),
            Update::Change(Change::Put(entry)) => decoded.put(schema, &entry),
            Update::Change(Change::Delete { key, .. }) => {
                let subject = (schema.subject)(&key);
                decoded.state_updates.extend(subject.map(on_deleted));
            }
            Update::Refused(entry) => decoded.add_unreadable(schema, entry),
            Update::Contact(contact) => decoded.state_updates.push(Belief::Contact(contact)),
            Update::Silent { .. } => decoded.state_updates.push(Belief::Silence),
            Update::Members(members) => {
                let peers = members.into_iter().map(peer).collect();
                decoded.state_updates.push(Belief::Peers(peers));
            }
            Update::Source { .. } => {}
        }
        decoded
    }

    /// An entry that cannot be decoded makes its server unreadable: the server gets no new
    /// flows, and its last known state stays for its open flows.
    fn put(&mut self, schema: &Vocabulary, entry: &platform::Entry) {
        match (schema.read)(entry) {
            Ok(Entry::Server(server)) => self.state_updates.push(Belief::Server(server)),
            Ok(Entry::Routes(routes)) => self.state_updates.push(Belief::Routes(routes)),
            Ok(Entry::Evacuation(zone)) => self.state_updates.push(Belief::Evacuated(zone)),
            Ok(Entry::Other) => {}
            Err(reason) => {
                let key = entry.key.clone();
                self.add_unreadable(schema, Refusal { key, reason });
            }
        }
    }

    fn add_unreadable(&mut self, schema: &Vocabulary, entry: Refusal) {
        let subject = (schema.subject)(&entry.key);
        self.state_updates.extend(subject.map(on_unreadable));
        self.unreadable.push(entry);
    }

    fn reset(
        &mut self,
        schema: &Vocabulary,
        entries: &[platform::Entry],
        unreadable: Vec<Refusal>,
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
                Belief::Server(server) => listed.push(server),
                Belief::Unreadable(server) => unreadable.push(server),
                Belief::Evacuated(zone) => evacuated.push(zone),
                other => others.push(other),
            }
        }
        let servers = Belief::Servers { listed, unreadable };
        self.state_updates = others;
        // Evacuations come before the servers, so that no server of an evacuated zone gets
        // new flows in between.
        self.state_updates
            .push(Belief::Evacuation(evacuated.into_iter().collect()));
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
fn on_deleted(subject: Subject) -> Belief {
    match subject {
        Subject::Server(server) => Belief::Gone(server),
        Subject::Evacuation(zone) => Belief::Returned(zone),
    }
}

/// The state update that follows from an entry whose value cannot be decoded. An
/// evacuation is in force while its key exists, whatever its value.
fn on_unreadable(subject: Subject) -> Belief {
    match subject {
        Subject::Server(server) => Belief::Unreadable(server),
        Subject::Evacuation(zone) => Belief::Evacuated(zone),
    }
}

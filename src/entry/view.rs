//! From the store's entries to beliefs of the decisions.

use crate::entry::Entry;
use crate::entry::Subject;
use crate::entry::Vocabulary;
use crate::flow::StateUpdate;
use crate::flow::Peer;
use crate::platform;
use crate::platform::Change;
use crate::platform::poll::Refusal;
use crate::replica::Member;
use crate::replica::Update;

/// What an update of the copy says, and which entries could not be read.
#[derive(Debug, Default)]
pub(crate) struct Reading {
    pub(crate) beliefs: Vec<StateUpdate>,
    pub(crate) refused: Vec<Refusal>,
}

impl Reading {
    pub(crate) fn new(vocabulary: &Vocabulary, update: Update) -> Self {
        let mut reading = Self::default();
        match update {
            Update::Reset {
                entries, refused, ..
            } => reading.reset(vocabulary, &entries, refused),
            Update::Change(Change::Put(entry)) => reading.put(vocabulary, &entry),
            Update::Change(Change::Delete { key, .. }) => {
                let subject = (vocabulary.subject)(&key);
                reading.beliefs.extend(subject.map(deleted));
            }
            Update::Refused(refusal) => reading.refuse(vocabulary, refusal),
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
    fn put(&mut self, vocabulary: &Vocabulary, entry: &platform::Entry) {
        match (vocabulary.read)(entry) {
            Ok(Entry::Server(server)) => self.beliefs.push(StateUpdate::Server(server)),
            Ok(Entry::Routes(routes)) => self.beliefs.push(StateUpdate::Routes(routes)),
            Ok(Entry::Evacuation(zone)) => self.beliefs.push(StateUpdate::ZoneEvacuated(zone)),
            Ok(Entry::Other) => {}
            Err(reason) => {
                let key = entry.key.clone();
                self.refuse(vocabulary, Refusal { key, reason });
            }
        }
    }

    fn refuse(&mut self, vocabulary: &Vocabulary, refusal: Refusal) {
        let subject = (vocabulary.subject)(&refusal.key);
        self.beliefs.extend(subject.map(unreadable));
        self.refused.push(refusal);
    }

    fn reset(
        &mut self,
        vocabulary: &Vocabulary,
        entries: &[platform::Entry],
        refused: Vec<Refusal>,
    ) {
        for refusal in refused {
            self.refuse(vocabulary, refusal);
        }
        for entry in entries {
            self.put(vocabulary, entry);
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

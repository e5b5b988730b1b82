//! A home and its backup, driven by hand.

use std::sync::Arc;

use godwitreel::action::Action;
use godwitreel::document::Profile;
use godwitreel::engine::Engine;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::peer::PeerMessage;
use godwitreel::peer::ReplicationItem;
use godwitreel::request::Answer;
use godwitreel::request::Kind;
use godwitreel::server::Server;
use godwitreel::table::Row;
use tokio::time::Instant;

use super::deliver;
use super::holder;
use super::peer_messages;
use super::request;
use super::row;
use super::table;
use super::view;

/// The engines of a home and its backup, with a table of one slice and three servers.
pub(crate) struct Pair {
    pub(crate) now: Instant,
    pub(crate) home: Engine,
    pub(crate) backup: Engine,
    pub(crate) a: id::Holder,
    pub(crate) b: id::Holder,
    pub(crate) servers: Vec<Arc<Server>>,
}

impl Pair {
    pub(crate) fn new(row: Row) -> Self {
        let now = Instant::now();
        let (a, b) = (holder("a", 1), holder("b", 1));
        let names = ["d1", "d2", "d3"];
        let server = |(port, name): (u16, &str)| super::server(now, name, "dispatch", port);
        let servers = (1..).zip(names).map(server).collect();
        let mut pair = Self {
            now,
            home: Engine::new(super::settings(&a, 0, 1)),
            backup: Engine::new(super::settings(&b, 0, 1)),
            a,
            b,
            servers,
        };
        pair.configure(&Profile::default());
        pair.install(row);
        pair
    }

    /// A home whose backup is named in the table.
    pub(crate) fn with_backup() -> Self {
        let (a, b) = (holder("a", 1), holder("b", 1));
        Self::new(row(1, Some(&a), Some(&b)))
    }

    pub(crate) fn configure(&mut self, profile: &Profile) {
        let service = super::service("dispatch", profile, self.servers.clone());
        let snapshot = Event::Snapshot(super::snapshot(vec![service]));
        let view = view(&[&self.a, &self.b], self.now + super::FOREVER);
        for engine in [&mut self.home, &mut self.backup] {
            engine.handle(self.now, snapshot.clone());
            engine.handle(self.now, view.clone());
        }
    }

    /// Makes the backup suspect the home.
    pub(crate) fn lose_home(&mut self) {
        let view = view(&[&self.b], self.now + super::FOREVER);
        self.backup.handle(self.now, view);
    }

    /// Gives both engines a new table; returns their actions.
    pub(crate) fn install(&mut self, row: Row) -> Vec<Action> {
        let mut actions = self.home.handle(self.now, table(row.clone()));
        actions.extend(self.backup.handle(self.now, table(row)));
        actions
    }

    /// Sends a non-idempotent request to the home.
    pub(crate) fn book(&mut self, number: u64) -> Vec<Action> {
        let request = request(&super::flow("dispatch", 1), number, Kind::NonIdempotent);
        self.home
            .handle(self.now, Event::Request { request, hops: 0 })
    }

    /// Passes messages of the home to the backup.
    pub(crate) fn deliver_to_backup(&mut self, actions: &[Action]) -> Vec<Action> {
        deliver(self.now, &self.a, actions, &self.b, &mut self.backup)
    }

    /// Passes messages of the backup to the home.
    pub(crate) fn deliver_to_home(&mut self, actions: &[Action]) -> Vec<Action> {
        deliver(self.now, &self.b, actions, &self.a, &mut self.home)
    }

    /// Starts the copy to the backup.
    pub(crate) fn add_backup(&mut self) -> Vec<Action> {
        let event = Event::AddBackup {
            slices: vec![id::Slice(0)],
            backup: self.b.clone(),
        };
        self.home.handle(self.now, event)
    }

    /// Sends a request of any kind to the home.
    pub(crate) fn ask(&mut self, number: u64, kind: Kind) -> Vec<Action> {
        let request = request(&super::flow("dispatch", 1), number, kind);
        self.home
            .handle(self.now, Event::Request { request, hops: 0 })
    }

    /// Sends a request that another instance relayed to the backup.
    pub(crate) fn ask_backup(&mut self, number: u64, kind: Kind) -> Vec<Action> {
        let request = request(&super::flow("dispatch", 1), number, kind);
        self.backup
            .handle(self.now, Event::Request { request, hops: 1 })
    }

    /// The new home's answer to a duplicate of a request that the previous home has
    /// claimed, after the request's deadline. Asserts that the new home neither
    /// answers nor forwards a duplicate before the deadline.
    pub(crate) fn duplicate_of_claimed(&mut self, number: u64) -> Vec<Action> {
        let before_deadline = self.ask_backup(number, Kind::NonIdempotent);
        assert!(super::forwards(&before_deadline).is_empty());
        assert_eq!(super::outcomes(&before_deadline), []);
        self.run(Profile::default().deadline());
        self.ask_backup(number, Kind::NonIdempotent)
    }

    /// Sends a booking to the home and passes the claim and its acknowledgement on.
    pub(crate) fn book_acknowledged(&mut self, number: u64) -> Vec<Action> {
        let claims = self.book(number);
        let acks = self.deliver_to_backup(&claims);
        self.deliver_to_home(&acks)
    }

    /// Passes a server's answer to an attempt of the home.
    pub(crate) fn answer(
        &mut self,
        (server, attempt): &(Arc<Server>, id::Attempt),
        answer: Answer,
    ) -> Vec<Action> {
        let event = Event::Answer {
            from: server.address,
            attempt: *attempt,
            answer,
        };
        self.home.handle(self.now, event)
    }

    /// Passes a server's answer to an attempt of the backup.
    pub(crate) fn answer_backup(
        &mut self,
        (server, attempt): &(Arc<Server>, id::Attempt),
        answer: Answer,
    ) -> Vec<Action> {
        let event = Event::Answer {
            from: server.address,
            attempt: *attempt,
            answer,
        };
        self.backup.handle(self.now, event)
    }

    /// Advances the clock by `length` with regular ticks; returns the actions of home and
    /// backup.
    pub(crate) fn run(&mut self, length: std::time::Duration) -> (Vec<Action>, Vec<Action>) {
        const STEP: std::time::Duration = std::time::Duration::from_millis(100);
        let (mut home, mut backup) = (Vec::new(), Vec::new());
        let until = self.now + length;
        while self.now < until {
            self.now += STEP;
            home.extend(self.home.handle(self.now, Event::Tick));
            backup.extend(self.backup.handle(self.now, Event::Tick));
        }
        (home, backup)
    }
}

/// Replication steps among the actions.
pub(crate) fn steps(actions: &[Action]) -> Vec<ReplicationItem> {
    let step = |(_, body): (id::Holder, PeerMessage)| match body {
        PeerMessage::ReplicationStep(step) => step.item,
        _ => None,
    };
    peer_messages(actions)
        .into_iter()
        .filter_map(step)
        .collect()
}

pub(crate) fn is_claim(item: &ReplicationItem) -> bool {
    matches!(item, ReplicationItem::Claim(_))
}

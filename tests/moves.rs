//! Moves of a slice between instances, as one worker sees them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::action::Action;
use godwitreel::document;
use godwitreel::engine::Engine;
use godwitreel::engine::Settings;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::member::MembershipView;
use godwitreel::peer::PeerMessage;
use godwitreel::request::Flow;
use godwitreel::request::Id;
use godwitreel::request::Kind;
use godwitreel::request::Outcome;
use godwitreel::request::Request;
use godwitreel::request::Token;
use godwitreel::server::Server;
use godwitreel::snapshot::Service;
use godwitreel::snapshot::Snapshot;
use godwitreel::table::Row;
use godwitreel::table::Table;
use tokio::time::Instant;

const SLICE: id::Slice = id::Slice(0);

fn holder(text: &str) -> id::Holder {
    text.parse().expect("a holder")
}

/// An instance that knows one service with one server, and both instances.
fn engine(me: &str, now: Instant) -> Engine {
    let mut engine = Engine::new(Settings {
        me: holder(me),
        zone: "bole".parse().expect("a zone"),
        worker: 0,
        workers: 1,
        hash_key: 0,
        max_parked: 10,
        max_flows: 1_000,
        seed: 1,
    });
    let listed: document::Server = serde_json::from_value(serde_json::json!({
        "service": "dispatch", "zone": "bole", "address": "127.0.0.1:1",
        "health": "127.0.0.1:2", "slots": 2,
    }))
    .expect("a server");
    let server = Server::new("d1".parse().expect("a name"), &listed);
    server.confirm(now, Duration::from_secs(3_600));
    let service = Service {
        id: listed.service.clone(),
        profile_id: "standard".parse().expect("a name"),
        revision: id::Revision(1),
        profile: Arc::default(),
        servers: vec![Arc::new(server)],
    };
    let services = HashMap::from([(listed.service, Arc::new(service))]);
    engine.handle(now, Event::Snapshot(Arc::new(Snapshot { services })));
    let view = MembershipView {
        live: [holder("a#1"), holder("b#1")].into(),
        authority_until: Some(now + Duration::from_secs(3_600)),
        ..MembershipView::default()
    };
    engine.handle(now, Event::Membership(Arc::new(view)));
    engine
}

fn table(epoch: u64, home: &str, backup: Option<&str>, blank: bool) -> Event {
    let mut table = Table::new(1);
    let row = Row {
        epoch: id::Epoch(epoch),
        home: Some(holder(home)),
        backup: backup.map(holder),
        records_lost: blank,
    };
    table.update_if_newer(SLICE, row);
    Event::Table(Arc::new(table))
}

fn booking(number: u128) -> Request {
    Request {
        flow: Flow {
            service: "dispatch".parse().expect("a name"),
            caller: "127.0.0.1:9".parse().expect("an address"),
        },
        id: Id(number),
        token: Token(number),
        kind: Kind::NonIdempotent,
        confirmable: true,
        block: godwitreel::request::BodyBlock::default(),
        datagram: Bytes::from_static(b"booking"),
    }
}

fn ask(number: u128) -> Event {
    Event::Request {
        request: booking(number),
        hops: 0,
    }
}

fn forwards(actions: &[Action]) -> usize {
    let forward = |action: &&Action| matches!(action, Action::Forward { .. });
    actions.iter().filter(forward).count()
}

fn outcomes(actions: &[Action]) -> Vec<Outcome> {
    let outcome = |action: &Action| match action {
        Action::Answer { outcome, .. } => Some(outcome.clone()),
        _ => None,
    };
    actions.iter().filter_map(outcome).collect()
}

fn body(action: Action) -> Option<PeerMessage> {
    match action {
        Action::Peer { body, .. } => Some(body),
        _ => None,
    }
}

// A caller books just while its slice is handed over in a planned stop. The home
// has claimed the booking at the backup and waits for the acknowledgement when the
// backup becomes home. Nobody ran it, so the caller must not hear "unknown": the
// old home gives the claim up and the new one runs the booking.
#[test]
fn a_claim_under_way_during_a_planned_move_is_run_by_the_new_home() {
    let now = Instant::now();
    let mut old = engine("a#1", now);
    let mut new = engine("b#1", now);
    old.handle(now, table(1, "a#1", Some("b#1"), false));
    new.handle(now, table(1, "a#1", Some("b#1"), false));
    let claim = old.handle(now, ask(7));
    let claim = claim.into_iter().find_map(body);
    let event = Event::Peer {
        from: holder("a#1"),
        body: claim.expect("a claim"),
    };
    new.handle(now, event);
    let moved = old.handle(now, table(2, "b#1", None, false));
    assert_eq!(forwards(&moved), 0);
    let bodies: Vec<PeerMessage> = moved.into_iter().filter_map(body).collect();
    let [PeerMessage::Relay(relay)] = bodies.as_slice() else {
        panic!("{bodies:?}");
    };
    assert!(relay.released);
    let event = Event::ReleasedRequest {
        from: holder("a#1"),
        request: booking(7),
        hops: relay.hops,
    };
    // The new home's table is late: the request waits instead of going back.
    let early = new.handle(now, event);
    assert_eq!(
        (forwards(&early), early.into_iter().filter_map(body).count()),
        (0, 0)
    );
    let run = new.handle(now, table(2, "b#1", None, false));
    assert_eq!(forwards(&run), 1);
    assert_eq!(outcomes(&run), []);
}

// A booking is passed to the new home of its slice, whose table is late and names
// the sender. The two pass it to and fro until its hops are used up. Nothing would
// repeat it if it was sent once, so it waits and runs when the table has come.
#[test]
fn a_request_between_two_late_tables_waits_for_the_next() {
    let now = Instant::now();
    let mut new = engine("b#1", now);
    new.handle(now, table(1, "a#1", Some("b#1"), false));
    let event = Event::Request {
        request: booking(7),
        hops: 3,
    };
    let early = new.handle(now, event);
    assert_eq!((forwards(&early), outcomes(&early).len()), (0, 0));
    let promoted = new.handle(now, table(2, "b#1", None, false));
    assert_eq!(forwards(&promoted), 1);
}

// A home is cut off, loses its slice, and takes it back without the records of
// the homes between. Its worker sees only the last row. A request that one of them
// ran is new to it, so it must say "unknown" and not run it again.
#[test]
fn taking_a_slice_back_without_records_is_noticed_across_skipped_rows() {
    let now = Instant::now();
    let mut engine = engine("a#1", now);
    engine.handle(now, table(1, "a#1", None, false));
    engine.handle(now, table(3, "a#1", None, true));
    let actions = engine.handle(now, ask(7));
    assert_eq!(forwards(&actions), 0);
    assert_eq!(outcomes(&actions), [Outcome::Unknown]);
}

// A datagram comes in the moment after an instance has bound its address, before
// its worker has the slice table. Looking up the slice's row would end the worker,
// and with it half of the instance's flows, without a word.
#[test]
fn a_datagram_before_the_first_table_does_no_harm() {
    let now = Instant::now();
    let mut engine = engine("a#1", now);
    assert_eq!(forwards(&engine.handle(now, ask(7))), 0);
    let receipt = Event::Receipt {
        flow: booking(7).flow,
        message: 1,
        receipt: godwitreel::request::Receipt::Rejected,
        hops: 0,
        datagram: Bytes::new(),
    };
    assert_eq!(engine.handle(now, receipt).len(), 0);
    engine.handle(now, table(1, "a#1", None, false));
    assert_eq!(forwards(&engine.handle(now, ask(8))), 1);
}

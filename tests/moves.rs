//! Moves of a slice between instances, at the engine of one worker.

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

/// Engine of an instance that knows one service with one server, and both instances.
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

fn table(epoch: u64, home: &str, backup: Option<&str>, records_lost: bool) -> Event {
    let mut table = Table::new(1);
    let row = Row {
        epoch: id::Epoch(epoch),
        home: Some(holder(home)),
        backup: backup.map(holder),
        records_lost,
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

fn booking_event(number: u128) -> Event {
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

fn peer_message(action: Action) -> Option<PeerMessage> {
    match action {
        Action::Peer { body, .. } => Some(body),
        _ => None,
    }
}

// A caller books while its slice is handed over in a planned stop. The backup becomes
// home while the old home waits for the acknowledgement of its claim. No server has run
// the booking, so the caller must not get "unknown": the old home releases the claim and
// the new home runs the booking.
#[test]
fn a_claim_under_way_during_a_planned_move_is_run_by_the_new_home() {
    let now = Instant::now();
    let mut old = engine("a#1", now);
    let mut new = engine("b#1", now);
    old.handle(now, table(1, "a#1", Some("b#1"), false));
    new.handle(now, table(1, "a#1", Some("b#1"), false));
    let claim = old.handle(now, booking_event(7));
    let claim = claim.into_iter().find_map(peer_message);
    let event = Event::Peer {
        from: holder("a#1"),
        body: claim.expect("a claim"),
    };
    new.handle(now, event);
    let after_move = old.handle(now, table(2, "b#1", None, false));
    assert_eq!(forwards(&after_move), 0);
    let messages: Vec<PeerMessage> = after_move.into_iter().filter_map(peer_message).collect();
    let [PeerMessage::Relay(relay)] = messages.as_slice() else {
        panic!("{messages:?}");
    };
    assert!(relay.released);
    let event = Event::ReleasedRequest {
        from: holder("a#1"),
        request: booking(7),
        hops: relay.hops,
    };
    // The new home's table is not up to date yet: the request waits instead of being
    // relayed back.
    let early = new.handle(now, event);
    assert_eq!(
        (
            forwards(&early),
            early.into_iter().filter_map(peer_message).count()
        ),
        (0, 0)
    );
    let run = new.handle(now, table(2, "b#1", None, false));
    assert_eq!(forwards(&run), 1);
    assert_eq!(outcomes(&run), []);
}

// A booking is relayed to the new home of its slice, whose outdated table still names the
// sender as home. The two relay it back and forth until its hops are used up. Nothing
// repeats a booking that the caller sent once, so it must wait and run when the new table
// has arrived.
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

// A home is partitioned, loses its slice, and takes it over again without the records of
// the homes in between. Its worker receives only the last row. It has no record of a
// request that ran at one of these homes, so it must answer "unknown" and not run the
// request again.
#[test]
fn taking_a_slice_back_without_records_is_noticed_across_skipped_rows() {
    let now = Instant::now();
    let mut engine = engine("a#1", now);
    engine.handle(now, table(1, "a#1", None, false));
    engine.handle(now, table(3, "a#1", None, true));
    let actions = engine.handle(now, booking_event(7));
    assert_eq!(forwards(&actions), 0);
    assert_eq!(outcomes(&actions), [Outcome::Unknown]);
}

// A datagram arrives right after an instance has bound its address, before its worker has
// the slice table. Looking up the slice's row in the empty table would end the worker, and
// half of the instance's flows would be lost without any log line.
#[test]
fn a_datagram_before_the_first_table_does_no_harm() {
    let now = Instant::now();
    let mut engine = engine("a#1", now);
    assert_eq!(forwards(&engine.handle(now, booking_event(7))), 0);
    let receipt = Event::Receipt {
        flow: booking(7).flow,
        message: 1,
        receipt: godwitreel::request::Receipt::Rejected,
        hops: 0,
        datagram: Bytes::new(),
    };
    assert_eq!(engine.handle(now, receipt).len(), 0);
    engine.handle(now, table(1, "a#1", None, false));
    assert_eq!(forwards(&engine.handle(now, booking_event(8))), 1);
}

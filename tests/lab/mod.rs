//! Fixtures for tests of the decision core, without sockets or tasks and with a clock
//! that the tests advance.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

pub(crate) mod pair;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::action::Action;
use godwitreel::document;
use godwitreel::document::Profile;
use godwitreel::engine;
use godwitreel::engine::Engine;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::member::MembershipView;
use godwitreel::peer;
use godwitreel::reason::Reason;
use godwitreel::request::Answer;
use godwitreel::request::Flow;
use godwitreel::request::Id;
use godwitreel::request::Kind;
use godwitreel::request::Outcome;
use godwitreel::request::Request;
use godwitreel::request::Token;
use godwitreel::request::Verdict;
use godwitreel::server::Server;
use godwitreel::snapshot::Service;
use godwitreel::snapshot::Snapshot;
use godwitreel::table::Row;
use godwitreel::table::Table;
use tokio::time::Instant;

/// Key of the slice hash in all tests.
pub(crate) const HASH_KEY: u64 = 7;

/// Longer than the virtual time of any test.
pub(crate) const FOREVER: Duration = Duration::from_secs(1_000_000);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

pub(crate) fn holder(name: &str, incarnation: u64) -> id::Holder {
    format!("{name}#{incarnation}")
        .parse()
        .expect("a valid name")
}

pub(crate) fn endpoint(host: u8, port: u16) -> id::Endpoint {
    id::Endpoint(SocketAddr::from((Ipv4Addr::new(127, 0, 0, host), port)))
}

pub(crate) fn flow(service: &str, port: u16) -> Flow {
    Flow {
        service: service.parse().expect("a valid name"),
        caller: endpoint(1, port),
    }
}

/// A server that is confirmed for the whole test.
pub(crate) fn server(now: Instant, name: &str, service: &str, port: u16) -> Arc<Server> {
    let listed = document::Server {
        service: service.parse().expect("a valid name"),
        zone: "bole".parse().expect("a valid name"),
        address: endpoint(2, port),
        health: endpoint(3, port),
        slots: 2,
        state: document::State::Up,
    };
    let server = Server::new(name.parse().expect("a valid name"), &listed);
    server.confirm(now, FOREVER);
    Arc::new(server)
}

pub(crate) fn service(name: &str, profile: &Profile, servers: Vec<Arc<Server>>) -> Service {
    Service {
        id: name.parse().expect("a valid name"),
        profile_id: "standard".parse().expect("a valid name"),
        revision: id::Revision(1),
        profile: Arc::new(profile.clone()),
        servers,
    }
}

pub(crate) fn snapshot(services: Vec<Service>) -> Arc<Snapshot> {
    let services = services
        .into_iter()
        .map(|service| (service.id.clone(), Arc::new(service)));
    Arc::new(Snapshot {
        services: services.collect::<HashMap<_, _>>(),
    })
}

pub(crate) fn settings(me: &id::Holder, worker: u8, workers: u8) -> engine::Settings {
    engine::Settings {
        me: me.clone(),
        zone: "bole".parse().expect("a valid name"),
        worker,
        workers,
        hash_key: HASH_KEY,
        max_parked: 1_000,
        max_flows: 100_000,
        seed: me.incarnation.0 + u64::from(worker),
    }
}

pub(crate) fn row(epoch: u64, home: Option<&id::Holder>, backup: Option<&id::Holder>) -> Row {
    Row {
        epoch: id::Epoch(epoch),
        home: home.cloned(),
        backup: backup.cloned(),
        records_lost: false,
    }
}

/// A table of one slice.
pub(crate) fn table(row: Row) -> Event {
    let mut table = Table::new(1);
    table.update_if_newer(id::Slice(0), row);
    Event::Table(Arc::new(table))
}

pub(crate) fn view(live: &[&id::Holder], authority_until: Instant) -> Event {
    Event::Membership(Arc::new(MembershipView {
        live: live.iter().copied().cloned().collect(),
        authority_until: Some(authority_until),
        ..MembershipView::default()
    }))
}

pub(crate) fn request(flow: &Flow, number: u64, kind: Kind) -> Request {
    Request {
        flow: flow.clone(),
        id: Id(number.into()),
        token: Token(number.into()),
        kind,
        confirmable: true,
        block: godwitreel::request::BodyBlock::default(),
        datagram: Bytes::copy_from_slice(&number.to_be_bytes()),
    }
}

pub(crate) fn answer(text: &str) -> Answer {
    Answer {
        verdict: Verdict::Handled,
        keeps_feed_open: false,
        has_more_blocks: false,
        retry_after: None,
        datagram: Bytes::copy_from_slice(text.as_bytes()),
    }
}

pub(crate) fn refusal() -> Answer {
    Answer {
        verdict: Verdict::Refused,
        retry_after: Some(1),
        ..answer("refused")
    }
}

pub(crate) fn notification(text: &str) -> Answer {
    Answer {
        keeps_feed_open: true,
        ..answer(text)
    }
}

/// Requests forwarded to servers: each server with the number of the attempt.
pub(crate) fn forwards(actions: &[Action]) -> Vec<(Arc<Server>, id::Attempt)> {
    let forward = |action: &Action| match action {
        Action::Forward {
            server, attempt, ..
        } => Some((Arc::clone(server), *attempt)),
        _ => None,
    };
    actions.iter().filter_map(forward).collect()
}

/// Final outcomes that callers got.
pub(crate) fn outcomes(actions: &[Action]) -> Vec<Outcome> {
    let outcome = |action: &Action| match action {
        Action::Answer { outcome, .. } => Some(outcome.clone()),
        _ => None,
    };
    actions.iter().filter_map(outcome).collect()
}

/// Messages sent to peers: each with its receiver.
pub(crate) fn peer_messages(actions: &[Action]) -> Vec<(id::Holder, peer::PeerMessage)> {
    let body = |action: &Action| match action {
        Action::Peer { to, body } => Some((to.clone(), body.clone())),
        _ => None,
    };
    actions.iter().filter_map(body).collect()
}

/// Sequence numbers of the notifications sent to callers.
pub(crate) fn sequences(actions: &[Action]) -> Vec<u32> {
    let sequence = |action: &Action| match action {
        Action::Notify { sequence, .. } => Some(*sequence),
        _ => None,
    };
    actions.iter().filter_map(sequence).collect()
}

pub(crate) fn has_reason(actions: &[Action], reason: Reason) -> bool {
    let matches =
        |action: &Action| matches!(action, Action::TraceEvent(note) if note.reason == reason);
    actions.iter().any(matches)
}

/// The event that the edge makes of a peer message.
fn peer_event(from: id::Holder, body: peer::PeerMessage) -> Event {
    match body {
        peer::PeerMessage::Relay(relay) => {
            let flow = peer::unpack_flow(relay.flow.as_ref()).expect("a flow packed by an engine");
            let number = relay
                .datagram
                .as_ref()
                .try_into()
                .expect("a datagram of 8 bytes");
            let number = u64::from_be_bytes(number);
            let request = request(&flow, number, Kind::NonIdempotent);
            let hops = relay.hops;
            if relay.released {
                Event::ReleasedRequest {
                    from,
                    request,
                    hops,
                }
            } else {
                Event::Request { request, hops }
            }
        }
        body => Event::Peer { from, body },
    }
}

/// Passes the messages that are addressed to one instance to its engine; returns the
/// engine's actions.
pub(crate) fn deliver(
    now: Instant,
    from: &id::Holder,
    actions: &[Action],
    to: &id::Holder,
    engine: &mut Engine,
) -> Vec<Action> {
    let mut out = Vec::new();
    for (receiver, body) in peer_messages(actions) {
        if receiver == *to {
            out.extend(engine.handle(now, peer_event(from.clone(), body)));
        }
    }
    out
}

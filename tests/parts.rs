//! Blocks of larger bodies in the engine: late, refused and duplicate blocks.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::Packet;
use coap_lite::RequestType;
use coap_lite::block_handler::BlockValue;
use godwitreel::action::Action;
use godwitreel::codec;
use godwitreel::codec::Inbound;
use godwitreel::document;
use godwitreel::document::Policy;
use godwitreel::engine;
use godwitreel::engine::Engine;
use godwitreel::engine::SERVER_SOCKETS;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::member::MembershipView;
use godwitreel::request::Answer;
use godwitreel::request::BodyBlock;
use godwitreel::request::Flow;
use godwitreel::request::Outcome;
use godwitreel::request::Request;
use godwitreel::request::Verdict;
use godwitreel::server::Server;
use godwitreel::snapshot::Service;
use godwitreel::snapshot::Snapshot;
use godwitreel::table::Row;
use godwitreel::table::Table;
use tokio::time::Instant;

const SERVERS: usize = 8;
const HOUR: Duration = Duration::from_secs(3_600);
const REQUEST_TAG: CoapOption = CoapOption::Unknown(292);

fn flow() -> Flow {
    Flow {
        service: "ledger".parse().expect("a service"),
        caller: "127.0.0.1:4000".parse().expect("an endpoint"),
    }
}

fn server(number: usize) -> Arc<Server> {
    let port = 5_000 + number;
    let listed = document::Server {
        service: flow().service,
        zone: "bole".parse().expect("a zone"),
        address: format!("127.0.0.1:{port}").parse().expect("an endpoint"),
        health: "127.0.0.1:6000".parse().expect("an endpoint"),
        slots: 2,
        state: document::State::Up,
    };
    let name = format!("l{number}").parse().expect("a server");
    Arc::new(Server::new(name, &listed))
}

/// The engine of a home without a backup, which decides without replication.
fn engine(now: Instant) -> Engine {
    let me: id::Holder = "bole-1#1".parse().expect("a holder");
    let mut engine = Engine::new(engine::Settings {
        me: me.clone(),
        zone: "bole".parse().expect("a zone"),
        worker: 0,
        workers: 1,
        hash_key: 0,
        max_parked: 10,
        max_flows: 1_000,
        seed: 7,
    });
    let servers: Vec<_> = (0..SERVERS).map(server).collect();
    for server in &servers {
        server.confirm(now, HOUR);
    }
    let service = Service {
        id: flow().service,
        profile_id: "batch".parse().expect("a profile"),
        revision: id::Revision(1),
        profile: Arc::new(document::Profile {
            policy: Policy::TwoChoices,
            slow_start_s: 0,
            retry_budget_percent: 100,
            ..document::Profile::default()
        }),
        servers,
    };
    let services = [(service.id.clone(), Arc::new(service))].into();
    engine.handle(now, Event::Snapshot(Arc::new(Snapshot { services })));
    engine.handle(
        now,
        Event::Membership(Arc::new(MembershipView {
            live: [me.clone()].into(),
            authority_until: Some(now + HOUR),
            ..MembershipView::default()
        })),
    );
    let mut table = Table::new(1);
    let row = Row {
        epoch: id::Epoch(1),
        home: Some(me),
        ..Row::default()
    };
    table.update_if_newer(id::Slice(0), row);
    engine.handle(now, Event::Table(Arc::new(table)));
    engine
}

/// The datagram of a request with one block of a body.
fn datagram(method: RequestType, path: &str, block: (CoapOption, usize), tag: u8) -> Bytes {
    const SIZE: usize = 64;
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Request(method);
    packet.header.message_id = 100 * u16::from(tag) + block.1 as u16;
    packet.set_token(vec![tag, block.1 as u8]);
    packet.add_option(CoapOption::UriPath, path.into());
    packet.add_option(REQUEST_TAG, vec![tag]);
    let value = BlockValue::new(block.1, true, SIZE).expect("a block");
    packet.add_option_as(block.0, value);
    packet.to_bytes().expect("a datagram").into()
}

fn request(datagram: &Bytes) -> Request {
    match codec::read_caller(&flow(), datagram).expect("a request") {
        Inbound::Request(request) => request,
        other => panic!("{other:?}"),
    }
}

fn put(number: usize, tag: u8) -> Request {
    let block = (CoapOption::Block1, number);
    request(&datagram(RequestType::Put, "sheet", block, tag))
}

struct Sent {
    server: Arc<Server>,
    attempt: id::Attempt,
}

fn forwards(actions: &[Action]) -> Vec<Sent> {
    let forward = |action: &Action| match action {
        Action::Forward {
            server, attempt, ..
        } => Some(Sent {
            server: Arc::clone(server),
            attempt: *attempt,
        }),
        _ => None,
    };
    actions.iter().filter_map(forward).collect()
}

fn outcome(actions: &[Action]) -> Option<Outcome> {
    actions.iter().find_map(|action| match action {
        Action::Answer { outcome, .. } => Some(outcome.clone()),
        _ => None,
    })
}

fn submit(engine: &mut Engine, now: Instant, request: Request) -> Vec<Action> {
    engine.handle(now, Event::Request { request, hops: 0 })
}

fn reply(engine: &mut Engine, now: Instant, sent: &Sent, verdict: Verdict) -> Vec<Action> {
    let answer = Answer {
        verdict,
        keeps_feed_open: false,
        has_more_blocks: verdict == Verdict::Handled,
        retry_after: None,
        datagram: Bytes::from_static(b"answer"),
    };
    let event = Event::Answer {
        from: sent.server.address,
        attempt: sent.attempt,
        answer,
    };
    engine.handle(now, event)
}

/// Hands over a block, expects one attempt for it, and answers the attempt.
fn send_and_answer(engine: &mut Engine, now: Instant, request: Request) -> Sent {
    let actions = submit(engine, now, request);
    let sent = forwards(&actions).pop().expect("an attempt");
    let actions = reply(engine, now, &sent, Verdict::Handled);
    assert!(matches!(outcome(&actions), Some(Outcome::Answered(_))));
    sent
}

#[test]
fn blocks_of_one_body_share_a_body_id() {
    let block = |method, path, option, number, tag| {
        request(&datagram(method, path, (option, number), tag)).block
    };
    let first = block(RequestType::Put, "a", CoapOption::Block1, 0, 1);
    let later = block(RequestType::Put, "a", CoapOption::Block1, 3, 1);
    assert_eq!(first.body_id, later.body_id);
    assert_eq!((first.is_continuation, first.is_upload), (false, true));
    assert_eq!((later.is_continuation, later.is_upload), (true, true));
    let download = block(RequestType::Get, "a", CoapOption::Block2, 2, 1);
    assert_eq!(
        (download.is_continuation, download.is_upload),
        (true, false)
    );
    for other in [
        download,
        block(RequestType::Put, "b", CoapOption::Block1, 0, 1),
        block(RequestType::Put, "a", CoapOption::Block1, 0, 2),
        block(RequestType::Post, "a", CoapOption::Block1, 0, 1),
    ] {
        assert_ne!(other.body_id, first.body_id);
    }
    assert!(!BodyBlock::default().is_continuation);
}

/// Two bodies of one caller are uploaded at the same time. Each later block goes to the
/// server of its own body's first block, and from the same socket.
#[test]
fn later_blocks_use_the_server_of_the_first() {
    let now = Instant::now();
    let mut engine = engine(now);
    for tag in 1..20 {
        let first = send_and_answer(&mut engine, now, put(0, tag));
        let other = send_and_answer(&mut engine, now, put(0, tag + 100));
        for number in 1..4 {
            for (first, tag) in [(&first, tag), (&other, tag + 100)] {
                let next = send_and_answer(&mut engine, now, put(number, tag));
                assert_eq!(next.server.id, first.server.id);
                assert_eq!(
                    next.attempt.0 % SERVER_SOCKETS,
                    first.attempt.0 % SERVER_SOCKETS
                );
            }
        }
    }
}

/// The server does not answer a block in time. The other servers have none of the
/// earlier blocks and would refuse the body as incomplete, so the block is sent to the
/// same server again.
#[test]
fn a_late_part_is_sent_again_to_its_own_server() {
    let now = Instant::now();
    let mut engine = engine(now);
    let first = send_and_answer(&mut engine, now, put(0, 1));
    let sent = forwards(&submit(&mut engine, now, put(1, 1)));
    assert_eq!(sent.len(), 1);
    let later = now + Duration::from_millis(1_100);
    let again = forwards(&engine.handle(later, Event::Tick));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].server.id, first.server.id);
    assert_eq!(
        again[0].attempt.0 % SERVER_SOCKETS,
        first.attempt.0 % SERVER_SOCKETS
    );
}

/// The server refuses a block. The caller gets an answer that asks for a retry later, and
/// its next block still goes to the server that has the body.
#[test]
fn a_refused_part_is_not_tried_elsewhere() {
    let now = Instant::now();
    let mut engine = engine(now);
    let first = send_and_answer(&mut engine, now, put(0, 1));
    let sent = forwards(&submit(&mut engine, now, put(1, 1)));
    let actions = reply(&mut engine, now, &sent[0], Verdict::Refused);
    assert!(forwards(&actions).is_empty());
    assert!(matches!(outcome(&actions), Some(Outcome::NotRun { .. })));
    let next = send_and_answer(&mut engine, now, put(2, 1));
    assert_eq!(next.server.id, first.server.id);
}

/// The answer to the last block is lost, and the caller sends a duplicate. The server has
/// discarded the body by then and would refuse the duplicate as incomplete, so that the
/// caller would take a successful upload for a failed one.
#[test]
fn a_copy_of_an_upload_part_gets_the_first_answer() {
    let now = Instant::now();
    let mut engine = engine(now);
    send_and_answer(&mut engine, now, put(0, 1));
    send_and_answer(&mut engine, now, put(1, 1));
    let actions = submit(&mut engine, now + Duration::from_secs(2), put(1, 1));
    assert!(forwards(&actions).is_empty());
    let answer = Outcome::Answered(Bytes::from_static(b"answer"));
    assert_eq!(outcome(&actions), Some(answer));
}

/// The records of an upload that the caller abandons are removed, so that they do not
/// accumulate.
#[test]
fn records_of_an_abandoned_body_expire() {
    let now = Instant::now();
    let mut engine = engine(now);
    send_and_answer(&mut engine, now, put(0, 1));
    assert_eq!(engine.records(), 1);
    let later = now + Duration::from_secs(120);
    engine.handle(later, Event::Tick);
    assert_eq!(engine.records(), 0);
    // The body's server is forgotten as well; a later block still gets a server.
    assert_eq!(forwards(&submit(&mut engine, later, put(1, 1))).len(), 1);
}

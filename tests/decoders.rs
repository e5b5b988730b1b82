//! Arbitrary input: decoders and engine do not panic, and the engine's counts stay
//! correct.

mod lab;

use std::sync::Arc;

use bytes::Bytes;
use godwitreel::codec;
use godwitreel::document::Profile;
use godwitreel::engine::Engine;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::peer;
use godwitreel::peer::PeerMessage;
use godwitreel::peer::ReplicationItem;
use godwitreel::request::Answer;
use godwitreel::request::Id;
use godwitreel::request::Kind;
use godwitreel::request::Receipt;
use godwitreel::request::Token;
use godwitreel::request::Verdict;
use godwitreel::server::Server;
use godwitreel::table::Table;
use godwitreel::wire;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

use crate::lab::forwards;
use crate::lab::holder;
use crate::lab::ms;
use crate::lab::row;
use crate::lab::secs;

/// Test configuration with a fixed seed, so that each run has the same cases.
fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x90d),
        failure_persistence: None,
        ..Config::default()
    }
}

fn keys(key: &[u8]) -> wire::Keys {
    wire::Keys::new([key]).expect("a usable key")
}

fn signed_frame(keys: &wire::Keys, to: &str, sequence: u64) -> Vec<u8> {
    let envelope = wire::Envelope {
        from: holder("a", 1).to_string(),
        to: to.to_owned(),
        sequence,
        body: Some(PeerMessage::TakeoverRequest(peer::TakeoverRequest {
            slices: vec![1, 2],
        })),
    };
    wire::sign_frame(keys, &envelope)
}

fn me() -> id::Instance {
    "b".parse().expect("a legal name")
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn no_bytes_break_a_decoder(bytes in vec(any::<u8>(), 0..200)) {
        let datagram = Bytes::from(bytes.clone());
        let _ = codec::read_caller(&lab::flow("dispatch", 1), &datagram);
        let _ = codec::read_server(lab::endpoint(2, 1), &datagram);
        let _ = wire::verify_frame(&keys(b"key"), &me(), "peer", &bytes);
        let _ = codec::message_number(&bytes);
    }

    #[test]
    fn no_signed_bytes_break_a_decoder(bytes in vec(any::<u8>(), 0..200)) {
        // The MAC is valid and the content arbitrary, as from a peer of another version.
        let envelope = wire::Envelope {
            from: String::from_utf8_lossy(&bytes).into_owned(),
            to: String::new(),
            sequence: u64::MAX,
            body: Some(PeerMessage::FinalOutcome(peer::FinalOutcome {
                slice: u32::MAX,
                flow: Some(peer::WireFlow { service: String::new(), caller: bytes.clone() }),
                id: bytes.clone(),
                token: bytes.clone(),
                answer: Bytes::from(bytes.clone()),
            })),
        };
        let frame = wire::sign_frame(&keys(b"key"), &envelope);
        let _ = wire::verify_frame(&keys(b"key"), &me(), "peer", &frame);
        let _ = peer::unpack_number(&bytes);
    }

    #[test]
    fn requests_that_can_be_read_can_be_written(bytes in vec(any::<u8>(), 4..80)) {
        let mut bytes = bytes;
        // Version 1, no token, a request method: most of these can be decoded.
        bytes[0] = 0x40;
        bytes[1] = 1 + bytes[1] % 7;
        let datagram = Bytes::from(bytes);
        if codec::read_caller(&lab::flow("dispatch", 1), &datagram).is_ok() {
            let service = "dispatch".parse().expect("a legal name");
            let _ = codec::write_forward(&datagram, &service, id::Attempt(1), 2, secs(1));
            let _ = codec::write_notification(Token(3), 4, 5, true, Some(&datagram));
        }
    }

    #[test]
    fn a_changed_frame_is_refused(position in any::<prop::sample::Index>(), bit in 0..8u8) {
        let mut frame = signed_frame(&keys(b"key"), "b", 1);
        let index = position.index(frame.len());
        frame[index] ^= 1 << bit;
        prop_assert!(wire::verify_frame(&keys(b"key"), &me(), "peer", &frame).is_err());
    }
}

/// Frames with another key, for another instance, or truncated are refused.
#[test]
fn frames_that_are_not_ours_are_refused() {
    let frame = signed_frame(&keys(b"key"), "b", 1);
    assert!(wire::verify_frame(&keys(b"key"), &me(), "peer", &frame).is_ok());
    assert!(wire::verify_frame(&keys(b"other"), &me(), "peer", &frame).is_err());
    let misdirected = signed_frame(&keys(b"key"), "c", 1);
    assert!(wire::verify_frame(&keys(b"key"), &me(), "peer", &misdirected).is_err());
    for length in 0..frame.len() {
        assert!(wire::verify_frame(&keys(b"key"), &me(), "peer", &frame[..length]).is_err());
    }
}

/// A frame is accepted once. Frames of an earlier incarnation, and those with a sequence
/// number too far behind, are never accepted.
#[test]
fn replayed_frames_are_refused() {
    let mut guard = wire::ReplayGuard::default();
    let current = holder("a", 2);
    assert!(guard.admit(&current, 5));
    assert!(!guard.admit(&current, 5));
    assert!(guard.admit(&current, 4));
    assert!(!guard.admit(&current, 4));
    assert!(!guard.admit(&holder("a", 1), 9));
    assert!(guard.admit(&current, 100_000));
    assert!(!guard.admit(&current, 6));
    assert!(guard.admit(&holder("a", 3), 5));
    assert!(!guard.admit(&current, 100_001));
}

/// A step of a random sequence of events for one engine.
#[derive(Clone, Debug)]
enum Step {
    Request(u16, u8, u8),
    Receipt(u16, u16, bool),
    Answer(usize, u8),
    UnknownAttempt(u64),
    Replication(u8, u64, u8, u16),
    ReplicationAck(u64),
    FinalOutcome(u16, bool),
    FeedTransfer(u16, u32),
    TableChange(u64, u8),
    Membership(u8),
    AddBackup,
    CancelBackup,
    DrainServers(u8),
    Elapse(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..8u16, 0..6u8, 0..4u8).prop_map(|(c, n, k)| Step::Request(c, n, k)),
        1 => (0..8u16, any::<u16>(), any::<bool>()).prop_map(|(c, m, r)| Step::Receipt(c, m, r)),
        8 => (any::<usize>(), 0..5u8).prop_map(|(w, k)| Step::Answer(w, k)),
        1 => any::<u64>().prop_map(Step::UnknownAttempt),
        3 => (0..3u8, 0..6u64, 0..4u8, 0..8u16)
            .prop_map(|(f, e, k, c)| Step::Replication(f, e, k, c)),
        3 => (0..64u64).prop_map(Step::ReplicationAck),
        1 => (0..8u16, any::<bool>()).prop_map(|(c, e)| Step::FinalOutcome(c, e)),
        1 => (0..8u16, any::<u32>()).prop_map(|(c, s)| Step::FeedTransfer(c, s)),
        2 => (1..3u64, 0..6u8).prop_map(|(e, k)| Step::TableChange(e, k)),
        2 => (0..8u8).prop_map(Step::Membership),
        1 => Just(Step::AddBackup),
        1 => Just(Step::CancelBackup),
        1 => any::<u8>().prop_map(Step::DrainServers),
        6 => (1..3_000u16).prop_map(Step::Elapse),
    ]
}

struct EngineTest {
    now: Instant,
    engine: Engine,
    table: Table,
    servers: Vec<Arc<Server>>,
    sent: Vec<(Arc<Server>, id::Attempt)>,
    holders: [id::Holder; 3],
    opened: usize,
}

const SLICES: u32 = 4;

impl EngineTest {
    fn new() -> Self {
        let now = Instant::now();
        let holders = [holder("a", 1), holder("b", 1), holder("c", 1)];
        let servers: Vec<_> = (1..4u16)
            .map(|n| lab::server(now, &format!("d{n}"), "dispatch", n))
            .collect();
        let mut engine = Engine::new(lab::settings(&holders[0], 0, 1));
        let profile = Profile {
            max_per_caller: 4,
            copy_lifetime_s: 5,
            ..Profile::default()
        };
        let service = lab::service("dispatch", &profile, servers.clone());
        engine.handle(now, Event::Snapshot(lab::snapshot(vec![service])));
        let mut test = Self {
            now,
            engine,
            table: Table::new(SLICES),
            servers,
            sent: Vec::new(),
            holders,
            opened: 0,
        };
        test.apply(Step::Membership(7));
        test.apply(Step::TableChange(1, 0));
        test
    }

    fn flow(caller: u16) -> godwitreel::request::Flow {
        lab::flow("dispatch", 1 + caller)
    }

    fn event(&mut self, step: Step) -> Event {
        let peer = |from: &id::Holder, body| Event::Peer {
            from: from.clone(),
            body,
        };
        match step {
            Step::Request(caller, number, kind) => {
                let kinds = [
                    Kind::NonIdempotent,
                    Kind::Idempotent,
                    Kind::OpenFeed,
                    Kind::CloseFeed,
                ];
                let kind = kinds[usize::from(kind)];
                self.opened += 1;
                let request = lab::request(&Self::flow(caller), number.into(), kind);
                Event::Request { request, hops: 0 }
            }
            Step::Receipt(caller, message, is_rejection) => Event::Receipt {
                flow: Self::flow(caller),
                message,
                receipt: match is_rejection {
                    true => Receipt::Rejected,
                    false => Receipt::Acknowledged,
                },
                hops: 0,
                datagram: Bytes::new(),
            },
            Step::Answer(index, kind) if !self.sent.is_empty() => {
                let (server, attempt) = &self.sent[index % self.sent.len()];
                Event::Answer {
                    from: server.address,
                    attempt: *attempt,
                    answer: Answer {
                        verdict: match kind {
                            0 => Verdict::Refused,
                            _ => Verdict::Handled,
                        },
                        keeps_feed_open: kind > 2,
                        has_more_blocks: kind == 2,
                        ..lab::answer("x")
                    },
                }
            }
            Step::Answer(..) => Event::Tick,
            Step::UnknownAttempt(attempt) => Event::Answer {
                from: lab::endpoint(2, 1),
                attempt: id::Attempt(attempt),
                answer: lab::notification("x"),
            },
            Step::Replication(from, epoch, kind, caller) => {
                let from = self.holders[usize::from(from)].clone();
                peer(&from, replicate(epoch, kind, &Self::flow(caller)))
            }
            Step::ReplicationAck(number) => {
                let first = self.holders[0].incarnation.0 << 8;
                let message = peer::ReplicationAck {
                    slice: (number % u64::from(SLICES)) as u32,
                    epoch: 1,
                    number: first + number,
                };
                peer(&self.holders[1], PeerMessage::ReplicationAck(message))
            }
            Step::FinalOutcome(caller, is_empty) => {
                let message = peer::FinalOutcome {
                    slice: self.table.slice(lab::HASH_KEY, &Self::flow(caller)).0,
                    flow: Some(peer::pack_flow(&Self::flow(caller))),
                    id: peer::pack_number(1),
                    token: peer::pack_number(1),
                    answer: Bytes::from_static(if is_empty { b"" } else { b"x" }),
                };
                peer(&self.holders[1], PeerMessage::FinalOutcome(message))
            }
            Step::FeedTransfer(caller, sequence) => {
                let message = peer::FeedTransfer {
                    slice: self.table.slice(lab::HASH_KEY, &Self::flow(caller)).0,
                    feed: Some(feed(&Self::flow(caller), sequence)),
                };
                peer(&self.holders[1], PeerMessage::FeedTransfer(message))
            }
            Step::TableChange(raise, kind) => self.change_table(raise, kind),
            Step::Membership(mask) => {
                let live = self.holders.iter().enumerate();
                let live: Vec<&id::Holder> = live
                    .filter(|(n, _)| *n == 0 || mask & (1 << n) != 0)
                    .map(|(_, holder)| holder)
                    .collect();
                let until = match mask & 1 {
                    0 => self.now,
                    _ => self.now + lab::FOREVER,
                };
                lab::view(&live, until)
            }
            Step::AddBackup => Event::AddBackup {
                slices: (0..SLICES).map(id::Slice).collect(),
                backup: self.holders[1].clone(),
            },
            Step::CancelBackup => Event::CancelBackup((0..SLICES).map(id::Slice).collect()),
            Step::DrainServers(mask) => {
                for (n, server) in self.servers.iter().enumerate() {
                    server.state().draining = mask & (1 << n) != 0;
                }
                Event::Tick
            }
            Step::Elapse(length) => {
                self.now += ms(length.into());
                Event::Tick
            }
        }
    }

    fn change_table(&mut self, raise: u64, kind: u8) -> Event {
        let [a, b, c] = &self.holders;
        let choices = [
            (Some(a), None),
            (Some(a), Some(b)),
            (Some(b), Some(a)),
            (Some(b), Some(c)),
            (Some(c), None),
            (Some(c), Some(a)),
        ];
        let (home, backup) = choices[usize::from(kind)];
        for slice in 0..SLICES {
            let slice = id::Slice(slice);
            let epoch = self.table.row(slice).epoch.0 + raise;
            let mut row = row(epoch, home, backup);
            row.records_lost = raise > 1;
            self.table.update_if_newer(slice, row);
        }
        Event::Table(Arc::new(self.table.clone()))
    }

    fn apply(&mut self, step: Step) {
        let event = self.event(step);
        let actions = self.engine.handle(self.now, event);
        self.sent.extend(forwards(&actions));
    }

    fn outstanding(&self) -> u32 {
        let servers = self.servers.iter();
        servers.map(|server| server.state().outstanding).sum()
    }

    fn registered(&self) -> usize {
        let servers = self.servers.iter();
        servers.map(|server| server.state().feeds as usize).sum()
    }
}

fn feed(flow: &godwitreel::request::Flow, sequence: u32) -> peer::Feed {
    peer::Feed {
        flow: Some(peer::pack_flow(flow)),
        token: peer::pack_number(1),
        server: "d1".to_owned(),
        datagram: Bytes::from_static(b"x"),
        sequence,
    }
}

fn replicate(epoch: u64, kind: u8, flow: &godwitreel::request::Flow) -> PeerMessage {
    let item = match kind {
        0 => ReplicationItem::CopyStart(peer::CopyStart {}),
        1 => ReplicationItem::Claim(peer::Claim {
            flow: Some(peer::pack_flow(flow)),
            id: peer::pack_number(Id(1).0),
            claimer: String::new(),
            age_ms: 0,
        }),
        2 => ReplicationItem::Feed(feed(flow, 7)),
        _ => ReplicationItem::FeedEnd(peer::FeedEnd {
            flow: Some(peer::pack_flow(flow)),
            token: peer::pack_number(1),
        }),
    };
    PeerMessage::ReplicationStep(peer::ReplicationStep {
        slice: Table::new(SLICES).slice(lab::HASH_KEY, flow).0,
        epoch,
        number: epoch,
        item: Some(item),
    })
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn counts_return_to_zero_after_any_events(steps in vec(step(), 1..120)) {
        let mut test = EngineTest::new();
        for step in steps {
            test.apply(step);
            prop_assert!(test.engine.parked() <= test.opened);
            prop_assert!(test.registered() <= test.engine.feeds() * 2);
            // Each request sets up to six timers before it ends, each feed a few more.
            prop_assert!(test.engine.timers() <= 16 * (test.opened + 8) + 200);
        }
        // After enough time no request is open, and none is counted at a server. An answer
        // that is never acknowledged is kept longest: 8 s until the request's deadline and
        // 62 s of retransmissions.
        for _ in 0..800 {
            test.apply(Step::Elapse(100));
        }
        prop_assert_eq!(test.engine.in_progress(), 0);
        prop_assert_eq!(test.engine.parked(), 0);
        prop_assert_eq!(test.engine.records(), 0);
        prop_assert_eq!(test.outstanding(), 0);
        prop_assert!(test.registered() <= test.engine.feeds() * 2);
        // With another instance as home of the slices, no feed stays registered at a server.
        test.apply(Step::TableChange(1, 4));
        test.apply(Step::Membership(7));
        for _ in 0..100 {
            test.apply(Step::Elapse(100));
        }
        prop_assert_eq!(test.registered(), 0);
    }
}

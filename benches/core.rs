//! Processor time of the engine, the codecs and the configuration.
//!
//! Events are built in batches outside the measured time. The measured time covers
//! only the handling of the events; the returned actions are dropped afterwards.

#[path = "../examples/utils/fixture.rs"]
mod fixture;

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant as Clock;

use bytes::Bytes;
use criterion::BatchSize;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use fixture::EngineFixture;
use godwitreel::action::Action;
use godwitreel::codec;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::peer;
use godwitreel::request::Kind;
use godwitreel::request::Outcome;
use godwitreel::request::Receipt;
use godwitreel::wire;

/// Events built and handled per batch.
const BATCH_SIZE: u64 = 1_000;

/// Longer than any deadline and copy lifetime, so that all records of a batch expire.
const EXPIRY: Duration = Duration::from_secs(10);

/// Age at which an engine is replaced by a new one, before its feeds count as silent.
const MAX_ENGINE_AGE: Duration = Duration::from_secs(3_000);

/// Feeds that are open while packets of known flows are handled.
const KNOWN_FLOWS: u32 = 20_000;

/// Feeds of the backup that becomes home.
const PROMOTED_FEEDS: u32 = 10_000;

/// Handles events one by one; returns the elapsed time and each event's actions.
fn handle_all(engine: &mut EngineFixture, events: Vec<Event>) -> (Duration, Vec<Vec<Action>>) {
    let mut actions = Vec::with_capacity(events.len());
    let start = Clock::now();
    for event in events {
        actions.push(engine.handle(event));
    }
    (start.elapsed(), actions)
}

/// Runs batches until `count` events have been handled; returns their total time.
fn run_batches(count: u64, mut batch: impl FnMut(u64) -> Duration) -> Duration {
    let mut total = Duration::ZERO;
    let mut remaining = count;
    while remaining > 0 {
        let size = remaining.min(BATCH_SIZE);
        total += batch(size);
        remaining -= size;
    }
    total
}

/// An engine that is home of every slice, with open feeds.
fn home_engine() -> (EngineFixture, Vec<fixture::ForwardedRequest>) {
    let mut engine = EngineFixture::new("a", "b", 0);
    let sent = engine.open_feeds(0, KNOWN_FLOWS);
    (engine, sent)
}

/// Lets the records of the finished requests expire.
fn expire_records(engine: &mut EngineFixture) {
    engine.advance(EXPIRY);
    if engine.now > engine.created_at + MAX_ENGINE_AGE {
        *engine = home_engine().0;
    }
}

fn known_flows(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("known");
    let (mut engine, sent) = home_engine();
    group.bench_function("notification", |bencher| {
        bencher.iter_custom(|count| {
            run_batches(count, |size| {
                let events = (0..size as usize).map(|n| fixture::answer(sent[n * 17], true));
                let events = events.collect();
                handle_all(&mut engine, events).0
            })
        });
    });
    group.bench_function("receipt", |bencher| {
        bencher.iter_custom(|count| {
            run_batches(count, |size| {
                let events = (0..size as u32).map(|n| Event::Receipt {
                    flow: engine.flow(n * 17),
                    message: 0,
                    receipt: Receipt::Acknowledged,
                    hops: 0,
                    datagram: Bytes::new(),
                });
                let events = events.collect();
                handle_all(&mut engine, events).0
            })
        });
    });
    let open: Vec<Event> = (0..BATCH_SIZE as u32)
        .map(|n| engine.request(n, 9, Kind::Idempotent))
        .collect();
    handle_all(&mut engine, open.clone());
    group.bench_function("copy", |bencher| {
        bencher.iter_custom(|count| {
            run_batches(count, |size| {
                handle_all(&mut engine, open[..size as usize].to_vec()).0
            })
        });
    });
    let mut relaying = EngineFixture::new("b", "c", 0);
    group.bench_function("relay", |bencher| {
        bencher.iter_custom(|count| {
            run_batches(count, |size| {
                let events = (0..size as u32).map(|n| relaying.request(n, 9, Kind::Idempotent));
                let events = events.collect();
                handle_all(&mut relaying, events).0
            })
        });
    });
    group.finish();
}

fn new_flows(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("new");
    let (mut engine, _) = home_engine();
    let mut next = KNOWN_FLOWS;
    group.bench_function("idempotent_forward", |bencher| {
        bencher.iter_custom(|count| {
            run_batches(count, |size| {
                let events = new_requests(&engine, &mut next, size, Kind::Idempotent);
                let (time, out) = handle_all(&mut engine, events);
                let answers = out
                    .iter()
                    .filter_map(|actions| fixture::first_forwarded(actions));
                let answers = answers.map(|sent| fixture::answer(sent, false)).collect();
                handle_all(&mut engine, answers);
                expire_records(&mut engine);
                time
            })
        });
    });
    group.bench_function("idempotent_whole", |bencher| {
        bencher.iter_custom(|count| {
            run_batches(count, |size| {
                let events = new_requests(&engine, &mut next, size, Kind::Idempotent);
                let (first, out) = handle_all(&mut engine, events);
                let answers = out
                    .iter()
                    .filter_map(|actions| fixture::first_forwarded(actions));
                let answers = answers.map(|sent| fixture::answer(sent, false)).collect();
                let (second, _) = handle_all(&mut engine, answers);
                expire_records(&mut engine);
                first + second
            })
        });
    });
    group.bench_function("once_whole", |bencher| {
        bencher.iter_custom(|count| {
            run_batches(count, |size| {
                let events = new_requests(&engine, &mut next, size, Kind::NonIdempotent);
                let (claimed, out) = handle_all(&mut engine, events);
                let acknowledgements = out
                    .iter()
                    .flat_map(|actions| fixture::backup_acknowledgements(actions));
                let acknowledgements = acknowledgements.collect();
                let (forwarded, out) = handle_all(&mut engine, acknowledgements);
                let answers = out
                    .iter()
                    .filter_map(|actions| fixture::first_forwarded(actions));
                let answers = answers.map(|sent| fixture::answer(sent, false)).collect();
                let (answered, _) = handle_all(&mut engine, answers);
                expire_records(&mut engine);
                claimed + forwarded + answered
            })
        });
    });
    let mut backup = EngineFixture::new("b", "a", 0);
    group.bench_function("claim_at_backup", |bencher| {
        bencher.iter_custom(|count| {
            run_batches(count, |size| {
                let events = (0..size).map(|_| {
                    next += 1;
                    Event::Peer {
                        from: fixture::holder("b"),
                        body: peer::PeerMessage::ReplicationStep(fixture::claim_step(
                            &backup, next,
                        )),
                    }
                });
                let events = events.collect();
                let time = handle_all(&mut backup, events).0;
                backup.advance(EXPIRY);
                time
            })
        });
    });
    group.finish();
}

fn new_requests(engine: &EngineFixture, next: &mut u32, size: u64, kind: Kind) -> Vec<Event> {
    let mut events = Vec::with_capacity(size as usize);
    for _ in 0..size {
        *next += 1;
        events.push(engine.request(*next & 0xff_ffff, u128::from(*next), kind));
    }
    events
}

/// The engine of the backup of every slice, with copies of feeds.
fn backup_engine() -> EngineFixture {
    let mut engine = EngineFixture::new("b", "a", 0);
    for number in 0..PROMOTED_FEEDS {
        let body = peer::PeerMessage::ReplicationStep(fixture::feed_step(&engine, number));
        let from = fixture::holder("b");
        engine.handle(Event::Peer { from, body });
    }
    engine
}

fn promotion(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("promotion");
    group.sample_size(10);
    group.bench_function("table_10000_feeds", |bencher| {
        bencher.iter_batched(
            || {
                (
                    backup_engine(),
                    fixture::table(fixture::SLICES, 2, "a", "c"),
                )
            },
            |(mut engine, table)| {
                let out = engine.handle(Event::Table(table));
                (engine, out)
            },
            BatchSize::PerIteration,
        );
    });
    group.bench_function("register_10000_feeds", |bencher| {
        bencher.iter_batched(
            || {
                let mut engine = backup_engine();
                engine.handle(Event::Table(fixture::table(fixture::SLICES, 2, "a", "c")));
                engine
            },
            |mut engine| {
                let mut forwarded = 0;
                while forwarded < PROMOTED_FEEDS as usize {
                    let out = engine.handle(Event::Tick);
                    forwarded += out
                        .iter()
                        .filter(|a| matches!(a, Action::Forward { .. }))
                        .count();
                }
                engine
            },
            BatchSize::PerIteration,
        );
    });
    for slices in [1_024, 4_096, 16_384] {
        group.bench_function(format!("one_row_of_{slices}"), |bencher| {
            let mut engine = EngineFixture::new("a", "b", 0);
            engine.handle(Event::Table(fixture::table(slices, 2, "a", "b")));
            let mut epoch = 2;
            bencher.iter_custom(|count| {
                (0..count)
                    .map(|_| {
                        epoch += 1;
                        let mut table = (*fixture::table(slices, 2, "a", "b")).clone();
                        let slice = id::Slice(slices - 1);
                        let row = godwitreel::table::Row {
                            epoch: id::Epoch(epoch),
                            ..table.row(slice).clone()
                        };
                        table.update_if_newer(slice, row);
                        let event = Event::Table(Arc::new(table));
                        let start = Clock::now();
                        black_box(engine.handle(event));
                        start.elapsed()
                    })
                    .sum()
            });
        });
    }
    group.finish();
}

fn codecs(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("codec");
    let engine = EngineFixture::new("a", "b", 0);
    let flow = engine.flow(1);
    let get = Bytes::from_static(fixture::GET);
    let notification = Bytes::from_static(fixture::NOTIFICATION);
    let service: id::Service = fixture::parse_id("service-0");
    let from = fixture::caller_address(2);
    group.bench_function("read_caller", |bencher| {
        bencher.iter(|| codec::read_caller(&flow, black_box(&get)));
    });
    group.bench_function("write_forward", |bencher| {
        let remaining = Duration::from_secs(8);
        bencher
            .iter(|| codec::write_forward(black_box(&get), &service, id::Attempt(1), 7, remaining));
    });
    group.bench_function("read_server", |bencher| {
        bencher.iter(|| codec::read_server(from, black_box(&notification)));
    });
    group.bench_function("write_answer", |bencher| {
        let header = codec::AnswerHeader {
            id: godwitreel::request::Id(0x1234 << 72),
            token: godwitreel::request::Token(4 << 64 | 0x0102_0304),
            confirmable: true,
            separate: None,
            message: 1,
            sequence: None,
        };
        let outcome = Outcome::Answered(notification.clone());
        bencher.iter(|| codec::write_answer(&header, black_box(&outcome)));
    });
    group.bench_function("write_notification", |bencher| {
        let token = godwitreel::request::Token(4 << 64 | 0x0102_0304);
        bencher
            .iter(|| codec::write_notification(token, 1, 2, false, Some(black_box(&notification))));
    });
    group.finish();
}

fn frames(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("frame");
    let engine = EngineFixture::new("a", "b", 0);
    let keys = wire::Keys::new([&[7u8; 32][..]]).expect("keys");
    let envelope = wire::Envelope {
        from: fixture::holder("a").to_string(),
        to: "b".to_owned(),
        sequence: 1 << 20,
        body: Some(peer::PeerMessage::Relay(peer::Relay {
            flow: Some(peer::pack_flow(&engine.flow(1))),
            datagram: Bytes::from_static(fixture::GET),
            hops: 1,
            released: false,
        })),
    };
    let frame = wire::sign_frame(&keys, &envelope);
    let me: id::Instance = fixture::parse_id("b");
    group.bench_function("seal", |bencher| {
        bencher.iter(|| wire::sign_frame(&keys, black_box(&envelope)));
    });
    group.bench_function("open", |bencher| {
        bencher.iter(|| wire::verify_frame(&keys, &me, "10.0.0.1:7000", black_box(&frame)));
    });
    group.finish();
}

fn configuration(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("config");
    group.sample_size(10);
    let config = fixture::config(3_700, 6_400);
    group.bench_function("build_6400_servers", |bencher| {
        bencher.iter(|| fixture::config(3_700, 6_400));
    });
    group.bench_function("snapshot_6400_servers", |bencher| {
        bencher.iter(|| config.snapshot());
    });
    group.bench_function("digest_10101_keys", |bencher| {
        bencher.iter(|| config.digest());
    });
    group.finish();
}

criterion_group!(
    all,
    known_flows,
    new_flows,
    promotion,
    codecs,
    frames,
    configuration
);
criterion_main!(all);

//! Processor time of the decisions, the codecs and the configuration.
//!
//! Events are made in batches outside the measured time; what is measured is the
//! handling alone, with everything that the core gives back dropped.

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
use fixture::Core;
use godwitreel::action::Action;
use godwitreel::codec;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::peer;
use godwitreel::request::Kind;
use godwitreel::request::Outcome;
use godwitreel::request::Receipt;
use godwitreel::wire;

/// Events made at a time.
const BATCH: u64 = 1_000;

/// Longer than any deadline and copy lifetime, so that nothing is left of a batch.
const REST: Duration = Duration::from_secs(10);

/// Age at which a core is made anew, before its feeds count as silent.
const OLD: Duration = Duration::from_secs(3_000);

/// Feeds kept in the table while packets of known flows are handled.
const KNOWN: u32 = 20_000;

/// Feeds of a backup that is promoted.
const PROMOTED: u32 = 10_000;

/// Handles events one by one; returns the time and what came out.
fn run(core: &mut Core, events: Vec<Event>) -> (Duration, Vec<Vec<Action>>) {
    let mut out = Vec::with_capacity(events.len());
    let start = Clock::now();
    for event in events {
        out.push(core.handle(event));
    }
    (start.elapsed(), out)
}

/// Repeats a batch until so many events were handled.
fn batches(count: u64, mut batch: impl FnMut(u64) -> Duration) -> Duration {
    let mut total = Duration::ZERO;
    let mut left = count;
    while left > 0 {
        let size = left.min(BATCH);
        total += batch(size);
        left -= size;
    }
    total
}

/// A core that is home of everything and keeps feeds.
fn home() -> (Core, Vec<fixture::Sent>) {
    let mut core = Core::new("a", "b", 0);
    let sent = core.open_feeds(0, KNOWN);
    (core, sent)
}

/// Lets the finished requests of a batch be forgotten.
fn rest(core: &mut Core) {
    core.advance(REST);
    if core.now > core.born + OLD {
        *core = home().0;
    }
}

fn known_flows(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("known");
    let (mut core, sent) = home();
    group.bench_function("notification", |bencher| {
        bencher.iter_custom(|count| {
            batches(count, |size| {
                let events = (0..size as usize).map(|n| fixture::answer(sent[n * 17], true));
                let events = events.collect();
                run(&mut core, events).0
            })
        });
    });
    group.bench_function("receipt", |bencher| {
        bencher.iter_custom(|count| {
            batches(count, |size| {
                let events = (0..size as u32).map(|n| Event::Receipt {
                    flow: core.flow(n * 17),
                    message: 0,
                    receipt: Receipt::Acknowledged,
                    hops: 0,
                    datagram: Bytes::new(),
                });
                let events = events.collect();
                run(&mut core, events).0
            })
        });
    });
    let open: Vec<Event> = (0..BATCH as u32)
        .map(|n| core.request(n, 9, Kind::Idempotent))
        .collect();
    run(&mut core, open.clone());
    group.bench_function("copy", |bencher| {
        bencher.iter_custom(|count| {
            batches(count, |size| {
                run(&mut core, open[..size as usize].to_vec()).0
            })
        });
    });
    let mut elsewhere = Core::new("b", "c", 0);
    group.bench_function("relay", |bencher| {
        bencher.iter_custom(|count| {
            batches(count, |size| {
                let events = (0..size as u32).map(|n| elsewhere.request(n, 9, Kind::Idempotent));
                let events = events.collect();
                run(&mut elsewhere, events).0
            })
        });
    });
    group.finish();
}

fn new_flows(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("new");
    let (mut core, _) = home();
    let mut next = KNOWN;
    group.bench_function("idempotent_forward", |bencher| {
        bencher.iter_custom(|count| {
            batches(count, |size| {
                let events = requests(&core, &mut next, size, Kind::Idempotent);
                let (time, out) = run(&mut core, events);
                let answers = out.iter().filter_map(|actions| fixture::sent(actions));
                let answers = answers.map(|sent| fixture::answer(sent, false)).collect();
                run(&mut core, answers);
                rest(&mut core);
                time
            })
        });
    });
    group.bench_function("idempotent_whole", |bencher| {
        bencher.iter_custom(|count| {
            batches(count, |size| {
                let events = requests(&core, &mut next, size, Kind::Idempotent);
                let (first, out) = run(&mut core, events);
                let answers = out.iter().filter_map(|actions| fixture::sent(actions));
                let answers = answers.map(|sent| fixture::answer(sent, false)).collect();
                let (second, _) = run(&mut core, answers);
                rest(&mut core);
                first + second
            })
        });
    });
    group.bench_function("once_whole", |bencher| {
        bencher.iter_custom(|count| {
            batches(count, |size| {
                let events = requests(&core, &mut next, size, Kind::NonIdempotent);
                let (claimed, out) = run(&mut core, events);
                let receipts = out.iter().flat_map(|actions| fixture::receipts(actions));
                let receipts = receipts.collect();
                let (forwarded, out) = run(&mut core, receipts);
                let answers = out.iter().filter_map(|actions| fixture::sent(actions));
                let answers = answers.map(|sent| fixture::answer(sent, false)).collect();
                let (answered, _) = run(&mut core, answers);
                rest(&mut core);
                claimed + forwarded + answered
            })
        });
    });
    let mut backup = Core::new("b", "a", 0);
    group.bench_function("claim_at_backup", |bencher| {
        bencher.iter_custom(|count| {
            batches(count, |size| {
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
                let time = run(&mut backup, events).0;
                backup.advance(REST);
                time
            })
        });
    });
    group.finish();
}

fn requests(core: &Core, next: &mut u32, size: u64, kind: Kind) -> Vec<Event> {
    let mut events = Vec::with_capacity(size as usize);
    for _ in 0..size {
        *next += 1;
        events.push(core.request(*next & 0xff_ffff, u128::from(*next), kind));
    }
    events
}

/// A backup with feeds of everything.
fn backup() -> Core {
    let mut core = Core::new("b", "a", 0);
    for number in 0..PROMOTED {
        let body = peer::PeerMessage::ReplicationStep(fixture::feed_step(&core, number));
        let from = fixture::holder("b");
        core.handle(Event::Peer { from, body });
    }
    core
}

fn promotion(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("promotion");
    group.sample_size(10);
    group.bench_function("table_10000_feeds", |bencher| {
        bencher.iter_batched(
            || (backup(), fixture::table(fixture::SLICES, 2, "a", "c")),
            |(mut core, table)| {
                let out = core.handle(Event::Table(table));
                (core, out)
            },
            BatchSize::PerIteration,
        );
    });
    group.bench_function("register_10000_feeds", |bencher| {
        bencher.iter_batched(
            || {
                let mut core = backup();
                core.handle(Event::Table(fixture::table(fixture::SLICES, 2, "a", "c")));
                core
            },
            |mut core| {
                let mut forwarded = 0;
                while forwarded < PROMOTED as usize {
                    let out = core.handle(Event::Tick);
                    forwarded += out
                        .iter()
                        .filter(|a| matches!(a, Action::Forward { .. }))
                        .count();
                }
                core
            },
            BatchSize::PerIteration,
        );
    });
    for slices in [1_024, 4_096, 16_384] {
        group.bench_function(format!("one_row_of_{slices}"), |bencher| {
            let mut core = Core::new("a", "b", 0);
            core.handle(Event::Table(fixture::table(slices, 2, "a", "b")));
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
                        black_box(core.handle(event));
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
    let core = Core::new("a", "b", 0);
    let flow = core.flow(1);
    let get = Bytes::from_static(fixture::GET);
    let notification = Bytes::from_static(fixture::NOTIFICATION);
    let service: id::Service = fixture::name("service-0");
    let from = fixture::caller(2);
    group.bench_function("read_caller", |bencher| {
        bencher.iter(|| codec::read_caller(&flow, black_box(&get)));
    });
    group.bench_function("write_forward", |bencher| {
        let left = Duration::from_secs(8);
        bencher.iter(|| codec::write_forward(black_box(&get), &service, id::Attempt(1), 7, left));
    });
    group.bench_function("read_server", |bencher| {
        bencher.iter(|| codec::read_server(from, black_box(&notification)));
    });
    group.bench_function("write_answer", |bencher| {
        let address = codec::AnswerHeader {
            id: godwitreel::request::Id(0x1234 << 72),
            token: godwitreel::request::Token(4 << 64 | 0x0102_0304),
            confirmable: true,
            separate: None,
            message: 1,
            sequence: None,
        };
        let outcome = Outcome::Answered(notification.clone());
        bencher.iter(|| codec::write_answer(&address, black_box(&outcome)));
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
    let core = Core::new("a", "b", 0);
    let keys = wire::Keys::new([&[7u8; 32][..]]).expect("keys");
    let envelope = wire::Envelope {
        from: fixture::holder("a").to_string(),
        to: "b".to_owned(),
        sequence: 1 << 20,
        body: Some(peer::PeerMessage::Relay(peer::Relay {
            flow: Some(peer::pack_flow(&core.flow(1))),
            datagram: Bytes::from_static(fixture::GET),
            hops: 1,
            released: false,
        })),
    };
    let sealed = wire::sign_frame(&keys, &envelope);
    let me: id::Instance = fixture::name("b");
    group.bench_function("seal", |bencher| {
        bencher.iter(|| wire::sign_frame(&keys, black_box(&envelope)));
    });
    group.bench_function("open", |bencher| {
        bencher.iter(|| wire::verify_frame(&keys, &me, "10.0.0.1:7000", black_box(&sealed)));
    });
    group.finish();
}

fn configuration(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("config");
    group.sample_size(10);
    let full = fixture::config(3_700, 6_400);
    group.bench_function("build_6400_servers", |bencher| {
        bencher.iter(|| fixture::config(3_700, 6_400));
    });
    group.bench_function("snapshot_6400_servers", |bencher| {
        bencher.iter(|| full.snapshot());
    });
    group.bench_function("digest_10101_keys", |bencher| {
        bencher.iter(|| full.digest());
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

//! The rounds: what is varied, under which load and faults.

use std::sync::Arc;

use godwitreel::document::Policy;
use godwitreel::document::Profile;
use godwitreel::reason::Reason;

use crate::measure;
use crate::measure::Column;
use crate::measure::Measure;
use crate::world::Fault;
use crate::world::Gossip;
use crate::world::Health;
use crate::world::Plan;
use crate::world::World;

/// All rounds by name.
pub(crate) const ALL: [(&str, fn()); 10] = [
    ("choice", choice),
    ("lies", lies),
    ("spill", spill),
    ("killed", killed),
    ("metastable", metastable),
    ("slow-start", slow_start),
    ("ejection", ejection),
    ("admission", admission),
    ("health", health),
    ("weight", weight),
];

/// Runs at a time.
const THREADS: usize = 3;

const SEEDS: [u64; 5] = [11, 22, 33, 44, 55];

const POLICIES: [Policy; 4] = [
    Policy::Rendezvous,
    Policy::BoundedLoad,
    Policy::TwoChoices,
    Policy::LeastLoaded,
];

const TOLD: Gossip = Gossip::On { lag: 0.0, lie: 1.0 };

const LATENCY: [Column; 6] = [
    ("good %", Measure::good),
    ("p50 ms", |run| run.latency(0.5)),
    ("p99 ms", |run| run.latency(0.99)),
    ("peak/mean", Measure::peak),
    ("over slots %", Measure::over),
    ("feeds peak/mean", Measure::feed_peak),
];

const TRUTH: [Column; 3] = [
    ("unknown", |run| run.unknown as f64),
    ("doubles", |run| run.doubles as f64),
    ("lies", |run| run.lies as f64),
];

const BROKEN: [Column; 6] = [
    ("unknown", |run| run.unknown as f64),
    ("late", |run| run.late as f64),
    ("refused", |run| run.refused as f64),
    ("no answer", |run| run.silent as f64),
    ("feeds ended", |run| run.feeds_ended as f64),
    ("feeds stalled", |run| run.feeds_stalled as f64),
];

fn join(parts: &[&[Column]]) -> Vec<Column> {
    parts.concat()
}

/// Dispatch of Abay at a share of its servers' slots.
pub(crate) fn abay(share: f64) -> Plan {
    let (servers, slots, service) = (15, 2, 0.02);
    let rate = share * f64::from(slots) * f64::from(servers) / service;
    Plan {
        homes: 8,
        zones: &["bole", "kality", "merkato", "ayat"],
        servers: servers as usize,
        slots,
        hop: 0.001_5,
        caller_hop: 0.003,
        profile: Profile::default(),
        rate: Arc::new(move |_| rate),
        once: 0.3,
        feeds: 3_000,
        notify_every: 2.0,
        service,
        length: 40.0,
        from: 10.0,
        gossip: TOLD,
        backup: true,
        shed: 64,
        comebacks: 0,
        heeds: true,
        honours_deadline: true,
        faults: Vec::new(),
    }
}

/// Booking of Naukluft at a share of its servers' slots.
pub(crate) fn naukluft(share: f64) -> Plan {
    let (servers, slots, service) = (15, 3, 0.02);
    let rate = share * f64::from(slots) * f64::from(servers) / service;
    Plan {
        homes: 7,
        zones: &["kh-eros", "kh-klein", "kh-olympia"],
        slots,
        hop: 0.001,
        rate: Arc::new(move |_| rate),
        ..abay(share)
    }
}

fn with(plan: Plan, change: impl Fn(&mut Profile)) -> Plan {
    let mut plan = plan;
    change(&mut plan.profile);
    plan
}

fn fault(at: f64, what: impl Fn(&mut World) + Send + Sync + 'static) -> Fault {
    (at, Arc::new(what))
}

fn show(name: &str, columns: &[Column], plan: &Plan) {
    let mut runs = Vec::new();
    for seeds in SEEDS.chunks(THREADS) {
        std::thread::scope(|scope| {
            let started: Vec<_> = seeds
                .iter()
                .map(|seed| scope.spawn(|| World::new(plan.clone(), *seed).run()))
                .collect();
            let ended = started.into_iter().map(|run| run.join());
            runs.extend(ended.map(|run| run.expect("a run does not panic")));
        });
    }
    measure::row(name, columns, &runs);
}

fn choice() {
    for (user, plan) in [("Abay", abay(0.7)), ("Naukluft", naukluft(0.7))] {
        let columns = join(&[&LATENCY, &TRUTH]);
        measure::head(&format!("{user}, 70 % of slots"), &columns);
        for policy in POLICIES {
            for (told, gossip) in [("alone", Gossip::Off), ("peers' counts", TOLD)] {
                let plan = with(plan.clone(), |profile| profile.policy = policy);
                let plan = Plan { gossip, ..plan };
                show(&format!("{policy:?}, {told}"), &columns, &plan);
            }
        }
    }
}

fn lies() {
    let columns = join(&[&LATENCY, &TRUTH]);
    let gossips = [
        ("true", TOLD),
        ("3 s late", Gossip::On { lag: 3.0, lie: 1.0 }),
        ("one peer tells 0", Gossip::On { lag: 0.0, lie: 0.0 }),
        (
            "one peer tells tenfold",
            Gossip::On {
                lag: 0.0,
                lie: 10.0,
            },
        ),
    ];
    measure::head("Abay, 70 % of slots, counts that lie", &columns);
    for policy in [Policy::BoundedLoad, Policy::TwoChoices, Policy::LeastLoaded] {
        for (told, gossip) in gossips {
            let plan = with(abay(0.7), |profile| profile.policy = policy);
            show(
                &format!("{policy:?}, {told}"),
                &columns,
                &Plan { gossip, ..plan },
            );
        }
    }
    measure::head(
        "Abay, 60 %, one server ten times slower, health says up",
        &columns,
    );
    for policy in POLICIES {
        let plan = with(abay(0.6), |profile| profile.policy = policy);
        let slow = fault(10.0, |world| world.models[5].slow = 10.0);
        let plan = Plan {
            faults: vec![slow],
            ..plan
        };
        show(&format!("{policy:?}"), &columns, &plan);
    }
}

fn spill() {
    let columns = join(&[&LATENCY, &TRUTH]);
    measure::head(
        "Abay, 50 % of slots, three of four servers of bole drain at second 5",
        &columns,
    );
    for percent in [50, 80, 100] {
        let plan = with(abay(0.5), |profile| profile.spill_percent = percent);
        let drain = fault(5.0, |world| {
            for server in [0, 4, 8] {
                world.models[server].health = Health::Draining;
            }
        });
        let plan = Plan {
            faults: vec![drain],
            ..plan
        };
        show(&format!("spill over {percent} %"), &columns, &plan);
    }
}

const CLAIMS: [Column; 2] = [
    ("claims", |run| run.reason(Reason::Claimed)),
    ("unknown: claimed", |run| run.reason(Reason::UnknownClaimed)),
];

fn killed() {
    let columns = join(&[&[("good %", Measure::good)], &BROKEN, &TRUTH[1..], &CLAIMS]);
    measure::head(
        "Abay, 50 % of slots, one home killed, noticed after 2 s",
        &columns,
    );
    for (name, backup) in [("home alone", false), ("home and backup", true)] {
        let kill = fault(30.0, |world| world.kill(2));
        let promote = fault(32.0, |world| world.promote(2));
        let faults = vec![kill, promote];
        let plan = Plan {
            backup,
            faults,
            length: 75.0,
            ..abay(0.5)
        };
        show(name, &columns, &plan);
    }
}

const RECOVERY: [Column; 6] = [
    ("good %", Measure::good),
    ("within 1 s %", Measure::prompt),
    ("p99 ms", |run| run.latency(0.99)),
    ("retries", |run| run.reason(Reason::Retried)),
    ("refusals", |run| run.refusals as f64),
    ("crowded until s", |run| run.crowded_until),
];

/// Load of 60 % that is twice the slots for five seconds from the twentieth on.
fn burst(plan: Plan, most: f64) -> Plan {
    let usual = (plan.rate)(0.0);
    let rate = move |now: f64| {
        if (20.0..25.0).contains(&now) {
            usual * most
        } else {
            usual
        }
    };
    Plan {
        rate: Arc::new(rate),
        ..plan
    }
}

fn metastable() {
    let columns = join(&[&RECOVERY, &TRUTH]);
    measure::head(
        "Abay, 80 %, overload for 5 s from second 20, servers know no deadline, attempts time out after 300 ms",
        &columns,
    );
    for (name, budget, attempts) in [
        ("no retry", 0, 1),
        ("budget 10 %", 10, 3),
        ("budget 20 %", 20, 3),
        ("budget 100 %", 100, 3),
        ("budget 100 %, 6 attempts", 100, 6),
    ] {
        let plan = with(abay(0.8), |profile| {
            profile.retry_budget_percent = budget;
            profile.max_attempts = attempts;
            profile.attempt_timeout_ms = 300;
            profile.queue_per_slot = 1_000;
            profile.eject_after = 1_000;
        });
        let plan = Plan {
            once: 0.0,
            shed: 100_000,
            honours_deadline: false,
            length: 90.0,
            ..burst(plan, 1.8)
        };
        show(name, &columns, &plan);
    }
}

fn slow_start() {
    let columns = join(&[&LATENCY, &TRUTH]);
    measure::head(
        "Abay, 60 %, five servers restart cold at second 30",
        &columns,
    );
    for seconds in [0, 5, 10, 20, 60] {
        let plan = with(abay(0.6), |profile| profile.slow_start_s = seconds);
        let stop = fault(27.0, |world| {
            for server in 0..5 {
                world.models[server].health = Health::Draining;
            }
        });
        let start = fault(30.0, |world| {
            let now = world.now;
            for server in 0..5 {
                world.models[server].start(now);
                for home in &world.homes {
                    home.servers[server].revoke_confirmation();
                }
            }
        });
        let plan = Plan {
            from: 29.0,
            faults: vec![stop, start],
            ..plan
        };
        show(&format!("{seconds} s"), &columns, &plan);
    }
}

const EJECTIONS: [Column; 2] = [
    ("ejected", |run| run.reason(Reason::Ejected)),
    ("denied", |run| run.reason(Reason::EjectionDenied)),
];

fn ejection() {
    let columns = join(&[&RECOVERY[..3], &BROKEN[..3], &EJECTIONS, &TRUTH[1..]]);
    measure::head(
        "Abay, 60 %, twelve of 15 servers lose 40 % of their answers, seconds 20 to 40",
        &columns,
    );
    for floor in [0, 20, 50, 80] {
        let plan = with(abay(0.6), |profile| profile.eject_floor_percent = floor);
        let lose = move |loss: f64| {
            move |world: &mut World| {
                for server in 0..12 {
                    world.models[server].loss = loss;
                }
            }
        };
        let faults = vec![fault(20.0, lose(0.4)), fault(40.0, lose(0.0))];
        let plan = Plan {
            faults,
            length: 60.0,
            ..plan
        };
        show(&format!("floor {floor} %"), &columns, &plan);
    }
    for (what, hung) in [("three", 3), ("twelve", 12)] {
        let title =
            format!("Abay, 15 %, {what} of 15 servers fifty times slower, seconds 20 to 40");
        measure::head(&title, &columns);
        for (name, after, floor) in [
            ("never ejected", 1_000, 50),
            ("after 5, no floor", 5, 0),
            ("after 5, floor 20 %", 5, 20),
            ("after 5, floor 50 %", 5, 50),
            ("after 3, floor 50 %", 3, 50),
            ("after 10, floor 50 %", 10, 50),
        ] {
            let plan = with(abay(0.15), |profile| {
                profile.eject_after = after;
                profile.eject_floor_percent = floor;
            });
            let slow = move |factor: f64| {
                move |world: &mut World| {
                    for server in 0..hung {
                        world.models[server].slow = factor;
                    }
                }
            };
            let faults = vec![fault(20.0, slow(50.0)), fault(40.0, slow(1.0))];
            show(name, &columns, &Plan { faults, ..plan });
        }
    }
}

fn admission() {
    let columns = join(&[&RECOVERY, &TRUTH]);
    measure::head(
        "Abay, 70 %, 2.5 times the load for 5 s from second 20, refused callers come back",
        &columns,
    );
    for queue in [0, 1, 2, 4, 6, 16, 100] {
        for heeds in [true, false] {
            let plan = with(abay(0.7), |profile| {
                profile.queue_per_slot = queue;
                profile.policy = Policy::LeastLoaded;
            });
            let plan = Plan {
                comebacks: 8,
                heeds,
                shed: 1_000,
                ..burst(plan, 2.5)
            };
            let manner = if heeds { "heeding" } else { "after 0.1 s" };
            show(&format!("queue {queue}, {manner}"), &columns, &plan);
        }
    }
}

fn health() {
    let columns = join(&[
        &TRUTH[1..],
        &[("good %", Measure::good)],
        &BROKEN,
        &[("misdirected", |run: &Measure| run.misdirected as f64)],
    ]);
    measure::head("Abay, 40 %, from second 20", &columns);
    let silent = |count: usize| {
        fault(20.0, move |world| {
            for server in 0..count {
                world.models[server].health = Health::Silent;
            }
        })
    };
    let taken = |health: Health| {
        fault(25.0, move |world: &mut World| {
            for server in 0..5 {
                world.models[server].stop();
                world.models[server].up = true;
                world.models[server].ours = false;
                world.models[server].health = health;
            }
        })
    };
    for (name, faults) in [
        ("nothing", Vec::new()),
        ("health of all down", vec![silent(15)]),
        ("health of 5 down", vec![silent(5)]),
        (
            "9 servers die",
            vec![fault(20.0, |world| {
                for server in 0..9 {
                    world.models[server].stop();
                }
            })],
        ),
        (
            "5 addresses taken over, health names the other service",
            vec![taken(Health::Foreign)],
        ),
        (
            "health of all down, 5 taken over, health stays down",
            vec![silent(15), taken(Health::Silent)],
        ),
        (
            "health of all down, 5 taken over, theirs names the other service",
            vec![silent(15), taken(Health::Foreign)],
        ),
    ] {
        show(
            name,
            &columns,
            &Plan {
                faults,
                ..abay(0.4)
            },
        );
    }
    let idle = Plan {
        faults: vec![silent(15)],
        ..abay(0.005)
    };
    show("health of all down, 0.5 % load", &columns, &idle);
}

const FEEDS: [Column; 6] = [
    ("feeds peak/mean", Measure::feed_peak),
    ("over 1.25 until s", |run| run.uneven_until),
    ("moves", |run| run.reason(Reason::FeedMoved)),
    ("feeds ended", |run| run.feeds_ended as f64),
    ("feeds stalled", |run| run.feeds_stalled as f64),
    ("p99 ms", |run| run.latency(0.99)),
];

fn weight() {
    let columns = join(&[&FEEDS, &TRUTH]);
    for (user, plan) in [("Abay", abay(0.4)), ("Naukluft", naukluft(0.4))] {
        let title = format!("{user}, 40 %, 5 of 15 servers drain at 15 s, restart at 25 s");
        measure::head(&title, &columns);
        for weight in [0, 10, 50, 75, 90, 100] {
            let plan = with(plan.clone(), |profile| profile.balance_weight = weight);
            let stop = fault(15.0, |world| {
                for server in 0..5 {
                    world.models[server].health = Health::Draining;
                }
            });
            let start = fault(25.0, |world| {
                let now = world.now;
                for server in 0..5 {
                    world.models[server].stop();
                    world.models[server].start(now);
                    for home in &world.homes {
                        home.servers[server].revoke_confirmation();
                    }
                }
            });
            let plan = Plan {
                from: 26.0,
                length: 90.0,
                faults: vec![stop, start],
                ..plan
            };
            show(&format!("weight {weight}"), &columns, &plan);
        }
    }
}

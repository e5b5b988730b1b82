//! The rounds: the settings that each varies, with its load and faults.

use std::sync::Arc;

use godwitreel::document::Policy;
use godwitreel::document::Profile;
use godwitreel::reason::Reason;

use crate::measure;
use crate::measure::Column;
use crate::measure::Measurements;
use crate::simulation::Fault;
use crate::simulation::Health;
use crate::simulation::LoadReports;
use crate::simulation::Plan;
use crate::simulation::Simulation;

/// All rounds by their names on the command line.
pub(crate) const ROUNDS: [(&str, fn()); 10] = [
    ("choice", policy_choice),
    ("lies", wrong_load_reports),
    ("spill", spill),
    ("killed", killed_instance),
    ("metastable", metastable),
    ("slow-start", slow_start),
    ("ejection", ejection),
    ("admission", admission),
    ("health", health),
    ("weight", balance_weight),
];

/// Runs that are simulated in parallel.
const THREADS: usize = 3;

const SEEDS: [u64; 5] = [11, 22, 33, 44, 55];

const POLICIES: [Policy; 4] = [
    Policy::Rendezvous,
    Policy::BoundedLoad,
    Policy::TwoChoices,
    Policy::LeastLoaded,
];

const CORRECT_REPORTS: LoadReports = LoadReports::On {
    lag: 0.0,
    factor: 1.0,
};

const LATENCY: [Column; 6] = [
    ("good %", Measurements::answered_percent),
    ("p50 ms", |run| run.latency(0.5)),
    ("p99 ms", |run| run.latency(0.99)),
    ("peak/mean", Measurements::peak),
    ("over slots %", Measurements::over_slots_percent),
    ("feeds peak/mean", Measurements::feed_peak),
];

const CORRECTNESS: [Column; 3] = [
    ("unknown", |run| run.unknown as f64),
    ("run twice", |run| run.run_twice as f64),
    ("refused but run", |run| run.run_despite_refusal as f64),
];

const FAILURES: [Column; 6] = [
    ("unknown", |run| run.unknown as f64),
    ("late", |run| run.unanswered as f64),
    ("refused", |run| run.refused as f64),
    ("no answer", |run| run.silent as f64),
    ("feeds ended", |run| run.feeds_ended as f64),
    ("feeds stalled", |run| run.feeds_stalled as f64),
];

fn concat_columns(parts: &[&[Column]]) -> Vec<Column> {
    parts.concat()
}

/// The service `dispatch` of the customer Abay, loaded to a share of its servers' slots.
pub(crate) fn abay_dispatch(share: f64) -> Plan {
    let (servers, slots, service_time) = (15, 2, 0.02);
    let rate = share * f64::from(slots) * f64::from(servers) / service_time;
    Plan {
        instances: 8,
        zones: &["bole", "kality", "merkato", "ayat"],
        servers: servers as usize,
        slots,
        zone_delay: 0.001_5,
        caller_delay: 0.003,
        profile: Profile::default(),
        rate: Arc::new(move |_| rate),
        non_idempotent_share: 0.3,
        feeds: 3_000,
        notify_interval: 2.0,
        service_time,
        duration: 40.0,
        measure_from: 10.0,
        load_reports: CORRECT_REPORTS,
        has_backup: true,
        shed_queue_len: 64,
        caller_retries: 0,
        honours_retry_after: true,
        honours_deadline: true,
        faults: Vec::new(),
    }
}

/// The booking service of the customer Naukluft, loaded to a share of its servers' slots.
pub(crate) fn naukluft_booking(share: f64) -> Plan {
    let (servers, slots, service_time) = (15, 3, 0.02);
    let rate = share * f64::from(slots) * f64::from(servers) / service_time;
    Plan {
        instances: 7,
        zones: &["kh-eros", "kh-klein", "kh-olympia"],
        slots,
        zone_delay: 0.001,
        rate: Arc::new(move |_| rate),
        ..abay_dispatch(share)
    }
}

fn with_profile(plan: Plan, change: impl Fn(&mut Profile)) -> Plan {
    let mut plan = plan;
    change(&mut plan.profile);
    plan
}

fn fault(at: f64, action: impl Fn(&mut Simulation) + Send + Sync + 'static) -> Fault {
    (at, Arc::new(action))
}

fn run_and_print(name: &str, columns: &[Column], plan: &Plan) {
    let mut runs = Vec::new();
    for seeds in SEEDS.chunks(THREADS) {
        std::thread::scope(|scope| {
            let threads: Vec<_> = seeds
                .iter()
                .map(|seed| scope.spawn(|| Simulation::new(plan.clone(), *seed).run()))
                .collect();
            let results = threads.into_iter().map(|run| run.join());
            runs.extend(results.map(|run| run.expect("a run does not panic")));
        });
    }
    measure::print_row(name, columns, &runs);
}

fn policy_choice() {
    for (customer, plan) in [
        ("Abay", abay_dispatch(0.7)),
        ("Naukluft", naukluft_booking(0.7)),
    ] {
        let columns = concat_columns(&[&LATENCY, &CORRECTNESS]);
        measure::print_header(&format!("{customer}, 70 % of slots"), &columns);
        for policy in POLICIES {
            for (reports, load_reports) in [
                ("own counts only", LoadReports::Off),
                ("peers' counts", CORRECT_REPORTS),
            ] {
                let plan = with_profile(plan.clone(), |profile| profile.policy = policy);
                let plan = Plan {
                    load_reports,
                    ..plan
                };
                run_and_print(&format!("{policy:?}, {reports}"), &columns, &plan);
            }
        }
    }
}

fn wrong_load_reports() {
    let columns = concat_columns(&[&LATENCY, &CORRECTNESS]);
    let load_report_variants = [
        ("correct", CORRECT_REPORTS),
        (
            "3 s late",
            LoadReports::On {
                lag: 3.0,
                factor: 1.0,
            },
        ),
        (
            "one peer reports 0",
            LoadReports::On {
                lag: 0.0,
                factor: 0.0,
            },
        ),
        (
            "one peer reports tenfold",
            LoadReports::On {
                lag: 0.0,
                factor: 10.0,
            },
        ),
    ];
    measure::print_header("Abay, 70 % of slots, wrong load reports", &columns);
    for policy in [Policy::BoundedLoad, Policy::TwoChoices, Policy::LeastLoaded] {
        for (reports, load_reports) in load_report_variants {
            let plan = with_profile(abay_dispatch(0.7), |profile| profile.policy = policy);
            run_and_print(
                &format!("{policy:?}, {reports}"),
                &columns,
                &Plan {
                    load_reports,
                    ..plan
                },
            );
        }
    }
    measure::print_header(
        "Abay, 60 %, one server ten times slower, health says up",
        &columns,
    );
    for policy in POLICIES {
        let plan = with_profile(abay_dispatch(0.6), |profile| profile.policy = policy);
        let slow = fault(10.0, |simulation| simulation.models[5].slowdown = 10.0);
        let plan = Plan {
            faults: vec![slow],
            ..plan
        };
        run_and_print(&format!("{policy:?}"), &columns, &plan);
    }
}

fn spill() {
    let columns = concat_columns(&[&LATENCY, &CORRECTNESS]);
    measure::print_header(
        "Abay, 50 % of slots, three of four servers of bole drain at second 5",
        &columns,
    );
    for percent in [50, 80, 100] {
        let plan = with_profile(abay_dispatch(0.5), |profile| {
            profile.spill_percent = percent
        });
        let drain = fault(5.0, |simulation| {
            for server in [0, 4, 8] {
                simulation.models[server].health = Health::Draining;
            }
        });
        let plan = Plan {
            faults: vec![drain],
            ..plan
        };
        run_and_print(&format!("spill over {percent} %"), &columns, &plan);
    }
}

const CLAIMS: [Column; 2] = [
    ("claims", |run| run.reason(Reason::Claimed)),
    ("unknown: claimed", |run| run.reason(Reason::UnknownClaimed)),
];

fn killed_instance() {
    let columns = concat_columns(&[
        &[("good %", Measurements::answered_percent)],
        &FAILURES,
        &CORRECTNESS[1..],
        &CLAIMS,
    ]);
    measure::print_header(
        "Abay, 50 % of slots, one instance killed, detected after 2 s",
        &columns,
    );
    for (name, has_backup) in [("home only", false), ("home and backup", true)] {
        let kill = fault(30.0, |simulation| simulation.kill(2));
        let promote = fault(32.0, |simulation| simulation.promote(2));
        let faults = vec![kill, promote];
        let plan = Plan {
            has_backup,
            faults,
            duration: 75.0,
            ..abay_dispatch(0.5)
        };
        run_and_print(name, &columns, &plan);
    }
}

const RECOVERY: [Column; 6] = [
    ("good %", Measurements::answered_percent),
    ("within 1 s %", Measurements::prompt_percent),
    ("p99 ms", |run| run.latency(0.99)),
    ("retries", |run| run.reason(Reason::Retried)),
    ("refusals", |run| run.refusals as f64),
    ("crowded until s", |run| run.crowded_until),
];

/// Multiplies the load for five seconds, from second 20 on.
fn burst(plan: Plan, factor: f64) -> Plan {
    let base = (plan.rate)(0.0);
    let rate = move |now: f64| {
        if (20.0..25.0).contains(&now) {
            base * factor
        } else {
            base
        }
    };
    Plan {
        rate: Arc::new(rate),
        ..plan
    }
}

fn metastable() {
    let columns = concat_columns(&[&RECOVERY, &CORRECTNESS]);
    measure::print_header(
        "Abay, 80 %, overload for 5 s from second 20, servers ignore the deadline, attempts time out after 300 ms",
        &columns,
    );
    for (name, budget, attempts) in [
        ("no retry", 0, 1),
        ("budget 10 %", 10, 3),
        ("budget 20 %", 20, 3),
        ("budget 100 %", 100, 3),
        ("budget 100 %, 6 attempts", 100, 6),
    ] {
        let plan = with_profile(abay_dispatch(0.8), |profile| {
            profile.retry_budget_percent = budget;
            profile.max_attempts = attempts;
            profile.attempt_timeout_ms = 300;
            profile.queue_per_slot = 1_000;
            profile.eject_after = 1_000;
        });
        let plan = Plan {
            non_idempotent_share: 0.0,
            shed_queue_len: 100_000,
            honours_deadline: false,
            duration: 90.0,
            ..burst(plan, 1.8)
        };
        run_and_print(name, &columns, &plan);
    }
}

fn slow_start() {
    let columns = concat_columns(&[&LATENCY, &CORRECTNESS]);
    measure::print_header(
        "Abay, 60 %, five servers restart cold at second 30",
        &columns,
    );
    for seconds in [0, 5, 10, 20, 60] {
        let plan = with_profile(abay_dispatch(0.6), |profile| profile.slow_start_s = seconds);
        let stop = fault(27.0, |simulation| {
            for server in 0..5 {
                simulation.models[server].health = Health::Draining;
            }
        });
        let start = fault(30.0, |simulation| {
            let now = simulation.now;
            for server in 0..5 {
                simulation.models[server].start(now);
                for instance in &simulation.instances {
                    instance.servers[server].revoke_confirmation();
                }
            }
        });
        let plan = Plan {
            measure_from: 29.0,
            faults: vec![stop, start],
            ..plan
        };
        run_and_print(&format!("{seconds} s"), &columns, &plan);
    }
}

const EJECTIONS: [Column; 2] = [
    ("ejected", |run| run.reason(Reason::Ejected)),
    ("denied", |run| run.reason(Reason::EjectionDenied)),
];

fn ejection() {
    let columns = concat_columns(&[
        &RECOVERY[..3],
        &FAILURES[..3],
        &EJECTIONS,
        &CORRECTNESS[1..],
    ]);
    measure::print_header(
        "Abay, 60 %, twelve of 15 servers lose 40 % of their answers, seconds 20 to 40",
        &columns,
    );
    for floor in [0, 20, 50, 80] {
        let plan = with_profile(abay_dispatch(0.6), |profile| {
            profile.eject_floor_percent = floor
        });
        let lose = move |loss: f64| {
            move |simulation: &mut Simulation| {
                for server in 0..12 {
                    simulation.models[server].answer_loss = loss;
                }
            }
        };
        let faults = vec![fault(20.0, lose(0.4)), fault(40.0, lose(0.0))];
        let plan = Plan {
            faults,
            duration: 60.0,
            ..plan
        };
        run_and_print(&format!("floor {floor} %"), &columns, &plan);
    }
    for (count, hung) in [("three", 3), ("twelve", 12)] {
        let title =
            format!("Abay, 15 %, {count} of 15 servers fifty times slower, seconds 20 to 40");
        measure::print_header(&title, &columns);
        for (name, after, floor) in [
            ("never ejected", 1_000, 50),
            ("after 5, no floor", 5, 0),
            ("after 5, floor 20 %", 5, 20),
            ("after 5, floor 50 %", 5, 50),
            ("after 3, floor 50 %", 3, 50),
            ("after 10, floor 50 %", 10, 50),
        ] {
            let plan = with_profile(abay_dispatch(0.15), |profile| {
                profile.eject_after = after;
                profile.eject_floor_percent = floor;
            });
            let slow = move |factor: f64| {
                move |simulation: &mut Simulation| {
                    for server in 0..hung {
                        simulation.models[server].slowdown = factor;
                    }
                }
            };
            let faults = vec![fault(20.0, slow(50.0)), fault(40.0, slow(1.0))];
            run_and_print(name, &columns, &Plan { faults, ..plan });
        }
    }
}

fn admission() {
    let columns = concat_columns(&[&RECOVERY, &CORRECTNESS]);
    measure::print_header(
        "Abay, 70 %, 2.5 times the load for 5 s from second 20, refused callers retry",
        &columns,
    );
    for queue in [0, 1, 2, 4, 6, 16, 100] {
        for honours_retry_after in [true, false] {
            let plan = with_profile(abay_dispatch(0.7), |profile| {
                profile.queue_per_slot = queue;
                profile.policy = Policy::LeastLoaded;
            });
            let plan = Plan {
                caller_retries: 8,
                honours_retry_after,
                shed_queue_len: 1_000,
                ..burst(plan, 2.5)
            };
            let retry = if honours_retry_after {
                "honouring the retry time"
            } else {
                "after 0.1 s"
            };
            run_and_print(&format!("queue {queue}, {retry}"), &columns, &plan);
        }
    }
}

fn health() {
    let columns = concat_columns(&[
        &CORRECTNESS[1..],
        &[("good %", Measurements::answered_percent)],
        &FAILURES,
        &[("misdirected", |run: &Measurements| run.misdirected as f64)],
    ]);
    measure::print_header("Abay, 40 %, from second 20", &columns);
    let silent = |count: usize| {
        fault(20.0, move |simulation| {
            for server in 0..count {
                simulation.models[server].health = Health::Silent;
            }
        })
    };
    let taken_over = |health: Health| {
        fault(25.0, move |simulation: &mut Simulation| {
            for server in 0..5 {
                simulation.models[server].stop();
                simulation.models[server].up = true;
                simulation.models[server].runs_service = false;
                simulation.models[server].health = health;
            }
        })
    };
    for (name, faults) in [
        ("nothing", Vec::new()),
        ("health of all down", vec![silent(15)]),
        ("health of 5 down", vec![silent(5)]),
        (
            "9 servers die",
            vec![fault(20.0, |simulation| {
                for server in 0..9 {
                    simulation.models[server].stop();
                }
            })],
        ),
        (
            "5 addresses taken over, health reports the other service",
            vec![taken_over(Health::OtherService)],
        ),
        (
            "health of all down, 5 taken over, health stays down",
            vec![silent(15), taken_over(Health::Silent)],
        ),
        (
            "health of all down, 5 taken over, theirs reports the other service",
            vec![silent(15), taken_over(Health::OtherService)],
        ),
    ] {
        run_and_print(
            name,
            &columns,
            &Plan {
                faults,
                ..abay_dispatch(0.4)
            },
        );
    }
    let idle = Plan {
        faults: vec![silent(15)],
        ..abay_dispatch(0.005)
    };
    run_and_print("health of all down, 0.5 % load", &columns, &idle);
}

const FEEDS: [Column; 6] = [
    ("feeds peak/mean", Measurements::feed_peak),
    ("over 1.25 until s", |run| run.uneven_until),
    ("moves", |run| run.reason(Reason::FeedMoved)),
    ("feeds ended", |run| run.feeds_ended as f64),
    ("feeds stalled", |run| run.feeds_stalled as f64),
    ("p99 ms", |run| run.latency(0.99)),
];

fn balance_weight() {
    let columns = concat_columns(&[&FEEDS, &CORRECTNESS]);
    for (customer, plan) in [
        ("Abay", abay_dispatch(0.4)),
        ("Naukluft", naukluft_booking(0.4)),
    ] {
        let title = format!("{customer}, 40 %, 5 of 15 servers drain at 15 s, restart at 25 s");
        measure::print_header(&title, &columns);
        for weight in [0, 10, 50, 75, 90, 100] {
            let plan = with_profile(plan.clone(), |profile| profile.balance_weight = weight);
            let stop = fault(15.0, |simulation| {
                for server in 0..5 {
                    simulation.models[server].health = Health::Draining;
                }
            });
            let start = fault(25.0, |simulation| {
                let now = simulation.now;
                for server in 0..5 {
                    simulation.models[server].stop();
                    simulation.models[server].start(now);
                    for instance in &simulation.instances {
                        instance.servers[server].revoke_confirmation();
                    }
                }
            });
            let plan = Plan {
                measure_from: 26.0,
                duration: 90.0,
                faults: vec![stop, start],
                ..plan
            };
            run_and_print(&format!("weight {weight}"), &columns, &plan);
        }
    }
}

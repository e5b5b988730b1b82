//! Non-idempotent requests run at most once, and the reported outcomes are correct.

mod utils;

use std::time::Duration;

use coap_lite::RequestType;
use nix::sys::signal::Signal;
use serde_json::json;
use standin::caller::Outcome;
use standin::fault::Direction;
use standin::fault::Faults;
use tokio::task::JoinSet;
use tokio::time::sleep;
use utils::Cluster;
use utils::Plan;
use utils::WAIT_TIMEOUT;
use utils::fast_detection_settings;

const SLOW: Duration = Duration::from_millis(2_500);
const CALLERS: u64 = 10;
const REQUESTS: u64 = 60;

/// Callers tried to find one whose home and backup are both other instances.
const TRIES: u64 = 64;

async fn start(servers: usize) -> Cluster {
    Cluster::start(Plan {
        zones: vec!["bole", "kality", "merkato", "ayat"],
        services: vec![("dispatch", servers)],
        settings: fast_detection_settings(),
        profile: json!({"slow_start_s": 0, "retry_budget_percent": 100}),
        ..Plan::default()
    })
    .await
}

/// A caller that sends to an instance which is neither home nor backup of its
/// slice.
async fn outsider(cluster: &Cluster) -> (standin::caller::Caller, usize) {
    for seed in 0..TRIES {
        let caller = cluster.caller_at("dispatch", 0, seed).await;
        let address = caller.address().expect("address");
        let home = cluster.home("dispatch", address);
        if home != 0 && cluster.backup("dispatch", address) != 0 {
            return (caller, home);
        }
    }
    panic!("no caller found whose home and backup are other instances");
}

/// A caller books through one instance, and duplicates of its datagram reach all
/// others, before and after its home is frozen while the booking is at a server.
/// The backup takes over and must not run the booking, since the replicated claim
/// says that the old home may have run it. The old home resumes, finds that it was
/// replaced, and must not run the booking again either. The caller gets "unknown"
/// or the actual answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_home_that_thaws_runs_nothing_twice() {
    let cluster = start(4).await;
    for server in cluster.servers.values() {
        server.set_service_time(SLOW);
    }
    let (caller, home) = outsider(&cluster).await;
    let address = caller.address().expect("address");
    let mut exchange = caller.begin(RequestType::Post, "/pickup", "booking").await;
    let datagram = exchange.datagram();
    cluster
        .send_copies("dispatch", &caller, &datagram, home)
        .await;
    cluster
        .wait_until("the booking starts", async || {
            cluster.starts("booking") == 1
        })
        .await;
    cluster.instances[home].signal(Signal::SIGSTOP);
    cluster
        .send_copies("dispatch", &caller, &datagram, home)
        .await;
    cluster
        .wait_until("the backup takes over", async || {
            cluster.home("dispatch", address) != home
        })
        .await;
    cluster
        .send_copies("dispatch", &caller, &datagram, home)
        .await;
    let first = exchange.outcome(WAIT_TIMEOUT).await;
    assert_eq!(first, Outcome::Unknown);
    // New bookings of the same caller run at the new home.
    let next = caller
        .request(RequestType::Post, "/pickup", "next", WAIT_TIMEOUT)
        .await;
    assert!(matches!(next, Outcome::Answered { .. }), "{next:?}");
    cluster.instances[home].signal(Signal::SIGCONT);
    cluster
        .send_copies("dispatch", &caller, &datagram, TRIES as usize)
        .await;
    sleep(SLOW).await;
    cluster
        .send_copies("dispatch", &caller, &datagram, TRIES as usize)
        .await;
    sleep(SLOW).await;
    assert_eq!(cluster.starts("booking"), 1);
    assert_eq!(cluster.starts("next"), 1);
}

/// A booking is at a server when the caller's home is killed. The caller repeats
/// its datagram at the other instances; the backup knows the claim but not the
/// answer, and answers "unknown" within seconds instead of running the booking
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_home_leaves_unknown_and_no_second_start() {
    let mut cluster = start(4).await;
    for server in cluster.servers.values() {
        server.set_service_time(SLOW);
    }
    let (caller, home) = outsider(&cluster).await;
    let mut exchange = caller.begin(RequestType::Post, "/pickup", "booking").await;
    cluster
        .wait_until("the booking starts", async || {
            cluster.starts("booking") == 1
        })
        .await;
    cluster.instances[home].kill();
    let datagram = exchange.datagram();
    cluster
        .send_copies("dispatch", &caller, &datagram, home)
        .await;
    assert_eq!(exchange.outcome(WAIT_TIMEOUT).await, Outcome::Unknown);
    cluster
        .send_copies("dispatch", &caller, &datagram, home)
        .await;
    sleep(SLOW).await;
    assert_eq!(cluster.starts("booking"), 1);
}

/// Counts of the outcomes that callers received in a long run under faults.
#[derive(Default)]
struct Tally {
    answered: u64,
    not_run: u64,
    unknown: u64,
    silent: u64,
}

async fn book(caller: standin::caller::Caller, name: String) -> Vec<(String, Outcome)> {
    let mut outcomes = Vec::new();
    for number in 0..REQUESTS {
        let payload = format!("{name}-{number}");
        let outcome = caller
            .request(
                RequestType::Post,
                "/pickup",
                payload.clone(),
                Duration::from_secs(15),
            )
            .await;
        outcomes.push((payload, outcome));
        sleep(Duration::from_millis(100)).await;
    }
    outcomes
}

/// Callers book without pause through a network that loses, duplicates and delays
/// datagrams, while an instance is frozen and resumed, another is killed, servers
/// refuse requests, and the platform goes down and loses the answers to its writes.
/// Each outcome is then compared with the servers' own counts: no booking ran
/// twice, every answered booking ran, and none that was reported as not run did.
#[tokio::test(flavor = "multi_thread")]
async fn outcomes_under_faults_are_reported_correctly() {
    let mut cluster = start(6).await;
    let faults = Faults {
        loss: 0.03,
        duplicate: 0.2,
        jitter: Duration::from_millis(30),
        ..Faults::default()
    };
    let fabric = &cluster.fabrics["dispatch"];
    fabric.set_faults(Direction::Forward, faults);
    fabric.set_faults(Direction::Back, faults);
    for server in cluster.servers.values() {
        server.set_service_time(Duration::from_millis(100));
    }
    let mut histories = JoinSet::new();
    for seed in 0..CALLERS {
        let caller = cluster.caller("dispatch", seed).await;
        histories.spawn(book(caller, format!("history-{seed}")));
    }
    sleep(Duration::from_secs(1)).await;
    cluster.servers["dispatch-0"].shed(true);
    cluster.platform.lose_answers(4);
    cluster.instances[0].signal(Signal::SIGSTOP);
    sleep(Duration::from_millis(2_500)).await;
    cluster.instances[0].signal(Signal::SIGCONT);
    cluster.platform.down(true);
    sleep(Duration::from_secs(2)).await;
    cluster.platform.down(false);
    for shed in [true, false] {
        for server in cluster.servers.values() {
            server.shed(shed);
        }
        sleep(Duration::from_millis(300)).await;
    }
    cluster.servers["dispatch-1"].drain(true);
    cluster.instances[1].kill();
    sleep(Duration::from_secs(2)).await;
    cluster.platform.lose_answers(4);
    cluster.remove_from_fabrics(1);
    let mut outcomes = Vec::new();
    while let Some(history) = histories.join_next().await {
        outcomes.extend(history.expect("a history"));
    }
    sleep(Duration::from_secs(1)).await;
    let mut tally = Tally::default();
    for (payload, outcome) in &outcomes {
        let starts = cluster.starts(payload);
        assert!(starts <= 1, "{payload} started {starts} times");
        match outcome {
            Outcome::Answered { .. } => {
                assert_eq!(starts, 1, "{payload}");
                tally.answered += 1;
            }
            Outcome::NotRun { .. } => {
                assert_eq!(starts, 0, "{payload}");
                tally.not_run += 1;
            }
            Outcome::Unknown => tally.unknown += 1,
            Outcome::Silent => tally.silent += 1,
        }
    }
    println!(
        "{} answered, {} not run, {} unknown, {} silent",
        tally.answered, tally.not_run, tally.unknown, tally.silent
    );
    assert_eq!(outcomes.len() as u64, CALLERS * REQUESTS);
    // All servers refuse for a while, after which they get no requests for two seconds;
    // outside that time nearly everything is answered.
    assert!(tally.not_run > 0);
    assert!(tally.answered * 3 > CALLERS * REQUESTS);
}

//! An accepted change is in force everywhere within seconds and never reverts.

mod utils;

use std::time::Duration;

use coap_lite::RequestType;
use serde_json::json;
use standin::caller::Outcome;
use tokio::time::Instant;
use tokio::time::sleep;
use utils::Cluster;
use utils::Plan;
use utils::WAIT_TIMEOUT;
use utils::fast_detection_settings;

const PROFILE: &str = "profiles/standard";
const DRAIN: &str = "godwitreel/drain/servers/dispatch-0";

/// How long it is watched that nothing reverts.
const WATCH: Duration = Duration::from_secs(6);

async fn revision(cluster: &Cluster, place: usize) -> u64 {
    let status = cluster.instances[place].status().await;
    let revision = status.and_then(|status| status.revisions.get(PROFILE).copied());
    revision.map_or(0, |revision| revision.0)
}

async fn in_force(cluster: &Cluster, places: &[usize], wanted: u64) -> Duration {
    let begun = Instant::now();
    cluster
        .wait_until("the change is in force", async || {
            for place in places {
                if revision(cluster, *place).await != wanted {
                    return false;
                }
            }
            true
        })
        .await;
    begun.elapsed()
}

/// Whether an instance takes the operator's wish to drain the server as standing.
async fn drains(cluster: &Cluster, place: usize) -> Option<bool> {
    let status = cluster.instances[place].status().await?;
    let mut servers = status.servers.into_iter();
    let server = servers.find(|server| server.id.as_str() == "dispatch-0")?;
    Some(server.leaving)
}

async fn all_drain(cluster: &Cluster, places: &[usize], wanted: bool) {
    cluster
        .wait_until("the wish to drain is known", async || {
            for place in places {
                if drains(cluster, *place).await != Some(wanted) {
                    return false;
                }
            }
            true
        })
        .await;
}

fn nine() -> Plan {
    Plan {
        zones: ["bole", "kality", "merkato"].repeat(3),
        services: vec![("dispatch", 3)],
        settings: fast_detection_settings(),
        proxied: true,
        ..Plan::default()
    }
}

/// Nine instances get each change of the profile. One is cut off from the
/// platform and learns from its peers, one is cut off from everything and learns
/// once it is back; a platform that serves old values and an old revision written
/// anew change nothing back.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_all_and_never_reverts() {
    const ALL: [usize; 9] = [0, 1, 2, 3, 4, 5, 6, 7, 8];
    let cluster = Cluster::start(nine()).await;
    cluster.change_profile(2, &json!({"retry_after_s": 3}));
    let took = in_force(&cluster, &ALL, 2).await;
    println!("nine instances: {took:?}");

    cluster.cut_platform(0, true);
    cluster.cut_platform(1, true);
    cluster.cut_off(&[1]);
    cluster.change_profile(3, &json!({"retry_after_s": 4}));
    let took = in_force(&cluster, &[0, 2, 3, 4, 5, 6, 7, 8], 3).await;
    println!("one of them from its peers alone: {took:?}");
    assert_eq!(revision(&cluster, 1).await, 2);
    cluster.cut_off(&[]);
    cluster.cut_platform(0, false);
    cluster.cut_platform(1, false);
    let took = in_force(&cluster, &ALL, 3).await;
    println!("one that was cut off from all: {took:?}");

    cluster.platform.stale(true);
    cluster.change_profile(4, &json!({"retry_after_s": 5}));
    cluster.change_profile(1, &json!({"retry_after_s": 6}));
    cluster.platform.stale(false);
    sleep(WATCH).await;
    for place in ALL {
        let known = revision(&cluster, place).await;
        // A watch tells every change; who only lists sees the last one, which is
        // older than what is in force.
        assert!(known >= 3, "instance {place} went back to {known}");
    }
}

/// The operator withdraws the wish to drain a server while one instance is cut
/// off from the platform. That instance still has the old key and its peers see
/// that their copies differ; neither may the key come back at the peers, nor may
/// the cut off instance keep the server out of service.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_wish_does_not_come_back_from_a_peer() {
    let cluster = Cluster::start(Plan {
        settings: fast_detection_settings(),
        proxied: true,
        ..Plan::default()
    })
    .await;
    cluster.platform.put(DRAIN, "{}");
    all_drain(&cluster, &[0, 1, 2], true).await;
    cluster.cut_platform(0, true);
    cluster.platform.delete(DRAIN);
    all_drain(&cluster, &[1, 2], false).await;
    let end = Instant::now() + WATCH;
    while Instant::now() < end {
        for place in [1, 2] {
            assert_eq!(drains(&cluster, place).await, Some(false), "{place}");
        }
        sleep(Duration::from_millis(100)).await;
    }
    all_drain(&cluster, &[0], false).await;
}

/// An instance starts while the platform is down. It has nothing but its seeds,
/// gets configuration and slice table from them, and serves idempotent requests
/// and feeds.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_started_without_the_platform_serves() {
    let mut cluster = Cluster::start(Plan {
        settings: fast_detection_settings(),
        ..Plan::default()
    })
    .await;
    cluster.change_profile(2, &json!({"retry_after_s": 3}));
    in_force(&cluster, &[0, 1, 2], 2).await;
    cluster.platform.down(true);
    let place = cluster.add("bole").await;
    let took = in_force(&cluster, &[place], 2).await;
    println!("configured by its seeds after {took:?}");
    cluster
        .wait_until("it is ready and knows a server", async || {
            let status = cluster.instances[place].status().await;
            status.is_some_and(|s| s.ready && s.servers.iter().all(|server| server.takes_work))
        })
        .await;
    let caller = cluster.caller_at("dispatch", place, 1).await;
    let outcome = caller
        .request(RequestType::Get, "/sheet", b"", WAIT_TIMEOUT)
        .await;
    assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
    let mut feed = caller
        .observe("/route", WAIT_TIMEOUT)
        .await
        .expect("a feed");
    for _ in 0..5 {
        let update = feed.next(WAIT_TIMEOUT).await;
        let open = matches!(update, standin::caller::Update::Notification { .. });
        assert!(open, "{update:?}");
    }
}

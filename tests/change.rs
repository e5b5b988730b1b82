//! An accepted change takes effect at all instances within seconds and never reverts.

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

const PROFILE_NAME: &str = "profiles/standard";
const DRAIN_KEY: &str = "godwitreel/drain/servers/dispatch-0";

/// How long the tests check that nothing reverts.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(6);

async fn revision(cluster: &Cluster, instance: usize) -> u64 {
    let status = cluster.instances[instance].status().await;
    let revision = status.and_then(|status| status.revisions.get(PROFILE_NAME).copied());
    revision.map_or(0, |revision| revision.0)
}

async fn time_until_in_force(cluster: &Cluster, instances: &[usize], wanted: u64) -> Duration {
    let begun = Instant::now();
    cluster
        .wait_until("the change is in force", async || {
            for instance in instances {
                if revision(cluster, *instance).await != wanted {
                    return false;
                }
            }
            true
        })
        .await;
    begun.elapsed()
}

/// Whether an instance considers the server drained; `None` if it does not answer or does
/// not know the server.
async fn is_drained(cluster: &Cluster, instance: usize) -> Option<bool> {
    let status = cluster.instances[instance].status().await?;
    let mut servers = status.servers.into_iter();
    let server = servers.find(|server| server.id.as_str() == "dispatch-0")?;
    Some(server.leaving)
}

async fn wait_for_drained(cluster: &Cluster, instances: &[usize], wanted: bool) {
    cluster
        .wait_until("the drain or its removal has been received", async || {
            for instance in instances {
                if is_drained(cluster, *instance).await != Some(wanted) {
                    return false;
                }
            }
            true
        })
        .await;
}

fn nine_instances() -> Plan {
    Plan {
        zones: ["bole", "kality", "merkato"].repeat(3),
        services: vec![("dispatch", 3)],
        settings: fast_detection_settings(),
        proxied: true,
        ..Plan::default()
    }
}

/// Nine instances receive each change of the profile. One is disconnected from the platform
/// and receives the change from its peers; one is disconnected from all others and receives
/// the change after it is connected again. Neither a platform that serves stale values nor
/// an old revision that is written again reverts a change.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_all_and_never_reverts() {
    const ALL: [usize; 9] = [0, 1, 2, 3, 4, 5, 6, 7, 8];
    let cluster = Cluster::start(nine_instances()).await;
    cluster.change_profile(2, &json!({"retry_after_s": 3}));
    let took = time_until_in_force(&cluster, &ALL, 2).await;
    println!("nine instances: {took:?}");

    cluster.cut_platform(0, true);
    cluster.cut_platform(1, true);
    cluster.cut_off(&[1]);
    cluster.change_profile(3, &json!({"retry_after_s": 4}));
    let took = time_until_in_force(&cluster, &[0, 2, 3, 4, 5, 6, 7, 8], 3).await;
    println!("with one instance that has only its peers: {took:?}");
    assert_eq!(revision(&cluster, 1).await, 2);
    cluster.cut_off(&[]);
    cluster.cut_platform(0, false);
    cluster.cut_platform(1, false);
    let took = time_until_in_force(&cluster, &ALL, 3).await;
    println!("with one instance that was disconnected from all others: {took:?}");

    cluster.platform.stale(true);
    cluster.change_profile(4, &json!({"retry_after_s": 5}));
    cluster.change_profile(1, &json!({"retry_after_s": 6}));
    cluster.platform.stale(false);
    sleep(OBSERVATION_PERIOD).await;
    for instance in ALL {
        let known = revision(&cluster, instance).await;
        // A watch delivers every change. An instance that only lists reads the last write,
        // whose revision is older than the one in force.
        assert!(
            known >= 3,
            "instance {instance} reverted to revision {known}"
        );
    }
}

/// An operator ends the drain of a server while one instance is disconnected from the
/// platform. That instance still has the deleted key, and its peers detect that the copies
/// differ. The key must not return at the peers, and the disconnected instance must not
/// keep the server out of service.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_drain_is_not_restored_by_a_peer() {
    let cluster = Cluster::start(Plan {
        settings: fast_detection_settings(),
        proxied: true,
        ..Plan::default()
    })
    .await;
    cluster.platform.put(DRAIN_KEY, "{}");
    wait_for_drained(&cluster, &[0, 1, 2], true).await;
    cluster.cut_platform(0, true);
    cluster.platform.delete(DRAIN_KEY);
    wait_for_drained(&cluster, &[1, 2], false).await;
    let end = Instant::now() + OBSERVATION_PERIOD;
    while Instant::now() < end {
        for instance in [1, 2] {
            assert_eq!(
                is_drained(&cluster, instance).await,
                Some(false),
                "{instance}"
            );
        }
        sleep(Duration::from_millis(100)).await;
    }
    wait_for_drained(&cluster, &[0], false).await;
}

/// An instance starts while the platform is down. It knows only its seeds, receives
/// configuration and slice table from them, and serves idempotent requests and feeds.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_started_without_the_platform_serves() {
    let mut cluster = Cluster::start(Plan {
        settings: fast_detection_settings(),
        ..Plan::default()
    })
    .await;
    cluster.change_profile(2, &json!({"retry_after_s": 3}));
    time_until_in_force(&cluster, &[0, 1, 2], 2).await;
    cluster.platform.down(true);
    let instance = cluster.add("bole").await;
    let took = time_until_in_force(&cluster, &[instance], 2).await;
    println!("configured by the seeds after {took:?}");
    cluster
        .wait_until(
            "the instance is ready and every server takes work",
            async || {
                let status = cluster.instances[instance].status().await;
                status.is_some_and(|s| s.ready && s.servers.iter().all(|server| server.takes_work))
            },
        )
        .await;
    let caller = cluster.caller_at("dispatch", instance, 1).await;
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

/// The platform's store comes back from an older copy, so that its revisions are lower than
/// the known ones. Guards against instances that take it for a lagging address, and against
/// a change that reverts with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_all_after_the_store_was_restored() {
    const ALL: [usize; 3] = [0, 1, 2];
    let mut settings = fast_detection_settings();
    settings["platform_era_header"] = "store-era".into();
    let plan = Plan {
        settings,
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await;
    cluster.change_profile(2, &json!({"retry_after_s": 3}));
    time_until_in_force(&cluster, &ALL, 2).await;
    let backup = cluster.platform.backup();
    for state in ["draining", "up"].repeat(20) {
        cluster.list_server("dispatch-1", state);
    }
    cluster.change_profile(3, &json!({"retry_after_s": 4}));
    time_until_in_force(&cluster, &ALL, 3).await;
    cluster.platform.restore(&backup);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(2) {
        for instance in ALL {
            assert_eq!(revision(&cluster, instance).await, 3, "went back");
        }
        sleep(Duration::from_millis(50)).await;
    }
    cluster.change_profile(4, &json!({"retry_after_s": 5}));
    let took = time_until_in_force(&cluster, &ALL, 4).await;
    println!("after a restore: {took:?}");
    cluster.wait_until_settled().await;
}

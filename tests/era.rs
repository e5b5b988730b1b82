//! The platform's client while its store comes back from an older copy.

use std::net::SocketAddr;
use std::time::Duration;

use godwitreel::Error;
use godwitreel::config::Config;
use godwitreel::pacing::BackoffBounds;
use godwitreel::platform;
use godwitreel::platform::Client;
use godwitreel::platform::Entry;
use godwitreel::platform::Era;
use godwitreel::platform::Options;
use godwitreel::platform::ResolvedWrite;
use godwitreel::platform::Revision;
use godwitreel::platform::SwapOutcome;
use godwitreel::platform::Update;
use serde_json::json;
use standin::platform::Handle;
use tokio::sync::mpsc;
use tokio::time;

/// Longest time that a test waits for an event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Writes that a restore loses.
const LOST_WRITES: usize = 20;

async fn start() -> (Handle, Client) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = standin::platform::start(any_port).await.expect("a port");
    let options = Options {
        backoff: BackoffBounds {
            first_delay: Duration::from_millis(20),
            max_delay: Duration::from_millis(100),
        },
        probe_interval: Duration::from_millis(50),
        ..Options::default()
    };
    let base = format!("http://{}", platform.address());
    let client = Client::new(vec![base.parse().unwrap()], options).expect("a client");
    let client = client.with_era_header("store-era".parse().unwrap());
    (platform, client)
}

/// Follows a prefix until its content is as expected.
async fn wait_for(updates: &mut mpsc::Receiver<Update>, expected: &[(&str, &str)]) {
    let matches = |update: &Update| match update {
        Update::Reset { entries, .. } => {
            let known = entries
                .iter()
                .map(|entry| (entry.key.as_str(), &entry.value[..]));
            let expected = expected.iter().map(|(key, value)| (*key, value.as_bytes()));
            known.eq(expected)
        }
        _ => false,
    };
    let waiting = async { while !matches(&updates.recv().await.expect("an update")) {} };
    time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the content");
}

// Guards against a follower that rejects a restored store as a lagging address, for as long
// as its revisions are lower.
#[tokio::test]
async fn a_follower_takes_over_what_a_restored_store_has() {
    let (platform, client) = start().await;
    platform.put("p/a", "1");
    let backup = platform.backup();
    let (sender, mut updates) = mpsc::channel(64);
    tokio::spawn(platform::follow(client, "p/".to_owned(), sender));
    for number in 0..LOST_WRITES {
        platform.put("p/lost", number.to_string());
    }
    platform.restore(&backup);
    wait_for(&mut updates, &[("p/a", "1")]).await;
    platform.restore(&backup);
    platform.put("p/b", "2");
    wait_for(&mut updates, &[("p/a", "1"), ("p/b", "2")]).await;
}

// Guards against a write on the condition of a revision that the restored store has
// assigned to another writer's value.
#[tokio::test]
async fn a_swap_of_an_earlier_era_overwrites_nothing() {
    let (platform, client) = start().await;
    let backup = platform.backup();
    let written = client.compare_and_swap("p/a", None, b"ours", None).await;
    let SwapOutcome::Done(ours) = written.unwrap() else {
        panic!("not written")
    };
    platform.restore(&backup);
    platform.put("p/a", "theirs");
    let theirs = client.get("p/a").await.unwrap().unwrap().mod_revision;
    assert_eq!(Revision(ours).number(), Revision(theirs).number());
    let swapped = client
        .compare_and_swap_resolved("p/a", Some(ours), b"ours again", None)
        .await;
    assert!(
        matches!(swapped, Err(Error::Compacted { .. })),
        "{swapped:?}"
    );
    let deleted = client.compare_and_delete("p/a", ours).await;
    assert!(
        matches!(deleted, Err(Error::Compacted { .. })),
        "{deleted:?}"
    );
    assert_eq!(platform.get("p/a").unwrap(), b"theirs");
    let swapped = client
        .compare_and_swap_resolved("p/a", Some(theirs), b"ours", None)
        .await;
    let Ok(ResolvedWrite::Done(revision)) = swapped else {
        panic!("{swapped:?}")
    };
    assert_eq!(Revision(revision).era(), Era(1));
}

// Guards against a lease that is renewed for another instance, to which the restored store
// has granted it.
#[tokio::test]
async fn a_restored_store_grants_a_lease_again() {
    let (platform, client) = start().await;
    let backup = platform.backup();
    let former = client.lease_grant(Duration::from_secs(30)).await.unwrap();
    assert_eq!(client.era(), Some(Era(0)));
    platform.restore(&backup);
    let next = client.lease_grant(Duration::from_secs(30)).await.unwrap();
    assert_eq!(former, next);
    assert_eq!(client.era(), Some(Era(1)));
}

fn profile(write_id: &str, deadline_ms: u64, revision: u64) -> Entry {
    let value = json!({"revision": 12, "operator": "alem", "write_id": write_id,
        "body": {"deadline_ms": deadline_ms}});
    Entry {
        key: "godwitreel/profiles/open".to_owned(),
        value: value.to_string().into(),
        mod_revision: revision,
    }
}

// Guards against a profile that is accepted under a revision which the restore has lost, and
// never in force where the lost one is known.
#[test]
fn a_profile_under_a_lost_revision_is_in_force() {
    let mut config = Config::default();
    let service = json!({"revision": 1, "operator": "alem", "write_id": "s",
        "body": {"address": "127.0.0.1:5683", "profile": "open"}});
    config.put(&Entry {
        key: "godwitreel/services/dispatch".to_owned(),
        value: service.to_string().into(),
        mod_revision: 3,
    });
    let deadline = |config: &Config| {
        let services = config.snapshot().services;
        services
            .values()
            .next()
            .expect("a service")
            .profile
            .deadline()
    };
    config.put(&profile("lost", 3_000, 60));
    assert_eq!(deadline(&config), Duration::from_millis(3_000));
    let revision = Revision::new(Era(1), 14).unwrap();
    config.put(&profile("next", 4_000, revision.0));
    assert_eq!(deadline(&config), Duration::from_millis(4_000));
}

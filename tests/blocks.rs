//! Block-wise transfers: every part of a body meets the same server.

mod utils;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coap_lite::RequestType;
use coap_lite::ResponseType;
use standin::caller::Caller;
use standin::caller::Outcome;
use standin::server::LARGE_PATH;
use standin::server::LARGE_SIZE;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use utils::Cluster;
use utils::Plan;

const DEADLINE: Duration = Duration::from_secs(20);
const BLOCK: usize = 64;

fn sheet(name: &str) -> String {
    format!("{name};weight;").repeat(40)
}

fn code(outcome: &Outcome) -> Option<ResponseType> {
    match outcome {
        Outcome::Answered { code, .. } => Some(*code),
        _ => None,
    }
}

/// Requests of another caller that go on until they are told to stop.
struct Traffic {
    stop: Arc<AtomicBool>,
    work: JoinHandle<u64>,
}

impl Traffic {
    fn start(caller: Caller) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let work = tokio::spawn(async move {
            let mut answered = 0;
            while !stopped.load(Ordering::Relaxed) {
                let outcome = caller.request(RequestType::Get, "/x", b"", DEADLINE).await;
                assert!(code(&outcome).is_some(), "{outcome:?}");
                answered += 1;
            }
            answered
        });
        Self { stop, work }
    }

    async fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        assert!(self.work.await.expect("traffic") > 0);
    }
}

/// Servers, with the sockets that they saw, which had requests for a resource.
fn places(cluster: &Cluster, path: &str, since: Instant) -> BTreeSet<(String, SocketAddr)> {
    let mut places = BTreeSet::new();
    for (name, server) in &cluster.servers {
        let seen = server.seen_since(since);
        let seen = seen.into_iter().filter(|seen| seen.path == path);
        places.extend(seen.map(|seen| (name.clone(), seen.remote)));
    }
    places
}

async fn cluster() -> Cluster {
    Cluster::start(Plan {
        services: vec![("ledger", 4)],
        ..Plan::default()
    })
    .await
}

/// A server puts a body together by the endpoint that the blocks come from. Were
/// one block to leave from another socket or to another server, the depot would
/// be told that its sheet is incomplete, each time anew. Other traffic goes on,
/// and a server that has none of the sheet drains meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_meets_one_server_amid_other_traffic_and_a_drain() {
    let cluster = cluster().await;
    let depot = cluster.caller("ledger", 1).await;
    let traffic = Traffic::start(cluster.caller("ledger", 2).await);
    for (method, wanted) in [
        (RequestType::Put, ResponseType::Changed),
        (RequestType::Post, ResponseType::Created),
    ] {
        let since = Instant::now();
        let body = sheet(&format!("{method:?}"));
        let mut upload = depot.upload(method, "/sheet", body.clone(), BLOCK);
        for _ in 0..4 {
            let ended = upload.step(DEADLINE).await;
            assert!(ended.is_none(), "{ended:?}");
        }
        let used = places(&cluster, "/sheet", since);
        assert_eq!(used.len(), 1, "{used:?}");
        let idle = |name: &&String| used.iter().all(|(used, _)| used != *name);
        let other = cluster.servers.keys().find(idle).expect("another").clone();
        cluster.servers[&other].drain(true);
        cluster.list_server(&other, "leaving");
        let outcome = upload.finish(DEADLINE).await;
        assert_eq!(code(&outcome), Some(wanted), "{outcome:?}");
        assert_eq!(cluster.starts(&body), 1);
        assert_eq!(places(&cluster, "/sheet", since), used);
        cluster.servers[&other].drain(false);
        cluster.list_server(&other, "up");
    }
    traffic.end().await;
}

/// The server that has the first half of a sheet drains: it takes no new work,
/// but the sheet is work in progress and is finished there. The next sheet is new
/// work and goes elsewhere, although the first one's server is still remembered.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_is_finished_at_its_draining_server_and_the_next_goes_elsewhere() {
    let cluster = cluster().await;
    let depot = cluster.caller("ledger", 1).await;
    let since = Instant::now();
    let body = sheet("first");
    let mut upload = depot.upload(RequestType::Put, "/sheet", body.clone(), BLOCK);
    assert!(upload.step(DEADLINE).await.is_none());
    let used = places(&cluster, "/sheet", since);
    let (own, _) = used.first().expect("a server").clone();
    cluster.servers[&own].drain(true);
    cluster.list_server(&own, "leaving");
    cluster
        .wait_until("every instance knows of the drain", async || {
            for instance in &cluster.instances {
                let status = instance.status().await;
                let leaving = status.is_some_and(|status| {
                    let mut servers = status.servers.into_iter();
                    servers.any(|server| server.id.as_str() == own && server.leaving)
                });
                if !leaving {
                    return false;
                }
            }
            true
        })
        .await;
    let outcome = upload.finish(DEADLINE).await;
    assert_eq!(code(&outcome), Some(ResponseType::Changed), "{outcome:?}");
    assert_eq!(places(&cluster, "/sheet", since), used);
    let since = Instant::now();
    let mut upload = depot.upload(RequestType::Put, "/sheet", sheet("second"), BLOCK);
    let outcome = upload.finish(DEADLINE).await;
    assert_eq!(code(&outcome), Some(ResponseType::Changed), "{outcome:?}");
    let next = places(&cluster, "/sheet", since);
    assert!(next.iter().all(|(name, _)| *name != own), "{next:?}");
}

/// One caller sends two sheets at once and loads a large answer. Each body keeps
/// its own server; were there one memory for the caller, the later body would
/// take the earlier one's blocks to its own server.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_one_caller_do_not_disturb_each_other() {
    let cluster = cluster().await;
    let depot = cluster.caller("ledger", 1).await;
    let traffic = Traffic::start(cluster.caller("ledger", 2).await);
    for round in 0..5 {
        let since = Instant::now();
        let bodies = [sheet(&format!("a{round}")), sheet(&format!("b{round}"))];
        let paths = ["/a", "/b"];
        let mut uploads: Vec<_> = bodies
            .iter()
            .zip(paths)
            .map(|(body, path)| depot.upload(RequestType::Put, path, body.clone(), BLOCK))
            .collect();
        let mut download = depot.download(LARGE_PATH);
        for _ in 0..3 {
            for upload in &mut uploads {
                assert!(upload.step(DEADLINE).await.is_none());
            }
            assert!(download.step(DEADLINE).await.is_none());
        }
        for upload in &mut uploads {
            let outcome = upload.finish(DEADLINE).await;
            assert_eq!(code(&outcome), Some(ResponseType::Changed), "{outcome:?}");
        }
        let Outcome::Answered { payload, .. } = download.finish(DEADLINE).await else {
            panic!("no large answer");
        };
        assert_eq!(payload.len(), LARGE_SIZE);
        for (body, path) in bodies.iter().zip(paths) {
            assert_eq!(cluster.starts(body), 1);
            assert_eq!(places(&cluster, path, since).len(), 1);
        }
        let servers: BTreeSet<_> = places(&cluster, LARGE_PATH, since)
            .into_iter()
            .map(|(name, _)| name)
            .collect();
        assert_eq!(servers.len(), 1, "{servers:?}");
    }
    traffic.end().await;
}

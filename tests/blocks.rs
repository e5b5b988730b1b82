//! Block-wise transfers: all blocks of a body go to the same server.

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
const BLOCK_SIZE: usize = 64;

fn body_text(name: &str) -> String {
    format!("{name};weight;").repeat(40)
}

fn code(outcome: &Outcome) -> Option<ResponseType> {
    match outcome {
        Outcome::Answered { code, .. } => Some(*code),
        _ => None,
    }
}

/// Requests of another caller, sent continuously until [`Traffic::end`].
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

/// The servers that received requests for a resource since then, each with the remote
/// address of the requests.
fn servers_of_requests(
    cluster: &Cluster,
    path: &str,
    since: Instant,
) -> BTreeSet<(String, SocketAddr)> {
    let mut found = BTreeSet::new();
    for (name, server) in &cluster.servers {
        let seen = server.received_since(since);
        let seen = seen.into_iter().filter(|seen| seen.path == path);
        found.extend(seen.map(|seen| (name.clone(), seen.remote)));
    }
    found
}

async fn cluster() -> Cluster {
    Cluster::start(Plan {
        services: vec![("ledger", 4)],
        ..Plan::default()
    })
    .await
}

/// A server assembles a body by the endpoint that its blocks come from. If a block were
/// sent from another socket or to another server, every upload would be refused as
/// incomplete. During the upload there is other traffic, and a server that has no block
/// of the body drains.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_uses_one_server_during_other_traffic_and_a_drain() {
    let cluster = cluster().await;
    let uploader = cluster.caller("ledger", 1).await;
    let traffic = Traffic::start(cluster.caller("ledger", 2).await);
    for (method, wanted) in [
        (RequestType::Put, ResponseType::Changed),
        (RequestType::Post, ResponseType::Created),
    ] {
        let since = Instant::now();
        let body = body_text(&format!("{method:?}"));
        let mut upload = uploader.upload(method, "/sheet", body.clone(), BLOCK_SIZE);
        for _ in 0..4 {
            let ended = upload.step(DEADLINE).await;
            assert!(ended.is_none(), "{ended:?}");
        }
        let used = servers_of_requests(&cluster, "/sheet", since);
        assert_eq!(used.len(), 1, "{used:?}");
        let idle = |name: &&String| used.iter().all(|(used, _)| used != *name);
        let other = cluster
            .servers
            .keys()
            .find(idle)
            .expect("another server")
            .clone();
        cluster.servers[&other].drain(true);
        cluster.list_server(&other, "leaving");
        let outcome = upload.finish(DEADLINE).await;
        assert_eq!(code(&outcome), Some(wanted), "{outcome:?}");
        assert_eq!(cluster.starts(&body), 1);
        assert_eq!(servers_of_requests(&cluster, "/sheet", since), used);
        cluster.servers[&other].drain(false);
        cluster.list_server(&other, "up");
    }
    traffic.end().await;
}

/// The server that has the first blocks of a body drains: it takes no new work, but the
/// upload is in progress and is finished there. The next body is new work and goes to
/// another server, although the server of the first body is still recorded.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_is_finished_at_its_draining_server_and_the_next_goes_elsewhere() {
    let cluster = cluster().await;
    let uploader = cluster.caller("ledger", 1).await;
    let since = Instant::now();
    let body = body_text("first");
    let mut upload = uploader.upload(RequestType::Put, "/sheet", body.clone(), BLOCK_SIZE);
    assert!(upload.step(DEADLINE).await.is_none());
    let used = servers_of_requests(&cluster, "/sheet", since);
    let (own, _) = used.first().expect("a server").clone();
    cluster.servers[&own].drain(true);
    cluster.list_server(&own, "leaving");
    cluster
        .wait_until("every instance has received the drain", async || {
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
    assert_eq!(servers_of_requests(&cluster, "/sheet", since), used);
    let since = Instant::now();
    let mut upload = uploader.upload(RequestType::Put, "/sheet", body_text("second"), BLOCK_SIZE);
    let outcome = upload.finish(DEADLINE).await;
    assert_eq!(code(&outcome), Some(ResponseType::Changed), "{outcome:?}");
    let next = servers_of_requests(&cluster, "/sheet", since);
    assert!(next.iter().all(|(name, _)| *name != own), "{next:?}");
}

/// One caller uploads two bodies and downloads a large answer at the same time. Each body
/// keeps its own server. If the server were recorded per caller, the blocks of an earlier
/// body would go to the server of a later one.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_one_caller_do_not_disturb_each_other() {
    let cluster = cluster().await;
    let uploader = cluster.caller("ledger", 1).await;
    let traffic = Traffic::start(cluster.caller("ledger", 2).await);
    for round in 0..5 {
        let since = Instant::now();
        let bodies = [
            body_text(&format!("a{round}")),
            body_text(&format!("b{round}")),
        ];
        let paths = ["/a", "/b"];
        let mut uploads: Vec<_> = bodies
            .iter()
            .zip(paths)
            .map(|(body, path)| uploader.upload(RequestType::Put, path, body.clone(), BLOCK_SIZE))
            .collect();
        let mut download = uploader.download(LARGE_PATH);
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
            panic!("download failed");
        };
        assert_eq!(payload.len(), LARGE_SIZE);
        for (body, path) in bodies.iter().zip(paths) {
            assert_eq!(cluster.starts(body), 1);
            assert_eq!(servers_of_requests(&cluster, path, since).len(), 1);
        }
        let servers: BTreeSet<_> = servers_of_requests(&cluster, LARGE_PATH, since)
            .into_iter()
            .map(|(name, _)| name)
            .collect();
        assert_eq!(servers.len(), 1, "{servers:?}");
    }
    traffic.end().await;
}

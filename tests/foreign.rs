//! A third-party CoAP client, which has no support for the balancer, works through it.

mod utils;

use std::time::Duration;

use coap::UdpCoAPClient;
use coap::client::ObserveMessage;
use coap::request::Method;
use coap::request::RequestBuilder;
use coap::request::Status;
use standin::server::LARGE_PATH;
use standin::server::LARGE_SIZE;
use tokio::sync::mpsc;
use tokio::time::timeout;
use utils::Cluster;
use utils::Plan;
use utils::WAIT_TIMEOUT;

/// How long the client waits for an answer before it retransmits the request.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

async fn client(cluster: &Cluster, service: &str) -> UdpCoAPClient {
    let address = cluster.fabrics[service].address();
    let mut client = UdpCoAPClient::new(address).await.expect("a client");
    client.set_receive_timeout(RECEIVE_TIMEOUT);
    client
}

async fn send(client: &UdpCoAPClient, method: Method, path: &str, data: &str) -> (Status, String) {
    let body = (!data.is_empty()).then(|| data.as_bytes().to_vec());
    let request = RequestBuilder::new(path, method).data(body).build();
    let answer = client.send(request).await.expect("an answer");
    let payload = String::from_utf8(answer.message.payload.clone()).expect("text");
    (*answer.get_status(), payload)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_client_gets_its_answers() {
    let cluster = Cluster::start(Plan::default()).await;
    let client = client(&cluster, "dispatch").await;
    let (status, payload) = send(&client, Method::Get, "/route/7", "").await;
    assert_eq!(status, Status::Content);
    assert!(payload.ends_with("path=/route/7"), "{payload}");
    for number in 0..10 {
        let booking = format!("kitchen-{number}");
        let (status, payload) = send(&client, Method::Post, "/pickup", &booking).await;
        assert_eq!(status, Status::Created);
        assert!(payload.ends_with(&format!("id={booking}")), "{payload}");
        assert_eq!(cluster.starts(&booking), 1);
    }
    let (status, payload) = send(&client, Method::Put, "/pickup/7", "later").await;
    assert_eq!(status, Status::Changed);
    assert!(payload.ends_with("id=later"), "{payload}");
    let (status, _) = send(&client, Method::Delete, "/pickup/7", "").await;
    assert_eq!(status, Status::Deleted);
    assert_eq!(cluster.wrong_service(), 0);
}

/// Each block is sent in a separate datagram, which may reach any instance.
#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_client_moves_large_bodies_in_blocks() {
    let cluster = Cluster::start(Plan::default()).await;
    let mut client = client(&cluster, "dispatch").await;
    client.set_block1_size(128);
    let (status, payload) = send(&client, Method::Get, LARGE_PATH, "").await;
    assert_eq!(status, Status::Content);
    assert_eq!(payload.len(), LARGE_SIZE);
    for (method, expected) in [
        (Method::Put, Status::Changed),
        (Method::Post, Status::Created),
    ] {
        let body = format!("{method:?};weight;").repeat(100);
        let (status, payload) = send(&client, method, "/sheet", &body).await;
        assert_eq!(status, expected);
        let size = format!("size={}", body.len());
        assert!(payload.contains(&size), "{payload}");
        assert_eq!(cluster.starts(&body), 1);
    }
}

/// The feed continues at another server while its server drains. When the caller
/// cancels the feed, no server keeps it.
#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_client_observes_while_its_server_drains() {
    let cluster = Cluster::start(Plan::default()).await;
    let client = client(&cluster, "dispatch").await;
    let (sender, mut notifications) = mpsc::unbounded_channel();
    let handler = move |message: std::io::Result<coap_lite::Packet>| {
        let message = message.expect("a notification");
        let payload = String::from_utf8(message.payload).expect("text");
        let _ = sender.send(payload);
    };
    let terminate = client.observe("/route", handler).await.expect("a feed");
    let mut server = String::new();
    for _ in 0..5 {
        let payload = timeout(WAIT_TIMEOUT, notifications.recv()).await;
        let payload = payload.expect("in time").expect("a notification");
        let (name, _) = payload.split_once(",n=").expect("server and number");
        server = name.trim_start_matches("server=").to_owned();
    }
    cluster.servers[&server].drain(true);
    cluster.list_server(&server, "leaving");
    cluster
        .wait_until("another server sends the notifications", async || {
            let payload = timeout(WAIT_TIMEOUT, notifications.recv()).await;
            let payload = payload.expect("in time").expect("a notification");
            !payload.contains(&server)
        })
        .await;
    terminate.send(ObserveMessage::Terminate).expect("an end");
    cluster
        .wait_until("no server has the feed", async || {
            let mut servers = cluster.servers.values();
            servers.all(|server| server.observers() == 0)
        })
        .await;
}

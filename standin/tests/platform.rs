//! Protocol and fault injection of the platform, tested over real connections.

mod support;

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::platform;
use support::TIMEOUT;
use support::any_port;
use support::request_json;
use support::send;
use support::wait_until;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::time;

/// Base64 of the key `k`.
const KEY: &str = "aw==";
/// Base64 of the value `v`.
const VALUE: &str = "dg==";

async fn start() -> platform::Handle {
    let platform = platform::start(any_port()).await;
    platform.expect("the platform starts")
}

async fn call(platform: &platform::Handle, path: &str, body: Value) -> Option<Value> {
    request_json(platform.address(), "POST", path, &body.to_string()).await
}

/// Reads the next JSON line of a streamed answer; none at its end.
async fn next_line(stream: &mut BufReader<TcpStream>) -> Option<Value> {
    let read = async {
        loop {
            let mut line = String::new();
            match stream.read_line(&mut line).await {
                Ok(0) | Err(_) => return None,
                Ok(_) if line.starts_with('{') => return serde_json::from_str(&line).ok(),
                Ok(_) => {}
            }
        }
    };
    time::timeout(TIMEOUT, read)
        .await
        .expect("a line or the end")
}

/// Opens a watch of the key and reads the line that confirms it.
async fn watch(platform: &platform::Handle, start_revision: i64) -> BufReader<TcpStream> {
    let create = json!({"key": KEY, "start_revision": start_revision});
    let body = json!({"create_request": create}).to_string();
    let stream = send(platform.address(), "POST", "/v3/watch", &body).await;
    let mut stream = stream.expect("a connection");
    let created = next_line(&mut stream).await.expect("a line");
    assert_eq!(created["result"]["created"], true);
    stream
}

/// Writes the key if it still has this revision, and else reads it.
async fn compare_and_swap(platform: &platform::Handle, revision: Value) -> Option<Value> {
    let compare = json!({"key": KEY, "target": "MOD", "result": "EQUAL", "mod_revision": revision});
    let put = json!({"request_put": {"key": KEY, "value": VALUE}});
    let get = json!({"request_range": {"key": KEY}});
    let body = json!({"compare": [compare], "success": [put], "failure": [get]});
    call(platform, "/v3/kv/txn", body).await
}

#[tokio::test]
async fn one_of_two_swaps_succeeds() {
    let platform = start().await;
    let first = compare_and_swap(&platform, json!(0))
        .await
        .expect("an answer");
    let second = compare_and_swap(&platform, json!("0"))
        .await
        .expect("an answer");

    assert_eq!(first["succeeded"], true);
    assert_eq!(first["header"]["revision"], "2");
    // The gateway omits fields that are false.
    assert_eq!(second.get("succeeded"), None);
    let kv = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(kv["mod_revision"], "2");
    assert_eq!(kv["value"], VALUE);
    assert_eq!(platform.get("k"), Some(b"v".to_vec()));
    assert_eq!(platform.counters().writes, 2);
}

#[tokio::test]
async fn a_range_reads_and_deletes_a_prefix() {
    let platform = start().await;
    for key in ["a/1", "a/2", "b/1"] {
        platform.put(key, "x");
    }
    // Base64 of `a/` and of `a0`, the first key after that prefix.
    let prefix = json!({"key": "YS8=", "range_end": "YTA="});
    let read = call(&platform, "/v3/kv/range", prefix.clone()).await;
    assert_eq!(read.expect("an answer")["count"], "2");
    let deleted = call(&platform, "/v3/kv/deleterange", prefix).await;
    assert_eq!(deleted.expect("an answer")["deleted"], "2");
    assert_eq!(platform.get("a/1"), None);
    assert_eq!(platform.get("b/1"), Some(b"x".to_vec()));
}

#[tokio::test]
async fn an_expired_lease_deletes_its_keys() {
    let platform = start().await;
    platform.freeze_leases(true);
    let grant = call(&platform, "/v3/lease/grant", json!({"TTL": 1})).await;
    let id = grant.expect("an answer")["ID"].clone();
    let put = json!({"key": KEY, "value": VALUE, "lease": id});
    call(&platform, "/v3/kv/put", put.clone())
        .await
        .expect("an answer");
    let mut watch = watch(&platform, 0).await;

    // Twice the time to live passes while the lease clock is frozen.
    time::sleep(Duration::from_secs(2)).await;
    let kept = call(&platform, "/v3/lease/keepalive", json!({"ID": id})).await;
    assert_eq!(kept.expect("an answer")["result"]["TTL"], "1");
    assert!(platform.get("k").is_some());

    platform.freeze_leases(false);
    let line = next_line(&mut watch).await.expect("a line");
    assert_eq!(line["result"]["events"][0]["type"], "DELETE");
    assert_eq!(platform.get("k"), None);
    let kept = call(&platform, "/v3/lease/keepalive", json!({"ID": id})).await;
    assert_eq!(kept.expect("an answer")["result"].get("TTL"), None);
    let refused = call(&platform, "/v3/kv/put", put).await;
    assert_eq!(refused.expect("an answer")["code"], 5);
}

#[tokio::test]
async fn a_watch_starts_in_the_past_and_goes_on() {
    let platform = start().await;
    platform.put("k", "1");
    platform.put("other", "x");
    platform.put("k", "2");
    let mut watch = watch(&platform, 3).await;
    let past = next_line(&mut watch).await.expect("a line");
    assert_eq!(past["result"]["events"][0]["kv"]["mod_revision"], "4");
    assert_eq!(past["result"]["events"].as_array().map(Vec::len), Some(1));

    platform.put("k", "3");
    let live = next_line(&mut watch).await.expect("a line");
    assert_eq!(live["result"]["events"][0]["kv"]["mod_revision"], "5");
    assert_eq!(platform.counters().watching, 1);
    drop(watch);
    wait_until("the watch ends with its connection", || {
        platform.counters().watching == 0
    })
    .await;
    assert_eq!(platform.counters().watching_peak, 1);
}

#[tokio::test]
async fn an_outage_closes_calls_and_watches() {
    let platform = start().await;
    let mut watch = watch(&platform, 0).await;

    platform.down(true);
    assert_eq!(next_line(&mut watch).await, None);
    assert_eq!(compare_and_swap(&platform, json!(0)).await, None);
    assert_eq!(platform.get("k"), None);
    platform.down(false);
    assert!(compare_and_swap(&platform, json!(0)).await.is_some());
}

#[tokio::test]
async fn a_write_with_a_lost_answer_took_effect() {
    let platform = start().await;
    platform.lose_answers(1);
    assert_eq!(compare_and_swap(&platform, json!(0)).await, None);
    assert_eq!(platform.get("k"), Some(b"v".to_vec()));
    let again = compare_and_swap(&platform, json!(0))
        .await
        .expect("an answer");
    assert_eq!(again.get("succeeded"), None);
}

#[tokio::test]
async fn a_stale_platform_serves_old_reads_and_compares_current_revisions() {
    let platform = start().await;
    platform.put("k", "1");
    platform.stale(true);
    platform.put("k", "2");
    let range = json!({"key": KEY});
    let read = call(&platform, "/v3/kv/range", range.clone()).await;
    assert_eq!(read.expect("an answer")["kvs"][0]["version"], "1");
    let swapped = compare_and_swap(&platform, json!(2))
        .await
        .expect("an answer");
    assert_eq!(swapped.get("succeeded"), None);

    let mut watch = watch(&platform, 0).await;
    let early = time::timeout(Duration::from_millis(200), next_line(&mut watch)).await;
    assert!(early.is_err(), "a stale watch showed {early:?}");
    platform.stale(false);
    let late = next_line(&mut watch).await.expect("a line");
    assert_eq!(late["result"]["events"][0]["kv"]["version"], "2");
}

#[tokio::test]
async fn a_slow_platform_answers_late() {
    let platform = start().await;
    platform.slow(TIMEOUT * 10);
    let early = time::timeout(
        Duration::from_millis(200),
        compare_and_swap(&platform, json!(0)),
    )
    .await;
    assert!(early.is_err(), "a slow platform answered {early:?}");
    assert_eq!(platform.get("k"), None);
}

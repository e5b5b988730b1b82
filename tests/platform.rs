//! Tests of the platform client against a stand-in with injected faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::routing::post;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream;
use godwitreel::Error;
use godwitreel::gateway;
use godwitreel::pacing::Backoff;
use godwitreel::pacing::BackoffBounds;
use godwitreel::platform;
use godwitreel::platform::Change;
use godwitreel::platform::Client;
use godwitreel::platform::Entry;
use godwitreel::platform::Options;
use godwitreel::platform::ResolvedWrite;
use godwitreel::platform::SwapOutcome;
use godwitreel::platform::Update;
use godwitreel::rate_limit::Rate;
use godwitreel::rate_limit::TokenBucket;
use proptest::prelude::any;
use proptest::prelude::proptest;
use standin::platform::Handle;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time;
use tokio::time::Instant;

/// Longest time that a test waits for an event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn options() -> Options {
    Options {
        call_timeout: Duration::from_secs(2),
        connect_timeout: Duration::from_secs(1),
        resolve_timeout: WAIT_TIMEOUT,
        backoff: BackoffBounds {
            first_delay: Duration::from_millis(20),
            max_delay: Duration::from_millis(100),
        },
        probe_interval: Duration::from_millis(50),
        read_rate: Rate(10_000),
        write_rate: Rate(10_000),
        seed: 1,
    }
}

async fn start() -> Handle {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    standin::platform::start(any_port).await.expect("a port")
}

fn client_with(addresses: &[SocketAddr], options: Options) -> Client {
    let base = |address: &SocketAddr| format!("http://{address}").parse().expect("a base");
    Client::new(addresses.iter().map(base).collect(), options).expect("a client")
}

fn client(platform: &Handle) -> Client {
    client_with(&[platform.address()], options())
}

fn follow(client: &Client) -> mpsc::Receiver<Update> {
    let (sender, receiver) = mpsc::channel(64);
    tokio::spawn(platform::follow(client.clone(), "p/".to_owned(), sender));
    receiver
}

/// The next update other than `Contact`.
async fn next(updates: &mut mpsc::Receiver<Update>) -> Update {
    loop {
        match time::timeout(WAIT_TIMEOUT, updates.recv()).await {
            Ok(Some(Update::Contact { .. })) => {}
            Ok(Some(update)) => return update,
            other => panic!("no update: {other:?}"),
        }
    }
}

async fn next_reset(updates: &mut mpsc::Receiver<Update>) -> Vec<(String, String)> {
    match next(updates).await {
        Update::Reset { entries, .. } => entries.iter().map(key_and_value).collect(),
        other => panic!("no reset: {other:?}"),
    }
}

fn key_and_value(entry: &Entry) -> (String, String) {
    let value = String::from_utf8_lossy(&entry.value).into_owned();
    (entry.key.clone(), value)
}

fn owned(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    let pair = |(key, value): &(&str, &str)| ((*key).to_owned(), (*value).to_owned());
    pairs.iter().map(pair).collect()
}

#[tokio::test]
async fn keys_are_read_listed_and_deleted() {
    let platform = start().await;
    platform.put("p/b", "2");
    platform.put("p/a", "1");
    platform.put("q", "3");
    let client = client(&platform);
    let listing = client.list("p/").await.expect("a list");
    let pairs: Vec<_> = listing.entries.iter().map(key_and_value).collect();
    assert_eq!(pairs, owned(&[("p/a", "1"), ("p/b", "2")]));
    assert_eq!(
        client.get("p/b").await.expect("a read"),
        Some(listing.entries[1].clone())
    );
    assert!(client.delete("p/b").await.expect("a deletion"));
    assert!(!client.delete("p/b").await.expect("a deletion"));
    assert_eq!(client.get("p/b").await.expect("a read"), None);
}

// Eight instances try to claim the same slice at the same time. All compare with
// the same revision. The store applies one write and rejects seven, and each
// loser gets the winner's value.
#[tokio::test]
async fn swap_race_has_one_winner() {
    let platform = start().await;
    let client = client(&platform);
    let names: Vec<String> = (0..8).map(|n| format!("holder {n}")).collect();
    let attempts = names
        .iter()
        .map(|name| client.compare_and_swap("p/slice", None, name.as_bytes(), None));
    let outcomes: Vec<SwapOutcome> = join_all(attempts)
        .await
        .into_iter()
        .map(|o| o.expect("a response"))
        .collect();
    let done = |outcome: &SwapOutcome| matches!(outcome, SwapOutcome::Done(_));
    let winner = outcomes.iter().position(done).expect("a winner");
    let stored = client
        .get("p/slice")
        .await
        .expect("a read")
        .expect("a value");
    assert_eq!(stored.value, names[winner].as_bytes());
    for (index, outcome) in outcomes.iter().enumerate() {
        let want = match index == winner {
            true => SwapOutcome::Done(stored.mod_revision),
            false => SwapOutcome::Lost(Some(stored.clone())),
        };
        assert_eq!(*outcome, want);
    }
}

// The store applies a write and its response is lost. The caller gets an error
// for an unknown outcome, and the write is not sent again: the second copy would
// fail because of the first, and the write would appear lost although it was
// applied.
#[tokio::test]
async fn write_is_never_sent_twice_blindly() {
    let platform = start().await;
    let second = start().await;
    let client = client_with(&[platform.address(), second.address()], options());
    platform.lose_answers(1);
    let outcome = client.compare_and_swap("p/a", None, b"mine", None).await;
    assert!(
        matches!(outcome, Err(Error::Unanswered { .. })),
        "{outcome:?}"
    );
    assert_eq!(
        (platform.counters().writes, second.counters().writes),
        (1, 0)
    );
    assert_eq!(client.counts().unanswered.load(Ordering::Relaxed), 1);
}

// The store applies a write and its response is lost. Reading the key back returns
// the writer's own value, so that the write is reported as done.
#[tokio::test]
async fn lost_answer_of_an_applied_write_is_done() {
    let platform = start().await;
    let client = client(&platform);
    platform.lose_answers(1);
    let outcome = client
        .compare_and_swap_resolved("p/a", None, b"mine", None)
        .await;
    let stored = client.get("p/a").await.expect("a read").expect("a value");
    assert_eq!(
        outcome.expect("an outcome"),
        ResolvedWrite::Done(stored.mod_revision)
    );
    assert_eq!(platform.counters().writes, 1);
}

// The connection closes before the write reaches the store. When the store is
// reachable again, the key doesn't exist, so that the same compare-and-swap is
// sent again, and the write is reported as done.
#[tokio::test]
async fn write_that_never_arrived_is_done_by_its_second_copy() {
    let platform = start().await;
    let client = client(&platform);
    platform.down(true);
    let resolving = resolve_until_unanswered(&client, 2).await;
    assert_eq!(platform.get("p/a"), None);
    platform.down(false);
    let outcome = time::timeout(WAIT_TIMEOUT, resolving)
        .await
        .expect("in time");
    assert!(matches!(outcome.expect("a task"), ResolvedWrite::Done(_)));
    assert_eq!(platform.get("p/a"), Some(b"mine".to_vec()));
}

// The connection closes and, before the store is reachable again, another writer
// changes the key. The write is reported as superseded, with the other value.
#[tokio::test]
async fn write_overtaken_by_another_is_not_done() {
    let platform = start().await;
    let client = client(&platform);
    platform.down(true);
    let resolving = resolve_until_unanswered(&client, 2).await;
    platform.put("p/a", "theirs");
    platform.down(false);
    let outcome = time::timeout(WAIT_TIMEOUT, resolving)
        .await
        .expect("in time");
    let ResolvedWrite::Superseded(Some(entry)) = outcome.expect("a task") else {
        panic!("not superseded");
    };
    assert_eq!(
        key_and_value(&entry),
        ("p/a".to_owned(), "theirs".to_owned())
    );
    assert_eq!(platform.get("p/a"), Some(b"theirs".to_vec()));
}

/// Starts a write and waits until `count` calls got no response.
async fn resolve_until_unanswered(
    client: &Client,
    count: u64,
) -> tokio::task::JoinHandle<ResolvedWrite> {
    let writer = client.clone();
    let resolving = tokio::spawn(async move {
        let outcome = writer
            .compare_and_swap_resolved("p/a", None, b"mine", None)
            .await;
        outcome.expect("an outcome")
    });
    let reached = async {
        while client.counts().unanswered.load(Ordering::Relaxed) < count {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, reached)
        .await
        .expect("the calls");
    resolving
}

// The response is lost, and the store stays unreachable for longer than the
// resolve timeout. Nothing can be read back, so that the outcome is unknown.
#[tokio::test]
async fn write_that_cannot_be_read_back_is_unknown() {
    let platform = start().await;
    let short_resolve = Options {
        resolve_timeout: Duration::from_millis(200),
        ..options()
    };
    let client = client_with(&[platform.address()], short_resolve);
    platform.down(true);
    let outcome = client
        .compare_and_swap_resolved("p/a", None, b"mine", None)
        .await;
    assert_eq!(outcome.expect("an outcome"), ResolvedWrite::Unknown);
}

// One of the platform's addresses refuses connections. Nothing was sent there,
// so that even a write may be sent to the next address, where it is applied.
#[tokio::test]
async fn calls_move_on_from_an_address_that_is_gone() {
    let refusing = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let refusing_address = refusing.local_addr().expect("an address");
    drop(refusing);
    let platform = start().await;
    let client = client_with(&[refusing_address, platform.address()], options());
    let outcome = client.compare_and_swap("p/a", None, b"mine", None).await;
    assert!(matches!(outcome, Ok(SwapOutcome::Done(_))), "{outcome:?}");
    assert!(client.get("p/a").await.expect("a read").is_some());
    assert_eq!(client.counts().unreachable.load(Ordering::Relaxed), 1);
    let only_refusing = client_with(&[refusing_address], options());
    let outcome = only_refusing
        .compare_and_swap("p/a", None, b"mine", None)
        .await;
    assert!(
        matches!(outcome, Err(Error::Unreachable { .. })),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn lease_holds_its_key_until_it_is_revoked() {
    let platform = start().await;
    let client = client(&platform);
    let ttl = Duration::from_secs(60);
    let lease = client.lease_grant(ttl).await.expect("a lease");
    let outcome = client
        .compare_and_swap("p/a", None, b"here", Some(lease))
        .await;
    assert!(matches!(outcome, Ok(SwapOutcome::Done(_))), "{outcome:?}");
    assert_eq!(
        client.lease_keepalive(lease).await.expect("a response"),
        ttl
    );
    client.lease_revoke(lease).await.expect("a response");
    assert_eq!(platform.get("p/a"), None);
    assert_eq!(
        client.lease_keepalive(lease).await.expect("a response"),
        Duration::ZERO
    );
    let outcome = client
        .compare_and_swap("p/a", None, b"here", Some(lease))
        .await;
    assert!(matches!(outcome, Err(Error::Refused { .. })), "{outcome:?}");
}

// More calls are requested than the rate limit allows. Those above the limit fail
// locally with an error of their own and are never sent to the platform.
#[tokio::test]
async fn allowance_refuses_before_anything_is_sent() {
    let platform = start().await;
    let low_rates = Options {
        read_rate: Rate(1),
        write_rate: Rate(1),
        ..options()
    };
    let client = client_with(&[platform.address()], low_rates);
    let reads = join_all((0..50).map(|_| client.get("p/a"))).await;
    let refused = reads
        .iter()
        .filter(|read| matches!(read, Err(Error::Exhausted { rate: Rate(1), .. })))
        .count();
    let sent = platform.counters().reads;
    assert_eq!(refused + usize::try_from(sent).expect("a count"), 50);
    assert!(refused > 0, "nothing was refused");
    assert_eq!(client.counts().reads.load(Ordering::Relaxed), sent);
    assert_eq!(
        client.counts().rate_limited.load(Ordering::Relaxed),
        50 - sent
    );
}

#[tokio::test(start_paused = true)]
async fn bucket_refills_and_keeps_a_reserve() {
    let mut bucket = TokenBucket::new(Rate(20), Instant::now());
    let taken = (0..30).filter(|_| bucket.take(Instant::now())).count();
    assert_eq!(taken, 18);
    assert!(bucket.take_urgent(Instant::now()) && bucket.take_urgent(Instant::now()));
    assert!(!bucket.take_urgent(Instant::now()));
    time::advance(Duration::from_millis(500)).await;
    let taken = (0..30).filter(|_| bucket.take(Instant::now())).count();
    assert_eq!(taken, 8);
    time::advance(Duration::from_secs(3600)).await;
    let taken = (0..30)
        .filter(|_| bucket.take_urgent(Instant::now()))
        .count();
    assert_eq!(taken, 20);
}

#[tokio::test]
async fn follower_sends_changes_in_order() {
    let platform = start().await;
    platform.put("p/a", "1");
    platform.put("q", "other");
    // A long interval, so that on a slow machine no probe takes the watch for stuck.
    let slow_probes = Options {
        probe_interval: Duration::from_secs(1),
        ..options()
    };
    let mut updates = follow(&client_with(&[platform.address()], slow_probes));
    assert_eq!(next_reset(&mut updates).await, owned(&[("p/a", "1")]));
    platform.put("p/a", "2");
    platform.put("q", "other still");
    platform.delete("p/a");
    let Update::Change(Change::Put(entry)) = next(&mut updates).await else {
        panic!("no put");
    };
    assert_eq!(key_and_value(&entry), ("p/a".to_owned(), "2".to_owned()));
    let Update::Change(Change::Delete { key, .. }) = next(&mut updates).await else {
        panic!("no deletion");
    };
    assert_eq!(key, "p/a");
    let update = time::timeout(WAIT_TIMEOUT, updates.recv()).await;
    assert!(
        matches!(update, Ok(Some(Update::Contact { .. }))),
        "{update:?}"
    );
}

// Nothing changes for a while. Each contact carries the time at which its probe
// was sent, so that a consumer that handles it late knows its age.
#[tokio::test]
async fn follower_sends_contacts_with_their_time() {
    let platform = start().await;
    let mut updates = follow(&client(&platform));
    assert!(next_reset(&mut updates).await.is_empty());
    let mut last = Instant::now();
    for _ in 0..3 {
        let update = time::timeout(WAIT_TIMEOUT, updates.recv()).await;
        let Ok(Some(Update::Contact { at })) = update else {
            panic!("no contact: {update:?}");
        };
        assert!(at >= last && at <= Instant::now());
        last = at;
    }
}

// The platform is unreachable for a while, and a change is made before it responds
// again. The consumer gets the start of the outage, once, and then the whole
// prefix, with the change, when the platform responds again.
#[tokio::test]
async fn follower_reports_an_outage_and_then_the_whole_prefix() {
    let platform = start().await;
    platform.put("p/a", "1");
    platform.put("p/b", "1");
    let started = Instant::now();
    let mut updates = follow(&client(&platform));
    next_reset(&mut updates).await;
    let down = Instant::now();
    platform.down(true);
    let Update::Unreachable { since } = next(&mut updates).await else {
        panic!("no outage reported");
    };
    assert!(since >= started && since <= down, "{since:?}");
    platform.put("p/a", "2");
    platform.delete("p/b");
    platform.down(false);
    assert_eq!(next_reset(&mut updates).await, owned(&[("p/a", "2")]));
}

// One of the platform's two addresses lags behind the other. When the current one
// becomes unreachable, the follower queries the lagging one, whose old value must
// not be sent to the consumer. The consumer is informed of the outage, then gets
// the newest value when the current address is reachable again.
#[tokio::test]
async fn follower_rejects_the_older_data_of_a_lagging_address() {
    let good = start().await;
    let lagging = start().await;
    for platform in [&good, &lagging] {
        platform.put("p/a", "old");
    }
    good.put("p/a", "new");
    let client = client_with(&[good.address(), lagging.address()], options());
    let mut updates = follow(&client);
    assert_eq!(next_reset(&mut updates).await, owned(&[("p/a", "new")]));
    good.down(true);
    assert!(matches!(
        next(&mut updates).await,
        Update::Unreachable { .. }
    ));
    let stale = async {
        while client.counts().stale.load(Ordering::Relaxed) < 3 {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, stale)
        .await
        .expect("stale responses");
    good.put("p/b", "newer");
    good.down(false);
    let want = owned(&[("p/a", "new"), ("p/b", "newer")]);
    assert_eq!(next_reset(&mut updates).await, want);
}

/// The gateway's response to a listing with the only key `p/a`; `value` is in
/// base64.
fn list_response(store_revision: u64, mod_revision: u64, value: &str) -> String {
    format!(
        r#"{{"header":{{"revision":"{store_revision}"}},"count":"1","kvs":[
            {{"key":"cC9h","value":"{value}","mod_revision":"{mod_revision}"}}]}}"#
    )
}

const ONE: &str = "MQ==";
const TWO: &str = "Mg==";

/// A platform whose reads return `response` and whose watches deliver no changes.
async fn platform_with_stuck_watches(response: Arc<Mutex<String>>) -> SocketAddr {
    let range = post(move || async move { response.lock().expect("no panic").clone() });
    let watch = post(|| async {
        let created = "{\"result\":{\"header\":{\"revision\":\"5\"},\"created\":true}}\n";
        let first = stream::iter([Ok::<_, std::io::Error>(created)]);
        Body::from_stream(first.chain(stream::pending()))
    });
    let routes = Router::new()
        .route("/v3/kv/range", range)
        .route("/v3/watch", watch);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

// A device on the path has dropped the state of the watch's connection, while new
// calls work. A change is made, and the watch delivers nothing and reports no
// error. The probes show that a change is missing, and a new listing returns it.
#[tokio::test]
async fn follower_detects_a_watch_that_delivers_no_changes() {
    let response = Arc::new(Mutex::new(list_response(5, 5, ONE)));
    let address = platform_with_stuck_watches(Arc::clone(&response)).await;
    let mut updates = follow(&client_with(&[address], options()));
    assert_eq!(next_reset(&mut updates).await, owned(&[("p/a", "1")]));
    *response.lock().expect("no panic") = list_response(6, 6, TWO);
    assert_eq!(next_reset(&mut updates).await, owned(&[("p/a", "2")]));
}

// The platform reports a newer revision and yet returns an older value of a key.
// The follower keeps the newer value that it sent before.
#[tokio::test]
async fn follower_keeps_a_key_that_a_later_list_shows_older() {
    let response = Arc::new(Mutex::new(list_response(6, 6, TWO)));
    let address = platform_with_stuck_watches(Arc::clone(&response)).await;
    let mut updates = follow(&client_with(&[address], options()));
    assert_eq!(next_reset(&mut updates).await, owned(&[("p/a", "2")]));
    *response.lock().expect("no panic") = list_response(7, 5, ONE);
    assert_eq!(next_reset(&mut updates).await, owned(&[("p/a", "2")]));
}

#[tokio::test]
async fn follower_ends_with_its_receiver() {
    let platform = start().await;
    let (sender, receiver) = mpsc::channel(1);
    let following = tokio::spawn(platform::follow(client(&platform), "p/".to_owned(), sender));
    drop(receiver);
    let ended = time::timeout(WAIT_TIMEOUT, following).await;
    ended.expect("in time").expect("no panic");
}

proptest! {
    #[test]
    fn any_answer_is_read_or_refused(bytes in any::<Vec<u8>>()) {
        decode_all(&bytes);
    }

    #[test]
    fn any_field_of_an_answer_is_read_or_refused(
        field in "(header|kvs|count|succeeded|responses|result|error|ID|TTL|events)",
        inner in "(revision|key|value|mod_revision|response_range|events|type|kv|canceled)",
        value in "(\"-?[0-9]{0,22}\"|-?[0-9]{1,22}|\"[A-Za-z=]{0,6}\"|\\[\\]|\\{\\}|null|true)",
    ) {
        decode_all(format!(r#"{{"{field}":{value}}}"#).as_bytes());
        decode_all(format!(r#"{{"{field}":{{"{inner}":{value}}}}}"#).as_bytes());
        decode_all(format!(r#"{{"{field}":[{{"{inner}":{value}}}]}}"#).as_bytes());
    }

    #[test]
    fn delays_stay_inside_their_bounds(seed in any::<u64>(), tries in 1_usize..200) {
        let bounds = BackoffBounds { first_delay: Duration::from_millis(100), max_delay: Duration::from_secs(5) };
        let delays = |seed| {
            let mut backoff = Backoff::new(bounds, seed);
            (0..tries).map(|_| backoff.next_delay()).collect::<Vec<_>>()
        };
        let drawn = delays(seed);
        assert!(drawn[0] <= bounds.first_delay);
        assert!(drawn.iter().all(|delay| *delay <= bounds.max_delay));
        assert_eq!(drawn, delays(seed));
    }
}

fn decode_all(bytes: &[u8]) {
    let _ = gateway::listing(bytes);
    let _ = gateway::probe(bytes);
    let _ = gateway::swap_outcome(bytes);
    let _ = gateway::deletion(bytes);
    let _ = gateway::grant(bytes);
    let _ = gateway::keepalive(bytes);
    let _ = gateway::revocation(bytes);
    let _ = gateway::event(bytes);
}

//! A simulated metadata store: keys with revisions, leases, long polls, and faults.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State as AxumState;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;

/// Count of changes kept for watches.
const HISTORY_LEN: usize = 1_000;

/// Count of items on a page of a listing.
const PAGE_SIZE: usize = 20;

/// Operating mode of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It works.
    #[default]
    Up,
    /// It answers 503.
    Busy,
    /// It answers 429 (too many requests).
    Limited,
    /// It accepts requests and never answers them.
    Silent,
    /// Each answer is delayed by so many milliseconds.
    Slow(u64),
    /// It never answers every second write, but executes it.
    Losing,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    lease: u64,
}

/// Everything that the store loses with its latest writes.
#[derive(Clone, Default)]
struct Content {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<(u64, Value)>,
    /// Revision up to which changes were dropped from the history.
    compacted: u64,
    /// Expiry and TTL of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
    /// Count of transactions and new leases, by which leases are numbered.
    write_count: u64,
}

/// A copy of the store's content.
#[derive(Clone)]
pub struct Backup(Content);

#[derive(Default)]
struct Data {
    mode: Mode,
    content: Content,
    /// Number of times that the store has been restored.
    era: u64,
    /// What operators and servers last wrote to each key; `None` if they deleted it.
    written: BTreeMap<String, Option<Vec<u8>>>,
    /// Count of pages of listings that were requested.
    pages: u64,
    /// Count of requests of all kinds.
    calls: u64,
}

/// The store, to be served with [`serve`].
pub struct Store {
    data: Mutex<Data>,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            data: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the operating mode.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Writes a key, as an operator or a backend server does.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().into_bytes());
    }

    /// Writes any bytes to a key.
    pub fn put_bytes(&self, key: &str, bytes: Vec<u8>) {
        let mut data = self.lock();
        data.written.insert(key.to_owned(), Some(bytes.clone()));
        let rev = data.content.put(key, bytes, 0);
        drop(data);
        self.changed.send_replace(rev);
    }

    /// Deletes a key.
    pub fn remove(&self, key: &str) {
        let mut data = self.lock();
        data.written.insert(key.to_owned(), None);
        let rev = data.content.remove(key);
        drop(data);
        self.changed.send_replace(rev);
    }

    /// Copies the content.
    pub fn backup(&self) -> Backup {
        Backup(self.lock().content.clone())
    }

    /// Restores the content from a copy. What was written since is lost, and its revisions
    /// and leases are assigned again.
    pub fn restore(&self, backup: &Backup) {
        let mut data = self.lock();
        data.content = backup.0.clone();
        data.era += 1;
        let rev = data.content.rev;
        drop(data);
        self.changed.send_replace(rev);
    }

    /// Writes again what operators and servers have written and a restore has lost.
    pub fn write_again(&self) {
        let mut data = self.lock();
        let written = data.written.clone();
        for (key, value) in written {
            let stored = data.content.items.get(&key).map(|item| &item.value);
            match value {
                Some(value) if stored != Some(&value) => _ = data.content.put(&key, value, 0),
                None if stored.is_some() => _ = data.content.remove(&key),
                _ => {}
            }
        }
        let rev = data.content.rev;
        drop(data);
        self.changed.send_replace(rev);
    }

    /// Whether a key exists.
    pub fn contains(&self, key: &str) -> bool {
        self.lock().content.items.contains_key(key)
    }

    /// Latest revision.
    pub fn revision(&self) -> u64 {
        self.lock().content.rev
    }

    /// Count of pages of listings that were requested.
    pub fn pages(&self) -> u64 {
        self.lock().pages
    }

    /// Count of requests of all kinds, answered or not.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Drops the history, so that watches must start again from a listing.
    pub fn compact(&self) {
        let mut data = self.lock();
        data.content.history.clear();
        data.content.compacted = data.content.rev;
    }

    /// Ends the expired leases and deletes their keys.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut data = self.lock();
        let expired: Vec<u64> = data
            .content
            .leases
            .iter()
            .filter(|(_, (end, _))| now > *end)
            .map(|(id, _)| *id)
            .collect();
        data.content.end_leases(&expired);
        let rev = data.content.rev;
        drop(data);
        self.changed.send_replace(rev);
    }

    /// Ends all leases, as a store may do after an outage.
    pub fn revoke(&self) {
        let mut data = self.lock();
        let all: Vec<u64> = data.content.leases.keys().copied().collect();
        data.content.end_leases(&all);
        let rev = data.content.rev;
        drop(data);
        self.changed.send_replace(rev);
    }
}

impl Content {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.rev += 1;
        let item = Item {
            value,
            rev: self.rev,
            lease,
        };
        self.record_event(item_json(key, &item));
        self.items.insert(key.to_owned(), item);
        self.rev
    }

    fn remove(&mut self, key: &str) -> u64 {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.record_event(json!({"key": key, "rev": self.rev, "deleted": true}));
        }
        self.rev
    }

    fn record_event(&mut self, event: Value) {
        self.history.push_back((self.rev, event));
        if self.history.len() > HISTORY_LEN
            && let Some((rev, _)) = self.history.pop_front()
        {
            self.compacted = rev;
        }
    }

    fn end_leases(&mut self, leases: &[u64]) {
        for lease in leases {
            self.leases.remove(lease);
        }
        let is_attached = |item: &Item| leases.contains(&item.lease);
        let keys = self.items.iter().filter(|(_, item)| is_attached(item));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// The header with the store's era.
const ERA_HEADER: &str = "Store-Era";

impl Data {
    /// Adds the era in which a response was made.
    fn respond(&self, response: impl IntoResponse) -> Response {
        ([(ERA_HEADER, self.era.to_string())], response).into_response()
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "rev": item.rev,
        "created": item.rev,
        "lease": item.lease,
    })
}

/// Serves the store until the process ends.
pub async fn serve(listener: TcpListener, store: Arc<Store>) {
    let expiring_store = Arc::clone(&store);
    tokio::spawn(async move {
        loop {
            time::sleep(Duration::from_millis(200)).await;
            expiring_store.expire();
        }
    });
    let router = Router::new()
        .route("/kv-range", get(range))
        .route("/kv-key", get(get_item))
        .route("/kv-watch", get(long_poll))
        .route("/kv-txn", post(transaction))
        .route("/kv-lease", post(grant_lease))
        .route("/kv-keep/{lease}", post(keep_alive))
        .with_state(store);
    // The listener lives as long as the process.
    let _ = axum::serve(listener, router).await;
}

type SharedStore = AxumState<Arc<Store>>;

/// Applies the operating mode before a request is answered. `Err` holds the answer if the
/// mode determines it.
async fn apply_mode(store: &Store) -> Result<(), Response> {
    let mode = {
        let mut data = store.lock();
        data.calls += 1;
        data.mode
    };
    match mode {
        Mode::Up | Mode::Losing => Ok(()),
        Mode::Busy => Err(store.lock().respond(StatusCode::SERVICE_UNAVAILABLE)),
        Mode::Limited => Err(store.lock().respond(StatusCode::TOO_MANY_REQUESTS)),
        Mode::Silent => never_answer().await,
        Mode::Slow(ms) => {
            time::sleep(Duration::from_millis(ms)).await;
            Ok(())
        }
    }
}

/// Never returns, so that the request is never answered.
async fn never_answer() -> Result<(), Response> {
    std::future::pending().await
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
    after: Option<String>,
}

async fn range(AxumState(store): SharedStore, Query(request): Query<RangeQuery>) -> Response {
    if let Err(response) = apply_mode(&store).await {
        return response;
    }
    let mut data = store.lock();
    data.pages += 1;
    let after = request.after.unwrap_or_default();
    let matching = data.content.items.iter().filter(|(key, _)| {
        key.starts_with(&request.prefix) && (after.is_empty() || key.as_str() > after.as_str())
    });
    let matching_items: Vec<Value> = matching.map(|(key, item)| item_json(key, item)).collect();
    let has_more = matching_items.len() > PAGE_SIZE;
    let items: Vec<Value> = matching_items.into_iter().take(PAGE_SIZE).collect();
    let rev = data.content.rev;
    data.respond(Json(
        json!({"items": items, "hasMore": has_more, "currentRev": rev}),
    ))
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

async fn get_item(AxumState(store): SharedStore, Query(request): Query<KeyQuery>) -> Response {
    if let Err(response) = apply_mode(&store).await {
        return response;
    }
    let data = store.lock();
    let Some(item) = data.content.items.get(&request.key) else {
        return data.respond(StatusCode::NOT_FOUND);
    };
    let mut response = item_json(&request.key, item);
    response["currentRev"] = json!(data.content.rev);
    data.respond(Json(response))
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PollQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

async fn long_poll(AxumState(store): SharedStore, Query(request): Query<PollQuery>) -> Response {
    if let Err(response) = apply_mode(&store).await {
        return response;
    }
    let mut changed = store.changed.subscribe();
    let end = time::Instant::now() + Duration::from_millis(request.wait_ms);
    loop {
        if let Some(response) = events_since(&store, &request) {
            // The mode may have changed during the long poll.
            return apply_mode(&store).await.err().unwrap_or(response);
        }
        let next = time::timeout_at(end, changed.changed()).await;
        if next.is_err() {
            let response = {
                let data = store.lock();
                let body = json!({"events": [], "currentRev": data.content.rev});
                data.respond(Json(body))
            };
            return apply_mode(&store).await.err().unwrap_or(response);
        }
    }
}

fn events_since(store: &Store, request: &PollQuery) -> Option<Response> {
    let data = store.lock();
    // After a restore, the store may not have reached that revision again.
    if request.after < data.content.compacted || request.after > data.content.rev {
        return Some(data.respond(StatusCode::GONE));
    }
    let is_new = |change: &&(u64, Value)| {
        let key = change.1["key"].as_str().unwrap_or_default();
        change.0 > request.after && key.starts_with(&request.prefix)
    };
    let events: Vec<&Value> = data
        .content
        .history
        .iter()
        .filter(is_new)
        .map(|change| &change.1)
        .collect();
    if events.is_empty() {
        return None;
    }
    let body = json!({"events": events, "currentRev": data.content.rev});
    Some(data.respond(Json(body)))
}

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    puts: Vec<Put>,
}

async fn transaction(AxumState(store): SharedStore, Json(request): Json<Transaction>) -> Response {
    if let Err(response) = apply_mode(&store).await {
        return response;
    }
    let (response, is_lost) = commit(&store, &request);
    if is_lost && let Err(response) = never_answer().await {
        return response;
    }
    response
}

/// Executes a transaction. Returns the response, and whether it is to be lost.
fn commit(store: &Store, request: &Transaction) -> (Response, bool) {
    let mut data = store.lock();
    let is_known = |lease: u64| lease == 0 || data.content.leases.contains_key(&lease);
    if !request.puts.iter().all(|put| is_known(put.lease)) {
        return (data.respond(StatusCode::NOT_FOUND), false);
    }
    for put in &request.puts {
        let Ok(value) = STANDARD.decode(&put.value) else {
            return (data.respond(StatusCode::BAD_REQUEST), false);
        };
        data.content.put(&put.key, value, put.lease);
    }
    data.content.write_count += 1;
    let is_lost = data.mode == Mode::Losing && data.content.write_count.is_multiple_of(2);
    let rev = data.content.rev;
    let response = data.respond(Json(json!({"rev": rev})));
    drop(data);
    store.changed.send_replace(rev);
    (response, is_lost)
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LeaseRequest {
    ttl_ms: u64,
}

async fn grant_lease(AxumState(store): SharedStore, Json(request): Json<LeaseRequest>) -> Response {
    if let Err(response) = apply_mode(&store).await {
        return response;
    }
    let mut data = store.lock();
    data.content.write_count += 1;
    let lease = 1_000 + data.content.write_count;
    let ttl = Duration::from_millis(request.ttl_ms);
    let end = Instant::now() + ttl;
    data.content.leases.insert(lease, (end, ttl));
    data.respond(Json(json!({"lease": lease, "ttlMs": request.ttl_ms})))
}

async fn keep_alive(AxumState(store): SharedStore, Path(lease): Path<u64>) -> Response {
    if let Err(response) = apply_mode(&store).await {
        return response;
    }
    let mut data = store.lock();
    let Some((end, ttl)) = data.content.leases.get_mut(&lease) else {
        return data.respond(StatusCode::NOT_FOUND);
    };
    *end = Instant::now() + *ttl;
    let body = json!({"ttlMs": ttl.as_millis() as u64});
    data.respond(Json(body))
}

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

#[derive(Default)]
struct Data {
    mode: Mode,
    rev: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<(u64, Value)>,
    /// Revision up to which changes were dropped from the history.
    compacted: u64,
    /// Expiry and TTL of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
    /// Count of transactions and new leases.
    write_count: u64,
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
        let bytes = value.to_string().into_bytes();
        let rev = self.lock().put(key, bytes, 0);
        self.changed.send_replace(rev);
    }

    /// Deletes a key.
    pub fn remove(&self, key: &str) {
        let rev = self.lock().remove(key);
        self.changed.send_replace(rev);
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
        data.history.clear();
        data.compacted = data.rev;
    }

    /// Ends the expired leases and deletes their keys.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut data = self.lock();
        let expired: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, (end, _))| now > *end)
            .map(|(id, _)| *id)
            .collect();
        data.end_leases(&expired);
        let rev = data.rev;
        drop(data);
        self.changed.send_replace(rev);
    }

    /// Ends all leases, as a store may do after an outage.
    pub fn revoke(&self) {
        let mut data = self.lock();
        let all: Vec<u64> = data.leases.keys().copied().collect();
        data.end_leases(&all);
        let rev = data.rev;
        drop(data);
        self.changed.send_replace(rev);
    }
}

impl Data {
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
        Mode::Busy => Err(StatusCode::SERVICE_UNAVAILABLE.into_response()),
        Mode::Limited => Err(StatusCode::TOO_MANY_REQUESTS.into_response()),
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
    let matching = data.items.iter().filter(|(key, _)| {
        key.starts_with(&request.prefix) && (after.is_empty() || key.as_str() > after.as_str())
    });
    let matching_items: Vec<Value> = matching.map(|(key, item)| item_json(key, item)).collect();
    let has_more = matching_items.len() > PAGE_SIZE;
    let items: Vec<Value> = matching_items.into_iter().take(PAGE_SIZE).collect();
    Json(json!({"items": items, "hasMore": has_more, "currentRev": data.rev})).into_response()
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
    let Some(item) = data.items.get(&request.key) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let mut response = item_json(&request.key, item);
    response["currentRev"] = json!(data.rev);
    Json(response).into_response()
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
            let rev = store.lock().rev;
            let response = Json(json!({"events": [], "currentRev": rev})).into_response();
            return apply_mode(&store).await.err().unwrap_or(response);
        }
    }
}

fn events_since(store: &Store, request: &PollQuery) -> Option<Response> {
    let data = store.lock();
    if request.after < data.compacted {
        return Some(StatusCode::GONE.into_response());
    }
    let is_new = |change: &&(u64, Value)| {
        let key = change.1["key"].as_str().unwrap_or_default();
        change.0 > request.after && key.starts_with(&request.prefix)
    };
    let events: Vec<&Value> = data
        .history
        .iter()
        .filter(is_new)
        .map(|change| &change.1)
        .collect();
    if events.is_empty() {
        return None;
    }
    Some(Json(json!({"events": events, "currentRev": data.rev})).into_response())
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
    let (rev, is_lost) = match commit(&store, &request) {
        Ok(done) => done,
        Err(status) => return status.into_response(),
    };
    if is_lost && let Err(response) = never_answer().await {
        return response;
    }
    Json(json!({"rev": rev})).into_response()
}

/// Executes a transaction. Returns the new revision, and whether the answer is to be lost.
fn commit(store: &Store, request: &Transaction) -> Result<(u64, bool), StatusCode> {
    let mut data = store.lock();
    let is_known = |lease: u64| lease == 0 || data.leases.contains_key(&lease);
    if !request.puts.iter().all(|put| is_known(put.lease)) {
        return Err(StatusCode::NOT_FOUND);
    }
    for put in &request.puts {
        let value = STANDARD.decode(&put.value);
        let value = value.map_err(|_| StatusCode::BAD_REQUEST)?;
        data.put(&put.key, value, put.lease);
    }
    data.write_count += 1;
    let is_lost = data.mode == Mode::Losing && data.write_count.is_multiple_of(2);
    let rev = data.rev;
    drop(data);
    store.changed.send_replace(rev);
    Ok((rev, is_lost))
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
    data.write_count += 1;
    let lease = 1_000 + data.write_count;
    let ttl = Duration::from_millis(request.ttl_ms);
    data.leases.insert(lease, (Instant::now() + ttl, ttl));
    Json(json!({"lease": lease, "ttlMs": request.ttl_ms})).into_response()
}

async fn keep_alive(AxumState(store): SharedStore, Path(lease): Path<u64>) -> Response {
    if let Err(response) = apply_mode(&store).await {
        return response;
    }
    let mut data = store.lock();
    match data.leases.get_mut(&lease) {
        Some((end, ttl)) => {
            *end = Instant::now() + *ttl;
            Json(json!({"ttlMs": ttl.as_millis() as u64})).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

//! The platform's key-value service, with the API of the etcd v3 JSON gateway.
//!
//! It serves reads, writes, transactions, leases and watches from memory and counts
//! every call. Its injectable faults are those that users report: outages, slow
//! answers, writes that take effect but whose answer is lost, stale reads, and leases
//! that last longer than their holder expects.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::ConnectInfo;
use axum::extract::DefaultBodyLimit;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderName;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use futures::stream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::etcd;
use crate::listener::ClosableListener;
use crate::listener::Connection;
use crate::lock::lock;
use crate::store;
use crate::store::Store;

/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Largest request body in bytes; base64 makes a value of 1 MiB a third larger.
const MAX_BODY_LEN: usize = 4 << 20;
/// Header of each response with the number of times that the store has been restored.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");
/// gRPC code for a request that cannot be parsed.
const INVALID_ARGUMENT: u32 = 3;
/// gRPC code for an object that does not exist.
const NOT_FOUND: u32 = 5;

/// Number of calls so far, by kind, and of open watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls to `range`.
    pub reads: u64,
    /// Calls to `put`, `deleterange` and `txn`.
    pub writes: u64,
    /// Calls to grant, renew and revoke leases.
    pub leases: u64,
    /// Watches opened so far.
    pub watches: u64,
    /// Watches open now.
    pub watching: u64,
    /// Maximum number of watches open at the same time.
    pub watching_peak: u64,
}

#[derive(Default)]
struct Faults {
    down: bool,
    delay: Duration,
    lost_answers: u32,
}

/// A copy of the store's content.
pub struct Backup(store::Content);

struct Shared {
    store: Mutex<Store>,
    /// Number of times that the store has been restored.
    era: Mutex<u64>,
    faults: Mutex<Faults>,
    counters: Mutex<Counters>,
    /// Wakes the watches when the store or the faults change.
    changed: watch::Sender<()>,
}

impl Shared {
    /// Runs an operation on the store and wakes the watches.
    fn change<T>(&self, operation: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.store);
        store.expire_leases();
        let result = operation(&mut store);
        drop(store);
        self.changed.send_replace(());
        result
    }

    fn count(&self, add: impl FnOnce(&mut Counters)) {
        add(&mut lock(&self.counters));
    }

    fn is_down(&self) -> bool {
        lock(&self.faults).down
    }

    fn take_lost_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        let is_lost = faults.lost_answers > 0;
        faults.lost_answers -= u32::from(is_lost);
        is_lost
    }
}

/// Handle of a running platform. Dropping it stops the platform.
pub struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

/// Starts a platform with an empty store.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn start(bind: SocketAddr) -> io::Result<Handle> {
    let listener = TcpListener::bind(bind).await?;
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared {
        store: Mutex::new(Store::new()),
        era: Mutex::default(),
        faults: Mutex::default(),
        counters: Mutex::default(),
        changed: watch::Sender::new(()),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(serve(listener, shared.clone()));
    tasks.spawn(expire_leases(shared.clone()));
    Ok(Handle {
        address,
        shared,
        _tasks: tasks,
    })
}

impl Handle {
    /// Address of the HTTP gateway.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads a key directly from the store, unaffected by faults and not counted.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let store = lock(&self.shared.store);
        store.get(key.as_bytes()).map(|kv| kv.value.clone())
    }

    /// Writes a key directly to the store, unaffected by faults and not counted.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let put = etcd::Put {
            key: key.into(),
            value: value.into(),
            lease: 0,
        };
        // Only an oversized value is rejected; a test notices that when it reads the key.
        let _ = self.shared.change(|store| store.put(&put));
    }

    /// Deletes a key directly from the store, unaffected by faults and not counted.
    pub fn delete(&self, key: &str) {
        let range = etcd::DeleteRange {
            key: key.into(),
            range_end: Vec::new(),
        };
        self.shared.change(|store| store.delete_range(&range));
    }

    /// Counters of the calls so far.
    pub fn counters(&self) -> Counters {
        *lock(&self.shared.counters)
    }

    /// Starts or ends an outage: every call and every watch is closed without an answer.
    pub fn down(&self, on: bool) {
        lock(&self.shared.faults).down = on;
        self.shared.changed.send_replace(());
    }

    /// Delays every call.
    pub fn slow(&self, delay: Duration) {
        lock(&self.shared.faults).delay = delay;
    }

    /// Lets the next `count` writes take effect without sending their answers.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.shared.faults).lost_answers = count;
    }

    /// Starts or ends stale reads: reads and watches see the state at the start.
    pub fn stale(&self, on: bool) {
        self.shared.change(|store| store.set_stale(on));
    }

    /// Copies the content of the store.
    pub fn backup(&self) -> Backup {
        Backup(lock(&self.shared.store).backup())
    }

    /// Restores the store from a copy: what was written since is lost, and its revisions
    /// and leases are assigned again. All watches are closed.
    pub fn restore(&self, backup: &Backup) {
        let mut era = lock(&self.shared.era);
        self.shared.change(|store| store.restore(backup.0.clone()));
        *era += 1;
        drop(era);
        self.shared.changed.send_replace(());
    }

    /// Stops or resumes the clock by which leases expire.
    pub fn freeze_leases(&self, on: bool) {
        self.shared.change(|store| store.freeze_leases(on));
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let routes = Router::new()
        .route("/v3/kv/range", post(range))
        .route("/v3/kv/put", post(put))
        .route("/v3/kv/deleterange", post(delete_range))
        .route("/v3/kv/txn", post(txn))
        .route("/v3/lease/grant", post(grant))
        .route("/v3/lease/keepalive", post(keep_alive))
        .route("/v3/lease/revoke", post(revoke))
        .route("/v3/kv/lease/revoke", post(revoke))
        .route("/v3/watch", post(watch))
        .layer(DefaultBodyLimit::max(MAX_BODY_LEN))
        .layer(middleware::from_fn_with_state(
            shared.clone(),
            inject_faults,
        ))
        .with_state(shared);
    let service = routes.into_make_service_with_connect_info::<Connection>();
    // `serve` never returns; serving ends when the task is aborted.
    let _ = axum::serve(ClosableListener::new(listener), service).await;
}

async fn expire_leases(shared: Arc<Shared>) {
    let mut tick = time::interval(LEASE_CHECK_INTERVAL);
    loop {
        tick.tick().await;
        if lock(&shared.store).expire_leases() {
            shared.changed.send_replace(());
        }
    }
}

/// Injects the faults that apply to every call: delay and outage.
async fn inject_faults(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(connection): ConnectInfo<Connection>,
    request: Request,
    next: Next,
) -> Response {
    let delay = lock(&shared.faults).delay;
    time::sleep(delay).await;
    if shared.is_down() {
        connection.abort();
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let era = *lock(&shared.era);
    let mut response = next.run(request).await;
    // The response may be of either era.
    if *lock(&shared.era) != era {
        connection.abort();
    }
    response.headers_mut().insert(ERA_HEADER, era.into());
    response
}

/// Error response of the gateway.
#[derive(Serialize)]
struct Failure {
    error: String,
    code: u32,
    message: String,
}

impl Failure {
    fn new(code: u32, message: String) -> Self {
        let error = message.clone();
        Self {
            error,
            code,
            message,
        }
    }
}

impl From<store::Error> for Failure {
    fn from(error: store::Error) -> Self {
        Self::new(error.code(), error.to_string())
    }
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let status = match self.code {
            NOT_FOUND => StatusCode::NOT_FOUND,
            _ => StatusCode::BAD_REQUEST,
        };
        (status, axum::Json(self)).into_response()
    }
}

type CallResult<T> = Result<axum::Json<T>, Failure>;

/// Parses a JSON body whatever its content type, as the gateway does.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| Failure::new(INVALID_ARGUMENT, error.to_string()))
}

async fn range(State(shared): State<Arc<Shared>>, body: Bytes) -> CallResult<etcd::RangeResponse> {
    let request: etcd::Range = parse(&body)?;
    shared.count(|counters| counters.reads += 1);
    let mut store = lock(&shared.store);
    store.expire_leases();
    Ok(axum::Json(store.visible_range(&request)))
}

/// Counts and applies a write; its answer may be lost if it changed the store.
fn write<T>(
    shared: &Shared,
    connection: &Connection,
    operation: impl FnOnce(&mut Store) -> Result<T, store::Error>,
) -> CallResult<T> {
    shared.count(|counters| counters.writes += 1);
    let (result, has_changed) = shared.change(|store| {
        let before = store.header().revision;
        (operation(store), store.header().revision > before)
    });
    if has_changed && shared.take_lost_answer() {
        connection.abort();
    }
    Ok(axum::Json(result?))
}

async fn put(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(connection): ConnectInfo<Connection>,
    body: Bytes,
) -> CallResult<etcd::PutResponse> {
    let request: etcd::Put = parse(&body)?;
    write(&shared, &connection, |store| store.put(&request))
}

async fn delete_range(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(connection): ConnectInfo<Connection>,
    body: Bytes,
) -> CallResult<etcd::DeleteRangeResponse> {
    let request: etcd::DeleteRange = parse(&body)?;
    write(&shared, &connection, |store| {
        Ok(store.delete_range(&request))
    })
}

async fn txn(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(connection): ConnectInfo<Connection>,
    body: Bytes,
) -> CallResult<etcd::TxnResponse> {
    let request: etcd::Txn = parse(&body)?;
    write(&shared, &connection, |store| store.txn(&request))
}

async fn grant(State(shared): State<Arc<Shared>>, body: Bytes) -> CallResult<etcd::LeaseResponse> {
    let request: etcd::Lease = parse(&body)?;
    shared.count(|counters| counters.leases += 1);
    let response = shared.change(|store| store.grant(request.id, request.ttl));
    Ok(axum::Json(response))
}

async fn keep_alive(
    State(shared): State<Arc<Shared>>,
    body: Bytes,
) -> CallResult<etcd::StreamLine<etcd::LeaseResponse>> {
    let request: etcd::Lease = parse(&body)?;
    shared.count(|counters| counters.leases += 1);
    let result = shared.change(|store| store.keep_alive(request.id));
    Ok(axum::Json(etcd::StreamLine { result }))
}

async fn revoke(State(shared): State<Arc<Shared>>, body: Bytes) -> CallResult<etcd::LeaseResponse> {
    let request: etcd::Lease = parse(&body)?;
    shared.count(|counters| counters.leases += 1);
    let response = shared.change(|store| store.revoke(request.id))?;
    Ok(axum::Json(response))
}

/// An open watch.
struct Watch {
    shared: Arc<Shared>,
    connection: Connection,
    changed: watch::Receiver<()>,
    key: Vec<u8>,
    range_end: Vec<u8>,
    history_index: usize,
    era: u64,
    is_announced: bool,
}

impl Watch {
    fn open(shared: Arc<Shared>, connection: Connection, create: etcd::Create) -> Self {
        shared.count(|counters| {
            counters.watches += 1;
            counters.watching += 1;
            counters.watching_peak = counters.watching_peak.max(counters.watching);
        });
        let era = *lock(&shared.era);
        let history_index = lock(&shared.store).start_index(create.start_revision);
        Self {
            connection,
            changed: shared.changed.subscribe(),
            key: create.key,
            range_end: create.range_end,
            history_index,
            era,
            is_announced: false,
            shared,
        }
    }

    /// Waits for the next line; an error ends the stream and closes the connection.
    async fn next_line(&mut self) -> io::Result<Bytes> {
        loop {
            self.changed.borrow_and_update();
            if self.shared.is_down() || *lock(&self.shared.era) != self.era {
                self.connection.abort();
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if let Some(response) = self.next_response() {
                return encode(response);
            }
            // This watch keeps the shared state alive, which owns the sender.
            let _ = self.changed.changed().await;
        }
    }

    fn next_response(&mut self) -> Option<etcd::WatchResponse> {
        let store = lock(&self.shared.store);
        let header = store.visible_header();
        if !self.is_announced {
            self.is_announced = true;
            return Some(etcd::WatchResponse {
                header,
                created: true,
                events: Vec::new(),
            });
        }
        let (events, history_index) = store.events(self.history_index, &self.key, &self.range_end);
        self.history_index = history_index;
        (!events.is_empty()).then_some(etcd::WatchResponse {
            header,
            created: false,
            events,
        })
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.shared.count(|counters| counters.watching -= 1);
    }
}

fn encode(result: etcd::WatchResponse) -> io::Result<Bytes> {
    let mut line = serde_json::to_vec(&etcd::StreamLine { result })?;
    line.push(b'\n');
    Ok(line.into())
}

async fn watch(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(connection): ConnectInfo<Connection>,
    body: Bytes,
) -> Result<Response, Failure> {
    let request: etcd::Watch = parse(&body)?;
    let watch = Watch::open(shared, connection, request.create_request);
    let lines = stream::unfold(watch, async |mut watch| {
        Some((watch.next_line().await, watch))
    });
    let headers = [(CONTENT_TYPE, "application/json")];
    Ok((headers, Body::from_stream(lines)).into_response())
}

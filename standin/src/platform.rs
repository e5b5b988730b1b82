//! The platform's key-value service, in the shape of the etcd v3 JSON gateway.
//!
//! It serves reads, writes, transactions, leases and watches from memory and
//! counts every call. Its faults are those that the users report: it is down or
//! slow, a write takes effect and its answer is lost, reads lag behind, a lease
//! lasts longer than its holder expects.

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
use crate::gate::Gate;
use crate::gate::Line;
use crate::lock::lock;
use crate::store;
use crate::store::Store;

/// How often leases are looked at.
const LEASE_TICK: Duration = Duration::from_millis(20);
/// Largest request body; a value of a megabyte grows by a third in base64.
const MAX_BODY: usize = 4 << 20;
/// gRPC code for a request that does not parse.
const INVALID_ARGUMENT: u32 = 3;
/// gRPC code for something that is not there.
const NOT_FOUND: u32 = 5;

/// Calls so far, by kind, and watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls of `range`.
    pub reads: u64,
    /// Calls of `put`, `deleterange` and `txn`.
    pub writes: u64,
    /// Calls about leases.
    pub leases: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches waiting now.
    pub watching: u64,
    /// Most watches that waited at once.
    pub watching_peak: u64,
}

#[derive(Default)]
struct Faults {
    down: bool,
    delay: Duration,
    lost_answers: u32,
}

struct Shared {
    store: Mutex<Store>,
    faults: Mutex<Faults>,
    counters: Mutex<Counters>,
    /// Wakes the watches after a change of the store or of the faults.
    changed: watch::Sender<()>,
}

impl Shared {
    /// Works on the store and wakes the watches.
    fn change<T>(&self, work: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.store);
        store.expire();
        let result = work(&mut store);
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

    fn loses_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        let loses = faults.lost_answers > 0;
        faults.lost_answers -= u32::from(loses);
        loses
    }
}

/// A running platform; it ends when this is dropped.
pub struct Handle {
    address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

/// Starts a platform with no keys.
///
/// # Errors
///
/// The address cannot be listened on.
pub async fn start(bind: SocketAddr) -> io::Result<Handle> {
    let listener = TcpListener::bind(bind).await?;
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared {
        store: Mutex::new(Store::new()),
        faults: Mutex::default(),
        counters: Mutex::default(),
        changed: watch::Sender::new(()),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(serve(listener, shared.clone()));
    tasks.spawn(expire(shared.clone()));
    Ok(Handle {
        address,
        shared,
        _tasks: tasks,
    })
}

impl Handle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Value of a key, past all faults.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let store = lock(&self.shared.store);
        store.get(key.as_bytes()).map(|kv| kv.value.clone())
    }

    /// Writes a key, past all faults and uncounted.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let put = etcd::Put {
            key: key.into(),
            value: value.into(),
            lease: 0,
        };
        // Only an oversized value is refused, which a test will see at its first read.
        let _ = self.shared.change(|store| store.put(&put));
    }

    /// Deletes a key, past all faults and uncounted.
    pub fn delete(&self, key: &str) {
        let range = etcd::DeleteRange {
            key: key.into(),
            range_end: Vec::new(),
        };
        self.shared.change(|store| store.delete_range(&range));
    }

    /// Calls so far.
    pub fn counters(&self) -> Counters {
        *lock(&self.shared.counters)
    }

    /// Closes every connection without an answer, watches included.
    pub fn down(&self, on: bool) {
        lock(&self.shared.faults).down = on;
        self.shared.changed.send_replace(());
    }

    /// Delays every call.
    pub fn slow(&self, delay: Duration) {
        lock(&self.shared.faults).delay = delay;
    }

    /// Lets the next writes take effect and loses their answers.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.shared.faults).lost_answers = count;
    }

    /// Shows reads and watches the state of now for as long as it is on.
    pub fn stale(&self, on: bool) {
        self.shared.change(|store| store.stale(on));
    }

    /// Stops the clock by which leases expire.
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
        .layer(DefaultBodyLimit::max(MAX_BODY))
        .layer(middleware::from_fn_with_state(shared.clone(), disturb))
        .with_state(shared);
    let service = routes.into_make_service_with_connect_info::<Line>();
    // Serving ends only with the task.
    let _ = axum::serve(Gate::new(listener), service).await;
}

async fn expire(shared: Arc<Shared>) {
    let mut tick = time::interval(LEASE_TICK);
    loop {
        tick.tick().await;
        if lock(&shared.store).expire() {
            shared.changed.send_replace(());
        }
    }
}

/// Applies the faults that do not depend on the call.
async fn disturb(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(line): ConnectInfo<Line>,
    request: Request,
    next: Next,
) -> Response {
    let delay = lock(&shared.faults).delay;
    time::sleep(delay).await;
    if shared.is_down() {
        line.cut();
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    next.run(request).await
}

/// Why a call failed, as the gateway reports it.
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

type Answer<T> = Result<axum::Json<T>, Failure>;

/// Parses a body, whatever content type it claims, as the gateway does.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| Failure::new(INVALID_ARGUMENT, error.to_string()))
}

async fn range(State(shared): State<Arc<Shared>>, body: Bytes) -> Answer<etcd::RangeResponse> {
    let request: etcd::Range = parse(&body)?;
    shared.count(|counters| counters.reads += 1);
    let mut store = lock(&shared.store);
    store.expire();
    Ok(axum::Json(store.shown_range(&request)))
}

/// Counts a write, runs it and may lose its answer if it changed anything.
fn write<T>(
    shared: &Shared,
    line: &Line,
    work: impl FnOnce(&mut Store) -> Result<T, store::Error>,
) -> Answer<T> {
    shared.count(|counters| counters.writes += 1);
    let (result, took_effect) = shared.change(|store| {
        let before = store.header().revision;
        (work(store), store.header().revision > before)
    });
    if took_effect && shared.loses_answer() {
        line.cut();
    }
    Ok(axum::Json(result?))
}

async fn put(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(line): ConnectInfo<Line>,
    body: Bytes,
) -> Answer<etcd::PutResponse> {
    let request: etcd::Put = parse(&body)?;
    write(&shared, &line, |store| store.put(&request))
}

async fn delete_range(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(line): ConnectInfo<Line>,
    body: Bytes,
) -> Answer<etcd::DeleteRangeResponse> {
    let request: etcd::DeleteRange = parse(&body)?;
    write(&shared, &line, |store| Ok(store.delete_range(&request)))
}

async fn txn(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(line): ConnectInfo<Line>,
    body: Bytes,
) -> Answer<etcd::TxnResponse> {
    let request: etcd::Txn = parse(&body)?;
    write(&shared, &line, |store| store.txn(&request))
}

async fn grant(State(shared): State<Arc<Shared>>, body: Bytes) -> Answer<etcd::LeaseResponse> {
    let request: etcd::Lease = parse(&body)?;
    shared.count(|counters| counters.leases += 1);
    let response = shared.change(|store| store.grant(request.id, request.ttl));
    Ok(axum::Json(response))
}

async fn keep_alive(
    State(shared): State<Arc<Shared>>,
    body: Bytes,
) -> Answer<etcd::Line<etcd::LeaseResponse>> {
    let request: etcd::Lease = parse(&body)?;
    shared.count(|counters| counters.leases += 1);
    let result = shared.change(|store| store.keep_alive(request.id));
    Ok(axum::Json(etcd::Line { result }))
}

async fn revoke(State(shared): State<Arc<Shared>>, body: Bytes) -> Answer<etcd::LeaseResponse> {
    let request: etcd::Lease = parse(&body)?;
    shared.count(|counters| counters.leases += 1);
    let response = shared.change(|store| store.revoke(request.id))?;
    Ok(axum::Json(response))
}

/// One open watch.
struct Watch {
    shared: Arc<Shared>,
    line: Line,
    changed: watch::Receiver<()>,
    key: Vec<u8>,
    end: Vec<u8>,
    place: usize,
    announced: bool,
}

impl Watch {
    fn open(shared: Arc<Shared>, line: Line, create: etcd::Create) -> Self {
        shared.count(|counters| {
            counters.watches += 1;
            counters.watching += 1;
            counters.watching_peak = counters.watching_peak.max(counters.watching);
        });
        let place = lock(&shared.store).place(create.start_revision);
        Self {
            line,
            changed: shared.changed.subscribe(),
            key: create.key,
            end: create.range_end,
            place,
            announced: false,
            shared,
        }
    }

    /// The next line; an error ends the stream and the connection.
    async fn next(&mut self) -> io::Result<Bytes> {
        loop {
            self.changed.borrow_and_update();
            if self.shared.is_down() {
                self.line.cut();
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if let Some(response) = self.ready() {
                return encode(response);
            }
            // The sender lives as long as the shared state that this watch holds.
            let _ = self.changed.changed().await;
        }
    }

    fn ready(&mut self) -> Option<etcd::WatchResponse> {
        let store = lock(&self.shared.store);
        let header = store.shown_header();
        if !self.announced {
            self.announced = true;
            return Some(etcd::WatchResponse {
                header,
                created: true,
                events: Vec::new(),
            });
        }
        let (events, place) = store.events(self.place, &self.key, &self.end);
        self.place = place;
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
    let mut line = serde_json::to_vec(&etcd::Line { result })?;
    line.push(b'\n');
    Ok(line.into())
}

async fn watch(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(line): ConnectInfo<Line>,
    body: Bytes,
) -> Result<Response, Failure> {
    let request: etcd::Watch = parse(&body)?;
    let watch = Watch::open(shared, line, request.create_request);
    let lines = stream::unfold(watch, async |mut watch| Some((watch.next().await, watch)));
    let kind = [(CONTENT_TYPE, "application/json")];
    Ok((kind, Body::from_stream(lines)).into_response())
}

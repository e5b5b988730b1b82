//! A backend server: CoAP over UDP and a health endpoint over HTTP.
//!
//! It executes requests in a fixed number of slots, queues a bounded number of further
//! ones and refuses all others. It does not deduplicate: every copy of a request is
//! executed and counted under the request's payload, so that a test detects repeated
//! execution. Observers, block-wise transfers and deadlines follow the published
//! protocols.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;
use coap_lite::RequestType;
use coap_lite::ResponseType;
use coap_lite::block_handler::BlockValue;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

use crate::health;
pub use crate::health::HealthOverrides;
use crate::lock::lock;
use crate::message;
use crate::message::MAX_BLOCK;
use crate::message::MAX_DATAGRAM;
use crate::message::OBSERVE_MASK;
use crate::message::REQUEST_TAG;

/// Number of the CoAP option that holds the longest wait for a slot, in milliseconds.
pub const DEADLINE_OPTION: u16 = 65_000;
/// Path of a resource whose representation takes several blocks.
pub const LARGE_PATH: &str = "/large";
/// Size of the representation of [`LARGE_PATH`] in bytes.
pub const LARGE_SIZE: usize = 5_000;

/// Time after which a request is acknowledged with an empty message and answered
/// separately.
const ACK_DELAY: Duration = Duration::from_millis(100);
/// Number of recent notifications of an observer that a reset can refer to.
const RECENT_NOTIFICATIONS: usize = 8;
/// Maximum number of payload bytes that an answer echoes.
const ECHO_SIZE: usize = 64;

/// Identity, addresses and capacity of a server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the server.
    pub name: String,
    /// Service that the server runs.
    pub service: String,
    /// Local address for requests.
    pub bind: SocketAddr,
    /// Local address for health checks.
    pub health_bind: SocketAddr,
    /// Number of requests executed concurrently.
    pub slots: usize,
    /// Number of requests that may wait for a slot; further ones are refused.
    pub queue: usize,
    /// Execution time of a request.
    pub service_time: Duration,
    /// Time between two notifications to an observer.
    pub notify_interval: Duration,
    /// Max-Age of refusals, rounded down to whole seconds.
    pub retry_after: Duration,
}

impl Settings {
    /// Settings of a fast server with two slots and ephemeral ports.
    pub fn new(name: &str, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            bind: (Ipv4Addr::LOCALHOST, 0).into(),
            health_bind: (Ipv4Addr::LOCALHOST, 0).into(),
            slots: 2,
            queue: 16,
            service_time: Duration::from_millis(5),
            notify_interval: Duration::from_secs(1),
            retry_after: Duration::from_secs(2),
        }
    }
}

/// A request that reached the server, whether or not it was executed.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Time at which the request was read.
    pub at: Instant,
    /// Address of the sender.
    pub remote: SocketAddr,
    /// Method of the request.
    pub method: RequestType,
    /// Path of the requested resource.
    pub path: String,
    /// Payload of the request as text, which serves as its identifier.
    pub id: String,
    /// Whether the request is new work: it neither renews or cancels a known feed nor
    /// transfers a later block.
    pub is_new_work: bool,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) is_draining: bool,
    is_shedding: bool,
    pub(crate) health_down: bool,
    pub(crate) health_delay: Duration,
    pub(crate) health_overrides: HealthOverrides,
    pub(crate) outstanding: usize,
    running: usize,
    max_running: usize,
    starts: BTreeMap<String, u64>,
    received_requests: Vec<ReceivedRequest>,
    wrong_service: u64,
    observers: HashMap<ObserverKey, Observer>,
    uploads: HashMap<UploadKey, Vec<u8>>,
    last_observe: u32,
    last_message_id: u16,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct ObserverKey {
    remote: SocketAddr,
    token: Vec<u8>,
}

impl ObserverKey {
    fn new(remote: SocketAddr, request: &Packet) -> Self {
        Self {
            remote,
            token: request.get_token().to_vec(),
        }
    }
}

#[derive(Default)]
struct Observer {
    sent_count: u64,
    recent_message_ids: VecDeque<u16>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct UploadKey {
    remote: SocketAddr,
    path: String,
    request_tag: Option<Vec<u8>>,
}

impl State {
    fn next_message_id(&mut self) -> u16 {
        self.last_message_id = self.last_message_id.wrapping_add(1);
        self.last_message_id
    }

    /// Next Observe number. All observers share one sequence, so that the numbers also
    /// rise for an observer that registers again.
    fn next_observe(&mut self) -> u32 {
        self.last_observe = (self.last_observe + 1) & OBSERVE_MASK;
        self.last_observe
    }

    fn is_new_work(&self, remote: SocketAddr, request: &Packet) -> bool {
        let has_observe = message::uint_option(request, CoapOption::Observe).is_some();
        let is_later_block =
            |option| message::block_option(request, option).is_some_and(|b| b.num > 0);
        let is_known_observer = has_observe
            && self
                .observers
                .contains_key(&ObserverKey::new(remote, request));
        !is_known_observer
            && !is_later_block(CoapOption::Block1)
            && !is_later_block(CoapOption::Block2)
    }

    fn remove_reset_observer(&mut self, remote: SocketAddr, message_id: u16) {
        self.observers.retain(|key, observer| {
            key.remote != remote || !observer.recent_message_ids.contains(&message_id)
        });
    }
}

pub(crate) struct Shared {
    pub(crate) settings: Settings,
    socket: UdpSocket,
    slots: Semaphore,
    frozen: watch::Sender<bool>,
    service_time: watch::Sender<Duration>,
    pub(crate) state: Mutex<State>,
}

/// Handle of a running server. Dropping it stops the server.
pub struct Handle {
    address: SocketAddr,
    health_address: SocketAddr,
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

/// Starts a server.
///
/// # Errors
///
/// One of the addresses cannot be bound.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let socket = UdpSocket::bind(settings.bind).await?;
    let address = socket.local_addr()?;
    let listener = TcpListener::bind(settings.health_bind).await?;
    let health_address = listener.local_addr()?;
    let shared = Arc::new(Shared {
        socket,
        slots: Semaphore::new(settings.slots),
        frozen: watch::Sender::new(false),
        service_time: watch::Sender::new(settings.service_time),
        state: Mutex::default(),
        settings,
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(receive(shared.clone()));
    tasks.spawn(notify(shared.clone()));
    tasks.spawn(health::serve(listener, shared.clone()));
    Ok(Handle {
        address,
        health_address,
        shared,
        tasks,
    })
}

impl Handle {
    /// Address for requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for health checks.
    pub fn health_address(&self) -> SocketAddr {
        self.health_address
    }

    /// Sets the draining state: new work is refused, open feeds and started transfers
    /// continue.
    pub fn drain(&self, on: bool) {
        lock(&self.shared.state).is_draining = on;
    }

    /// Refuses new work while the health endpoint reports the normal state.
    pub fn shed(&self, on: bool) {
        lock(&self.shared.state).is_shedding = on;
    }

    /// Pauses the server like a stopped process: it reads and sends nothing.
    pub fn freeze(&self, on: bool) {
        self.shared.frozen.send_replace(on);
    }

    /// Removes all observers without notice, like a middlebox that loses its state.
    pub fn clear_observers(&self) {
        lock(&self.shared.state).observers.clear();
    }

    /// Changes the execution time of requests that start from now on.
    pub fn set_service_time(&self, time: Duration) {
        self.shared.service_time.send_replace(time);
    }

    /// Replaces values that the health endpoint reports.
    pub fn override_health(&self, overrides: HealthOverrides) {
        lock(&self.shared.state).health_overrides = overrides;
    }

    /// Sets whether health checks are closed without an answer.
    pub fn health_down(&self, on: bool) {
        lock(&self.shared.state).health_down = on;
    }

    /// Sets the delay of answers to health checks.
    pub fn health_slow(&self, delay: Duration) {
        lock(&self.shared.state).health_delay = delay;
    }

    /// Number of times that a request with this payload was started.
    pub fn starts(&self, id: &str) -> u64 {
        let state = lock(&self.shared.state);
        state.starts.get(id).copied().unwrap_or(0)
    }

    /// Number of starts by payload.
    pub fn all_starts(&self) -> BTreeMap<String, u64> {
        lock(&self.shared.state).starts.clone()
    }

    /// Number of requests that are being executed or wait for a slot.
    pub fn outstanding(&self) -> usize {
        lock(&self.shared.state).outstanding
    }

    /// Maximum number of requests that were executed concurrently.
    pub fn peak(&self) -> usize {
        lock(&self.shared.state).max_running
    }

    /// Number of registered observers.
    pub fn observers(&self) -> usize {
        lock(&self.shared.state).observers.len()
    }

    /// Number of requests whose Uri-Host names another service.
    pub fn wrong_service(&self) -> u64 {
        lock(&self.shared.state).wrong_service
    }

    /// Requests received at this instant or later.
    pub fn received_since(&self, since: Instant) -> Vec<ReceivedRequest> {
        let state = lock(&self.shared.state);
        let recent = state
            .received_requests
            .iter()
            .filter(|request| request.at >= since);
        recent.cloned().collect()
    }

    /// Stops the server immediately and releases its addresses.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn receive(shared: Arc<Shared>) {
    let mut running = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        wait_until_unfrozen(&shared).await;
        tokio::select! {
            Some(_) = running.join_next() => {}
            received = shared.socket.recv_from(&mut buffer) => {
                wait_until_unfrozen(&shared).await;
                let Ok((size, remote)) = received else { continue };
                let Ok(packet) = Packet::from_bytes(&buffer[..size]) else { continue };
                running.spawn(handle(shared.clone(), remote, packet));
            }
        }
    }
}

/// Waits until the server is not frozen.
pub(crate) async fn wait_until_unfrozen(shared: &Shared) {
    // `shared` owns the sender, so the channel cannot close.
    let _ = shared.frozen.subscribe().wait_for(|frozen| !frozen).await;
}

async fn send(shared: &Shared, to: SocketAddr, packet: &Packet) {
    wait_until_unfrozen(shared).await;
    if let Ok(datagram) = packet.to_bytes() {
        // A failed send counts as a lost datagram.
        let _ = shared.socket.send_to(&datagram, to).await;
    }
}

async fn handle(shared: Arc<Shared>, remote: SocketAddr, packet: Packet) {
    let message_id = packet.header.message_id;
    match (packet.header.code, packet.header.get_type()) {
        (MessageClass::Request(method), _) => {
            let request = Request {
                remote,
                method,
                packet,
            };
            respond(&shared, &request).await;
        }
        (_, MessageType::Reset) => lock(&shared.state).remove_reset_observer(remote, message_id),
        (MessageClass::Empty, MessageType::Confirmable) => {
            // An empty confirmable message is a CoAP ping.
            let reset = message::empty_message(MessageType::Reset, message_id);
            send(&shared, remote, &reset).await;
        }
        _ => {}
    }
}

struct Request {
    remote: SocketAddr,
    method: RequestType,
    packet: Packet,
}

/// Answers a request: within [`ACK_DELAY`] in the acknowledgement, later in a separate
/// message.
async fn respond(shared: &Shared, request: &Request) {
    let work = answer(shared, request);
    tokio::pin!(work);
    let message_id = request.packet.header.message_id;
    if request.packet.header.get_type() == MessageType::Confirmable {
        if let Ok(answer) = time::timeout(ACK_DELAY, &mut work).await {
            let kind = MessageType::Acknowledgement;
            return send_answer(shared, request, answer, kind, message_id).await;
        }
        let ack = message::empty_message(MessageType::Acknowledgement, message_id);
        send(shared, request.remote, &ack).await;
    }
    let answer = work.await;
    let message_id = lock(&shared.state).next_message_id();
    let kind = MessageType::NonConfirmable;
    send_answer(shared, request, answer, kind, message_id).await;
}

async fn send_answer(
    shared: &Shared,
    request: &Request,
    mut answer: Packet,
    kind: MessageType,
    message_id: u16,
) {
    answer.header.set_type(kind);
    answer.header.message_id = message_id;
    answer.set_token(request.packet.get_token().to_vec());
    send(shared, request.remote, &answer).await;
}

async fn answer(shared: &Shared, request: &Request) -> Packet {
    if let Some(refusal) = record_or_refuse(shared, request) {
        return refusal;
    }
    let Some(block) = message::block_option(&request.packet, CoapOption::Block1) else {
        return execute_in_slot(shared, request, &request.packet.payload).await;
    };
    let mut answer = match collect_block(shared, request, &block) {
        UploadProgress::Complete(body) => execute_in_slot(shared, request, &body).await,
        UploadProgress::Continue => message::answer(ResponseType::Continue, []),
        UploadProgress::MissingBlocks => message::answer(ResponseType::RequestEntityIncomplete, []),
    };
    answer.add_option_as(CoapOption::Block1, block);
    answer
}

/// Records a request; returns a refusal if the request must not be executed.
fn record_or_refuse(shared: &Shared, request: &Request) -> Option<Packet> {
    let mut state = lock(&shared.state);
    let is_new_work = state.is_new_work(request.remote, &request.packet);
    state.received_requests.push(ReceivedRequest {
        at: Instant::now(),
        remote: request.remote,
        method: request.method,
        path: message::uri_path(&request.packet),
        id: lossy_text(&request.packet.payload),
        is_new_work,
    });
    let host = request.packet.get_first_option(CoapOption::UriHost);
    if host.is_some_and(|host| host != shared.settings.service.as_bytes()) {
        state.wrong_service += 1;
        return Some(message::answer(ResponseType::NotFound, "wrong service"));
    }
    let refuses_new_work = state.is_draining || state.is_shedding;
    (refuses_new_work && is_new_work).then(|| unavailable(shared))
}

fn unavailable(shared: &Shared) -> Packet {
    let mut answer = message::answer(ResponseType::ServiceUnavailable, []);
    let seconds = shared.settings.retry_after.as_secs();
    let seconds = u32::try_from(seconds).unwrap_or(u32::MAX);
    message::set_uint_option(&mut answer, CoapOption::MaxAge, seconds);
    answer
}

enum UploadProgress {
    Complete(Vec<u8>),
    Continue,
    MissingBlocks,
}

/// Adds a block to an uploaded body (RFC 7959). The first block starts a new body.
fn collect_block(shared: &Shared, request: &Request, block: &BlockValue) -> UploadProgress {
    let key = UploadKey {
        remote: request.remote,
        path: message::uri_path(&request.packet),
        request_tag: request.packet.get_first_option(REQUEST_TAG).cloned(),
    };
    let mut state = lock(&shared.state);
    if block.num == 0 {
        state.uploads.insert(key.clone(), Vec::new());
    }
    let Some(body) = state.uploads.get_mut(&key) else {
        return UploadProgress::MissingBlocks;
    };
    let offset = usize::from(block.num) * block.size();
    if offset > body.len() {
        return UploadProgress::MissingBlocks;
    }
    // A retransmitted block replaces the copy received before.
    body.truncate(offset);
    body.extend_from_slice(&request.packet.payload);
    if block.more {
        return UploadProgress::Continue;
    }
    state
        .uploads
        .remove(&key)
        .map_or(UploadProgress::MissingBlocks, UploadProgress::Complete)
}

/// Counts a request as outstanding until the guard is dropped.
struct OutstandingGuard<'a>(&'a Shared);

impl<'a> OutstandingGuard<'a> {
    /// Counts a request; none if the slots and the queue are full.
    fn try_new(shared: &'a Shared) -> Option<Self> {
        let mut state = lock(&shared.state);
        if state.outstanding >= shared.settings.slots + shared.settings.queue {
            return None;
        }
        state.outstanding += 1;
        Some(Self(shared))
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).outstanding -= 1;
    }
}

/// Waits for a slot and executes a request.
async fn execute_in_slot(shared: &Shared, request: &Request, body: &[u8]) -> Packet {
    let Some(_outstanding) = OutstandingGuard::try_new(shared) else {
        return unavailable(shared);
    };
    let deadline = message::uint_option(&request.packet, CoapOption::Unknown(DEADLINE_OPTION));
    let deadline = deadline.map_or(Duration::MAX, |ms| Duration::from_millis(ms.into()));
    // Waiting for the freeze to end counts against the deadline, so that a request whose
    // deadline passed in a frozen server does not start.
    let slot = async {
        let slot = shared.slots.acquire().await;
        wait_until_unfrozen(shared).await;
        slot
    };
    let Ok(Ok(_slot)) = time::timeout(deadline, slot).await else {
        return unavailable(shared);
    };
    record_start(shared, body);
    let service_time = *shared.service_time.borrow();
    time::sleep(service_time).await;
    lock(&shared.state).running -= 1;
    execute(shared, request, body)
}

fn record_start(shared: &Shared, body: &[u8]) {
    let mut state = lock(&shared.state);
    state.running += 1;
    state.max_running = state.max_running.max(state.running);
    if !body.is_empty() {
        *state.starts.entry(lossy_text(body)).or_default() += 1;
    }
}

fn execute(shared: &Shared, request: &Request, body: &[u8]) -> Packet {
    match request.method {
        RequestType::Get => read_answer(shared, request),
        RequestType::Post => write_answer(shared, request, body, ResponseType::Created),
        RequestType::Put => write_answer(shared, request, body, ResponseType::Changed),
        RequestType::Delete => write_answer(shared, request, body, ResponseType::Deleted),
        _ => message::answer(ResponseType::MethodNotAllowed, []),
    }
}

fn write_answer(shared: &Shared, request: &Request, body: &[u8], code: ResponseType) -> Packet {
    let echo = lossy_text(&body[..body.len().min(ECHO_SIZE)]);
    let resource_description = resource_description(shared, request);
    let size = body.len();
    message::answer(
        code,
        format!("{resource_description},size={size},id={echo}"),
    )
}

fn read_answer(shared: &Shared, request: &Request) -> Packet {
    let key = ObserverKey::new(request.remote, &request.packet);
    match message::uint_option(&request.packet, CoapOption::Observe) {
        Some(0) => return register_observer(shared, key),
        Some(_) => drop(lock(&shared.state).observers.remove(&key)),
        None => {}
    }
    let mut payload = resource_description(shared, request).into_bytes();
    if message::uri_path(&request.packet) == LARGE_PATH {
        payload = payload.into_iter().cycle().take(LARGE_SIZE).collect();
    }
    content_answer(
        &payload,
        message::block_option(&request.packet, CoapOption::Block2),
    )
}

fn resource_description(shared: &Shared, request: &Request) -> String {
    let path = message::uri_path(&request.packet);
    format!("server={},path={path}", shared.settings.name)
}

fn register_observer(shared: &Shared, key: ObserverKey) -> Packet {
    let mut state = lock(&shared.state);
    let sent_count = state.observers.entry(key).or_default().sent_count;
    notification_packet(shared, &mut state, sent_count)
}

fn notification_packet(shared: &Shared, state: &mut State, sent_count: u64) -> Packet {
    let payload = format!("server={},n={sent_count}", shared.settings.name);
    let mut packet = message::answer(ResponseType::Content, payload);
    packet.set_observe_value(state.next_observe());
    packet
}

/// Answers with the payload, or with the requested block if the payload is larger than
/// one block (RFC 7959).
fn content_answer(payload: &[u8], requested: Option<BlockValue>) -> Packet {
    let (num, size) = requested.map_or((0, MAX_BLOCK), |block| (block.num, block.size()));
    let size = size.min(MAX_BLOCK);
    if num == 0 && payload.len() <= size {
        return message::answer(ResponseType::Content, payload);
    }
    let num = usize::from(num);
    let Some(remaining) = payload
        .get(num * size..)
        .filter(|remaining| !remaining.is_empty())
    else {
        return message::answer(ResponseType::BadOption, []);
    };
    let more = remaining.len() > size;
    let mut answer = message::answer(
        ResponseType::Content,
        &remaining[..remaining.len().min(size)],
    );
    if let Ok(block) = BlockValue::new(num, more, size) {
        answer.add_option_as(CoapOption::Block2, block);
    }
    let mut hasher = DefaultHasher::new();
    payload.hash(&mut hasher);
    answer.add_option(CoapOption::ETag, hasher.finish().to_be_bytes().to_vec());
    answer
}

/// Periodically sends a notification to every observer.
async fn notify(shared: Arc<Shared>) {
    let interval = shared.settings.notify_interval;
    let mut tick = time::interval_at(Instant::now() + interval, interval);
    loop {
        tick.tick().await;
        wait_until_unfrozen(&shared).await;
        for (to, packet) in notifications(&shared) {
            send(&shared, to, &packet).await;
        }
    }
}

fn notifications(shared: &Shared) -> Vec<(SocketAddr, Packet)> {
    let mut state = lock(&shared.state);
    let mut observers = std::mem::take(&mut state.observers);
    let packets = observers.iter_mut().map(|(key, observer)| {
        observer.sent_count += 1;
        let mut packet = notification_packet(shared, &mut state, observer.sent_count);
        let message_id = state.next_message_id();
        packet.header.set_type(MessageType::NonConfirmable);
        packet.header.message_id = message_id;
        packet.set_token(key.token.clone());
        observer.recent_message_ids.push_back(message_id);
        if observer.recent_message_ids.len() > RECENT_NOTIFICATIONS {
            observer.recent_message_ids.pop_front();
        }
        (key.remote, packet)
    });
    let packets = packets.collect();
    state.observers = observers;
    packets
}

fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

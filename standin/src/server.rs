//! A backend server: CoAP over UDP and a health endpoint over HTTP.
//!
//! It runs requests in a few slots, queues a bounded number and sheds the rest.
//! It never removes duplicates: every copy that reaches it starts again and is
//! counted under the request's payload, so that a test sees each second start.
//! Observers, block-wise transfers and deadlines follow the published protocols.

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
pub use crate::health::Lies;
use crate::lock::lock;
use crate::message;
use crate::message::MAX_BLOCK;
use crate::message::MAX_DATAGRAM;
use crate::message::OBSERVE_MASK;
use crate::message::REQUEST_TAG;

/// Option with the time that a request may wait for a slot, in milliseconds.
pub const DEADLINE_OPTION: u16 = 65_000;
/// Resource whose answer needs several blocks.
pub const LARGE_PATH: &str = "/large";
/// Size of that answer.
pub const LARGE_SIZE: usize = 5_000;

/// An answer that takes longer is sent apart from its acknowledgement.
const ACK_DELAY: Duration = Duration::from_millis(100);
/// Notifications of one observer that a reset can still refer to.
const RECENT_NOTIFICATIONS: usize = 8;
/// Bytes of a payload that an answer repeats.
const ECHO_SIZE: usize = 64;

/// What a server is and can do.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its own name.
    pub name: String,
    /// The service that it runs.
    pub service: String,
    /// Where it takes requests.
    pub bind: SocketAddr,
    /// Where it answers health checks.
    pub health_bind: SocketAddr,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that wait for a slot before it sheds.
    pub queue: usize,
    /// How long one request runs.
    pub service_time: Duration,
    /// Time between two notifications to an observer.
    pub notify_interval: Duration,
    /// What a refused caller is told to wait, in whole seconds.
    pub retry_after: Duration,
}

impl Settings {
    /// A fast server with two slots on ports from the system.
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

/// A request that reached the server, whether or not it ran.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When it was read.
    pub at: Instant,
    /// Who sent it.
    pub remote: SocketAddr,
    /// Its method.
    pub method: RequestType,
    /// Its resource.
    pub path: String,
    /// Its payload as text.
    pub id: String,
    /// Whether it is new work, not the continuation of a feed or a block-wise transfer.
    pub fresh: bool,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) draining: bool,
    shedding: bool,
    pub(crate) health_down: bool,
    pub(crate) health_delay: Duration,
    pub(crate) lies: Lies,
    pub(crate) outstanding: usize,
    running: usize,
    peak: usize,
    starts: BTreeMap<String, u64>,
    seen: Vec<Seen>,
    wrong_service: u64,
    observers: HashMap<ObserverKey, Observer>,
    uploads: HashMap<UploadKey, Vec<u8>>,
    observe: u32,
    message_id: u16,
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
    sent: u64,
    recent: VecDeque<u16>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct UploadKey {
    remote: SocketAddr,
    path: String,
    tag: Option<Vec<u8>>,
}

impl State {
    fn next_message_id(&mut self) -> u16 {
        self.message_id = self.message_id.wrapping_add(1);
        self.message_id
    }

    /// One sequence for all observers, so that it also rises for one that registers anew.
    fn next_observe(&mut self) -> u32 {
        self.observe = (self.observe + 1) & OBSERVE_MASK;
        self.observe
    }

    fn is_fresh(&self, remote: SocketAddr, request: &Packet) -> bool {
        let observes = message::number(request, CoapOption::Observe).is_some();
        let continues = |option| message::block(request, option).is_some_and(|b| b.num > 0);
        let known = observes
            && self
                .observers
                .contains_key(&ObserverKey::new(remote, request));
        !known && !continues(CoapOption::Block1) && !continues(CoapOption::Block2)
    }

    fn reset(&mut self, remote: SocketAddr, message_id: u16) {
        self.observers
            .retain(|key, observer| key.remote != remote || !observer.recent.contains(&message_id));
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

/// A running server; it ends when this is dropped.
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
/// One of its addresses cannot be listened on.
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
    /// Where it takes requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where it answers health checks.
    pub fn health_address(&self) -> SocketAddr {
        self.health_address
    }

    /// Refuses new work; feeds and begun transfers go on.
    pub fn drain(&self, on: bool) {
        lock(&self.shared.state).draining = on;
    }

    /// Refuses new work without saying so in its health.
    pub fn shed(&self, on: bool) {
        lock(&self.shared.state).shedding = on;
    }

    /// Stands still as a paused process: it reads and sends nothing.
    pub fn freeze(&self, on: bool) {
        self.shared.frozen.send_replace(on);
    }

    /// Drops all observers without a word, as a middlebox that lost its table.
    pub fn forget(&self) {
        lock(&self.shared.state).observers.clear();
    }

    /// Changes how long requests run from now on.
    pub fn set_service_time(&self, time: Duration) {
        self.shared.service_time.send_replace(time);
    }

    /// Lets the health endpoint lie.
    pub fn lie(&self, lies: Lies) {
        lock(&self.shared.state).lies = lies;
    }

    /// Closes health checks without an answer.
    pub fn health_down(&self, on: bool) {
        lock(&self.shared.state).health_down = on;
    }

    /// Delays the answers to health checks.
    pub fn health_slow(&self, delay: Duration) {
        lock(&self.shared.state).health_delay = delay;
    }

    /// How often the request with this payload was started.
    pub fn starts(&self, id: &str) -> u64 {
        let state = lock(&self.shared.state);
        state.starts.get(id).copied().unwrap_or(0)
    }

    /// Starts of every payload.
    pub fn all_starts(&self) -> BTreeMap<String, u64> {
        lock(&self.shared.state).starts.clone()
    }

    /// Requests running or waiting now.
    pub fn outstanding(&self) -> usize {
        lock(&self.shared.state).outstanding
    }

    /// Most requests that ran at once.
    pub fn peak(&self) -> usize {
        lock(&self.shared.state).peak
    }

    /// Observers registered now.
    pub fn observers(&self) -> usize {
        lock(&self.shared.state).observers.len()
    }

    /// Requests that named another service.
    pub fn wrong_service(&self) -> u64 {
        lock(&self.shared.state).wrong_service
    }

    /// Requests read at this instant or later.
    pub fn seen_since(&self, since: Instant) -> Vec<Seen> {
        let state = lock(&self.shared.state);
        let recent = state.seen.iter().filter(|seen| seen.at >= since);
        recent.cloned().collect()
    }

    /// Ends it at once and frees its addresses.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn receive(shared: Arc<Shared>) {
    let mut running = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        thawed(&shared).await;
        tokio::select! {
            Some(_) = running.join_next() => {}
            received = shared.socket.recv_from(&mut buffer) => {
                thawed(&shared).await;
                let Ok((size, remote)) = received else { continue };
                let Ok(packet) = Packet::from_bytes(&buffer[..size]) else { continue };
                running.spawn(handle(shared.clone(), remote, packet));
            }
        }
    }
}

/// Waits until the server is not frozen.
pub(crate) async fn thawed(shared: &Shared) {
    // The sender lives as long as the shared state.
    let _ = shared.frozen.subscribe().wait_for(|frozen| !frozen).await;
}

async fn send(shared: &Shared, to: SocketAddr, packet: &Packet) {
    thawed(shared).await;
    if let Ok(datagram) = packet.to_bytes() {
        // A datagram that cannot be sent is a lost one.
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
        (_, MessageType::Reset) => lock(&shared.state).reset(remote, message_id),
        (MessageClass::Empty, MessageType::Confirmable) => {
            // An empty confirmable message is a ping.
            let reset = message::empty(MessageType::Reset, message_id);
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

/// Answers with the acknowledgement when it is quick, else apart from it.
async fn respond(shared: &Shared, request: &Request) {
    let work = answer(shared, request);
    tokio::pin!(work);
    let message_id = request.packet.header.message_id;
    if request.packet.header.get_type() == MessageType::Confirmable {
        if let Ok(answer) = time::timeout(ACK_DELAY, &mut work).await {
            let kind = MessageType::Acknowledgement;
            return send_answer(shared, request, answer, kind, message_id).await;
        }
        let ack = message::empty(MessageType::Acknowledgement, message_id);
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
    if let Some(refusal) = refuse(shared, request) {
        return refusal;
    }
    let Some(block) = message::block(&request.packet, CoapOption::Block1) else {
        return run(shared, request, &request.packet.payload).await;
    };
    let mut answer = match collect(shared, request, &block) {
        Upload::Whole(body) => run(shared, request, &body).await,
        Upload::More => message::answer(ResponseType::Continue, []),
        Upload::Incomplete => message::answer(ResponseType::RequestEntityIncomplete, []),
    };
    answer.add_option_as(CoapOption::Block1, block);
    answer
}

/// Notes a request and answers it if it is not to run.
fn refuse(shared: &Shared, request: &Request) -> Option<Packet> {
    let mut state = lock(&shared.state);
    let fresh = state.is_fresh(request.remote, &request.packet);
    state.seen.push(Seen {
        at: Instant::now(),
        remote: request.remote,
        method: request.method,
        path: message::path(&request.packet),
        id: text(&request.packet.payload),
        fresh,
    });
    let host = request.packet.get_first_option(CoapOption::UriHost);
    if host.is_some_and(|host| host != shared.settings.service.as_bytes()) {
        state.wrong_service += 1;
        return Some(message::answer(ResponseType::NotFound, "wrong service"));
    }
    let refusing = state.draining || state.shedding;
    (refusing && fresh).then(|| unavailable(shared))
}

fn unavailable(shared: &Shared) -> Packet {
    let mut answer = message::answer(ResponseType::ServiceUnavailable, []);
    let seconds = shared.settings.retry_after.as_secs();
    let seconds = u32::try_from(seconds).unwrap_or(u32::MAX);
    message::set_number(&mut answer, CoapOption::MaxAge, seconds);
    answer
}

enum Upload {
    Whole(Vec<u8>),
    More,
    Incomplete,
}

/// Takes one block of a body (RFC 7959); the first one starts afresh.
fn collect(shared: &Shared, request: &Request, block: &BlockValue) -> Upload {
    let key = UploadKey {
        remote: request.remote,
        path: message::path(&request.packet),
        tag: request.packet.get_first_option(REQUEST_TAG).cloned(),
    };
    let mut state = lock(&shared.state);
    if block.num == 0 {
        state.uploads.insert(key.clone(), Vec::new());
    }
    let Some(body) = state.uploads.get_mut(&key) else {
        return Upload::Incomplete;
    };
    let offset = usize::from(block.num) * block.size();
    if offset > body.len() {
        return Upload::Incomplete;
    }
    // A block that arrives again replaces its first copy.
    body.truncate(offset);
    body.extend_from_slice(&request.packet.payload);
    if block.more {
        return Upload::More;
    }
    state
        .uploads
        .remove(&key)
        .map_or(Upload::Incomplete, Upload::Whole)
}

/// Counts a request in progress until it is dropped.
struct Outstanding<'a>(&'a Shared);

impl<'a> Outstanding<'a> {
    /// None if slots and queue are full.
    fn enter(shared: &'a Shared) -> Option<Self> {
        let mut state = lock(&shared.state);
        if state.outstanding >= shared.settings.slots + shared.settings.queue {
            return None;
        }
        state.outstanding += 1;
        Some(Self(shared))
    }
}

impl Drop for Outstanding<'_> {
    fn drop(&mut self) {
        lock(&self.0.state).outstanding -= 1;
    }
}

/// Waits for a slot and executes.
async fn run(shared: &Shared, request: &Request, body: &[u8]) -> Packet {
    let Some(_outstanding) = Outstanding::enter(shared) else {
        return unavailable(shared);
    };
    let deadline = message::number(&request.packet, CoapOption::Unknown(DEADLINE_OPTION));
    let deadline = deadline.map_or(Duration::MAX, |ms| Duration::from_millis(ms.into()));
    // A request that waited out its deadline in a frozen server must not start late.
    let slot = async {
        let slot = shared.slots.acquire().await;
        thawed(shared).await;
        slot
    };
    let Ok(Ok(_slot)) = time::timeout(deadline, slot).await else {
        return unavailable(shared);
    };
    begin(shared, body);
    let service_time = *shared.service_time.borrow();
    time::sleep(service_time).await;
    lock(&shared.state).running -= 1;
    execute(shared, request, body)
}

fn begin(shared: &Shared, body: &[u8]) {
    let mut state = lock(&shared.state);
    state.running += 1;
    state.peak = state.peak.max(state.running);
    if !body.is_empty() {
        *state.starts.entry(text(body)).or_default() += 1;
    }
}

fn execute(shared: &Shared, request: &Request, body: &[u8]) -> Packet {
    match request.method {
        RequestType::Get => read(shared, request),
        RequestType::Post => written(shared, request, body, ResponseType::Created),
        RequestType::Put => written(shared, request, body, ResponseType::Changed),
        RequestType::Delete => written(shared, request, body, ResponseType::Deleted),
        _ => message::answer(ResponseType::MethodNotAllowed, []),
    }
}

fn written(shared: &Shared, request: &Request, body: &[u8], code: ResponseType) -> Packet {
    let echo = text(&body[..body.len().min(ECHO_SIZE)]);
    let place = place(shared, request);
    let size = body.len();
    message::answer(code, format!("{place},size={size},id={echo}"))
}

fn read(shared: &Shared, request: &Request) -> Packet {
    let key = ObserverKey::new(request.remote, &request.packet);
    match message::number(&request.packet, CoapOption::Observe) {
        Some(0) => return register(shared, key),
        Some(_) => drop(lock(&shared.state).observers.remove(&key)),
        None => {}
    }
    let mut payload = place(shared, request).into_bytes();
    if message::path(&request.packet) == LARGE_PATH {
        payload = payload.into_iter().cycle().take(LARGE_SIZE).collect();
    }
    slice(
        &payload,
        message::block(&request.packet, CoapOption::Block2),
    )
}

fn place(shared: &Shared, request: &Request) -> String {
    let path = message::path(&request.packet);
    format!("server={},path={path}", shared.settings.name)
}

fn register(shared: &Shared, key: ObserverKey) -> Packet {
    let mut state = lock(&shared.state);
    let sent = state.observers.entry(key).or_default().sent;
    notification(shared, &mut state, sent)
}

fn notification(shared: &Shared, state: &mut State, sent: u64) -> Packet {
    let payload = format!("server={},n={sent}", shared.settings.name);
    let mut packet = message::answer(ResponseType::Content, payload);
    packet.set_observe_value(state.next_observe());
    packet
}

/// Cuts the asked block out of an answer that is larger than one.
fn slice(payload: &[u8], asked: Option<BlockValue>) -> Packet {
    let (num, size) = asked.map_or((0, MAX_BLOCK), |block| (block.num, block.size()));
    let size = size.min(MAX_BLOCK);
    if num == 0 && payload.len() <= size {
        return message::answer(ResponseType::Content, payload);
    }
    let num = usize::from(num);
    let Some(rest) = payload.get(num * size..).filter(|rest| !rest.is_empty()) else {
        return message::answer(ResponseType::BadOption, []);
    };
    let more = rest.len() > size;
    let mut answer = message::answer(ResponseType::Content, &rest[..rest.len().min(size)]);
    if let Ok(block) = BlockValue::new(num, more, size) {
        answer.add_option_as(CoapOption::Block2, block);
    }
    let mut hasher = DefaultHasher::new();
    payload.hash(&mut hasher);
    answer.add_option(CoapOption::ETag, hasher.finish().to_be_bytes().to_vec());
    answer
}

/// Sends every observer its notification at each tick.
async fn notify(shared: Arc<Shared>) {
    let interval = shared.settings.notify_interval;
    let mut tick = time::interval_at(Instant::now() + interval, interval);
    loop {
        tick.tick().await;
        thawed(&shared).await;
        for (to, packet) in notifications(&shared) {
            send(&shared, to, &packet).await;
        }
    }
}

fn notifications(shared: &Shared) -> Vec<(SocketAddr, Packet)> {
    let mut state = lock(&shared.state);
    let mut observers = std::mem::take(&mut state.observers);
    let packets = observers.iter_mut().map(|(key, observer)| {
        observer.sent += 1;
        let mut packet = notification(shared, &mut state, observer.sent);
        let message_id = state.next_message_id();
        packet.header.set_type(MessageType::NonConfirmable);
        packet.header.message_id = message_id;
        packet.set_token(key.token.clone());
        observer.recent.push_back(message_id);
        if observer.recent.len() > RECENT_NOTIFICATIONS {
            observer.recent.pop_front();
        }
        (key.remote, packet)
    });
    let packets = packets.collect();
    state.observers = observers;
    packets
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

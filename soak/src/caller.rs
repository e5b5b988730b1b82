//! Simulated callers: they open flows, send requests and check every response.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use godwitreel::flow::FlowKey;
use godwitreel::flow::Segment;
use godwitreel::flow::Tag;
use platform::packet;
use platform::packet::HEADER_LEN;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time;
use tokio::time::Instant;

use crate::Result;
use crate::backend;
use crate::backend::Request;
use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::net;
use crate::net::ACK;
use crate::net::Author;
use crate::net::FIN;
use crate::net::Packet;
use crate::net::SYN;
use crate::router::Router;

/// Timeout of each transmission of an opening packet. After the last one the attempt to
/// open the flow fails.
const OPENING_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// First delay before data is retransmitted; it doubles up to the maximum.
const INITIAL_RETRANSMIT_DELAY: Duration = Duration::from_millis(200);
/// Longest delay before data is retransmitted.
const MAX_RETRANSMIT_DELAY: Duration = Duration::from_millis(1_600);

/// Time limit of a request, with all its attempts.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Attempts of an idempotent request, or to open a flow for another one.
const MAX_ATTEMPTS: u32 = 3;

/// State shared by the callers of a zone.
pub struct CallerContext {
    /// Routers of the zone.
    pub router: Arc<Router>,
    /// Ledger of the run.
    pub ledger: Arc<Ledger>,
    /// Number of the next request.
    pub next_request_id: Arc<AtomicU64>,
}

/// A packet that a caller received.
struct Received {
    segment: Segment,
    data: Vec<u8>,
    author: Author,
    from: SocketAddr,
}

impl Received {
    /// Instance that wrote the packet, if the system did.
    fn instance(&self) -> Option<Ipv4Addr> {
        match self.from.ip() {
            IpAddr::V4(address) if self.author == Author::System => Some(address),
            _ => None,
        }
    }
}

/// Sending half of the queue of packets received for one flow.
type Inbox = mpsc::UnboundedSender<Received>;

/// A caller with its socket. In the packets' headers each of its flows has a port of its
/// own.
pub struct Host {
    socket: UdpSocket,
    /// Queues of the open flows, by the port of the caller.
    inboxes: Mutex<HashMap<u16, Inbox>>,
    context: Arc<CallerContext>,
    address: SocketAddrV4,
    next_flow_number: AtomicU64,
}

impl Host {
    /// Binds a caller to an address and starts to receive.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn new(address: SocketAddrV4, context: Arc<CallerContext>) -> Result<Arc<Self>> {
        let host = Arc::new(Self {
            socket: net::bind(address).await?,
            inboxes: Mutex::default(),
            context,
            address,
            next_flow_number: AtomicU64::new(1_024),
        });
        tokio::spawn(receive(Arc::clone(&host)));
        Ok(host)
    }

    /// Sends requests to a route until the run ends. With `keeps_flow` the requests are
    /// idempotent and share a flow, otherwise each has a flow of its own.
    pub async fn send_requests(
        self: Arc<Self>,
        service: SocketAddrV4,
        keeps_flow: bool,
        seed: u64,
    ) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut flow = None;
        loop {
            let pause = random.random_range(20..300);
            time::sleep(Duration::from_millis(pause)).await;
            flow = self.request(service, keeps_flow, flow.take()).await;
        }
    }

    /// Sends requests that are not idempotent to a route, one or two a second, until the
    /// run ends.
    pub async fn send_sparse_requests(self: Arc<Self>, service: SocketAddrV4, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        loop {
            let pause = random.random_range(200..800);
            time::sleep(Duration::from_millis(pause)).await;
            Arc::clone(&self).send_request(service).await;
        }
    }

    /// Sends a request that is not idempotent to a route.
    pub async fn send_request(self: Arc<Self>, service: SocketAddrV4) {
        self.request(service, false, None).await;
    }

    /// Opens flows to a route that is withdrawn and added repeatedly, until the run
    /// ends. No requests are sent: the servers and the ledger check which
    /// configuration was applied when a flow was opened.
    pub async fn open_flows(self: Arc<Self>, service: SocketAddrV4, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        loop {
            let pause = random.random_range(100..600);
            time::sleep(Duration::from_millis(pause)).await;
            let deadline = Instant::now() + REQUEST_TIMEOUT;
            if let Ok(mut flow) = Flow::open(&self, service, deadline).await {
                flow.close().await;
            }
        }
    }

    /// Sends a request and retries it if that is safe: the request is idempotent, or
    /// its flow was never opened. Returns the flow if it stays open.
    async fn request(
        self: &Arc<Self>,
        service: SocketAddrV4,
        keeps_flow: bool,
        mut flow: Option<Flow>,
    ) -> Option<Flow> {
        let request = Request {
            id: self.context.next_request_id.fetch_add(1, Ordering::Relaxed),
            is_idempotent: keeps_flow,
        };
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        for _ in 0..MAX_ATTEMPTS {
            let opened = match flow.take() {
                Some(flow) => Ok(flow),
                None => Flow::open(self, service, deadline).await,
            };
            let was_opened = opened.is_ok();
            let outcome = match opened {
                Ok(mut open) => {
                    let outcome = open.send_request(request, deadline).await;
                    flow = Some(open).filter(|_| outcome == Outcome::Served);
                    outcome
                }
                Err(outcome) => outcome,
            };
            let may_retry = request.is_idempotent || !was_opened;
            if outcome == Outcome::Served || !may_retry || Instant::now() >= deadline {
                let ledger = &self.context.ledger;
                ledger.request_finished(service.port(), outcome);
                return self.keep_or_close(flow, keeps_flow).await;
            }
        }
        let ledger = &self.context.ledger;
        ledger.request_finished(service.port(), Outcome::Refused);
        None
    }

    async fn keep_or_close(&self, flow: Option<Flow>, keeps_flow: bool) -> Option<Flow> {
        let mut flow = flow?;
        if keeps_flow && flow.request_count < 200 && !flow.is_closed {
            return Some(flow);
        }
        flow.close().await;
        None
    }

    async fn send(&self, flow_key: &FlowKey, bytes: &[u8]) {
        let to = self.context.router.choose_instance(flow_key);
        // Sending fails while an instance is down; the flow retransmits the packet.
        let _ = self.socket.send_to(bytes, to).await;
    }

    fn inboxes(&self) -> std::sync::MutexGuard<'_, HashMap<u16, Inbox>> {
        self.inboxes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn receive(host: Arc<Host>) {
    let mut buffer = vec![0; packet::MAX_PACKET_LEN + 1];
    loop {
        let Ok((length, from)) = host.socket.recv_from(&mut buffer).await else {
            continue;
        };
        let bytes = &buffer[..length];
        let author = net::author(bytes);
        let Ok(segment) = packet::decode(bytes) else {
            host.context
                .ledger
                .record_breach("caller got a malformed packet", from);
            continue;
        };
        let is_reset = segment.flags.rst && segment.len == 0;
        if author == Author::Altered || (author == Author::System && !is_reset) {
            host.context
                .ledger
                .record_breach("caller got an altered packet", from);
            continue;
        }
        // In a server's packets the destination is the caller's endpoint.
        let port = segment.flow_key.service.port();
        let inbox = host.inboxes().get(&port).cloned();
        if let Some(inbox) = inbox {
            let data = bytes[HEADER_LEN..].to_vec();
            let _ = inbox.send(Received {
                segment,
                data,
                author,
                from,
            });
        }
    }
}

/// An open flow.
struct Flow {
    host: Arc<Host>,
    flow_key: FlowKey,
    inbox: mpsc::UnboundedReceiver<Received>,
    seq: u32,
    ack: u32,
    tag: Tag,
    /// Serial of the server, once it has responded.
    server: Option<u64>,
    request_count: u32,
    /// Whether the server has closed the flow.
    is_closed: bool,
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.host.inboxes().remove(&self.flow_key.caller.port());
    }
}

impl Flow {
    async fn open(
        host: &Arc<Host>,
        service: SocketAddrV4,
        deadline: Instant,
    ) -> std::result::Result<Self, Outcome> {
        let flow_number = host.next_flow_number.fetch_add(1, Ordering::Relaxed);
        let port = 1_024 + (flow_number % 60_000) as u16;
        let (sender, inbox) = mpsc::unbounded_channel();
        host.inboxes().insert(port, sender);
        let mut flow = Self {
            flow_key: FlowKey {
                caller: SocketAddrV4::new(*host.address.ip(), port),
                service,
            },
            host: Arc::clone(host),
            inbox,
            seq: rand::rng().random(),
            ack: 0,
            tag: Tag::NONE,
            server: None,
            request_count: 0,
            is_closed: false,
        };
        for (attempt, pause) in OPENING_TIMEOUTS.into_iter().enumerate() {
            flow.ack = attempt as u32;
            flow.send(SYN, b"").await;
            let until = (Instant::now() + pause).min(deadline);
            match flow.next_packet(until).await {
                Some(packet) if packet.author == Author::Endpoint && packet.segment.flags.syn => {
                    flow.seq = flow.seq.wrapping_add(1);
                    flow.ack = packet.segment.seq.wrapping_add(1);
                    return Ok(flow);
                }
                Some(packet) => {
                    flow.record_refusal(&packet, attempt + 1);
                    return Err(Outcome::Refused);
                }
                None => {}
            }
        }
        Err(Outcome::TimedOut)
    }

    /// Reports a packet that ended the opening after so many SYNs.
    fn record_refusal(&self, packet: &Received, syn_count: usize) {
        let ledger = &self.host.context.ledger;
        if packet.segment.flags.rst {
            ledger.opening_reset(self.flow_key, packet.instance(), syn_count);
        }
        if packet.author == Author::System {
            ledger.flow_refused(self.flow_key.service.port());
        }
    }

    async fn next_packet(&mut self, until: Instant) -> Option<Received> {
        let received = time::timeout_at(until, self.inbox.recv()).await;
        let packet = received.ok().flatten()?;
        if packet.author == Author::Endpoint {
            self.tag = packet.segment.tag;
        }
        Some(packet)
    }

    async fn send(&self, flags: u8, data: &[u8]) {
        let packet = Packet {
            from: self.flow_key.caller,
            to: self.flow_key.service,
            flags,
            seq: self.seq,
            ack: self.ack,
            tag: self.tag,
            data,
        };
        self.host.send(&self.flow_key, &packet.encode()).await;
    }

    async fn send_request(&mut self, request: Request, deadline: Instant) -> Outcome {
        let data = request.encode(0);
        let mut pause = INITIAL_RETRANSMIT_DELAY;
        self.request_count += 1;
        while Instant::now() < deadline {
            self.send(ACK, &data).await;
            let until = (Instant::now() + pause).min(deadline);
            pause = (pause * 2).min(MAX_RETRANSMIT_DELAY);
            while let Some(packet) = self.next_packet(until).await {
                let segment = &packet.segment;
                if segment.flags.rst {
                    return self.handle_reset(packet.author);
                }
                // Skips retransmitted packets, whose sequence numbers are older.
                if segment.flags.syn || segment.len == 0 || segment.seq != self.ack {
                    continue;
                }
                self.seq = self.seq.wrapping_add(data.len() as u32);
                self.ack = segment.end();
                self.is_closed = segment.flags.fin;
                self.check_response(request, &packet.data);
                return Outcome::Served;
            }
        }
        Outcome::TimedOut
    }

    fn check_response(&mut self, request: Request, response: &[u8]) {
        let ledger = &self.host.context.ledger;
        if Request::decode(response) != Some(request) {
            ledger.record_breach("answer to another request", self.flow_key);
        }
        let server = backend::responding_server(response);
        if self.server.is_some() && self.server != server {
            ledger.record_breach("flow changed its server", self.flow_key);
        }
        self.server = server;
    }

    fn handle_reset(&self, author: Author) -> Outcome {
        if author == Author::System
            && let Some(server) = self.server
        {
            let ledger = &self.host.context.ledger;
            ledger.open_flow_reset(server, &self.flow_key.to_string());
        }
        Outcome::Refused
    }

    async fn close(&mut self) {
        self.send(FIN | ACK, b"").await;
    }
}

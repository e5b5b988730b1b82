//! Callers: they open flows, keep them or not, and check every answer.

use std::collections::HashMap;
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

/// When an opening packet is repeated, and when the try ends.
const OPENING: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// First pause before data is repeated; it doubles up to the longest.
const REPEAT: Duration = Duration::from_millis(200);
/// Longest pause before data is repeated.
const LONGEST_REPEAT: Duration = Duration::from_millis(1_600);

/// Time for a request.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Tries of a request that may be repeated.
const TRIES: u32 = 3;

/// What the callers of a run share.
pub struct Shared {
    /// The routers.
    pub router: Arc<Router>,
    /// The ledger.
    pub ledger: Arc<Ledger>,
    /// Next identity of a request.
    pub requests: Arc<AtomicU64>,
}

/// What a caller's socket gets, by the caller's port.
type Inbox = mpsc::UnboundedSender<(Segment, Vec<u8>, Author)>;

/// One caller's address.
pub struct Host {
    socket: UdpSocket,
    inboxes: Mutex<HashMap<u16, Inbox>>,
    shared: Arc<Shared>,
    address: SocketAddrV4,
    ports: AtomicU64,
}

impl Host {
    /// A caller at an address.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn new(address: SocketAddrV4, shared: Arc<Shared>) -> Result<Arc<Self>> {
        let host = Arc::new(Self {
            socket: net::bind(address).await?,
            inboxes: Mutex::default(),
            shared,
            address,
            ports: AtomicU64::new(1_024),
        });
        tokio::spawn(receive(Arc::clone(&host)));
        Ok(host)
    }

    /// Uses a route until the run ends: some flows for many requests, some for
    /// one.
    pub async fn use_route(self: Arc<Self>, service: SocketAddrV4, is_long: bool, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut flow = None;
        loop {
            let pause = random.random_range(20..300);
            time::sleep(Duration::from_millis(pause)).await;
            flow = self.request(service, is_long, flow.take()).await;
        }
    }

    /// Opens flows to a route that comes and goes until the run ends. Which
    /// configuration is in force shows in where they open; nothing is asked.
    pub async fn try_route(self: Arc<Self>, service: SocketAddrV4, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        loop {
            let pause = random.random_range(100..600);
            time::sleep(Duration::from_millis(pause)).await;
            let deadline = Instant::now() + DEADLINE;
            if let Ok(mut flow) = Flow::open(&self, service, deadline).await {
                flow.finish().await;
            }
        }
    }

    /// Sends a request, with retries where it may be repeated; gives back the
    /// flow if it goes on.
    async fn request(
        self: &Arc<Self>,
        service: SocketAddrV4,
        is_long: bool,
        mut flow: Option<Flow>,
    ) -> Option<Flow> {
        let request = Request {
            id: self.shared.requests.fetch_add(1, Ordering::Relaxed),
            may_repeat: is_long,
        };
        let deadline = Instant::now() + DEADLINE;
        for _ in 0..TRIES {
            let opened = match flow.take() {
                Some(flow) => Ok(flow),
                None => Flow::open(self, service, deadline).await,
            };
            let is_opened = opened.is_ok();
            let outcome = match opened {
                Ok(mut open) => {
                    let outcome = open.ask(request, deadline).await;
                    flow = Some(open).filter(|_| outcome == Outcome::Served);
                    outcome
                }
                Err(outcome) => outcome,
            };
            let may_retry = request.may_repeat || !is_opened;
            if outcome == Outcome::Served || !may_retry || Instant::now() >= deadline {
                self.shared.ledger.settle(outcome);
                return self.keep(flow, is_long).await;
            }
        }
        self.shared.ledger.settle(Outcome::Refused);
        None
    }

    async fn keep(&self, flow: Option<Flow>, is_long: bool) -> Option<Flow> {
        let mut flow = flow?;
        if is_long && flow.asked < 200 {
            return Some(flow);
        }
        flow.finish().await;
        None
    }

    async fn send(&self, flow_key: &FlowKey, bytes: &[u8]) {
        let to = self.shared.router.pick(flow_key);
        // An instance that is gone loses its packets; they are repeated.
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
            host.shared
                .ledger
                .breach("caller got a malformed packet", from);
            continue;
        };
        let is_reset = segment.flags.rst && segment.len == 0;
        if author == Author::Altered || (author == Author::System && !is_reset) {
            host.shared
                .ledger
                .breach("caller got an altered packet", from);
            continue;
        }
        // From a server's side the caller's end is the destination.
        let port = segment.flow_key.service.port();
        let inbox = host.inboxes().get(&port).cloned();
        if let Some(inbox) = inbox {
            let _ = inbox.send((segment, bytes[HEADER_LEN..].to_vec(), author));
        }
    }
}

/// An open flow.
struct Flow {
    host: Arc<Host>,
    flow_key: FlowKey,
    inbox: mpsc::UnboundedReceiver<(Segment, Vec<u8>, Author)>,
    seq: u32,
    ack: u32,
    tag: Tag,
    /// Serial of the server, once it has answered.
    server: Option<u64>,
    asked: u32,
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
        let number = host.ports.fetch_add(1, Ordering::Relaxed);
        let port = 1_024 + (number % 60_000) as u16;
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
            asked: 0,
        };
        for (copy, pause) in OPENING.into_iter().enumerate() {
            flow.ack = copy as u32;
            flow.send(SYN, b"").await;
            let until = (Instant::now() + pause).min(deadline);
            match flow.next(until).await {
                Some((segment, _, Author::End)) if segment.flags.syn => {
                    flow.seq = flow.seq.wrapping_add(1);
                    flow.ack = segment.seq.wrapping_add(1);
                    return Ok(flow);
                }
                Some((_, _, author)) => {
                    if author == Author::System {
                        host.shared.ledger.refused(service.port());
                    }
                    return Err(Outcome::Refused);
                }
                None => {}
            }
        }
        Err(Outcome::Silent)
    }

    async fn next(&mut self, until: Instant) -> Option<(Segment, Vec<u8>, Author)> {
        let got = time::timeout_at(until, self.inbox.recv()).await;
        let (segment, data, author) = got.ok().flatten()?;
        if author == Author::End {
            self.tag = segment.tag;
        }
        Some((segment, data, author))
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

    async fn ask(&mut self, request: Request, deadline: Instant) -> Outcome {
        let data = request.encode(0);
        let mut pause = REPEAT;
        self.asked += 1;
        while Instant::now() < deadline {
            self.send(ACK, &data).await;
            let until = (Instant::now() + pause).min(deadline);
            pause = (pause * 2).min(LONGEST_REPEAT);
            while let Some((segment, answer, author)) = self.next(until).await {
                if segment.flags.rst {
                    return self.reset(author);
                }
                // Copies of what came before lie below what is expected.
                if segment.flags.syn || segment.len == 0 || segment.seq != self.ack {
                    continue;
                }
                self.seq = self.seq.wrapping_add(data.len() as u32);
                self.ack = segment.end();
                self.check(request, &answer);
                return Outcome::Served;
            }
        }
        Outcome::Silent
    }

    fn check(&mut self, request: Request, answer: &[u8]) {
        let ledger = &self.host.shared.ledger;
        if Request::decode(answer) != Some(request) {
            ledger.breach("answer to another request", self.flow_key);
        }
        let server = backend::answered_by(answer);
        if self.server.is_some() && self.server != server {
            ledger.breach("flow changed its server", self.flow_key);
        }
        self.server = server;
    }

    fn reset(&self, author: Author) -> Outcome {
        if author == Author::System
            && let Some(server) = self.server
        {
            let ledger = &self.host.shared.ledger;
            ledger.reset_open(server, &self.flow_key.to_string());
        }
        Outcome::Refused
    }

    async fn finish(&mut self) {
        self.send(FIN | ACK, b"").await;
    }
}

//! A CoAP client for tests.
//!
//! One caller is one UDP endpoint. It retransmits confirmable requests, matches
//! answers by token, acknowledges what asks for it and rejects what it did not
//! ask for, as RFC 7252 has it.

use std::collections::HashMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;
use coap_lite::RequestType;
use coap_lite::ResponseType;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

pub use crate::feed::Feed;
pub use crate::feed::Update;
use crate::lock::lock;
use crate::message;
use crate::message::MAX_DATAGRAM;
pub use crate::transfer::Download;
pub use crate::transfer::Upload;

/// Most by which the first timeout is stretched at random.
const ACK_RANDOM_FACTOR: f64 = 1.5;
/// Wait that a refusal without Max-Age stands for.
const DEFAULT_MAX_AGE: u32 = 60;

/// Where a caller calls and how patient it is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address of the service.
    pub to: SocketAddr,
    /// Its own address.
    pub bind: SocketAddr,
    /// Name of the service for the Uri-Host option, if it is to be sent.
    pub host: Option<String>,
    /// Time to the first retransmission; it doubles with each one.
    pub ack_timeout: Duration,
    /// Retransmissions of one request.
    pub max_retransmit: u32,
    /// Seed of tokens, message ids and timeouts.
    pub seed: u64,
}

impl Settings {
    /// A caller with the timing of RFC 7252 and a port from the system.
    pub fn new(to: SocketAddr) -> Self {
        Self {
            to,
            bind: (Ipv4Addr::LOCALHOST, 0).into(),
            host: None,
            ack_timeout: Duration::from_secs(2),
            max_retransmit: 4,
            seed: 0,
        }
    }
}

/// What a caller knows about its request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It was answered.
    Answered {
        /// Code of the answer.
        code: ResponseType,
        /// Payload of the answer.
        payload: Vec<u8>,
    },
    /// It was not run and may be sent anew later.
    NotRun {
        /// When to come back.
        retry_after: Duration,
    },
    /// Nobody can tell whether it was run.
    Unknown,
    /// No answer came in time.
    Silent,
}

impl Outcome {
    pub(crate) fn of(answer: &Packet) -> Self {
        let MessageClass::Response(code) = answer.header.code else {
            return Self::Silent;
        };
        match code {
            ResponseType::ServiceUnavailable => {
                let seconds = message::number(answer, CoapOption::MaxAge);
                let seconds = seconds.unwrap_or(DEFAULT_MAX_AGE);
                let retry_after = Duration::from_secs(seconds.into());
                Self::NotRun { retry_after }
            }
            ResponseType::GatewayTimeout => Self::Unknown,
            _ => Self::Answered {
                code,
                payload: answer.payload.clone(),
            },
        }
    }
}

enum Arrival {
    Acknowledged,
    Answer { at: Instant, packet: Packet },
}

struct State {
    rng: StdRng,
    message_id: u16,
    /// Exchanges that wait for answers, by token.
    waiting: HashMap<Vec<u8>, mpsc::UnboundedSender<Arrival>>,
    /// Tokens of confirmable requests, by message id.
    unacknowledged: HashMap<u16, Vec<u8>>,
}

pub(crate) struct Shared {
    settings: Settings,
    socket: UdpSocket,
    state: Mutex<State>,
}

impl Shared {
    async fn send(&self, datagram: &[u8], to: SocketAddr) {
        // A datagram that cannot be sent is a lost one.
        let _ = self.socket.send_to(datagram, to).await;
    }

    fn next_message_id(&self) -> u16 {
        let mut state = lock(&self.state);
        state.message_id = state.message_id.wrapping_add(1);
        state.message_id
    }

    /// A new token and what arrives for it.
    fn register(&self) -> (Vec<u8>, mpsc::UnboundedReceiver<Arrival>) {
        let (sender, arrivals) = mpsc::unbounded_channel();
        let mut state = lock(&self.state);
        let token = state.rng.random::<[u8; 8]>().to_vec();
        state.waiting.insert(token.clone(), sender);
        (token, arrivals)
    }

    /// Expects an acknowledgement; returns the time to the first retransmission.
    fn expect(&self, message_id: u16, token: &[u8]) -> Duration {
        let mut state = lock(&self.state);
        state.unacknowledged.insert(message_id, token.to_vec());
        let stretch = state.rng.random_range(1.0..=ACK_RANDOM_FACTOR);
        self.settings.ack_timeout.mul_f64(stretch)
    }

    /// A confirmable request, complete but for its token.
    pub(crate) fn request(&self, method: RequestType, path: &str) -> Packet {
        let mut packet = Packet::new();
        packet.header.code = MessageClass::Request(method);
        packet.header.set_type(MessageType::Confirmable);
        packet.header.message_id = self.next_message_id();
        if let Some(host) = &self.settings.host {
            packet.add_option(CoapOption::UriHost, host.clone().into());
        }
        message::set_path(&mut packet, path);
        packet
    }
}

/// One endpoint that calls one service.
pub struct Caller {
    pub(crate) shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

/// Opens a caller's socket.
///
/// # Errors
///
/// Its address cannot be bound.
pub async fn start(settings: Settings) -> io::Result<Caller> {
    let socket = UdpSocket::bind(settings.bind).await?;
    let mut rng = StdRng::seed_from_u64(settings.seed);
    let message_id = rng.random();
    let shared = Arc::new(Shared {
        settings,
        socket,
        state: Mutex::new(State {
            rng,
            message_id,
            waiting: HashMap::new(),
            unacknowledged: HashMap::new(),
        }),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(receive(shared.clone()));
    Ok(Caller {
        shared,
        _tasks: tasks,
    })
}

impl Caller {
    /// Its own address.
    ///
    /// # Errors
    ///
    /// The system does not tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.shared.socket.local_addr()
    }

    /// Sends a request and waits for its outcome.
    pub async fn request(
        &self,
        method: RequestType,
        path: &str,
        payload: impl Into<Vec<u8>>,
        deadline: Duration,
    ) -> Outcome {
        let mut exchange = self.begin(method, path, payload).await;
        exchange.outcome(deadline).await
    }

    /// Sends a request; it is retransmitted while its outcome is waited for.
    pub async fn begin(
        &self,
        method: RequestType,
        path: &str,
        payload: impl Into<Vec<u8>>,
    ) -> Exchange {
        let mut packet = self.shared.request(method, path);
        packet.payload = payload.into();
        self.exchange(packet).await
    }

    /// Sends a datagram once more as it is, to the service or another address.
    pub async fn send_copy(&self, datagram: &[u8], to: Option<SocketAddr>) {
        let to = to.unwrap_or(self.shared.settings.to);
        self.shared.send(datagram, to).await;
    }

    /// Opens a feed.
    ///
    /// # Errors
    ///
    /// The answer, if it is not the start of a feed.
    pub async fn observe(&self, path: &str, deadline: Duration) -> Result<Feed, Outcome> {
        let mut packet = self.shared.request(RequestType::Get, path);
        packet.set_observe_value(0);
        let exchange = self.exchange(packet).await;
        let mut feed = Feed::new(exchange, path);
        match feed.next(deadline).await {
            Update::Notification { .. } => Ok(feed),
            Update::Ended(outcome) => Err(outcome),
            Update::Silent => Err(Outcome::Silent),
        }
    }

    /// Prepares the upload of a body in blocks.
    pub fn upload(
        &self,
        method: RequestType,
        path: &str,
        body: impl Into<Vec<u8>>,
        block_size: usize,
    ) -> Upload<'_> {
        let tag = lock(&self.shared.state).rng.random::<[u8; 4]>();
        Upload::new(self, method, path, body.into(), block_size, tag)
    }

    /// Prepares the download of an answer in blocks.
    pub fn download(&self, path: &str) -> Download<'_> {
        Download::new(self, path)
    }

    pub(crate) async fn exchange(&self, mut packet: Packet) -> Exchange {
        let (token, arrivals) = self.shared.register();
        packet.set_token(token.clone());
        let mut exchange = Exchange {
            shared: self.shared.clone(),
            token,
            message_id: 0,
            datagram: Bytes::new(),
            arrivals,
            retransmission: None,
        };
        exchange.send(&packet).await;
        exchange
    }
}

async fn receive(shared: Arc<Shared>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((size, from)) = shared.socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Ok(packet) = Packet::from_bytes(&buffer[..size]) else {
            continue;
        };
        if let Some(reply) = take(&shared, packet)
            && let Ok(datagram) = reply.to_bytes()
        {
            shared.send(&datagram, from).await;
        }
    }
}

/// Hands a message to its exchange; returns what it has to be answered with.
fn take(shared: &Shared, packet: Packet) -> Option<Packet> {
    let message_id = packet.header.message_id;
    let kind = packet.header.get_type();
    let mut state = lock(&shared.state);
    let acknowledged = (kind == MessageType::Acknowledgement)
        .then(|| state.unacknowledged.remove(&message_id))
        .flatten();
    if packet.header.code == MessageClass::Empty {
        // The exchange may be over already.
        let _ = state
            .waiting
            .get(&acknowledged?)?
            .send(Arrival::Acknowledged);
        return None;
    }
    let waiting = state.waiting.get(packet.get_token());
    let arrival = Arrival::Answer {
        at: Instant::now(),
        packet,
    };
    let wanted = waiting.is_some_and(|sender| sender.send(arrival).is_ok());
    match (kind, wanted) {
        (MessageType::Confirmable, true) => {
            Some(message::empty(MessageType::Acknowledgement, message_id))
        }
        // A reset tells the other side to drop a feed that is not known here.
        (MessageType::Confirmable | MessageType::NonConfirmable, false) => {
            Some(message::empty(MessageType::Reset, message_id))
        }
        _ => None,
    }
}

struct Retransmission {
    at: Instant,
    wait: Duration,
    left: u32,
}

/// A request that was sent, with all answers to its token.
pub struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) token: Vec<u8>,
    message_id: u16,
    datagram: Bytes,
    arrivals: mpsc::UnboundedReceiver<Arrival>,
    /// None once the request was acknowledged or answered.
    retransmission: Option<Retransmission>,
}

impl Exchange {
    /// The datagram as it was sent.
    pub fn datagram(&self) -> Bytes {
        self.datagram.clone()
    }

    /// Waits for an answer; called again, it waits for a further one.
    pub async fn outcome(&mut self, deadline: Duration) -> Outcome {
        match self.answer(deadline).await {
            Some((packet, _)) => Outcome::of(&packet),
            None => Outcome::Silent,
        }
    }

    /// Sends a request under this exchange's token.
    pub(crate) async fn send(&mut self, packet: &Packet) {
        self.message_id = packet.header.message_id;
        // A request that is too large to be sent stays without an answer.
        self.datagram = packet.to_bytes().unwrap_or_default().into();
        let wait = self.shared.expect(self.message_id, &self.token);
        self.retransmission = Some(Retransmission {
            at: Instant::now() + wait,
            wait,
            left: self.shared.settings.max_retransmit,
        });
        self.transmit().await;
    }

    async fn transmit(&self) {
        let to = self.shared.settings.to;
        self.shared.send(&self.datagram, to).await;
    }

    /// The next answer and when it came.
    pub(crate) async fn answer(&mut self, deadline: Duration) -> Option<(Packet, Instant)> {
        let end = Instant::now() + deadline;
        loop {
            let resend = self.retransmission.as_ref().filter(|next| next.left > 0);
            let until = resend.map_or(end, |next| next.at.min(end));
            match time::timeout_at(until, self.arrivals.recv()).await {
                Ok(arrival) => {
                    self.retransmission = None;
                    if let Arrival::Answer { at, packet } = arrival? {
                        return Some((packet, at));
                    }
                }
                Err(_) if until == end => return None,
                Err(_) => self.retransmit().await,
            }
        }
    }

    async fn retransmit(&mut self) {
        if let Some(next) = &mut self.retransmission {
            next.left -= 1;
            next.wait *= 2;
            next.at = Instant::now() + next.wait;
        }
        self.transmit().await;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        state.waiting.remove(&self.token);
        state.unacknowledged.remove(&self.message_id);
    }
}

/// Time left until then.
pub(crate) fn left(end: Instant) -> Duration {
    end.saturating_duration_since(Instant::now())
}

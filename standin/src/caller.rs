//! A CoAP client for tests.
//!
//! Each caller is one UDP endpoint. As RFC 7252 requires, it retransmits confirmable
//! requests, matches answers by token, acknowledges confirmable answers and rejects
//! answers that match no request.

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

/// Upper bound of the random factor applied to the first timeout (RFC 7252).
const ACK_RANDOM_FACTOR: f64 = 1.5;
/// Retry delay in seconds that a refusal without a Max-Age option implies.
const DEFAULT_MAX_AGE: u32 = 60;

/// Address, timing and random seed of a caller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the service.
    pub to: SocketAddr,
    /// Local address to bind.
    pub bind: SocketAddr,
    /// Name of the service for the Uri-Host option; none leaves the option out.
    pub host: Option<String>,
    /// Time until the first retransmission; it doubles with each one.
    pub ack_timeout: Duration,
    /// Maximum number of retransmissions of a request.
    pub max_retransmit: u32,
    /// Seed of the random tokens, message IDs and timeouts.
    pub seed: u64,
}

impl Settings {
    /// Settings with the timing of RFC 7252 and an ephemeral port.
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

/// Outcome of a request as the caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The request was answered.
    Answered {
        /// Code of the answer.
        code: ResponseType,
        /// Payload of the answer.
        payload: Vec<u8>,
    },
    /// The request was not executed and may be sent again later.
    NotRun {
        /// Time to wait before sending it again.
        retry_after: Duration,
    },
    /// It is unknown whether the request was executed.
    Unknown,
    /// No answer arrived in time.
    Silent,
}

impl Outcome {
    pub(crate) fn from_answer(answer: &Packet) -> Self {
        let MessageClass::Response(code) = answer.header.code else {
            return Self::Silent;
        };
        match code {
            ResponseType::ServiceUnavailable => {
                let seconds = message::uint_option(answer, CoapOption::MaxAge);
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

enum Incoming {
    Acknowledged,
    Answer { at: Instant, packet: Packet },
}

struct State {
    rng: StdRng,
    last_message_id: u16,
    /// Channels of the exchanges that wait for answers, by token.
    exchanges: HashMap<Vec<u8>, mpsc::UnboundedSender<Incoming>>,
    /// Tokens of unacknowledged confirmable requests, by message ID.
    unacknowledged: HashMap<u16, Vec<u8>>,
}

pub(crate) struct Shared {
    settings: Settings,
    socket: UdpSocket,
    state: Mutex<State>,
}

impl Shared {
    async fn send(&self, datagram: &[u8], to: SocketAddr) {
        // A failed send counts as a lost datagram.
        let _ = self.socket.send_to(datagram, to).await;
    }

    fn next_message_id(&self) -> u16 {
        let mut state = lock(&self.state);
        state.last_message_id = state.last_message_id.wrapping_add(1);
        state.last_message_id
    }

    /// Registers a new token; returns it with the receiver of its incoming messages.
    fn register_token(&self) -> (Vec<u8>, mpsc::UnboundedReceiver<Incoming>) {
        let (sender, incoming) = mpsc::unbounded_channel();
        let mut state = lock(&self.state);
        let token = state.rng.random::<[u8; 8]>().to_vec();
        state.exchanges.insert(token.clone(), sender);
        (token, incoming)
    }

    /// Expects an acknowledgement; returns the time until the first retransmission.
    fn expect_acknowledgement(&self, message_id: u16, token: &[u8]) -> Duration {
        let mut state = lock(&self.state);
        state.unacknowledged.insert(message_id, token.to_vec());
        let factor = state.rng.random_range(1.0..=ACK_RANDOM_FACTOR);
        self.settings.ack_timeout.mul_f64(factor)
    }

    /// Builds a confirmable request without a token.
    pub(crate) fn request(&self, method: RequestType, path: &str) -> Packet {
        let mut packet = Packet::new();
        packet.header.code = MessageClass::Request(method);
        packet.header.set_type(MessageType::Confirmable);
        packet.header.message_id = self.next_message_id();
        if let Some(host) = &self.settings.host {
            packet.add_option(CoapOption::UriHost, host.clone().into());
        }
        message::set_uri_path(&mut packet, path);
        packet
    }
}

/// A UDP endpoint that sends requests to one service.
pub struct Caller {
    pub(crate) shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

/// Opens a caller's socket.
///
/// # Errors
///
/// The local address cannot be bound.
pub async fn start(settings: Settings) -> io::Result<Caller> {
    let socket = UdpSocket::bind(settings.bind).await?;
    let mut rng = StdRng::seed_from_u64(settings.seed);
    let last_message_id = rng.random();
    let shared = Arc::new(Shared {
        settings,
        socket,
        state: Mutex::new(State {
            rng,
            last_message_id,
            exchanges: HashMap::new(),
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
    /// The local address.
    ///
    /// # Errors
    ///
    /// The operating system does not report it.
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

    /// Sends a request. It is retransmitted only while [`Exchange::outcome`] runs.
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

    /// Sends a datagram again unchanged, to the service or to another address.
    pub async fn send_copy(&self, datagram: &[u8], to: Option<SocketAddr>) {
        let to = to.unwrap_or(self.shared.settings.to);
        self.shared.send(datagram, to).await;
    }

    /// Opens a feed (RFC 7641).
    ///
    /// # Errors
    ///
    /// The outcome, if the answer does not open a feed or does not arrive in time.
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

    /// Prepares a block-wise upload.
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

    /// Prepares a block-wise download.
    pub fn download(&self, path: &str) -> Download<'_> {
        Download::new(self, path)
    }

    pub(crate) async fn exchange(&self, mut packet: Packet) -> Exchange {
        let (token, incoming) = self.shared.register_token();
        packet.set_token(token.clone());
        let mut exchange = Exchange {
            shared: self.shared.clone(),
            token,
            message_id: 0,
            datagram: Bytes::new(),
            incoming,
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
        if let Some(reply) = dispatch(&shared, packet)
            && let Ok(datagram) = reply.to_bytes()
        {
            shared.send(&datagram, from).await;
        }
    }
}

/// Passes a message to its exchange; returns the acknowledgement or reset to send back.
fn dispatch(shared: &Shared, packet: Packet) -> Option<Packet> {
    let message_id = packet.header.message_id;
    let kind = packet.header.get_type();
    let mut state = lock(&shared.state);
    let acknowledged = (kind == MessageType::Acknowledgement)
        .then(|| state.unacknowledged.remove(&message_id))
        .flatten();
    if packet.header.code == MessageClass::Empty {
        // The exchange may have ended already.
        let _ = state
            .exchanges
            .get(&acknowledged?)?
            .send(Incoming::Acknowledged);
        return None;
    }
    let exchange = state.exchanges.get(packet.get_token());
    let message = Incoming::Answer {
        at: Instant::now(),
        packet,
    };
    let is_expected = exchange.is_some_and(|sender| sender.send(message).is_ok());
    match (kind, is_expected) {
        (MessageType::Confirmable, true) => Some(message::empty_message(
            MessageType::Acknowledgement,
            message_id,
        )),
        // The reset makes the sender remove an observation that this caller does not know.
        (MessageType::Confirmable | MessageType::NonConfirmable, false) => {
            Some(message::empty_message(MessageType::Reset, message_id))
        }
        _ => None,
    }
}

struct Retransmission {
    at: Instant,
    timeout: Duration,
    retries_left: u32,
}

/// A sent request with all answers to its token.
pub struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) token: Vec<u8>,
    message_id: u16,
    datagram: Bytes,
    incoming: mpsc::UnboundedReceiver<Incoming>,
    /// None once the request has been acknowledged or answered.
    retransmission: Option<Retransmission>,
}

impl Exchange {
    /// The encoded datagram of the request.
    pub fn datagram(&self) -> Bytes {
        self.datagram.clone()
    }

    /// Waits for an answer; each further call waits for another one.
    pub async fn outcome(&mut self, deadline: Duration) -> Outcome {
        match self.answer(deadline).await {
            Some((packet, _)) => Outcome::from_answer(&packet),
            None => Outcome::Silent,
        }
    }

    /// Sends a request under this exchange's token.
    pub(crate) async fn send(&mut self, packet: &Packet) {
        self.message_id = packet.header.message_id;
        // A request that cannot be encoded is sent empty and gets no answer.
        self.datagram = packet.to_bytes().unwrap_or_default().into();
        let timeout = self
            .shared
            .expect_acknowledgement(self.message_id, &self.token);
        self.retransmission = Some(Retransmission {
            at: Instant::now() + timeout,
            timeout,
            retries_left: self.shared.settings.max_retransmit,
        });
        self.transmit().await;
    }

    async fn transmit(&self) {
        let to = self.shared.settings.to;
        self.shared.send(&self.datagram, to).await;
    }

    /// Waits for the next answer; returns it with its time of arrival.
    pub(crate) async fn answer(&mut self, deadline: Duration) -> Option<(Packet, Instant)> {
        let end = Instant::now() + deadline;
        loop {
            let pending = self
                .retransmission
                .as_ref()
                .filter(|next| next.retries_left > 0);
            let wake_at = pending.map_or(end, |next| next.at.min(end));
            match time::timeout_at(wake_at, self.incoming.recv()).await {
                Ok(message) => {
                    self.retransmission = None;
                    if let Incoming::Answer { at, packet } = message? {
                        return Some((packet, at));
                    }
                }
                Err(_) if wake_at == end => return None,
                Err(_) => self.retransmit().await,
            }
        }
    }

    async fn retransmit(&mut self) {
        if let Some(next) = &mut self.retransmission {
            next.retries_left -= 1;
            next.timeout *= 2;
            next.at = Instant::now() + next.timeout;
        }
        self.transmit().await;
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        state.exchanges.remove(&self.token);
        state.unacknowledged.remove(&self.message_id);
    }
}

/// Time remaining until `end`.
pub(crate) fn time_left(end: Instant) -> Duration {
    end.saturating_duration_since(Instant::now())
}

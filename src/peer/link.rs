//! Sockets between entry instances.
//!
//! One UDP socket carries single messages. The TCP port of the same number
//! serves copies of the configuration to peers that are behind.
//!
//! What an instance says to a peer of its own accord has a budget of bytes per
//! second. Loads in heartbeats give way first, then copies of the configuration;
//! signs of life and hand-overs always go out. What belongs to a caller's request
//! or feed is not counted: it grows with the traffic and not with the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::metric::Direction;
use crate::metric::Metrics;
use crate::peer::ConfigRequest;
use crate::peer::ConfigResponse;
use crate::peer::Heartbeat;
use crate::peer::PeerMessage;
use crate::peer::member::MembershipView;
use crate::peer::wire;
use crate::peer::wire::Envelope;
use crate::peer::wire::Frame;
use crate::peer::wire::Keys;
use crate::peer::wire::MAX_FRAME;
use crate::peer::wire::ReplayGuard;
use crate::platform::rate_limit::Rate;
use crate::platform::rate_limit::TokenBucket;

/// Time for one exchange of configuration with a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// The sending side, shared by workers and control task.
///
/// Lock order: `addresses`, `guard` and `budgets` are leaves, not held while
/// sending.
#[derive(Debug)]
pub(crate) struct Link {
    me: id::Holder,
    keys: Keys,
    socket: UdpSocket,
    sequence: AtomicU64,
    addresses: RwLock<HashMap<id::Holder, SocketAddr>>,
    guard: Mutex<ReplayGuard>,
    rate: Rate,
    budgets: Mutex<HashMap<SocketAddr, TokenBucket>>,
    metrics: Arc<Metrics>,
}

impl Link {
    pub(crate) fn new(
        me: id::Holder,
        keys: Keys,
        socket: UdpSocket,
        rate: Rate,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            me,
            keys,
            socket,
            sequence: AtomicU64::new(0),
            addresses: RwLock::default(),
            guard: Mutex::default(),
            rate,
            budgets: Mutex::default(),
            metrics,
        }
    }

    /// Takes the addresses of a new view.
    pub(crate) fn update_addresses(&self, view: &MembershipView) {
        let addresses = view
            .known
            .values()
            .map(|member| (member.holder.clone(), member.address.0));
        if let Ok(mut known) = self.addresses.write() {
            *known = addresses.collect();
        }
        let now = Instant::now();
        self.budgets().retain(|_, bucket| !bucket.is_full(now));
    }

    fn budgets(&self) -> MutexGuard<'_, HashMap<SocketAddr, TokenBucket>> {
        self.budgets.lock().unwrap_or_else(|lock| lock.into_inner())
    }

    /// Spends from the budget of one peer.
    fn spend<T>(&self, peer: SocketAddr, spend: impl FnOnce(&mut TokenBucket, Instant) -> T) -> T {
        let now = Instant::now();
        let mut budgets = self.budgets();
        let bucket = budgets.entry(peer);
        spend(
            bucket.or_insert_with(|| TokenBucket::new(self.rate, now)),
            now,
        )
    }

    /// Sends a message to a life of an instance; dropped if it is not known.
    pub(crate) fn send(&self, to: &id::Holder, body: PeerMessage) {
        if let Some(address) = self.address(to) {
            self.send_to(address, to.instance.as_str(), body);
        }
    }

    fn address(&self, holder: &id::Holder) -> Option<SocketAddr> {
        let addresses = self.addresses.read().ok()?;
        addresses.get(holder).copied()
    }

    /// Sends a message to an address; the receiver's name may be unknown.
    pub(crate) fn send_to(&self, address: SocketAddr, to: &str, body: PeerMessage) {
        let kind = body.kind();
        let frame = match body {
            PeerMessage::Heartbeat(message) => self.seal_heartbeat(address, to, message),
            PeerMessage::TakeoverRequest(_) => self.seal_essential(address, to, body),
            _ => self.sign_frame(to, body),
        };
        self.metrics
            .peer_message(kind, Direction::Sent, frame.len());
        // A datagram that cannot be sent is like one that is lost on the way.
        let _ = self.socket.send_to(&frame, address);
    }

    /// A heartbeat, without its loads if the budget has no room for them. A missing
    /// sign of life would make the peer suspect this instance and take its slices;
    /// loads that are a second older only make its choices a little worse.
    fn seal_heartbeat(&self, address: SocketAddr, to: &str, message: Heartbeat) -> Vec<u8> {
        let bare = Heartbeat {
            loads: None,
            loads_omitted: true,
            ..message.clone()
        };
        let frame = self.sign_frame(to, PeerMessage::Heartbeat(message));
        if self.spend(address, |bucket, now| bucket.take_many(frame.len(), now)) {
            return frame;
        }
        self.metrics.peer_withheld("heartbeat");
        self.seal_essential(address, to, PeerMessage::Heartbeat(bare))
    }

    /// A message that goes out whatever the budget.
    fn seal_essential(&self, address: SocketAddr, to: &str, body: PeerMessage) -> Vec<u8> {
        let frame = self.sign_frame(to, body);
        self.spend(address, |bucket, now| {
            bucket.take_available(frame.len(), now)
        });
        frame
    }

    /// Pays for one side of a copy, or refuses until the last one is paid off.
    fn pay(&self, address: SocketAddr, kind: &'static str, bytes: usize) -> Result<()> {
        if self.spend(address, |bucket, now| bucket.take_on_credit(bytes, now)) {
            self.metrics.peer_message(kind, Direction::Sent, bytes);
            return Ok(());
        }
        self.metrics.peer_withheld(kind);
        Err(Error::Exhausted {
            step: "copy of the configuration",
            peer: address.to_string(),
            rate: self.rate,
        })
    }

    fn sign_frame(&self, to: &str, body: PeerMessage) -> Vec<u8> {
        let envelope = Envelope {
            from: self.me.to_string(),
            to: to.to_owned(),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            body: Some(body),
        };
        wire::sign_frame(&self.keys, &envelope)
    }

    /// Checks a received frame: key, receiver, and that it is not a replay.
    pub(crate) fn verify_frame(&self, peer: SocketAddr, frame: &[u8]) -> Result<Frame> {
        let opened = wire::verify_frame(&self.keys, &self.me.instance, &peer.to_string(), frame)?;
        let mut guard = self.guard.lock().unwrap_or_else(|lock| lock.into_inner());
        if !guard.admit(&opened.from, opened.sequence) {
            return Err(Error::Decode {
                step: "peer frame",
                peer: peer.to_string(),
                reason: "sent before".to_owned(),
            });
        }
        drop(guard);
        self.metrics
            .peer_message(opened.body.kind(), Direction::Received, frame.len());
        Ok(opened)
    }

    /// Asks a peer for everything newer than what is here.
    pub(crate) async fn pull(
        &self,
        peer: SocketAddr,
        have: ConfigRequest,
    ) -> Result<ConfigResponse> {
        let exchange = async {
            let frame = self.sign_frame("", PeerMessage::ConfigRequest(have));
            self.pay(peer, "pull", frame.len())?;
            let stream = TcpStream::connect(peer).await.map_err(|e| io(peer, e))?;
            let mut framed = framed(stream);
            framed
                .send(Bytes::from(frame))
                .await
                .map_err(|e| io(peer, e))?;
            let answer = framed
                .next()
                .await
                .ok_or_else(|| unanswered(peer, "closed"))?;
            let answer = answer.map_err(|e| io(peer, e))?;
            match self.verify_frame(peer, &answer)?.body {
                PeerMessage::ConfigResponse(push) => Ok(push),
                _ => Err(unanswered(peer, "another message")),
            }
        };
        let answer = timeout(PULL_TIMEOUT, exchange).await;
        answer.unwrap_or_else(|_| Err(unanswered(peer, "timeout")))
    }

    /// Serves one peer's question from `copies`, which returns what is newer.
    pub(crate) async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        copies: impl Fn(ConfigRequest) -> ConfigResponse,
    ) -> Result<()> {
        let exchange = async {
            let mut framed = framed(stream);
            let question = framed
                .next()
                .await
                .ok_or_else(|| unanswered(peer, "closed"))?;
            let question = question.map_err(|e| io(peer, e))?;
            let frame = self.verify_frame(peer, &question)?;
            let PeerMessage::ConfigRequest(pull) = frame.body else {
                return Err(unanswered(peer, "another message"));
            };
            let push = copies(pull);
            let answer = self.sign_frame(
                frame.from.instance.as_str(),
                PeerMessage::ConfigResponse(push),
            );
            let address = self.address(&frame.from).unwrap_or(peer);
            self.pay(address, "push", answer.len())?;
            framed
                .send(Bytes::from(answer))
                .await
                .map_err(|e| io(peer, e))
        };
        let served = timeout(PULL_TIMEOUT, exchange).await;
        served.unwrap_or_else(|_| Err(unanswered(peer, "timeout")))
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec();
    Framed::new(stream, codec)
}

fn io(peer: SocketAddr, source: std::io::Error) -> Error {
    Error::Io {
        step: "copy of the configuration",
        peer: peer.to_string(),
        source,
    }
}

fn unanswered(peer: SocketAddr, reason: &str) -> Error {
    Error::Unanswered {
        step: "copy of the configuration",
        peer: peer.to_string(),
        reason: reason.to_owned(),
    }
}

//! Sockets between instances.
//!
//! One UDP socket carries single messages. The TCP port of the same number serves copies
//! of the configuration to peers with older entries.
//!
//! Control traffic to each peer has a budget of bytes per second. When it is exhausted,
//! loads in heartbeats are omitted and copies of the configuration are refused, while
//! heartbeats themselves and takeover requests are always sent. Messages for a caller's
//! request or feed are not counted: they grow with the traffic, not with the fleet.

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

/// Timeout of one configuration exchange with a peer.
const CONFIG_EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends and verifies messages; shared by the workers and the control task.
///
/// Lock order: no other lock is acquired while `addresses`, `replay_guard` or `budgets`
/// is held, and none of them is held while sending.
#[derive(Debug)]
pub(crate) struct Link {
    me: id::Holder,
    keys: Keys,
    socket: UdpSocket,
    sequence: AtomicU64,
    addresses: RwLock<HashMap<id::Holder, SocketAddr>>,
    replay_guard: Mutex<ReplayGuard>,
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
            replay_guard: Mutex::default(),
            rate,
            budgets: Mutex::default(),
            metrics,
        }
    }

    /// Updates the addresses of the peers from a new membership view.
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

    /// Charges the byte budget of one peer.
    fn charge<T>(
        &self,
        peer: SocketAddr,
        charge: impl FnOnce(&mut TokenBucket, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut budgets = self.budgets();
        let bucket = budgets.entry(peer);
        charge(
            bucket.or_insert_with(|| TokenBucket::new(self.rate, now)),
            now,
        )
    }

    /// Sends a message to an incarnation of an instance; dropped if its address is unknown.
    pub(crate) fn send(&self, to: &id::Holder, body: PeerMessage) {
        if let Some(address) = self.address(to) {
            self.send_to(address, to.instance.as_str(), body);
        }
    }

    fn address(&self, holder: &id::Holder) -> Option<SocketAddr> {
        let addresses = self.addresses.read().ok()?;
        addresses.get(holder).copied()
    }

    /// Sends a message to an address; `to` is empty if the receiver's name is unknown.
    pub(crate) fn send_to(&self, address: SocketAddr, to: &str, body: PeerMessage) {
        let kind = body.kind();
        let frame = match body {
            PeerMessage::Heartbeat(message) => self.sign_heartbeat(address, to, message),
            PeerMessage::TakeoverRequest(_) => self.sign_essential(address, to, body),
            _ => self.sign_frame(to, body),
        };
        self.metrics
            .peer_message(kind, Direction::Sent, frame.len());
        // A failed send has the same effect as a lost datagram, which the protocol tolerates.
        let _ = self.socket.send_to(&frame, address);
    }

    /// Signs a heartbeat; omits its loads if the budget is exhausted. Without a heartbeat
    /// the peer would suspect this instance and take over its slices, while loads that are
    /// a second older only make its server selection slightly worse.
    fn sign_heartbeat(&self, address: SocketAddr, to: &str, message: Heartbeat) -> Vec<u8> {
        let without_loads = Heartbeat {
            loads: None,
            loads_omitted: true,
            ..message.clone()
        };
        let frame = self.sign_frame(to, PeerMessage::Heartbeat(message));
        if self.charge(address, |bucket, now| bucket.take_many(frame.len(), now)) {
            return frame;
        }
        self.metrics.peer_withheld("heartbeat");
        self.sign_essential(address, to, PeerMessage::Heartbeat(without_loads))
    }

    /// Signs a message that is sent even if the budget is exhausted.
    fn sign_essential(&self, address: SocketAddr, to: &str, body: PeerMessage) -> Vec<u8> {
        let frame = self.sign_frame(to, body);
        self.charge(address, |bucket, now| {
            bucket.take_available(frame.len(), now)
        });
        frame
    }

    /// Charges one side of a configuration exchange to the budget; fails while the budget is
    /// still in debt from an earlier exchange.
    fn charge_exchange(&self, address: SocketAddr, kind: &'static str, bytes: usize) -> Result<()> {
        if self.charge(address, |bucket, now| bucket.take_on_credit(bytes, now)) {
            self.metrics.peer_message(kind, Direction::Sent, bytes);
            return Ok(());
        }
        self.metrics.peer_withheld(kind);
        Err(Error::Exhausted {
            step: "configuration exchange",
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

    /// Verifies a received frame: its MAC, its receiver, and that it is not a replay.
    pub(crate) fn verify_frame(&self, peer: SocketAddr, frame: &[u8]) -> Result<Frame> {
        let verified = wire::verify_frame(&self.keys, &self.me.instance, &peer.to_string(), frame)?;
        let mut guard = self
            .replay_guard
            .lock()
            .unwrap_or_else(|lock| lock.into_inner());
        if !guard.admit(&verified.from, verified.sequence) {
            return Err(Error::Decode {
                step: "peer frame",
                peer: peer.to_string(),
                reason: "frame was received before".to_owned(),
            });
        }
        drop(guard);
        self.metrics
            .peer_message(verified.body.kind(), Direction::Received, frame.len());
        Ok(verified)
    }

    /// Requests the entries that are newer than `known` from a peer.
    pub(crate) async fn request_config(
        &self,
        peer: SocketAddr,
        known: ConfigRequest,
    ) -> Result<ConfigResponse> {
        let exchange = async {
            let frame = self.sign_frame("", PeerMessage::ConfigRequest(known));
            self.charge_exchange(peer, "pull", frame.len())?;
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
                PeerMessage::ConfigResponse(response) => Ok(response),
                _ => Err(unanswered(peer, "unexpected message type")),
            }
        };
        let answer = timeout(CONFIG_EXCHANGE_TIMEOUT, exchange).await;
        answer.unwrap_or_else(|_| Err(unanswered(peer, "timeout")))
    }

    /// Answers one configuration request with the entries that `newer_entries` returns.
    pub(crate) async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        newer_entries: impl Fn(ConfigRequest) -> ConfigResponse,
    ) -> Result<()> {
        let exchange = async {
            let mut framed = framed(stream);
            let request_frame = framed
                .next()
                .await
                .ok_or_else(|| unanswered(peer, "closed"))?;
            let request_frame = request_frame.map_err(|e| io(peer, e))?;
            let frame = self.verify_frame(peer, &request_frame)?;
            let PeerMessage::ConfigRequest(request) = frame.body else {
                return Err(unanswered(peer, "unexpected message type"));
            };
            let response = newer_entries(request);
            let answer = self.sign_frame(
                frame.from.instance.as_str(),
                PeerMessage::ConfigResponse(response),
            );
            let address = self.address(&frame.from).unwrap_or(peer);
            self.charge_exchange(address, "push", answer.len())?;
            framed
                .send(Bytes::from(answer))
                .await
                .map_err(|e| io(peer, e))
        };
        let served = timeout(CONFIG_EXCHANGE_TIMEOUT, exchange).await;
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
        step: "configuration exchange",
        peer: peer.to_string(),
        source,
    }
}

fn unanswered(peer: SocketAddr, reason: &str) -> Error {
    Error::Unanswered {
        step: "configuration exchange",
        peer: peer.to_string(),
        reason: reason.to_owned(),
    }
}

//! Sockets between entry instances.
//!
//! One UDP socket carries single messages. The TCP port of the same number
//! serves copies of the configuration to peers that are behind.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::member::View;
use crate::metric::Direction;
use crate::metric::Metrics;
use crate::peer::Body;
use crate::peer::Pull;
use crate::peer::Push;
use crate::wire;
use crate::wire::Envelope;
use crate::wire::Frame;
use crate::wire::Guard;
use crate::wire::Keys;
use crate::wire::MAX_FRAME;

/// Time for one exchange of configuration with a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// The sending side, shared by workers and control task.
///
/// Lock order: `addresses` and `guard` are leaves, not held while sending.
#[derive(Debug)]
pub(crate) struct Link {
    me: id::Holder,
    keys: Keys,
    socket: UdpSocket,
    sequence: AtomicU64,
    addresses: RwLock<HashMap<id::Holder, SocketAddr>>,
    guard: Mutex<Guard>,
    metrics: Arc<Metrics>,
}

impl Link {
    pub(crate) fn new(
        me: id::Holder,
        keys: Keys,
        socket: UdpSocket,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            me,
            keys,
            socket,
            sequence: AtomicU64::new(0),
            addresses: RwLock::default(),
            guard: Mutex::default(),
            metrics,
        }
    }

    /// Takes the addresses of a new view.
    pub(crate) fn learn(&self, view: &View) {
        let addresses = view
            .known
            .values()
            .map(|member| (member.holder.clone(), member.address.0));
        if let Ok(mut known) = self.addresses.write() {
            *known = addresses.collect();
        }
    }

    /// Sends a message to a life of an instance; dropped if it is not known.
    pub(crate) fn send(&self, to: &id::Holder, body: Body) {
        let address = self.addresses.read().ok();
        let address = address.and_then(|known| known.get(to).copied());
        if let Some(address) = address {
            self.send_to(address, to.instance.as_str(), body);
        }
    }

    /// Sends a message to an address; the receiver's name may be unknown.
    pub(crate) fn send_to(&self, address: SocketAddr, to: &str, body: Body) {
        let kind = body.kind();
        let frame = self.seal(to, body);
        self.metrics
            .peer_message(kind, Direction::Sent, frame.len());
        // A datagram that cannot be sent is like one that is lost on the way.
        let _ = self.socket.send_to(&frame, address);
    }

    fn seal(&self, to: &str, body: Body) -> Vec<u8> {
        let envelope = Envelope {
            from: self.me.to_string(),
            to: to.to_owned(),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            body: Some(body),
        };
        wire::seal(&self.keys, &envelope)
    }

    /// Checks a received frame: key, receiver, and that it is not a replay.
    pub(crate) fn open(&self, peer: SocketAddr, frame: &[u8]) -> Result<Frame> {
        let opened = wire::open(&self.keys, &self.me.instance, &peer.to_string(), frame)?;
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
    pub(crate) async fn pull(&self, peer: SocketAddr, have: Pull) -> Result<Push> {
        let exchange = async {
            let stream = TcpStream::connect(peer).await.map_err(|e| io(peer, e))?;
            let mut framed = framed(stream);
            let frame = self.seal("", Body::Pull(have));
            self.metrics
                .peer_message("pull", Direction::Sent, frame.len());
            framed
                .send(Bytes::from(frame))
                .await
                .map_err(|e| io(peer, e))?;
            let answer = framed
                .next()
                .await
                .ok_or_else(|| unanswered(peer, "closed"))?;
            let answer = answer.map_err(|e| io(peer, e))?;
            match self.open(peer, &answer)?.body {
                Body::Push(push) => Ok(push),
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
        copies: impl Fn(Pull) -> Push,
    ) -> Result<()> {
        let exchange = async {
            let mut framed = framed(stream);
            let question = framed
                .next()
                .await
                .ok_or_else(|| unanswered(peer, "closed"))?;
            let question = question.map_err(|e| io(peer, e))?;
            let frame = self.open(peer, &question)?;
            let Body::Pull(pull) = frame.body else {
                return Err(unanswered(peer, "another message"));
            };
            let push = copies(pull);
            let answer = self.seal(frame.from.instance.as_str(), Body::Push(push));
            self.metrics
                .peer_message("push", Direction::Sent, answer.len());
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

//! Following another instance.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use tokio::net::TcpStream;
use tokio::time;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::replica::message;
use crate::replica::message::News;
use crate::replica::message::Subscribe;

/// Time for a connection and its first message.
///
/// Instances of a zone are a tenth of a millisecond apart, zones some
/// milliseconds. While this is tried, the copy grows older.
const JOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Silence after which the upstream is left: three heartbeats.
const SILENCE: Duration = Duration::from_millis(800);

/// A subscription that stands.
pub(crate) struct Subscription {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    peer: SocketAddrV4,
}

impl Subscription {
    /// Connects, says what is known here, and waits for the first message.
    pub(crate) async fn join(
        peer: SocketAddrV4,
        me: &id::Instance,
        horizon: Option<u64>,
    ) -> Result<(Self, News)> {
        let joining = async {
            let stream = TcpStream::connect(peer).await;
            let stream = stream.map_err(|error| unreachable(peer, &error))?;
            let framed = Framed::new(stream, message::codec());
            let mut subscription = Self { framed, peer };
            subscription.ask(me, horizon).await?;
            let news = subscription.next().await?;
            Ok((subscription, news))
        };
        let joined = time::timeout(JOIN_TIMEOUT, joining).await;
        joined.unwrap_or_else(|_| Err(lost(peer, "timed out")))
    }

    async fn ask(&mut self, me: &id::Instance, horizon: Option<u64>) -> Result<()> {
        let subscribe = Subscribe {
            instance: me.to_string(),
            horizon,
        };
        let bytes: Bytes = subscribe.encode_to_vec().into();
        let sent = self.framed.send(bytes).await;
        sent.map_err(|error| lost(self.peer, error))
    }

    /// The next message; an error when it stays away.
    pub(crate) async fn next(&mut self) -> Result<News> {
        let next = time::timeout(SILENCE, self.framed.next()).await;
        let next = next.map_err(|_| lost(self.peer, "silent"))?;
        let frame = next.ok_or_else(|| lost(self.peer, "closed"))?;
        let frame = frame.map_err(|error| lost(self.peer, error))?;
        message::decode("news from upstream", &self.peer.to_string(), frame)
    }
}

fn lost(peer: SocketAddrV4, reason: impl ToString) -> Error {
    Error::Unanswered {
        step: "subscription",
        peer: peer.to_string(),
        reason: reason.to_string(),
    }
}

fn unreachable(peer: SocketAddrV4, error: &std::io::Error) -> Error {
    Error::Unreachable {
        step: "subscription",
        peer: peer.to_string(),
        reason: error.to_string(),
    }
}

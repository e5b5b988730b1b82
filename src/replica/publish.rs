//! Serving subscribers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::Error;
use crate::error::Result;
use crate::replica::Shared;
use crate::replica::message;
use crate::replica::message::News;
use crate::replica::message::Subscribe;
use crate::replica::tree::FAN_OUT;

/// Time between two messages to a subscriber.
///
/// Four a second let a subscriber notice in under a second that its upstream is
/// gone, at about 60 bytes each, well within 2 KB/s.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(250);

/// Time for a subscriber's first message, and for it to take one of ours.
///
/// A subscriber that is frozen would otherwise hold its connection, and its
/// place among [`MOST_SUBSCRIBERS`], for ever.
const PATIENCE: Duration = Duration::from_secs(2);

/// Subscribers at most. Twice the tree's: ranks are seen differently while
/// members come and go, and instances that start without the store ask anyone.
const MOST_SUBSCRIBERS: usize = 2 * FAN_OUT;

/// Accepts subscribers until the process ends.
pub(crate) async fn publish(listener: TcpListener, shared: Arc<Shared>, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let task = serve(stream, peer, Arc::clone(&shared), log.clone());
                tokio::spawn(task);
            }
            Err(error) => {
                warn!(log, "accepting subscriber failed"; "error" => %error);
                // Out of descriptors, most likely; they come back with time.
                time::sleep(HEARTBEAT).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, peer: SocketAddr, shared: Arc<Shared>, log: Logger) {
    let count = shared.join();
    let outcome = if count > MOST_SUBSCRIBERS {
        Err(Error::Refused {
            step: "subscription",
            peer: peer.to_string(),
            reason: "too many subscribers".to_owned(),
        })
    } else {
        tell(stream, peer, &shared, &log).await
    };
    shared.leave();
    if let Err(error) = outcome {
        info!(log, "subscriber lost"; "error" => %error);
    }
}

async fn tell(stream: TcpStream, peer: SocketAddr, shared: &Shared, log: &Logger) -> Result<()> {
    let mut framed = Framed::new(stream, message::codec());
    let subscribe = read(&mut framed, peer).await?;
    info!(log, "subscriber joined"; "subscriber" => &subscribe.instance,
        "peer" => %peer, "horizon" => subscribe.horizon);
    let mut known = subscribe.horizon;
    let mut changed = shared.watch();
    let mut turn = None;
    loop {
        let needs_whole = shared.needs_whole(known);
        if needs_whole && turn.is_none() {
            turn = shared.turns.try_acquire().ok();
        }
        let is_waiting = needs_whole && turn.is_none();
        let news = if is_waiting {
            // No age: whoever is told one believes that it lacks nothing.
            News::new(None, known.unwrap_or_default(), None)
        } else {
            news(shared, known)
        };
        if !news.rows.is_empty() || news.is_everything {
            known = Some(news.revision);
        }
        send(&mut framed, peer, &news).await?;
        turn = None;
        // The copy outlives this task, so that neither the channel nor the turns
        // ever close; a change, a free turn and the pause mean the same here.
        tokio::select! {
            _ = changed.changed() => {}
            // Kept for the next round: given back, it would go to whoever waits
            // next, and so on, and nobody would ever use it.
            free = shared.turns.acquire(), if is_waiting => turn = free.ok(),
            () = time::sleep(HEARTBEAT) => {}
        }
    }
}

/// All that a subscriber lacks.
fn news(shared: &Shared, known: Option<u64>) -> News {
    let age = shared.age(Instant::now());
    let age_ms = age.map(|age| age.as_millis() as u64);
    let revision = shared.horizon().unwrap_or_default();
    News::new(shared.missing(known), revision, age_ms)
}

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

fn lost(step: &'static str, peer: SocketAddr, reason: impl ToString) -> Error {
    Error::Unanswered {
        step,
        peer: peer.to_string(),
        reason: reason.to_string(),
    }
}

async fn read(framed: &mut Stream, peer: SocketAddr) -> Result<Subscribe> {
    const STEP: &str = "subscription";
    let first = time::timeout(PATIENCE, framed.next()).await;
    let first = first.map_err(|_| lost(STEP, peer, "timed out"))?;
    let frame = first.ok_or_else(|| lost(STEP, peer, "closed"))?;
    let frame = frame.map_err(|error| lost(STEP, peer, error))?;
    message::decode(STEP, &peer.to_string(), frame)
}

async fn send(framed: &mut Stream, peer: SocketAddr, news: &News) -> Result<()> {
    const STEP: &str = "news to subscriber";
    let bytes = Bytes::from(news.encode_to_vec());
    let sent = time::timeout(PATIENCE, framed.send(bytes)).await;
    let sent = sent.map_err(|_| lost(STEP, peer, "timed out"))?;
    sent.map_err(|error| lost(STEP, peer, error))
}

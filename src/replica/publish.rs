//! Serves subscribers.

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
use crate::replica::board::MOST_REMARKS;
use crate::replica::board::Remarks;
use crate::replica::board::TELL_EVERY;
use crate::replica::message;
use crate::replica::message::News;
use crate::replica::message::Subscribe;
use crate::replica::outbox::Outbox;
use crate::replica::pack::Base;
use crate::replica::tree::FAN_OUT;

/// Time between two messages to a subscriber.
///
/// With four messages a second, a subscriber notices in less than a second that its
/// upstream is gone. At about 60 bytes each, they stay well within 2 KB/s.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(250);

/// Time limit for a subscriber's first message, and for sending it a message.
///
/// Without it, a frozen subscriber would hold its connection, and its slot among
/// [`MAX_SUBSCRIBERS`], forever.
const PATIENCE: Duration = Duration::from_secs(2);

/// Maximum subscribers. Twice the fan-out of the tree: instances see ranks differently
/// while members join and leave, and an instance that starts without the store asks any
/// other.
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
                // Most likely out of file descriptors, which become available again with time.
                time::sleep(HEARTBEAT).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, peer: SocketAddr, shared: Arc<Shared>, log: Logger) {
    let mut framed = Framed::new(stream, message::codec());
    let outcome = match read(&mut framed, peer).await {
        Ok(subscribe) if subscribe.is_look => answer_look(&mut framed, peer, &shared).await,
        Ok(subscribe) => admit(&mut framed, peer, &subscribe, &shared, &log).await,
        Err(error) => Err(error),
    };
    if let Err(error) = outcome {
        info!(log, "subscriber lost"; "error" => %error);
    }
}

/// Answers a liveness probe.
async fn answer_look(framed: &mut Stream, peer: SocketAddr, shared: &Shared) -> Result<()> {
    let news = News {
        is_leaving: shared.is_leaving(),
        is_withdrawn: shared.is_withdrawn(),
        ..News::default()
    };
    send(framed, peer, &news).await
}

/// Serves a subscriber if there is capacity for it.
async fn admit(
    framed: &mut Stream,
    peer: SocketAddr,
    subscribe: &Subscribe,
    shared: &Arc<Shared>,
    log: &Logger,
) -> Result<()> {
    let count = shared.join();
    let outcome = if count > MOST_SUBSCRIBERS {
        Err(Error::Refused {
            step: "subscription",
            peer: peer.to_string(),
            reason: "too many subscribers".to_owned(),
        })
    } else {
        tell(framed, peer, subscribe, shared, log).await
    };
    shared.leave();
    outcome
}

async fn tell(
    framed: &mut Stream,
    peer: SocketAddr,
    subscribe: &Subscribe,
    shared: &Arc<Shared>,
    log: &Logger,
) -> Result<()> {
    info!(log, "subscriber joined"; "subscriber" => &subscribe.instance,
        "peer" => %peer, "horizon" => subscribe.horizon, "held" => subscribe.held.len());
    introduce(subscribe, shared, log);
    let subscriber = shared.board.enter();
    let mut outbox = Outbox::new(subscribe, shared.known(&subscribe.held));
    let outcome = feed(framed, peer, shared, &mut outbox, subscriber).await;
    shared.board.leave(subscriber);
    let waiting = outbox.waiting();
    if waiting.rows > 0 || waiting.bytes > 0 {
        // Distinguishes a link that is too slow from a subscriber that is gone.
        info!(log, "subscriber left behind"; "subscriber" => &subscribe.instance,
            "rows_waiting" => waiting.rows, "bytes_waiting" => waiting.bytes);
    }
    outcome
}

/// Remembers the address of a subscriber that has a copy.
///
/// An instance that loses its own copy while the store is unreachable only knows its
/// seeds, which may have lost theirs as well. Instances that followed it before
/// subscribe again and have the copy that it needs.
fn introduce(subscribe: &Subscribe, shared: &Shared, log: &Logger) {
    if subscribe.horizon.is_none() {
        return;
    }
    match subscribe.address.parse() {
        Ok(address) => shared.introduce(address),
        Err(_) => info!(log, "subscriber without an address";
            "subscriber" => &subscribe.instance, "address" => &subscribe.address),
    }
}

async fn feed(
    framed: &mut Stream,
    peer: SocketAddr,
    shared: &Arc<Shared>,
    outbox: &mut Outbox,
    subscriber: u64,
) -> Result<()> {
    let mut changed = shared.watch();
    loop {
        changed.mark_unchanged();
        let news = compose(shared, outbox, peer)?;
        let is_more = news.part.is_some();
        let has_remarks = !news.remarks.is_empty();
        send(framed, peer, &news).await?;
        if news.has_more || is_more && outbox.has_parts() {
            continue;
        }
        let pause = if has_remarks { TELL_EVERY } else { HEARTBEAT };
        let next = Instant::now() + pause;
        // A report from the subscriber must not trigger a message, since that message would
        // in turn trigger a report, without end.
        loop {
            // The copy outlives this task, so the channel never closes; a change and the end
            // of the pause are handled alike.
            tokio::select! {
                _ = changed.changed() => break,
                () = shared.pacer.rest(), if outbox.next_part().is_some() => break,
                () = time::sleep_until(next) => break,
                remarks = hear(framed, peer) => {
                    shared.board.hear_below(Instant::now(), subscriber, remarks?);
                }
            }
        }
    }
}

/// Receives a subscriber's report of request outcomes.
async fn hear(framed: &mut Stream, peer: SocketAddr) -> Result<Remarks> {
    const STEP: &str = "remarks of subscriber";
    let frame = framed
        .next()
        .await
        .ok_or_else(|| lost(STEP, peer, "closed"))?;
    let frame = frame.map_err(|error| lost(STEP, peer, error))?;
    let remarks: Remarks = message::decode(STEP, &peer.to_string(), frame)?;
    if remarks.remarks.len() > MOST_REMARKS {
        return Err(lost(STEP, peer, "too many"));
    }
    Ok(remarks)
}

/// Composes the next message; its parts are charged to the pacer.
fn compose(shared: &Shared, outbox: &mut Outbox, peer: SocketAddr) -> Result<News> {
    let now = Instant::now();
    let age_ms = shared.age(now).map(|age| age.as_millis() as u64);
    let pack = |value: &Base, base: Option<&Base>| shared.shelf.pack(value, base);
    let may_send = |bytes: usize| shared.pacer.may_send(bytes, now);
    let news = shared.look(|copy| outbox.compose(copy, age_ms, &pack, may_send));
    let mut news = news.map_err(|error| lost("packing for subscriber", peer, error))?;
    news.remarks = shared.board.zone(now);
    news.is_detour = shared.is_detour();
    news.is_leaving = shared.is_leaving();
    let packed = news.pack_rows();
    packed.map_err(|error| lost("packing for subscriber", peer, error))?;
    let rows: usize = news.rows.iter().map(Message::encoded_len).sum();
    let packed = news.packed.as_ref().map_or(0, Message::encoded_len);
    shared.pacer.count(rows + packed, now);
    Ok(news)
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

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
use crate::replica::SharedCopy;
use crate::replica::message;
use crate::replica::message::News;
use crate::replica::message::Subscribe;
use crate::replica::outbox::Outbox;
use crate::replica::outcome::MOST_REMARKS;
use crate::replica::outcome::OUTCOME_REPORT_INTERVAL;
use crate::replica::outcome::OutcomeReport;
use crate::replica::pack::Base;
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
pub(crate) async fn publish(listener: TcpListener, shared: Arc<SharedCopy>, log: Logger) {
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

async fn serve(stream: TcpStream, peer: SocketAddr, shared: Arc<SharedCopy>, log: Logger) {
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

/// Tells that this instance runs, to whoever wants to know just that.
async fn answer_look(framed: &mut Stream, peer: SocketAddr, shared: &SharedCopy) -> Result<()> {
    let news = News {
        is_leaving: shared.is_leaving(),
        is_withdrawn: shared.is_withdrawn(),
        ..News::default()
    };
    send(framed, peer, &news).await
}

/// Serves a subscriber if there is room for it.
async fn admit(
    framed: &mut Stream,
    peer: SocketAddr,
    subscribe: &Subscribe,
    shared: &Arc<SharedCopy>,
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
    shared: &Arc<SharedCopy>,
    log: &Logger,
) -> Result<()> {
    info!(log, "subscriber joined"; "subscriber" => &subscribe.instance,
        "peer" => %peer, "horizon" => subscribe.horizon, "held" => subscribe.held.len());
    introduce(subscribe, shared, log);
    let subscriber = shared.outcomes.add_subscriber();
    let mut outbox = Outbox::new(subscribe, shared.known(&subscribe.held));
    let outcome = feed(framed, peer, shared, &mut outbox, subscriber).await;
    shared.outcomes.remove_subscriber(subscriber);
    let waiting = outbox.waiting();
    if waiting.rows > 0 || waiting.bytes > 0 {
        // Tells a link that is too slow from a subscriber that is gone.
        info!(log, "subscriber left behind"; "subscriber" => &subscribe.instance,
            "rows_waiting" => waiting.rows, "bytes_waiting" => waiting.bytes);
    }
    outcome
}

/// Remembers whoever comes with a copy.
///
/// An instance that has lost its own while the store is away knows its seeds only,
/// which may have lost theirs, too. Those that followed it before come back to it, and
/// have what it needs.
fn introduce(subscribe: &Subscribe, shared: &SharedCopy, log: &Logger) {
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
    shared: &Arc<SharedCopy>,
    outbox: &mut Outbox,
    subscriber: u64,
) -> Result<()> {
    let mut changed = shared.watch();
    loop {
        changed.mark_unchanged();
        let news = compose(shared, outbox, peer)?;
        let is_more = news.part.is_some();
        let has_remarks = !news.outcomes.is_empty();
        send(framed, peer, &news).await?;
        if news.has_more || is_more && outbox.has_parts() {
            continue;
        }
        let pause = if has_remarks {
            OUTCOME_REPORT_INTERVAL
        } else {
            HEARTBEAT
        };
        let next = Instant::now() + pause;
        // What the subscriber tells is no cause to answer: each answer would be one
        // for it to tell again, without end.
        loop {
            // The copy outlives this task, so that the channel never closes; a change
            // and a pause mean the same here.
            tokio::select! {
                _ = changed.changed() => break,
                () = shared.pacer.rest(), if outbox.next_part().is_some() => break,
                () = time::sleep_until(next) => break,
                remarks = hear(framed, peer) => {
                    shared.outcomes.receive_from_subscriber(Instant::now(), subscriber, remarks?);
                }
            }
        }
    }
}

/// What the subscriber tells of servers.
async fn hear(framed: &mut Stream, peer: SocketAddr) -> Result<OutcomeReport> {
    const STEP: &str = "remarks of subscriber";
    let frame = framed
        .next()
        .await
        .ok_or_else(|| lost(STEP, peer, "closed"))?;
    let frame = frame.map_err(|error| lost(STEP, peer, error))?;
    let remarks: OutcomeReport = message::decode(STEP, &peer.to_string(), frame)?;
    if remarks.outcomes.len() > MOST_REMARKS {
        return Err(lost(STEP, peer, "too many"));
    }
    Ok(remarks)
}

/// The next message, of which parts are counted against the pace.
fn compose(shared: &SharedCopy, outbox: &mut Outbox, peer: SocketAddr) -> Result<News> {
    let now = Instant::now();
    let age_ms = shared.age(now).map(|age| age.as_millis() as u64);
    let pack = |value: &Base, base: Option<&Base>| shared.shelf.pack(value, base);
    let may_send = |bytes: usize| shared.pacer.may_send(bytes, now);
    let news = shared.look(|copy| outbox.compose(copy, age_ms, &pack, may_send));
    let mut news = news.map_err(|error| lost("packing for subscriber", peer, error))?;
    news.outcomes = shared.outcomes.zone_outcomes(now);
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

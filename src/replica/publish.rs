//! Serves subscribers.

use std::io;
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
use crate::platform::Revision;
use crate::replica::CopyPart;
use crate::replica::CopyPosition;
use crate::replica::NextPart;
use crate::replica::SharedCopy;
use crate::replica::StoreCopy;
use crate::replica::message;
use crate::replica::message::SubscribeRequest;
use crate::replica::message::UpstreamMessage;
use crate::replica::outbox::Outbox;
use crate::replica::outcome::MAX_ENTRIES;
use crate::replica::outcome::OUTCOME_REPORT_INTERVAL;
use crate::replica::outcome::OutcomeReport;
use crate::replica::pack::BaseValue;
use crate::replica::tree::FAN_OUT;

/// Time between two messages to a subscriber.
///
/// With four messages a second, a subscriber notices in less than a second that its
/// upstream is gone. At about 60 bytes each, they stay well within 2 KB/s.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time limit for a subscriber's first message, and for sending it a message.
///
/// Without it, a frozen subscriber would hold its connection, and its slot among
/// [`MAX_SUBSCRIBERS`], forever.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of subscribers. Twice the fan-out of the tree: instances see ranks
/// differently while members join and leave, and an instance that starts without the
/// store may subscribe to any other.
const MAX_SUBSCRIBERS: usize = 2 * FAN_OUT;

/// Age in milliseconds below which a copy is complete with its last part. An older one is
/// followed by the changes since.
const MAX_FRESH_AGE_MS: u64 = 1_000;

/// Step of passing on a copy, for errors.
const PASS_ON: &str = "copy for subscriber";

/// Accepts subscribers until the process ends.
pub(crate) async fn publish(listener: TcpListener, shared: Arc<SharedCopy>, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let task = serve_connection(stream, peer, Arc::clone(&shared), log.clone());
                tokio::spawn(task);
            }
            Err(error) => {
                warn!(log, "accepting subscriber failed"; "error" => %error);
                // Most likely out of file descriptors, which become available again with time.
                time::sleep(HEARTBEAT_INTERVAL).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    shared: Arc<SharedCopy>,
    log: Logger,
) {
    let mut framed = Framed::new(stream, message::codec());
    let result = match read_request(&mut framed, peer).await {
        Ok(subscribe) if subscribe.is_probe => answer_probe(&mut framed, peer, &shared).await,
        Ok(subscribe) => admit(&mut framed, peer, &subscribe, &shared, &log).await,
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        info!(log, "subscriber lost"; "error" => %error);
    }
}

/// Answers a liveness probe.
async fn answer_probe(framed: &mut Stream, peer: SocketAddr, shared: &SharedCopy) -> Result<()> {
    let message = UpstreamMessage {
        is_stopping: shared.is_stopping(),
        is_withdrawn: shared.is_withdrawn(),
        ..UpstreamMessage::default()
    };
    send(framed, peer, &message).await
}

/// Serves a subscriber if there is capacity for it.
async fn admit(
    framed: &mut Stream,
    peer: SocketAddr,
    subscribe: &SubscribeRequest,
    shared: &Arc<SharedCopy>,
    log: &Logger,
) -> Result<()> {
    let count = shared.increment_subscribers();
    let result = if count > MAX_SUBSCRIBERS {
        Err(Error::Refused {
            step: "subscription",
            peer: peer.to_string(),
            reason: "too many subscribers".to_owned(),
        })
    } else {
        serve_subscriber(framed, peer, subscribe, shared, log).await
    };
    shared.decrement_subscribers();
    result
}

async fn serve_subscriber(
    framed: &mut Stream,
    peer: SocketAddr,
    subscribe: &SubscribeRequest,
    shared: &Arc<SharedCopy>,
    log: &Logger,
) -> Result<()> {
    info!(log, "subscriber joined"; "subscriber" => &subscribe.instance,
        "peer" => %peer, "horizon" => subscribe.synced_revision.map(|revision| Revision(revision).to_string()), "held" => subscribe.held.len());
    remember_copy_holder(subscribe, shared, log);
    let mut subscribe = subscribe.clone();
    if subscribe.accepts_copy_parts {
        let revision = pass_on_copy(framed, peer, shared).await?;
        subscribe.synced_revision = Some(revision);
    }
    let subscriber = shared.outcomes.add_subscriber();
    let mut outbox = Outbox::new(&subscribe, shared.known_bases(&subscribe.held));
    let result = send_updates(framed, peer, shared, &mut outbox, subscriber).await;
    shared.outcomes.remove_subscriber(subscriber);
    let pending = outbox.pending();
    if pending.rows > 0 || pending.bytes > 0 {
        // Distinguishes a link that is too slow from a subscriber that is gone.
        info!(log, "subscriber left behind"; "subscriber" => &subscribe.instance,
            "rows_waiting" => pending.rows, "bytes_waiting" => pending.bytes);
    }
    result
}

/// Remembers the address of a subscriber that has a copy.
///
/// An instance that loses its own copy while the store is unreachable only knows its
/// seeds, which may have lost theirs as well. Instances that followed it before
/// subscribe again and have the copy that it needs.
fn remember_copy_holder(subscribe: &SubscribeRequest, shared: &SharedCopy, log: &Logger) {
    if subscribe.synced_revision.is_none() {
        return;
    }
    match subscribe.address.parse() {
        Ok(address) => shared.add_copy_holder(address),
        Err(_) => info!(log, "subscriber without an address";
            "subscriber" => &subscribe.instance, "address" => &subscribe.address),
    }
}

/// Compresses the present copy for all who start within the next seconds.
///
/// Load pattern: half of a fleet is killed and starts again, and dozens of instances ask
/// those that are left for a copy. Members register meanwhile, so that the copies for no
/// two of them would be the same.
fn fill_copy_log(shared: &SharedCopy) -> io::Result<()> {
    let snapshot = shared.with_copy(StoreCopy::snapshot);
    let (Some(snapshot), Some(contact)) = (snapshot, shared.contact()) else {
        return Ok(());
    };
    if let Some(writer) = shared.log.begin(rand::random(), contact) {
        writer.append_entries(&snapshot.entries)?;
        writer.finish(snapshot.revision);
        shared.drop_log_later();
    }
    Ok(())
}

/// Passes on a copy that comes in, or the one that this instance has. Returns the revision
/// up to which the subscriber then has everything.
async fn pass_on_copy(framed: &mut Stream, peer: SocketAddr, shared: &SharedCopy) -> Result<u64> {
    let (mut parts, mut changes) = (shared.log.watch(), shared.watch());
    let mut position = CopyPosition::default();
    let mut next_heartbeat = Instant::now();
    loop {
        parts.mark_unchanged();
        changes.mark_unchanged();
        let now = Instant::now();
        let has_copy = shared.synced_revision().is_some();
        let mut next = shared.log.next(&mut position, now);
        if has_copy && next == NextPart::None {
            let filled = fill_copy_log(shared);
            filled.map_err(|error| subscriber_error(PASS_ON, peer, error))?;
            next = shared.log.next(&mut position, now);
        }
        let has_part = matches!(next, NextPart::Part(_));
        match next {
            NextPart::Replaced => {
                return Err(subscriber_error(PASS_ON, peer, "another copy began"));
            }
            NextPart::Stalled if has_copy => {
                return Err(subscriber_error(PASS_ON, peer, "the copy does not go on"));
            }
            NextPart::Part(part) if shared.pacer.may_send(part.bytes.len(), now) => {
                position.advance(&part);
                let end = part.is_last.then_some(part.revision);
                send(framed, peer, &copy_message(part, has_copy)).await?;
                if let Some(revision) = end {
                    return Ok(revision);
                }
                next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
                continue;
            }
            NextPart::None | NextPart::Wait | NextPart::Stalled | NextPart::Part(_) => {}
        }
        if now >= next_heartbeat {
            send(framed, peer, &UpstreamMessage::default()).await?;
            next_heartbeat = now + HEARTBEAT_INTERVAL;
        }
        // The copy outlives this task, so the channels never close.
        tokio::select! {
            _ = parts.changed() => {}
            _ = changes.changed() => {}
            () = shared.pacer.wait_for_budget(), if has_part => {}
            () = time::sleep_until(next_heartbeat) => {}
        }
    }
}

/// A part of a copy. Its last part completes it while this instance knows nothing newer;
/// otherwise the changes since follow.
fn copy_message(part: CopyPart, has_copy: bool) -> UpstreamMessage {
    let is_complete = part.is_last && !has_copy && part.age_ms < MAX_FRESH_AGE_MS;
    UpstreamMessage {
        age_ms: is_complete.then_some(part.age_ms),
        copy_part: Some(part),
        ..UpstreamMessage::default()
    }
}

async fn send_updates(
    framed: &mut Stream,
    peer: SocketAddr,
    shared: &Arc<SharedCopy>,
    outbox: &mut Outbox,
    subscriber: u64,
) -> Result<()> {
    let mut changes = shared.watch();
    loop {
        changes.mark_unchanged();
        let message = compose(shared, outbox, peer)?;
        let has_part = message.part.is_some();
        let has_outcomes = !message.outcomes.is_empty();
        send(framed, peer, &message).await?;
        if message.has_more || has_part && outbox.has_parts() {
            continue;
        }
        let pause = if has_outcomes {
            OUTCOME_REPORT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        let next = Instant::now() + pause;
        // A report from the subscriber must not trigger a message, since that message would
        // in turn trigger a report, without end.
        loop {
            // The copy outlives this task, so the channel never closes; a change and the end
            // of the pause are handled alike.
            tokio::select! {
                _ = changes.changed() => break,
                () = shared.pacer.wait_for_budget(), if outbox.next_part_size().is_some() => break,
                () = time::sleep_until(next) => break,
                report = receive_report(framed, peer) => {
                    shared.outcomes.receive_from_subscriber(Instant::now(), subscriber, report?);
                }
            }
        }
    }
}

/// Receives a subscriber's report of request outcomes.
async fn receive_report(framed: &mut Stream, peer: SocketAddr) -> Result<OutcomeReport> {
    const STEP: &str = "remarks of subscriber";
    let frame = framed
        .next()
        .await
        .ok_or_else(|| subscriber_error(STEP, peer, "closed"))?;
    let frame = frame.map_err(|error| subscriber_error(STEP, peer, error))?;
    let report: OutcomeReport = message::decode(STEP, &peer.to_string(), frame)?;
    if report.outcomes.len() > MAX_ENTRIES {
        return Err(subscriber_error(
            STEP,
            peer,
            "too many servers in one report",
        ));
    }
    Ok(report)
}

/// Composes the next message; its parts are charged to the pacer.
fn compose(shared: &SharedCopy, outbox: &mut Outbox, peer: SocketAddr) -> Result<UpstreamMessage> {
    let now = Instant::now();
    let age_ms = shared.age(now).map(|age| age.as_millis() as u64);
    let pack = |value: &BaseValue, base: Option<&BaseValue>| shared.pack_cache.pack(value, base);
    let may_send = |bytes: usize| shared.pacer.may_send(bytes, now);
    let message = shared.with_copy(|copy| outbox.compose(copy, age_ms, &pack, may_send));
    let mut message =
        message.map_err(|error| subscriber_error("packing for subscriber", peer, error))?;
    message.outcomes = shared.outcomes.zone_outcomes(now);
    message.is_on_fallback = shared.is_on_fallback();
    message.is_stopping = shared.is_stopping();
    let packed = message.pack_rows();
    packed.map_err(|error| subscriber_error("packing for subscriber", peer, error))?;
    let rows: usize = message.rows.iter().map(Message::encoded_len).sum();
    let packed = message.packed.as_ref().map_or(0, Message::encoded_len);
    shared.pacer.charge(rows + packed, now);
    Ok(message)
}

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

fn subscriber_error(step: &'static str, peer: SocketAddr, reason: impl ToString) -> Error {
    Error::Unanswered {
        step,
        peer: peer.to_string(),
        reason: reason.to_string(),
    }
}

async fn read_request(framed: &mut Stream, peer: SocketAddr) -> Result<SubscribeRequest> {
    const STEP: &str = "subscription";
    let first = time::timeout(MESSAGE_TIMEOUT, framed.next()).await;
    let first = first.map_err(|_| subscriber_error(STEP, peer, "timed out"))?;
    let frame = first.ok_or_else(|| subscriber_error(STEP, peer, "closed"))?;
    let frame = frame.map_err(|error| subscriber_error(STEP, peer, error))?;
    message::decode(STEP, &peer.to_string(), frame)
}

async fn send(framed: &mut Stream, peer: SocketAddr, message: &UpstreamMessage) -> Result<()> {
    const STEP: &str = "news to subscriber";
    let bytes = Bytes::from(message.encode_to_vec());
    let sent = time::timeout(MESSAGE_TIMEOUT, framed.send(bytes)).await;
    let sent = sent.map_err(|_| subscriber_error(STEP, peer, "timed out"))?;
    sent.map_err(|error| subscriber_error(STEP, peer, error))
}

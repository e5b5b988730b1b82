//! The subscriber's side of a subscription to another instance.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use prost::Message;
use tokio::net::TcpStream;
use tokio::time;
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::Error;
use crate::error::Result;
use crate::pacing;
use crate::platform::Change;
use crate::platform::Entry;
use crate::replica::CopyPart;
use crate::replica::Member;
use crate::replica::assembler::AssembledValue;
use crate::replica::assembler::PartAssembler;
use crate::replica::message;
use crate::replica::message::HeldValue;
use crate::replica::message::SubscribeRequest;
use crate::replica::message::UpstreamMessage;
use crate::replica::outcome::OutcomeEntry;
use crate::replica::outcome::OutcomeReport;
use crate::replica::pack::BaseValue;

/// Time limit for a connection and its first message.
///
/// The round trip takes a tenth of a millisecond within a zone, and some milliseconds
/// between zones. The copy grows older during the attempt.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a second connection is attempted in parallel with one that is not
/// established yet.
///
/// Load pattern: machines regain power within 0.3 s of each other. A SYN packet to one
/// that has no power yet is lost, and the operating system retransmits it only after a
/// second.
const CONNECT_HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Silence after which the upstream is left: three heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// A large value or complete copy that was received in parts.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedValue {
    /// Revision at which it was written, or up to which the copy is complete.
    pub(crate) revision: u64,
    /// Total bytes of its parts.
    pub(crate) bytes: u64,
    /// Time from its first part to its last.
    pub(crate) transfer_time: Duration,
}

/// A decoded message, or several merged ones, from an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamUpdate {
    /// Whether `changes` is a complete copy.
    pub(crate) is_full_copy: bool,
    pub(crate) changes: Vec<Change>,
    /// Revision up to which all changes are known with this update.
    pub(crate) revision: u64,
    /// Time since the upstream's last contact with the store; `None` when there was none,
    /// and while a copy is being sent.
    pub(crate) age: Option<Duration>,
    /// Whether a complete copy is being sent.
    pub(crate) awaits_copy: bool,
    /// Whether more small changes follow at once.
    pub(crate) has_more: bool,
    /// Whether the upstream itself follows a fallback upstream, which is not above it.
    pub(crate) is_on_fallback: bool,
    /// Whether the upstream is about to stop.
    pub(crate) is_stopping: bool,
    /// Request outcomes counted by the zone's instances.
    pub(crate) outcomes: Vec<OutcomeEntry>,
    /// The value whose last part came with this update.
    pub(crate) received: Option<ReceivedValue>,
    /// Part of a copy that still comes in.
    pub(crate) copy_part: Option<CopyPart>,
}

impl UpstreamUpdate {
    /// Whether changes that it announces are still to come.
    fn is_incomplete(&self) -> bool {
        self.has_more || self.awaits_copy && !self.is_full_copy
    }

    /// Merges the update that follows this one.
    pub(crate) fn extend(&mut self, next: Self) {
        let previous = std::mem::replace(self, next);
        if self.is_full_copy {
            return;
        }
        let later = std::mem::take(&mut self.changes);
        self.is_full_copy = previous.is_full_copy;
        self.received = self.received.take().or(previous.received);
        self.changes = if previous.is_full_copy {
            apply_to_copy(previous.changes, later)
        } else {
            previous.changes.into_iter().chain(later).collect()
        };
    }
}

/// An established subscription.
pub(crate) struct Subscription {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    assembler: PartAssembler,
    peer: SocketAddrV4,
    /// When the last message arrived.
    last_received: Instant,
    /// When the first part of the current value arrived.
    transfer_started: Instant,
}

impl Subscription {
    /// Connects, sends the synced revision and the bases, and waits for the first message.
    pub(crate) async fn open(
        peer: SocketAddrV4,
        me: &Member,
        synced_revision: Option<u64>,
        bases: Vec<BaseValue>,
    ) -> Result<(Self, UpstreamUpdate)> {
        let opening = async {
            let stream = pacing::hedge(CONNECT_HEDGE_DELAY, || TcpStream::connect(peer)).await;
            let stream = stream.map_err(|error| connect_error(peer, &error))?;
            let framed = Framed::new(stream, message::codec());
            let subscribe = SubscribeRequest {
                instance: me.instance.to_string(),
                synced_revision,
                held: bases.iter().map(HeldValue::from).collect(),
                address: me.address.to_string(),
                is_probe: false,
                accepts_copy_parts: synced_revision.is_none(),
            };
            let mut subscription = Self {
                framed,
                assembler: PartAssembler::new(bases),
                peer,
                last_received: Instant::now(),
                transfer_started: Instant::now(),
            };
            subscription.send_request(&subscribe).await?;
            let update = subscription.next_update().await?;
            Ok((subscription, update))
        };
        let opened = time::timeout(SUBSCRIBE_TIMEOUT, opening).await;
        opened.unwrap_or_else(|_| Err(subscription_error(peer, "timed out")))
    }

    /// The instance that sends.
    pub(crate) fn peer(&self) -> SocketAddrV4 {
        self.peer
    }

    /// Waits for all changes that an update announces.
    ///
    /// An instance that applied only some of them would consider itself outdated, leave,
    /// and start again with the same changes.
    pub(crate) async fn complete(&mut self, mut update: UpstreamUpdate) -> Result<UpstreamUpdate> {
        while update.is_incomplete() {
            update.extend(self.next_update().await?);
        }
        Ok(update)
    }

    /// Waits for the sender's contact with the store, which comes with the last changes that
    /// this instance lacks.
    pub(crate) async fn await_contact(
        &mut self,
        mut update: UpstreamUpdate,
    ) -> Result<UpstreamUpdate> {
        while update.age.is_none() {
            update.extend(self.next_update().await?);
        }
        Ok(update)
    }

    async fn send_request(&mut self, subscribe: &SubscribeRequest) -> Result<()> {
        let bytes: Bytes = subscribe.encode_to_vec().into();
        let sent = self.framed.send(bytes).await;
        sent.map_err(|error| subscription_error(self.peer, error))
    }

    /// Sends request outcomes to the upstream.
    pub(crate) async fn send_report(&mut self, report: &OutcomeReport) -> Result<()> {
        let bytes: Bytes = report.encode_to_vec().into();
        let sent = time::timeout(SILENCE_TIMEOUT, self.framed.send(bytes)).await;
        let sent = sent.map_err(|_| subscription_error(self.peer, "sending timed out"))?;
        sent.map_err(|error| subscription_error(self.peer, error))
    }

    /// Waits for the next message; returns an error when none arrives in time. A part of
    /// a large value counts as a message, so a slow link is not taken for silence.
    pub(crate) async fn next_update(&mut self) -> Result<UpstreamUpdate> {
        let next = time::timeout_at(self.last_received + SILENCE_TIMEOUT, self.framed.next()).await;
        let next = next.map_err(|_| subscription_error(self.peer, "silent"))?;
        let frame = next.ok_or_else(|| subscription_error(self.peer, "closed"))?;
        let frame = frame.map_err(|error| subscription_error(self.peer, error))?;
        self.last_received = Instant::now();
        let mut message: UpstreamMessage =
            message::decode("message from upstream", &self.peer.to_string(), frame)?;
        let unpacked = message.unpack_rows();
        unpacked.map_err(|error| subscription_error(self.peer, error))?;
        self.decode(message)
    }

    fn decode(&mut self, message: UpstreamMessage) -> Result<UpstreamUpdate> {
        let mut update = UpstreamUpdate {
            is_full_copy: false,
            changes: message.rows.into_iter().map(Change::from).collect(),
            revision: message.revision,
            age: message.age_ms.map(Duration::from_millis),
            awaits_copy: message.awaits_copy,
            has_more: message.has_more,
            is_on_fallback: message.is_on_fallback,
            is_stopping: message.is_stopping,
            outcomes: message.outcomes,
            received: None,
            copy_part: message.copy_part,
        };
        let Some(part) = message.part else {
            return Ok(update);
        };
        if part.offset == 0 {
            self.transfer_started = self.last_received;
        }
        update.received = part.is_last.then(|| ReceivedValue {
            revision: part.mod_revision,
            bytes: part.offset + part.bytes.len() as u64,
            transfer_time: self.last_received - self.transfer_started,
        });
        let assembled = self.assembler.add(part);
        match assembled.map_err(|error| subscription_error(self.peer, error))? {
            None => {}
            Some(AssembledValue::Entry(entry)) => update.changes.push(Change::Put(entry)),
            Some(AssembledValue::Copy(entries, revision)) => {
                update.is_full_copy = true;
                update.revision = update.revision.max(revision);
                let entries = entries.into_iter().map(Change::Put);
                update.changes = apply_to_copy(entries.collect(), update.changes);
            }
        }
        Ok(update)
    }
}

/// Response to a liveness probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeResponse {
    /// Whether the instance has withdrawn from its routers.
    pub(crate) is_withdrawn: bool,
}

/// Probes whether an instance is running: a frozen process still accepts connections,
/// but does not respond.
pub(crate) async fn probe(peer: SocketAddrV4, me: &Member) -> Result<ProbeResponse> {
    let probing = async {
        let stream = TcpStream::connect(peer).await;
        let stream = stream.map_err(|error| connect_error(peer, &error))?;
        let mut framed = Framed::new(stream, message::codec());
        let subscribe = SubscribeRequest {
            instance: me.instance.to_string(),
            is_probe: true,
            ..SubscribeRequest::default()
        };
        let bytes: Bytes = subscribe.encode_to_vec().into();
        let sent = framed.send(bytes).await;
        sent.map_err(|error| subscription_error(peer, error))?;
        let frame = framed
            .next()
            .await
            .ok_or_else(|| subscription_error(peer, "closed"))?;
        let frame = frame.map_err(|error| subscription_error(peer, error))?;
        let message: UpstreamMessage =
            message::decode("response to a probe", &peer.to_string(), frame)?;
        Ok(ProbeResponse {
            is_withdrawn: message.is_withdrawn,
        })
    };
    let probed = time::timeout(SUBSCRIBE_TIMEOUT, probing).await;
    probed.unwrap_or_else(|_| Err(subscription_error(peer, "timed out")))
}

/// Applies later changes to a complete copy.
fn apply_to_copy(copy: Vec<Change>, later: Vec<Change>) -> Vec<Change> {
    let mut merged: BTreeMap<String, Entry> = BTreeMap::new();
    for change in copy.into_iter().chain(later) {
        match change {
            Change::Put(entry) => {
                merged.insert(entry.key.clone(), entry);
            }
            Change::Delete { key, .. } => {
                merged.remove(&key);
            }
        }
    }
    merged.into_values().map(Change::Put).collect()
}

pub(crate) fn subscription_error(peer: SocketAddrV4, reason: impl ToString) -> Error {
    Error::Unanswered {
        step: "subscription",
        peer: peer.to_string(),
        reason: reason.to_string(),
    }
}

fn connect_error(peer: SocketAddrV4, error: &std::io::Error) -> Error {
    Error::Unreachable {
        step: "subscription",
        peer: peer.to_string(),
        reason: error.to_string(),
    }
}

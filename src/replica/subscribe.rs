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
use crate::replica::Member;
use crate::replica::board::Remark;
use crate::replica::board::Remarks;
use crate::replica::inbox::Complete;
use crate::replica::inbox::Inbox;
use crate::replica::message;
use crate::replica::message::Held;
use crate::replica::message::News;
use crate::replica::message::Subscribe;
use crate::replica::pack::Base;

/// Time limit for a connection and its first message.
///
/// The round trip takes a tenth of a millisecond within a zone, and some milliseconds
/// between zones. The copy grows older during the attempt.
const JOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a second connection is attempted in parallel with one that is not
/// established yet.
///
/// Load pattern: machines regain power within 0.3 s of each other. A SYN packet to one
/// that has no power yet is lost, and the operating system retransmits it only after a
/// second.
const CONNECT_AGAIN: Duration = Duration::from_millis(50);

/// Silence after which the upstream is left: three heartbeats.
const SILENCE: Duration = Duration::from_millis(800);

/// A large value or complete copy that was received in parts.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    /// Revision at which it was written, or up to which the copy is complete.
    pub(crate) revision: u64,
    /// Total bytes of its parts.
    pub(crate) bytes: u64,
    /// Time from its first part to its last.
    pub(crate) took: Duration,
}

/// A decoded message, or several merged ones, from an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    /// Whether `changes` is a complete copy.
    pub(crate) is_everything: bool,
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
    pub(crate) is_detour: bool,
    /// Whether the upstream is about to stop.
    pub(crate) is_leaving: bool,
    /// Request outcomes counted by the zone's instances.
    pub(crate) remarks: Vec<Remark>,
    /// The value whose last part came with this update.
    pub(crate) received: Option<Received>,
}

impl Report {
    /// Whether changes that it announces are still to come.
    fn is_partial(&self) -> bool {
        self.has_more || self.awaits_copy && !self.is_everything
    }

    /// Merges the update that follows this one.
    fn extend(&mut self, next: Self) {
        let before = std::mem::replace(self, next);
        if self.is_everything {
            return;
        }
        let later = std::mem::take(&mut self.changes);
        self.is_everything = before.is_everything;
        self.received = self.received.take().or(before.received);
        self.changes = if before.is_everything {
            merge(before.changes, later)
        } else {
            before.changes.into_iter().chain(later).collect()
        };
    }
}

/// An established subscription.
pub(crate) struct Subscription {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    inbox: Inbox,
    peer: SocketAddrV4,
    /// When the last message arrived.
    heard: Instant,
    /// When the first part of the current value arrived.
    begun: Instant,
}

impl Subscription {
    /// Connects, sends what is known here, and waits for the first message.
    pub(crate) async fn join(
        peer: SocketAddrV4,
        me: &Member,
        horizon: Option<u64>,
        bases: Vec<Base>,
    ) -> Result<(Self, Report)> {
        let joining = async {
            let stream = pacing::hedge(CONNECT_AGAIN, || TcpStream::connect(peer)).await;
            let stream = stream.map_err(|error| unreachable(peer, &error))?;
            let framed = Framed::new(stream, message::codec());
            let subscribe = Subscribe {
                instance: me.instance.to_string(),
                horizon,
                held: bases.iter().map(Held::from).collect(),
                address: me.address.to_string(),
                is_look: false,
            };
            let mut subscription = Self {
                framed,
                inbox: Inbox::new(bases),
                peer,
                heard: Instant::now(),
                begun: Instant::now(),
            };
            subscription.ask(&subscribe).await?;
            let report = subscription.next().await?;
            Ok((subscription, report))
        };
        let joined = time::timeout(JOIN_TIMEOUT, joining).await;
        joined.unwrap_or_else(|_| Err(lost(peer, "timed out")))
    }

    /// Waits for all changes that an update announces.
    ///
    /// An instance that applied only some of them would consider itself outdated, leave,
    /// and start again with the same ones.
    pub(crate) async fn complete(&mut self, mut report: Report) -> Result<Report> {
        while report.is_partial() {
            report.extend(self.next().await?);
        }
        Ok(report)
    }

    async fn ask(&mut self, subscribe: &Subscribe) -> Result<()> {
        let bytes: Bytes = subscribe.encode_to_vec().into();
        let sent = self.framed.send(bytes).await;
        sent.map_err(|error| lost(self.peer, error))
    }

    /// Sends request outcomes to the upstream.
    pub(crate) async fn tell(&mut self, remarks: &Remarks) -> Result<()> {
        let bytes: Bytes = remarks.encode_to_vec().into();
        let sent = time::timeout(SILENCE, self.framed.send(bytes)).await;
        let sent = sent.map_err(|_| lost(self.peer, "takes nothing"))?;
        sent.map_err(|error| lost(self.peer, error))
    }

    /// Waits for the next message; returns an error when none arrives in time. A part of
    /// a large value counts as a message, so a slow link is not taken for silence.
    pub(crate) async fn next(&mut self) -> Result<Report> {
        let next = time::timeout_at(self.heard + SILENCE, self.framed.next()).await;
        let next = next.map_err(|_| lost(self.peer, "silent"))?;
        let frame = next.ok_or_else(|| lost(self.peer, "closed"))?;
        let frame = frame.map_err(|error| lost(self.peer, error))?;
        self.heard = Instant::now();
        let mut news: News = message::decode("news from upstream", &self.peer.to_string(), frame)?;
        let unpacked = news.unpack_rows();
        unpacked.map_err(|error| lost(self.peer, error))?;
        self.read(news)
    }

    fn read(&mut self, news: News) -> Result<Report> {
        let mut report = Report {
            is_everything: false,
            changes: news.rows.into_iter().map(Change::from).collect(),
            revision: news.revision,
            age: news.age_ms.map(Duration::from_millis),
            awaits_copy: news.awaits_copy,
            has_more: news.has_more,
            is_detour: news.is_detour,
            is_leaving: news.is_leaving,
            remarks: news.remarks,
            received: None,
        };
        let Some(part) = news.part else {
            return Ok(report);
        };
        if part.offset == 0 {
            self.begun = self.heard;
        }
        report.received = part.is_last.then(|| Received {
            revision: part.mod_revision,
            bytes: part.offset + part.bytes.len() as u64,
            took: self.heard - self.begun,
        });
        let complete = self.inbox.take(part);
        match complete.map_err(|misfit| lost(self.peer, misfit))? {
            None => {}
            Some(Complete::Entry(entry)) => report.changes.push(Change::Put(entry)),
            Some(Complete::Copy(entries, revision)) => {
                report.is_everything = true;
                report.revision = report.revision.max(revision);
                let entries = entries.into_iter().map(Change::Put);
                report.changes = merge(entries.collect(), report.changes);
            }
        }
        Ok(report)
    }
}

/// Response to a liveness probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sign {
    /// Whether the instance has withdrawn from its routers.
    pub(crate) is_withdrawn: bool,
}

/// Probes whether an instance is running: a frozen process still accepts connections,
/// but does not respond.
pub(crate) async fn look(peer: SocketAddrV4, me: &Member) -> Result<Sign> {
    let looking = async {
        let stream = TcpStream::connect(peer).await;
        let stream = stream.map_err(|error| unreachable(peer, &error))?;
        let mut framed = Framed::new(stream, message::codec());
        let subscribe = Subscribe {
            instance: me.instance.to_string(),
            is_look: true,
            ..Subscribe::default()
        };
        let bytes: Bytes = subscribe.encode_to_vec().into();
        let sent = framed.send(bytes).await;
        sent.map_err(|error| lost(peer, error))?;
        let frame = framed.next().await.ok_or_else(|| lost(peer, "closed"))?;
        let frame = frame.map_err(|error| lost(peer, error))?;
        let news: News = message::decode("answer to a look", &peer.to_string(), frame)?;
        Ok(Sign {
            is_withdrawn: news.is_withdrawn,
        })
    };
    let looked = time::timeout(JOIN_TIMEOUT, looking).await;
    looked.unwrap_or_else(|_| Err(lost(peer, "timed out")))
}

/// Applies later changes to a complete copy.
fn merge(copy: Vec<Change>, later: Vec<Change>) -> Vec<Change> {
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

pub(crate) fn lost(peer: SocketAddrV4, reason: impl ToString) -> Error {
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

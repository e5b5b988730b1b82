//! Following another instance.

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
use crate::replica::inbox::Complete;
use crate::replica::inbox::Inbox;
use crate::replica::message;
use crate::replica::message::Held;
use crate::replica::message::News;
use crate::replica::message::Subscribe;
use crate::replica::outcome::OutcomeEntry;
use crate::replica::outcome::OutcomeReport;
use crate::replica::pack::Base;

/// Time for a connection and its first message.
///
/// Instances of a zone are a tenth of a millisecond apart, zones some
/// milliseconds. While this is tried, the copy grows older.
const JOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which another connection is tried beside one that does not stand yet.
///
/// Load pattern: machines have their power back within 0.3 s of each other. The opening
/// packet to one that is still without is lost, and the operating system repeats it
/// only after a second.
const CONNECT_AGAIN: Duration = Duration::from_millis(50);

/// Silence after which the upstream is left: three heartbeats.
const SILENCE: Duration = Duration::from_millis(800);

/// A large value or copy that has come in parts.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    /// Revision at which it was written, or up to which the copy is whole.
    pub(crate) revision: u64,
    /// Bytes of its parts.
    pub(crate) bytes: u64,
    /// Time from its first part to its last.
    pub(crate) took: Duration,
}

/// What an upstream tells at once.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    /// Whether the changes are all entries there are.
    pub(crate) is_everything: bool,
    pub(crate) changes: Vec<Change>,
    /// Revision up to which everything is known with them.
    pub(crate) revision: u64,
    /// Time since the upstream's last contact with the store; `None` when it never
    /// had any, and while a copy is on its way.
    pub(crate) age: Option<Duration>,
    /// Whether a whole copy is on its way.
    pub(crate) awaits_copy: bool,
    /// Whether more small changes follow at once.
    pub(crate) has_more: bool,
    /// Whether the upstream follows one that is not above it.
    pub(crate) is_detour: bool,
    /// Whether the upstream is about to end.
    pub(crate) is_leaving: bool,
    /// What the zone's instances counted against servers.
    pub(crate) remarks: Vec<OutcomeEntry>,
    /// The value that is complete with this.
    pub(crate) received: Option<Received>,
}

impl Report {
    /// Whether what was announced with it has not all come.
    fn is_partial(&self) -> bool {
        self.has_more || self.awaits_copy && !self.is_everything
    }

    /// Adds the report that came after this one.
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

/// A subscription that stands.
pub(crate) struct Subscription {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    inbox: Inbox,
    peer: SocketAddrV4,
    /// When it was last heard.
    heard: Instant,
    /// When the first part of what is on its way came.
    begun: Instant,
}

impl Subscription {
    /// Connects, says what is known here, and waits for the first message.
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

    /// Waits for everything that was announced with a report.
    ///
    /// Whoever took a part of it only would know itself to be behind, leave, and begin
    /// anew with the same part.
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

    /// Tells the upstream of servers.
    pub(crate) async fn tell(&mut self, remarks: &OutcomeReport) -> Result<()> {
        let bytes: Bytes = remarks.encode_to_vec().into();
        let sent = time::timeout(SILENCE, self.framed.send(bytes)).await;
        let sent = sent.map_err(|_| lost(self.peer, "takes nothing"))?;
        sent.map_err(|error| lost(self.peer, error))
    }

    /// The next message; an error when it stays away. A part of a large value is
    /// a message like any other: a link that is slow is not silent.
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
            remarks: news.outcomes,
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

/// What an instance answers to a look.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sign {
    /// Whether it has withdrawn from its routers.
    pub(crate) is_withdrawn: bool,
}

/// Looks whether an instance runs: a process that stands still takes connections as
/// before, and answers nothing.
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

/// A whole copy with the changes after it.
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

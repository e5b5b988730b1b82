//! Backend servers: they take opening packets, run requests once a flow, and
//! answer callers directly.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use godwitreel::flow::Flags;
use godwitreel::flow::FlowKey;
use godwitreel::flow::Segment;
use godwitreel::flow::Tag;
use platform::packet;
use platform::packet::HEADER_LEN;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::sync::Mutex;
use tokio::time;

use crate::Result;
use crate::ledger::Ledger;
use crate::net;
use crate::net::ACK;
use crate::net::Author;
use crate::net::Packet;
use crate::net::RST;
use crate::net::SYN;

/// Bytes in front of a packet that name the server.
const ENVELOPE: usize = 8;

/// What a backend server is.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Where it listens.
    pub address: SocketAddrV4,
    /// What its datagrams are named with.
    pub serial: u64,
    /// Port of the route whose requests it runs.
    pub port: u16,
    /// Number of its availability zone.
    pub zone: u8,
}

struct Flow {
    tag: Tag,
    /// Its own first sequence number.
    first: u32,
    /// Next byte expected of the caller.
    next: u32,
    /// Bytes sent.
    sent: u32,
    is_open: bool,
    /// The answer to the last request, if that is done.
    answer: Option<Vec<u8>>,
}

struct Server {
    identity: Identity,
    socket: UdpSocket,
    flows: Mutex<HashMap<FlowKey, Flow>>,
    ledger: Arc<Ledger>,
}

/// A backend server that runs; it crashes when this is dropped.
pub struct Running {
    identity: Identity,
    ledger: Arc<Ledger>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
        self.ledger.ended(self.identity.serial);
    }
}

/// Starts a backend server.
///
/// # Errors
///
/// Fails when its address cannot be bound.
pub async fn start(identity: Identity, ledger: Arc<Ledger>) -> Result<Running> {
    let server = Arc::new(Server {
        socket: net::bind(identity.address).await?,
        flows: Mutex::default(),
        ledger: Arc::clone(&ledger),
        identity,
    });
    ledger.started(identity.serial);
    let task = tokio::spawn(async move {
        let mut buffer = vec![0; ENVELOPE + packet::MAX_PACKET_LEN];
        while let Ok((length, from)) = server.socket.recv_from(&mut buffer).await {
            server.take(&buffer[..length], from).await;
        }
    });
    Ok(Running {
        identity,
        ledger,
        task,
    })
}

impl Server {
    async fn take(self: &Arc<Self>, datagram: &[u8], from: SocketAddr) {
        let Some((envelope, bytes)) = datagram.split_at_checked(ENVELOPE) else {
            return;
        };
        let named = envelope.iter().fold(0, |all, b| all << 8 | u64::from(*b));
        if named != self.identity.serial && named != 0 {
            return;
        }
        if net::author(bytes) != Author::End {
            self.ledger.breach("packet altered", format!("from {from}"));
            return;
        }
        let Ok(segment) = packet::decode(bytes) else {
            return;
        };
        if segment.opens() {
            self.open(&segment, from).await;
        } else {
            self.carry(&segment, &bytes[HEADER_LEN..]).await;
        }
    }

    async fn open(&self, segment: &Segment, from: SocketAddr) {
        if let IpAddr::V4(instance) = from.ip() {
            let port = segment.flow_key.service.port();
            let zone = self.identity.zone;
            self.ledger
                .opened(self.identity.serial, zone, port, instance);
        }
        if segment.flow_key.service.port() != self.identity.port {
            self.ledger
                .breach("flow at the wrong service", segment.flow_key);
        }
        let mut flows = self.flows.lock().await;
        let flow = flows.entry(segment.flow_key).or_insert_with(|| Flow {
            tag: segment.tag,
            first: rand::rng().random(),
            next: segment.seq.wrapping_add(1),
            sent: 0,
            is_open: false,
            answer: None,
        });
        flow.tag = segment.tag;
        let answer = (flow.first, flow.next, flow.tag);
        drop(flows);
        self.send(segment.flow_key, SYN | ACK, answer, b"").await;
    }

    async fn carry(self: &Arc<Self>, segment: &Segment, data: &[u8]) {
        let mut flows = self.flows.lock().await;
        let Some(flow) = flows.get_mut(&segment.flow_key) else {
            drop(flows);
            if !segment.flags.rst {
                let reset = (segment.ack, segment.end(), segment.tag);
                self.send(segment.flow_key, RST, reset, b"").await;
            }
            return;
        };
        flow.tag = segment.tag;
        flow.is_open |= segment.flags.ack && segment.ack == flow.first.wrapping_add(1);
        if segment.flags.rst || is_last(segment.flags) {
            flows.remove(&segment.flow_key);
            return;
        }
        if !flow.is_open && segment.flags.ack {
            // The caller has taken another server's answer.
            let reset = (segment.ack, segment.end(), segment.tag);
            drop(flows);
            self.send(segment.flow_key, RST, reset, b"").await;
            return;
        }
        let is_repeat = segment.end() == flow.next;
        if is_repeat && let Some(answer) = flow.answer.clone() {
            let start = flow.sent.wrapping_sub(answer.len() as u32);
            let seq = flow.first.wrapping_add(1).wrapping_add(start);
            let head = (seq, flow.next, flow.tag);
            drop(flows);
            self.send(segment.flow_key, ACK, head, &answer).await;
        } else if flow.is_open && segment.seq == flow.next && !data.is_empty() {
            flow.next = segment.end();
            flow.answer = None;
            drop(flows);
            let request = data.to_vec();
            tokio::spawn(Arc::clone(self).run(segment.flow_key, request));
        }
    }

    async fn run(self: Arc<Self>, flow_key: FlowKey, request: Vec<u8>) {
        let Some(request) = Request::decode(&request) else {
            self.ledger.breach("request altered", flow_key);
            return;
        };
        self.ledger.ran(request.id, request.may_repeat);
        let work = rand::rng().random_range(5..30);
        time::sleep(Duration::from_millis(work)).await;
        let answer = request.encode(self.identity.serial);
        let mut flows = self.flows.lock().await;
        let Some(flow) = flows.get_mut(&flow_key) else {
            return;
        };
        let head = (
            flow.first.wrapping_add(1).wrapping_add(flow.sent),
            flow.next,
            flow.tag,
        );
        flow.sent = flow.sent.wrapping_add(answer.len() as u32);
        flow.answer = Some(answer.clone());
        drop(flows);
        self.send(flow_key, ACK, head, &answer).await;
    }

    async fn send(&self, flow_key: FlowKey, flags: u8, head: (u32, u32, Tag), data: &[u8]) {
        let (seq, ack, tag) = head;
        let packet = Packet {
            from: flow_key.service,
            to: flow_key.caller,
            flags,
            seq,
            ack,
            tag,
            data,
        };
        let to = SocketAddrV4::new(*flow_key.caller.ip(), self.identity.address.port());
        // A lost packet is repeated when the caller asks again.
        let _ = self.socket.send_to(&packet.encode(), to).await;
    }
}

fn is_last(flags: Flags) -> bool {
    flags.fin
}

/// A request, and with a server's serial its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its identity.
    pub id: u64,
    /// Whether it may run more than once.
    pub may_repeat: bool,
}

impl Request {
    /// The bytes of a request (`server` 0) or of its answer.
    pub fn encode(&self, server: u64) -> Vec<u8> {
        let mut bytes = self.id.to_be_bytes().to_vec();
        bytes.extend(server.to_be_bytes());
        bytes.push(u8::from(self.may_repeat));
        bytes
    }

    /// Reads them.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (id, rest) = bytes.split_first_chunk::<8>()?;
        Some(Self {
            id: u64::from_be_bytes(*id),
            may_repeat: *rest.get(8)? != 0,
        })
    }
}

/// The server that an answer names.
pub fn answered_by(bytes: &[u8]) -> Option<u64> {
    let serial = bytes.get(8..16)?;
    Some(serial.iter().fold(0, |all, b| all << 8 | u64::from(*b)))
}

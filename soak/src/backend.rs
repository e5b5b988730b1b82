//! Simulated backend servers: they accept flows, run each request of a flow once,
//! and respond directly to the callers.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
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
use tokio::sync::Semaphore;
use tokio::time;

use crate::Result;
use crate::ledger::Ledger;
use crate::net;
use crate::net::ACK;
use crate::net::Author;
use crate::net::FIN;
use crate::net::Packet;
use crate::net::RST;
use crate::net::SYN;
use crate::overload;
use crate::overload::Capacity;

/// Length of the header in front of a packet, which holds the serial of the server.
const SERVER_HEADER_LEN: usize = 8;

/// Identity and role of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Address on which it receives packets.
    pub address: SocketAddrV4,
    /// Serial that the header of its datagrams holds.
    pub serial: u64,
    /// Port of the route that it serves; its service is named after it.
    pub port: u16,
    /// Port of another route that shares the service.
    pub shared_port: Option<u16>,
    /// How many requests it accepts at a time; `None` if all.
    pub capacity: Option<Capacity>,
    /// Number of its availability zone.
    pub zone: u8,
}

impl Identity {
    fn serves(&self, port: u16) -> bool {
        port == self.port || Some(port) == self.shared_port
    }

    /// Requests that run at the same time.
    fn slots(&self) -> usize {
        self.capacity
            .map_or(Semaphore::MAX_PERMITS, |c| c.slots as usize)
    }
}

struct Flow {
    tag: Tag,
    /// The server's initial sequence number.
    initial_seq: u32,
    /// Sequence number of the next byte expected from the caller.
    next_seq: u32,
    /// Count of response bytes sent.
    sent_bytes: u32,
    is_open: bool,
    /// Response to the last request, once that request has finished.
    response: Option<Response>,
}

#[derive(Clone)]
struct Response {
    data: Vec<u8>,
    /// Whether the server closes the flow with it.
    closes_flow: bool,
}

impl Response {
    fn flags(&self) -> u8 {
        match self.closes_flow {
            true => ACK | FIN,
            false => ACK,
        }
    }
}

struct Server {
    identity: Identity,
    socket: UdpSocket,
    flows: Mutex<HashMap<FlowKey, Flow>>,
    is_draining: AtomicBool,
    slots: Semaphore,
    /// Requests that run or are queued.
    request_count: AtomicU32,
    ledger: Arc<Ledger>,
}

/// A running backend server; dropping the value simulates a crash.
pub struct RunningBackend {
    server: Arc<Server>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for RunningBackend {
    fn drop(&mut self) {
        self.task.abort();
        let serial = self.server.identity.serial;
        self.server.ledger.server_stopped(serial);
    }
}

impl RunningBackend {
    /// Makes the server close each flow with its next response. It still accepts new ones.
    pub fn drain(&self) {
        self.server.is_draining.store(true, Ordering::Relaxed);
    }
}

/// Starts a backend server.
///
/// # Errors
///
/// Fails when its address cannot be bound.
pub async fn start(identity: Identity, ledger: Arc<Ledger>) -> Result<RunningBackend> {
    let server = Arc::new(Server {
        socket: net::bind(identity.address).await?,
        flows: Mutex::default(),
        is_draining: AtomicBool::new(false),
        slots: Semaphore::new(identity.slots()),
        request_count: AtomicU32::new(0),
        ledger: Arc::clone(&ledger),
        identity,
    });
    ledger.server_started(identity.serial);
    let receiver = Arc::clone(&server);
    let task = tokio::spawn(async move {
        let server = receiver;
        let mut buffer = vec![0; SERVER_HEADER_LEN + packet::MAX_PACKET_LEN];
        while let Ok((length, from)) = server.socket.recv_from(&mut buffer).await {
            server.handle_datagram(&buffer[..length], from).await;
        }
    });
    Ok(RunningBackend { server, task })
}

impl Server {
    async fn handle_datagram(self: &Arc<Self>, datagram: &[u8], from: SocketAddr) {
        let Some((header, bytes)) = datagram.split_at_checked(SERVER_HEADER_LEN) else {
            return;
        };
        let serial = header.iter().fold(0, |value, b| value << 8 | u64::from(*b));
        if serial != self.identity.serial && serial != 0 {
            return;
        }
        if net::author(bytes) != Author::Endpoint {
            self.ledger
                .record_breach("packet altered", format!("from {from}"));
            return;
        }
        let Ok(segment) = packet::decode(bytes) else {
            return;
        };
        if segment.opens() {
            self.handle_opening(&segment, from).await;
        } else {
            self.handle_segment(&segment, &bytes[HEADER_LEN..]).await;
        }
    }

    /// Whether a further request exceeds the queue.
    fn is_full(&self) -> bool {
        let count = self.request_count.load(Ordering::Relaxed);
        let capacity = self.identity.capacity;
        capacity.is_some_and(|capacity| count >= capacity.slots + capacity.queue)
    }

    /// Resets the flow of a segment.
    async fn reject(&self, segment: &Segment) {
        let numbers = (segment.ack, segment.end(), segment.tag);
        self.send(segment.flow_key, RST, numbers, b"").await;
    }

    async fn handle_opening(&self, segment: &Segment, from: SocketAddr) {
        if let IpAddr::V4(instance) = from.ip() {
            let port = segment.flow_key.service.port();
            let zone = self.identity.zone;
            self.ledger
                .flow_opened(self.identity.serial, zone, port, instance);
        }
        if !self.identity.serves(segment.flow_key.service.port()) {
            self.ledger
                .record_breach("flow at the wrong service", segment.flow_key);
        }
        let mut flows = self.flows.lock().await;
        if self.is_full() && !flows.contains_key(&segment.flow_key) {
            drop(flows);
            return self.reject(segment).await;
        }
        if let IpAddr::V4(instance) = from.ip() {
            self.ledger.opening_accepted(segment.flow_key, instance);
        }
        let flow = flows.entry(segment.flow_key).or_insert_with(|| Flow {
            tag: segment.tag,
            initial_seq: rand::rng().random(),
            next_seq: segment.seq.wrapping_add(1),
            sent_bytes: 0,
            is_open: false,
            response: None,
        });
        flow.tag = segment.tag;
        let numbers = (flow.initial_seq, flow.next_seq, flow.tag);
        drop(flows);
        self.send(segment.flow_key, SYN | ACK, numbers, b"").await;
    }

    async fn handle_segment(self: &Arc<Self>, segment: &Segment, data: &[u8]) {
        let mut flows = self.flows.lock().await;
        let Some(flow) = flows.get_mut(&segment.flow_key) else {
            drop(flows);
            if !segment.flags.rst {
                let reset_numbers = (segment.ack, segment.end(), segment.tag);
                self.send(segment.flow_key, RST, reset_numbers, b"").await;
            }
            return;
        };
        flow.tag = segment.tag;
        flow.is_open |= segment.flags.ack && segment.ack == flow.initial_seq.wrapping_add(1);
        if segment.flags.rst || has_fin(segment.flags) {
            flows.remove(&segment.flow_key);
            return;
        }
        if !flow.is_open && segment.flags.ack {
            // The caller accepted the SYN-ACK of another server.
            let reset_numbers = (segment.ack, segment.end(), segment.tag);
            drop(flows);
            self.send(segment.flow_key, RST, reset_numbers, b"").await;
            return;
        }
        let is_retransmission = segment.end() == flow.next_seq;
        if is_retransmission && let Some(response) = flow.response.clone() {
            let start = flow.sent_bytes.wrapping_sub(response.data.len() as u32);
            let seq = flow.initial_seq.wrapping_add(1).wrapping_add(start);
            let numbers = (seq, flow.next_seq, flow.tag);
            drop(flows);
            let flags = response.flags();
            self.send(segment.flow_key, flags, numbers, &response.data)
                .await;
        } else if flow.is_open && segment.seq == flow.next_seq && !data.is_empty() {
            if self.is_full() {
                flows.remove(&segment.flow_key);
                drop(flows);
                return self.reject(segment).await;
            }
            flow.next_seq = segment.end();
            flow.response = None;
            self.request_count.fetch_add(1, Ordering::Relaxed);
            drop(flows);
            let request = data.to_vec();
            tokio::spawn(Arc::clone(self).run_request(segment.flow_key, request));
        }
    }

    async fn run_request(self: Arc<Self>, flow_key: FlowKey, request: Vec<u8>) {
        // The semaphore is never closed.
        let slot = self.slots.acquire().await;
        self.process_request(flow_key, &request).await;
        drop(slot);
        self.request_count.fetch_sub(1, Ordering::Relaxed);
    }

    async fn process_request(&self, flow_key: FlowKey, request: &[u8]) {
        let Some(request) = Request::decode(request) else {
            self.ledger.record_breach("request altered", flow_key);
            return;
        };
        self.ledger
            .request_started(request.id, request.is_idempotent);
        self.ledger.request_ran(flow_key);
        let run_time_ms = match self.identity.capacity {
            Some(_) => rand::rng().random_range(overload::RUN_TIME_MS),
            None => rand::rng().random_range(5..30),
        };
        time::sleep(Duration::from_millis(run_time_ms)).await;
        let response = Response {
            data: request.encode(self.identity.serial),
            closes_flow: self.is_draining.load(Ordering::Relaxed),
        };
        let mut flows = self.flows.lock().await;
        let Some(flow) = flows.get_mut(&flow_key) else {
            return;
        };
        let numbers = (
            flow.initial_seq
                .wrapping_add(1)
                .wrapping_add(flow.sent_bytes),
            flow.next_seq,
            flow.tag,
        );
        flow.sent_bytes = flow.sent_bytes.wrapping_add(response.data.len() as u32);
        flow.response = Some(response.clone());
        drop(flows);
        let flags = response.flags();
        self.send(flow_key, flags, numbers, &response.data).await;
    }

    async fn send(&self, flow_key: FlowKey, flags: u8, numbers: (u32, u32, Tag), data: &[u8]) {
        let (seq, ack, tag) = numbers;
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
        // If sending fails, the caller retransmits and gets the packet again.
        let _ = self.socket.send_to(&packet.encode(), to).await;
    }
}

fn has_fin(flags: Flags) -> bool {
    flags.fin
}

/// A request; encoded with a server's serial it is the response to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Unique number of the request.
    pub id: u64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
}

impl Request {
    /// Encodes the request (`server` is 0) or the response of a server.
    pub fn encode(&self, server: u64) -> Vec<u8> {
        let mut bytes = self.id.to_be_bytes().to_vec();
        bytes.extend(server.to_be_bytes());
        bytes.push(u8::from(self.is_idempotent));
        bytes
    }

    /// Decodes a request or a response; `None` if it is too short.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (id, remainder) = bytes.split_first_chunk::<8>()?;
        Some(Self {
            id: u64::from_be_bytes(*id),
            is_idempotent: *remainder.get(8)? != 0,
        })
    }
}

/// Serial of the server that sent a response.
pub fn responding_server(bytes: &[u8]) -> Option<u64> {
    let serial = bytes.get(8..16)?;
    Some(serial.iter().fold(0, |value, b| value << 8 | u64::from(*b)))
}

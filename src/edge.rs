//! Receiving sockets: callers, backend servers, peers.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedSender;

use crate::action::TraceEvent;
use crate::codec;
use crate::codec::Inbound;
use crate::codec::Reply;
use crate::error::Error;
use crate::error::Result;
use crate::event::Event;
use crate::id;
use crate::inbox::ControlEvent;
use crate::peer;
use crate::peer::PeerMessage;
use crate::reason::Reason;
use crate::request::Flow;
use crate::shared::Shared;
use crate::worker::Input;

/// Largest datagram that UDP can carry, in bytes.
const MAX_UDP: usize = 65_535;

/// Binds a UDP socket that both threads and tasks can use.
pub(crate) fn bind(address: SocketAddr) -> Result<UdpSocket> {
    let io = |source| Error::Io {
        step: "bind",
        peer: address.to_string(),
        source,
    };
    let socket = UdpSocket::bind(address).map_err(io)?;
    socket.set_nonblocking(true).map_err(io)?;
    Ok(socket)
}

fn receiver(socket: &UdpSocket) -> Result<tokio::net::UdpSocket> {
    let io = |source| Error::Io {
        step: "receive",
        peer: "socket".to_owned(),
        source,
    };
    tokio::net::UdpSocket::from_std(socket.try_clone().map_err(io)?).map_err(io)
}

/// Starts receiving from callers of one service.
pub(crate) fn receive_from_callers(
    shared: Arc<Shared>,
    service: id::Service,
    socket: &UdpSocket,
) -> Result<()> {
    let socket = receiver(socket)?;
    let task = Arc::clone(&shared);
    task.spawn(async move {
        let mut buffer = vec![0; MAX_UDP];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let flow = Flow {
                service: service.clone(),
                caller: id::Endpoint(from),
            };
            let datagram = Bytes::copy_from_slice(&buffer[..length]);
            if let Some(message) = from_caller(&shared, flow, datagram, 0) {
                let _ = socket.send_to(&codec::write_rejection(message), from).await;
            }
        }
    });
    Ok(())
}

/// Gives a caller's datagram to its worker; returns the number of a ping.
fn from_caller(shared: &Shared, flow: Flow, datagram: Bytes, hops: u32) -> Option<u16> {
    if datagram.len() > shared.settings.limits.max_datagram as usize {
        note(shared, Reason::BadDatagram);
        return None;
    }
    let slice = shared.pool.slice(&flow);
    match codec::read_caller(&flow, &datagram) {
        Ok(Inbound::Request(request)) => {
            shared.pool.enqueue(slice, Event::Request { request, hops });
        }
        Ok(Inbound::Receipt { message, receipt }) => {
            let event = Event::Receipt {
                flow,
                message,
                receipt,
                hops,
                datagram,
            };
            shared.pool.enqueue(slice, event);
        }
        Ok(Inbound::Ping { message }) => return Some(message),
        Err(_) => note(shared, Reason::BadDatagram),
    }
    None
}

fn note(shared: &Shared, reason: Reason) {
    (shared.outputs.observe)(tokio::time::Instant::now(), &TraceEvent::new(reason));
}

/// Starts receiving from backend servers on one path.
pub(crate) fn answers(shared: Arc<Shared>, path: usize) -> Result<()> {
    let socket = receiver(&shared.outputs.server_sockets[path])?;
    let task = Arc::clone(&shared);
    task.spawn(async move {
        let mut buffer = vec![0; MAX_UDP];
        loop {
            // An error here is an ICMP message about an earlier datagram.
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let datagram = Bytes::copy_from_slice(&buffer[..length]);
            from_server(&shared, id::Endpoint(from), path, &datagram);
        }
    });
    Ok(())
}

fn from_server(shared: &Shared, from: id::Endpoint, path: usize, datagram: &Bytes) {
    match codec::read_server(from, datagram) {
        Ok(Reply::Answer {
            attempt,
            answer,
            acknowledge,
        }) => {
            let event = Event::Answer {
                from,
                attempt,
                answer,
            };
            let input = Input::Answer {
                event,
                from,
                server_socket: path,
                acknowledge,
            };
            if !shared.pool.enqueue_answer(attempt, input) {
                note(shared, Reason::ForeignAnswer);
            }
        }
        Ok(Reply::Empty) => {}
        Err(_) => note(shared, Reason::BadDatagram),
    }
}

/// Starts receiving from peers.
pub(crate) fn peers(
    shared: Arc<Shared>,
    socket: &UdpSocket,
    told: UnboundedSender<ControlEvent>,
) -> Result<()> {
    let socket = receiver(socket)?;
    let task = Arc::clone(&shared);
    task.spawn(async move {
        let mut buffer = vec![0; MAX_UDP];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            if from_peer(&shared, from, &buffer[..length], &told).is_err() {
                note(&shared, Reason::BadPeerMessage);
            }
        }
    });
    Ok(())
}

fn from_peer(
    shared: &Shared,
    address: SocketAddr,
    bytes: &[u8],
    told: &UnboundedSender<ControlEvent>,
) -> Result<()> {
    let frame = shared.link.verify_frame(address, bytes)?;
    let from = frame.from;
    match frame.body {
        PeerMessage::Relay(relay) => {
            let flow = peer::unpack_flow(relay.flow.as_ref())?;
            if relay.released {
                take_released(shared, from, flow, &relay)?;
            } else {
                from_caller(shared, flow, relay.datagram, relay.hops);
            }
        }
        PeerMessage::Heartbeat(message) => {
            let _ = told.send(ControlEvent::Heartbeat { from, message });
        }
        PeerMessage::TakeoverRequest(message) => {
            let slices = message.slices;
            let _ = told.send(ControlEvent::TakeoverRequested { from, slices });
        }
        body @ (PeerMessage::ReplicationStep(_)
        | PeerMessage::ReplicationAck(_)
        | PeerMessage::FinalOutcome(_)
        | PeerMessage::FeedTransfer(_)) => {
            if let Some(slice) = slice_of(&body) {
                shared.pool.enqueue(slice, Event::Peer { from, body });
            }
        }
        PeerMessage::ConfigRequest(_) | PeerMessage::ConfigResponse(_) => {
            return Err(Error::Decode {
                step: "peer message",
                peer: address.to_string(),
                reason: "copies travel over TCP".to_owned(),
            });
        }
    }
    Ok(())
}

fn take_released(shared: &Shared, from: id::Holder, flow: Flow, relay: &peer::Relay) -> Result<()> {
    if let Inbound::Request(request) = codec::read_caller(&flow, &relay.datagram)? {
        let slice = shared.pool.slice(&flow);
        let event = Event::ReleasedRequest {
            from,
            request,
            hops: relay.hops,
        };
        shared.pool.enqueue(slice, event);
    }
    Ok(())
}

fn slice_of(body: &PeerMessage) -> Option<id::Slice> {
    match body {
        PeerMessage::ReplicationStep(message) => Some(id::Slice(message.slice)),
        PeerMessage::ReplicationAck(message) => Some(id::Slice(message.slice)),
        PeerMessage::FinalOutcome(message) => Some(id::Slice(message.slice)),
        PeerMessage::FeedTransfer(message) => Some(id::Slice(message.slice)),
        _ => None,
    }
}

/// Starts serving copies of the configuration to peers.
pub(crate) fn copies(shared: Arc<Shared>, listener: TcpListener) {
    let task = Arc::clone(&shared);
    task.spawn(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                continue;
            };
            let task = Arc::clone(&shared);
            let shared = Arc::clone(&shared);
            task.spawn(async move {
                let link = Arc::clone(&shared.link);
                let served = link.serve(stream, from, |pull| newer(&shared, &pull)).await;
                if served.is_err() {
                    note(&shared, Reason::BadPeerMessage);
                }
            });
        }
    });
}

/// Entries of ours that the peer does not have, and what it has but should not.
fn newer(shared: &Shared, pull: &peer::ConfigRequest) -> peer::ConfigResponse {
    let have: std::collections::HashMap<&str, u64> = pull
        .known_versions
        .iter()
        .map(|version| (version.key.as_str(), version.modified))
        .collect();
    let config = shared.config();
    let missing = config.shared().filter(|entry| {
        have.get(entry.key.as_str())
            .is_none_or(|known| *known < entry.mod_revision)
    });
    let entries = missing.map(|entry| peer::Entry {
        key: entry.key.clone(),
        modified: entry.mod_revision,
        value: entry.value.clone(),
    });
    let gone = pull.known_versions.iter().filter_map(|version| {
        let modified = config.deleted_since(&version.key, version.modified)?;
        let key = version.key.clone();
        Some(peer::Version { key, modified })
    });
    peer::ConfigResponse {
        entries: entries.collect(),
        deleted: gone.collect(),
    }
}

//! Receives datagrams from callers, backend servers and peers.

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

/// Size of a receive buffer, in bytes: no UDP datagram is larger.
const MAX_UDP_DATAGRAM: usize = 65_535;

/// Binds a non-blocking UDP socket, usable by threads and by tasks.
pub(crate) fn bind(address: SocketAddr) -> Result<UdpSocket> {
    let to_error = |source| Error::Io {
        step: "bind",
        peer: address.to_string(),
        source,
    };
    let socket = UdpSocket::bind(address).map_err(to_error)?;
    socket.set_nonblocking(true).map_err(to_error)?;
    Ok(socket)
}

fn async_socket(socket: &UdpSocket) -> Result<tokio::net::UdpSocket> {
    let to_error = |source| Error::Io {
        step: "receive",
        peer: "socket".to_owned(),
        source,
    };
    tokio::net::UdpSocket::from_std(socket.try_clone().map_err(to_error)?).map_err(to_error)
}

/// Starts receiving from callers of one service.
pub(crate) fn receive_from_callers(
    shared: Arc<Shared>,
    service: id::Service,
    socket: &UdpSocket,
) -> Result<()> {
    let socket = async_socket(socket)?;
    let spawner = Arc::clone(&shared);
    spawner.spawn(async move {
        let mut buffer = vec![0; MAX_UDP_DATAGRAM];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let flow = Flow {
                service: service.clone(),
                caller: id::Endpoint(from),
            };
            let datagram = Bytes::copy_from_slice(&buffer[..length]);
            if let Some(message) = handle_caller_datagram(&shared, flow, datagram, 0) {
                let _ = socket.send_to(&codec::write_rejection(message), from).await;
            }
        }
    });
    Ok(())
}

/// Queues a caller's datagram for the worker of its slice. For a ping, returns its
/// message number, which has to be answered with a reset.
fn handle_caller_datagram(shared: &Shared, flow: Flow, datagram: Bytes, hops: u32) -> Option<u16> {
    if datagram.len() > shared.settings.limits.max_datagram as usize {
        record_reason(shared, Reason::BadDatagram);
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
        Err(_) => record_reason(shared, Reason::BadDatagram),
    }
    None
}

fn record_reason(shared: &Shared, reason: Reason) {
    (shared.outputs.observe)(tokio::time::Instant::now(), &TraceEvent::new(reason));
}

/// Starts receiving from backend servers on the socket with this index.
pub(crate) fn receive_answers(shared: Arc<Shared>, server_socket: usize) -> Result<()> {
    let socket = async_socket(&shared.outputs.server_sockets[server_socket])?;
    let spawner = Arc::clone(&shared);
    spawner.spawn(async move {
        let mut buffer = vec![0; MAX_UDP_DATAGRAM];
        loop {
            // An error here is an ICMP error caused by an earlier datagram.
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let datagram = Bytes::copy_from_slice(&buffer[..length]);
            handle_server_datagram(&shared, id::Endpoint(from), server_socket, &datagram);
        }
    });
    Ok(())
}

fn handle_server_datagram(
    shared: &Shared,
    from: id::Endpoint,
    server_socket: usize,
    datagram: &Bytes,
) {
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
                server_socket,
                acknowledge,
            };
            if !shared.pool.enqueue_answer(attempt, input) {
                record_reason(shared, Reason::ForeignAnswer);
            }
        }
        Ok(Reply::Empty) => {}
        Err(_) => record_reason(shared, Reason::BadDatagram),
    }
}

/// Starts receiving datagrams from peers.
pub(crate) fn receive_from_peers(
    shared: Arc<Shared>,
    socket: &UdpSocket,
    control_events: UnboundedSender<ControlEvent>,
) -> Result<()> {
    let socket = async_socket(socket)?;
    let spawner = Arc::clone(&shared);
    spawner.spawn(async move {
        let mut buffer = vec![0; MAX_UDP_DATAGRAM];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            if handle_peer_frame(&shared, from, &buffer[..length], &control_events).is_err() {
                record_reason(&shared, Reason::BadPeerMessage);
            }
        }
    });
    Ok(())
}

fn handle_peer_frame(
    shared: &Shared,
    address: SocketAddr,
    bytes: &[u8],
    control_events: &UnboundedSender<ControlEvent>,
) -> Result<()> {
    let frame = shared.link.verify_frame(address, bytes)?;
    let from = frame.from;
    match frame.body {
        PeerMessage::Relay(relay) => {
            let flow = peer::unpack_flow(relay.flow.as_ref())?;
            if relay.released {
                enqueue_released(shared, from, flow, &relay)?;
            } else {
                handle_caller_datagram(shared, flow, relay.datagram, relay.hops);
            }
        }
        PeerMessage::Heartbeat(message) => {
            let _ = control_events.send(ControlEvent::Heartbeat { from, message });
        }
        PeerMessage::TakeoverRequest(message) => {
            let slices = message.slices;
            let _ = control_events.send(ControlEvent::TakeoverRequested { from, slices });
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
                reason: "configuration messages are sent over TCP only".to_owned(),
            });
        }
    }
    Ok(())
}

fn enqueue_released(
    shared: &Shared,
    from: id::Holder,
    flow: Flow,
    relay: &peer::Relay,
) -> Result<()> {
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

/// Starts serving the configuration to peers that request it over TCP.
pub(crate) fn serve_config(shared: Arc<Shared>, listener: TcpListener) {
    let spawner = Arc::clone(&shared);
    spawner.spawn(async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                continue;
            };
            let spawner = Arc::clone(&shared);
            let shared = Arc::clone(&shared);
            spawner.spawn(async move {
                let link = Arc::clone(&shared.link);
                let served = link
                    .serve(stream, from, |request| config_changes(&shared, &request))
                    .await;
                if served.is_err() {
                    record_reason(&shared, Reason::BadPeerMessage);
                }
            });
        }
    });
}

/// Entries that are newer here than at the peer, and keys of the peer that have been
/// deleted.
fn config_changes(shared: &Shared, request: &peer::ConfigRequest) -> peer::ConfigResponse {
    let known: std::collections::HashMap<&str, u64> = request
        .known_versions
        .iter()
        .map(|version| (version.key.as_str(), version.modified))
        .collect();
    let config = shared.config();
    let newer = config.shared().filter(|entry| {
        known
            .get(entry.key.as_str())
            .is_none_or(|known| *known < entry.mod_revision)
    });
    let entries = newer.map(|entry| peer::Entry {
        key: entry.key.clone(),
        modified: entry.mod_revision,
        value: entry.value.clone(),
    });
    let deleted = request.known_versions.iter().filter_map(|version| {
        let modified = config.deleted_since(&version.key, version.modified)?;
        let key = version.key.clone();
        Some(peer::Version { key, modified })
    });
    peer::ConfigResponse {
        entries: entries.collect(),
        deleted: deleted.collect(),
    }
}

//! UDP socket that receives callers' packets and forwards them to backend servers.

use std::io;
use std::net::SocketAddrV4;

use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::entry::Codec;
use crate::entry::SERVER_HEADER_LEN;
use crate::error::Error;
use crate::error::Result;
use crate::flow::Admission;
use crate::flow::Datagram;
use crate::flow::Egress;
use crate::flow::Resend;
use crate::flow::Segment;
use crate::flow::Target;

/// The socket, with a buffer for one packet and its server header.
pub(crate) struct Socket {
    udp: UdpSocket,
    codec: Codec,
    buffer: Vec<u8>,
    egress: Egress,
}

impl Socket {
    pub(crate) async fn bind(address: SocketAddrV4, codec: Codec, egress: Egress) -> Result<Self> {
        let udp = UdpSocket::bind(address).await.map_err(|source| Error::Io {
            step: "bind packet address",
            peer: address.to_string(),
            source,
        })?;
        // The extra byte makes an oversized packet visible instead of truncating it.
        let buffer = vec![0; SERVER_HEADER_LEN + codec.max_packet_len + 1];
        Ok(Self {
            udp,
            codec,
            buffer,
            egress,
        })
    }

    /// Sets the rate of the link, in bytes per second.
    pub(crate) fn set_link_rate(&mut self, bytes_per_second: f64) {
        self.egress.set_rate(bytes_per_second);
    }

    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.udp.readable().await
    }

    /// Reads the next packet into the buffer and returns its length; `None` if no packet
    /// is waiting.
    pub(crate) fn receive(&mut self) -> io::Result<Option<usize>> {
        match self.udp.try_recv(&mut self.buffer[SERVER_HEADER_LEN..]) {
            Ok(length) => Ok(Some(length)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Copies a packet into the buffer as if it had just been read, and returns its
    /// length.
    pub(crate) fn load(&mut self, packet: &[u8]) -> usize {
        self.buffer[SERVER_HEADER_LEN..SERVER_HEADER_LEN + packet.len()].copy_from_slice(packet);
        packet.len()
    }

    /// The packet in the buffer.
    pub(crate) fn packet(&self, length: usize) -> &[u8] {
        &self.buffer[SERVER_HEADER_LEN..SERVER_HEADER_LEN + length]
    }

    /// Sends the packet in the buffer to its server, or queues it for the link. Returns
    /// `false` if the queue is full and the packet is dropped.
    pub(crate) fn forward(
        &mut self,
        now: Instant,
        segment: &Segment,
        length: usize,
        target: &Target,
    ) -> io::Result<bool> {
        let datagram = &mut self.buffer[..SERVER_HEADER_LEN + length];
        write_target(&self.codec, datagram, target);
        if self.egress.try_pass(now, datagram.len()) {
            self.udp.try_send_to(datagram, target.address.into())?;
            return Ok(true);
        }
        let datagram = Datagram {
            bytes: datagram.to_vec(),
            to: target.address,
        };
        Ok(self.egress.enqueue(segment, datagram) != Admission::Refused)
    }

    /// Sends the next queued packet, if the link has room for it.
    pub(crate) fn send_next(&mut self, now: Instant) -> Option<io::Result<()>> {
        let datagram = self.egress.next(now)?;
        let sent = self.udp.try_send_to(&datagram.bytes, datagram.to.into());
        Some(sent.map(|_| ()))
    }

    /// When the link will have room for the next queued packet.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.egress.next_due()
    }

    /// Bytes in the queue for the link.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.egress.queued_bytes()
    }

    /// Sends a stored opening packet to another server. It bypasses the queue, since it
    /// is small and its caller has been waiting already.
    pub(crate) fn resend(&mut self, now: Instant, resend: &Resend) -> io::Result<()> {
        let mut datagram = vec![0; SERVER_HEADER_LEN];
        datagram.extend_from_slice(&resend.packet);
        write_target(&self.codec, &mut datagram, &resend.target);
        let to = resend.target.address.into();
        self.egress.charge(now, datagram.len());
        self.udp.try_send_to(&datagram, to)?;
        Ok(())
    }

    /// Sends the packet that resets the flow of a caller's packet. Callers receive on the
    /// port number of this socket, whatever port they send from.
    pub(crate) fn reset(&self, segment: &Segment) -> io::Result<()> {
        let port = self.udp.local_addr()?.port();
        let to = SocketAddrV4::new(*segment.flow_key.caller.ip(), port);
        let packet = (self.codec.reset_packet)(segment);
        self.udp.try_send_to(&packet, to.into())?;
        Ok(())
    }
}

/// Writes the server header and the routing tag into a datagram.
fn write_target(codec: &Codec, datagram: &mut [u8], target: &Target) {
    let (header, packet) = datagram.split_at_mut(SERVER_HEADER_LEN);
    header.copy_from_slice(&(codec.server_header)(target.serial));
    (codec.set_tag)(packet, target.tag);
}

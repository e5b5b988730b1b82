//! The UDP socket between callers and backend servers.

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

/// A socket with room for one packet and the bytes in front of it.
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
        // One byte more than the largest packet shows one that is too large.
        let buffer = vec![0; SERVER_HEADER_LEN + codec.max_packet_len + 1];
        Ok(Self {
            udp,
            codec,
            buffer,
            egress,
        })
    }

    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.udp.readable().await
    }

    /// Reads the next packet that waits; its length, or `None`.
    pub(crate) fn receive(&mut self) -> io::Result<Option<usize>> {
        match self.udp.try_recv(&mut self.buffer[SERVER_HEADER_LEN..]) {
            Ok(length) => Ok(Some(length)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Puts a packet back in the place of the one read last; its length.
    pub(crate) fn load(&mut self, packet: &[u8]) -> usize {
        self.buffer[SERVER_HEADER_LEN..SERVER_HEADER_LEN + packet.len()].copy_from_slice(packet);
        packet.len()
    }

    /// The packet read last.
    pub(crate) fn packet(&self, length: usize) -> &[u8] {
        &self.buffer[SERVER_HEADER_LEN..SERVER_HEADER_LEN + length]
    }

    /// Passes on the packet read last, or lets it wait for the link; `false` when too
    /// much waits already.
    pub(crate) fn forward(
        &mut self,
        now: Instant,
        segment: &Segment,
        length: usize,
        target: &Target,
    ) -> io::Result<bool> {
        let datagram = &mut self.buffer[..SERVER_HEADER_LEN + length];
        address(&self.codec, datagram, target);
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

    /// Sends the next packet that waits, if the link has room for it.
    pub(crate) fn send_next(&mut self, now: Instant) -> Option<io::Result<()>> {
        let datagram = self.egress.next(now)?;
        let sent = self.udp.try_send_to(&datagram.bytes, datagram.to.into());
        Some(sent.map(|_| ()))
    }

    /// When the link has room for the next packet that waits.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.egress.next_due()
    }

    /// Bytes that wait for the link.
    pub(crate) fn waiting(&self) -> usize {
        self.egress.queued_bytes()
    }

    /// Sends a kept packet. It is small, and its caller has waited already.
    pub(crate) fn resend(&mut self, now: Instant, resend: &Resend) -> io::Result<()> {
        let mut datagram = vec![0; SERVER_HEADER_LEN];
        datagram.extend_from_slice(&resend.packet);
        address(&self.codec, &mut datagram, &resend.target);
        let to = resend.target.address.into();
        self.egress.charge(now, datagram.len());
        self.udp.try_send_to(&datagram, to)?;
        Ok(())
    }

    /// Resets the flow of a caller's packet. Callers take packets at the port
    /// number of the packet address, whatever their own.
    pub(crate) fn reset(&self, segment: &Segment) -> io::Result<()> {
        let port = self.udp.local_addr()?.port();
        let to = SocketAddrV4::new(*segment.flow_key.caller.ip(), port);
        let packet = (self.codec.reset_packet)(segment);
        self.udp.try_send_to(&packet, to.into())?;
        Ok(())
    }
}

fn address(codec: &Codec, datagram: &mut [u8], target: &Target) {
    let (envelope, packet) = datagram.split_at_mut(SERVER_HEADER_LEN);
    envelope.copy_from_slice(&(codec.server_header)(target.serial));
    (codec.set_tag)(packet, target.tag);
}

//! The UDP socket between callers and backend servers.

use std::io;
use std::net::SocketAddrV4;

use tokio::net::UdpSocket;

use crate::entry::Codec;
use crate::entry::ENVELOPE;
use crate::error::Error;
use crate::error::Result;
use crate::flow::Resend;
use crate::flow::Segment;
use crate::flow::Target;

/// A socket with room for one packet and the bytes in front of it.
pub(crate) struct Socket {
    udp: UdpSocket,
    codec: Codec,
    buffer: Vec<u8>,
}

impl Socket {
    pub(crate) async fn bind(address: SocketAddrV4, codec: Codec) -> Result<Self> {
        let udp = UdpSocket::bind(address).await.map_err(|source| Error::Io {
            step: "bind packet address",
            peer: address.to_string(),
            source,
        })?;
        // One byte more than the largest packet shows one that is too large.
        let buffer = vec![0; ENVELOPE + codec.largest + 1];
        Ok(Self { udp, codec, buffer })
    }

    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.udp.readable().await
    }

    /// Reads the next packet that waits; its length, or `None`.
    pub(crate) fn receive(&mut self) -> io::Result<Option<usize>> {
        match self.udp.try_recv(&mut self.buffer[ENVELOPE..]) {
            Ok(length) => Ok(Some(length)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// The packet read last.
    pub(crate) fn packet(&self, length: usize) -> &[u8] {
        &self.buffer[ENVELOPE..ENVELOPE + length]
    }

    /// Passes on the packet read last.
    pub(crate) fn forward(&mut self, length: usize, target: &Target) -> io::Result<()> {
        let datagram = &mut self.buffer[..ENVELOPE + length];
        address(&self.codec, datagram, target);
        self.udp.try_send_to(datagram, target.address.into())?;
        Ok(())
    }

    /// Sends a kept packet.
    pub(crate) fn resend(&self, resend: &Resend) -> io::Result<()> {
        let mut datagram = vec![0; ENVELOPE];
        datagram.extend_from_slice(&resend.packet);
        address(&self.codec, &mut datagram, &resend.target);
        let to = resend.target.address.into();
        self.udp.try_send_to(&datagram, to)?;
        Ok(())
    }

    /// Resets the flow of a caller's packet. Callers take packets at the port
    /// number of the packet address, whatever their own.
    pub(crate) fn reset(&self, segment: &Segment) -> io::Result<()> {
        let port = self.udp.local_addr()?.port();
        let to = SocketAddrV4::new(*segment.pair.caller.ip(), port);
        let packet = (self.codec.reset)(segment);
        self.udp.try_send_to(&packet, to.into())?;
        Ok(())
    }
}

fn address(codec: &Codec, datagram: &mut [u8], target: &Target) {
    let (envelope, packet) = datagram.split_at_mut(ENVELOPE);
    envelope.copy_from_slice(&(codec.envelope)(target.serial));
    (codec.set_tag)(packet, target.tag);
}

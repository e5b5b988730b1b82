//! Frames between instances: a message with its sender, a sequence number and a MAC.
//!
//! Small messages are sent as one UDP datagram each. Copies of the configuration can be
//! larger than a datagram and are sent over TCP with a length prefix.

use std::collections::HashMap;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use prost::Message;
use sha2::Sha256;

use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::peer::PeerMessage;

/// Length of the MAC at the end of a frame, in bytes.
pub const MAC_LENGTH: usize = 16;

/// Maximum size of a frame received over TCP, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// Size of the replay window: how many sequence numbers behind the newest a late frame
/// is still accepted.
const REPLAY_WINDOW: u64 = 4096;

/// Content of a frame without its MAC.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Name and incarnation of the sender, as `NAME#INCARNATION`.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Name of the receiver; empty if the sender does not know it yet.
    #[prost(string, tag = "2")]
    pub to: String,
    /// Sequence number of the frame within the sender's incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The message.
    #[prost(oneof = "PeerMessage", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<PeerMessage>,
}

/// A verified frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Name and incarnation of the sender.
    pub from: id::Holder,
    /// Sequence number of the frame within the sender's incarnation.
    pub sequence: u64,
    /// The message.
    pub body: PeerMessage,
}

/// Keys of the fleet: frames are signed with the first one and accepted with any.
#[derive(Clone)]
pub struct Keys(Vec<Hmac<Sha256>>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Keys({})", self.0.len())
    }
}

impl Keys {
    /// Prepares the keys for signing and verification.
    ///
    /// # Errors
    ///
    /// [`Error::Decode`] if there is no key or one of them is not usable.
    pub fn new<'a>(keys: impl IntoIterator<Item = &'a [u8]>) -> Result<Self> {
        let keys: std::result::Result<Vec<_>, _> = keys
            .into_iter()
            .map(Hmac::<Sha256>::new_from_slice)
            .collect();
        match keys {
            Ok(keys) if !keys.is_empty() => Ok(Self(keys)),
            _ => Err(malformed("keys", "settings", "no usable key")),
        }
    }

    fn sign(&self, bytes: &[u8]) -> [u8; MAC_LENGTH] {
        let mut mac = self.0[0].clone();
        mac.update(bytes);
        let full = mac.finalize().into_bytes();
        let mut truncated = [0; MAC_LENGTH];
        truncated.copy_from_slice(&full[..MAC_LENGTH]);
        truncated
    }

    fn verify(&self, bytes: &[u8], mac: &[u8]) -> bool {
        self.0.iter().any(|key| {
            let mut expected = key.clone();
            expected.update(bytes);
            expected.verify_truncated_left(mac).is_ok()
        })
    }
}

fn malformed(step: &'static str, peer: &str, reason: &str) -> Error {
    Error::Decode {
        step,
        peer: peer.to_owned(),
        reason: reason.to_owned(),
    }
}

/// Encodes and signs a frame.
pub fn sign_frame(keys: &Keys, envelope: &Envelope) -> Vec<u8> {
    let mut bytes = envelope.encode_to_vec();
    let mac = keys.sign(&bytes);
    bytes.extend_from_slice(&mac);
    bytes
}

/// Verifies and decodes a frame. Replays are detected by [`ReplayGuard`].
///
/// # Errors
///
/// [`Error::Decode`] if the frame has no valid MAC, is addressed to another instance, or
/// is malformed.
pub fn verify_frame(keys: &Keys, me: &id::Instance, peer: &str, frame: &[u8]) -> Result<Frame> {
    const STEP: &str = "peer frame";
    let (bytes, mac) = frame
        .split_last_chunk::<MAC_LENGTH>()
        .ok_or_else(|| malformed(STEP, peer, "frame is shorter than its MAC"))?;
    if !keys.verify(bytes, mac) {
        return Err(malformed(STEP, peer, "MAC does not match"));
    }
    let envelope =
        Envelope::decode(bytes).map_err(|error| malformed(STEP, peer, &error.to_string()))?;
    // Without this check, a frame for one instance could be replayed to another, which
    // would process it as its own.
    if !envelope.to.is_empty() && envelope.to != me.as_str() {
        return Err(malformed(
            STEP,
            peer,
            "frame is addressed to another instance",
        ));
    }
    Ok(Frame {
        from: envelope.from.parse()?,
        sequence: envelope.sequence,
        body: envelope
            .body
            .ok_or_else(|| malformed(STEP, peer, "frame contains no message"))?,
    })
}

/// Detects frames that were received before.
///
/// A heartbeat replayed by an attacker would make a dead instance appear alive to its
/// backup, and its slices would stay without a home.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    windows: HashMap<id::Instance, SequenceWindow>,
}

/// Sequence numbers recently received from one incarnation of an instance.
#[derive(Debug)]
struct SequenceWindow {
    incarnation: id::Incarnation,
    newest: u64,
    received: Vec<u64>,
}

impl ReplayGuard {
    /// Whether the frame is accepted: each frame is accepted once; frames of an earlier
    /// incarnation of the sender or too far behind the newest one never are.
    pub fn admit(&mut self, from: &id::Holder, sequence: u64) -> bool {
        let window = self.windows.entry(from.instance.clone());
        let window = window.or_insert_with(|| SequenceWindow::new(from.incarnation));
        if from.incarnation < window.incarnation {
            return false;
        }
        if from.incarnation > window.incarnation {
            *window = SequenceWindow::new(from.incarnation);
        }
        window.admit(sequence)
    }
}

impl SequenceWindow {
    fn new(incarnation: id::Incarnation) -> Self {
        Self {
            incarnation,
            newest: 0,
            received: vec![0; (REPLAY_WINDOW / 64) as usize],
        }
    }

    fn admit(&mut self, sequence: u64) -> bool {
        if sequence + REPLAY_WINDOW <= self.newest {
            return false;
        }
        if sequence > self.newest {
            let first = (self.newest + 1).max((sequence + 1).saturating_sub(REPLAY_WINDOW));
            for skipped in first..=sequence {
                self.set_received(skipped, false);
            }
            self.newest = sequence;
        }
        if self.is_received(sequence) {
            return false;
        }
        self.set_received(sequence, true);
        true
    }

    fn is_received(&self, sequence: u64) -> bool {
        let index = sequence % REPLAY_WINDOW;
        self.received[(index / 64) as usize] & 1 << (index % 64) != 0
    }

    fn set_received(&mut self, sequence: u64, received: bool) {
        let index = sequence % REPLAY_WINDOW;
        let word = &mut self.received[(index / 64) as usize];
        let bit = 1 << (index % 64);
        if received {
            *word |= bit;
        } else {
            *word &= !bit;
        }
    }
}

//! Frames between entry instances: who sent it, when in its life, and a keyed MAC.
//!
//! Small messages travel one to a UDP datagram. Copies of the configuration can
//! be larger than a datagram and travel over TCP, framed by their length.

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

/// Largest frame taken over TCP, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// Frames back from the newest in which a late one is still taken.
const WINDOW: u64 = 4096;

/// What is sent, before the MAC.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The sender's life, as `NAME#INCARNATION`.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Name of the receiver; empty where the sender does not know it yet.
    #[prost(string, tag = "2")]
    pub to: String,
    /// Number of the frame in the sender's life.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The message.
    #[prost(oneof = "PeerMessage", tags = "4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<PeerMessage>,
}

/// A frame that was checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The sender's life.
    pub from: id::Holder,
    /// Number of the frame in the sender's life.
    pub sequence: u64,
    /// The message.
    pub body: PeerMessage,
}

/// Keys of the fleet: the first signs, all are accepted.
#[derive(Clone)]
pub struct Keys(Vec<Hmac<Sha256>>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Keys({})", self.0.len())
    }
}

impl Keys {
    /// Prepares the keys.
    ///
    /// # Errors
    ///
    /// [`Error::Decode`] if there is none, or one cannot be used.
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
        let mut short = [0; MAC_LENGTH];
        short.copy_from_slice(&full[..MAC_LENGTH]);
        short
    }

    fn accept(&self, bytes: &[u8], mac: &[u8]) -> bool {
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

/// Writes and signs a frame.
pub fn sign_frame(keys: &Keys, envelope: &Envelope) -> Vec<u8> {
    let mut bytes = envelope.encode_to_vec();
    let mac = keys.sign(&bytes);
    bytes.extend_from_slice(&mac);
    bytes
}

/// Checks and reads a frame. Whether it is a replay is for [`ReplayGuard`] to say.
///
/// # Errors
///
/// [`Error::Decode`] if it is forged, meant for another instance, or malformed.
pub fn verify_frame(keys: &Keys, me: &id::Instance, peer: &str, frame: &[u8]) -> Result<Frame> {
    const STEP: &str = "peer frame";
    let (bytes, mac) = frame
        .split_last_chunk::<MAC_LENGTH>()
        .ok_or_else(|| malformed(STEP, peer, "too short"))?;
    if !keys.accept(bytes, mac) {
        return Err(malformed(STEP, peer, "MAC does not match"));
    }
    let envelope =
        Envelope::decode(bytes).map_err(|error| malformed(STEP, peer, &error.to_string()))?;
    // A frame for one instance that is sent again to another would be taken for
    // a message to it.
    if !envelope.to.is_empty() && envelope.to != me.as_str() {
        return Err(malformed(STEP, peer, "meant for another instance"));
    }
    Ok(Frame {
        from: envelope.from.parse()?,
        sequence: envelope.sequence,
        body: envelope
            .body
            .ok_or_else(|| malformed(STEP, peer, "no message"))?,
    })
}

/// Recognises frames that were taken before.
///
/// A heartbeat sent again by someone in between would keep a dead instance alive
/// for its backup, and its slices would get no home.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    lives: HashMap<id::Instance, Life>,
}

#[derive(Debug)]
struct Life {
    incarnation: id::Incarnation,
    newest: u64,
    taken: Vec<u64>,
}

impl ReplayGuard {
    /// Whether the frame is new. Each is new once; those of an earlier life of the
    /// sender, or too far behind the newest, never are.
    pub fn admit(&mut self, from: &id::Holder, sequence: u64) -> bool {
        let life = self.lives.entry(from.instance.clone());
        let life = life.or_insert_with(|| Life::new(from.incarnation));
        if from.incarnation < life.incarnation {
            return false;
        }
        if from.incarnation > life.incarnation {
            *life = Life::new(from.incarnation);
        }
        life.admit(sequence)
    }
}

impl Life {
    fn new(incarnation: id::Incarnation) -> Self {
        Self {
            incarnation,
            newest: 0,
            taken: vec![0; (WINDOW / 64) as usize],
        }
    }

    fn admit(&mut self, sequence: u64) -> bool {
        if sequence + WINDOW <= self.newest {
            return false;
        }
        if sequence > self.newest {
            let first = (self.newest + 1).max((sequence + 1).saturating_sub(WINDOW));
            for passed in first..=sequence {
                self.set(passed, false);
            }
            self.newest = sequence;
        }
        if self.get(sequence) {
            return false;
        }
        self.set(sequence, true);
        true
    }

    fn get(&self, sequence: u64) -> bool {
        let place = sequence % WINDOW;
        self.taken[(place / 64) as usize] & 1 << (place % 64) != 0
    }

    fn set(&mut self, sequence: u64, taken: bool) {
        let place = sequence % WINDOW;
        let word = &mut self.taken[(place / 64) as usize];
        let bit = 1 << (place % 64);
        if taken {
            *word |= bit;
        } else {
            *word &= !bit;
        }
    }
}

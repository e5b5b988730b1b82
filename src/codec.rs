//! CoAP at the edges: between datagrams and the types of [`crate::request`].
//!
//! This is the only module that knows the callers' protocol (RFC 7252, with
//! Observe of RFC 7641 and block-wise transfer of RFC 7959).

use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use bytes::Bytes;
use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;
use coap_lite::RequestType;
use coap_lite::ResponseType;
use siphasher::sip::SipHasher13;

use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::request::Answer;
use crate::request::BodyBlock;
use crate::request::Flow;
use crate::request::Id;
use crate::request::Kind;
use crate::request::Outcome;
use crate::request::Receipt;
use crate::request::Request;
use crate::request::Token;
use crate::request::Verdict;

/// Elective option that tells a backend server how many milliseconds are left.
/// From the range for experiments (RFC 7252, section 12.2); even, so that a
/// server that does not know it ignores it.
pub const DEADLINE_OPTION: u16 = 65_000;

/// Bits of an [`Id`] below the message number.
const TOKEN_BITS: u32 = 72;

const OBSERVE_OPEN: u32 = 0;
const OBSERVE_CLOSE: u32 = 1;
const BLOCK_MORE: u32 = 0x8;
const BLOCK_NUMBER_SHIFT: u32 = 4;
const ATTEMPT_LENGTH: usize = 8;

/// Keeps the parts of two bodies to one resource apart (RFC 9175).
const REQUEST_TAG: CoapOption = CoapOption::Unknown(292);

/// A datagram from a caller.
#[derive(Clone, Debug)]
pub enum Inbound {
    /// A request.
    Request(Request),
    /// A receipt for one of our messages.
    Receipt {
        /// The message's number.
        message: u16,
        /// What the caller says.
        receipt: Receipt,
    },
    /// A probe that wants any reply.
    Ping {
        /// The probe's number.
        message: u16,
    },
}

/// A datagram from a backend server.
#[derive(Clone, Debug)]
pub enum Reply {
    /// An answer to one sending.
    Answer {
        /// Which sending.
        attempt: id::Attempt,
        /// The answer.
        answer: Answer,
        /// Number to acknowledge, if the server wants that.
        acknowledge: Option<u16>,
    },
    /// An empty message: the server has a request and will answer later, or
    /// knows nothing of a message.
    Empty,
}

fn decode(bytes: &[u8], peer: &dyn std::fmt::Display) -> Result<Packet> {
    let packet = Packet::from_bytes(bytes).map_err(|error| refuse(peer, error.to_string()))?;
    if packet.header.get_version() != 1 {
        return Err(refuse(peer, "version is not 1".to_owned()));
    }
    Ok(packet)
}

fn refuse(peer: &dyn std::fmt::Display, reason: String) -> Error {
    Error::Decode {
        step: "CoAP datagram",
        peer: peer.to_string(),
        reason,
    }
}

fn pack_token(token: &[u8]) -> Token {
    let value = token
        .iter()
        .fold(0u128, |value, byte| value << 8 | u128::from(*byte));
    Token((token.len() as u128) << 64 | value)
}

fn token_bytes(token: Token) -> Vec<u8> {
    let length = (token.0 >> 64) as usize;
    let bytes = (token.0 as u64).to_be_bytes();
    bytes[bytes.len().saturating_sub(length)..].to_vec()
}

fn pack_id(message: u16, token: Token) -> Id {
    Id(u128::from(message) << TOKEN_BITS | token.0)
}

fn message_of(id: Id) -> u16 {
    (id.0 >> TOKEN_BITS) as u16
}

fn option(packet: &Packet, option: CoapOption) -> Option<u32> {
    const LONGEST: usize = 4;
    let value = packet.get_first_option(option)?;
    (value.len() <= LONGEST).then(|| {
        value
            .iter()
            .fold(0, |number, byte| number << 8 | u32::from(*byte))
    })
}

/// An unsigned option value without leading zeros (RFC 7252, section 3.2).
fn shorten(number: u32) -> Vec<u8> {
    let bytes = number.to_be_bytes();
    let skip = bytes.iter().take_while(|byte| **byte == 0).count();
    bytes[skip..].to_vec()
}

/// Reads a caller's datagram.
///
/// # Errors
///
/// [`Error::Decode`] if it is malformed or not a request or receipt.
pub fn read_caller(flow: &Flow, datagram: &Bytes) -> Result<Inbound> {
    let packet = decode(datagram, &flow.caller)?;
    let message = packet.header.message_id;
    let kind = packet.header.get_type();
    match (packet.header.code, kind) {
        (MessageClass::Empty, MessageType::Acknowledgement) => Ok(Inbound::Receipt {
            message,
            receipt: Receipt::Acknowledged,
        }),
        (MessageClass::Empty, MessageType::Reset) => Ok(Inbound::Receipt {
            message,
            receipt: Receipt::Rejected,
        }),
        (MessageClass::Empty, MessageType::Confirmable) => Ok(Inbound::Ping { message }),
        (MessageClass::Request(method), MessageType::Confirmable | MessageType::NonConfirmable) => {
            let token = pack_token(packet.get_token());
            Ok(Inbound::Request(Request {
                flow: flow.clone(),
                id: pack_id(message, token),
                token,
                kind: kind_of(method, &packet)
                    .ok_or_else(|| refuse(&flow.caller, "unknown method".to_owned()))?,
                confirmable: kind == MessageType::Confirmable,
                block: part_of(method, &packet),
                datagram: datagram.clone(),
            }))
        }
        _ => Err(refuse(
            &flow.caller,
            "neither request nor receipt".to_owned(),
        )),
    }
}

fn kind_of(method: RequestType, packet: &Packet) -> Option<Kind> {
    let observe = option(packet, CoapOption::Observe);
    match (method, observe) {
        (RequestType::Get | RequestType::Fetch, Some(OBSERVE_OPEN)) => Some(Kind::OpenFeed),
        (RequestType::Get | RequestType::Fetch, Some(OBSERVE_CLOSE)) => Some(Kind::CloseFeed),
        (
            RequestType::Get
            | RequestType::Fetch
            | RequestType::Put
            | RequestType::Delete
            | RequestType::IPatch,
            _,
        ) => Some(Kind::Idempotent),
        (RequestType::Post | RequestType::Patch, _) => Some(Kind::NonIdempotent),
        (RequestType::UnKnown, _) => None,
    }
}

fn part_of(method: RequestType, packet: &Packet) -> BodyBlock {
    let later = |block| {
        let value = option(packet, block);
        value.is_some_and(|value| value >> BLOCK_NUMBER_SHIFT > 0)
    };
    BodyBlock {
        body_id: body_of(method, packet),
        is_continuation: later(CoapOption::Block1) || later(CoapOption::Block2),
        is_upload: packet.get_option(CoapOption::Block1).is_some(),
    }
}

/// Names a body by all that its parts have in common (RFC 7959, section 2.4, and
/// the Request-Tag of RFC 9175).
fn body_of(method: RequestType, packet: &Packet) -> u64 {
    let mut hasher = SipHasher13::new();
    std::mem::discriminant(&method).hash(&mut hasher);
    for option in [CoapOption::UriPath, CoapOption::UriQuery, REQUEST_TAG] {
        let values = packet.get_option(option);
        values
            .into_iter()
            .flatten()
            .for_each(|value| value.hash(&mut hasher));
        // Ends the list, so that a path's last segment is no first query.
        hasher.write_u8(u8::MAX);
    }
    hasher.finish()
}

/// Rewrites a caller's datagram for a backend server.
///
/// # Errors
///
/// [`Error::Decode`] if the datagram is malformed.
pub fn write_forward(
    datagram: &[u8],
    service: &id::Service,
    attempt: id::Attempt,
    message: u16,
    remaining: Duration,
) -> Result<Vec<u8>> {
    let mut packet = decode(datagram, service)?;
    packet.header.set_type(MessageType::Confirmable);
    packet.header.message_id = message;
    packet.set_token(attempt.0.to_be_bytes().to_vec());
    // A server of another service that has taken over the address refuses on
    // this name, whatever our tables say.
    packet.clear_option(CoapOption::UriHost);
    packet.add_option(CoapOption::UriHost, service.as_str().as_bytes().to_vec());
    let left = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
    packet.add_option(CoapOption::Unknown(DEADLINE_OPTION), shorten(left));
    encode(&packet, datagram)
}

fn encode(packet: &Packet, original: &[u8]) -> Result<Vec<u8>> {
    const CODE: usize = 1;
    let mut bytes = packet
        .to_bytes_unlimited()
        .map_err(|error| refuse(&"itself", error.to_string()))?;
    // The library folds codes that it does not know into one: keep the original.
    if let (Some(code), Some(kept)) = (bytes.get_mut(CODE), original.get(CODE)) {
        *code = *kept;
    }
    Ok(bytes)
}

/// Reads a backend server's datagram.
///
/// # Errors
///
/// [`Error::Decode`] if it is malformed, or no answer to a sending of ours.
pub fn read_server(from: id::Endpoint, datagram: &Bytes) -> Result<Reply> {
    let packet = decode(datagram, &from)?;
    let kind = packet.header.get_type();
    match packet.header.code {
        MessageClass::Empty => return Ok(Reply::Empty),
        MessageClass::Response(_) => {}
        _ => return Err(refuse(&from, "not an answer".to_owned())),
    }
    let token: [u8; ATTEMPT_LENGTH] = packet
        .get_token()
        .try_into()
        .map_err(|_| refuse(&from, "not a token of ours".to_owned()))?;
    let code = packet.header.code;
    let verdict = match code {
        MessageClass::Response(ResponseType::ServiceUnavailable) => Verdict::Refused,
        MessageClass::Response(ResponseType::NotFound) => Verdict::NotFound,
        _ => Verdict::Handled,
    };
    let more = option(&packet, CoapOption::Block2).is_some_and(|block| block & BLOCK_MORE != 0)
        || code == MessageClass::Response(ResponseType::Continue);
    let answer = Answer {
        verdict,
        keeps_feed_open: packet.get_option(CoapOption::Observe).is_some(),
        has_more_blocks: more,
        retry_after: option(&packet, CoapOption::MaxAge),
        datagram: datagram.clone(),
    };
    let confirmable = kind == MessageType::Confirmable;
    Ok(Reply::Answer {
        attempt: id::Attempt(u64::from_be_bytes(token)),
        answer,
        acknowledge: confirmable.then_some(packet.header.message_id),
    })
}

/// How an answer to a caller is addressed.
#[derive(Clone, Copy, Debug)]
pub struct AnswerHeader {
    /// The request's identity.
    pub id: Id,
    /// The caller's token.
    pub token: Token,
    /// Whether the request was confirmable.
    pub confirmable: bool,
    /// Number of a message of its own; none to answer with the acknowledgement.
    pub separate: Option<u16>,
    /// Number for a plain reply.
    pub message: u16,
    /// Position in the feed that the answer opens.
    pub sequence: Option<u32>,
}

/// Writes the final outcome for a caller.
///
/// # Errors
///
/// [`Error::Decode`] if the server's datagram is malformed.
pub fn write_answer(address: &AnswerHeader, outcome: &Outcome) -> Result<Vec<u8>> {
    let (mut packet, original) = match outcome {
        Outcome::Answered(datagram) => (decode(datagram, &"server")?, datagram.clone()),
        Outcome::NotRun { retry_after } => {
            let mut packet = response(ResponseType::ServiceUnavailable);
            packet.add_option(CoapOption::MaxAge, shorten(*retry_after));
            packet.payload = b"not run".to_vec();
            (packet, Bytes::new())
        }
        Outcome::Unknown => {
            let mut packet = response(ResponseType::GatewayTimeout);
            packet.payload = b"outcome unknown".to_vec();
            (packet, Bytes::new())
        }
    };
    packet.set_token(token_bytes(address.token));
    set_sequence(&mut packet, address.sequence);
    let (kind, message) = match (address.separate, address.confirmable) {
        (Some(message), _) => (MessageType::Confirmable, message),
        (None, true) => (MessageType::Acknowledgement, message_of(address.id)),
        (None, false) => (MessageType::NonConfirmable, address.message),
    };
    packet.header.set_type(kind);
    packet.header.message_id = message;
    encode(&packet, &original)
}

/// Writes a notification; without a datagram it ends the feed.
///
/// # Errors
///
/// [`Error::Decode`] if the server's datagram is malformed.
pub fn write_notification(
    token: Token,
    message: u16,
    sequence: u32,
    confirmable: bool,
    datagram: Option<&Bytes>,
) -> Result<Vec<u8>> {
    let mut packet = match datagram {
        Some(datagram) => decode(datagram, &"server")?,
        None => response(ResponseType::ServiceUnavailable),
    };
    packet.set_token(token_bytes(token));
    let open = packet.get_option(CoapOption::Observe).is_some();
    set_sequence(&mut packet, open.then_some(sequence));
    packet.header.set_type(if confirmable {
        MessageType::Confirmable
    } else {
        MessageType::NonConfirmable
    });
    packet.header.message_id = message;
    let original = datagram.cloned().unwrap_or_default();
    encode(&packet, &original)
}

fn response(code: ResponseType) -> Packet {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Response(code);
    packet
}

fn set_sequence(packet: &mut Packet, sequence: Option<u32>) {
    packet.clear_option(CoapOption::Observe);
    if let Some(sequence) = sequence {
        packet.add_option(CoapOption::Observe, shorten(sequence));
    }
}

/// Writes the acknowledgement of a request that is answered later.
pub fn write_acknowledgement(id: Id) -> Vec<u8> {
    write_empty(MessageType::Acknowledgement, message_of(id))
}

/// Writes the acknowledgement of a server's message.
pub fn write_server_acknowledgement(message: u16) -> Vec<u8> {
    write_empty(MessageType::Acknowledgement, message)
}

/// Writes the rejection of a message: the reply to a ping, or to an answer that
/// nobody waits for.
pub fn write_rejection(message: u16) -> Vec<u8> {
    write_empty(MessageType::Reset, message)
}

/// Number of a datagram that was read before.
pub fn message_number(datagram: &[u8]) -> Option<u16> {
    let number = datagram.get(2..4)?;
    Some(u16::from_be_bytes([number[0], number[1]]))
}

fn write_empty(kind: MessageType, message: u16) -> Vec<u8> {
    const VERSION_1: u8 = 0x40;
    const TYPE_SHIFT: u8 = 4;
    let kind = match kind {
        MessageType::Confirmable => 0,
        MessageType::NonConfirmable => 1,
        MessageType::Acknowledgement => 2,
        MessageType::Reset => 3,
    };
    let [high, low] = message.to_be_bytes();
    vec![VERSION_1 | kind << TYPE_SHIFT, 0, high, low]
}

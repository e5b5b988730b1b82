//! Converts between CoAP datagrams and the types of [`crate::request`].
//!
//! This is the only module that depends on the callers' protocol (RFC 7252, with
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

/// Option with the milliseconds that are left until the request's deadline, sent
/// to backend servers. The number is from the range for experimental use (RFC
/// 7252, section 12.2). It is even, which makes the option elective: a server that
/// does not know it ignores it.
pub const DEADLINE_OPTION: u16 = 65_000;

/// Number of bits of an [`Id`] that hold the packed token; the message number is
/// above them.
const TOKEN_BITS: u32 = 72;

const OBSERVE_OPEN: u32 = 0;
const OBSERVE_CLOSE: u32 = 1;
const BLOCK_MORE: u32 = 0x8;
const BLOCK_NUMBER_SHIFT: u32 = 4;
const ATTEMPT_TOKEN_LEN: usize = 8;

/// Distinguishes the blocks of two bodies that are sent to one resource (RFC 9175).
const REQUEST_TAG: CoapOption = CoapOption::Unknown(292);

/// A datagram from a caller.
#[derive(Clone, Debug)]
pub enum Inbound {
    /// A request.
    Request(Request),
    /// An acknowledgement or rejection of a message of this instance.
    Receipt {
        /// The message's number.
        message: u16,
        /// Whether the caller acknowledged or rejected the message.
        receipt: Receipt,
    },
    /// A CoAP ping (empty confirmable message), which is answered by a reset.
    Ping {
        /// The ping's message number.
        message: u16,
    },
}

/// A datagram from a backend server.
#[derive(Clone, Debug)]
pub enum Reply {
    /// An answer to one attempt.
    Answer {
        /// The attempt that is answered.
        attempt: id::Attempt,
        /// The answer.
        answer: Answer,
        /// Message number to acknowledge, if the answer is confirmable.
        acknowledge: Option<u16>,
    },
    /// An empty message: the server acknowledges a request that it will answer
    /// later, or rejects a message that it does not know.
    Empty,
}

fn decode(bytes: &[u8], peer: &dyn std::fmt::Display) -> Result<Packet> {
    let packet =
        Packet::from_bytes(bytes).map_err(|error| decode_error(peer, error.to_string()))?;
    if packet.header.get_version() != 1 {
        return Err(decode_error(peer, "version is not 1".to_owned()));
    }
    Ok(packet)
}

fn decode_error(peer: &dyn std::fmt::Display, reason: String) -> Error {
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

fn message_number_of(id: Id) -> u16 {
    (id.0 >> TOKEN_BITS) as u16
}

/// Value of an unsigned option; `None` if the option is absent or too long.
fn uint_option(packet: &Packet, option: CoapOption) -> Option<u32> {
    const MAX_LEN: usize = 4;
    let value = packet.get_first_option(option)?;
    (value.len() <= MAX_LEN).then(|| {
        value
            .iter()
            .fold(0, |number, byte| number << 8 | u32::from(*byte))
    })
}

/// Encodes an unsigned option value without leading zeros (RFC 7252, section 3.2).
fn encode_uint(number: u32) -> Vec<u8> {
    let bytes = number.to_be_bytes();
    let skip = bytes.iter().take_while(|byte| **byte == 0).count();
    bytes[skip..].to_vec()
}

/// Decodes a caller's datagram.
///
/// # Errors
///
/// [`Error::Decode`] if the datagram is malformed, or neither a request nor an
/// acknowledgement, reset or ping.
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
                kind: request_kind(method, &packet)
                    .ok_or_else(|| decode_error(&flow.caller, "unknown method".to_owned()))?,
                confirmable: kind == MessageType::Confirmable,
                block: body_block(method, &packet),
                datagram: datagram.clone(),
            }))
        }
        _ => Err(decode_error(
            &flow.caller,
            "neither a request nor an empty message".to_owned(),
        )),
    }
}

fn request_kind(method: RequestType, packet: &Packet) -> Option<Kind> {
    let observe = uint_option(packet, CoapOption::Observe);
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

fn body_block(method: RequestType, packet: &Packet) -> BodyBlock {
    let has_earlier_blocks = |block| {
        let value = uint_option(packet, block);
        value.is_some_and(|value| value >> BLOCK_NUMBER_SHIFT > 0)
    };
    BodyBlock {
        body_id: hash_body_id(method, packet),
        is_continuation: has_earlier_blocks(CoapOption::Block1)
            || has_earlier_blocks(CoapOption::Block2),
        is_upload: packet.get_option(CoapOption::Block1).is_some(),
    }
}

/// Hashes everything that the blocks of one body have in common: method, path,
/// query (RFC 7959, section 2.4) and Request-Tag (RFC 9175).
fn hash_body_id(method: RequestType, packet: &Packet) -> u64 {
    let mut hasher = SipHasher13::new();
    std::mem::discriminant(&method).hash(&mut hasher);
    for option in [CoapOption::UriPath, CoapOption::UriQuery, REQUEST_TAG] {
        let values = packet.get_option(option);
        values
            .into_iter()
            .flatten()
            .for_each(|value| value.hash(&mut hasher));
        // Separates the options' values: without it, the last path segment could not
        // be distinguished from the first query argument.
        hasher.write_u8(u8::MAX);
    }
    hasher.finish()
}

/// Rewrites a caller's datagram so that it can be sent to a backend server.
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
    // If a server of another service has taken over the address, it refuses the
    // request because of this name, even if the configuration here is outdated.
    packet.clear_option(CoapOption::UriHost);
    packet.add_option(CoapOption::UriHost, service.as_str().as_bytes().to_vec());
    let remaining_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
    packet.add_option(
        CoapOption::Unknown(DEADLINE_OPTION),
        encode_uint(remaining_ms),
    );
    encode(&packet, datagram)
}

fn encode(packet: &Packet, original: &[u8]) -> Result<Vec<u8>> {
    const CODE: usize = 1;
    let mut bytes = packet
        .to_bytes_unlimited()
        .map_err(|error| decode_error(&"itself", error.to_string()))?;
    // `coap_lite` maps all codes that it does not know to one value, so the original
    // code is restored.
    if let (Some(code), Some(original_code)) = (bytes.get_mut(CODE), original.get(CODE)) {
        *code = *original_code;
    }
    Ok(bytes)
}

/// Decodes a backend server's datagram.
///
/// # Errors
///
/// [`Error::Decode`] if the datagram is malformed, or not an answer to an attempt.
pub fn read_server(from: id::Endpoint, datagram: &Bytes) -> Result<Reply> {
    let packet = decode(datagram, &from)?;
    let kind = packet.header.get_type();
    match packet.header.code {
        MessageClass::Empty => return Ok(Reply::Empty),
        MessageClass::Response(_) => {}
        _ => return Err(decode_error(&from, "not a response".to_owned())),
    }
    let token: [u8; ATTEMPT_TOKEN_LEN] = packet
        .get_token()
        .try_into()
        .map_err(|_| decode_error(&from, "token is not an attempt number".to_owned()))?;
    let code = packet.header.code;
    let verdict = match code {
        MessageClass::Response(ResponseType::ServiceUnavailable) => Verdict::Refused,
        MessageClass::Response(ResponseType::NotFound) => Verdict::NotFound,
        _ => Verdict::Handled,
    };
    let more = uint_option(&packet, CoapOption::Block2)
        .is_some_and(|block| block & BLOCK_MORE != 0)
        || code == MessageClass::Response(ResponseType::Continue);
    let answer = Answer {
        verdict,
        keeps_feed_open: packet.get_option(CoapOption::Observe).is_some(),
        has_more_blocks: more,
        retry_after: uint_option(&packet, CoapOption::MaxAge),
        datagram: datagram.clone(),
    };
    let confirmable = kind == MessageType::Confirmable;
    Ok(Reply::Answer {
        attempt: id::Attempt(u64::from_be_bytes(token)),
        answer,
        acknowledge: confirmable.then_some(packet.header.message_id),
    })
}

/// CoAP header fields of an answer to a caller.
#[derive(Clone, Copy, Debug)]
pub struct AnswerHeader {
    /// Identifier of the request.
    pub id: Id,
    /// The caller's token.
    pub token: Token,
    /// Whether the request was confirmable.
    pub confirmable: bool,
    /// Message number of a separate response; `None` if the acknowledgement carries
    /// the answer.
    pub separate: Option<u16>,
    /// Message number of the answer to a non-confirmable request.
    pub message: u16,
    /// Sequence number (Observe option) if the answer opens a feed.
    pub sequence: Option<u32>,
}

/// Encodes the final outcome of a request for its caller.
///
/// # Errors
///
/// [`Error::Decode`] if the server's datagram is malformed.
pub fn write_answer(header: &AnswerHeader, outcome: &Outcome) -> Result<Vec<u8>> {
    let (mut packet, original) = match outcome {
        Outcome::Answered(datagram) => (decode(datagram, &"server")?, datagram.clone()),
        Outcome::NotRun { retry_after } => {
            let mut packet = response(ResponseType::ServiceUnavailable);
            packet.add_option(CoapOption::MaxAge, encode_uint(*retry_after));
            packet.payload = b"not run".to_vec();
            (packet, Bytes::new())
        }
        Outcome::Unknown => {
            let mut packet = response(ResponseType::GatewayTimeout);
            packet.payload = b"outcome unknown".to_vec();
            (packet, Bytes::new())
        }
    };
    packet.set_token(token_bytes(header.token));
    set_sequence(&mut packet, header.sequence);
    let (kind, message) = match (header.separate, header.confirmable) {
        (Some(message), _) => (MessageType::Confirmable, message),
        (None, true) => (MessageType::Acknowledgement, message_number_of(header.id)),
        (None, false) => (MessageType::NonConfirmable, header.message),
    };
    packet.header.set_type(kind);
    packet.header.message_id = message;
    encode(&packet, &original)
}

/// Encodes a notification; without a datagram, the notification ends the feed.
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
    let is_open = packet.get_option(CoapOption::Observe).is_some();
    set_sequence(&mut packet, is_open.then_some(sequence));
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
        packet.add_option(CoapOption::Observe, encode_uint(sequence));
    }
}

/// Encodes the acknowledgement of a request that is answered later.
pub fn write_acknowledgement(id: Id) -> Vec<u8> {
    write_empty(MessageType::Acknowledgement, message_number_of(id))
}

/// Encodes the acknowledgement of a server's message.
pub fn write_server_acknowledgement(message: u16) -> Vec<u8> {
    write_empty(MessageType::Acknowledgement, message)
}

/// Encodes the reset of a message: the reply to a ping, or to an answer that no
/// request waits for.
pub fn write_rejection(message: u16) -> Vec<u8> {
    write_empty(MessageType::Reset, message)
}

/// Message number of a datagram that has been decoded before.
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

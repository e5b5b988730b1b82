//! Helpers for CoAP messages: option values, paths and blocks.

use coap_lite::CoapOption;
use coap_lite::MessageClass;
use coap_lite::MessageType;
use coap_lite::Packet;
use coap_lite::ResponseType;
use coap_lite::block_handler::BlockValue;
use coap_lite::option_value::OptionValueU32;

/// Largest block size; such a block fits in a datagram on every path.
pub(crate) const MAX_BLOCK: usize = 1024;
/// Largest datagram that is read.
pub(crate) const MAX_DATAGRAM: usize = 65_536;
/// Distinguishes the blocks of two bodies sent to one resource (RFC 9175).
pub(crate) const REQUEST_TAG: CoapOption = CoapOption::Unknown(292);
/// Largest value of the Observe option, which has 24 bits.
pub(crate) const OBSERVE_MASK: u32 = 0xff_ffff;

/// Value of an unsigned option; none if the option is absent or malformed.
pub(crate) fn uint_option(packet: &Packet, option: CoapOption) -> Option<u32> {
    let value = packet.get_first_option_as::<OptionValueU32>(option)?;
    value.ok().map(|value| value.0)
}

/// Sets an unsigned option.
pub(crate) fn set_uint_option(packet: &mut Packet, option: CoapOption, value: u32) {
    packet.clear_option(option);
    packet.add_option_as(option, OptionValueU32(value));
}

/// Value of a block option; none if the option is absent or malformed.
pub(crate) fn block_option(packet: &Packet, option: CoapOption) -> Option<BlockValue> {
    packet.get_first_option_as::<BlockValue>(option)?.ok()
}

/// Path of the requested resource, with a leading slash.
pub(crate) fn uri_path(packet: &Packet) -> String {
    let segments = packet.get_option(CoapOption::UriPath);
    let mut path = String::new();
    for segment in segments.into_iter().flatten() {
        path.push('/');
        path.push_str(&String::from_utf8_lossy(segment));
    }
    path
}

/// Sets the Uri-Path options.
pub(crate) fn set_uri_path(packet: &mut Packet, path: &str) {
    for segment in path.split('/').filter(|segment| !segment.is_empty()) {
        packet.add_option(CoapOption::UriPath, segment.into());
    }
}

/// An answer without the message ID, type and token that match it to a request.
pub(crate) fn answer(code: ResponseType, payload: impl Into<Vec<u8>>) -> Packet {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Response(code);
    packet.payload = payload.into();
    packet
}

/// An empty message (code 0.00, no token, no payload).
pub(crate) fn empty_message(kind: MessageType, message_id: u16) -> Packet {
    let mut packet = Packet::new();
    packet.header.code = MessageClass::Empty;
    packet.header.set_type(kind);
    packet.header.message_id = message_id;
    packet
}

//! The library's error type.
//!
//! An error names the operation that failed and, if another process was involved,
//! that peer.

use std::path::PathBuf;

/// Result of the library's operations.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of an operation of the library.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A name is empty, too long or has characters other than `A-Za-z0-9._-`.
    #[error("{kind} name {value:?}: want 1 to 64 of A-Z a-z 0-9 . _ -")]
    Name {
        /// Kind of the named object.
        kind: &'static str,
        /// The refused name, truncated to the longest allowed length.
        value: String,
    },

    /// A number cannot be parsed.
    #[error("{kind} {value:?}: want a whole number")]
    Number {
        /// Kind of the number.
        kind: &'static str,
        /// The refused text.
        value: String,
    },

    /// A field of a settings file or document has an invalid value.
    #[error("{file}:{line}: {field}: {value}: want {allowed}", file = file.display())]
    Field {
        /// The file.
        file: PathBuf,
        /// Line number, from 1; 0 if unknown.
        line: usize,
        /// Dotted path of the field.
        field: String,
        /// The refused value.
        value: String,
        /// The allowed values.
        allowed: String,
    },

    /// No object has this name; nothing was changed.
    #[error("no {kind} {name}: known are {known}")]
    Unknown {
        /// Kind of the named object.
        kind: &'static str,
        /// The unknown name.
        name: String,
        /// The existing names, separated by commas.
        known: String,
    },

    /// Reading or writing failed.
    #[error("{step} ({peer}): {source}")]
    Io {
        /// The operation that failed.
        step: &'static str,
        /// The file or peer.
        peer: String,
        /// The operating system's error.
        source: std::io::Error,
    },

    /// A message cannot be decoded.
    #[error("{step} from {peer}: {reason}")]
    Decode {
        /// Kind of the message.
        step: &'static str,
        /// The sender of the message.
        peer: String,
        /// Why decoding failed.
        reason: String,
    },

    /// The platform or an instance refused a call; nothing was changed.
    #[error("{step} at {peer}: refused: {reason}")]
    Refused {
        /// The refused call.
        step: &'static str,
        /// The peer that refused the call.
        peer: String,
        /// The peer's reason.
        reason: String,
    },

    /// The platform refused a call because of too many calls; nothing was changed.
    #[error("{step} at {peer}: too many calls")]
    Busy {
        /// The refused call.
        step: &'static str,
        /// The peer that refused the call.
        peer: String,
    },

    /// The platform no longer keeps the requested history.
    #[error("{step} at {peer}: this history is no longer kept")]
    Compacted {
        /// The call that failed.
        step: &'static str,
        /// The called peer.
        peer: String,
    },

    /// A call got no answer; a write may have taken effect.
    #[error("{step} at {peer}: no answer: {reason}")]
    Unanswered {
        /// The unanswered call.
        step: &'static str,
        /// The peer that did not answer.
        peer: String,
        /// The transport error or status in place of an answer.
        reason: String,
    },

    /// The connection failed, so nothing was sent and nothing changed.
    #[error("{step} at {peer}: no connection: {reason}")]
    Unreachable {
        /// The call that was not sent.
        step: &'static str,
        /// The unreachable peer.
        peer: String,
        /// The connection error.
        reason: String,
    },

    /// The local rate limit for calls is exhausted; nothing was sent.
    #[error("{step} at {peer}: local rate limit of {rate} exhausted")]
    Exhausted {
        /// The call that was not sent.
        step: &'static str,
        /// The peer that would have been called.
        peer: String,
        /// The rate limit.
        rate: crate::platform::rate_limit::Rate,
    },
}

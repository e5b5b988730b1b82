//! The library's error type.
//!
//! An error names the step that failed and, where another process took part,
//! the peer at which it failed.

use std::path::PathBuf;

/// Result of the library's operations.
pub type Result<T> = std::result::Result<T, Error>;

/// What can go wrong, with the step and the peer.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A name is empty, too long or has characters other than `A-Za-z0-9._-`.
    #[error("{kind} name {value:?}: want 1 to 64 of A-Z a-z 0-9 . _ -")]
    Name {
        /// What was being named.
        kind: &'static str,
        /// The refused text, cut to the longest name.
        value: String,
    },

    /// A number cannot be read.
    #[error("{kind} {value:?}: want a whole number")]
    Number {
        /// What was being counted.
        kind: &'static str,
        /// The refused text.
        value: String,
    },

    /// A field of a settings file or document is refused.
    #[error("{file}:{line}: {field}: {value}: want {allowed}", file = file.display())]
    Field {
        /// The file.
        file: PathBuf,
        /// Line number, from 1; 0 when not known.
        line: usize,
        /// Path of the field, dotted.
        field: String,
        /// The refused value.
        value: String,
        /// What is allowed.
        allowed: String,
    },

    /// A name that nothing has; nothing was changed.
    #[error("no {kind} {name}: known are {known}")]
    Unknown {
        /// What was named.
        kind: &'static str,
        /// The name.
        name: String,
        /// Names that something has, separated by commas.
        known: String,
    },

    /// Reading or writing failed.
    #[error("{step} ({peer}): {source}")]
    Io {
        /// What was being done.
        step: &'static str,
        /// The file or peer.
        peer: String,
        /// The system's error.
        source: std::io::Error,
    },

    /// A message cannot be decoded.
    #[error("{step} from {peer}: {reason}")]
    Decode {
        /// What was being decoded.
        step: &'static str,
        /// Who sent it.
        peer: String,
        /// Why it was refused.
        reason: String,
    },

    /// The platform or an instance refused a call; nothing was changed.
    #[error("{step} at {peer}: refused: {reason}")]
    Refused {
        /// What was asked.
        step: &'static str,
        /// Who refused.
        peer: String,
        /// Its reason.
        reason: String,
    },

    /// The platform serves no more calls at the moment; nothing was changed.
    #[error("{step} at {peer}: too many calls")]
    Busy {
        /// What was asked.
        step: &'static str,
        /// Who was asked.
        peer: String,
    },

    /// The platform no longer has the history that was asked for.
    #[error("{step} at {peer}: this history is no longer kept")]
    Compacted {
        /// What was asked.
        step: &'static str,
        /// Who was asked.
        peer: String,
    },

    /// A call got no answer; a write may have taken effect.
    #[error("{step} at {peer}: no answer: {reason}")]
    Unanswered {
        /// What was asked.
        step: &'static str,
        /// Who did not answer.
        peer: String,
        /// What was seen.
        reason: String,
    },

    /// No connection could be made, so nothing was sent and nothing changed.
    #[error("{step} at {peer}: no connection: {reason}")]
    Unreachable {
        /// What was asked.
        step: &'static str,
        /// Who could not be reached.
        peer: String,
        /// What was seen.
        reason: String,
    },

    /// The local allowance of calls is used up; nothing was sent.
    #[error("{step} at {peer}: allowance of {rate} used up")]
    Exhausted {
        /// What was asked.
        step: &'static str,
        /// Who would have been asked.
        peer: String,
        /// Calls allowed per second.
        rate: crate::platform::rate_limit::Rate,
    },
}

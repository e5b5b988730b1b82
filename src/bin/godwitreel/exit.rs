//! Exit codes of the operators' tool.

use std::process::ExitCode;

use godwitreel::Error;

/// Description of the exit codes in the help text.
///
/// The argument parser keeps a line break only if the next line starts with a space.
pub(crate) const HELP: &str = "Exit codes:
 0  Done.
 1  Usage or settings: nothing was sent.
 2  Refused: nothing was written; of a lost race both sides are shown.
 3  Unknown: a write got no answer and cannot be read back. It may stand or not.
 4  Partly: instances not heard from, or not there in time, are named.
 5  Platform unreachable, or the instance to view: nothing was written.";

/// Exit status of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    Done = 0,
    Usage = 1,
    Refused = 2,
    Unknown = 3,
    Partial = 4,
    Unreachable = 5,
}

impl Exit {
    pub(crate) fn code(self) -> u8 {
        self as u8
    }

    /// The status for an error. Commands return errors only if nothing was written, so an
    /// unanswered call was a read.
    pub(crate) fn for_error(error: &Error) -> Self {
        match error {
            Error::Unanswered { .. }
            | Error::Unreachable { .. }
            | Error::Busy { .. }
            | Error::Exhausted { .. } => Self::Unreachable,
            Error::Refused { .. } | Error::Decode { .. } => Self::Refused,
            _ => Self::Usage,
        }
    }

    /// The status for a result that may be incomplete.
    pub(crate) fn for_completeness(is_complete: bool) -> Self {
        if is_complete {
            Self::Done
        } else {
            Self::Partial
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        exit.code().into()
    }
}

//! Exit codes.

use std::process::ExitCode;

use godwitreel::Error;

/// The codes as the help tells them.
///
/// The library keeps the line breaks before lines that start with a space.
pub(crate) const HELP: &str = "Exit codes:
 0  Done.
 1  Usage or settings: nothing was sent.
 2  Refused: nothing was written; of a lost race both sides are shown.
 3  Unknown: a write got no answer and cannot be read back. It may stand or not.
 4  Partly: instances not heard from, or not there in time, are named.
 5  Platform unreachable, or the instance to view: nothing was written.";

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    Done = 0,
    Usage = 1,
    Refused = 2,
    Unknown = 3,
    Partly = 4,
    Unreachable = 5,
}

impl Exit {
    pub(crate) fn code(self) -> u8 {
        self as u8
    }

    /// The code for an error. Commands return errors only when nothing was
    /// written, so a call without an answer was a read.
    pub(crate) fn of(error: &Error) -> Self {
        match error {
            Error::Unanswered { .. }
            | Error::Unreachable { .. }
            | Error::Busy { .. }
            | Error::Exhausted { .. } => Self::Unreachable,
            Error::Refused { .. } | Error::Decode { .. } => Self::Refused,
            _ => Self::Usage,
        }
    }

    /// The code for an answer that may lack parts.
    pub(crate) fn whole(is_whole: bool) -> Self {
        if is_whole { Self::Done } else { Self::Partly }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        exit.code().into()
    }
}

//! Signal handling of the programs.

use tokio::signal::unix;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

use crate::error::Error;
use crate::error::Result;

/// Installs a handler for a signal, which then no longer ends the process.
///
/// # Errors
///
/// Fails when the operating system refuses to install the handler.
pub fn listen(kind: SignalKind) -> Result<Signal> {
    unix::signal(kind).map_err(|source| Error::Io {
        step: "signals",
        peer: "system".to_owned(),
        source,
    })
}

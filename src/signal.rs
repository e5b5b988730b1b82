//! Signals that a program obeys.

use tokio::signal::unix;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

use crate::error::Error;
use crate::error::Result;

/// Listens for a signal; from then on it no longer ends the process.
///
/// # Errors
///
/// Fails when the system does not let the process listen.
pub fn listen(kind: SignalKind) -> Result<Signal> {
    unix::signal(kind).map_err(|source| Error::Io {
        step: "signals",
        peer: "system".to_owned(),
        source,
    })
}

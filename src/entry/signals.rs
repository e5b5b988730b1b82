//! What signals ask of an entry instance.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

use crate::error::Result;
use crate::signal;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Asked {
    Stop,
    Reload,
}

/// The signals that an instance obeys.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    pub(crate) fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal::listen(SignalKind::terminate())?,
            interrupt: signal::listen(SignalKind::interrupt())?,
            hangup: signal::listen(SignalKind::hangup())?,
        })
    }

    pub(crate) async fn next(&mut self) -> Asked {
        tokio::select! {
            _ = self.terminate.recv() => Asked::Stop,
            _ = self.interrupt.recv() => Asked::Stop,
            _ = self.hangup.recv() => Asked::Reload,
        }
    }
}

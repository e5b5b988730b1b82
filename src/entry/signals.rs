//! Unix signals that an entry instance handles.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

use crate::error::Result;
use crate::signal;

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalAction {
    Stop,
    Reload,
}

/// Streams of the handled signals.
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

    pub(crate) async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}

//! Errors of the demo.

use thiserror::Error;

/// A step that failed, or a guarantee that was violated.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// A stand-in could not be started.
    #[error("cannot start {step}: {source}")]
    Start {
        step: &'static str,
        source: std::io::Error,
    },
    /// The balancer returned an error.
    #[error(transparent)]
    Balancer(#[from] godwitreel::Error),
    /// An expected state was not reached in time.
    #[error("timed out waiting for {0}")]
    Timeout(&'static str),
    /// A guarantee of the balancer was violated.
    #[error("{0}")]
    Violation(String),
}

impl Failure {
    /// Converts an I/O error of the named start step.
    pub(crate) fn starting(step: &'static str) -> impl Fn(std::io::Error) -> Self {
        move |source| Self::Start { step, source }
    }
}

//! Why the demo did not end well.

use thiserror::Error;

/// A step that failed, or a promise that did not hold.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// A stand-in could not be started.
    #[error("cannot start {step}: {source}")]
    Start {
        step: &'static str,
        source: std::io::Error,
    },
    /// The balancer refused something.
    #[error(transparent)]
    Balancer(#[from] godwitreel::Error),
    /// It did not come about in time.
    #[error("waited too long for {0}")]
    Late(&'static str),
    /// A promise was broken.
    #[error("{0}")]
    Broken(String),
}

impl Failure {
    /// Marks an error of the system with the step at which it arose.
    pub(crate) fn at(step: &'static str) -> impl Fn(std::io::Error) -> Self {
        move |source| Self::Start { step, source }
    }
}

//! Failures of the soak program itself.

use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Result of the operations of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure of the soak program, as opposed to a violated guarantee.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket cannot be bound.
    #[error("bind {address}: {source}")]
    Bind {
        /// Address of the socket.
        address: SocketAddrV4,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A process or the runtime cannot be started.
    #[error("process {name}: {reason}")]
    Process {
        /// Name of the instance, or `runtime`.
        name: String,
        /// Description of the failure.
        reason: String,
    },
    /// A file or folder cannot be written.
    #[error("file {path}: {source}", path = path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The plot cannot be drawn.
    #[error("plot: {0}")]
    Plot(String),
}

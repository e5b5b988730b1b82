//! What can go wrong with the soak itself.

use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Result of the soak's operations.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure of the soak, which says nothing about the instances.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket cannot be had.
    #[error("bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddrV4,
        /// The system's error.
        source: std::io::Error,
    },
    /// A process cannot be started or told something.
    #[error("process {name}: {reason}")]
    Process {
        /// The instance.
        name: String,
        /// What was seen.
        reason: String,
    },
    /// A file cannot be written.
    #[error("file {path}: {source}", path = path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The plot cannot be drawn.
    #[error("plot: {0}")]
    Plot(String),
}

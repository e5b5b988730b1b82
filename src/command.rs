//! Operators' commands: change documents and drain orders in the platform. Read-only
//! operations are in [`crate::query`].
//!
//! An error of a command always means that nothing was written and nothing will be.
//! The result of a write that was sent is an outcome (accepted, refused or unknown),
//! never a guess.

pub mod change;
pub mod drain;
pub mod history;
pub mod profile;
pub mod service;

use rand::RngExt;

/// A random identifier, unique to one write.
fn write_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

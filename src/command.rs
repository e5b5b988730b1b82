//! What operators order: commands change documents and wishes in the platform.
//! What only asks is a [`crate::query`].
//!
//! A command's error always means that nothing was written and nothing will be.
//! What became of a write that was sent is an outcome: accepted, refused or
//! unknown, never guessed.

pub mod change;
pub mod drain;
pub mod history;
pub mod profile;
pub mod service;

use rand::RngExt;

/// A random mark that tells one write from every other.
fn write_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

//! godwitreel: a layer-4 load balancer that keeps callers connected while
//! services move.
//!
//! The library holds everything that decides; the programs `godwitreeld` and
//! `godwitreel` only parse, call and report. See `docs/DESIGN.md`.

pub mod allowance;
mod checks;
mod client;
pub mod document;
pub mod error;
mod follow;
pub mod gateway;
pub mod id;
mod jsonc;
mod key;
pub mod log;
pub mod pacing;
pub mod platform;
mod request;
mod resolution;
pub mod settings;
mod transport;
mod watch;

pub use crate::error::Error;
pub use crate::error::Result;

//! godwitreel: a layer-4 load balancer that keeps callers connected while
//! services move.
//!
//! The library holds everything that decides; the programs `godwitreeld` and
//! `godwitreel` only parse, call and report. See `docs/DESIGN.md`.

pub mod action;
pub mod allowance;
pub mod balance;
pub mod budget;
mod checks;
mod client;
pub mod command;
pub mod document;
pub mod engine;
pub mod error;
pub mod event;
pub mod fleet;
mod follow;
pub mod gateway;
pub mod id;
mod jsonc;
pub mod key;
pub mod log;
pub mod member;
pub mod pacing;
pub mod peer;
pub mod platform;
pub mod query;
pub mod reason;
mod record;
pub mod render;
pub mod request;
mod resolution;
pub mod server;
pub mod settings;
pub mod snapshot;
pub mod status;
pub mod table;
mod transport;
mod watch;

pub use crate::error::Error;
pub use crate::error::Result;

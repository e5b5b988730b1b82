//! godwitreel: a layer-4 load balancer that keeps callers connected while
//! services move.
//!
//! The library holds everything that decides; the programs `godwitreeld` and
//! `godwitreel` only parse, call and report. See `docs/DESIGN.md`.

pub mod action;
pub mod allowance;
pub mod balance;
pub mod budget;
pub mod burn;
mod checks;
mod client;
mod collector;
pub mod document;
pub mod engine;
pub mod error;
pub mod event;
pub mod explain;
mod follow;
pub mod gateway;
pub mod id;
mod jsonc;
mod label;
pub mod log;
pub mod member;
mod merge;
pub mod metric;
pub mod pacing;
pub mod peer;
pub mod platform;
pub mod reason;
mod record;
mod render;
pub mod report;
pub mod request;
mod resolution;
pub mod server;
pub mod settings;
pub mod snapshot;
pub mod status;
pub mod table;
mod transport;
mod watch;
mod window;

pub use crate::error::Error;
pub use crate::error::Result;

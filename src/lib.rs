//! godwitreel: a layer-4 load balancer that keeps callers connected while
//! services move.
//!
//! The library holds everything that decides; the programs `godwitreeld` and
//! `godwitreel` only parse, call and report. See `docs/DESIGN.md`.

pub mod action;
pub mod balance;
pub mod budget;
pub mod document;
pub mod engine;
pub mod error;
pub mod event;
pub mod id;
pub mod member;
pub mod peer;
pub mod reason;
mod record;
pub mod request;
pub mod server;
pub mod snapshot;
pub mod status;
pub mod table;

pub use crate::error::Error;
pub use crate::error::Result;

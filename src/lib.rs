//! godwitreel: a layer-4 load balancer that keeps callers connected while
//! services move.
//!
//! All logic is in this library; the programs `godwitreeld` and `godwitreel` only
//! parse arguments, call the library and print results. See `docs/DESIGN.md`.

pub mod action;
pub mod balance;
pub mod budget;
pub mod burn;
pub mod codec;
pub mod command;
pub mod config;
pub mod control;
pub mod daemon;
pub mod document;
mod edge;
pub mod engine;
pub mod entry;
pub mod error;
pub mod event;
pub mod explain;
pub mod fleet;
pub mod flow;
mod http;
pub mod id;
mod inbox;
mod key;
pub mod log;
pub mod metric;
pub mod pacing;
pub mod path;
pub mod peer;
pub mod platform;
mod probe;
pub mod query;
pub mod reason;
mod record;
mod registration;
pub mod render;
pub mod replica;
pub mod request;
pub mod server;
pub mod settings;
mod shared;
pub mod signal;
mod sink;
pub mod snapshot;
pub mod status;
mod steer;
pub mod table;
mod worker;

pub use crate::burn::report;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::peer::member;
pub use crate::peer::wire;
pub use crate::platform::gateway;
pub use crate::platform::poll;
pub use crate::platform::rate_limit;

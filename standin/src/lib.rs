//! Test doubles for the systems around godwitreel.
//!
//! Integration tests and the demo run them in their own process through this
//! library; the program `standin` runs each of them as a separate process. They
//! implement only published protocols (CoAP over UDP, the etcd v3 JSON gateway,
//! HTTP) and share no code with godwitreel, so that an error in the balancer is not
//! masked by the same error here.

pub mod address;
pub mod caller;
mod etcd;
pub mod fabric;
pub mod fault;
mod feed;
mod health;
mod listener;
mod lock;
mod message;
pub mod platform;
pub mod proxy;
mod relay;
pub mod server;
mod store;
mod transfer;

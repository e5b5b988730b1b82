//! Small stand-ins for the systems around godwitreel.
//!
//! Integration tests and the demo run them in their own process through this
//! library; the program `standin` runs each of them alone. They know only the
//! published protocols (CoAP over UDP, the etcd v3 JSON gateway, HTTP) and
//! nothing of godwitreel itself, so that an error in the balancer cannot hide
//! behind the same error here.

pub mod address;
pub mod caller;
mod etcd;
pub mod fabric;
pub mod fault;
mod feed;
mod gate;
mod health;
mod lock;
mod message;
pub mod platform;
pub mod proxy;
mod relay;
pub mod server;
mod store;
mod transfer;

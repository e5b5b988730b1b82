//! Real entry instances as processes, a small model of the systems around them,
//! faults from outside by seed, and a ledger that checks the promises meanwhile.
//!
//! Everything runs on the loopback range: callers, routers, backend servers and
//! the store are tasks of this process, each with addresses of its own.

pub mod backend;
pub mod caller;
pub mod error;
pub mod fault;
pub mod ledger;
pub mod link;
pub mod net;
pub mod process;
pub mod report;
pub mod router;
pub mod store;
pub mod world;

pub use error::Error;
pub use error::Result;

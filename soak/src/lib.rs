//! A fault injection test: it runs the entry instances as processes, simulates the
//! systems around them, injects faults drawn from a seed, and checks the system's
//! guarantees throughout the run.
//!
//! Everything runs on the loopback range: callers, routers, backend servers and
//! the store are tasks of this process, each with its own addresses.

pub mod backend;
pub mod caller;
pub mod error;
pub mod fault;
pub mod ledger;
pub mod link;
pub mod net;
pub mod opening;
pub mod overload;
pub mod process;
pub mod report;
pub mod router;
pub mod starvation;
pub mod store;
pub mod testbed;

pub use error::Error;
pub use error::Result;

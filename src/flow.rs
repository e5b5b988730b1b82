//! Forwarding decisions for packets of flows whose connection state lives at the caller
//! and the backend server.
//!
//! An instance sees only the packets from caller to server and changes nothing but a
//! routing tag, which both endpoints echo. Any instance that knows the servers can
//! therefore forward any packet of any flow. The flow state that an instance keeps
//! improves the server selection for new flows and is never required for open ones.
//!
//! This module performs no I/O: its inputs are packets, state updates and the current
//! time, and its outputs are verdicts and events.

mod backlog;
mod baseline;
mod choice;
mod contact;
pub(crate) mod directory;
mod egress;
mod evacuation;
mod evidence;
mod experience;
mod note;
mod plane;
mod route;
mod segment;
mod table;
mod tag;
mod warmup;

pub use backlog::Backlog;
pub use backlog::Early;
pub use contact::Contact;
pub use directory::Directory;
pub use directory::Presence;
pub use directory::Server;
pub use directory::Target;
pub use egress::Admission;
pub use egress::Datagram;
pub use egress::Egress;
pub use evacuation::Evacuation;
pub use evidence::RoundTrip;
pub use experience::Counts;
pub use experience::Testimony;
pub use note::Drop;
pub use note::Note;
pub use note::Refusal;
pub use note::Timing;
pub use plane::Belief;
pub use plane::Options;
pub use plane::Plane;
pub use plane::Resend;
pub use plane::Verdict;
pub use route::Backend;
pub use route::Route;
pub use route::Routes;
pub use segment::Flags;
pub use segment::Pair;
pub use segment::Segment;
pub use tag::Incarnation;
pub use tag::Serial;
pub use tag::Tag;
pub use warmup::Peer;
pub use warmup::Warmup;
pub use warmup::share;

//! Decisions for packets whose connection lives at caller and backend server.
//!
//! The system sees only the caller's half of a flow and changes nothing but a
//! routing tag, which both ends repeat. Any instance that knows the servers can
//! therefore pass on any packet of any flow; what an instance remembers about a
//! flow improves the choice for new ones and is never needed for open ones.
//!
//! Nothing here does input or output: packets, beliefs and the time go in,
//! verdicts and notes come out.

mod backlog;
mod baseline;
mod choice;
mod contact;
pub(crate) mod directory;
mod egress;
mod evacuation;
mod event;
mod liveness;
mod outcome;
mod plane;
mod route;
mod segment;
mod table;
mod tag;
mod warmup;

pub use backlog::Backlog;
pub use backlog::PendingPacket;
pub use contact::StoreContact;
pub use directory::Directory;
pub use directory::Server;
pub use directory::ServerState;
pub use directory::Target;
pub use egress::Admission;
pub use egress::Datagram;
pub use egress::Egress;
pub use evacuation::Evacuation;
pub use event::DropReason;
pub use event::FlowEvent;
pub use event::Refusal;
pub use event::Timing;
pub use liveness::RoundTrip;
pub use outcome::OutcomeCounts;
pub use outcome::ServerOutcomes;
pub use plane::DataPlane;
pub use plane::Options;
pub use plane::Resend;
pub use plane::StateUpdate;
pub use plane::Verdict;
pub use route::Backend;
pub use route::Route;
pub use route::Routes;
pub use segment::Flags;
pub use segment::FlowKey;
pub use segment::Segment;
pub use tag::Incarnation;
pub use tag::Serial;
pub use tag::Tag;
pub use warmup::Peer;
pub use warmup::Warmup;
pub use warmup::cold_flow_quota;

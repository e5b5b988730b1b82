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
mod directory;
mod egress;
mod evacuation;
mod event;
mod liveness;
mod load;
mod outcome;
mod plane;
mod pool;
pub(crate) mod record;
mod route;
mod segment;
mod table;
mod tag;
mod warmup;

pub use backlog::Backlog;
pub use backlog::PendingPacket;
pub use contact::StoreContact;
pub use directory::Directory;
pub use egress::Admission;
pub use egress::Datagram;
pub use egress::Egress;
pub use evacuation::Evacuation;
pub use event::DropReason;
pub use event::FlowEvent;
pub use event::Refusal;
pub use event::Timing;
pub use liveness::RoundTrip;
pub use load::Balancing;
pub use load::ServiceLoad;
pub use load::class::Class;
pub use load::class::ClassError;
pub use load::class::Description;
pub use load::class::Field;
pub use load::class::Priority;
pub use load::class::Property;
pub use load::class::Repeatability;
pub use load::opening::OpeningOutcome;
pub use load::opening::OpeningResult;
pub use load::service::Counts;
pub use outcome::OutcomeCounts;
pub use outcome::ServerOutcomes;
pub use plane::DataPlane;
pub use plane::Expired;
pub use plane::Options;
pub use plane::Resend;
pub use plane::StateUpdate;
pub use plane::Verdict;
pub use record::Server;
pub use record::ServerState;
pub use record::Target;
pub use route::Backend;
pub use route::InvalidClass;
pub use route::Route;
pub use route::Routes;
pub use segment::Flags;
pub use segment::FlowKey;
pub use segment::Segment;
pub use tag::Incarnation;
pub use tag::Serial;
pub use tag::Tag;
pub use warmup::Peer;
pub use warmup::PeerRing;
pub use warmup::Warmup;

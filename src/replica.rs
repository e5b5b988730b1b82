//! Every instance's copy of the store, kept up through few instances.
//!
//! If each instance watched the store, each change would cost a call for each of
//! them, and a fleet outgrows the store's rates. Instead the instances of a zone
//! form a tree by rank: the first follows the store, the others subscribe to the
//! one above them and get each change within milliseconds. With each heartbeat
//! goes the age of the last contact with the store, so that an instance whose
//! upstream is cut off, frozen or gone notices in time and asks the store itself.
//!
//! An instance that starts gets its first copy from the heads of its zone, the
//! three first by rank, which also stand in for an upstream that is cut off. A
//! subscriber that had to go further up moves back down once the instance that is
//! meant to feed it can be reached.
//!
//! Subscribers are told the newest change of a key, small ones at once in messages of
//! bounded size, large ones in parts and as what is new in them. Up the same
//! connections go counts of how requests end at servers, and their sum comes down.
//!
//! Ranks need no agreement. Two instances that disagree about them only cause a
//! few more calls, since subscriptions always lead to a smaller rank.

mod backlog;
mod bandwidth;
mod copy;
mod follow;
mod handover;
mod inbox;
mod liveness;
mod message;
mod outbox;
mod outcome;
mod pacer;
mod pack;
mod publish;
mod register;
mod store;
mod subscribe;
mod tree;

pub(crate) use copy::SharedCopy;
pub(crate) use follow::FollowOptions;
pub(crate) use follow::follow;
pub(crate) use handover::Handover;
pub(crate) use liveness::monitor_liveness;
pub(crate) use outcome::OUTCOME_REPORT_INTERVAL;
pub(crate) use pacer::Pacer;
pub(crate) use publish::publish;
pub(crate) use register::Registration;
pub(crate) use register::register;

pub use bandwidth::Bandwidth;
pub use copy::Copy;
pub use copy::Place;
pub use copy::Snapshot;
pub use copy::Update;
pub use inbox::Complete;
pub use inbox::Inbox;
pub use inbox::Misfit;
pub use liveness::FleetLiveness;
pub use liveness::ZoneLiveness;
pub use message::Held;
pub use message::News;
pub use message::Packed;
pub use message::Part;
pub use message::Row;
pub use message::Rows;
pub use message::Subscribe;
pub use outbox::Outbox;
pub use outbox::Packing;
pub use outcome::OutcomeAggregator;
pub use outcome::OutcomeEntry;
pub use outcome::OutcomeReport;
pub use pack::Base;
pub use pack::digest;
pub use pack::pack;
pub use pack::unpack;
pub use register::Member;
pub use store::KeyLayout;
pub use store::PollTiming;
pub use tree::bystanders;
pub use tree::candidates;
pub use tree::copy_wait;
pub use tree::upstream;

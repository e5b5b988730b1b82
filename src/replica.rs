//! Every instance's copy of the store, kept up to date with few reads of the store.
//!
//! If each instance watched the store, each change would cost one call per instance,
//! and a large fleet would exceed the store's rate limits. Instead, the instances of a
//! zone form a tree by rank: the first one follows the store, and the others subscribe
//! to the instance above them and receive each change within milliseconds. Each
//! heartbeat carries the age of the last contact with the store, so that an instance
//! whose upstream is cut off, frozen or gone notices in time and polls the store itself.
//!
//! An instance that starts reads its zone's roster, which names the instances that rank
//! first, and gets its first copy from one of these. Only the heads of the zone, which
//! are the first three by rank, read the store at once; they also replace an upstream
//! that is cut off. A subscriber that had to follow an instance higher up the tree moves
//! back down once its intended upstream can be reached.
//!
//! A copy is passed on while it still comes in, so that the levels of the tree receive it
//! at about the same time.
//!
//! Subscribers are sent the newest change of each key: small values at once in messages
//! of bounded size, large values in parts and compressed against the version that the
//! subscriber has. Over the same connections, counts of request outcomes at servers are
//! sent up the tree, and their sums are sent down.
//!
//! Ranks need no agreement. Two instances that disagree about them only cause a few
//! more calls, since a subscription always leads to a smaller rank.

mod assembler;
mod backlog;
mod bandwidth;
mod copy;
mod copy_log;
mod first_copy;
mod follow;
mod handover;
mod liveness;
mod message;
mod outbox;
mod outcome;
mod pacer;
mod pack;
mod publish;
mod register;
mod roster;
mod store;
mod subscribe;
mod tree;

pub(crate) use copy::SharedCopy;
pub(crate) use follow::FollowOptions;
pub(crate) use follow::follow;
pub(crate) use follow::probe_pause;
pub(crate) use handover::Handover;
pub(crate) use liveness::monitor_liveness;
pub(crate) use outcome::OUTCOME_REPORT_INTERVAL;
pub(crate) use pacer::Pacer;
pub(crate) use publish::publish;
pub(crate) use register::Registration;
pub(crate) use register::register;

pub use assembler::AssembledValue;
pub use assembler::PartAssembler;
pub use assembler::PartError;
pub use bandwidth::Bandwidth;
pub use copy::SequenceNumber;
pub use copy::Snapshot;
pub use copy::StoreCopy;
pub use copy::Update;
pub use copy_log::CopyDecoder;
pub use copy_log::CopyLog;
pub use copy_log::CopyLogError;
pub use copy_log::CopyPosition;
pub use copy_log::CopyWriter;
pub use copy_log::NextPart;
pub use copy_log::encode_frames;
pub use first_copy::CopyProgress;
pub use first_copy::FirstCopyPlan;
pub use liveness::FleetLiveness;
pub use liveness::ZoneLiveness;
pub use message::CopyPart;
pub use message::HeldValue;
pub use message::PackedRows;
pub use message::Row;
pub use message::Rows;
pub use message::SubscribeRequest;
pub use message::UpstreamMessage;
pub use message::ValuePart;
pub use outbox::Outbox;
pub use outbox::PackFn;
pub use outcome::OutcomeAggregator;
pub use outcome::OutcomeEntry;
pub use outcome::OutcomeReport;
pub use pack::BaseValue;
pub use pack::digest;
pub use pack::pack;
pub use pack::unpack;
pub use register::Member;
pub use roster::Roster;
pub use store::KeyLayout;
pub use store::PollTiming;
pub use tree::candidates;
pub use tree::copy_wait;
pub use tree::fallback_candidates;
pub use tree::upstream;

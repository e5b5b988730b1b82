//! Entry instance: the sockets, the copy of the store and the HTTP ports around the data
//! plane in [`crate::flow`].
//!
//! An [`Adapter`] defines the formats of the platform's packets and store entries.
//! Decisions, state and recovery are here and in [`crate::flow`].

mod adapter;
mod beliefs;
mod checks;
mod http;
mod journal;
mod metric;
mod refusals;
mod remarks;
mod run;
mod settings;
mod signals;
mod socket;
mod start;
mod status;
mod stop;
mod view;
mod withdrawal;

pub use adapter::Adapter;
pub use adapter::Codec;
pub use adapter::ENVELOPE;
pub use adapter::Entry;
pub use adapter::Subject;
pub use adapter::Vocabulary;
pub use remarks::remark;
pub use remarks::testimony;
pub use run::run;
pub use settings::Settings;
pub use status::Evacuated;
pub use status::Server;
pub use status::Status;
pub use withdrawal::Withdrawal;

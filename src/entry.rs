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
mod load;
mod metric;
mod outcome;
mod refusals;
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
pub use adapter::DecodedEntry;
pub use adapter::SERVER_HEADER_LEN;
pub use adapter::StoreSchema;
pub use adapter::Subject;
pub use load::ServiceLoad;
pub use outcome::outcomes_from_message;
pub use outcome::outcomes_to_message;
pub use run::run;
pub use settings::Settings;
pub use status::EvacuatedZone;
pub use status::InvalidClass;
pub use status::RouteClass;
pub use status::Server;
pub use status::Status;
pub use withdrawal::Withdrawal;

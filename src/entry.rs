//! One entry instance: sockets, the mirror of the store and the HTTP ports
//! around the decisions of [`crate::flow`].
//!
//! What the packets and the store's entries look like is the adapter's to say,
//! in [`Adapter`]; everything that decides, remembers or recovers is here and in
//! [`crate::flow`].

mod adapter;
mod beliefs;
mod checks;
mod http;
mod journal;
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
pub use outcome::outcomes_from_message;
pub use outcome::outcomes_to_message;
pub use run::run;
pub use settings::Settings;
pub use status::EvacuatedZone;
pub use status::Server;
pub use status::Status;
pub use withdrawal::Withdrawal;

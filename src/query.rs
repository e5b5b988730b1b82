//! Operators' queries: read-only, in the platform as well as at the instances.
//! Operations that write are in [`crate::command`].

pub mod burn;
pub mod departure;
pub mod evacuation;
pub mod explain;
pub mod profile;
pub mod rollout;
pub mod service;
pub mod status;
pub mod stored;
pub mod view;

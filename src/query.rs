//! What operators ask: queries change nothing, neither in the platform nor at
//! an instance. What changes something is a [`crate::command`].

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

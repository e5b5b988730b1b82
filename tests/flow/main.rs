//! Forwarding decisions: events and times in, verdicts out.

mod address;
mod backlog;
mod choice;
mod class;
mod config;
mod egress;
mod evacuation;
mod experience;
mod forget;
mod gone;
mod incarnation;
mod neighbours;
mod opening;
mod overload;
mod owner;
mod queueing;
mod reroute;
mod scale;
mod sequence;
mod speed;
mod start;
mod support;
mod tag;
mod traffic;
mod warmup;

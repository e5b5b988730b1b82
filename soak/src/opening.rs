//! Checks what a reset of an opening tells the caller: its request has not run, and no
//! server got the opening.

use std::collections::HashMap;
use std::net::Ipv4Addr;

use godwitreel::flow::FlowKey;

/// Violation: a request ran in a flow whose caller was told that nothing ran.
pub const RAN_AFTER_RESET: &str = "request ran although its opening was reset";
/// Violation: an instance forwarded an opening and reset it as well.
pub const FORWARDED_AND_RESET: &str = "forwarded opening reset by the same instance";

/// What is known of the opening of a flow.
#[derive(Debug, Default)]
struct Opening {
    /// Instance that forwarded the SYN which a server accepted first.
    forwarded_by: Option<Ipv4Addr>,
    /// Instance that reset the only SYN of the flow.
    refused_by: Option<Ipv4Addr>,
    is_reset: bool,
    has_run: bool,
}

/// Openings of the flows of a run. Each flow has an endpoint that no other flow has.
#[derive(Debug, Default)]
pub struct Log {
    openings: HashMap<FlowKey, Opening>,
}

impl Log {
    fn opening(&mut self, flow_key: FlowKey) -> &mut Opening {
        self.openings.entry(flow_key).or_default()
    }

    /// Records that a server accepted a SYN from an instance; returns the violation. The
    /// caller may have got the instance's reset before.
    pub fn accepted(&mut self, flow_key: FlowKey, instance: Ipv4Addr) -> Option<&'static str> {
        let opening = self.opening(flow_key);
        opening.forwarded_by.get_or_insert(instance);
        (opening.refused_by == Some(instance)).then_some(FORWARDED_AND_RESET)
    }

    /// Records that a server runs a request of the flow; returns the violation.
    pub fn ran(&mut self, flow_key: FlowKey) -> Option<&'static str> {
        let opening = self.opening(flow_key);
        opening.has_run = true;
        opening.is_reset.then_some(RAN_AFTER_RESET)
    }

    /// Records that the caller got a reset before its flow opened, from an instance or from
    /// a server (`None`); returns the violation.
    ///
    /// The sender is compared only after a single SYN. A retransmitted one may reach another
    /// instance, or be forwarded after the first one was refused.
    pub fn reset(
        &mut self,
        flow_key: FlowKey,
        instance: Option<Ipv4Addr>,
        syn_count: usize,
    ) -> Option<&'static str> {
        let opening = self.opening(flow_key);
        opening.is_reset = true;
        opening.refused_by = instance.filter(|_| syn_count == 1);
        if opening.has_run {
            return Some(RAN_AFTER_RESET);
        }
        let is_same = opening.refused_by.is_some() && opening.forwarded_by == opening.refused_by;
        is_same.then_some(FORWARDED_AND_RESET)
    }
}

//! Accounts of flows and evidence at servers, and their end.

use std::time::Duration;

use tokio::time::Instant;

use crate::flow::DataPlane;
use crate::flow::FlowEvent;
use crate::flow::directory::Slot;
use crate::flow::table::Expiry;
use crate::flow::table::Flow;
use crate::flow::table::Key;
use crate::flow::table::Phase;

/// Time in which all flows are looked at once, to forget those that are over;
/// the shortest such time, a flow's that closes, is 2 s.
const ROUND: Duration = Duration::from_secs(1);

/// Time between two parts of a round. A whole round at once holds packets up for
/// some milliseconds where there are tens of thousands of flows.
const PART: Duration = Duration::from_millis(50);

impl DataPlane {
    pub(super) fn count_miss(&mut self, slot: Slot, since: Instant, now: Instant) {
        let Some(record) = self.directory.get_mut(slot) else {
            return;
        };
        if record.liveness.missed(since, now) {
            let note = FlowEvent::Suspected {
                server: record.server.id.clone(),
                misses: record.liveness.misses(),
            };
            self.note(note);
        }
    }

    pub(super) fn count_answer(&mut self, slot: Slot, now: Instant) {
        let Some(record) = self.directory.get_mut(slot) else {
            return;
        };
        if record.liveness.answered(now) {
            let server = record.server.id.clone();
            self.note(FlowEvent::SuspicionCleared { server });
        }
    }

    pub(super) fn count_flow(&mut self, slot: Slot) {
        if let Some(record) = self.directory.get_mut(slot) {
            record.flows += 1;
        }
    }

    /// Takes a flow's share of a server's load away.
    pub(super) fn uncount_flow(&mut self, slot: Slot, is_asked: bool) {
        if let Some(record) = self.directory.get_mut(slot) {
            record.flows = record.flows.saturating_sub(1);
            record.outstanding = record.outstanding.saturating_sub(u32::from(is_asked));
        }
    }

    /// Counts a flow at another server.
    pub(super) fn move_flow(&mut self, key: Key, to: Slot) {
        let Some(flow) = self.table.get_mut(key) else {
            return;
        };
        let from = std::mem::replace(&mut flow.server, to);
        let is_asked = flow.asked.is_some();
        if from == to {
            return;
        }
        self.uncount_flow(from, is_asked);
        if let Some(record) = self.directory.get_mut(to) {
            record.flows += 1;
            record.outstanding += u32::from(is_asked);
        }
    }

    pub(super) fn close(&mut self, key: Key) {
        if let Some(flow) = self.table.remove(key) {
            self.release(&flow);
        }
    }

    /// A flow that is closing has given its share back already.
    pub(super) fn release(&mut self, flow: &Flow) {
        if !matches!(flow.phase, Phase::Closing) {
            self.uncount_flow(flow.server, flow.asked.is_some());
        }
    }

    pub(super) fn sweep(&mut self, now: Instant) {
        let since = self.swept.map_or(ROUND, |swept| now - swept);
        if since < PART {
            return;
        }
        self.swept = Some(now);
        let count = self.table.part(since.div_duration_f64(ROUND));
        let idle = self.routes.as_ref().map(|routes| routes.idle_timeout);
        let rules = Expiry {
            idle: idle.unwrap_or(self.options.idle_timeout),
            age: self.options.flow_ttl,
        };
        let (over, is_round) = self.table.expire(now, &rules, count);
        for flow in over {
            self.release(&flow);
        }
        if is_round {
            self.directory.forget(now);
            self.directory.weigh(now);
        }
    }
}

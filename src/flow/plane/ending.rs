//! How requests end, or that they do not.

use tokio::time::Instant;

use crate::flow::DataPlane;
use crate::flow::FlowEvent;
use crate::flow::FlowKey;
use crate::flow::directory::Slot;
use crate::flow::table::Answer;

/// A request that has to be answered in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Watch {
    pub(crate) due: Instant,
    flow_key: FlowKey,
    asked: Instant,
}

/// Requests watched at once. Without a bound a service whose answers take seconds
/// would fill the memory; those beyond are not watched.
const MOST_WATCHES: usize = 65_536;

impl DataPlane {
    /// Notes when a request that begins now has to be answered.
    pub(super) fn watch(&mut self, flow_key: FlowKey, slot: Slot, now: Instant) {
        let Some(usual) = self.directory.usual_mut(slot) else {
            return;
        };
        let due = now + usual.patience();
        // Services differ in patience; the order of due times is kept, at the price
        // that a short one waits for a longer one before it.
        let due = self.watches.back().map_or(due, |last| last.due.max(due));
        if self.watches.len() < MOST_WATCHES {
            let asked = now;
            self.watches.push_back(Watch {
                due,
                flow_key,
                asked,
            });
        }
    }

    /// Counts an answer that has ended.
    pub(super) fn count_end(&mut self, slot: Slot, answer: Answer, now: Instant) {
        let Some(usual) = self.directory.usual_mut(slot) else {
            return;
        };
        let is_premature = usual.sample(answer.took, answer.bytes);
        if let Some(record) = self.directory.get_mut(slot) {
            record.outcomes.answered(now, is_premature);
            record.weigh(now);
        }
    }

    /// Counts requests that should have been answered by now.
    pub(super) fn find_stalls(&mut self, now: Instant) {
        while let Some(watch) = self.watches.front().copied()
            && watch.due <= now
        {
            self.watches.pop_front();
            // When routers turn, the answer's acknowledgement goes to another instance,
            // and others' flows come here. Each planned stop of an instance would make
            // the servers of all flows in progress look as if they hung.
            let has_heard = self.heard.is_some_and(|heard| heard > watch.asked);
            let has_turned = self.turned.is_some_and(|turned| turned >= watch.asked);
            let flow = self.table.find(&watch.flow_key);
            let flow = flow.and_then(|key| self.table.get(key));
            let flow = flow.filter(|flow| flow.asked == Some(watch.asked));
            let Some(server) = flow
                .filter(|_| has_heard && !has_turned)
                .map(|flow| flow.server)
            else {
                continue;
            };
            let Some(record) = self.directory.get_mut(server) else {
                continue;
            };
            record.outcomes.stalled(now);
            record.weigh(now);
            let note = FlowEvent::Stalled {
                flow_key: watch.flow_key,
                server: record.server.id.clone(),
                waited_ms: (now - watch.asked).as_millis() as u64,
            };
            self.note(note);
        }
    }
}

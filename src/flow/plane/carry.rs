//! Packets of open flows: where they go, and what they tell of progress.

use std::time::Duration;

use tokio::time::Instant;

use crate::flow::DataPlane;
use crate::flow::DropReason;
use crate::flow::FlowEvent;
use crate::flow::Segment;
use crate::flow::Timing;
use crate::flow::Verdict;
use crate::flow::directory::Slot;
use crate::flow::table::Flow;
use crate::flow::table::Key;
use crate::flow::table::Phase;
use crate::flow::table::Progress;

/// Least time between a packet and its repeat, by which silence is judged.
const REPEAT_GAP: Duration = Duration::from_millis(150);

/// Repeats of the same bytes that count as the server's silence. One may be a
/// lost packet, two in a row hardly.
const SILENT_REPEATS: u32 = 2;

impl DataPlane {
    pub(super) fn receive_later(&mut self, now: Instant, segment: &Segment) -> Verdict {
        self.heard = Some(now);
        let tagged = self.directory.by_tag(segment.tag);
        let known = self.table.find(&segment.flow_key);
        let key = known.or_else(|| self.adopt(now, segment, tagged?));
        let slot = key.and_then(|key| self.settle_server(now, key, segment, tagged));
        let Some(slot) = slot.or(tagged) else {
            return Verdict::Drop(DropReason::UnknownTag);
        };
        let progress = key.map(|key| self.advance(now, key, segment));
        if segment.len > 0 && self.is_released(now, segment, slot) {
            if let Some(key) = key {
                self.close(key);
            }
            return Verdict::Reset;
        }
        if progress.is_some_and(|progress| progress.repeats >= SILENT_REPEATS) {
            self.count_miss(slot, now - REPEAT_GAP, now);
        }
        match self.directory.get(slot) {
            Some(record) => Verdict::Forward(record.target()),
            None => Verdict::Drop(DropReason::UnknownTag),
        }
    }

    /// Remembers a flow whose opening packet passed elsewhere, if there is room
    /// and it is not over already.
    pub(super) fn adopt(&mut self, now: Instant, segment: &Segment, slot: Slot) -> Option<Key> {
        if !self.table.has_room() || segment.flags.fin || segment.flags.rst {
            return None;
        }
        self.turned = Some(now);
        let key = self.table.insert(Flow::adopted(segment, slot, now));
        self.count_flow(slot);
        Some(key)
    }

    /// The server that a remembered flow's packet goes to.
    ///
    /// The tag leads there, as at every other instance. Only where several
    /// servers got the opening packet, the one whose answer the caller took
    /// first is kept: another one's later answer replaces the tag that the
    /// caller repeats, and that server would reset a flow that it never had.
    pub(super) fn settle_server(
        &mut self,
        now: Instant,
        key: Key,
        segment: &Segment,
        tagged: Option<Slot>,
    ) -> Option<Slot> {
        let flow = self.table.get(key)?;
        let Phase::Opening(opening) = &flow.phase else {
            // A flow of its server's former life stays counted there.
            let is_former = tagged.is_some_and(|slot| slot.is_same_server(flow.server));
            let keeps = flow.is_pinned || tagged.is_none() || is_former;
            let slot = if keeps { flow.server } else { tagged? };
            if matches!(flow.phase, Phase::Open) {
                self.move_flow(key, slot);
            }
            return Some(slot);
        };
        let is_first_try = opening.tried.len() == 1;
        let taken = now - opening.sent;
        let slot = tagged.unwrap_or(flow.server);
        self.move_flow(key, slot);
        let flow = self.table.get_mut(key)?;
        flow.open(slot, segment);
        if is_first_try {
            self.round_trip.sample(taken);
            self.timings.push(Timing::Handshake(taken));
        }
        if !segment.flags.rst {
            self.count_answer(slot, now);
        }
        Some(slot)
    }

    pub(super) fn advance(&mut self, now: Instant, key: Key, segment: &Segment) -> Progress {
        let Some(flow) = self.table.get_mut(key) else {
            return Progress::default();
        };
        let was_closing = matches!(flow.phase, Phase::Closing);
        let progress = flow.advance(segment, now);
        let server = flow.server;
        if progress.has_answered {
            self.count_answer(server, now);
        }
        if was_closing {
            return progress;
        }
        self.timings.extend(progress.took.map(Timing::Answer));
        if let Some(record) = self.directory.get_mut(server) {
            let ended = u32::from(progress.took.is_some());
            record.outstanding = record.outstanding.saturating_sub(ended);
            record.outstanding += u32::from(progress.has_begun);
        }
        if let Some(answer) = progress.ended {
            self.count_end(server, answer, now);
        }
        if progress.has_begun {
            self.watch(segment.flow_key, server, now);
        }
        if segment.flags.fin {
            let ended = self.table.get_mut(key).and_then(|flow| flow.end_answer());
            if let Some(answer) = ended {
                self.count_end(server, answer, now);
            }
        }
        if segment.flags.fin || segment.flags.rst {
            self.begin_closing(key);
        }
        progress
    }

    pub(super) fn begin_closing(&mut self, key: Key) {
        let Some(flow) = self.table.get_mut(key) else {
            return;
        };
        flow.phase = Phase::Closing;
        let server = flow.server;
        let is_asked = flow.asked.is_some();
        self.uncount_flow(server, is_asked);
    }

    /// Whether the flow's server is gone, so that a reset lets the caller try
    /// again now and not at its deadline.
    pub(super) fn is_released(&mut self, now: Instant, segment: &Segment, slot: Slot) -> bool {
        let Some(missing) = self.directory.gone_since(slot, now) else {
            return false;
        };
        let Some(record) = self.directory.get(slot) else {
            return false;
        };
        let note = FlowEvent::Released {
            flow_key: segment.flow_key,
            server: record.server.id.clone(),
            missing_ms: (now - missing).as_millis() as u64,
        };
        self.note(note);
        true
    }
}

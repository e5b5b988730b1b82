//! Packets of open flows: their destination, and the request progress they show.

use std::time::Duration;

use tokio::time::Instant;

use crate::flow::DataPlane;
use crate::flow::DropReason;
use crate::flow::FlowEvent;
use crate::flow::Segment;
use crate::flow::Timing;
use crate::flow::Verdict;
use crate::flow::record::ServerHandle;
use crate::flow::table::Flow;
use crate::flow::table::FlowHandle;
use crate::flow::table::Phase;
use crate::flow::table::Progress;

/// Minimum time between a packet and its retransmission when a miss is counted.
const MIN_RETRANSMISSION_INTERVAL: Duration = Duration::from_millis(150);

/// Retransmissions of the same bytes that count as a missed answer. A single one may be due
/// to a lost packet, which is unlikely for two in a row.
const MISSED_RETRANSMISSIONS: u32 = 2;

impl DataPlane {
    pub(super) fn receive_non_syn(&mut self, now: Instant, segment: &Segment) -> Verdict {
        self.last_packet = Some(now);
        let by_tag = self.directory.by_tag(segment.tag);
        let known = self.find_flow(segment, by_tag);
        let flow_handle = known.or_else(|| self.adopt(now, segment, by_tag?));
        let server_handle = flow_handle
            .and_then(|flow_handle| self.select_server(now, flow_handle, segment, by_tag));
        let Some(server_handle) = server_handle.or(by_tag) else {
            return Verdict::Drop(DropReason::UnknownTag);
        };
        let progress = flow_handle.map(|flow_handle| self.advance(now, flow_handle, segment));
        if segment.len > 0 && self.check_server_gone(now, segment, server_handle) {
            if let Some(flow_handle) = flow_handle {
                self.close(flow_handle);
            }
            return Verdict::Reset;
        }
        if progress.is_some_and(|progress| progress.retransmissions >= MISSED_RETRANSMISSIONS) {
            self.record_miss(server_handle, now - MIN_RETRANSMISSION_INTERVAL, now);
        }
        match self.directory.get(server_handle) {
            Some(record) => Verdict::Forward(record.flow_target()),
            None => Verdict::Drop(DropReason::UnknownTag),
        }
    }

    /// Tracks a flow that was opened at another instance, unless the table is full or the
    /// flow is closing.
    pub(super) fn adopt(
        &mut self,
        now: Instant,
        segment: &Segment,
        server_handle: ServerHandle,
    ) -> Option<FlowHandle> {
        if !self.table.has_room() || segment.flags.fin || segment.flags.rst {
            return None;
        }
        self.last_adoption = Some(now);
        let flow_handle = self
            .table
            .insert(Flow::adopted(segment, server_handle, now));
        self.count_flow(server_handle);
        Some(flow_handle)
    }

    /// The tracked flow of a packet. One whose endpoints are in use for another flow by now is
    /// removed: its sequence numbers and tag are different.
    fn find_flow(&mut self, segment: &Segment, by_tag: Option<ServerHandle>) -> Option<FlowHandle> {
        let flow_handle = self.table.find(&segment.flow_key)?;
        let flow = self.table.get(flow_handle)?;
        let is_tagged = by_tag.is_none_or(|tagged| tagged.is_same_server(flow.server));
        if is_tagged || flow.is_opening() || flow.continues_with(segment) {
            return Some(flow_handle);
        }
        self.close(flow_handle);
        None
    }

    /// The server that gets a packet of a tracked flow.
    ///
    /// An open flow stays with its server, whatever tag its packets carry: several servers may
    /// have answered the SYN, here or through another instance. A later answer replaces the
    /// tag that the caller echoes, and its server would reset a flow that it does not know.
    pub(super) fn select_server(
        &mut self,
        now: Instant,
        flow_handle: FlowHandle,
        segment: &Segment,
        by_tag: Option<ServerHandle>,
    ) -> Option<ServerHandle> {
        let flow = self.table.get(flow_handle)?;
        let Phase::Opening(opening) = &flow.phase else {
            let server_handle = flow.server;
            self.note_tag(segment, server_handle, by_tag);
            return Some(server_handle);
        };
        let attempt = opening.last_attempt();
        let is_first_try = opening.attempts.len() == 1;
        let duration = now - attempt.sent;
        let server_handle = by_tag.map_or(flow.server, |tagged| {
            self.accepted_server(now, opening, segment, tagged)
        });
        self.note_tag(segment, server_handle, by_tag);
        self.move_flow(flow_handle, server_handle);
        self.release_opening(server_handle);
        self.untrack_load(flow_handle);
        let flow = self.table.get_mut(flow_handle)?;
        flow.open(server_handle, segment);
        if is_first_try {
            self.round_trip.sample(duration);
            self.timings.push(Timing::Handshake(duration));
        }
        if !segment.flags.rst {
            self.record_answer(server_handle, now);
            self.record_accepted_opening(server_handle);
        }
        Some(server_handle)
    }

    fn record_accepted_opening(&mut self, server_handle: ServerHandle) {
        if let Some(record) = self.directory.get_mut(server_handle) {
            record.liveness.accepted_opening();
        }
    }

    /// Records that a flow stays with its server although the packet's tag names another one.
    fn note_tag(&mut self, segment: &Segment, server: ServerHandle, by_tag: Option<ServerHandle>) {
        let Some(tagged) = by_tag.filter(|tagged| !tagged.is_same_server(server)) else {
            return;
        };
        let id_of = |handle| self.directory.get(handle).map(|record| &record.server.id);
        if let (Some(server), Some(tagged)) = (id_of(server), id_of(tagged)) {
            let event = FlowEvent::TagIgnored {
                flow_key: segment.flow_key,
                server: server.clone(),
                tagged: tagged.clone(),
            };
            self.record_event(event);
        }
    }

    pub(super) fn advance(
        &mut self,
        now: Instant,
        flow_handle: FlowHandle,
        segment: &Segment,
    ) -> Progress {
        let Some(flow) = self.table.get_mut(flow_handle) else {
            return Progress::default();
        };
        let was_closing = matches!(flow.phase, Phase::Closing);
        let progress = flow.advance(segment, now);
        let server = flow.server;
        if progress.has_answered {
            self.record_answer(server, now);
        }
        if was_closing {
            return progress;
        }
        self.timings
            .extend(progress.response_time.map(Timing::Answer));
        if let Some(record) = self.directory.get_mut(server) {
            let ended = u32::from(progress.response_time.is_some());
            record.outstanding = record.outstanding.saturating_sub(ended);
            record.outstanding += u32::from(progress.has_begun);
        }
        if let Some(response_time) = progress.response_time {
            let route = segment.flow_key.service;
            self.directory.end_request(server, now - response_time);
            self.directory
                .learn_speed(server, route, response_time, now);
            self.record_response(server, response_time);
            self.untrack_load(flow_handle);
        }
        if progress.has_begun {
            self.track_load(flow_handle);
        }
        if let Some(answer) = progress.ended {
            self.record_outcome(server, answer, now);
        }
        if progress.has_begun {
            let route = segment.flow_key.service;
            self.directory.begin_request(server, route, now);
            self.watch_request(segment.flow_key, server, now);
        }
        if segment.flags.fin {
            let ended = self
                .table
                .get_mut(flow_handle)
                .and_then(|flow| flow.end_answer());
            if let Some(answer) = ended {
                self.record_outcome(server, answer, now);
            }
        }
        if segment.flags.fin || segment.flags.rst {
            self.begin_closing(flow_handle);
        }
        progress
    }

    pub(super) fn begin_closing(&mut self, flow_handle: FlowHandle) {
        self.untrack_load(flow_handle);
        let Some(flow) = self.table.get_mut(flow_handle) else {
            return;
        };
        let was_opening = flow.is_opening();
        flow.phase = Phase::Closing;
        let server = flow.server;
        let request_started = flow.request_started;
        if was_opening {
            self.release_opening(server);
        }
        self.release_load(server, request_started);
    }

    /// Whether the flow's server is gone. A reset then lets the caller retry at once instead
    /// of at its deadline.
    pub(super) fn check_server_gone(
        &mut self,
        now: Instant,
        segment: &Segment,
        server_handle: ServerHandle,
    ) -> bool {
        let Some(gone_since) = self.directory.gone_since(server_handle) else {
            return false;
        };
        let Some(record) = self.directory.get(server_handle) else {
            return false;
        };
        let event = FlowEvent::Released {
            flow_key: segment.flow_key,
            server: record.server.id.clone(),
            missing_ms: (now - gone_since).as_millis() as u64,
        };
        self.record_event(event);
        true
    }
}

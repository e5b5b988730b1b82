//! Detection of requests that are answered, failed or stalled.

use tokio::time::Instant;

use crate::flow::DataPlane;
use crate::flow::FlowEvent;
use crate::flow::FlowKey;
use crate::flow::record::ServerHandle;
use crate::flow::table::Answer;
use crate::flow::table::FlowHandle;

/// A request in progress and its deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) due: Instant,
    flow_key: FlowKey,
    started: Instant,
}

/// Maximum number of watched requests, which bounds the memory for services whose answers
/// take seconds. Further requests are not watched.
const MAX_PENDING_REQUESTS: usize = 65_536;

impl DataPlane {
    /// Starts watching a request that begins now.
    pub(super) fn watch_request(
        &mut self,
        flow_key: FlowKey,
        server_handle: ServerHandle,
        now: Instant,
    ) {
        let Some(baseline) = self.directory.baseline_mut(server_handle) else {
            return;
        };
        let due = now + baseline.stall_timeout();
        // Stall timeouts differ between services. Deadlines are kept in order, so that a short
        // one may be extended to that of the request before it.
        let due = self
            .pending_requests
            .back()
            .map_or(due, |last| last.due.max(due));
        if self.pending_requests.len() < MAX_PENDING_REQUESTS {
            let started = now;
            self.pending_requests.push_back(PendingRequest {
                due,
                flow_key,
                started,
            });
        }
    }

    /// Counts a completed answer.
    pub(super) fn record_outcome(
        &mut self,
        server_handle: ServerHandle,
        answer: Answer,
        now: Instant,
    ) {
        let Some(baseline) = self.directory.baseline_mut(server_handle) else {
            return;
        };
        let is_premature = baseline.sample(answer.response_time, answer.bytes);
        self.directory
            .count_outcome(server_handle, now, |outcomes| {
                outcomes.answered(now, is_premature);
            });
    }

    fn has_request_since(&self, flow_handle: FlowHandle, started: Instant) -> bool {
        let flow = self.table.get(flow_handle);
        flow.is_some_and(|flow| flow.request_started == Some(started))
    }

    /// Counts the requests whose deadline has passed.
    pub(super) fn record_stalls(&mut self, now: Instant) {
        while let Some(request) = self.pending_requests.front().copied()
            && request.due <= now
        {
            self.pending_requests.pop_front();
            // When routers redistribute flows, the acknowledgement of an answer goes to another
            // instance, and flows of other instances arrive here. Without this check, every
            // planned stop of an instance would make the servers of all requests in progress
            // look as if they hung.
            let has_received = self.last_packet.is_some_and(|at| at > request.started);
            let has_adopted = self.last_adoption.is_some_and(|at| at >= request.started);
            let flow = self.table.find(&request.flow_key);
            // A server that resets an open flow ends the request unseen.
            if let Some(flow_handle) = flow
                && self.has_request_since(flow_handle, request.started)
            {
                self.untrack_load(flow_handle);
            }
            let flow = flow.and_then(|handle| self.table.get(handle));
            let flow = flow.filter(|flow| flow.request_started == Some(request.started));
            let Some(server) = flow
                .filter(|_| has_received && !has_adopted)
                .map(|flow| flow.server)
            else {
                continue;
            };
            self.directory
                .count_outcome(server, now, |outcomes| outcomes.stalled(now));
            self.record_no_response(server);
            let Some(record) = self.directory.get_mut(server) else {
                continue;
            };
            let event = FlowEvent::Stalled {
                flow_key: request.flow_key,
                server: record.server.id.clone(),
                waited_ms: (now - request.started).as_millis() as u64,
            };
            self.record_event(event);
        }
    }
}

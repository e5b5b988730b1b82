//! Load and evidence per server, and the expiry of flows.

use std::time::Duration;

use tokio::time::Instant;

use crate::flow::DataPlane;
use crate::flow::FlowEvent;
use crate::flow::OpeningOutcome;
use crate::flow::OpeningResult;
use crate::flow::Priority;
use crate::flow::Verdict;
use crate::flow::record::ServerHandle;
use crate::flow::table::ExpiryRules;
use crate::flow::table::Flow;
use crate::flow::table::FlowHandle;
use crate::flow::table::Phase;
use crate::id;

/// Time in which a sweep covers the whole flow table to remove expired flows. The shortest
/// expiry time, that of a closing flow, is 2 s.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Time between two parts of a sweep. Sweeping the whole table at once would delay packets
/// by some milliseconds with tens of thousands of flows.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

impl DataPlane {
    /// Counts how an opening ended. One that is queued, or dropped before all servers are
    /// known, is decided again, so that it is not counted yet.
    pub(super) fn count_opening_result(
        &mut self,
        service: id::Service,
        priority: Option<Priority>,
        verdict: Verdict,
    ) {
        let result = match verdict {
            Verdict::Forward(_) => OpeningResult::Placed,
            Verdict::Reset => OpeningResult::Refused,
            Verdict::Drop(_) if self.has_servers => OpeningResult::Dropped,
            Verdict::Drop(_) | Verdict::Wait => return,
        };
        self.openings.count(OpeningOutcome {
            service,
            priority,
            result,
        });
    }

    pub(super) fn record_miss(
        &mut self,
        server_handle: ServerHandle,
        since: Instant,
        now: Instant,
    ) {
        let Some(record) = self.directory.get_mut(server_handle) else {
            return;
        };
        if record.liveness.missed(since, now) {
            let event = FlowEvent::Suspected {
                server: record.server.id.clone(),
                misses: record.liveness.misses(),
            };
            self.record_event(event);
        }
    }

    pub(super) fn record_answer(&mut self, server_handle: ServerHandle, now: Instant) {
        let Some(record) = self.directory.get_mut(server_handle) else {
            return;
        };
        if record.liveness.answered(now) {
            let server = record.server.id.clone();
            self.record_event(FlowEvent::SuspicionCleared { server });
        }
    }

    pub(super) fn count_flow(&mut self, server_handle: ServerHandle) {
        if let Some(record) = self.directory.get_mut(server_handle) {
            record.flows += 1;
        }
    }

    pub(super) fn count_opening(&mut self, server_handle: ServerHandle) {
        if let Some(record) = self.directory.get_mut(server_handle) {
            record.opening += 1;
        }
    }

    pub(super) fn release_opening(&mut self, server_handle: ServerHandle) {
        if let Some(record) = self.directory.get_mut(server_handle) {
            record.opening = record.opening.saturating_sub(1);
        }
    }

    /// Subtracts a flow's load from a server.
    pub(super) fn release_load(
        &mut self,
        server_handle: ServerHandle,
        request_started: Option<Instant>,
    ) {
        if let Some(started) = request_started {
            self.directory.end_request(server_handle, started);
        }
        if let Some(record) = self.directory.get_mut(server_handle) {
            record.flows = record.flows.saturating_sub(1);
            record.outstanding = record
                .outstanding
                .saturating_sub(u32::from(request_started.is_some()));
        }
    }

    /// Moves a flow's load to another server.
    pub(super) fn move_flow(&mut self, flow_handle: FlowHandle, to: ServerHandle) {
        let Some(flow) = self.table.get_mut(flow_handle) else {
            return;
        };
        let from = std::mem::replace(&mut flow.server, to);
        let request_started = flow.request_started;
        let is_opening = flow.is_opening();
        let is_in_progress = flow.is_in_progress;
        if from == to {
            return;
        }
        if is_opening {
            self.release_opening(from);
            self.count_opening(to);
        }
        if is_in_progress {
            self.remove_in_progress(from);
            self.add_in_progress(to);
        }
        self.release_load(from, request_started);
        if let Some(record) = self.directory.get_mut(to) {
            record.flows += 1;
            record.outstanding += u32::from(request_started.is_some());
        }
    }

    pub(super) fn close(&mut self, flow_handle: FlowHandle) {
        if let Some(flow) = self.table.remove(flow_handle) {
            self.release_flow(&flow);
        }
    }

    /// Subtracts a removed flow's load; that of a closing flow is subtracted already.
    pub(super) fn release_flow(&mut self, flow: &Flow) {
        if flow.is_opening() {
            self.release_opening(flow.server);
        }
        if flow.is_in_progress {
            self.remove_in_progress(flow.server);
        }
        if !matches!(flow.phase, Phase::Closing) {
            self.release_load(flow.server, flow.request_started);
        }
    }

    pub(super) fn sweep(&mut self, now: Instant) {
        let elapsed = self.last_sweep.map_or(SWEEP_PERIOD, |at| now - at);
        if elapsed < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = Some(now);
        self.directory.update_owned();
        let count = self
            .table
            .sweep_size(elapsed.div_duration_f64(SWEEP_PERIOD));
        let idle_timeout = self.routes.as_ref().map(|routes| routes.idle_timeout);
        let rules = ExpiryRules {
            idle_timeout: idle_timeout.unwrap_or(self.options.idle_timeout),
            max_age: self.options.flow_ttl,
        };
        let (expired, is_complete) = self.table.expire(now, &rules, count);
        for flow in expired {
            self.release_flow(&flow);
        }
        if is_complete {
            self.directory.forget(now);
            self.directory.update_penalties(now);
        }
    }
}

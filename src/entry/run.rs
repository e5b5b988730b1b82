//! Main loop of an entry instance, and the state that it owns.

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::entry::Adapter;
use crate::entry::EvacuatedZone;
use crate::entry::Server;
use crate::entry::ServiceLoad;
use crate::entry::Settings;
use crate::entry::Status;
use crate::entry::beliefs::StateLine;
use crate::entry::beliefs::StateLog;
use crate::entry::http;
use crate::entry::http::Shared;
use crate::entry::journal;
use crate::entry::journal::Context;
use crate::entry::journal::FlowLog;
use crate::entry::metric::Metrics;
use crate::entry::outcome::outcomes_from_message;
use crate::entry::outcome::outcomes_to_message;
use crate::entry::refusals::UnreadableEntries;
use crate::entry::signals::SignalAction;
use crate::entry::signals::Signals;
use crate::entry::socket::Socket;
use crate::entry::start;
use crate::entry::status;
use crate::entry::stop;
use crate::entry::stop::Stop;
use crate::entry::view::DecodedUpdate;
use crate::entry::withdrawal::Withdrawal;
use crate::error::Result;
use crate::flow::Backlog;
use crate::flow::DataPlane;
use crate::flow::DropReason;
use crate::flow::Egress;
use crate::flow::PendingPacket;
use crate::flow::Segment;
use crate::flow::ServerState;
use crate::flow::StateUpdate;
use crate::flow::Target;
use crate::flow::Timing;
use crate::flow::Verdict;
use crate::flow::record::Record;
use crate::id;
use crate::platform::Revision;
use crate::poll::Reader;
use crate::replica;
use crate::replica::FleetLiveness;
use crate::replica::Handover;
use crate::replica::OUTCOME_REPORT_INTERVAL;
use crate::replica::PollTiming;
use crate::replica::Update;

/// Largest number of packets received in a row before other events are handled.
const BATCH: usize = 256;

/// Number of batches that contain all packets of a full socket buffer: 208 KiB, of which the
/// smallest packet takes 0.75 KiB.
const MAX_PAUSED_BATCHES: u32 = 2;

/// Longest time between two checks for expired timers.
const MAX_TIMER_INTERVAL: Duration = Duration::from_millis(500);

/// Delay of a wake-up from which packets in the socket buffer may be old. Timers fire a few
/// milliseconds late.
const MAX_WAKE_DELAY: Duration = Duration::from_millis(50);

/// Delay of queued openings after which they are decided before the socket is empty. Under a
/// flood of packets they would otherwise wait for its end.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(10);

/// Capacity of the queue of status requests.
const STATUS_QUEUE_LEN: usize = 16;

/// State of an instance, owned by its main loop.
struct Instance {
    settings: Settings,
    adapter: Adapter,
    plane: DataPlane,
    socket: Socket,
    flow_log: FlowLog,
    state_log: StateLog,
    unreadable_entries: UnreadableEntries,
    shared: Arc<Shared>,
    log: Logger,
    /// The instance that changes come from; `None` for the store itself.
    upstream: Option<id::Instance>,
    /// The copy of the store, and the state exchanged with other instances.
    replica: Arc<replica::SharedCopy>,
    /// When request outcomes were last reported to the zone.
    outcomes_reported_at: Instant,
    stop: Option<Stop>,
    /// Packets received before the first copy.
    backlog: Backlog,
    /// Whether the backlog was handled with the first servers.
    has_handled_backlog: bool,
    withdrawal: Withdrawal,
    /// Since when this process may not have run, while it receives the packets of that time.
    paused_since: Option<Instant>,
    /// Number of batches that may still contain packets of that time.
    paused_batches: u32,
    /// When the last round of the main loop ended.
    last_round: Instant,
    reader: Reader,
    /// Times by which the copy follows the store.
    timing: watch::Sender<PollTiming>,
    /// Signals during a graceful stop that the copy is available elsewhere.
    copy_available: mpsc::Sender<()>,
}

/// Runs an entry instance until a signal stops it.
///
/// # Errors
///
/// Fails when an address cannot be bound or signals cannot be received.
pub async fn run(file: PathBuf, settings: Settings, adapter: Adapter, log: Logger) -> Result<()> {
    let mut signals = Signals::new()?;
    let reader = start::reader(&settings, &adapter)?;
    let transport = reader.client().transport();
    let (timing, poll_timing) = watch::channel(start::poll_timing(&settings));
    let replication = start::follow(&settings, &adapter, reader.clone(), poll_timing, &log).await?;
    let (mut updates, replica) = replication;
    let (copy_available, mut copy_available_signals) = mpsc::channel(1);
    let (sender, mut liveness_rounds) = mpsc::channel(1);
    let me = start::member(&settings);
    tokio::spawn(replica::monitor_liveness(me, Arc::clone(&replica), sender));
    let (status_requests, mut status_queue) = mpsc::channel(STATUS_QUEUE_LEN);
    let metrics = Metrics::new(transport, Arc::clone(&replica));
    metrics.create_drop_counters();
    let shared = Arc::new(Shared {
        is_ready: AtomicBool::new(false),
        metrics,
        status_requests,
    });
    let link = settings.link_mbps.bytes_per_second();
    let egress = Egress::new(link, Instant::now());
    let socket = Socket::bind(settings.packets, adapter.codec, egress).await?;
    http::serve(settings.ready, settings.metrics, Arc::clone(&shared), &log).await?;
    info!(log, "started"; "instance" => %settings.instance, "zone" => %settings.zone,
        "packets" => %settings.packets, "version" => env!("CARGO_PKG_VERSION"));
    let now = Instant::now();
    let mut instance = Instance {
        plane: DataPlane::new(start::options(&settings)),
        flow_log: FlowLog::new(log.clone(), settings.log_lines_per_second, now),
        state_log: StateLog::new(log.clone(), now),
        unreadable_entries: UnreadableEntries::new(now),
        socket,
        shared,
        log,
        upstream: None,
        replica,
        outcomes_reported_at: now,
        stop: None,
        backlog: Backlog::default(),
        has_handled_backlog: false,
        withdrawal: Withdrawal::default(),
        paused_since: None,
        paused_batches: 0,
        last_round: now,
        reader,
        timing,
        copy_available,
        adapter,
        settings,
    };
    while !instance.has_stopped(Instant::now()) {
        let wake = instance.next_wake();
        tokio::select! {
            biased;
            action = signals.next() => instance.handle_signal(action, &file),
            Some(update) = updates.recv() => instance.handle_update(update),
            Some(liveness) = liveness_rounds.recv() => instance.handle_liveness(&liveness),
            Some(()) = copy_available_signals.recv() => {
                if let Some(stop) = &mut instance.stop {
                    stop.note_copy_available();
                }
            }
            readable = instance.socket.readable() => {
                if let Err(error) = readable {
                    warn!(instance.log, "packet socket failed"; "error" => %error);
                }
            }
            Some(reply) = status_queue.recv() => {
                // The HTTP client may have disconnected.
                let _ = reply.send(instance.status());
            }
            () = time::sleep_until(wake) => {}
        }
        instance.note_pause(wake);
        instance.process();
    }
    info!(instance.log, "stopped"; "flows" => instance.plane.flows());
    Ok(())
}

impl Instance {
    fn has_stopped(&self, now: Instant) -> bool {
        self.stop.is_some_and(|stop| now >= stop.ends_at())
    }

    /// When the main loop must run again even without an event.
    fn next_wake(&self) -> Instant {
        let mut wake = Instant::now() + MAX_TIMER_INTERVAL;
        let timers = [self.plane.next_due(), self.socket.next_due()];
        for due in timers.into_iter().flatten() {
            wake = wake.min(due);
        }
        if let Some(stop) = &self.stop {
            wake = wake.min(stop.ends_at());
        }
        wake
    }

    /// Notes whether this process did not run when it should have. The packets in the socket
    /// buffer may then have arrived at any time since the last round.
    fn note_pause(&mut self, wake: Instant) {
        if Instant::now() > wake + MAX_WAKE_DELAY {
            self.paused_since = Some(self.last_round);
            self.paused_batches = MAX_PAUSED_BATCHES;
        }
    }

    /// Ends the time in which received packets count as old, once those of a pause have been
    /// handled.
    fn note_batch(&mut self, is_socket_empty: bool) {
        self.paused_batches = self.paused_batches.saturating_sub(1);
        if is_socket_empty || self.paused_batches == 0 {
            self.paused_since = None;
        }
        self.last_round = Instant::now();
    }

    /// Handles the waiting packets, then the expired timers. Packets come first, since
    /// they may contain the answers that a timer waits for.
    fn process(&mut self) {
        let mut is_socket_empty = false;
        for _ in 0..BATCH {
            match self.socket.receive() {
                Ok(Some(length)) => self.receive(length),
                Ok(None) => {
                    is_socket_empty = true;
                    break;
                }
                Err(error) => {
                    self.shared.metrics.count_packet("receive_failed");
                    warn!(self.log, "receiving failed"; "error" => %error);
                    break;
                }
            }
        }
        self.note_batch(is_socket_empty);
        self.send_queued();
        let is_overdue = |due: Instant| Instant::now() > due + MAX_TIMER_DELAY;
        if is_socket_empty || self.plane.next_queue_due().is_some_and(is_overdue) {
            self.expire_timers();
        }
        if is_socket_empty {
            self.exchange_outcomes();
        }
        self.report();
    }

    fn receive(&mut self, length: usize) {
        let now = Instant::now();
        if let Some(stop) = &mut self.stop {
            stop.note_packet(now);
        }
        let packet = self.socket.packet(length);
        let segment = match (self.adapter.codec.decode)(packet) {
            Ok(segment) => segment,
            Err(reason) => {
                self.shared.metrics.count_packet("malformed");
                self.shared.metrics.count_drop(reason);
                return;
            }
        };
        if !self.plane.is_ready() && self.stop.is_none() {
            self.shared.metrics.count_packet("kept");
            self.backlog.push(PendingPacket {
                at: now,
                segment,
                packet: packet.to_vec(),
            });
            return;
        }
        let arrived = self.paused_since.unwrap_or(now);
        self.handle_packet(now, arrived, &segment, length);
    }

    /// Forwards, resets or drops the packet in the socket's buffer, which arrived at `at` or
    /// later.
    fn handle_packet(&mut self, now: Instant, at: Instant, segment: &Segment, length: usize) {
        let packet = self.socket.packet(length);
        let verdict = self.plane.receive_late(now, at, segment, packet);
        let (outcome, sent) = match verdict {
            Verdict::Drop(_) if !self.plane.has_all_servers() && self.stop.is_none() => {
                self.backlog.push(PendingPacket {
                    at,
                    segment: *segment,
                    packet: packet.to_vec(),
                });
                ("kept", Ok(()))
            }
            Verdict::Forward(target) => self.forward(now, segment, length, &target),
            Verdict::Wait => ("queued", Ok(())),
            Verdict::Reset => ("reset", self.socket.reset(segment)),
            Verdict::Drop(reason) => {
                self.shared.metrics.count_drop(reason.code());
                ("dropped", Ok(()))
            }
        };
        self.shared.metrics.count_packet(outcome);
        self.count_send(sent);
    }

    /// Handles the packets that came before the first servers were known, and again those
    /// whose servers were not among them, once all are known.
    fn handle_backlog(&mut self) {
        let is_due = match self.plane.has_all_servers() {
            true => true,
            false => self.plane.is_ready() && !self.has_handled_backlog,
        };
        if !is_due || self.backlog.is_empty() {
            return;
        }
        self.has_handled_backlog = true;
        let now = Instant::now();
        let buffered = self.backlog.len();
        let mut pending: Vec<PendingPacket> = self.backlog.drain(now).collect();
        pending.sort_by_key(|pending| self.plane.backlog_rank(&pending.segment));
        info!(self.log, "early packets"; "kept" => buffered, "handled" => pending.len());
        for PendingPacket {
            at,
            segment,
            packet,
        } in pending
        {
            let length = self.socket.load(&packet);
            self.handle_packet(now, at, &segment, length);
        }
    }

    fn forward(
        &mut self,
        now: Instant,
        segment: &Segment,
        length: usize,
        target: &Target,
    ) -> (&'static str, io::Result<()>) {
        match self.socket.forward(now, segment, length, target) {
            Ok(true) => ("forwarded", Ok(())),
            Ok(false) => {
                self.shared.metrics.count_drop(DropReason::FullLink.code());
                ("dropped", Ok(()))
            }
            Err(error) => ("forwarded", Err(error)),
        }
    }

    /// Sends queued packets while the link has room.
    fn send_queued(&mut self) {
        let now = Instant::now();
        while let Some(sent) = self.socket.send_next(now) {
            // A graceful stop must not drop queued packets.
            if let Some(stop) = &mut self.stop {
                stop.note_packet(now);
            }
            self.count_send(sent);
        }
        self.shared
            .metrics
            .link_queue
            .set(self.socket.queued_bytes() as i64);
    }

    /// Counts a failed send. The packet counts as lost, and its sender retransmits it.
    fn count_send(&mut self, sent: io::Result<()>) {
        if sent.is_err() {
            self.shared.metrics.count_packet("send_failed");
        }
    }

    fn expire_timers(&mut self) {
        let now = Instant::now();
        let expired = self.plane.expire(now);
        for resend in expired.resends {
            let sent = self.socket.resend(now, &resend);
            self.shared.metrics.count_packet("resent");
            self.count_send(sent);
        }
        for segment in &expired.resets {
            self.shared.metrics.count_packet("reset");
            let sent = self.socket.reset(segment);
            self.count_send(sent);
        }
    }

    /// Updates the load metrics, reports the request outcomes counted here to the zone, and applies the confirmed
    /// outcomes of the whole zone.
    fn exchange_outcomes(&mut self) {
        let now = Instant::now();
        if now < self.outcomes_reported_at + OUTCOME_REPORT_INTERVAL {
            return;
        }
        self.outcomes_reported_at = now;
        self.update_load_metrics(now);
        let own_outcomes = self.plane.server_outcomes(now);
        self.replica
            .outcomes
            .set_local(own_outcomes.iter().map(outcomes_to_message).collect());
        let zone_outcomes = self.replica.outcomes.confirmed_outcomes(now);
        let zone_outcomes = zone_outcomes.iter().map(outcomes_from_message).collect();
        self.plane
            .apply(now, StateUpdate::ZoneOutcomes(zone_outcomes));
    }

    fn update_load_metrics(&self, now: Instant) {
        let loads = self.plane.service_loads(now);
        let metrics = &self.shared.metrics;
        metrics.load.update(self.plane.waiting(), &loads);
    }

    fn report(&mut self) {
        let now = Instant::now();
        let context = Context {
            contact_age_ms: self.contact_age_ms(now),
        };
        let metrics = &self.shared.metrics;
        for timing in self.plane.take_timings() {
            match timing {
                Timing::Handshake(duration) => Metrics::observe(&metrics.handshake, duration),
                Timing::Answer(duration) => Metrics::observe(&metrics.answer, duration),
            }
        }
        for (outcome, count) in self.plane.take_openings() {
            metrics.count_openings(outcome, count);
        }
        self.state_log.flush(now);
        let (events, omitted) = self.plane.take_events();
        self.flow_log.add_omitted(omitted);
        metrics.omitted_lines.inc_by(omitted);
        for event in &events {
            metrics.count_decision(journal::kind(event));
            if !self.flow_log.write(now, event, context) {
                metrics.omitted_lines.inc();
            }
        }
    }

    fn contact_age_ms(&self, now: Instant) -> Option<u64> {
        self.replica.age(now).map(|age| age.as_millis() as u64)
    }

    fn handle_update(&mut self, update: Update) {
        let now = Instant::now();
        self.log_contact(now, &update);
        self.unreadable_entries.remove_updated(&update);
        let decoded = DecodedUpdate::new(&self.adapter.schema, update);
        for entry in &decoded.unreadable {
            self.shared.metrics.refused_entries.inc();
            self.unreadable_entries.add(now, entry, &self.log);
        }
        for state_update in decoded.state_updates {
            self.apply(now, state_update);
        }
        self.set_gauges();
        self.handle_backlog();
    }

    /// Logs that the store is unreachable, that it was read, or that the upstream changed.
    fn log_contact(&mut self, now: Instant, update: &Update) {
        match update {
            Update::StoreUnreachable { reason } => {
                warn!(self.log, "store lost"; "reason" => reason,
                    "view_age_ms" => self.contact_age_ms(now));
            }
            Update::Restored { era } => {
                warn!(self.log, "store restored"; "era" => era.0,
                    "view_age_ms" => self.contact_age_ms(now));
            }
            Update::Reset {
                entries, revision, ..
            } => info!(self.log, "store read"; "entries" => entries.len(),
                "revision" => %Revision(*revision), "view_age_ms" => self.contact_age_ms(now)),
            Update::UpstreamChanged { upstream } => {
                self.upstream.clone_from(upstream);
                let upstream = upstream.as_ref().map(ToString::to_string);
                info!(self.log, "source of changes"; "upstream" => upstream);
            }
            Update::Part { .. }
            | Update::Change(_)
            | Update::Refused(_)
            | Update::Members(_)
            | Update::Contact(_) => {}
        }
    }

    fn apply(&mut self, now: Instant, state_update: StateUpdate) {
        let line = StateLine::of(&state_update);
        let is_configuration = matches!(state_update, StateUpdate::Routes(_));
        let is_new = self.plane.apply(now, state_update);
        if let Some(line) = line {
            self.state_log.write(now, line, is_new);
        }
        if is_configuration && is_new {
            self.report_configuration();
        }
    }

    /// Reports a configuration that has just taken effect.
    fn report_configuration(&self) {
        if let Some(routes) = self.plane.routes() {
            journal::write_invalid_classes(&self.log, routes);
            self.shared.metrics.create_opening_counters(routes);
        }
    }

    fn set_gauges(&self) {
        let metrics = &self.shared.metrics;
        let accepts_traffic = self.stop.is_none() && !self.withdrawal.is_withdrawn();
        let is_ready = self.plane.is_ready() && accepts_traffic;
        if is_ready != self.shared.is_ready.swap(is_ready, Ordering::Relaxed) {
            info!(self.log, "readiness"; "is_ready" => is_ready);
        }
        metrics.ready.set(i64::from(is_ready));
        metrics
            .servers
            .set(self.plane.directory().listed_count() as i64);
        metrics.flows.set(self.plane.flows() as i64);
        let evacuated = self.plane.directory().evacuation().zones().count();
        metrics.evacuated.set(evacuated as i64);
        metrics.version.set(self.plane.version() as i64);
    }

    fn handle_signal(&mut self, action: SignalAction, file: &Path) {
        match action {
            SignalAction::Stop if self.stop.is_none() => {
                info!(self.log, "stopping"; "flows" => self.plane.flows());
                self.backlog.clear();
                self.stop = Some(Stop::new(Instant::now(), self.settings.grace()));
                self.set_gauges();
                self.replica.set_stopping();
                self.start_handover();
            }
            SignalAction::Stop => {}
            SignalAction::Reload => self.reload(file),
        }
    }

    /// Updates the withdrawal after a round of liveness probes.
    fn handle_liveness(&mut self, liveness: &FleetLiveness) {
        let was_withdrawn = self.withdrawal.is_withdrawn();
        self.withdrawal.note(liveness);
        let is_withdrawn = self.withdrawal.is_withdrawn();
        if is_withdrawn == was_withdrawn {
            return;
        }
        info!(self.log, "withdrawal"; "is_withdrawn" => is_withdrawn,
            "answering" => liveness.local_zone.answering, "all" => liveness.local_zone.probed,
            "zones_asked" => liveness.other_zones.len());
        self.replica.set_withdrawn(is_withdrawn);
        self.set_gauges();
    }

    /// Starts the check whether the copy is available elsewhere.
    fn start_handover(&self) {
        let handover = Handover {
            reader: self.reader.clone(),
            me: start::member(&self.settings),
            shared: Arc::clone(&self.replica),
            log: self.log.clone(),
        };
        let copy_available = self.copy_available.clone();
        tokio::spawn(async move {
            time::sleep(stop::HANDOVER_DELAY).await;
            handover.wait().await;
            // The main loop may have ended already.
            let _ = copy_available.send(()).await;
        });
    }

    /// Reloads the settings that can change at run time. If the file is invalid, the
    /// current settings stay in force.
    fn reload(&mut self, file: &Path) {
        match Settings::load(file) {
            Ok(settings) => self.apply_settings(settings),
            Err(error) => {
                warn!(self.log, "settings refused"; "error" => %error);
            }
        }
    }

    /// Applies the settings that can change at run time; the others stay as they are until
    /// the next start.
    fn apply_settings(&mut self, settings: Settings) {
        let link = settings.link_mbps;
        self.plane.set_spill(settings.spill);
        self.plane.set_flow_ttl(settings.flow_ttl());
        self.socket.set_link_rate(link.bytes_per_second());
        self.replica.pacer.set_link(link, Instant::now());
        // The follower has ended only if this instance ends.
        let _ = self.timing.send(start::poll_timing(&settings));
        let ms = |time: Duration| time.as_millis() as u64;
        info!(self.log, "settings reloaded"; "spill" => settings.spill,
            "grace_ms" => ms(settings.grace()), "flow_ttl_ms" => ms(settings.flow_ttl()),
            "bound_ms" => settings.bound().map(ms), "catch_up_ms" => ms(settings.catch_up()),
            "link_mbps" => link.0);
        self.settings.grace_ms = settings.grace_ms;
        self.settings.grace_s = settings.grace_s;
    }

    fn status(&self) -> Status {
        let now = Instant::now();
        let records = self.plane.directory().records();
        let mut servers: Vec<Server> = records.map(|record| server_status(record, now)).collect();
        servers.sort_by(|a, b| a.server.cmp(&b.server));
        let routes = self.plane.routes();
        Status {
            instance: self.settings.instance.clone(),
            zone: self.settings.zone.clone(),
            is_ready: self.shared.is_ready.load(Ordering::Relaxed),
            version: self.plane.version(),
            flows: self.plane.flows(),
            contact_age_ms: self.contact_age_ms(now),
            upstream: self.upstream.clone(),
            evacuated: self.evacuated_zones(now),
            servers,
            load: self
                .plane
                .service_loads(now)
                .iter()
                .map(ServiceLoad::new)
                .collect(),
            refused: self.unreadable_entries.list(),
            classes: routes.map(status::classes).unwrap_or_default(),
            invalid_classes: routes.map(status::invalid_classes).unwrap_or_default(),
        }
    }

    fn evacuated_zones(&self, now: Instant) -> Vec<EvacuatedZone> {
        let zones = self.plane.directory().evacuation().zones();
        let evacuated = zones.map(|(zone, since)| EvacuatedZone {
            zone: zone.clone(),
            known_ms: (now - since).as_millis() as u64,
        });
        evacuated.collect()
    }
}

fn server_status(record: &Record, now: Instant) -> Server {
    let age = |at: Instant| (now - at).as_millis() as u64;
    Server {
        server: record.server.id.clone(),
        service: record.server.service.clone(),
        zone: record.server.zone.clone(),
        incarnation: record.server.incarnation.map(|incarnation| incarnation.0),
        is_unreadable: record.is_unreadable,
        is_draining: record.server.state == ServerState::Draining,
        is_evacuated: record.is_evacuated,
        missing_ms: record.missing_since.map(age),
        is_suspected: record.liveness.is_suspected(now),
        misses: record.liveness.misses(),
        bad_percent: (record.outcomes.bad_share(now) * 100.0).round() as u32,
        heard_ms: record.liveness.last_answer().map(age),
        outstanding: record.outstanding,
        flows: record.flows,
    }
}

//! The task that holds an instance's state, and the loop around it.

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
use tokio::time;
use tokio::time::Instant;

use crate::entry::Adapter;
use crate::entry::EvacuatedZone;
use crate::entry::Server;
use crate::entry::Settings;
use crate::entry::Status;
use crate::entry::beliefs::Beliefs;
use crate::entry::beliefs::Told;
use crate::entry::http;
use crate::entry::http::Shared;
use crate::entry::journal;
use crate::entry::journal::Context;
use crate::entry::journal::Journal;
use crate::entry::metric::Metrics;
use crate::entry::outcome::outcomes_from_message;
use crate::entry::outcome::outcomes_to_message;
use crate::entry::refusals::Refusals;
use crate::entry::signals::Asked;
use crate::entry::signals::Signals;
use crate::entry::socket::Socket;
use crate::entry::start;
use crate::entry::stop;
use crate::entry::stop::Stop;
use crate::entry::view::Reading;
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
use crate::flow::directory::Record;
use crate::id;
use crate::poll::Reader;
use crate::replica;
use crate::replica::FleetLiveness;
use crate::replica::Handover;
use crate::replica::OUTCOME_REPORT_INTERVAL;
use crate::replica::Update;

/// Packets taken before anything else gets its turn.
const BATCH: usize = 256;

/// Longest time between two looks at what is due.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Questions for the status that may wait.
const QUESTIONS: usize = 16;

struct Instance {
    settings: Settings,
    adapter: Adapter,
    plane: DataPlane,
    socket: Socket,
    journal: Journal,
    beliefs: Beliefs,
    refusals: Refusals,
    shared: Arc<Shared>,
    log: Logger,
    /// Where changes come from; `None` for the store itself.
    upstream: Option<id::Instance>,
    /// The copy of the store, and what instances tell each other.
    replica: Arc<replica::SharedCopy>,
    /// When servers were last told of.
    told: Instant,
    stop: Option<Stop>,
    /// Packets that came before the first copy.
    backlog: Backlog,
    withdrawal: Withdrawal,
    reader: Reader,
    /// Told after the signal to stop, once the copy may go.
    kept: mpsc::Sender<()>,
}

/// Runs an entry instance until it is told to stop.
///
/// # Errors
///
/// Fails when an address cannot be bound or signals cannot be received.
pub async fn run(file: PathBuf, settings: Settings, adapter: Adapter, log: Logger) -> Result<()> {
    let mut signals = Signals::new()?;
    let reader = start::reader(&settings, &adapter)?;
    let transport = reader.client().transport();
    let following = start::follow(&settings, &adapter, reader.clone(), &log).await?;
    let (mut updates, replica) = following;
    let (kept, mut is_kept) = mpsc::channel(1);
    let (sender, mut tallies) = mpsc::channel(1);
    let me = start::member(&settings);
    tokio::spawn(replica::monitor_liveness(me, Arc::clone(&replica), sender));
    let (questions, mut asked) = mpsc::channel(QUESTIONS);
    let metrics = Metrics::new(transport, Arc::clone(&replica));
    metrics.prepare();
    let shared = Arc::new(Shared {
        is_ready: AtomicBool::new(false),
        metrics,
        questions,
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
        journal: Journal::new(log.clone(), settings.log_lines_per_second, now),
        beliefs: Beliefs::new(log.clone(), now),
        refusals: Refusals::new(now),
        socket,
        shared,
        log,
        upstream: None,
        replica,
        told: now,
        stop: None,
        backlog: Backlog::default(),
        withdrawal: Withdrawal::default(),
        reader,
        kept,
        adapter,
        settings,
    };
    while !instance.is_over(Instant::now()) {
        let wake = instance.wake();
        tokio::select! {
            biased;
            signal = signals.next() => instance.signal(signal, &file),
            Some(update) = updates.recv() => instance.learn(update),
            Some(tally) = tallies.recv() => instance.note_tally(&tally),
            Some(()) = is_kept.recv() => {
                if let Some(stop) = &mut instance.stop {
                    stop.note_kept();
                }
            }
            readable = instance.socket.readable() => {
                if let Err(error) = readable {
                    warn!(instance.log, "packet socket failed"; "error" => %error);
                }
            }
            Some(question) = asked.recv() => {
                // Whoever asked may have left.
                let _ = question.send(instance.status());
            }
            () = time::sleep_until(wake) => {}
        }
        instance.work();
    }
    info!(instance.log, "stopped"; "flows" => instance.plane.flows());
    Ok(())
}

impl Instance {
    fn is_over(&self, now: Instant) -> bool {
        self.stop.is_some_and(|stop| now >= stop.ends_at())
    }

    fn wake(&self) -> Instant {
        let mut wake = Instant::now() + LOOK_EVERY;
        let dues = [self.plane.next_due(), self.socket.next_due()];
        for due in dues.into_iter().flatten() {
            wake = wake.min(due);
        }
        if let Some(stop) = &self.stop {
            wake = wake.min(stop.ends_at());
        }
        wake
    }

    /// Takes the packets that wait, then looks at what is due: in this order,
    /// since the answers that something waits for may be among the packets.
    fn work(&mut self) {
        let mut is_drained = false;
        for _ in 0..BATCH {
            match self.socket.receive() {
                Ok(Some(length)) => self.receive(length),
                Ok(None) => {
                    is_drained = true;
                    break;
                }
                Err(error) => {
                    self.shared.metrics.count_packet("receive_failed");
                    warn!(self.log, "receiving failed"; "error" => %error);
                    break;
                }
            }
        }
        self.send_waiting();
        if is_drained {
            self.expire();
            self.share();
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
        self.handle(now, &segment, length);
    }

    /// Decides about the packet in the socket's buffer.
    fn handle(&mut self, now: Instant, segment: &Segment, length: usize) {
        let packet = self.socket.packet(length);
        let verdict = self.plane.receive(now, segment, packet);
        let (outcome, sent) = match verdict {
            Verdict::Forward(target) => self.forward(now, segment, length, &target),
            Verdict::Reset => ("reset", self.socket.reset(segment)),
            Verdict::Drop(reason) => {
                self.shared.metrics.count_drop(reason.code());
                ("dropped", Ok(()))
            }
        };
        self.shared.metrics.count_packet(outcome);
        self.count_send(sent);
    }

    /// Handles what came before the first copy, once there is one.
    fn handle_backlog(&mut self) {
        if self.backlog.is_empty() || !self.plane.is_ready() {
            return;
        }
        let now = Instant::now();
        let waited = self.backlog.len();
        let early: Vec<PendingPacket> = self.backlog.drain(now).collect();
        info!(self.log, "early packets"; "kept" => waited, "handled" => early.len());
        for PendingPacket {
            segment, packet, ..
        } in early
        {
            let length = self.socket.load(&packet);
            self.handle(now, &segment, length);
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

    /// Sends what waits and what the link has room for.
    fn send_waiting(&mut self) {
        let now = Instant::now();
        while let Some(sent) = self.socket.send_next(now) {
            // A stop must not cut off what waits here.
            if let Some(stop) = &mut self.stop {
                stop.note_packet(now);
            }
            self.count_send(sent);
        }
        self.shared
            .metrics
            .waiting
            .set(self.socket.waiting() as i64);
    }

    /// A packet that cannot be sent is lost like any other; its sender repeats it.
    fn count_send(&mut self, sent: io::Result<()>) {
        if sent.is_err() {
            self.shared.metrics.count_packet("send_failed");
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        for resend in self.plane.expire(now) {
            let sent = self.socket.resend(now, &resend);
            self.shared.metrics.count_packet("resent");
            self.count_send(sent);
        }
    }

    /// Tells the zone what speaks against servers here, and hears what it counted.
    fn share(&mut self) {
        let now = Instant::now();
        if now < self.told + OUTCOME_REPORT_INTERVAL {
            return;
        }
        self.told = now;
        let own = self.plane.server_outcomes(now);
        self.replica
            .outcomes
            .set_local(own.iter().map(outcomes_to_message).collect());
        let zone = self.replica.outcomes.confirmed_outcomes(now);
        let zone = zone.iter().map(outcomes_from_message).collect();
        self.plane.apply(now, StateUpdate::ZoneOutcomes(zone));
    }

    fn report(&mut self) {
        let now = Instant::now();
        let context = Context {
            contact_age_ms: self.contact_age_ms(now),
        };
        let metrics = &self.shared.metrics;
        for timing in self.plane.take_timings() {
            match timing {
                Timing::Handshake(taken) => Metrics::observe(&metrics.handshake, taken),
                Timing::Answer(taken) => Metrics::observe(&metrics.answer, taken),
            }
        }
        self.beliefs.flush(now);
        let (notes, omitted) = self.plane.take_events();
        self.journal.omit(omitted);
        metrics.omitted_lines.inc_by(omitted);
        for note in &notes {
            metrics.count_decision(journal::kind(note));
            if !self.journal.write(now, note, context) {
                metrics.omitted_lines.inc();
            }
        }
    }

    fn contact_age_ms(&self, now: Instant) -> Option<u64> {
        self.replica.age(now).map(|age| age.as_millis() as u64)
    }

    fn learn(&mut self, update: Update) {
        let now = Instant::now();
        self.tell_contact(now, &update);
        self.refusals.renew(&update);
        let reading = Reading::new(&self.adapter.schema, update);
        for refusal in &reading.refused {
            self.shared.metrics.refused_entries.inc();
            self.refusals.note(now, refusal, &self.log);
        }
        for belief in reading.beliefs {
            self.believe(now, belief);
        }
        self.set_gauges();
        self.handle_backlog();
    }

    /// Logs lost and regained contact.
    fn tell_contact(&mut self, now: Instant, update: &Update) {
        match update {
            Update::StoreUnreachable { reason } => {
                warn!(self.log, "store lost"; "reason" => reason,
                    "view_age_ms" => self.contact_age_ms(now));
            }
            Update::Reset {
                entries, revision, ..
            } => info!(self.log, "store read"; "entries" => entries.len(),
                "revision" => revision, "view_age_ms" => self.contact_age_ms(now)),
            Update::UpstreamChanged { upstream } => {
                self.upstream.clone_from(upstream);
                let upstream = upstream.as_ref().map(ToString::to_string);
                info!(self.log, "source of changes"; "upstream" => upstream);
            }
            Update::Change(_) | Update::Refused(_) | Update::Members(_) | Update::Contact(_) => {}
        }
    }

    fn believe(&mut self, now: Instant, belief: StateUpdate) {
        let told = Told::of(&belief);
        let is_new = self.plane.apply(now, belief);
        if let Some(told) = told {
            self.beliefs.tell(now, told, is_new);
        }
    }

    fn set_gauges(&self) {
        let metrics = &self.shared.metrics;
        let is_wanted = self.stop.is_none() && !self.withdrawal.is_withdrawn();
        let is_ready = self.plane.is_ready() && is_wanted;
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

    fn signal(&mut self, signal: Asked, file: &Path) {
        match signal {
            Asked::Stop if self.stop.is_none() => {
                info!(self.log, "stopping"; "flows" => self.plane.flows());
                self.backlog.clear();
                self.stop = Some(Stop::new(Instant::now(), self.settings.grace()));
                self.set_gauges();
                self.replica.set_stopping();
                self.hand_over();
            }
            Asked::Stop => {}
            Asked::Reload => self.reload(file),
        }
    }

    /// Takes in who of the fleet answers.
    fn note_tally(&mut self, tally: &FleetLiveness) {
        let before = self.withdrawal.is_withdrawn();
        self.withdrawal.note(tally);
        let is_withdrawn = self.withdrawal.is_withdrawn();
        if is_withdrawn == before {
            return;
        }
        info!(self.log, "withdrawal"; "is_withdrawn" => is_withdrawn,
            "answering" => tally.local_zone.answering, "all" => tally.local_zone.probed,
            "zones_asked" => tally.other_zones.len());
        self.replica.set_withdrawn(is_withdrawn);
        self.set_gauges();
    }

    /// Finds out when the copy may go with this instance.
    fn hand_over(&self) {
        let handover = Handover {
            reader: self.reader.clone(),
            me: start::member(&self.settings),
            shared: Arc::clone(&self.replica),
            log: self.log.clone(),
        };
        let kept = self.kept.clone();
        tokio::spawn(async move {
            time::sleep(stop::HAND_OVER_AFTER).await;
            handover.wait().await;
            // The process may be ending.
            let _ = kept.send(()).await;
        });
    }

    /// Takes over what can change while the process runs. Settings that cannot
    /// be read leave those in force.
    fn reload(&mut self, file: &Path) {
        match Settings::load(file) {
            Ok(settings) => {
                self.plane.set_spill(settings.spill);
                self.settings.grace_ms = settings.grace_ms;
                self.settings.spill = settings.spill;
                info!(self.log, "settings reloaded"; "spill" => settings.spill,
                    "grace_ms" => settings.grace_ms);
            }
            Err(error) => {
                warn!(self.log, "settings refused"; "error" => %error);
            }
        }
    }

    fn status(&self) -> Status {
        let now = Instant::now();
        let records = self.plane.directory().records();
        let mut servers: Vec<Server> = records.map(|record| server(record, now)).collect();
        servers.sort_by(|a, b| a.server.cmp(&b.server));
        Status {
            instance: self.settings.instance.clone(),
            zone: self.settings.zone.clone(),
            is_ready: self.shared.is_ready.load(Ordering::Relaxed),
            version: self.plane.version(),
            flows: self.plane.flows(),
            contact_age_ms: self.contact_age_ms(now),
            upstream: self.upstream.clone(),
            evacuated: self.evacuated(now),
            servers,
            refused: self.refusals.list(),
        }
    }

    fn evacuated(&self, now: Instant) -> Vec<EvacuatedZone> {
        let zones = self.plane.directory().evacuation().zones();
        let evacuated = zones.map(|(zone, since)| EvacuatedZone {
            zone: zone.clone(),
            known_ms: (now - since).as_millis() as u64,
        });
        evacuated.collect()
    }
}

fn server(record: &Record, now: Instant) -> Server {
    let age = |at: Instant| (now - at).as_millis() as u64;
    Server {
        server: record.server.id.clone(),
        service: record.server.service.clone(),
        zone: record.server.zone.clone(),
        incarnation: record.server.incarnation.map(|life| life.0),
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

//! The control task: passes events to the slice planner and executes its commands.

mod heartbeat;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::debug;
use slog::info;
use slog::warn;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::config::KEY_PREFIX;
use crate::config::SERVERS;
use crate::control::Command;
use crate::control::INSTANCES;
use crate::control::Registration;
use crate::control::SLICES_PREFIX;
use crate::control::WriteResult;
use crate::edge;
use crate::event::Event;
use crate::id;
use crate::inbox::ControlEvent;
use crate::peer;
use crate::peer::PeerMessage;
use crate::platform;
use crate::platform::Change;
use crate::platform::Client;
use crate::platform::Entry;
use crate::platform::ResolvedWrite;
use crate::platform::Update;
use crate::shared::Shared;
use crate::snapshot::Snapshot;
use crate::table::Document;
use crate::table::Row;

/// Time between two runs of the slice planner.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// State of the control task that is not shared with other tasks.
pub(crate) struct ControlTask {
    shared: Arc<Shared>,
    client: Client,
    events: UnboundedSender<ControlEvent>,
    registration: watch::Sender<Registration>,
    stopping: watch::Receiver<bool>,
    /// Server loads as last reported by each peer.
    peer_loads: HashMap<id::Instance, peer::Loads>,
    /// Since when each peer's configuration digest has differed.
    differing_since: BTreeMap<id::Instance, Instant>,
    /// Last time at which a peer was asked for its configuration.
    last_config_request: Option<Instant>,
    config_changed: bool,
    loads_changed: bool,
}

impl ControlTask {
    pub(crate) fn new(
        shared: Arc<Shared>,
        client: Client,
        events: UnboundedSender<ControlEvent>,
        registration: watch::Sender<Registration>,
        stopping: watch::Receiver<bool>,
    ) -> Self {
        Self {
            shared,
            client,
            events,
            registration,
            stopping,
            peer_loads: HashMap::new(),
            differing_since: BTreeMap::new(),
            last_config_request: None,
            config_changed: true,
            loads_changed: false,
        }
    }

    /// Runs until the daemon ends.
    pub(crate) async fn run(
        mut self,
        mut events: UnboundedReceiver<ControlEvent>,
        mut synced_backups: UnboundedReceiver<crate::worker::SyncedBackup>,
    ) {
        let mut plan = tokio::time::interval(PLAN_INTERVAL);
        plan.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut heartbeat = tokio::time::interval(self.shared.settings.heartbeat());
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.handle_event(event),
                Some(synced) = synced_backups.recv() => {
                    self.shared.control().backup_synced(synced.slice, &synced.backup);
                }
                _ = plan.tick() => self.plan(),
                _ = heartbeat.tick() => self.send_heartbeats(),
            }
        }
    }

    fn handle_event(&mut self, event: ControlEvent) {
        let now = Instant::now();
        match event {
            ControlEvent::Platform(prefix, update) => self.handle_update(now, prefix, update),
            ControlEvent::Heartbeat { from, message } => self.handle_heartbeat(now, &from, message),
            ControlEvent::TakeoverRequested { from, slices } => self
                .shared
                .control()
                .takeover_requested(now, &from, &slices),
            ControlEvent::WriteFinished { document, result } => {
                self.shared.control().write_finished(now, document, result);
                self.plan();
            }
            ControlEvent::PulledEntries(response) => self.apply_peer_copies(now, response),
        }
    }

    fn handle_update(&mut self, now: Instant, prefix: &str, update: Update) {
        match update {
            Update::Reset {
                entries,
                revision,
                at,
            } => {
                let listed: BTreeSet<&str> = entries.iter().map(|e| e.key.as_str()).collect();
                let mut config = self.shared.config();
                config.mark_synced(prefix, revision);
                config.retain(prefix, &listed);
                drop(config);
                if prefix == KEY_PREFIX {
                    self.shared.control().retain(&listed);
                }
                self.record_contact(prefix, at);
                for entry in &entries {
                    self.put_entry(now, entry);
                }
                self.config_changed = true;
            }
            Update::Change(change) => {
                self.shared
                    .config()
                    .mark_synced(prefix, change.mod_revision());
                self.handle_change(now, &change);
            }
            Update::Unreachable { .. } => {
                if prefix == KEY_PREFIX {
                    warn!(self.shared.log, "platform does not answer");
                    self.shared.control().lose_contact();
                }
            }
            Update::Contact { at } => self.record_contact(prefix, at),
        }
    }

    fn handle_change(&mut self, now: Instant, change: &Change) {
        match change {
            Change::Put(entry) => self.put_entry(now, entry),
            Change::Delete { key, .. } => {
                self.shared.config().remove(key);
                self.shared.control().remove(key);
                self.config_changed = true;
            }
        }
    }

    fn apply_peer_copies(&mut self, now: Instant, response: peer::ConfigResponse) {
        for version in response.deleted {
            let mut config = self.shared.config();
            self.config_changed |= config.remove_copy(&version.key, version.modified);
        }
        for entry in response.entries {
            let entry = unpack(entry);
            let is_newer = self.shared.config().put_copy(&entry);
            if is_newer {
                self.apply_entry(now, &entry);
            }
        }
    }

    fn record_contact(&self, prefix: &str, at: Instant) {
        if prefix == KEY_PREFIX {
            self.shared.control().contact(at);
        }
    }

    fn put_entry(&mut self, now: Instant, entry: &Entry) {
        let is_newer = self.shared.config().put(entry);
        if is_newer {
            self.apply_entry(now, entry);
        }
    }

    fn apply_entry(&mut self, now: Instant, entry: &Entry) {
        if entry.key.starts_with(SLICES_PREFIX) || entry.key.starts_with(INSTANCES) {
            self.shared.control().apply_entry(now, entry);
        } else {
            self.config_changed = true;
        }
    }

    fn plan(&mut self) {
        let now = Instant::now();
        let drained = self.shared.config().is_drained(&self.shared.me.instance);
        let leaving = drained || *self.stopping.borrow();
        let was_leaving = self.shared.control().is_leaving();
        self.shared.control().set_leaving(leaving);
        if was_leaving != leaving {
            info!(self.shared.log, "leaving changed"; "leaving" => leaving);
            self.registration
                .send_modify(|registration| registration.leaving = leaving);
            self.send_heartbeats();
        }
        if self.config_changed {
            self.config_changed = false;
            self.publish_config();
        }
        // Done once per run of the planner and not per heartbeat: the sum is computed over
        // all peers, and each of them sends heartbeats.
        if std::mem::take(&mut self.loads_changed) {
            self.update_peer_loads(now);
        }
        let commands = self.shared.control().tick(now);
        for command in commands {
            self.execute(command);
        }
        self.update_readiness(leaving);
    }

    fn update_readiness(&self, leaving: bool) {
        let listeners = self.shared.outputs.listeners.read();
        let is_listening = listeners.is_ok_and(|listeners| !listeners.is_empty());
        let ready = is_listening && !leaving;
        self.shared.ready.store(ready, Ordering::Relaxed);
    }

    /// Sends the new configuration to the workers and binds the listeners of new services.
    fn publish_config(&mut self) {
        let config = self.shared.config();
        let snapshot = Arc::new(config.snapshot());
        let addresses = config.addresses();
        for (key, reason) in config.refused() {
            warn!(self.shared.log, "document refused"; "key" => key, "reason" => reason);
        }
        drop(config);
        self.set_objectives(&snapshot);
        self.shared.pool.broadcast(&Event::Snapshot(snapshot));
        for (service, address) in addresses {
            self.listen(service, address);
        }
    }

    fn set_objectives(&self, snapshot: &Snapshot) {
        let objectives = snapshot
            .services
            .iter()
            .map(|(id, service)| (id.clone(), service.profile.objective))
            .collect();
        let mut burn_counter = self
            .shared
            .burn_counter
            .lock()
            .unwrap_or_else(|lock| lock.into_inner());
        burn_counter.configure(&objectives);
    }

    fn listen(&mut self, service: id::Service, public: id::Endpoint) {
        let outputs = &self.shared.outputs;
        let listeners = outputs.listeners.read();
        if listeners.is_ok_and(|listeners| listeners.contains_key(&service)) {
            return;
        }
        let local = self.shared.settings.listeners.get(&service);
        let address = local.copied().unwrap_or(public);
        let listener = edge::bind(address.0).and_then(|socket| {
            edge::receive_from_callers(Arc::clone(&self.shared), service.clone(), &socket)?;
            Ok(socket)
        });
        match listener {
            Ok(socket) => {
                if let Ok(mut listeners) = outputs.listeners.write() {
                    listeners.insert(service.clone(), Arc::new(socket));
                }
                info!(self.shared.log, "listening"; "service" => %service, "address" => %address);
            }
            Err(error) => {
                // Retried at the next run of the planner.
                self.config_changed = true;
                warn!(self.shared.log, "cannot listen"; "service" => %service, "error" => %error);
            }
        }
    }

    fn execute(&self, command: Command) {
        let pool = &self.shared.pool;
        match command {
            Command::Write {
                document,
                expected,
                rows,
            } => self.write_document(document, expected, rows),
            Command::AddBackup { slices, backup } => {
                for slice in slices {
                    let event = Event::AddBackup {
                        slices: vec![slice],
                        backup: backup.clone(),
                    };
                    pool.enqueue_blocking(slice, event);
                }
            }
            Command::CancelBackup(slices) => {
                for slice in slices {
                    pool.enqueue_blocking(slice, Event::CancelBackup(vec![slice]));
                }
            }
            Command::RequestTakeover { to, slices } => {
                let slices = slices.into_iter().map(|slice| slice.0).collect();
                let body = PeerMessage::TakeoverRequest(peer::TakeoverRequest { slices });
                self.shared.link.send(&to, body);
            }
            Command::Table(table) => pool.broadcast(&Event::Table(table)),
            Command::Membership(view) => {
                self.shared.link.update_addresses(&view);
                pool.broadcast(&Event::Membership(view));
            }
        }
    }

    fn write_document(&self, document: u32, expected: Option<u64>, rows: Vec<Row>) {
        let value = Document {
            write_id: format!("{}-{:016x}", self.shared.me, rand::random::<u64>()),
            rows,
        };
        let client = self.client.clone();
        let events = self.events.clone();
        let log = self.shared.log.clone();
        self.shared.spawn(async move {
            let key = format!("{SLICES_PREFIX}{document}");
            let value = serde_json::to_vec(&value).unwrap_or_default();
            let resolved = client.compare_and_swap_resolved(&key, expected, &value, None).await;
            debug!(log, "slice table written"; "document" => document, "result" => ?resolved.as_ref().map(outcome));
            let result = match resolved {
                Ok(ResolvedWrite::Done(version)) => WriteResult::Done(version),
                Ok(ResolvedWrite::Lost(entry) | ResolvedWrite::Superseded(entry)) => WriteResult::Lost(entry),
                Ok(ResolvedWrite::Unknown) => WriteResult::Unknown,
                Err(_) => WriteResult::Lost(None),
            };
            let _ = events.send(ControlEvent::WriteFinished { document, result });
        });
    }
}

fn outcome(resolved: &ResolvedWrite) -> &'static str {
    match resolved {
        ResolvedWrite::Done(_) => "done",
        ResolvedWrite::Lost(_) => "lost",
        ResolvedWrite::Superseded(_) => "overtaken",
        ResolvedWrite::Unknown => "unknown",
    }
}

fn unpack(entry: peer::Entry) -> Entry {
    Entry {
        key: entry.key,
        value: entry.value,
        mod_revision: entry.modified,
    }
}

/// Key prefixes of the platform that are watched.
pub(crate) const WATCHED_PREFIXES: [&str; 2] = [KEY_PREFIX, SERVERS];

/// Watches a prefix and forwards its updates to the control task.
pub(crate) async fn follow(
    client: Client,
    prefix: &'static str,
    events: UnboundedSender<ControlEvent>,
) {
    const QUEUE: usize = 1_024;
    let (sender, mut receiver) = tokio::sync::mpsc::channel(QUEUE);
    let forward = async {
        while let Some(update) = receiver.recv().await {
            if events.send(ControlEvent::Platform(prefix, update)).is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = platform::follow(client, prefix.to_owned(), sender) => {}
        () = forward => {}
    }
}

//! State that the tasks of a daemon share.
//!
//! Lock order: `config`, then `control`. Each lock is held for a lookup or a single
//! change, never across an await. No other lock is taken while holding the lock of a
//! server's state or of the listeners in [`Outputs`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use slog::Logger;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::burn::BurnCounter;
use crate::config::Config;
use crate::control::SlicePlanner;
use crate::explain;
use crate::id;
use crate::metric::Metrics;
use crate::peer::link::Link;
use crate::settings;
use crate::status;
use crate::worker::Outputs;
use crate::worker::WorkerPool;

/// State of a daemon, shared by its tasks.
pub(crate) struct Shared {
    pub(crate) settings: settings::Daemon,
    pub(crate) me: id::Holder,
    pub(crate) log: Logger,
    pub(crate) pool: WorkerPool,
    pub(crate) outputs: Arc<Outputs>,
    pub(crate) link: Arc<Link>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) traces: Arc<explain::TraceBuffer>,
    pub(crate) burn_counter: Arc<Mutex<BurnCounter>>,
    pub(crate) ready: AtomicBool,
    closing: CancellationToken,
    tasks: TaskTracker,
    config: Mutex<Config>,
    control: Mutex<SlicePlanner>,
}

/// Components from which [`Shared`] is built.
pub(crate) struct SharedParts {
    pub(crate) settings: settings::Daemon,
    pub(crate) me: id::Holder,
    pub(crate) log: Logger,
    pub(crate) pool: WorkerPool,
    pub(crate) outputs: Arc<Outputs>,
    pub(crate) link: Arc<Link>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) traces: Arc<explain::TraceBuffer>,
    pub(crate) burn_counter: Arc<Mutex<BurnCounter>>,
    pub(crate) control: SlicePlanner,
}

impl Shared {
    pub(crate) fn new(parts: SharedParts) -> Self {
        Self {
            settings: parts.settings,
            me: parts.me,
            log: parts.log,
            pool: parts.pool,
            outputs: parts.outputs,
            link: parts.link,
            metrics: parts.metrics,
            traces: parts.traces,
            burn_counter: parts.burn_counter,
            ready: AtomicBool::new(false),
            closing: CancellationToken::new(),
            tasks: TaskTracker::new(),
            config: Mutex::default(),
            control: Mutex::new(parts.control),
        }
    }

    /// Starts a task that is cancelled when the daemon closes.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let closing = self.closing.clone();
        self.tasks.spawn(async move {
            let _ = closing.run_until_cancelled(task).await;
        });
    }

    /// Ends all tasks and workers.
    pub(crate) fn close(&self) {
        self.closing.cancel();
        self.tasks.close();
        self.pool.close();
    }

    /// Waits until all tasks and workers have ended after [`Shared::close`].
    pub(crate) async fn closed(self: &Arc<Self>) {
        self.tasks.wait().await;
        let shared = Arc::clone(self);
        let _ = tokio::task::spawn_blocking(move || shared.pool.join()).await;
    }

    pub(crate) fn config(&self) -> MutexGuard<'_, Config> {
        self.config.lock().unwrap_or_else(|lock| lock.into_inner())
    }

    pub(crate) fn control(&self) -> MutexGuard<'_, SlicePlanner> {
        self.control.lock().unwrap_or_else(|lock| lock.into_inner())
    }

    /// The answer to `GET /status`.
    pub(crate) fn status(&self, now: Instant) -> status::Status {
        let config = self.config_status(now);
        let control = self.control();
        let (homes, backups, alone) = control.holdings();
        let elapsed_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let peers = control
            .peers()
            .into_iter()
            .map(|(member, last_heard)| status::Peer {
                live: control.is_live(now, &member.holder),
                holder: member.holder,
                zone: member.zone,
                leaving: member.leaving,
                silent_ms: last_heard.map_or(u64::MAX, elapsed_ms),
            });
        status::Status {
            holder: self.me.clone(),
            zone: self.settings.zone.clone(),
            ready: self.ready.load(Ordering::Relaxed),
            leaving: control.is_leaving(),
            platform_silent_ms: control.last_contact().map(elapsed_ms),
            revisions: config.revisions,
            refused: config.refused,
            homes,
            backups,
            alone,
            in_progress: self.pool.sum(|gauge| &gauge.in_progress),
            feeds: self.pool.sum(|gauge| &gauge.feeds),
            peers: peers.collect(),
            evacuated: config.evacuated,
            servers: config.servers,
        }
    }

    fn config_status(&self, now: Instant) -> ConfigStatus {
        let config = self.config();
        let servers = config.servers().map(|server| {
            let state = server.state();
            status::Server {
                id: server.id.clone(),
                service: server.service.clone(),
                zone: server.zone.clone(),
                takes_work: state.takes_work(now),
                leaving: state.is_leaving(),
                outstanding: state.outstanding,
                feeds: state.feeds,
            }
        });
        ConfigStatus {
            revisions: config.revisions(),
            refused: config.refused().clone(),
            evacuated: config.evacuated().clone(),
            servers: servers.collect(),
        }
    }
}

/// The part of a status that comes from the configuration, read under its lock alone.
struct ConfigStatus {
    revisions: BTreeMap<String, id::Revision>,
    refused: BTreeMap<String, String>,
    evacuated: BTreeSet<id::Zone>,
    servers: Vec<status::Server>,
}

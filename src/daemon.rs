//! One entry instance: starts its sockets, workers and tasks, and stops them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use slog::FnValue;
use slog::Logger;
use slog::debug;
use slog::error;
use slog::info;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::action::TraceEvent;
use crate::burn::BurnCounter;
use crate::control;
use crate::control::Registration;
use crate::control::SlicePlanner;
use crate::edge;
use crate::engine;
use crate::engine::Engine;
use crate::engine::SERVER_SOCKETS;
use crate::error::Error;
use crate::error::Result;
use crate::event::Event;
use crate::explain;
use crate::http;
use crate::id;
use crate::metric::Metrics;
use crate::peer::link::Link;
use crate::peer::wire::Keys;
use crate::platform;
use crate::platform::Client;
use crate::probe;
use crate::reason::Reason;
use crate::registration;
use crate::settings;
use crate::shared::Parts;
use crate::shared::Shared;
use crate::steer;
use crate::steer::ControlTask;
use crate::worker::Observe;
use crate::worker::Outputs;
use crate::worker::WorkerPool;

/// How long a stopping instance passes datagrams on after it has handed its
/// slices over: the fabric learns late that it has gone, and the registrations
/// at backend servers are kept for a while.
const LINGER: Duration = Duration::from_secs(3);

/// Time between two looks at whether a stop is complete.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// A running entry instance.
pub struct Handle {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    registration: JoinHandle<()>,
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopped {
    /// Requests that were cut off.
    pub cut: u64,
    /// Slices that were not handed over.
    pub kept: u32,
}

/// Starts an entry instance.
///
/// # Errors
///
/// Fails when an address cannot be bound or the keys cannot be used.
pub async fn start(settings: settings::Daemon, log: Logger) -> Result<Handle> {
    let me = id::Holder {
        instance: settings.instance.clone(),
        incarnation: id::Incarnation(now_micros()),
    };
    info!(log, "starting"; "holder" => %me, "zone" => %settings.zone);
    let keys = Keys::new(settings.keys.iter().map(settings::Key::as_bytes))?;
    let socket = edge::bind(settings.peer.0)?;
    let copies = listen_tcp(settings.peer).await?;
    let status = listen_tcp(settings.status).await?;
    let receiving = socket
        .try_clone()
        .map_err(|source| io(settings.peer, source))?;
    let options = platform::Options {
        seed: me.incarnation.0,
        ..platform::Options::default()
    };
    let client = Client::new(settings.platform.clone(), options)?;
    let metrics = Arc::new(Metrics::new(client.clone()));
    let link = Arc::new(Link::new(
        me.clone(),
        keys,
        socket,
        settings.peer_bytes_per_second,
        Arc::clone(&metrics),
    ));
    let ring = Arc::new(explain::TraceBuffer::default());
    let ledger = Arc::new(Mutex::new(BurnCounter::new(me.clone(), Instant::now())));
    let (joined, joins) = mpsc::unbounded_channel();
    let paths: Result<Vec<_>> = (0..SERVER_SOCKETS)
        .map(|_| edge::bind((settings.backend_bind, 0).into()))
        .collect();
    let outputs = Arc::new(Outputs {
        listeners: RwLock::default(),
        server_sockets: paths?,
        link: Arc::clone(&link),
        synced_backups: joined,
        observe: observer(&metrics, &ring, &ledger, &log),
        next_message: AtomicUsize::new(me.incarnation.0 as usize),
    });
    let engines = engines(&settings, &me);
    let pool = WorkerPool::start(engines, &outputs, settings.slices, settings.hash_key)?;
    let control = SlicePlanner::new(control_settings(&settings, &me), Instant::now());
    let shared = Arc::new(Shared::new(Parts {
        settings,
        me,
        log,
        pool,
        outputs,
        link,
        metrics,
        ring,
        ledger,
        control,
    }));
    let (told, tells) = mpsc::unbounded_channel();
    edge::peers(Arc::clone(&shared), &receiving, told.clone())?;
    edge::copies(Arc::clone(&shared), copies);
    for path in 0..SERVER_SOCKETS as usize {
        edge::answers(Arc::clone(&shared), path)?;
    }
    let (stop, stopping) = watch::channel(false);
    let (wanted, registered) = watch::channel(registration_of(&shared));
    let registration = tokio::spawn(registration::keep(client.clone(), registered));
    for prefix in steer::WATCHED_PREFIXES {
        let follow = steer::follow(client.clone(), prefix, told.clone());
        shared.spawn(follow);
    }
    let steer = ControlTask::new(Arc::clone(&shared), client, told, wanted, stopping);
    shared.spawn(steer.run(tells, joins));
    shared.spawn(check_health(Arc::clone(&shared)));
    shared.spawn(serve(Arc::clone(&shared), status));
    Ok(Handle {
        shared,
        stop,
        registration,
    })
}

impl Handle {
    /// Stops gracefully: hands the slices over, finishes what is in progress, and
    /// returns at the latest when the grace time of the settings is over.
    pub async fn stop(&mut self) -> Stopped {
        info!(self.shared.log, "stopping");
        let _ = self.stop.send(true);
        let begun = Instant::now();
        let grace = begun + self.shared.settings.stop_grace();
        let mut empty_since = None;
        let mut closing = false;
        while Instant::now() < grace {
            let now = Instant::now();
            let tight = now + self.longest_deadline() + LINGER >= grace;
            if !closing && tight && now - begun >= self.shared.settings.stop_grace() / 2 {
                // Slices that nobody could take over go on getting requests, and
                // the end would cut off whatever came last.
                closing = true;
                info!(self.shared.log, "refusing new work");
                self.shared.pool.broadcast(&Event::Stopping);
            }
            if closing && self.in_progress() == 0 {
                break;
            }
            if self.is_empty(now) {
                let since = *empty_since.get_or_insert(now);
                if now >= since + LINGER {
                    break;
                }
            } else {
                empty_since = None;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        self.end().await
    }

    /// Requests in progress now, those that wait for a home included.
    pub fn in_progress(&self) -> u64 {
        let pool = &self.shared.pool;
        pool.sum(|gauge| &gauge.in_progress) + pool.sum(|gauge| &gauge.parked)
    }

    /// Ends at once.
    pub fn abort(self) -> Stopped {
        let stopped = self.stopped();
        self.shared.close();
        self.registration.abort();
        stopped
    }

    /// Longest time that a request which has come may still take.
    fn longest_deadline(&self) -> Duration {
        let snapshot = self.shared.config().snapshot();
        let services = snapshot.services.values();
        let deadlines = services.map(|service| service.profile.deadline());
        deadlines.max().unwrap_or_default()
    }

    fn stopped(&self) -> Stopped {
        Stopped {
            cut: self.in_progress(),
            kept: self.shared.control().holdings().0,
        }
    }

    /// Whether everything is handed over and finished. Without the platform
    /// nothing can be handed over, so only the work in progress counts.
    fn is_empty(&self, now: Instant) -> bool {
        const SILENT: Duration = Duration::from_secs(5);
        let control = self.shared.control();
        let (homes, backups, _) = control.holdings();
        let contact = control.last_contact();
        drop(control);
        let silent = contact.is_none_or(|contact| now > contact + SILENT);
        (homes + backups == 0 || silent) && self.in_progress() == 0
    }

    async fn end(&mut self) -> Stopped {
        let stopped = self.stopped();
        self.shared.close();
        // The control task held the sender, so the registration is withdrawn now.
        let withdraw = tokio::time::timeout(LINGER, &mut self.registration);
        let _ = withdraw.await;
        // Whoever starts an instance anew in this process needs its addresses.
        let _ = tokio::time::timeout(LINGER, self.shared.closed()).await;
        info!(self.shared.log, "stopped"; "cut" => stopped.cut, "kept" => stopped.kept);
        stopped
    }
}

fn now_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}

fn io(peer: id::Endpoint, source: std::io::Error) -> Error {
    Error::Io {
        step: "bind",
        peer: peer.to_string(),
        source,
    }
}

async fn listen_tcp(address: id::Endpoint) -> Result<TcpListener> {
    let listener = TcpListener::bind(address.0).await;
    listener.map_err(|source| io(address, source))
}

fn engines(settings: &settings::Daemon, me: &id::Holder) -> Vec<Engine> {
    let workers = settings.workers as u8;
    let engine = |worker: u8| {
        Engine::new(engine::Settings {
            me: me.clone(),
            zone: settings.zone.clone(),
            worker,
            workers,
            hash_key: settings.hash_key,
            max_parked: settings.limits.max_parked as usize / usize::from(workers),
            max_flows: settings.limits.max_flows as usize / usize::from(workers),
            seed: me.incarnation.0 ^ u64::from(worker),
        })
    };
    (0..workers).map(engine).collect()
}

fn control_settings(settings: &settings::Daemon, me: &id::Holder) -> control::Settings {
    control::Settings {
        me: me.clone(),
        zone: settings.zone.clone(),
        address: settings.advertised(),
        slices: settings.slices,
        suspect_after: settings.suspect_after(),
        isolation_limit: settings.isolation_limit(),
        recordless_takeover_wait: settings.outsider_wait(),
    }
}

fn registration_of(shared: &Shared) -> Registration {
    Registration {
        holder: shared.me.clone(),
        zone: shared.settings.zone.clone(),
        peer: shared.settings.advertised(),
        status: shared.settings.status,
        leaving: false,
    }
}

fn observer(
    metrics: &Arc<Metrics>,
    ring: &Arc<explain::TraceBuffer>,
    ledger: &Arc<Mutex<BurnCounter>>,
    log: &Logger,
) -> Observe {
    let (metrics, ring, log) = (Arc::clone(metrics), Arc::clone(ring), log.clone());
    let ledger = Arc::clone(ledger);
    Box::new(move |now, note| {
        metrics.count_event(note);
        count(&ledger, now, note);
        debug!(log, "note"; "reason" => note.reason.code(),
            "flow" => FnValue(|_| note.flow.as_ref().map(ToString::to_string)),
            "server" => FnValue(|_| note.server.as_ref().map(ToString::to_string)));
        let context = explain::Context {
            epoch: note.epoch,
            revision: note.revision,
        };
        ring.record(now, note.clone(), context);
    })
}

/// Counts a final outcome for the burn report; a feed that was lost is a bad event.
fn count(ledger: &Mutex<BurnCounter>, now: Instant, note: &TraceEvent) {
    let Some(flow) = &note.flow else {
        return;
    };
    let mut ledger = ledger.lock().unwrap_or_else(|lock| lock.into_inner());
    match (note.reason, note.elapsed) {
        (Reason::Answered, Some(elapsed)) => ledger.answered(now, &flow.service, elapsed),
        (reason, _) if reason.is_failure() || reason == Reason::FeedLost => {
            ledger.bad(now, &flow.service);
        }
        _ => {}
    }
}

async fn check_health(shared: Arc<Shared>) {
    let settings = shared.settings.probe;
    let prober = match probe::Prober::new(settings) {
        Ok(prober) => prober,
        Err(error) => {
            error!(shared.log, "no health checks"; "error" => %error);
            return;
        }
    };
    let mut rounds = tokio::time::interval(settings.interval());
    loop {
        tokio::select! {
            _ = rounds.tick() => {}
            () = prober.lost() => {}
        }
        let servers = shared.config().servers().map(Arc::clone).collect();
        prober.round(servers).await;
    }
}

async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let router = http::router(Arc::clone(&shared));
    if let Err(error) = axum::serve(listener, router).await {
        info!(shared.log, "status port closed"; "error" => %error);
    }
}

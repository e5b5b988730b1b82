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
use crate::shared::Shared;
use crate::shared::SharedParts;
use crate::steer;
use crate::steer::ControlTask;
use crate::worker::Observe;
use crate::worker::Outputs;
use crate::worker::WorkerPool;

/// How long a stopping instance keeps relaying datagrams after it has handed over
/// its slices: the network fabric goes on sending it datagrams until it notices the
/// stop, and backend servers keep its feed registrations for a while.
const RELAY_PERIOD: Duration = Duration::from_secs(3);

/// Interval at which a stopping instance checks whether the stop is complete.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry instance.
pub struct Handle {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    registration: JoinHandle<()>,
}

/// Result of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopped {
    /// Requests that were still in progress and got no answer.
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
    let config_listener = listen_tcp(settings.peer).await?;
    let status_listener = listen_tcp(settings.status).await?;
    let peer_receiver = socket
        .try_clone()
        .map_err(|source| bind_error(settings.peer, source))?;
    let options = platform::Options {
        seed: me.incarnation.0,
        ..platform::Options::default()
    };
    let client = Client::new(settings.platform.clone(), options)?;
    let client = match &settings.platform_era_header {
        Some(header) => client.with_era_header(header.clone()),
        None => client,
    };
    let metrics = Arc::new(Metrics::new(client.clone()));
    let link = Arc::new(Link::new(
        me.clone(),
        keys,
        socket,
        settings.peer_bytes_per_second,
        Arc::clone(&metrics),
    ));
    let traces = Arc::new(explain::TraceBuffer::default());
    let burn_counter = Arc::new(Mutex::new(BurnCounter::new(me.clone(), Instant::now())));
    let (synced_backups, synced_backups_receiver) = mpsc::unbounded_channel();
    let server_sockets: Result<Vec<_>> = (0..SERVER_SOCKETS)
        .map(|_| edge::bind((settings.backend_bind, 0).into()))
        .collect();
    let outputs = Arc::new(Outputs {
        listeners: RwLock::default(),
        server_sockets: server_sockets?,
        link: Arc::clone(&link),
        synced_backups,
        observe: observer(&metrics, &traces, &burn_counter, &log),
        next_message: AtomicUsize::new(me.incarnation.0 as usize),
    });
    let engines = engines(&settings, &me);
    let pool = WorkerPool::start(engines, &outputs, settings.slices, settings.hash_key)?;
    let control = SlicePlanner::new(control_settings(&settings, &me), Instant::now());
    let shared = Arc::new(Shared::new(SharedParts {
        settings,
        me,
        log,
        pool,
        outputs,
        link,
        metrics,
        traces,
        burn_counter,
        control,
    }));
    let (control_events, control_events_receiver) = mpsc::unbounded_channel();
    edge::receive_from_peers(Arc::clone(&shared), &peer_receiver, control_events.clone())?;
    edge::serve_config(Arc::clone(&shared), config_listener);
    for server_socket in 0..SERVER_SOCKETS as usize {
        edge::receive_answers(Arc::clone(&shared), server_socket)?;
    }
    let (stop, stopping) = watch::channel(false);
    let (registrations, registrations_receiver) = watch::channel(registration_of(&shared));
    let registration = tokio::spawn(registration::maintain(
        client.clone(),
        registrations_receiver,
    ));
    for prefix in steer::WATCHED_PREFIXES {
        let follow = steer::follow(client.clone(), prefix, control_events.clone());
        shared.spawn(follow);
    }
    let control_task = ControlTask::new(
        Arc::clone(&shared),
        client,
        control_events,
        registrations,
        stopping,
    );
    shared.spawn(control_task.run(control_events_receiver, synced_backups_receiver));
    shared.spawn(check_health(Arc::clone(&shared)));
    shared.spawn(serve(Arc::clone(&shared), status_listener));
    Ok(Handle {
        shared,
        stop,
        registration,
    })
}

impl Handle {
    /// Stops gracefully: hands the slices over and finishes the requests in progress.
    /// Returns at the latest when the grace time of the settings is over.
    pub async fn stop(&mut self) -> Stopped {
        info!(self.shared.log, "stopping");
        let _ = self.stop.send(true);
        let started = Instant::now();
        let stop_deadline = started + self.shared.settings.stop_grace();
        let mut idle_since = None;
        let mut refuses_work = false;
        while Instant::now() < stop_deadline {
            let now = Instant::now();
            let is_near_end = now + self.longest_deadline() + RELAY_PERIOD >= stop_deadline;
            if !refuses_work
                && is_near_end
                && now - started >= self.shared.settings.stop_grace() / 2
            {
                // Slices that no other instance could take over still get requests. The
                // last requests would get no answer before the process ends.
                refuses_work = true;
                info!(self.shared.log, "refusing new work");
                self.shared.pool.broadcast(&Event::Stopping);
            }
            if refuses_work && self.in_progress() == 0 {
                break;
            }
            if self.is_handed_over(now) {
                let since = *idle_since.get_or_insert(now);
                if now >= since + RELAY_PERIOD {
                    break;
                }
            } else {
                idle_since = None;
            }
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        self.end().await
    }

    /// Number of requests in progress, including those that wait for their slice to get
    /// a home.
    pub fn in_progress(&self) -> u64 {
        let pool = &self.shared.pool;
        pool.sum(|gauge| &gauge.in_progress) + pool.sum(|gauge| &gauge.parked)
    }

    /// Stops immediately, without handing over slices or finishing requests.
    pub fn abort(self) -> Stopped {
        let stopped = self.stopped();
        self.shared.close();
        self.registration.abort();
        stopped
    }

    /// Longest time that a request received now may take: the longest deadline of all
    /// profiles in use.
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

    /// Whether all slices are handed over and all requests finished. If the platform
    /// does not answer, no slice can be handed over, and only requests in progress
    /// count.
    fn is_handed_over(&self, now: Instant) -> bool {
        const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
        let control = self.shared.control();
        let (homes, backups, _) = control.holdings();
        let contact = control.last_contact();
        drop(control);
        let is_unreachable = contact.is_none_or(|contact| now > contact + PLATFORM_TIMEOUT);
        (homes + backups == 0 || is_unreachable) && self.in_progress() == 0
    }

    async fn end(&mut self) -> Stopped {
        let stopped = self.stopped();
        self.shared.close();
        // Closing drops the control task and with it the sender of registrations. The
        // registration task then revokes its lease and ends.
        let withdraw = tokio::time::timeout(RELAY_PERIOD, &mut self.registration);
        let _ = withdraw.await;
        // An instance that is started again in this process binds the same addresses,
        // so the tasks must have released their sockets.
        let _ = tokio::time::timeout(RELAY_PERIOD, self.shared.closed()).await;
        info!(self.shared.log, "stopped"; "cut" => stopped.cut, "kept" => stopped.kept);
        stopped
    }
}

fn now_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_micros() as u64)
}

fn bind_error(peer: id::Endpoint, source: std::io::Error) -> Error {
    Error::Io {
        step: "bind",
        peer: peer.to_string(),
        source,
    }
}

async fn listen_tcp(address: id::Endpoint) -> Result<TcpListener> {
    let listener = TcpListener::bind(address.0).await;
    listener.map_err(|source| bind_error(address, source))
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
    traces: &Arc<explain::TraceBuffer>,
    burn_counter: &Arc<Mutex<BurnCounter>>,
    log: &Logger,
) -> Observe {
    let (metrics, traces, log) = (Arc::clone(metrics), Arc::clone(traces), log.clone());
    let burn_counter = Arc::clone(burn_counter);
    Box::new(move |now, event| {
        metrics.count_event(event);
        count_outcome(&burn_counter, now, event);
        debug!(log, "note"; "reason" => event.reason.code(),
            "flow" => FnValue(|_| event.flow.as_ref().map(ToString::to_string)),
            "server" => FnValue(|_| event.server.as_ref().map(ToString::to_string)));
        let context = explain::Context {
            epoch: event.epoch,
            revision: event.revision,
        };
        traces.record(now, event.clone(), context);
    })
}

/// Counts the final outcome of a request for the burn report. A lost feed counts as a
/// bad event.
fn count_outcome(burn_counter: &Mutex<BurnCounter>, now: Instant, event: &TraceEvent) {
    let Some(flow) = &event.flow else {
        return;
    };
    let mut burn_counter = burn_counter.lock().unwrap_or_else(|lock| lock.into_inner());
    match (event.reason, event.elapsed) {
        (Reason::Answered, Some(elapsed)) => burn_counter.answered(now, &flow.service, elapsed),
        (reason, _) if reason.is_failure() || reason == Reason::FeedLost => {
            burn_counter.bad(now, &flow.service);
        }
        _ => {}
    }
}

async fn check_health(shared: Arc<Shared>) {
    let settings = shared.settings.probe;
    let prober = match probe::Prober::new(settings) {
        Ok(prober) => prober,
        Err(error) => {
            error!(shared.log, "health checks disabled: cannot create the HTTP client"; "error" => %error);
            return;
        }
    };
    let mut rounds = tokio::time::interval(settings.interval());
    loop {
        tokio::select! {
            _ = rounds.tick() => {}
            () = prober.connection_lost() => {}
        }
        let servers = shared.config().servers().map(Arc::clone).collect();
        prober.check_all(servers).await;
    }
}

async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let router = http::router(Arc::clone(&shared));
    if let Err(error) = axum::serve(listener, router).await {
        info!(shared.log, "status server failed"; "error" => %error);
    }
}

//! Sets up an entry instance: options, store client and replication.

use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::entry::Adapter;
use crate::entry::Settings;
use crate::error::Error;
use crate::error::Result;
use crate::flow::Options;
use crate::pacing;
use crate::platform;
use crate::platform::Client;
use crate::poll::Reader;
use crate::replica;
use crate::replica::FollowOptions;
use crate::replica::Member;
use crate::replica::Pacer;
use crate::replica::PollTiming;
use crate::replica::Registration;
use crate::replica::Update;

/// Capacity of the queue of updates from the copy; its source blocks while it is full.
const UPDATE_QUEUE_LEN: usize = 256;

/// Idle time after which a flow is removed, until a configuration sets a different time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout of a store call, in addition to its long-poll wait. The store responds in 4 ms,
/// and in 250 ms while it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Default time in which changes must take effect. The times below fit this bound and are
/// scaled down in proportion for a shorter one. A longer bound does not scale them up,
/// since that would save only few calls.
const DEFAULT_BOUND: Duration = Duration::from_millis(3_000);

/// Shortest bound that can be met; shorter settings are raised to it. Detecting an
/// unresponsive upstream takes 0.8 s, and a call takes 0.25 s while the store is slow.
const MIN_BOUND: Duration = Duration::from_millis(1_200);

/// Age of an upstream's last contact with the store at which this instance leaves the
/// upstream.
/// Changes must take effect within the bound even if only the upstream is cut off from
/// the store. Reading the store directly then takes a few milliseconds, and half a second
/// while the store is slow.
const MAX_UPSTREAM_AGE: Duration = Duration::from_millis(2_000);

/// Age of an upstream's last contact with the store below which this instance may
/// subscribe to it.
const FRESH_UPSTREAM_AGE: Duration = Duration::from_millis(1_500);

/// Longest long-poll wait while other instances subscribe to this one. Their lag is up to
/// the sum of this wait, the pause that collects changes, a third of this wait and one
/// heartbeat; that sum must stay below [`MAX_UPSTREAM_AGE`].
const SUBSCRIBED_WAIT: Duration = Duration::from_millis(1_000);

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry delays while the store does not respond. The first is short, since most outages
/// at the start of an instance are local to it. The longest is a second, since new flows
/// must use the store's state again 4 s after the store recovers.
const BACKOFF: pacing::BackoffBounds = pacing::BackoffBounds {
    first_delay: Duration::from_millis(100),
    max_delay: Duration::from_secs(1),
};

pub(crate) fn options(settings: &Settings) -> Options {
    Options {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        spill: settings.spill,
        balancing: settings.balancing.options(),
        flow_ttl: settings.flow_ttl(),
        idle_timeout: IDLE_TIMEOUT,
        max_flows: settings.max_flows as usize,
        seed: seed(settings),
    }
}

/// Seed of the jitter; it differs between instances so that they don't act in step.
fn seed(settings: &Settings) -> u64 {
    let mut hasher = SipHasher13::new();
    settings.instance.hash(&mut hasher);
    hasher.finish()
}

pub(crate) fn reader(settings: &Settings, adapter: &Adapter) -> Result<Reader> {
    let options = platform::Options {
        call_timeout: CALL_TIMEOUT,
        connect_timeout: CONNECT_TIMEOUT,
        backoff: BACKOFF,
        read_rate: settings.store.reads_per_second,
        seed: seed(settings),
        ..platform::Options::default()
    };
    let client = Client::new(settings.store.addresses.clone(), options)?;
    Ok(Reader::new(client, adapter.dialect))
}

pub(crate) fn poll_timing(settings: &Settings) -> PollTiming {
    let bound = settings.bound().unwrap_or(DEFAULT_BOUND);
    let bound = bound.clamp(MIN_BOUND, DEFAULT_BOUND);
    let scale = bound.div_duration_f64(DEFAULT_BOUND);
    PollTiming {
        background_wait: settings
            .notice()
            .saturating_sub(CALL_TIMEOUT)
            .mul_f64(scale),
        subscribed_wait: SUBSCRIBED_WAIT.mul_f64(scale),
        gather_pause: settings.gather().mul_f64(scale),
        copy_wait: settings.copy_wait(),
        max_age: MAX_UPSTREAM_AGE.mul_f64(scale),
        fresh_age: FRESH_UPSTREAM_AGE.mul_f64(scale),
        probe_pause: replica::probe_pause(settings.catch_up()),
    }
}

/// This instance, as it registers with the others.
pub(crate) fn member(settings: &Settings) -> Member {
    Member {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        address: settings.advertised_address(),
        link_mbps: settings.link_mbps,
    }
}

/// Starts the tasks that keep a copy of the store, publish it to other instances and
/// register this instance.
pub(crate) async fn follow(
    settings: &Settings,
    adapter: &Adapter,
    reader: Reader,
    timing: watch::Receiver<PollTiming>,
    log: &Logger,
) -> Result<(mpsc::Receiver<Update>, Arc<replica::SharedCopy>)> {
    let listener = TcpListener::bind(settings.peers).await;
    let listener = listener.map_err(|source| Error::Io {
        step: "bind peer address",
        peer: settings.peers.to_string(),
        source,
    })?;
    let pacer = Pacer::new(settings.link_mbps, Instant::now());
    let shared = Arc::new(replica::SharedCopy::new(pacer));
    let (sender, updates) = mpsc::channel(UPDATE_QUEUE_LEN);
    let member = member(settings);
    let follow_options = FollowOptions {
        reader: reader.clone(),
        keys: replica::KeyLayout {
            root_prefix: adapter.schema.root_prefix,
            server_prefix: adapter.schema.server_prefix,
            operator_prefix: adapter.schema.operator_prefix,
            evacuation_prefix: adapter.schema.evacuation_prefix,
            config_key: adapter.schema.config_key,
        },
        timing,
        me: member.clone(),
        seeds: settings.seeds.clone(),
        log: log.clone(),
    };
    let registration = Registration {
        reader,
        member,
        log: log.clone(),
    };
    tokio::spawn(replica::publish(listener, Arc::clone(&shared), log.clone()));
    tokio::spawn(replica::follow(follow_options, Arc::clone(&shared), sender));
    tokio::spawn(replica::register(registration));
    Ok((updates, shared))
}

//! What an entry instance is started with.

use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
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

/// Updates of the copy that may wait; its source waits for room beyond.
const UPDATES: usize = 256;

/// Flow forgotten after this silence while no configuration says.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for a call to the store beside the time that it may wait. Answers take
/// 4 ms, in bad hours 250.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time in which changes must be in force, by which the following ones are meant;
/// where the platform wants less, all shrink alike. Longer bounds change nothing,
/// since what that would save is few calls.
const USUAL_BOUND: Duration = Duration::from_millis(3_000);

/// Least bound that can be kept: a silent upstream is noticed after 0.8 s, and a
/// call in the store's slow hours takes 0.25 s. Less is taken as this.
const LEAST_BOUND: Duration = Duration::from_millis(1_200);

/// Age of the last contact with the store at which an upstream is left: changes
/// must be in force within the bound also where only the upstream is cut off.
/// Asking the store takes some milliseconds from there, in its slow hours half a
/// second.
const MOST_AGE: Duration = Duration::from_millis(2_000);

/// Age below which an upstream is worth a subscription.
const FRESH: Duration = Duration::from_millis(1_500);

/// Longest wait of a poll on which others depend. What they may be behind adds
/// up: this wait, the pause in which changes gather, a third of this wait and a
/// heartbeat have to stay below [`MOST_AGE`].
const WAIT_FOR_OTHERS: Duration = Duration::from_millis(1_000);

/// Time for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delays between tries while the store is silent. A tenth of a second at first,
/// as most outages at the start of an instance are its own; a second at most,
/// since new flows must follow the store 4 s after it is back.
const BACKOFF: pacing::BackoffBounds = pacing::BackoffBounds {
    first_delay: Duration::from_millis(100),
    max_delay: Duration::from_secs(1),
};

pub(crate) fn options(settings: &Settings) -> Options {
    Options {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        spill: settings.spill,
        flow_ttl: settings.flow_ttl(),
        idle_timeout: IDLE_TIMEOUT,
        max_flows: settings.max_flows as usize,
        seed: seed(settings),
    }
}

/// Differs between instances, so that they do not act in step.
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

fn pace(settings: &Settings) -> PollTiming {
    let bound = settings.bound().unwrap_or(USUAL_BOUND);
    let bound = bound.clamp(LEAST_BOUND, USUAL_BOUND);
    let share = bound.div_duration_f64(USUAL_BOUND);
    PollTiming {
        background_wait: settings
            .notice()
            .saturating_sub(CALL_TIMEOUT)
            .mul_f64(share),
        subscribed_wait: WAIT_FOR_OTHERS.mul_f64(share),
        gather_pause: settings.gather().mul_f64(share),
        copy_wait: settings.copy_wait(),
        max_age: MOST_AGE.mul_f64(share),
        fresh_age: FRESH.mul_f64(share),
    }
}

/// This instance, as others know it.
pub(crate) fn member(settings: &Settings) -> Member {
    Member {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        address: settings.advertised(),
        link_mbps: settings.link_mbps,
    }
}

/// Starts what keeps the copy of the store, and what passes it on.
pub(crate) async fn follow(
    settings: &Settings,
    adapter: &Adapter,
    reader: Reader,
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
    let (sender, updates) = mpsc::channel(UPDATES);
    let member = member(settings);
    let sources = FollowOptions {
        reader: reader.clone(),
        keys: replica::KeyLayout {
            root_prefix: adapter.schema.root_prefix,
            server_prefix: adapter.schema.server_prefix,
            operator_prefix: adapter.schema.operator_prefix,
            evacuation_prefix: adapter.schema.evacuation_prefix,
            config_key: adapter.schema.config_key,
        },
        timing: pace(settings),
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
    tokio::spawn(replica::follow(sources, Arc::clone(&shared), sender));
    tokio::spawn(replica::register(registration));
    Ok((updates, shared))
}

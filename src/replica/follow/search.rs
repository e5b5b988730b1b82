//! Asking all who may have a copy, while the store does not answer.
//!
//! Whom to ask: the seeds, which may be gone or have started anew themselves, and
//! whoever introduces itself by asking here for what it lacks, as instances do that
//! followed this one before.
//!
//! What may be taken: a copy whose owner has heard the store lately is as good as the
//! store's answer. An older one may lack a configuration or a server that leaves. It is
//! taken only when the store has been silent for longer than it ever is while it works,
//! the newest of those that came: then nobody who could be asked knows more. Nothing that
//! is known here goes back by it, since each key keeps its newest revision.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use slog::Logger;
use slog::info;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::pacing::BackoffBounds;
use crate::replica::Member;
use crate::replica::subscribe::Report;
use crate::replica::subscribe::Subscription;

/// Time after the start before others are asked beside the store. It answers within
/// 4 ms; a fleet that starts with a store that works asks nobody else.
const ASK_AFTER: Duration = Duration::from_millis(100);

/// Time after the start from which an old copy is taken: the store's slow hours, 250 ms,
/// and the way there and back.
const TAKE_OLD_AFTER: Duration = Duration::from_millis(300);

/// Pauses before one that gave nothing is asked again: at first half of what a caller waits
/// before it repeats its first packet, and so much at most that a seed that is gone for
/// good fills no log.
const RETRY: BackoffBounds = BackoffBounds {
    first_delay: Duration::from_millis(100),
    max_delay: Duration::from_millis(400),
};

/// A search for a copy.
pub(super) struct Search {
    pub(super) me: Member,
    pub(super) seeds: Vec<SocketAddrV4>,
    /// Age below which a copy is as good as the store's answer.
    pub(super) fresh: Duration,
    /// When this instance began to follow.
    pub(super) begun: Instant,
    /// Instances with a copy, as they introduce themselves.
    pub(super) introduced: watch::Receiver<Vec<SocketAddrV4>>,
    pub(super) log: Logger,
}

impl Search {
    /// Searches until a copy that may be taken is found.
    pub(super) async fn run(mut self) -> Report {
        time::sleep_until(self.begun + ASK_AFTER).await;
        let old_from = self.begun + TAKE_OLD_AFTER;
        let mut asked = HashSet::from([self.me.address]);
        let mut copies = FuturesUnordered::new();
        let mut newest: Option<Report> = None;
        loop {
            let introduced = self.introduced.borrow_and_update().clone();
            for address in self.seeds.iter().copied().chain(introduced) {
                if asked.insert(address) {
                    copies.push(await_copy(address, &self.me, RETRY, &self.log));
                }
            }
            if Instant::now() >= old_from
                && let Some(report) = newest.take()
            {
                return report;
            }
            tokio::select! {
                Some(report) = copies.next() => {
                    if report.age.is_some_and(|age| age < self.fresh) {
                        return report;
                    }
                    newest = Some(newer(newest.take(), report));
                }
                _ = self.introduced.changed() => {}
                () = time::sleep_until(old_from), if newest.is_some() => {}
            }
        }
    }
}

fn newer(known: Option<Report>, report: Report) -> Report {
    match known {
        Some(known) if known.revision >= report.revision => known,
        _ => report,
    }
}

/// The copy of an instance, as soon as it has one.
pub(super) async fn await_copy(
    peer: SocketAddrV4,
    me: &Member,
    retry: BackoffBounds,
    log: &Logger,
) -> Report {
    let mut pause = retry.first_delay;
    loop {
        match ask_for_copy(peer, me).await {
            Ok(report) => return report,
            Err(error) => info!(log, "no copy from another instance"; "error" => %error),
        }
        time::sleep(pause).await;
        pause = (pause * 2).min(retry.max_delay);
    }
}

async fn ask_for_copy(peer: SocketAddrV4, me: &Member) -> crate::Result<Report> {
    let joined = Subscription::join(peer, me, None, Vec::new()).await;
    let (mut subscription, mut report) = joined?;
    while !report.is_everything {
        report = subscription.next().await?;
    }
    subscription.complete(report).await
}

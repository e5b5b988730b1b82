//! Decides when an instance that stops may discard its copy.
//!
//! Load pattern: instances are restarted in turn, half a second apart, and the store
//! becomes unreachable. Each instance that stops discards a copy and starts without
//! one, until no instance has one: for two seconds no instance of a site knew any
//! server.
//!
//! A copy may be discarded when a starting instance can get the same content from the
//! store, or from two other instances that are not stopping. Two are required because
//! one of them may be killed at the next moment. The alternative, to wait for the end
//! of the grace time whatever the others have, was rejected: instances restarted in
//! turn would then all be stopping at the same time, and none would be ready.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use futures::future;
use slog::Logger;
use slog::info;
use tokio::time;

use crate::error::Error;
use crate::platform::poll::Reader;
use crate::replica::Member;
use crate::replica::Shared;
use crate::replica::register;
use crate::replica::subscribe::Report;
use crate::replica::subscribe::Subscription;
use crate::replica::tree;

/// Time limit for a response of the store, which takes 4 ms, and up to 250 ms when the
/// store is slow.
const ANSWERS_WITHIN: Duration = Duration::from_millis(400);

/// Pause before the store and the other instances are asked again.
const RETRY: Duration = Duration::from_millis(300);

/// Other instances that must have the copy.
const KEEPERS: usize = 2;

/// Maximum other instances that are asked at once, those of the own zone first.
const MOST_ASKED: usize = 12;

/// Decides whether the copy may be discarded.
pub(crate) struct Handover {
    pub(crate) reader: Reader,
    pub(crate) me: Member,
    pub(crate) shared: Arc<Shared>,
    pub(crate) log: Logger,
}

impl Handover {
    /// Waits until the copy may be discarded; returns at once when there is none.
    pub(crate) async fn wait(&self) {
        while let Some(horizon) = self.shared.horizon() {
            if self.is_store_there(horizon).await || self.is_kept(horizon).await {
                return;
            }
            time::sleep(RETRY).await;
        }
    }

    async fn is_store_there(&self, horizon: u64) -> bool {
        // Few keys change under this prefix, so the response is short.
        let asked = self.reader.poll(register::PREFIX, horizon, Duration::ZERO);
        match time::timeout(ANSWERS_WITHIN, asked).await {
            Ok(Ok(_) | Err(Error::Compacted { .. })) => true,
            Ok(Err(error)) => {
                info!(self.log, "store does not answer before the stop"; "error" => %error);
                false
            }
            Err(_) => {
                info!(self.log, "store does not answer before the stop"; "error" => "timed out");
                false
            }
        }
    }

    /// Whether enough other instances, which are not stopping, have everything that is
    /// known here.
    async fn is_kept(&self, horizon: u64) -> bool {
        let others = self.others();
        let asked = others.iter().map(|other| self.ask(*other, horizon));
        let reports = future::join_all(asked).await;
        let keeps = |report: &Report| {
            report.age.is_some() && report.revision >= horizon && !report.is_leaving
        };
        let keepers = reports
            .iter()
            .flatten()
            .filter(|report| keeps(report))
            .count();
        info!(self.log, "copies that others keep"; "keepers" => keepers, "asked" => others.len());
        keepers >= KEEPERS.min(others.len()).max(1)
    }

    fn others(&self) -> Vec<SocketAddrV4> {
        let members = self.shared.members();
        let others = tree::neighbours_first(&self.me, &members);
        others.into_iter().take(MOST_ASKED).collect()
    }

    /// Asks another instance for its newer changes, which also gives it the address of
    /// this instance.
    async fn ask(&self, other: SocketAddrV4, horizon: u64) -> Option<Report> {
        let bases = self.shared.bases();
        let joined = Subscription::join(other, &self.me, Some(horizon), bases).await;
        let (_, report) = joined.ok()?;
        Some(report)
    }
}

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
use crate::replica::SharedCopy;
use crate::replica::register;
use crate::replica::subscribe::Subscription;
use crate::replica::subscribe::UpstreamUpdate;
use crate::replica::tree;

/// Time limit for a response of the store, which takes 4 ms, and up to 250 ms when the
/// store is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause before the store and the other instances are asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Number of other instances that must have the copy.
const REQUIRED_HOLDERS: usize = 2;

/// Maximum number of other instances that are asked at once, those of the own zone
/// first.
const MAX_ASKED: usize = 12;

/// Decides whether the copy may be discarded.
pub(crate) struct Handover {
    pub(crate) reader: Reader,
    pub(crate) me: Member,
    pub(crate) shared: Arc<SharedCopy>,
    pub(crate) log: Logger,
}

impl Handover {
    /// Waits until the copy may be discarded; returns at once when there is none.
    pub(crate) async fn wait(&self) {
        while let Some(synced_revision) = self.shared.synced_revision() {
            if self.is_store_reachable(synced_revision).await
                || self.has_enough_holders(synced_revision).await
            {
                return;
            }
            time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn is_store_reachable(&self, synced_revision: u64) -> bool {
        // Few keys change under this prefix, so the response is short.
        let poll = self
            .reader
            .poll(register::PREFIX, synced_revision, Duration::ZERO);
        match time::timeout(STORE_TIMEOUT, poll).await {
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
    async fn has_enough_holders(&self, synced_revision: u64) -> bool {
        let others = self.others();
        let requests = others
            .iter()
            .map(|other| self.request_update(*other, synced_revision));
        let updates = future::join_all(requests).await;
        let holds_copy = |update: &UpstreamUpdate| {
            update.age.is_some() && update.revision >= synced_revision && !update.is_stopping
        };
        let holders = updates
            .iter()
            .flatten()
            .filter(|update| holds_copy(update))
            .count();
        info!(self.log, "copies that others keep"; "keepers" => holders, "asked" => others.len());
        holders >= REQUIRED_HOLDERS.min(others.len()).max(1)
    }

    fn others(&self) -> Vec<SocketAddrV4> {
        let members = self.shared.members();
        let others = tree::addresses_nearest_first(&self.me, &members);
        others.into_iter().take(MAX_ASKED).collect()
    }

    /// Asks another instance for its newer changes, which also gives it the address of
    /// this instance.
    async fn request_update(
        &self,
        other: SocketAddrV4,
        synced_revision: u64,
    ) -> Option<UpstreamUpdate> {
        let bases = self.shared.bases();
        let opened = Subscription::open(other, &self.me, Some(synced_revision), bases).await;
        let (_, update) = opened.ok()?;
        Some(update)
    }
}

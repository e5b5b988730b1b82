//! When an instance that stops may take its copy with it.
//!
//! Load pattern: instances are restarted in turn, half a second apart, and the store falls
//! silent. Each that ends takes a copy with it and starts with none, until nobody has
//! one: for two seconds no instance of a site knew a server.
//!
//! A copy may go when whoever starts next can get the same from the store, or from two
//! others that stay. Two, since one of them may be killed in the next moment. Weighed: to
//! stay until the grace time is over whatever others have. Then instances restarted in
//! turn are all on their way out at the same time, and none is ready.

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
use crate::replica::subscribe::Report;
use crate::replica::subscribe::Subscription;
use crate::replica::tree;

/// Time for an answer of the store. It takes 4 ms, in slow hours 250.
const ANSWERS_WITHIN: Duration = Duration::from_millis(400);

/// Pause before the store and the others are asked again.
const RETRY: Duration = Duration::from_millis(300);

/// Others that must have the copy.
const KEEPERS: usize = 2;

/// Others that are asked at once, those of the own zone first.
const MOST_ASKED: usize = 12;

/// What decides whether a copy may go.
pub(crate) struct Handover {
    pub(crate) reader: Reader,
    pub(crate) me: Member,
    pub(crate) shared: Arc<SharedCopy>,
    pub(crate) log: Logger,
}

impl Handover {
    /// Waits until the copy may go; at once when there is none.
    pub(crate) async fn wait(&self) {
        while let Some(horizon) = self.shared.horizon() {
            if self.is_store_there(horizon).await || self.is_kept(horizon).await {
                return;
            }
            time::sleep(RETRY).await;
        }
    }

    async fn is_store_there(&self, horizon: u64) -> bool {
        // Few keys change there, so that the answer is short.
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

    /// Whether enough others that stay know all that is known here.
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

    /// What another instance knows more. It learns where this one can be asked.
    async fn ask(&self, other: SocketAddrV4, horizon: u64) -> Option<Report> {
        let bases = self.shared.bases();
        let joined = Subscription::join(other, &self.me, Some(horizon), bases).await;
        let (_, report) = joined.ok()?;
        Some(report)
    }
}

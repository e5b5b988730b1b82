//! The first copy of an instance that starts.
//!
//! Load pattern: a whole fleet loses its power and starts at once, with a store of
//! hundreds of kilobytes and links of 10 Mbit/s. If each instance read the store,
//! the store's own link would be full for a fifth of a second and a thin link for
//! 0.35 s more, while every caller waits. So the first few of a zone read it, those
//! with the widest links, and the others get a packed copy from these.

use std::net::SocketAddrV4;
use std::time::Duration;

use slog::info;
use tokio::time;

use crate::id;
use crate::replica::follow::End;
use crate::replica::follow::Follower;
use crate::replica::register;
use crate::replica::store;
use crate::replica::subscribe::Report;
use crate::replica::subscribe::Subscription;
use crate::replica::tree::HEADS;

/// Pause before an instance that does not answer yet is asked for a copy again.
const RETRY: Duration = Duration::from_millis(25);

impl Follower {
    /// Gets the first copy: from the store, or from an instance that has it.
    ///
    /// Machines that start together have their power back within 0.3 s of each
    /// other, so that those to be asked may not be there yet. Whoever waits in vain
    /// for [`crate::replica::Pace::copy_wait`] reads the store as well, and takes
    /// what comes first.
    pub(super) async fn begin(&mut self) -> Result<(), End> {
        let feeders = self.feeders().await?;
        let reader = self.sources.reader.clone();
        let all = self.sources.keys.all;
        if feeders.is_empty() {
            let listing = store::list(&reader, all).await?;
            return self.take_listing(listing).await;
        }
        let copying = self.copy_from_first(&feeders);
        let reading = async {
            time::sleep(self.sources.pace.copy_wait).await;
            store::list(&reader, all).await
        };
        let first = tokio::select! {
            report = copying => Ok(report),
            listing = reading => Err(listing),
        };
        match first {
            Ok(report) => self.take(report).await,
            Err(listing) => self.take_listing(listing?).await,
        }
    }

    /// Whom to ask for a copy; nobody when this instance is a head of its zone.
    async fn feeders(&mut self) -> Result<Vec<SocketAddrV4>, End> {
        let reader = self.sources.reader.clone();
        let page = reader.page(register::PREFIX, None).await?;
        for entry in &page.entries {
            self.enroll(&entry.key, &entry.value);
        }
        // A page may not hold all members; who is not on it has a rank all the same.
        let me = self.sources.me.clone();
        self.members.entry(register::key(&me)).or_insert(me);
        self.above = None;
        let above = self.above();
        let is_head = above.len() < HEADS;
        Ok(if is_head { Vec::new() } else { above })
    }

    /// The copy of whichever gives one first. All are asked at once: a machine
    /// without power does not even refuse.
    async fn copy_from_first(&self, feeders: &[SocketAddrV4]) -> Report {
        let copies = feeders
            .iter()
            .map(|feeder| Box::pin(self.copy_from(*feeder)));
        let (report, _, _) = futures::future::select_all(copies).await;
        report
    }

    /// The copy of an instance, as soon as it has one.
    async fn copy_from(&self, feeder: SocketAddrV4) -> Report {
        loop {
            match ask_for_copy(feeder, &self.sources.me.instance).await {
                Ok(report) if self.is_fresh(&report) => return report,
                // Its owner is cut off from the store. Who took it over would use
                // routes that have been withdrawn meanwhile.
                Ok(_) => {
                    info!(self.sources.log, "copy of upstream too old"; "peer" => %feeder);
                    return std::future::pending().await;
                }
                Err(error) => {
                    info!(self.sources.log, "no copy from upstream"; "error" => %error);
                }
            }
            time::sleep(RETRY).await;
        }
    }
}

async fn ask_for_copy(feeder: SocketAddrV4, me: &id::Instance) -> crate::Result<Report> {
    let joined = Subscription::join(feeder, me, None, Vec::new()).await;
    let (mut subscription, mut report) = joined?;
    while !report.is_everything {
        report = subscription.next().await?;
    }
    subscription.complete(report).await
}

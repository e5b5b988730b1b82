//! Moves of feeds away from servers that hold more than their share.
//!
//! Feeds last for hours: without moves, a server that came back after a drain would
//! have no feeds for the rest of the day while the others are full. How far a
//! server may exceed its share follows from the profile's weight between broken
//! flows and imbalance, see [`balance::surplus`]. Moves are rate-limited, and a
//! feed is registered at the new server first.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Engine;
use crate::balance;
use crate::id;
use crate::record::FeedKey;
use crate::snapshot::Service;

/// Interval between rounds: longer than a heartbeat, so that a round sees the moves
/// of the previous one and does not repeat them.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// Feeds moved per round: a burst of registrations would take the slots that
/// requests need.
const MAX_MOVES_PER_ROUND: usize = 64;

impl Engine {
    /// Queues moves of feeds if a round is due.
    pub(super) fn rebalance(&mut self, now: Instant) {
        if self
            .last_rebalance
            .is_some_and(|at| now < at + ROUND_INTERVAL)
        {
            return;
        }
        self.last_rebalance = Some(now);
        let snapshot = Arc::clone(&self.snapshot);
        let mut budget = MAX_MOVES_PER_ROUND;
        for service in snapshot.services.values() {
            for surplus in balance::surplus(service, now) {
                let feeds = self.movable_feeds_at(service, &surplus.server);
                let share = surplus.share * feeds.len() as f64;
                let count = (share.round() as usize).min(budget);
                budget -= count;
                for (slice, key) in feeds.into_iter().take(count) {
                    self.queue_move(slice, key);
                }
            }
        }
    }

    fn movable_feeds_at(
        &self,
        service: &Service,
        server: &id::Server,
    ) -> Vec<(id::Slice, FeedKey)> {
        let served = self
            .slices
            .iter()
            .filter(|(slice, _)| self.serves_feeds(**slice));
        let feeds = served.flat_map(|(slice, state)| {
            let feeds = state.feeds.iter().filter(|(key, feed)| {
                let is_movable = feed.attempt.is_some() && feed.renewal.is_none();
                is_movable && feed.server == *server && key.flow.service == service.id
            });
            feeds.map(|(key, _)| (*slice, key.clone()))
        });
        feeds.collect()
    }

    fn queue_move(&mut self, slice: id::Slice, key: FeedKey) {
        let state = self.slices.get_mut(&slice);
        let Some(feed) = state.and_then(|state| state.feeds.get_mut(&key)) else {
            return;
        };
        // Listed as failed, the feed's own server is not chosen again; the next
        // notification clears the list.
        feed.failed_servers.push(feed.server.clone());
        self.queued_renewals.push_back((slice, key));
    }
}

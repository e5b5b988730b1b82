//! Moves of feeds between servers and between instances.
//!
//! Moves are rate-limited, and the old registration is kept until the new one is in
//! use.

use std::time::Duration;

use tokio::time::Instant;

use super::Engine;
use super::feed::SEQUENCE_LEAP;
use super::feed::SEQUENCE_MASK;
use super::feed::is_newer;
use super::feed::pack_feed;
use crate::action::Action;
use crate::balance;
use crate::id;
use crate::peer;
use crate::record::Feed;
use crate::record::FeedKey;
use crate::record::Timer;

/// Feeds registered again per tick: a home that takes over thousands of feeds must
/// not flood the servers.
const MOVES_PER_TICK: usize = 64;

/// How long a registration is kept after another instance took the feed over.
pub(crate) const RELEASE_AFTER: Duration = Duration::from_secs(2);

/// Interval at which feeds are offered to a home that became reachable again.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(500);

impl Engine {
    /// Takes over the slice's feeds that this instance holds as copies only:
    /// advances their sequences and queues their registration.
    pub(super) fn take_over_copied_feeds(&mut self, slice: id::Slice) {
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        for (key, feed) in &mut state.feeds {
            if feed.attempt.is_none() && feed.renewal.is_none() {
                feed.sequence = (feed.sequence + SEQUENCE_LEAP) & SEQUENCE_MASK;
                self.queued_renewals.push_back((slice, key.clone()));
            }
        }
    }

    /// Starts the registration of the next few queued feeds.
    pub(super) fn start_queued_renewals(&mut self, now: Instant) {
        for _ in 0..MOVES_PER_TICK {
            let Some((slice, key)) = self.queued_renewals.pop_front() else {
                return;
            };
            if !self.serves_feeds(slice) {
                continue;
            }
            let Some(feed) = self.feed(slice, &key) else {
                continue;
            };
            if feed.renewal.is_some() {
                continue;
            }
            if feed.attempt.is_none() {
                // The silence limit is counted from now: the times in the copy are
                // from another instance.
                feed.last_notification = now;
                feed.last_confirmed = now;
            }
            self.start_renewal(now, slice, &key);
        }
    }

    /// Queues moves of feeds whose server has begun to leave or is gone: without a
    /// move, these feeds would get no notifications until the profile's silence
    /// limit.
    pub(super) fn move_feeds_off_leaving_servers(&mut self, now: Instant) {
        let mut leaving = Vec::new();
        for service in self.snapshot.services.values() {
            for server in &service.servers {
                let is_leaving = server.state().is_leaving();
                let must_vacate = is_leaving || balance::is_gone(service, server, now);
                if !must_vacate {
                    self.leaving_servers.remove(&server.id);
                } else if self.leaving_servers.insert(server.id.clone()) {
                    leaving.push(server.id.clone());
                }
            }
        }
        if leaving.is_empty() {
            return;
        }
        let mut moved = Vec::new();
        for (slice, state) in &self.slices {
            for (key, feed) in &state.feeds {
                if feed.attempt.is_some() && leaving.contains(&feed.server) {
                    moved.push((*slice, key.clone()));
                }
            }
        }
        // The iteration order of a hash map is random, but the same events must
        // cause the same moves.
        moved.sort();
        self.queued_renewals.extend(moved);
    }

    /// Hands feeds that were taken over for an unreachable home back to that home,
    /// repeatedly until they are released here: a lost message would end them.
    pub(super) fn hand_back_feeds(&mut self, now: Instant, slice: id::Slice) {
        // A registration in progress is included: if it were answered later,
        // the feed would be registered here and at the home.
        let is_registered = |feed: &Feed| feed.attempt.is_some() || feed.renewal.is_some();
        let state = self.slices.get(&slice);
        if !state.is_some_and(|state| state.feeds.values().any(is_registered)) {
            return;
        }
        self.send_feed_transfers(slice);
        for round in 1..RELEASE_AFTER.as_millis() / TRANSFER_INTERVAL.as_millis() {
            let at = now + TRANSFER_INTERVAL * round as u32;
            self.schedule(at, Timer::OfferFeeds(slice));
        }
        self.scheduled_releases
            .push_back((now + RELEASE_AFTER, slice));
    }

    /// Sends the slice's registered feeds to its home.
    pub(super) fn send_feed_transfers(&mut self, slice: id::Slice) {
        let row = self.table.row(slice);
        let Some(home) = row.home.clone().filter(|home| *home != self.settings.me) else {
            return;
        };
        let Some(state) = self.slices.get(&slice) else {
            return;
        };
        let registered = state.feeds.iter().filter(|(_, f)| f.attempt.is_some());
        let transfers: Vec<Action> = registered
            .map(|(key, feed)| Action::Peer {
                to: home.clone(),
                body: peer::PeerMessage::FeedTransfer(peer::FeedTransfer {
                    slice: slice.0,
                    feed: Some(pack_feed(key, feed)),
                }),
            })
            .collect();
        self.actions.extend(transfers);
    }

    /// Drops the registrations of slices that another instance serves by now.
    pub(super) fn release_feeds(&mut self, now: Instant) {
        while self
            .scheduled_releases
            .front()
            .is_some_and(|(at, _)| *at <= now)
        {
            let Some((_, slice)) = self.scheduled_releases.pop_front() else {
                return;
            };
            if self.serves_feeds(slice) {
                continue;
            }
            let is_backup = self.table.row(slice).is_backup(&self.settings.me);
            self.unregister_feeds(slice, is_backup);
        }
    }

    fn unregister_feeds(&mut self, slice: id::Slice, is_backup: bool) {
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        let registered = |(key, feed): (&FeedKey, &Feed)| {
            let is_registered = feed.attempt.is_some() || feed.renewal.is_some();
            is_registered.then(|| key.clone())
        };
        let keys: Vec<FeedKey> = state.feeds.iter().filter_map(registered).collect();
        for key in keys {
            let Some(mut feed) = self.remove_feed(slice, &key) else {
                continue;
            };
            if is_backup {
                feed.attempt = None;
                feed.renewal = None;
                self.insert_feed(slice, key, feed);
            }
        }
    }

    /// As home: takes over a feed that another instance served in the meantime.
    pub(super) fn adopt_feed(&mut self, now: Instant, slice: id::Slice, key: FeedKey, feed: Feed) {
        if !self.table.row(slice).is_home(&self.settings.me) {
            return;
        }
        let sequence = (feed.sequence + SEQUENCE_LEAP) & SEQUENCE_MASK;
        if let Some(known) = self.feed(slice, &key) {
            // Both instances may have served the feed, and the caller accepts only
            // the newest sequence numbers: it would drop all notifications with
            // smaller ones from here.
            if !is_newer(feed.sequence, known.sequence) {
                return;
            }
            known.sequence = sequence;
            let is_unregistered = known.attempt.is_none() && known.renewal.is_none();
            self.replicate_feed(now, slice, &key);
            if is_unregistered {
                self.queued_renewals.push_back((slice, key));
            }
            return;
        }
        let feed = Feed {
            sequence,
            last_notification: now,
            last_confirmed: now,
            ..feed
        };
        self.insert_feed(slice, key.clone(), feed);
        self.replicate_feed(now, slice, &key);
        self.queued_renewals.push_back((slice, key));
    }
}

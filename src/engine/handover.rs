//! Feeds that move between servers and instances.
//!
//! Moves are paced, and the old registration is kept until the new one is in use.

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

/// Feeds registered anew per tick: a home that takes over thousands must not
/// flood the servers.
const MOVES_PER_TICK: usize = 64;

/// How long a registration is kept after another instance took the feed over.
pub(crate) const RELEASE_AFTER: Duration = Duration::from_secs(2);

/// Time between two offers of feeds to the home that was unreachable.
const RETURN_EVERY: Duration = Duration::from_millis(500);

impl Engine {
    /// Starts looking after the feeds of a slice that another instance had.
    pub(super) fn queue_copied_feeds(&mut self, slice: id::Slice) {
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

    /// Registers the next few feeds that wait to be moved.
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
                // Silence is counted from now on: the copy's time is another's.
                feed.heard = now;
                feed.confirmed = now;
            }
            self.start_renewal(now, slice, &key);
        }
    }

    /// Finds feeds whose server has begun to leave or is gone: left alone, these
    /// would stand still until the profile's limit of silence.
    pub(super) fn move_feeds_off_leaving_servers(&mut self, now: Instant) {
        let mut leaving = Vec::new();
        for service in self.snapshot.services.values() {
            for server in &service.servers {
                let leaves = server.state().is_leaving();
                let away = leaves || balance::is_gone(service, server, now);
                if !away {
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
        // A hash map's order is random: the same events must give the same moves.
        moved.sort();
        self.queued_renewals.extend(moved);
    }

    /// Hands feeds that were taken in for an unreachable home to that home, again
    /// and again until they are released here: a lost message would end them.
    pub(super) fn hand_back_feeds(&mut self, now: Instant, slice: id::Slice) {
        // A registration under way counts: answered later, it would go on here
        // beside the home's own.
        let ours = |feed: &Feed| feed.attempt.is_some() || feed.renewal.is_some();
        let state = self.slices.get(&slice);
        if !state.is_some_and(|state| state.feeds.values().any(ours)) {
            return;
        }
        self.send_feed_transfers(slice);
        for round in 1..RELEASE_AFTER.as_millis() / RETURN_EVERY.as_millis() {
            let at = now + RETURN_EVERY * round as u32;
            self.schedule(at, Timer::Return(slice));
        }
        self.scheduled_releases.push_back((now + RELEASE_AFTER, slice));
    }

    /// Offers feeds to the slice's home.
    pub(super) fn send_feed_transfers(&mut self, slice: id::Slice) {
        let row = self.table.row(slice);
        let Some(home) = row.home.clone().filter(|home| *home != self.settings.me) else {
            return;
        };
        let Some(state) = self.slices.get(&slice) else {
            return;
        };
        let active = state.feeds.iter().filter(|(_, f)| f.attempt.is_some());
        let offers: Vec<Action> = active
            .map(|(key, feed)| Action::Peer {
                to: home.clone(),
                body: peer::Body::Adopt(peer::Adopt {
                    slice: slice.0,
                    feed: Some(pack_feed(key, feed)),
                }),
            })
            .collect();
        self.actions.extend(offers);
    }

    /// Drops the registrations of slices that another instance looks after by now.
    pub(super) fn release_feeds(&mut self, now: Instant) {
        while self.scheduled_releases.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, slice)) = self.scheduled_releases.pop_front() else {
                return;
            };
            if self.serves_feeds(slice) {
                continue;
            }
            let keep = self.table.row(slice).is_backup(&self.settings.me);
            self.release_slice(slice, keep);
        }
    }

    fn release_slice(&mut self, slice: id::Slice, keep: bool) {
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        let active = |(key, feed): (&FeedKey, &Feed)| {
            let active = feed.attempt.is_some() || feed.renewal.is_some();
            active.then(|| key.clone())
        };
        let keys: Vec<FeedKey> = state.feeds.iter().filter_map(active).collect();
        for key in keys {
            let Some(mut feed) = self.remove_feed(slice, &key) else {
                continue;
            };
            if keep {
                feed.attempt = None;
                feed.renewal = None;
                self.insert_feed(slice, key, feed);
            }
        }
    }

    /// Takes in a feed that another instance served meanwhile.
    pub(super) fn adopt_feed(&mut self, now: Instant, slice: id::Slice, key: FeedKey, feed: Feed) {
        if !self.table.row(slice).is_home(&self.settings.me) {
            return;
        }
        let sequence = (feed.sequence + SEQUENCE_LEAP) & SEQUENCE_MASK;
        if let Some(known) = self.feed(slice, &key) {
            // Both may have served it, and the caller takes what looks newest: it
            // would drop all that comes from here with smaller numbers.
            if !is_newer(feed.sequence, known.sequence) {
                return;
            }
            known.sequence = sequence;
            let idle = known.attempt.is_none() && known.renewal.is_none();
            self.replicate_feed(now, slice, &key);
            if idle {
                self.queued_renewals.push_back((slice, key));
            }
            return;
        }
        let feed = Feed {
            sequence,
            heard: now,
            confirmed: now,
            ..feed
        };
        self.insert_feed(slice, key.clone(), feed);
        self.replicate_feed(now, slice, &key);
        self.queued_renewals.push_back((slice, key));
    }
}

//! Feeds: registration, notifications, silence detection, and moves between servers
//! and homes.
//!
//! A move always registers the feed at the new place before the old registration is
//! dropped, so that the caller sees one unbroken sequence.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::Engine;
use crate::action::Action;
use crate::balance;
use crate::balance::WorkKind;
use crate::id;
use crate::peer;
use crate::reason::Reason;
use crate::record::Feed;
use crate::record::FeedKey;
use crate::record::Purpose;
use crate::record::Renewal;
use crate::record::SentAttempt;
use crate::record::Timer;
use crate::request::Answer;
use crate::request::Flow;
use crate::request::Receipt;
use crate::request::Request;
use crate::request::Token;
use crate::request::Verdict;
use crate::server::Server;
use crate::snapshot::Service;

/// A caller from which no receipt came for this long must acknowledge the next
/// notification: otherwise feeds of callers that disappeared would stay forever.
const CONFIRM_AFTER: Duration = Duration::from_secs(30);

/// Confirmable notifications without a receipt after which the caller is considered
/// gone.
const MAX_UNCONFIRMED: u32 = 4;

/// Added to the sequence when another instance continues a feed. That instance's
/// copy may lag behind what the caller has received, and a caller drops
/// notifications that seem older.
pub(super) const SEQUENCE_LEAP: u32 = 1 << 16;

/// Notifications after which the backup's copy of the sequence is refreshed; well
/// below [`SEQUENCE_LEAP`], so that the leap always exceeds what the caller has
/// received.
const SEQUENCE_REFRESH_INTERVAL: u32 = 1 << 14;

/// Sequence numbers have 24 bits and wrap around (RFC 7641, section 3.4).
pub(super) const SEQUENCE_MASK: u32 = (1 << 24) - 1;

/// Number of recent message numbers that a receipt may refer to.
const RECEIPT_WINDOW: u16 = 256;

/// Delay before the next attempt to place a feed that no server accepts.
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Number of silence limits without a notification after which a feed that no
/// server accepts is ended.
const MAX_SILENCE_PERIODS: u32 = 3;

/// Added to the message numbers at each leap of the sequence. Without it the next
/// instance would reuse numbers that the caller has just received, and the caller
/// would drop its notifications as duplicates (RFC 7252, section 4.5).
const MESSAGE_LEAP: u16 = 40_503;

/// Message number of the notification with this sequence number.
fn message_number(token: Token, sequence: u32) -> u16 {
    let token_bits = token.0 ^ (token.0 >> 16) ^ (token.0 >> 32) ^ (token.0 >> 48);
    let leaps = (sequence / SEQUENCE_LEAP) as u16;
    (token_bits as u16)
        .wrapping_add(sequence as u16)
        .wrapping_add(leaps.wrapping_mul(MESSAGE_LEAP))
}

/// Whether a message number belongs to one of a feed's last notifications.
fn is_recent(token: Token, newest: u32, message: u16) -> bool {
    let distance = message_number(token, newest).wrapping_sub(message);
    if distance <= newest as u16 && distance < RECEIPT_WINDOW {
        return true;
    }
    // Just after a leap, the last notifications include those from before it.
    let last_before_leap = (newest & !(SEQUENCE_LEAP - 1)).wrapping_sub(1) & SEQUENCE_MASK;
    let since_leap = (newest as u16).wrapping_add(1);
    let distance = message_number(token, last_before_leap).wrapping_sub(message);
    since_leap < RECEIPT_WINDOW && distance < RECEIPT_WINDOW - since_leap
}

/// Whether a sequence number is newer than another (RFC 7641, section 3.4).
pub(super) fn is_newer(number: u32, than: u32) -> bool {
    const HALF: u32 = 1 << 23;
    let ahead = number.wrapping_sub(than) & SEQUENCE_MASK;
    ahead != 0 && ahead < HALF
}

impl Engine {
    pub(super) fn feed(&mut self, slice: id::Slice, key: &FeedKey) -> Option<&mut Feed> {
        self.slices.get_mut(&slice)?.feeds.get_mut(key)
    }

    /// Whether this instance serves the feeds of a slice: it is home, or the home
    /// is unreachable and this instance is the backup or took the feed over itself.
    pub(super) fn serves_feeds(&self, slice: id::Slice) -> bool {
        let row = self.table.row(slice);
        let me = &self.settings.me;
        if row.is_home(me) {
            return true;
        }
        let is_live = |holder: &Option<id::Holder>| {
            holder
                .as_ref()
                .is_some_and(|holder| self.membership.is_live(holder))
        };
        if is_live(&row.home) {
            return false;
        }
        row.is_backup(me) || !is_live(&row.backup)
    }

    /// Adds a feed that a server has just accepted; returns its first sequence
    /// number.
    pub(super) fn insert_opened_feed(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: FeedKey,
        datagram: Bytes,
        attempt: id::Attempt,
        sent: &SentAttempt,
    ) -> u32 {
        let server = Arc::clone(&sent.server);
        let previous = self.remove_feed(slice, &key);
        let sequence = previous.map_or(1, |feed| feed.sequence + 1) & SEQUENCE_MASK;
        self.insert_feed_attempt(now, slice, &key, attempt, &server);
        let feed = Feed {
            datagram: datagram.as_ref().into(),
            server: server.id.clone(),
            attempt: Some(attempt),
            renewal: None,
            failed_servers: Vec::new(),
            sequence,
            last_notification: now,
            last_confirmed: now,
            unconfirmed: 0,
            next_check: now,
            replication_step: 0,
        };
        self.insert_feed(slice, key.clone(), feed);
        self.schedule_silence_check(now, slice, &key);
        self.replicate_feed(now, slice, &key);
        self.emit_flow(Reason::FeedOpened, slice, &key.flow);
        if !self.serves_feeds(slice) {
            // The slice moved, or its home became reachable again, while the server
            // had the request. This instance does not serve feeds of the slice:
            // receipts go to the home, and without them the feed would end without
            // notice.
            self.hand_back_feeds(now, slice);
        }
        sequence
    }

    fn insert_feed_attempt(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &FeedKey,
        attempt: id::Attempt,
        server: &Arc<Server>,
    ) {
        server.state().feeds += 1;
        self.sent_attempts.insert(
            attempt,
            SentAttempt {
                slice,
                purpose: Purpose::Feed(key.clone()),
                server: Arc::clone(server),
                sent_at: now,
            },
        );
    }

    pub(super) fn insert_feed(&mut self, slice: id::Slice, key: FeedKey, feed: Feed) {
        self.usage(&key.flow.service.clone()).feeds += 1;
        self.feeds += 1;
        let state = self.slices.entry(slice).or_default();
        state.feeds.insert(key, feed);
    }

    pub(super) fn remove_feed(&mut self, slice: id::Slice, key: &FeedKey) -> Option<Feed> {
        let feed = self.slices.get_mut(&slice)?.feeds.remove(key)?;
        self.feeds -= 1;
        let usage = self.usage(&key.flow.service);
        usage.feeds = usage.feeds.saturating_sub(1);
        self.drop_registrations(&feed);
        Some(feed)
    }

    fn drop_registrations(&mut self, feed: &Feed) {
        // The server stops after the rejection of its next notification.
        if let Some(attempt) = feed.attempt {
            self.remove_attempt(attempt);
        }
        if let Some(renewal) = &feed.renewal {
            self.remove_attempt(renewal.attempt);
        }
    }

    /// Schedules the feed's next check for when the silence limit is reached.
    fn schedule_silence_check(&mut self, now: Instant, slice: id::Slice, key: &FeedKey) {
        let silence = self.feed_silence_limit(&key.flow.service);
        self.schedule_feed_check(now + silence, slice, key);
    }

    fn schedule_feed_check(&mut self, at: Instant, slice: id::Slice, key: &FeedKey) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        feed.next_check = at;
        self.schedule(at, Timer::Feed(slice, key.clone()));
    }

    fn feed_silence_limit(&self, service: &id::Service) -> Duration {
        self.service(service)
            .map_or(PLACEMENT_RETRY_DELAY, |service| {
                service.profile.feed_silence()
            })
    }

    pub(super) fn close_feed(&mut self, now: Instant, slice: id::Slice, request: &Request) {
        let key = FeedKey {
            flow: request.flow.clone(),
            token: request.token,
        };
        self.end_feed(now, slice, &key, Reason::FeedClosed);
    }

    fn end_feed(&mut self, now: Instant, slice: id::Slice, key: &FeedKey, reason: Reason) {
        if self.remove_feed(slice, key).is_none() {
            return;
        }
        self.emit_flow(reason, slice, &key.flow);
        let item = peer::ReplicationItem::FeedEnd(peer::FeedEnd {
            flow: Some(peer::pack_flow(&key.flow)),
            token: peer::pack_number(key.token.0),
        });
        self.replicate(now, slice, item, None);
    }

    pub(super) fn replicate_feed(&mut self, now: Instant, slice: id::Slice, key: &FeedKey) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        let item = peer::ReplicationItem::Feed(pack_feed(key, feed));
        self.replicate(now, slice, item, None);
    }

    fn notify(&mut self, now: Instant, slice: id::Slice, key: &FeedKey, datagram: Bytes) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        feed.sequence = (feed.sequence + 1) & SEQUENCE_MASK;
        feed.last_notification = now;
        feed.failed_servers.clear();
        let confirmable = now >= feed.last_confirmed + CONFIRM_AFTER;
        if confirmable {
            feed.unconfirmed += 1;
        }
        let (sequence, unconfirmed) = (feed.sequence, feed.unconfirmed);
        if unconfirmed > MAX_UNCONFIRMED {
            self.end_feed(now, slice, key, Reason::FeedAbandoned);
            return;
        }
        self.actions.push(Action::Notify {
            flow: key.flow.clone(),
            token: key.token,
            message: message_number(key.token, sequence),
            sequence,
            confirmable,
            datagram: Some(datagram),
        });
        if sequence % SEQUENCE_REFRESH_INTERVAL == 0 {
            self.replicate_feed(now, slice, key);
        }
    }

    /// Applies a receipt for a notification; returns whether it belonged to a feed.
    pub(super) fn apply_feed_receipt(
        &mut self,
        now: Instant,
        slice: id::Slice,
        flow: &Flow,
        message: u16,
        receipt: Receipt,
    ) -> bool {
        let Some(state) = self.slices.get_mut(&slice) else {
            return false;
        };
        let first = FeedKey {
            flow: flow.clone(),
            token: Token(0),
        };
        let matching_feed = state
            .feeds
            .range_mut(first..)
            .take_while(|(key, _)| key.flow == *flow)
            .find(|(key, feed)| {
                feed.attempt.is_some() && is_recent(key.token, feed.sequence, message)
            });
        let Some((key, feed)) = matching_feed else {
            return false;
        };
        feed.last_confirmed = now;
        feed.unconfirmed = 0;
        let key = key.clone();
        if receipt == Receipt::Rejected {
            self.end_feed(now, slice, &key, Reason::FeedClosed);
        }
        true
    }

    pub(super) fn handle_feed_answer(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &FeedKey,
        attempt: id::Attempt,
        answer: Answer,
    ) {
        let Some(feed) = self.feed(slice, key) else {
            self.remove_attempt(attempt);
            return;
        };
        let is_renewal = feed.renewal.as_ref().map(|renewal| renewal.attempt) == Some(attempt);
        let stays_open = answer.keeps_feed_open && answer.verdict == Verdict::Handled;
        match (is_renewal, stays_open) {
            (true, true) => self.finish_renewal(now, slice, key, answer.datagram),
            (true, false) => self.fail_renewal(now, slice, key),
            (false, true) => self.notify(now, slice, key, answer.datagram),
            (false, false) => self.handle_registration_end(now, slice, key, answer),
        }
    }

    fn finish_renewal(&mut self, now: Instant, slice: id::Slice, key: &FeedKey, datagram: Bytes) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        let Some(renewal) = feed.renewal.take() else {
            return;
        };
        let has_moved = feed.server != renewal.server || feed.attempt.is_none();
        let old_attempt = feed.attempt.replace(renewal.attempt);
        feed.server = renewal.server;
        if let Some(old_attempt) = old_attempt {
            self.remove_attempt(old_attempt);
        }
        let reason = if has_moved {
            Reason::FeedMoved
        } else {
            Reason::FeedRefreshed
        };
        self.emit_flow(reason, slice, &key.flow);
        self.notify(now, slice, key, datagram);
        if has_moved {
            self.replicate_feed(now, slice, key);
        }
        self.schedule_silence_check(now, slice, key);
    }

    fn fail_renewal(&mut self, now: Instant, slice: id::Slice, key: &FeedKey) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        let Some(renewal) = feed.renewal.take() else {
            return;
        };
        feed.failed_servers.push(renewal.server);
        self.remove_attempt(renewal.attempt);
        self.start_renewal(now, slice, key);
    }

    /// Handles the end of a registration by its server. If the server only refused
    /// to continue, another server takes the feed and the caller is not notified.
    fn handle_registration_end(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &FeedKey,
        answer: Answer,
    ) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        if answer.verdict == Verdict::Refused {
            let attempt = feed.attempt.take();
            let server = feed.server.clone();
            feed.failed_servers.push(server);
            let is_renewing = feed.renewal.is_some();
            if let Some(attempt) = attempt {
                self.remove_attempt(attempt);
            }
            if !is_renewing {
                self.start_renewal(now, slice, key);
            }
            return;
        }
        self.end_feed_with_notice(now, slice, key, Some(answer.datagram), Reason::FeedEnded);
    }

    /// Notifies the caller that the feed has ended and removes it.
    fn end_feed_with_notice(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &FeedKey,
        datagram: Option<Bytes>,
        reason: Reason,
    ) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        let sequence = (feed.sequence + 1) & SEQUENCE_MASK;
        self.actions.push(Action::Notify {
            flow: key.flow.clone(),
            token: key.token,
            message: message_number(key.token, sequence),
            sequence,
            confirmable: false,
            datagram,
        });
        self.end_feed(now, slice, key, reason);
    }

    /// Registers the feed again: at its own server if that accepts work, else at
    /// another.
    pub(super) fn start_renewal(&mut self, now: Instant, slice: id::Slice, key: &FeedKey) {
        let Some(service) = self.service(&key.flow.service) else {
            return;
        };
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        let datagram = Bytes::copy_from_slice(&feed.datagram);
        let failed = feed.failed_servers.clone();
        let current = feed.server.clone();
        let Some(server) = self.choose_feed_server(now, &service, &key.flow, &current, &failed)
        else {
            self.retry_or_end_feed(now, slice, key, &service);
            return;
        };
        let attempt = self.new_attempt();
        self.insert_feed_attempt(now, slice, key, attempt, &server);
        if let Some(feed) = self.feed(slice, key) {
            feed.renewal = Some(Box::new(Renewal {
                attempt,
                server: server.id.clone(),
                started_at: now,
            }));
        }
        let timeout = service.profile.attempt_timeout();
        self.schedule_feed_check(now + timeout, slice, key);
        self.actions.push(Action::Forward {
            server,
            attempt,
            service: service.id.clone(),
            remaining: timeout,
            datagram,
        });
    }

    fn choose_feed_server(
        &mut self,
        now: Instant,
        service: &Service,
        flow: &Flow,
        current: &id::Server,
        failed: &[id::Server],
    ) -> Option<Arc<Server>> {
        let usable_current = service
            .server(current)
            .filter(|server| !failed.contains(current) && server.state().takes_work(now));
        if let Some(server) = usable_current {
            return Some(Arc::clone(server));
        }
        let zone = &self.settings.zone;
        balance::choose(
            service,
            flow,
            WorkKind::Feed,
            zone,
            failed,
            now,
            &mut self.rng,
        )
    }

    /// Handles a feed that no server accepts now: schedules another attempt, and in
    /// the end notifies the caller, which would otherwise wait forever.
    fn retry_or_end_feed(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: &FeedKey,
        service: &Service,
    ) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        feed.failed_servers.clear();
        let max_silence = service.profile.feed_silence() * MAX_SILENCE_PERIODS;
        if now >= feed.last_notification + max_silence {
            self.end_feed_with_notice(now, slice, key, None, Reason::FeedLost);
            return;
        }
        self.schedule_feed_check(now + PLACEMENT_RETRY_DELAY, slice, key);
    }

    /// Handles the feed's timer: starts a renewal after silence, or gives up a
    /// renewal that got no answer in time.
    pub(super) fn check_feed(&mut self, now: Instant, slice: id::Slice, key: &FeedKey) {
        let silence = self.feed_silence_limit(&key.flow.service);
        let serves = self.serves_feeds(slice);
        let service = self.service(&key.flow.service);
        let (true, Some(service)) = (serves, service) else {
            // Another instance serves the feed, or none can at the moment. If this
            // instance serves it again later, the feed's silence must still be
            // noticed.
            if self
                .feed(slice, key)
                .is_some_and(|feed| feed.next_check <= now)
            {
                self.schedule_feed_check(now + silence, slice, key);
            }
            return;
        };
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        if feed.next_check > now {
            return;
        }
        let timeout = service.profile.attempt_timeout();
        if let Some(renewal) = &feed.renewal {
            if now < renewal.started_at + timeout {
                let at = renewal.started_at + timeout;
                self.schedule_feed_check(at, slice, key);
                return;
            }
            let server = service.server(&renewal.server).map(Arc::clone);
            if let Some(server) = server {
                self.record_server_failure(now, &server);
            }
            self.fail_renewal(now, slice, key);
        } else if feed.attempt.is_none() || now >= feed.last_notification + silence {
            self.start_renewal(now, slice, key);
        } else {
            let at = feed.last_notification + silence;
            self.schedule_feed_check(at, slice, key);
        }
    }
}

/// Encodes a feed for a peer.
pub(super) fn pack_feed(key: &FeedKey, feed: &Feed) -> peer::Feed {
    peer::Feed {
        flow: Some(peer::pack_flow(&key.flow)),
        token: peer::pack_number(key.token.0),
        server: feed.server.as_str().to_owned(),
        datagram: Bytes::copy_from_slice(&feed.datagram),
        sequence: feed.sequence,
    }
}

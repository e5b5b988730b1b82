//! Feeds: opening, notifications, silence, and moves between servers and homes.
//!
//! A move always registers at the new place before the old registration is
//! dropped, so that the caller sees one unbroken sequence.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use super::Engine;
use crate::action::Action;
use crate::balance;
use crate::balance::Work;
use crate::id;
use crate::peer;
use crate::reason::Reason;
use crate::record::Feed;
use crate::record::FeedKey;
use crate::record::Purpose;
use crate::record::Renewal;
use crate::record::Sending;
use crate::record::Timer;
use crate::request::Answer;
use crate::request::Flow;
use crate::request::Receipt;
use crate::request::Request;
use crate::request::Token;
use crate::request::Verdict;
use crate::server::Server;
use crate::snapshot::Service;

/// A caller that showed no sign of life for this long must acknowledge the next
/// notification: otherwise feeds of callers that vanished would stay for ever.
const CONFIRM_AFTER: Duration = Duration::from_secs(30);

/// Notifications without a receipt after which the caller is taken to be gone.
const MAX_UNCONFIRMED: u32 = 4;

/// Added to the sequence when another instance goes on with a feed. The copy may
/// lag behind what the caller has seen; a caller drops what looks older.
pub(super) const SEQUENCE_LEAP: u32 = 1 << 16;

/// Notifications after which the backup's copy of the sequence is refreshed; well
/// under [`SEQUENCE_LEAP`], so that the leap always passes what the caller saw.
const SEQUENCE_REFRESH: u32 = 1 << 14;

/// Wrap of the sequence (RFC 7641, section 3.4).
pub(super) const SEQUENCE_MASK: u32 = (1 << 24) - 1;

/// Message numbers back from the newest in which a receipt is looked for.
const RECEIPT_WINDOW: u16 = 256;

/// Wait before a feed that no server takes is tried again.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// Silences after which a feed that no server takes is given up.
const LOST_AFTER_SILENCES: u32 = 3;

/// Added to the message numbers at each leap of the sequence. Without it the next
/// instance would use numbers again that the caller has just seen, and the caller
/// would drop its notifications as copies (RFC 7252, section 4.5).
const MESSAGE_LEAP: u16 = 40_503;

fn message_number(token: Token, sequence: u32) -> u16 {
    let salt = token.0 ^ (token.0 >> 16) ^ (token.0 >> 32) ^ (token.0 >> 48);
    let leaps = (sequence / SEQUENCE_LEAP) as u16;
    (salt as u16)
        .wrapping_add(sequence as u16)
        .wrapping_add(leaps.wrapping_mul(MESSAGE_LEAP))
}

/// Whether a message number is one of the last of a feed.
fn is_recent(token: Token, newest: u32, message: u16) -> bool {
    let back = message_number(token, newest).wrapping_sub(message);
    if back <= newest as u16 && back < RECEIPT_WINDOW {
        return true;
    }
    // Just after a leap, the last ones are those from before it.
    let before = (newest & !(SEQUENCE_LEAP - 1)).wrapping_sub(1) & SEQUENCE_MASK;
    let passed = (newest as u16).wrapping_add(1);
    let back = message_number(token, before).wrapping_sub(message);
    passed < RECEIPT_WINDOW && back < RECEIPT_WINDOW - passed
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

    /// Whether this instance looks after the feeds of a slice: it is home, or the
    /// home cannot be heard and it is the backup or took the feed in itself.
    pub(super) fn serves_feeds(&self, slice: id::Slice) -> bool {
        let row = self.table.row(slice);
        let me = &self.settings.me;
        if row.is_home(me) {
            return true;
        }
        let live = |holder: &Option<id::Holder>| {
            holder
                .as_ref()
                .is_some_and(|holder| self.membership.is_live(holder))
        };
        if live(&row.home) {
            return false;
        }
        row.is_backup(me) || !live(&row.backup)
    }

    /// Keeps a feed that a server has just accepted; returns its first sequence.
    pub(super) fn insert_opened_feed(
        &mut self,
        now: Instant,
        slice: id::Slice,
        key: FeedKey,
        datagram: Bytes,
        attempt: id::Attempt,
        sending: &Sending,
    ) -> u32 {
        let server = Arc::clone(&sending.server);
        let earlier = self.remove_feed(slice, &key);
        let sequence = earlier.map_or(1, |feed| feed.sequence + 1) & SEQUENCE_MASK;
        self.insert_sending(now, slice, &key, attempt, &server);
        let feed = Feed {
            datagram: datagram.as_ref().into(),
            server: server.id.clone(),
            attempt: Some(attempt),
            renewal: None,
            failed: Vec::new(),
            sequence,
            heard: now,
            confirmed: now,
            unconfirmed: 0,
            due: now,
            stamp: 0,
        };
        self.insert_feed(slice, key.clone(), feed);
        self.schedule_silence_check(now, slice, &key);
        self.replicate_feed(now, slice, &key);
        self.note_flow(Reason::FeedOpened, slice, &key.flow);
        if !self.serves_feeds(slice) {
            // The slice moved, or its home was heard again, while the server had
            // the request. Nobody would look after the feed here: receipts go to
            // the home, and without them it would end in silence.
            self.hand_back_feeds(now, slice);
        }
        sequence
    }

    fn insert_sending(
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
            Sending {
                slice,
                purpose: Purpose::Feed(key.clone()),
                server: Arc::clone(server),
                since: now,
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
        // The server learns by the rejection of its next notification.
        if let Some(attempt) = feed.attempt {
            self.drop_sending(attempt);
        }
        if let Some(renewal) = &feed.renewal {
            self.drop_sending(renewal.attempt);
        }
    }

    /// Sets the feed's next look for when it has been silent too long.
    fn schedule_silence_check(&mut self, now: Instant, slice: id::Slice, key: &FeedKey) {
        let silence = self.feed_silence_limit(&key.flow.service);
        self.schedule_feed_check(now + silence, slice, key);
    }

    fn schedule_feed_check(&mut self, at: Instant, slice: id::Slice, key: &FeedKey) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        feed.due = at;
        self.schedule(at, Timer::Feed(slice, key.clone()));
    }

    fn feed_silence_limit(&self, service: &id::Service) -> Duration {
        self.service(service)
            .map_or(RETRY_WAIT, |service| service.profile.feed_silence())
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
        self.note_flow(reason, slice, &key.flow);
        let item = peer::Item::FeedEnd(peer::FeedEnd {
            flow: Some(peer::pack_flow(&key.flow)),
            token: peer::pack_number(key.token.0),
        });
        self.replicate(now, slice, item, None);
    }

    pub(super) fn replicate_feed(&mut self, now: Instant, slice: id::Slice, key: &FeedKey) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        let item = peer::Item::Feed(pack_feed(key, feed));
        self.replicate(now, slice, item, None);
    }

    fn notify(&mut self, now: Instant, slice: id::Slice, key: &FeedKey, datagram: Bytes) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        feed.sequence = (feed.sequence + 1) & SEQUENCE_MASK;
        feed.heard = now;
        feed.failed.clear();
        let confirmable = now >= feed.confirmed + CONFIRM_AFTER;
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
        if sequence % SEQUENCE_REFRESH == 0 {
            self.replicate_feed(now, slice, key);
        }
    }

    /// A receipt for a notification; tells whether it was one.
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
        let owner = state
            .feeds
            .range_mut(first..)
            .take_while(|(key, _)| key.flow == *flow)
            .find(|(key, feed)| {
                feed.attempt.is_some() && is_recent(key.token, feed.sequence, message)
            });
        let Some((key, feed)) = owner else {
            return false;
        };
        feed.confirmed = now;
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
            self.drop_sending(attempt);
            return;
        };
        let renewing = feed.renewal.as_ref().map(|renewal| renewal.attempt) == Some(attempt);
        let open = answer.feed && answer.verdict == Verdict::Handled;
        match (renewing, open) {
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
        let moved = feed.server != renewal.server || feed.attempt.is_none();
        let old = feed.attempt.replace(renewal.attempt);
        feed.server = renewal.server;
        if let Some(old) = old {
            self.drop_sending(old);
        }
        let reason = if moved {
            Reason::FeedMoved
        } else {
            Reason::FeedRefreshed
        };
        self.note_flow(reason, slice, &key.flow);
        self.notify(now, slice, key, datagram);
        if moved {
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
        feed.failed.push(renewal.server);
        self.drop_sending(renewal.attempt);
        self.start_renewal(now, slice, key);
    }

    /// The server ended the registration. If it only refuses to go on, another
    /// server takes the feed and the caller need not know.
    fn handle_registration_end(&mut self, now: Instant, slice: id::Slice, key: &FeedKey, answer: Answer) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        if answer.verdict == Verdict::Refused {
            let attempt = feed.attempt.take();
            let server = feed.server.clone();
            feed.failed.push(server);
            let renewing = feed.renewal.is_some();
            if let Some(attempt) = attempt {
                self.drop_sending(attempt);
            }
            if !renewing {
                self.start_renewal(now, slice, key);
            }
            return;
        }
        self.end_feed_with_notice(now, slice, key, Some(answer.datagram), Reason::FeedEnded);
    }

    /// Tells the caller that the feed is over and forgets it.
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

    /// Registers the feed anew: at its own server if that is well, else elsewhere.
    pub(super) fn start_renewal(&mut self, now: Instant, slice: id::Slice, key: &FeedKey) {
        let Some(service) = self.service(&key.flow.service) else {
            return;
        };
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        let datagram = Bytes::copy_from_slice(&feed.datagram);
        let failed = feed.failed.clone();
        let own = feed.server.clone();
        let Some(server) = self.choose_feed_server(now, &service, &key.flow, &own, &failed) else {
            self.retry_or_end_feed(now, slice, key, &service);
            return;
        };
        let attempt = self.new_attempt();
        self.insert_sending(now, slice, key, attempt, &server);
        if let Some(feed) = self.feed(slice, key) {
            feed.renewal = Some(Box::new(Renewal {
                attempt,
                server: server.id.clone(),
                since: now,
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
        own: &id::Server,
        failed: &[id::Server],
    ) -> Option<Arc<Server>> {
        let keep = service
            .server(own)
            .filter(|server| !failed.contains(own) && server.state().takes_work(now));
        if let Some(server) = keep {
            return Some(Arc::clone(server));
        }
        let zone = &self.settings.zone;
        balance::choose(service, flow, Work::Feed, zone, failed, now, &mut self.rng)
    }

    /// No server takes the feed now: wait, and in the end tell the caller, who
    /// would otherwise wait for ever.
    fn retry_or_end_feed(&mut self, now: Instant, slice: id::Slice, key: &FeedKey, service: &Service) {
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        feed.failed.clear();
        let patience = service.profile.feed_silence() * LOST_AFTER_SILENCES;
        if now >= feed.heard + patience {
            self.end_feed_with_notice(now, slice, key, None, Reason::FeedLost);
            return;
        }
        self.schedule_feed_check(now + RETRY_WAIT, slice, key);
    }

    /// Looks after a feed whose time has come.
    pub(super) fn check_feed(&mut self, now: Instant, slice: id::Slice, key: &FeedKey) {
        let silence = self.feed_silence_limit(&key.flow.service);
        let tends = self.serves_feeds(slice);
        let service = self.service(&key.flow.service);
        let (true, Some(service)) = (tends, service) else {
            // Another looks after it, or nobody can for now. If that changes back,
            // its silence must be noticed again.
            if self.feed(slice, key).is_some_and(|feed| feed.due <= now) {
                self.schedule_feed_check(now + silence, slice, key);
            }
            return;
        };
        let Some(feed) = self.feed(slice, key) else {
            return;
        };
        if feed.due > now {
            return;
        }
        let timeout = service.profile.attempt_timeout();
        if let Some(renewal) = &feed.renewal {
            if now < renewal.since + timeout {
                let at = renewal.since + timeout;
                self.schedule_feed_check(at, slice, key);
                return;
            }
            let server = service.server(&renewal.server).map(Arc::clone);
            if let Some(server) = server {
                self.record_server_failure(now, &server);
            }
            self.fail_renewal(now, slice, key);
        } else if feed.attempt.is_none() || now >= feed.heard + silence {
            self.start_renewal(now, slice, key);
        } else {
            let at = feed.heard + silence;
            self.schedule_feed_check(at, slice, key);
        }
    }
}

/// Packs a feed for a peer.
pub(super) fn pack_feed(key: &FeedKey, feed: &Feed) -> peer::Feed {
    peer::Feed {
        flow: Some(peer::pack_flow(&key.flow)),
        token: peer::pack_number(key.token.0),
        server: feed.server.as_str().to_owned(),
        datagram: Bytes::copy_from_slice(&feed.datagram),
        sequence: feed.sequence,
    }
}

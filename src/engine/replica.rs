//! Replication between home and backup.
//!
//! Three rules guarantee that a non-idempotent request runs at most once whichever
//! processes or connections fail or are paused:
//!
//! 1. A home forwards a request only after its backup has acknowledged the claim.
//! 2. A backup stores every claim before it acknowledges it, and acknowledges
//!    none once it knows that it is home. The same worker stores the claims and
//!    applies the change of role, so no claim is missed in between.
//! 3. A new home never runs a request that was claimed before.
//!
//! A home that resumes after its backup took over can still forward the requests
//! whose claims were acknowledged before, which the new home will not run, and no
//! others.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use tokio::time::Instant;

use super::Engine;
use super::feed::pack_feed;
use crate::action::Action;
use crate::error::Result;
use crate::id;
use crate::peer;
use crate::reason::Reason;
use crate::record::Feed;
use crate::record::FeedKey;
use crate::record::Pending;
use crate::record::Phase;
use crate::record::Record;
use crate::record::Replica;
use crate::request::Flow;
use crate::request::Key;
use crate::request::Outcome;
use crate::request::Token;

/// Maximum number of unacknowledged steps that a copy sends at once: more would
/// overflow the receiver's socket buffer and have to be sent again.
const SEND_WINDOW: usize = 64;

/// Delay before a step is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(100);

/// Delay before a step is sent again to a backup that is not live.
const RESEND_SUSPECTED_AFTER: Duration = Duration::from_secs(1);

impl Engine {
    /// Claims a request at the backup; the request proceeds once the claim is
    /// acknowledged.
    pub(super) fn claim(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let has_no_backup = self
            .slices
            .get(&slice)
            .is_none_or(|state| state.replica.is_none());
        if has_no_backup {
            self.proceed_with_claim(now, slice, key);
            return;
        }
        self.emit_request(Reason::Claimed, slice, key);
        let record = self.record(slice, key);
        let age = record
            .map(|record| now - record.received_at)
            .unwrap_or_default();
        let item = peer::ReplicationItem::Claim(pack_claim(key, None, age));
        self.replicate(now, slice, item, Some(key.clone()));
    }

    /// Sends one step to the backup, if there is one.
    pub(super) fn replicate(
        &mut self,
        now: Instant,
        slice: id::Slice,
        item: peer::ReplicationItem,
        waiter: Option<Key>,
    ) {
        let number = self.next_step_number + 1;
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        let Some(replica) = &mut state.replica else {
            return;
        };
        self.next_step_number = number;
        self.slices_with_pending_steps.insert(slice);
        let pending = Pending {
            item: item.clone(),
            sent: Some(now),
            waiter,
        };
        replica.pending.insert(number, pending);
        let to = replica.holder.clone();
        let epoch = state.epoch;
        self.send_step(&to, slice, epoch, number, item);
    }

    fn send_step(
        &mut self,
        to: &id::Holder,
        slice: id::Slice,
        epoch: id::Epoch,
        number: u64,
        item: peer::ReplicationItem,
    ) {
        self.actions.push(Action::Peer {
            to: to.clone(),
            body: peer::PeerMessage::ReplicationStep(peer::ReplicationStep {
                slice: slice.0,
                epoch: epoch.0,
                number,
                item: Some(item),
            }),
        });
    }

    /// Sends steps that wait for room in the window, and resends those without an
    /// acknowledgement in time.
    pub(super) fn send_due_steps(&mut self, now: Instant) {
        let slices: Vec<id::Slice> = self.slices_with_pending_steps.iter().copied().collect();
        for slice in slices {
            self.send_due_steps_of(now, slice);
        }
    }

    fn send_due_steps_of(&mut self, now: Instant, slice: id::Slice) {
        let Some(state) = self.slices.get_mut(&slice) else {
            self.slices_with_pending_steps.remove(&slice);
            return;
        };
        let epoch = state.epoch;
        let Some(replica) = state.replica.as_mut().filter(|r| !r.pending.is_empty()) else {
            self.slices_with_pending_steps.remove(&slice);
            return;
        };
        let to = replica.holder.clone();
        let resend_delay = if self.membership.is_live(&to) {
            RESEND_AFTER
        } else {
            RESEND_SUSPECTED_AFTER
        };
        let mut due = Vec::new();
        for (number, pending) in replica.pending.iter_mut().take(SEND_WINDOW) {
            if pending.sent.is_none_or(|sent| now >= sent + resend_delay) {
                pending.sent = Some(now);
                due.push((*number, pending.item.clone()));
            }
        }
        for (number, item) in due {
            self.send_step(&to, slice, epoch, number, item);
        }
    }

    /// Starts the copy of slices to a new backup. From now on claims wait for its
    /// acknowledgements.
    pub(super) fn start_backup_copies(
        &mut self,
        now: Instant,
        slices: &[id::Slice],
        backup: &id::Holder,
    ) {
        for slice in slices {
            if self.table.row(*slice).is_home(&self.settings.me) {
                self.start_backup_copy(now, *slice, backup);
            }
        }
    }

    fn start_backup_copy(&mut self, now: Instant, slice: id::Slice, backup: &id::Holder) {
        let state = self.slices.entry(slice).or_default();
        if state
            .replica
            .as_ref()
            .is_some_and(|replica| replica.is_in_table)
        {
            return;
        }
        self.copy_slice(now, slice, backup, false);
    }

    /// Copies the whole slice to a backup. Claims wait for the backup from the
    /// first step on, so that no claim is known only here when the table names the
    /// backup.
    pub(super) fn copy_slice(
        &mut self,
        now: Instant,
        slice: id::Slice,
        backup: &id::Holder,
        is_in_table: bool,
    ) {
        let state = self.slices.entry(slice).or_default();
        let waiters = state
            .replica
            .take()
            .map(waiting_requests)
            .unwrap_or_default();
        let mut items = vec![peer::ReplicationItem::CopyStart(peer::CopyStart {})];
        let waiting: HashSet<&Key> = waiters.iter().collect();
        let to_copy = |(key, record): (&Key, &Record)| {
            let is_claim = record.kind.is_non_idempotent() && !waiting.contains(key);
            is_claim.then(|| key.clone())
        };
        let claims = sorted(state.records.iter().filter_map(to_copy));
        let claim = |key: &Key| {
            let record = state.records.get(key);
            let claimed_by = record.and_then(|record| record.claimed_by.as_ref());
            let age = record
                .map(|record| now - record.received_at)
                .unwrap_or_default();
            peer::ReplicationItem::Claim(pack_claim(key, claimed_by, age))
        };
        items.extend(claims.iter().map(claim));
        let feeds = state.feeds.iter();
        items.extend(feeds.map(|(key, feed)| peer::ReplicationItem::Feed(pack_feed(key, feed))));
        let mut pending = BTreeMap::new();
        for item in items {
            self.next_step_number += 1;
            let step = Pending {
                item,
                sent: None,
                waiter: None,
            };
            pending.insert(self.next_step_number, step);
        }
        state.replica = Some(Replica {
            holder: backup.clone(),
            is_in_table,
            complete: false,
            initial_copy_end: self.next_step_number,
            pending,
        });
        self.slices_with_pending_steps.insert(slice);
        for key in waiters {
            self.claim(now, slice, &key);
        }
        self.send_due_steps_of(now, slice);
    }

    /// Continues without a backup whose copy was in progress.
    pub(super) fn cancel_backup_copies(&mut self, now: Instant, slices: &[id::Slice]) {
        for slice in slices {
            let Some(state) = self.slices.get_mut(slice) else {
                continue;
            };
            if state.replica.as_ref().is_some_and(|r| !r.is_in_table) {
                self.drop_replica(now, *slice);
            }
        }
    }

    pub(super) fn drop_replica(&mut self, now: Instant, slice: id::Slice) {
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        let keys = state
            .replica
            .take()
            .map(waiting_requests)
            .unwrap_or_default();
        for key in keys {
            self.proceed_with_claim(now, slice, &key);
        }
    }

    pub(super) fn handle_peer_message(
        &mut self,
        now: Instant,
        from: id::Holder,
        body: peer::PeerMessage,
    ) {
        let result = match body {
            peer::PeerMessage::ReplicationStep(message) => self.store_step(now, &from, message),
            peer::PeerMessage::ReplicationAck(message) => {
                self.handle_step_ack(now, &from, &message);
                Ok(())
            }
            peer::PeerMessage::FinalOutcome(message) => self.store_outcome(message),
            peer::PeerMessage::FeedTransfer(message) => self.handle_feed_transfer(now, message),
            // The other messages are handled by the edge or the control task.
            _ => Ok(()),
        };
        if result.is_err() {
            self.emit(Reason::BadPeerMessage);
        }
    }

    /// As backup: stores one step and acknowledges it.
    fn store_step(
        &mut self,
        now: Instant,
        from: &id::Holder,
        message: peer::ReplicationStep,
    ) -> Result<()> {
        let slice = id::Slice(message.slice);
        let epoch = id::Epoch(message.epoch);
        if message.slice >= self.table.len() || !self.accepts_steps_from(slice, from, epoch) {
            return Ok(());
        }
        let state = self.slices.entry(slice).or_default();
        state.replicated_epoch = state.replicated_epoch.max(epoch);
        match message.item {
            Some(peer::ReplicationItem::Claim(claim)) => {
                let mut key = peer::unpack_key(claim.flow.as_ref(), &claim.id)?;
                self.intern_service_name(&mut key.flow);
                let claimed_by = match claim.claimer.as_str() {
                    "" => from.clone(),
                    claimer => claimer.parse()?,
                };
                // If the sender's clock stood still, the stated age is too small,
                // and the record is only kept for longer.
                let age = Duration::from_millis(claim.age_ms);
                let received_at = now.checked_sub(age).unwrap_or(now);
                self.store_claim(now, slice, key, Record::claimed(received_at, claimed_by));
            }
            Some(peer::ReplicationItem::Feed(feed)) => {
                let (mut key, mut feed) = unpack_feed(now, message.number, feed)?;
                self.intern_service_name(&mut key.flow);
                self.intern_server_name(&key.flow, &mut feed.server);
                self.remove_feed(slice, &key);
                self.insert_feed(slice, key, feed);
            }
            Some(peer::ReplicationItem::FeedEnd(end)) => {
                let flow = peer::unpack_flow(end.flow.as_ref())?;
                let token = Token(peer::unpack_number(&end.token)?);
                self.remove_feed(slice, &FeedKey { flow, token });
            }
            Some(peer::ReplicationItem::CopyStart(_)) => {
                self.drop_outdated_feeds(slice, message.number)
            }
            None => {}
        }
        self.actions.push(Action::Peer {
            to: from.clone(),
            body: peer::PeerMessage::ReplicationAck(peer::ReplicationAck {
                slice: message.slice,
                epoch: message.epoch,
                number: message.number,
            }),
        });
        Ok(())
    }

    /// Replaces a service's name by the configuration's own copy: hundreds of
    /// thousands of copies from messages would waste memory.
    fn intern_service_name(&self, flow: &mut Flow) {
        if let Some(service) = self.snapshot.services.get(&flow.service) {
            flow.service = service.id.clone();
        }
    }

    /// Replaces a server's name by the configuration's own copy, as for services.
    fn intern_server_name(&self, flow: &Flow, name: &mut id::Server) {
        let service = self.snapshot.services.get(&flow.service);
        if let Some(server) = service.and_then(|service| service.server(name)) {
            *name = server.id.clone();
        }
    }

    /// Whether a replication step of this sender may still be acknowledged.
    fn accepts_steps_from(&self, slice: id::Slice, from: &id::Holder, epoch: id::Epoch) -> bool {
        let row = self.table.row(slice);
        if row.is_home(&self.settings.me) || epoch < row.epoch {
            return false;
        }
        // At the row's own epoch the table names the home. At a greater epoch this
        // instance's table is outdated; the sender has read a newer one.
        if epoch == row.epoch && !row.is_home(from) {
            return false;
        }
        let state = self.slices.get(&slice);
        state.is_none_or(|state| epoch >= state.replicated_epoch)
    }

    fn store_claim(&mut self, now: Instant, slice: id::Slice, key: Key, claimed: Record) {
        let state = self.slices.entry(slice).or_default();
        if let Some(record) = state.records.get_mut(&key) {
            // A released request is claimed again by its next home.
            if record.phase == Phase::Claimed {
                record.claimed_by = claimed.claimed_by;
            }
            return;
        }
        state.records.insert(key.clone(), claimed);
        self.records += 1;
        self.schedule_record_expiry(now, slice, &key);
    }

    /// Drops copies of feeds that are older than the new copy of the slice. Claims
    /// never become outdated.
    fn drop_outdated_feeds(&mut self, slice: id::Slice, number: u64) {
        let Some(state) = self.slices.get(&slice) else {
            return;
        };
        let outdated = |(key, feed): (&FeedKey, &Feed)| {
            let is_outdated = feed.replication_step < number && feed.attempt.is_none();
            is_outdated.then(|| key.clone())
        };
        let keys: Vec<FeedKey> = state.feeds.iter().filter_map(outdated).collect();
        for key in keys {
            self.remove_feed(slice, &key);
        }
    }

    /// As home: the backup has stored a step.
    fn handle_step_ack(&mut self, now: Instant, from: &id::Holder, message: &peer::ReplicationAck) {
        let slice = id::Slice(message.slice);
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        let Some(replica) = state.replica.as_mut().filter(|r| r.holder == *from) else {
            return;
        };
        let Some(pending) = replica.pending.remove(&message.number) else {
            return;
        };
        let first = replica.pending.keys().next();
        let copy_acknowledged = first.is_none_or(|first| *first > replica.initial_copy_end);
        if copy_acknowledged && !replica.complete {
            replica.complete = true;
            let backup = replica.holder.clone();
            self.actions.push(Action::BackupSynced { slice, backup });
        } else if !copy_acknowledged {
            self.send_due_steps_of(now, slice);
        }
        if let Some(key) = pending.waiter {
            self.proceed_with_claim(now, slice, &key);
        }
    }

    fn store_outcome(&mut self, message: peer::FinalOutcome) -> Result<()> {
        let slice = id::Slice(message.slice);
        let key = peer::unpack_key(message.flow.as_ref(), &message.id)?;
        let token = Token(peer::unpack_number(&message.token)?);
        let Some(record) = self.record(slice, &key) else {
            return Ok(());
        };
        if record.phase != Phase::Claimed {
            return Ok(());
        }
        record.phase = Phase::Settled(Outcome::Answered(message.answer));
        record.token = token;
        Ok(())
    }

    fn handle_feed_transfer(&mut self, now: Instant, message: peer::FeedTransfer) -> Result<()> {
        if message.slice >= self.table.len() {
            return Ok(());
        }
        let feed = message.feed.unwrap_or_default();
        let (key, feed) = unpack_feed(now, 0, feed)?;
        self.adopt_feed(now, id::Slice(message.slice), key, feed);
        Ok(())
    }
}

/// Sorts keys, whose order must not depend on that of a hash map: the same events
/// must cause the same actions.
pub(super) fn sorted(keys: impl Iterator<Item = Key>) -> Vec<Key> {
    let mut keys: Vec<Key> = keys.collect();
    keys.sort();
    keys
}

/// Requests that wait for a replica's acknowledgements.
fn waiting_requests(replica: Replica) -> Vec<Key> {
    let pending = replica.pending.into_values();
    pending.filter_map(|pending| pending.waiter).collect()
}

fn pack_claim(key: &Key, claimed_by: Option<&id::Holder>, age: Duration) -> peer::Claim {
    peer::Claim {
        flow: Some(peer::pack_flow(&key.flow)),
        id: peer::pack_number(key.id.0),
        claimer: claimed_by.map(ToString::to_string).unwrap_or_default(),
        age_ms: age.as_millis() as u64,
    }
}

fn unpack_feed(now: Instant, replication_step: u64, feed: peer::Feed) -> Result<(FeedKey, Feed)> {
    let key = FeedKey {
        flow: peer::unpack_flow(feed.flow.as_ref())?,
        token: Token(peer::unpack_number(&feed.token)?),
    };
    let feed = Feed {
        datagram: feed.datagram.as_ref().into(),
        server: feed.server.parse()?,
        attempt: None,
        renewal: None,
        failed_servers: Vec::new(),
        sequence: feed.sequence,
        last_notification: now,
        last_confirmed: now,
        unconfirmed: 0,
        next_check: now,
        replication_step,
    };
    Ok((key, feed))
}

//! Transitions of this instance's roles: becoming home or backup of a slice, and
//! losing the role.

use std::sync::Arc;

use tokio::time::Instant;

use super::Engine;
use super::handover::RELEASE_AFTER;
use super::replica::sorted;
use crate::action::Action;
use crate::id;
use crate::peer;
use crate::peer::member::MembershipView;
use crate::reason::Reason;
use crate::record::IncomingRequest;
use crate::record::Pending;
use crate::record::Phase;
use crate::record::Record;
use crate::record::Role;
use crate::request::Key;
use crate::request::Outcome;
use crate::request::Request;
use crate::table::Row;
use crate::table::Table;

impl Engine {
    pub(super) fn update_membership(&mut self, now: Instant, members: Arc<MembershipView>) {
        let before = std::mem::replace(&mut self.membership, members);
        if before.live == self.membership.live {
            return;
        }
        let is_owned = |(slice, _): &(id::Slice, &Row)| self.owns(*slice);
        let slices: Vec<id::Slice> = self.table.rows().filter(is_owned).map(|(s, _)| s).collect();
        for slice in slices {
            self.review_feeds(now, slice);
        }
        self.retry_parked(now);
    }

    /// Takes over or hands back the feeds of a slice after the view or the row has
    /// changed.
    fn review_feeds(&mut self, now: Instant, slice: id::Slice) {
        let row = self.table.row(slice);
        if row.is_home(&self.settings.me) || !self.slices.contains_key(&slice) {
            return;
        }
        let is_backup = row.is_backup(&self.settings.me);
        match (self.serves_feeds(slice), is_backup) {
            (true, true) => self.take_over_copied_feeds(slice),
            (true, false) => {}
            (false, _) => self.hand_back_feeds(now, slice),
        }
    }

    pub(super) fn update_table(&mut self, now: Instant, table: Arc<Table>) {
        let before = std::mem::replace(&mut self.table, table);
        let rows: Vec<(id::Slice, Row)> = self
            .table
            .rows()
            .filter(|(slice, row)| self.owns(*slice) && before.get(*slice) != Some(row))
            .map(|(slice, row)| (slice, row.clone()))
            .collect();
        for (slice, row) in rows {
            let known = before.get(slice);
            let is_continuation = known.is_some_and(|known| row.continues(known));
            self.update_row(now, slice, row, is_continuation);
        }
        self.retry_parked(now);
    }

    fn update_row(&mut self, now: Instant, slice: id::Slice, row: Row, is_continuation: bool) {
        let state = self.slices.entry(slice).or_default();
        let before = std::mem::take(&mut state.role);
        state.epoch = row.epoch;
        // Every instance counts the lost-records window from when it first sees the
        // takeover, so that a planned move does not restart the window: each restart
        // would cost the callers another copy lifetime of unknown outcomes.
        let since = state
            .records_lost_since
            .filter(|_| is_continuation)
            .unwrap_or(now);
        state.records_lost_since = row.records_lost.then_some(since);
        if row.is_home(&self.settings.me) {
            state.role = Role::Home;
            if before != Role::Home {
                self.become_home(slice);
            }
            self.update_backup(now, slice, row.backup);
            return;
        }
        if row.is_backup(&self.settings.me) {
            state.role = Role::Backup;
        }
        if before == Role::Home {
            self.step_down(now, slice);
        } else {
            self.review_feeds(now, slice);
        }
    }

    fn become_home(&mut self, slice: id::Slice) {
        let state = self.slices.entry(slice).or_default();
        state.replica = None;
        self.take_over_copied_feeds(slice);
        self.emit(Reason::HomeGained);
    }

    /// Gives up the home role: requests that were not forwarded yet are handed over
    /// to the new home, those at a server are finished here.
    fn step_down(&mut self, now: Instant, slice: id::Slice) {
        self.emit(Reason::HomeLost);
        self.transfer_unreplicated_feeds(slice);
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        state.replica = None;
        let unforwarded = |(key, record): (&Key, &Record)| {
            matches!(record.phase, Phase::Claiming(_)).then(|| key.clone())
        };
        let keys = sorted(state.records.iter().filter_map(unforwarded));
        for key in keys {
            self.hand_over_request(now, slice, &key);
        }
        self.scheduled_releases
            .push_back((now + RELEASE_AFTER, slice));
    }

    /// Transfers feeds whose replication is not acknowledged: the new home, which
    /// was the backup, may not know a feed opened just now, and the feed would be
    /// dropped here without any instance continuing it.
    fn transfer_unreplicated_feeds(&mut self, slice: id::Slice) {
        let home = self.table.row(slice).home.clone();
        let replica = self.slices.get(&slice).and_then(|s| s.replica.as_ref());
        let (Some(home), Some(replica)) = (home, replica) else {
            return;
        };
        let feed = |pending: &Pending| match &pending.item {
            peer::ReplicationItem::Feed(feed) => Some(feed.clone()),
            _ => None,
        };
        for feed in replica.pending.values().filter_map(feed) {
            let body = peer::PeerMessage::FeedTransfer(peer::FeedTransfer {
                slice: slice.0,
                feed: Some(feed),
            });
            self.actions.push(Action::Peer {
                to: home.clone(),
                body,
            });
        }
    }

    fn hand_over_request(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let deadline = self.deadline(&key.flow.service);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        if now >= record.received_at + deadline {
            self.settle(now, slice, key, Outcome::Unknown, Reason::UnknownDeadline);
            return;
        }
        let received_at = record.received_at;
        let request = Request {
            flow: key.flow.clone(),
            id: key.id,
            token: record.token,
            kind: record.kind,
            confirmable: record.confirmable,
            block: record.block,
            datagram: record.datagram.clone(),
        };
        self.remove_open_record(slice, key);
        let row = self.table.row(slice);
        let home = row.home.clone().filter(|home| *home != self.settings.me);
        let Some(to) = home else {
            let incoming = IncomingRequest {
                request,
                hops: 0,
                received_at,
            };
            self.route_request(now, incoming);
            return;
        };
        let body = peer::PeerMessage::Relay(peer::Relay {
            flow: Some(peer::pack_flow(&request.flow)),
            datagram: request.datagram,
            hops: 1,
            released: true,
        });
        self.actions.push(Action::Peer { to, body });
    }

    fn remove_open_record(&mut self, slice: id::Slice, key: &Key) {
        self.decrement_in_progress(slice, key);
        self.remove_record(slice, key);
    }

    /// As home: applies the row's backup.
    fn update_backup(&mut self, now: Instant, slice: id::Slice, backup: Option<id::Holder>) {
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        let known = state.replica.as_mut();
        match (backup, known) {
            (None, Some(replica)) if replica.is_in_table => self.drop_replica(now, slice),
            (None, _) => {}
            (Some(backup), Some(replica)) if replica.holder == backup => {
                replica.is_in_table = true;
                self.emit(Reason::BackupJoined);
            }
            (Some(backup), _) => self.copy_slice(now, slice, &backup, true),
        }
    }
}

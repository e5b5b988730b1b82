//! Becoming home or backup of a slice, and ceasing to be.

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
    pub(super) fn take_members(&mut self, now: Instant, members: Arc<MembershipView>) {
        let before = std::mem::replace(&mut self.members, members);
        if before.live == self.members.live {
            return;
        }
        let mine = |(slice, _): &(id::Slice, &Row)| self.owns(*slice);
        let slices: Vec<id::Slice> = self.table.rows().filter(mine).map(|(s, _)| s).collect();
        for slice in slices {
            self.review(now, slice);
        }
        self.unpark(now);
    }

    /// Takes up or hands back the feeds of a slice after the view has changed.
    fn review(&mut self, now: Instant, slice: id::Slice) {
        let row = self.table.row(slice);
        if row.is_home(&self.settings.me) || !self.slices.contains_key(&slice) {
            return;
        }
        let backup = row.is_backup(&self.settings.me);
        match (self.tends(slice), backup) {
            (true, true) => self.activate_feeds(slice),
            (true, false) => {}
            (false, _) => self.return_feeds(now, slice),
        }
    }

    pub(super) fn take_table(&mut self, now: Instant, table: Arc<Table>) {
        let before = std::mem::replace(&mut self.table, table);
        let rows: Vec<(id::Slice, Row)> = self
            .table
            .rows()
            .filter(|(slice, row)| self.owns(*slice) && before.get(*slice) != Some(row))
            .map(|(slice, row)| (slice, row.clone()))
            .collect();
        for (slice, row) in rows {
            let known = before.get(slice);
            let continued = known.is_some_and(|known| row.continues(known));
            self.take_row(now, slice, row, continued);
        }
        self.unpark(now);
    }

    fn take_row(&mut self, now: Instant, slice: id::Slice, row: Row, continued: bool) {
        let state = self.slices.entry(slice).or_default();
        let before = std::mem::take(&mut state.role);
        state.epoch = row.epoch;
        // Every instance counts the window from when it first sees the takeover,
        // so that a planned move does not begin it anew: each one would cost the
        // callers another copy lifetime of unknown outcomes.
        let since = state
            .records_lost_since
            .filter(|_| continued)
            .unwrap_or(now);
        state.records_lost_since = row.records_lost.then_some(since);
        if row.is_home(&self.settings.me) {
            state.role = Role::Home;
            if before != Role::Home {
                self.become_home(slice);
            }
            self.take_backup(now, slice, row.backup);
            return;
        }
        if row.is_backup(&self.settings.me) {
            state.role = Role::Backup;
        }
        if before == Role::Home {
            self.step_down(now, slice);
        } else {
            self.review(now, slice);
        }
    }

    fn become_home(&mut self, slice: id::Slice) {
        let state = self.slices.entry(slice).or_default();
        state.replica = None;
        self.activate_feeds(slice);
        self.note(Reason::HomeGained);
    }

    /// Another instance is home: what was not forwarded yet goes there, what is at
    /// a server is finished here.
    fn step_down(&mut self, now: Instant, slice: id::Slice) {
        self.note(Reason::HomeLost);
        self.offer_unreplicated(slice);
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        state.replica = None;
        let waiting = |(key, record): (&Key, &Record)| {
            matches!(record.phase, Phase::Claiming(_)).then(|| key.clone())
        };
        let keys = sorted(state.records.iter().filter_map(waiting));
        for key in keys {
            self.pass_on(now, slice, &key);
        }
        self.releases.push_back((now + RELEASE_AFTER, slice));
    }

    /// A feed opened just now may be unknown to the new home, which was the backup:
    /// it would be dropped here without anybody going on with it.
    fn offer_unreplicated(&mut self, slice: id::Slice) {
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
            self.out.push(Action::Peer {
                to: home.clone(),
                body,
            });
        }
    }

    fn pass_on(&mut self, now: Instant, slice: id::Slice, key: &Key) {
        let deadline = self.deadline(&key.flow.service);
        let Some(record) = self.record(slice, key) else {
            return;
        };
        if now >= record.received_at + deadline {
            self.settle(now, slice, key, Outcome::Unknown, Reason::UnknownDeadline);
            return;
        }
        let since = record.received_at;
        let request = Request {
            flow: key.flow.clone(),
            id: key.id,
            token: record.token,
            kind: record.kind,
            confirmable: record.confirmable,
            block: record.block,
            datagram: record.datagram.clone(),
        };
        self.close_record(slice, key);
        let row = self.table.row(slice);
        let home = row.home.clone().filter(|home| *home != self.settings.me);
        let Some(to) = home else {
            let arrival = IncomingRequest {
                request,
                hops: 0,
                since,
            };
            self.settle_route(now, arrival);
            return;
        };
        let body = peer::PeerMessage::Relay(peer::Relay {
            flow: Some(peer::pack_flow(&request.flow)),
            datagram: request.datagram,
            hops: 1,
            released: true,
        });
        self.out.push(Action::Peer { to, body });
    }

    fn close_record(&mut self, slice: id::Slice, key: &Key) {
        self.close_account(slice, key);
        self.forget(slice, key);
    }

    /// As home: follows what the row says about the backup.
    fn take_backup(&mut self, now: Instant, slice: id::Slice, backup: Option<id::Holder>) {
        let Some(state) = self.slices.get_mut(&slice) else {
            return;
        };
        let known = state.replica.as_mut();
        match (backup, known) {
            (None, Some(replica)) if replica.is_in_table => self.drop_replica(now, slice),
            (None, _) => {}
            (Some(backup), Some(replica)) if replica.holder == backup => {
                replica.is_in_table = true;
                self.note(Reason::BackupJoined);
            }
            (Some(backup), _) => self.copy_all(now, slice, &backup, true),
        }
    }
}

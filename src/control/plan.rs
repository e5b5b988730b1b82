//! Planning: derives the next commands at each tick from the current state.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use super::BackupCopy;
use super::Command;
use super::SlicePlanner;
use crate::id;
use crate::peer::member::Member;
use crate::peer::member::MembershipView;
use crate::table::ROWS_PER_DOCUMENT;
use crate::table::Row;

/// Wait after the start before unassigned slices are taken, so that instances that
/// start at the same time share them.
const STARTUP_WAIT: Duration = Duration::from_secs(2);

/// Maximum number of concurrent copies to new backups; more would overload the link of
/// a small instance.
const MAX_CONCURRENT_COPIES: usize = 128;

/// Time without a heartbeat after which a peer without a registration is removed.
const PEER_RETENTION: Duration = Duration::from_secs(600);

/// How long a backup is not chosen again after a copy to it was cancelled. This is far
/// longer than a worker's report about the copy can stay unread.
const CANCELLED_BACKUP_COOLDOWN: Duration = Duration::from_secs(10);

/// Maximum number of slices that move to less loaded instances at the same time.
const MAX_CONCURRENT_MOVES: usize = 16;

/// Time between two takeover requests to the same backups.
const TAKEOVER_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Longest copy lifetime that a profile may state.
const MAX_COPY_LIFETIME: Duration = Duration::from_secs(600);

/// Number of slices per live instance.
type SliceCounts = BTreeMap<id::Holder, SliceCount>;

/// Number of slices of one instance.
#[derive(Clone, Debug)]
struct SliceCount {
    zone: id::Zone,
    homes: u32,
    backups: u32,
}

impl SlicePlanner {
    /// Updates the state for the time `now` and returns the commands to execute.
    pub fn tick(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        self.exclude_pause(now);
        self.takeover_requests.retain(|_, until| now < *until);
        self.cancelled_copies.retain(|_, (_, until)| now < *until);
        self.remove_old_peers(now);
        self.track_registrations(now);
        self.publish_view(now, &mut commands);
        if self.table_changed {
            self.table_changed = false;
            commands.push(Command::Table(Arc::new(self.table.clone())));
        }
        let counts = self.slice_counts(now);
        self.cancel_copies(now, &mut commands);
        self.cancel_obsolete_moves(&counts);
        if !self.is_platform_silent {
            self.write_documents(now, &counts, &mut commands);
            self.start_copies(now, &counts, &mut commands);
        }
        self.request_takeovers(now, &counts, &mut commands);
        commands
    }

    /// Excludes time in which this process did not run from the peers' silence. Otherwise
    /// all peers would appear dead at once and lose their slices.
    fn exclude_pause(&mut self, now: Instant) {
        let last_tick = self.last_tick.replace(now).unwrap_or(now);
        let pause = now.saturating_duration_since(last_tick);
        if pause < self.settings.suspect_after / 2 {
            return;
        }
        for heartbeat in self.last_heartbeats.values_mut() {
            heartbeat.received_at = (heartbeat.received_at + pause).min(now);
        }
        // Holders without a registration may have had one during the pause.
        self.unregistered_since.clear();
    }

    /// Removes peers that have been gone for long; otherwise heartbeats would be sent
    /// forever to each instance name ever used.
    fn remove_old_peers(&mut self, now: Instant) {
        let registered = &self.registered;
        self.last_heartbeats.retain(|name, heartbeat| {
            now < heartbeat.received_at + PEER_RETENTION || registered.contains_key(name)
        });
    }

    /// Sends the membership view to the workers if it has changed.
    fn publish_view(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let mut view = MembershipView {
            authority_until: self
                .last_listed_at
                .map(|listed| listed + self.settings.isolation_limit),
            ..MembershipView::default()
        };
        view.live.insert(self.settings.me.clone());
        for (member, _) in self.peers() {
            if self.is_live(now, &member.holder) {
                view.live.insert(member.holder.clone());
            }
            view.known.insert(member.holder.instance.clone(), member);
        }
        let has_same_members = view.live == self.view.live && view.known == self.view.known;
        if has_same_members && view.authority_until == self.view.authority_until {
            return;
        }
        self.view = Arc::new(view);
        commands.push(Command::Membership(Arc::clone(&self.view)));
    }

    /// Tracks since when each holder has had no registration.
    fn track_registrations(&mut self, now: Instant) {
        if self.is_platform_silent {
            return;
        }
        let holders: HashSet<&id::Holder> = self
            .table
            .rows()
            .flat_map(|(_, row)| row.home.iter().chain(&row.backup))
            .collect();
        let absent = |holder: &&id::Holder| {
            let known = self.registered.get(&holder.instance);
            known.is_none_or(|known| known.holder != **holder)
        };
        let absent: HashSet<id::Holder> = holders.into_iter().filter(absent).cloned().collect();
        self.unregistered_since
            .retain(|holder, _| absent.contains(holder));
        for holder in absent {
            self.unregistered_since.entry(holder).or_insert(now);
        }
    }

    /// Whether a holder is presumed dead. Shortly after the start of this instance, missing
    /// heartbeats indicate nothing, since none may have arrived yet.
    fn is_dead(&self, now: Instant, holder: &id::Holder) -> bool {
        if self.is_live(now, holder) {
            return false;
        }
        let is_newer_known = self
            .last_heartbeats
            .get(&holder.instance)
            .is_some_and(|heartbeat| heartbeat.member.holder.incarnation > holder.incarnation);
        is_newer_known || now >= self.started + self.settings.suspect_after * 2
    }

    /// Whether the holder has certainly stopped acting: it has had no registration for so
    /// long that its authority has expired by its own clock.
    fn has_certainly_stopped(&self, now: Instant, holder: &id::Holder) -> bool {
        let since = self.unregistered_since.get(holder);
        since.is_some_and(|since| now >= *since + self.settings.recordless_takeover_wait)
            && self.is_dead(now, holder)
    }

    fn is_leaving_member(&self, holder: &id::Holder) -> bool {
        if *holder == self.settings.me {
            return self.leaving;
        }
        let heartbeat = self.last_heartbeats.get(&holder.instance);
        heartbeat
            .is_some_and(|heartbeat| heartbeat.member.holder == *holder && heartbeat.member.leaving)
    }

    /// Number of slices of each live instance that is not leaving.
    fn slice_counts(&self, now: Instant) -> SliceCounts {
        let mut counts = SliceCounts::new();
        let me = Member {
            holder: self.settings.me.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.address,
            leaving: self.leaving,
        };
        let others = self.peers().into_iter().map(|(member, _)| member);
        for member in others.chain([me]) {
            if !self.is_live(now, &member.holder) || self.is_leaving_member(&member.holder) {
                continue;
            }
            let count = SliceCount {
                zone: member.zone,
                homes: 0,
                backups: 0,
            };
            counts.insert(member.holder, count);
        }
        for (_, row) in self.table.rows() {
            if let Some(count) = row.home.as_ref().and_then(|home| counts.get_mut(home)) {
                count.homes += 1;
            }
            if let Some(count) = row.backup.as_ref().and_then(|b| counts.get_mut(b)) {
                count.backups += 1;
            }
        }
        for copy in self.backup_copies.values() {
            if let Some(count) = counts.get_mut(&copy.backup) {
                count.backups += 1;
            }
        }
        counts
    }

    /// Cancels copies to instances that are dead or leaving, unless a write that names them
    /// as backup may still take effect: then the home must keep waiting for them.
    fn cancel_copies(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let mut slices = Vec::new();
        for (slice, copy) in &self.backup_copies {
            let state = &self.documents[(slice.0 / ROWS_PER_DOCUMENT) as usize];
            let is_unavailable =
                !self.is_live(now, &copy.backup) || self.is_leaving_member(&copy.backup);
            if is_unavailable && state.pending_write.is_none() && state.unresolved_write.is_none() {
                slices.push(*slice);
            }
        }
        for slice in &slices {
            // The worker may already have reported this copy as complete. If the report
            // were attributed to a later copy to the same backup, the table would name
            // that backup although it lacks the claims made in between.
            if let Some(copy) = self.backup_copies.remove(slice) {
                let until = now + CANCELLED_BACKUP_COOLDOWN;
                self.cancelled_copies.insert(*slice, (copy.backup, until));
            }
            self.migration_targets.remove(slice);
        }
        if !slices.is_empty() {
            commands.push(Command::CancelBackup(slices));
        }
    }

    /// Writes the rows that must change, with at most one write per document in progress.
    fn write_documents(&mut self, now: Instant, counts: &SliceCounts, commands: &mut Vec<Command>) {
        for document in 0..self.documents.len() as u32 {
            let state = &self.documents[document as usize];
            if state.pending_write.is_some() {
                continue;
            }
            let first = document * ROWS_PER_DOCUMENT;
            let last = (first + ROWS_PER_DOCUMENT).min(self.table.len());
            let changes: Vec<(id::Slice, Row)> = (first..last)
                .filter_map(|slice| {
                    let slice = id::Slice(slice);
                    Some((slice, self.next_row(now, slice, counts)?))
                })
                .collect();
            // Any later write resolves a write with unknown result.
            let must_resolve =
                state.unresolved_write == Some(state.version) && state.version.is_some();
            if changes.is_empty() && !must_resolve && !state.is_outdated {
                continue;
            }
            let expected = state.version;
            let mut rows: Vec<Row> = (first..last)
                .map(|slice| self.table.row(id::Slice(slice)).clone())
                .collect();
            for (slice, row) in &changes {
                rows[(slice.0 - first) as usize] = row.clone();
            }
            self.documents[document as usize].pending_write = Some(changes);
            commands.push(Command::Write {
                document,
                expected,
                rows,
            });
        }
    }

    /// The row that should replace the current row of the slice, if any.
    fn next_row(&self, now: Instant, slice: id::Slice, counts: &SliceCounts) -> Option<Row> {
        let row = self.table.row(slice);
        let me = &self.settings.me;
        let Some(home) = &row.home else {
            return self.take_unassigned(now, slice, row, counts);
        };
        if home == me {
            return self.change_backup(now, slice, row, counts);
        }
        if row.is_backup(me) {
            return self.promote(now, slice, row, home);
        }
        self.take_without_records(now, slice, row, home, counts)
    }

    /// The row that makes this instance home of the slice.
    fn successor(&self, row: &Row) -> Row {
        Row {
            epoch: id::Epoch(row.epoch.0 + 1),
            home: Some(self.settings.me.clone()),
            backup: None,
            records_lost: row.records_lost,
        }
    }

    /// If the slice is unassigned: takes it if this instance is the preferred home.
    fn take_unassigned(
        &self,
        now: Instant,
        slice: id::Slice,
        row: &Row,
        counts: &SliceCounts,
    ) -> Option<Row> {
        let has_waited = now >= self.started + STARTUP_WAIT;
        let takes_slice = has_waited && self.is_preferred_home(slice, counts);
        takes_slice.then(|| self.successor(row))
    }

    /// Whether rendezvous hashing prefers this instance for a slice among the instances
    /// that are live and not leaving.
    fn is_preferred_home(&self, slice: id::Slice, counts: &SliceCounts) -> bool {
        let weight = |holder: &&id::Holder| {
            let mut hasher = SipHasher13::new();
            slice.0.hash(&mut hasher);
            holder.instance.as_str().hash(&mut hasher);
            hasher.finish()
        };
        counts.keys().max_by_key(weight) == Some(&self.settings.me)
    }

    /// If this instance is home: removes a backup that is dead, leaving or in the way of a
    /// move, and names the new backup once its copy is complete.
    fn change_backup(
        &self,
        now: Instant,
        slice: id::Slice,
        row: &Row,
        counts: &SliceCounts,
    ) -> Option<Row> {
        let new_row = |backup: Option<id::Holder>| Row {
            epoch: id::Epoch(row.epoch.0 + 1),
            backup,
            records_lost: row.records_lost && self.may_miss_records(now, slice),
            ..row.clone()
        };
        let Some(backup) = &row.backup else {
            let copy = self
                .backup_copies
                .get(&slice)
                .filter(|copy| copy.is_complete);
            return copy.map(|copy| new_row(Some(copy.backup.clone())));
        };
        let target = self.migration_targets.get(&slice);
        let blocks_move = target.is_some_and(|target| target != backup);
        let is_needlessly_local =
            self.backup_copies.is_empty() && self.is_needlessly_local(slice, backup, counts);
        if self.is_dead(now, backup)
            || self.is_leaving_member(backup)
            || blocks_move
            || is_needlessly_local
        {
            return Some(new_row(None));
        }
        // Instances that start later would begin the lost-records window again if the flag
        // stayed in the row.
        let has_expired = row.records_lost && !self.may_miss_records(now, slice);
        has_expired.then(|| new_row(Some(backup.clone())))
    }

    /// Whether a backup is in this zone although another zone has an instance. This happens
    /// when the backup was the only known peer at the start of the fleet.
    ///
    /// Instances in cooldown don't count. Otherwise the local backup would be removed and
    /// chosen again, with a row written each time, until the cooldown ends.
    fn is_needlessly_local(
        &self,
        slice: id::Slice,
        backup: &id::Holder,
        counts: &SliceCounts,
    ) -> bool {
        let is_other_zone = |(holder, count): (&id::Holder, &SliceCount)| {
            count.zone != self.settings.zone && !self.is_in_cooldown(slice, holder)
        };
        let count = counts.get(backup);
        let is_local = count.is_some_and(|count| count.zone == self.settings.zone);
        is_local && counts.iter().any(is_other_zone)
    }

    /// Whether copies of requests whose records were lost may still arrive.
    fn may_miss_records(&self, now: Instant, slice: id::Slice) -> bool {
        let since = self.records_lost_since.get(&slice);
        since.is_none_or(|since| now < *since + MAX_COPY_LIFETIME)
    }

    /// If this instance is backup: takes over from a home that is dead or requests it.
    fn promote(&self, now: Instant, slice: id::Slice, row: &Row, home: &id::Holder) -> Option<Row> {
        // A leaving backup takes over too: it has the only records left and copies them to
        // another instance before it stops. Otherwise they would be lost.
        let is_requested = self.takeover_requests.contains_key(&slice);
        let takes_slice = is_requested || self.is_dead(now, home);
        takes_slice.then(|| self.successor(row))
    }

    /// If this instance is neither home nor backup: takes over a slice without its records
    /// once no other instance can act for it.
    fn take_without_records(
        &self,
        now: Instant,
        slice: id::Slice,
        row: &Row,
        home: &id::Holder,
        counts: &SliceCounts,
    ) -> Option<Row> {
        if self.leaving {
            return None;
        }
        let backup = row.backup.as_ref();
        let new_row = Row {
            records_lost: true,
            ..self.successor(row)
        };
        // An earlier incarnation of this instance has certainly ended, and its records are
        // lost; a live backup has a copy and takes over itself.
        let is_own_instance = home.instance == self.settings.me.instance;
        let backup_dead = backup.is_none_or(|backup| self.is_dead(now, backup));
        if is_own_instance && backup_dead {
            return Some(new_row);
        }
        let have_stopped = self.has_certainly_stopped(now, home)
            && backup.is_none_or(|b| self.has_certainly_stopped(now, b));
        (have_stopped && self.is_preferred_home(slice, counts)).then_some(new_row)
    }

    /// Starts copies to new backups for this instance's slices without a backup.
    fn start_copies(&mut self, now: Instant, counts: &SliceCounts, commands: &mut Vec<Command>) {
        let mut counts = counts.clone();
        let mut chosen: BTreeMap<id::Holder, Vec<id::Slice>> = BTreeMap::new();
        for (slice, row) in self.table.rows() {
            if self.backup_copies.len() + chosen.len() >= MAX_CONCURRENT_COPIES {
                break;
            }
            let needs_backup = row.is_home(&self.settings.me) && row.backup.is_none();
            if !needs_backup || self.backup_copies.contains_key(&slice) {
                continue;
            }
            let target = self.migration_targets.get(&slice);
            let target = target
                .filter(|target| self.is_live(now, target) && !self.is_in_cooldown(slice, target))
                .cloned();
            let Some(backup) = target.or_else(|| self.choose_backup(slice, &counts)) else {
                continue;
            };
            if let Some(count) = counts.get_mut(&backup) {
                count.backups += 1;
            }
            chosen.entry(backup).or_default().push(slice);
        }
        for (backup, slices) in chosen {
            for slice in &slices {
                let copy = BackupCopy {
                    backup: backup.clone(),
                    is_complete: false,
                };
                self.backup_copies.insert(*slice, copy);
            }
            commands.push(Command::AddBackup { slices, backup });
        }
    }

    /// Chooses a backup: preferably in another availability zone, so that the failure of one
    /// zone does not affect both home and backup, then by the fewest slices.
    fn choose_backup(&self, slice: id::Slice, counts: &SliceCounts) -> Option<id::Holder> {
        let others = counts
            .iter()
            .filter(|(holder, _)| holder.instance != self.settings.me.instance)
            .filter(|(holder, _)| !self.is_in_cooldown(slice, holder));
        let best = others.min_by_key(|(holder, count)| {
            let is_same_zone = count.zone == self.settings.zone;
            let mut hasher = SipHasher13::new();
            slice.0.hash(&mut hasher);
            holder.instance.as_str().hash(&mut hasher);
            (is_same_zone, count.homes + count.backups, hasher.finish())
        });
        best.map(|(holder, _)| holder.clone())
    }

    /// Whether a copy of the slice to this holder was cancelled recently.
    fn is_in_cooldown(&self, slice: id::Slice, holder: &id::Holder) -> bool {
        let cancelled = self.cancelled_copies.get(&slice);
        cancelled.is_some_and(|(backup, _)| backup == holder)
    }

    /// Asks backups to take slices over: all slices when this instance is leaving, otherwise
    /// those that move to an instance with fewer slices.
    fn request_takeovers(
        &mut self,
        now: Instant,
        counts: &SliceCounts,
        commands: &mut Vec<Command>,
    ) {
        if !self.leaving {
            self.plan_moves(counts);
        }
        let mut requests: BTreeMap<id::Holder, Vec<id::Slice>> = BTreeMap::new();
        for (slice, row) in self.table.rows() {
            let Some(backup) = row
                .backup
                .as_ref()
                .filter(|_| row.is_home(&self.settings.me))
            else {
                continue;
            };
            let is_move = self.migration_targets.get(&slice) == Some(backup);
            let is_available = self.is_live(now, backup) && !self.is_leaving_member(backup);
            if (self.leaving || is_move) && is_available {
                requests.entry(backup.clone()).or_default().push(slice);
            }
        }
        let was_recent = self
            .last_takeover_request
            .is_some_and(|at| now < at + TAKEOVER_REQUEST_INTERVAL);
        if was_recent || requests.is_empty() {
            return;
        }
        self.last_takeover_request = Some(now);
        for (to, slices) in requests {
            commands.push(Command::RequestTakeover { to, slices });
        }
    }

    /// Cancels moves whose targets are gone, and moves within the zone once another zone
    /// has an instance.
    ///
    /// A move that starts during a network partition has its target in the same zone as
    /// the home. Once the other zones are reachable again, such a target is not acceptable
    /// as backup: as long as it stayed the target, it would be copied to, named in the
    /// table and removed again, about fifteen times a second.
    fn cancel_obsolete_moves(&mut self, counts: &SliceCounts) {
        let mut targets = std::mem::take(&mut self.migration_targets);
        targets.retain(|slice, target| {
            counts.contains_key(target) && !self.is_needlessly_local(*slice, target, counts)
        });
        self.migration_targets = targets;
    }

    /// Selects slices to move to the instance that has the fewest.
    fn plan_moves(&mut self, counts: &SliceCounts) {
        let Some(own_homes) = counts.get(&self.settings.me).map(|count| count.homes) else {
            return;
        };
        let total: u32 = counts.values().map(|count| count.homes).sum();
        let mean = total / counts.len().max(1) as u32;
        let slack = (mean / 10).max(1);
        let Some((target, count)) = self.least_loaded(counts) else {
            return;
        };
        // An instance in this zone may have too few slices while those of the other zones
        // have their share. It gets slices through instances of other zones, which may
        // exceed their share for a while.
        let has_too_few = |count: &SliceCount| count.homes + slack <= mean;
        let is_needed = counts.values().any(has_too_few);
        if own_homes <= mean + slack || !is_needed || count.homes > mean + slack {
            return;
        }
        let surplus = (own_homes - mean) as usize;
        let room = MAX_CONCURRENT_MOVES
            .min(surplus)
            .saturating_sub(self.migration_targets.len());
        let is_movable = |(slice, row): &(id::Slice, &Row)| {
            row.is_home(&self.settings.me) && !self.migration_targets.contains_key(slice)
        };
        let mut slices: Vec<_> = self.table.rows().filter(is_movable).collect();
        // Slices that already have the target as backup need no change of backup first.
        slices.sort_by_key(|(_, row)| row.backup.as_ref() != Some(target));
        let slices: Vec<id::Slice> = slices
            .into_iter()
            .take(room)
            .map(|(slice, _)| slice)
            .collect();
        for slice in slices {
            self.migration_targets.insert(slice, target.clone());
        }
    }

    /// The instance with the fewest slices, in another zone if there is one. The future
    /// home is the backup first. If it were in the same zone, a failure of that zone
    /// during the move would affect home and backup together.
    fn least_loaded<'a>(
        &self,
        counts: &'a SliceCounts,
    ) -> Option<(&'a id::Holder, &'a SliceCount)> {
        let is_other_zone =
            |(_, count): &(&id::Holder, &SliceCount)| count.zone != self.settings.zone;
        let others = counts.iter().filter(is_other_zone);
        let smallest = others.min_by_key(|(_, count)| count.homes);
        smallest.or_else(|| counts.iter().min_by_key(|(_, count)| count.homes))
    }
}

//! What to do next, worked out anew at each tick from what is known.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use tokio::time::Instant;

use super::Command;
use super::Joining;
use super::SlicePlanner;
use crate::id;
use crate::peer::member::Member;
use crate::peer::member::MembershipView;
use crate::table::ROWS_PER_DOCUMENT;
use crate::table::Row;

/// Wait after the start before free slices are taken, so that instances that
/// start together share them.
const SETTLE: Duration = Duration::from_secs(2);

/// Copies to new backups at a time: more would swamp a small instance's link.
const MAX_JOINING: usize = 128;

/// Silence after which a peer without a registration is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// How long a backup is passed over after a copy to it was given up; far longer
/// than a worker's word waits to be read.
const PASS_OVER: Duration = Duration::from_secs(10);

/// Slices on their way to a less loaded instance at a time.
const MAX_MIGRATING: usize = 16;

/// Time between two requests to the same backups to take slices over.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Longest copy lifetime that a profile may state.
const LONGEST_COPY_LIFETIME: Duration = Duration::from_secs(600);

/// Slices held by each live instance.
type Shares = BTreeMap<id::Holder, Share>;

#[derive(Clone, Debug)]
struct Share {
    zone: id::Zone,
    homes: u32,
    backups: u32,
}

impl SlicePlanner {
    /// Looks at everything and says what to do.
    pub fn tick(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        self.watch_pause(now);
        self.yielded.retain(|_, until| now < *until);
        self.abandoned.retain(|_, (_, until)| now < *until);
        self.forget_peers(now);
        self.watch_registrations(now);
        self.offer_view(now, &mut commands);
        if self.table_changed {
            self.table_changed = false;
            commands.push(Command::Table(Arc::new(self.table.clone())));
        }
        let shares = self.shares(now);
        self.abandon(now, &mut commands);
        self.end_moves(&shares);
        if !self.silent {
            self.write(now, &shares, &mut commands);
            self.join(now, &shares, &mut commands);
        }
        self.hand_over(now, &shares, &mut commands);
        commands
    }

    /// Time in which this process did not run is no silence of the others: they
    /// would all look dead at once, and their slices be taken from them.
    fn watch_pause(&mut self, now: Instant) {
        let ticked = self.ticked.replace(now).unwrap_or(now);
        let pause = now.saturating_duration_since(ticked);
        if pause < self.settings.suspect_after / 2 {
            return;
        }
        for heard in self.heard.values_mut() {
            heard.at = (heard.at + pause).min(now);
        }
        // Whoever was absent before may have been there meanwhile.
        self.gone.clear();
    }

    /// Forgets peers that have gone for good: each new name would else be sent
    /// heartbeats for ever.
    fn forget_peers(&mut self, now: Instant) {
        let registered = &self.registered;
        self.heard
            .retain(|name, heard| now < heard.at + FORGET_AFTER || registered.contains_key(name));
    }

    fn offer_view(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let mut view = MembershipView {
            authority_until: self
                .listed_at
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
        let same = view.live == self.view.live && view.known == self.view.known;
        if same && view.authority_until == self.view.authority_until {
            return;
        }
        self.view = Arc::new(view);
        commands.push(Command::Membership(Arc::clone(&self.view)));
    }

    /// Keeps since when each holder has had no registration.
    fn watch_registrations(&mut self, now: Instant) {
        if self.silent {
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
        self.gone.retain(|holder, _| absent.contains(holder));
        for holder in absent {
            self.gone.entry(holder).or_insert(now);
        }
    }

    /// Whether a holder is taken to be gone. Early in this instance's life nobody
    /// was heard yet, and silence means nothing.
    fn is_dead(&self, now: Instant, holder: &id::Holder) -> bool {
        if self.is_live(now, holder) {
            return false;
        }
        let newer = self
            .heard
            .get(&holder.instance)
            .is_some_and(|heard| heard.member.holder.incarnation > holder.incarnation);
        newer || now >= self.started + self.settings.suspect_after * 2
    }

    /// Whether nobody who could still act for the holder is left: it has had no
    /// registration for so long that it has stopped by its own clock.
    fn is_gone(&self, now: Instant, holder: &id::Holder) -> bool {
        let since = self.gone.get(holder);
        since.is_some_and(|since| now >= *since + self.settings.recordless_takeover_wait)
            && self.is_dead(now, holder)
    }

    fn is_leaving_member(&self, holder: &id::Holder) -> bool {
        if *holder == self.settings.me {
            return self.leaving;
        }
        let heard = self.heard.get(&holder.instance);
        heard.is_some_and(|heard| heard.member.holder == *holder && heard.member.leaving)
    }

    /// What each live instance that stays holds.
    fn shares(&self, now: Instant) -> Shares {
        let mut shares = Shares::new();
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
            let share = Share {
                zone: member.zone,
                homes: 0,
                backups: 0,
            };
            shares.insert(member.holder, share);
        }
        for (_, row) in self.table.rows() {
            if let Some(share) = row.home.as_ref().and_then(|home| shares.get_mut(home)) {
                share.homes += 1;
            }
            if let Some(share) = row.backup.as_ref().and_then(|b| shares.get_mut(b)) {
                share.backups += 1;
            }
        }
        for joining in self.joining.values() {
            if let Some(share) = shares.get_mut(&joining.backup) {
                share.backups += 1;
            }
        }
        shares
    }

    /// Gives up copies to instances that are gone, unless a write that names them
    /// may still take effect: then the home must go on waiting for them.
    fn abandon(&mut self, now: Instant, commands: &mut Vec<Command>) {
        let mut slices = Vec::new();
        for (slice, joining) in &self.joining {
            let part = &self.parts[(slice.0 / ROWS_PER_DOCUMENT) as usize];
            let dead =
                !self.is_live(now, &joining.backup) || self.is_leaving_member(&joining.backup);
            if dead && part.writing.is_none() && part.uncertain.is_none() {
                slices.push(*slice);
            }
        }
        for slice in &slices {
            // The worker may have told already that this copy is complete. Taken for
            // a later copy to the same backup, that would name it in the table while
            // it lacks the claims made in between.
            if let Some(joining) = self.joining.remove(slice) {
                let until = now + PASS_OVER;
                self.abandoned.insert(*slice, (joining.backup, until));
            }
            self.migrating.remove(slice);
        }
        if !slices.is_empty() {
            commands.push(Command::CancelBackup(slices));
        }
    }

    /// Writes the rows that must change, one write a document at a time.
    fn write(&mut self, now: Instant, shares: &Shares, commands: &mut Vec<Command>) {
        for document in 0..self.parts.len() as u32 {
            let part = &self.parts[document as usize];
            if part.writing.is_some() {
                continue;
            }
            let first = document * ROWS_PER_DOCUMENT;
            let last = (first + ROWS_PER_DOCUMENT).min(self.table.len());
            let changes: Vec<(id::Slice, Row)> = (first..last)
                .filter_map(|slice| {
                    let slice = id::Slice(slice);
                    Some((slice, self.next_row(now, slice, shares)?))
                })
                .collect();
            // A write whose fate is unknown is settled by any later one.
            let settle = part.uncertain == Some(part.version) && part.version.is_some();
            if changes.is_empty() && !settle {
                continue;
            }
            let expected = part.version;
            let mut rows: Vec<Row> = (first..last)
                .map(|slice| self.table.row(id::Slice(slice)).clone())
                .collect();
            for (slice, row) in &changes {
                rows[(slice.0 - first) as usize] = row.clone();
            }
            self.parts[document as usize].writing = Some(changes);
            commands.push(Command::Write {
                document,
                expected,
                rows,
            });
        }
    }

    /// The row that should replace the slice's present one, if any.
    fn next_row(&self, now: Instant, slice: id::Slice, shares: &Shares) -> Option<Row> {
        let row = self.table.row(slice);
        let me = &self.settings.me;
        let Some(home) = &row.home else {
            return self.take_free(now, slice, row, shares);
        };
        if home == me {
            return self.change_backup(now, slice, row, shares);
        }
        if row.is_backup(me) {
            return self.promote(now, slice, row, home);
        }
        self.take_blank(now, slice, row, home, shares)
    }

    fn successor(&self, row: &Row) -> Row {
        Row {
            epoch: id::Epoch(row.epoch.0 + 1),
            home: Some(self.settings.me.clone()),
            backup: None,
            records_lost: row.records_lost,
        }
    }

    fn take_free(&self, now: Instant, slice: id::Slice, row: &Row, shares: &Shares) -> Option<Row> {
        let settled = now >= self.started + SETTLE;
        let mine = settled && self.is_chosen(slice, shares);
        mine.then(|| self.successor(row))
    }

    /// Whether this instance is first for a slice among those that stay.
    fn is_chosen(&self, slice: id::Slice, shares: &Shares) -> bool {
        let weight = |holder: &&id::Holder| {
            let mut hasher = SipHasher13::new();
            slice.0.hash(&mut hasher);
            holder.instance.as_str().hash(&mut hasher);
            hasher.finish()
        };
        shares.keys().max_by_key(weight) == Some(&self.settings.me)
    }

    /// As home: drops a backup that is gone, leaves, or makes room for a move, and
    /// names the one that has everything.
    fn change_backup(
        &self,
        now: Instant,
        slice: id::Slice,
        row: &Row,
        shares: &Shares,
    ) -> Option<Row> {
        let with = |backup: Option<id::Holder>| Row {
            epoch: id::Epoch(row.epoch.0 + 1),
            backup,
            records_lost: row.records_lost && self.is_blank(now, slice),
            ..row.clone()
        };
        let Some(backup) = &row.backup else {
            let joining = self.joining.get(&slice).filter(|joining| joining.complete);
            return joining.map(|joining| with(Some(joining.backup.clone())));
        };
        let target = self.migrating.get(&slice);
        let wrong = target.is_some_and(|target| target != backup);
        let near = self.joining.is_empty() && self.is_too_near(slice, backup, shares);
        if self.is_dead(now, backup) || self.is_leaving_member(backup) || wrong || near {
            return Some(with(None));
        }
        // A mark that stays would start the window at instances that come later.
        let over = row.records_lost && !self.is_blank(now, slice);
        over.then(|| with(Some(backup.clone())))
    }

    /// Whether a backup is in this zone although another zone has an instance: at
    /// the start of the fleet it may have been the only one that was heard.
    ///
    /// One that cannot be taken now is no other: the near backup would be dropped and
    /// taken again, a row each time, until it can be.
    fn is_too_near(&self, slice: id::Slice, backup: &id::Holder, shares: &Shares) -> bool {
        let is_far = |(holder, share): (&id::Holder, &Share)| {
            share.zone != self.settings.zone && !self.is_passed_over(slice, holder)
        };
        let share = shares.get(backup);
        let is_near = share.is_some_and(|share| share.zone == self.settings.zone);
        is_near && shares.iter().any(is_far)
    }

    fn is_blank(&self, now: Instant, slice: id::Slice) -> bool {
        let since = self.blank_since.get(&slice);
        since.is_none_or(|since| now < *since + LONGEST_COPY_LIFETIME)
    }

    /// As backup: takes over from a home that is gone or asks for it.
    fn promote(&self, now: Instant, slice: id::Slice, row: &Row, home: &id::Holder) -> Option<Row> {
        // A backup that is leaving takes over too: it has the only records, which
        // would be lost with it, and hands them to another before it stops.
        let asked = self.yielded.contains_key(&slice);
        let take = asked || self.is_dead(now, home);
        take.then(|| self.successor(row))
    }

    /// As neither: takes a slice without its records once nobody can act for it.
    fn take_blank(
        &self,
        now: Instant,
        slice: id::Slice,
        row: &Row,
        home: &id::Holder,
        shares: &Shares,
    ) -> Option<Row> {
        if self.leaving {
            return None;
        }
        let backup = row.backup.as_ref();
        let blank = Row {
            records_lost: true,
            ..self.successor(row)
        };
        // An earlier life of this very instance is gone for sure, and its
        // records with it; a backup that lives has them and takes over itself.
        let earlier = home.instance == self.settings.me.instance;
        let backup_dead = backup.is_none_or(|backup| self.is_dead(now, backup));
        if earlier && backup_dead {
            return Some(blank);
        }
        let gone = self.is_gone(now, home) && backup.is_none_or(|b| self.is_gone(now, b));
        (gone && self.is_chosen(slice, shares)).then_some(blank)
    }

    /// Starts copies to new backups for slices that have none.
    fn join(&mut self, now: Instant, shares: &Shares, commands: &mut Vec<Command>) {
        let mut shares = shares.clone();
        let mut chosen: BTreeMap<id::Holder, Vec<id::Slice>> = BTreeMap::new();
        for (slice, row) in self.table.rows() {
            if self.joining.len() + chosen.len() >= MAX_JOINING {
                break;
            }
            let alone = row.is_home(&self.settings.me) && row.backup.is_none();
            if !alone || self.joining.contains_key(&slice) {
                continue;
            }
            let target = self.migrating.get(&slice);
            let target = target
                .filter(|target| self.is_live(now, target) && !self.is_passed_over(slice, target))
                .cloned();
            let Some(backup) = target.or_else(|| self.candidate(slice, &shares)) else {
                continue;
            };
            if let Some(share) = shares.get_mut(&backup) {
                share.backups += 1;
            }
            chosen.entry(backup).or_default().push(slice);
        }
        for (backup, slices) in chosen {
            for slice in &slices {
                let joining = Joining {
                    backup: backup.clone(),
                    complete: false,
                };
                self.joining.insert(*slice, joining);
            }
            commands.push(Command::AddBackup { slices, backup });
        }
    }

    /// The best backup: in another availability zone, so that losing one zone
    /// never loses both, and with the fewest slices.
    fn candidate(&self, slice: id::Slice, shares: &Shares) -> Option<id::Holder> {
        let others = shares
            .iter()
            .filter(|(holder, _)| holder.instance != self.settings.me.instance)
            .filter(|(holder, _)| !self.is_passed_over(slice, holder));
        let best = others.min_by_key(|(holder, share)| {
            let near = share.zone == self.settings.zone;
            let mut hasher = SipHasher13::new();
            slice.0.hash(&mut hasher);
            holder.instance.as_str().hash(&mut hasher);
            (near, share.homes + share.backups, hasher.finish())
        });
        best.map(|(holder, _)| holder.clone())
    }

    fn is_passed_over(&self, slice: id::Slice, holder: &id::Holder) -> bool {
        let given_up = self.abandoned.get(&slice);
        given_up.is_some_and(|(backup, _)| backup == holder)
    }

    /// Asks backups to take slices over: all when leaving, else those that an
    /// instance with fewer slices should have.
    fn hand_over(&mut self, now: Instant, shares: &Shares, commands: &mut Vec<Command>) {
        if !self.leaving {
            self.level(shares);
        }
        let mut asked: BTreeMap<id::Holder, Vec<id::Slice>> = BTreeMap::new();
        for (slice, row) in self.table.rows() {
            let Some(backup) = row
                .backup
                .as_ref()
                .filter(|_| row.is_home(&self.settings.me))
            else {
                continue;
            };
            let moved = self.migrating.get(&slice) == Some(backup);
            let able = self.is_live(now, backup) && !self.is_leaving_member(backup);
            if (self.leaving || moved) && able {
                asked.entry(backup.clone()).or_default().push(slice);
            }
        }
        let recent = self.asked.is_some_and(|at| now < at + ASK_EVERY);
        if recent || asked.is_empty() {
            return;
        }
        self.asked = Some(now);
        for (to, slices) in asked {
            commands.push(Command::RequestTakeover { to, slices });
        }
    }

    /// Ends moves whose targets are gone, and moves within the zone once there is
    /// another.
    ///
    /// A move that begins while a zone is cut off has its target beside the home. When
    /// the other zones are back, that one is too near to be backup and was joined, named
    /// and dropped fifteen times a second for as long as it stayed the target.
    fn end_moves(&mut self, shares: &Shares) {
        let mut migrating = std::mem::take(&mut self.migrating);
        migrating.retain(|slice, target| {
            shares.contains_key(target) && !self.is_too_near(*slice, target, shares)
        });
        self.migrating = migrating;
    }

    /// Picks slices to move to the instance that has the fewest.
    fn level(&mut self, shares: &Shares) {
        let Some(mine) = shares.get(&self.settings.me).map(|share| share.homes) else {
            return;
        };
        let total: u32 = shares.values().map(|share| share.homes).sum();
        let mean = total / shares.len().max(1) as u32;
        let slack = (mean / 10).max(1);
        let Some((least, share)) = self.least_loaded(shares) else {
            return;
        };
        // One in this zone may be short while the other zones have their share. It
        // gets its own by way of them, so they may go over it for a while.
        let short = |share: &Share| share.homes + slack <= mean;
        let needed = shares.values().any(short);
        if mine <= mean + slack || !needed || share.homes > mean + slack {
            return;
        }
        let surplus = (mine - mean) as usize;
        let room = MAX_MIGRATING
            .min(surplus)
            .saturating_sub(self.migrating.len());
        let free = |(slice, row): &(id::Slice, &Row)| {
            row.is_home(&self.settings.me) && !self.migrating.contains_key(slice)
        };
        let mut slices: Vec<_> = self.table.rows().filter(free).collect();
        // Those that it backs already need no other backup in between.
        slices.sort_by_key(|(_, row)| row.backup.as_ref() != Some(least));
        let slices: Vec<id::Slice> = slices
            .into_iter()
            .take(room)
            .map(|(slice, _)| slice)
            .collect();
        for slice in slices {
            self.migrating.insert(slice, least.clone());
        }
    }

    /// The instance with the fewest slices, of another zone if there is one. Whoever
    /// is to become home is the backup first; in the same zone, a cut of that zone
    /// in between would take home and backup together.
    fn least_loaded<'a>(&self, shares: &'a Shares) -> Option<(&'a id::Holder, &'a Share)> {
        let far = |(_, share): &(&id::Holder, &Share)| share.zone != self.settings.zone;
        let others = shares.iter().filter(far);
        let least = others.min_by_key(|(_, share)| share.homes);
        least.or_else(|| shares.iter().min_by_key(|(_, share)| share.homes))
    }
}

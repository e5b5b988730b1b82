//! Selects the upstream to follow and decides when to leave it.

use std::net::SocketAddrV4;
use std::time::Duration;

use futures::future;
use futures::future::Either;
use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use crate::platform::poll::Batch;
use crate::replica::Member;
use crate::replica::Update;
use crate::replica::board::TELL_EVERY;
use crate::replica::follow::End;
use crate::replica::follow::Follower;
use crate::replica::follow::Presence;
use crate::replica::publish::HEARTBEAT;
use crate::replica::store;
use crate::replica::subscribe;
use crate::replica::subscribe::Report;
use crate::replica::subscribe::Subscription;
use crate::replica::tree;

/// Pause before an upstream that failed is tried again.
const REST: Duration = Duration::from_secs(2);

/// The same pause while the store is unreachable: an upstream that was restarted has no
/// copy and gets it from subscribers that return to it.
const REST_AWAY: Duration = Duration::from_millis(500);

/// Maximum number of times a pause is doubled: an upstream that was cut off for long is
/// tried again at most 16 s after it has recovered.
const MOST_DOUBLINGS: u32 = 3;

/// State of an upstream that failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rest {
    /// When it may be tried again.
    until: Instant,
    failures: u32,
}

/// Pause before a nearer upstream that failed is tried again while a higher one serves.
/// The nearer one may be gone, and each attempt delays the updates of the present one.
const MOVE_REST: Duration = Duration::from_secs(5);

/// Heads probe the store at this share of the age at which other instances do: 0.3 s of
/// 2 s earlier, in which even a slow store responds.
const HEADS_PROBE_AT: f64 = 0.85;

/// Time within which an upstream reports the return of the store: its own pause between
/// two attempts, at most a second, plus one call.
const TELLS_WITHIN: Duration = Duration::from_millis(1_300);

/// Reason for leaving an upstream whose copy grows old while the store responds here.
const NO_CONTACT: &str = "no contact with the store";

/// Reason for leaving a fallback upstream, which is not above this instance.
const DETOUR_OVER: &str = "the store answers here again";

/// Events while an upstream is followed.
enum Event {
    Heard(crate::Result<Report>),
    Tell,
    Probed(crate::Result<Batch>),
}

/// Time limit for a subscription and the complete copy that comes with it. At the
/// planned size, a copy of 4 MB is compressed to half a megabyte, which a 10 Mbit/s
/// link transfers in half a second. After the limit, the store is asked.
const COPY_PATIENCE: Duration = Duration::from_secs(4);

impl Follower {
    /// The nearest upstream that is not in cooldown; `None` before the first copy.
    pub(super) fn candidate(&mut self) -> Option<SocketAddrV4> {
        self.shared.horizon()?;
        let above = self.above();
        let nearest = above.into_iter().find(|address| self.may_try(address));
        nearest.or_else(|| self.bystander())
    }

    /// A fallback upstream, for when the store does not respond here and no instance
    /// above is usable.
    ///
    /// The first instance of a zone has no instance above it. Without a fallback, when
    /// the store refused only this instance, its copy stayed outdated for as long, and so
    /// did the copies of any instances refused together with it.
    fn bystander(&mut self) -> Option<SocketAddrV4> {
        if !self.is_store_away() {
            return None;
        }
        let members: Vec<Member> = self.members.values().cloned().collect();
        let me = &self.sources.me;
        let others = tree::bystanders(&me.instance, &me.zone, &members);
        let mut others = others.into_iter().map(|member| member.address);
        others.find(|address| self.may_try(address))
    }

    /// Addresses of the instances to follow, the best first.
    pub(super) fn above(&mut self) -> Vec<SocketAddrV4> {
        if let Some(above) = &self.above {
            return above.clone();
        }
        let members: Vec<Member> = self.members.values().cloned().collect();
        let above = tree::candidates(&self.sources.me.instance, &self.sources.me.zone, &members);
        let above: Vec<SocketAddrV4> = above.iter().map(|member| member.address).collect();
        self.above = Some(above.clone());
        above
    }

    /// Puts an upstream in cooldown, which doubles with each failure.
    fn rest(&mut self, peer: SocketAddrV4, first: Duration) {
        let failures = self.resting.get(&peer).map_or(0, |rest| rest.failures);
        let pause = first * (1 << failures.min(MOST_DOUBLINGS));
        let rest = Rest {
            until: Instant::now() + pause,
            failures: failures + 1,
        };
        self.resting.insert(peer, rest);
    }

    fn may_try(&self, address: &SocketAddrV4) -> bool {
        let now = Instant::now();
        self.resting
            .get(address)
            .is_none_or(|rest| now >= rest.until)
    }

    /// Follows an upstream until it fails, or its copy grows old while the store responds
    /// here.
    ///
    /// In either case the store is asked next, at once: other upstreams may be cut off
    /// together with this one, and each attempt would make the copy older.
    pub(super) async fn subscribe(&mut self, peer: SocketAddrV4) -> Result<(), End> {
        let is_above = self.above().contains(&peer);
        let Some(subscription) = self.enter(peer, is_above).await? else {
            return self.leave(is_above).await;
        };
        let (last, reason) = self.attend(subscription, peer).await?;
        self.set_detour(false);
        let pause = match self.is_store_away() {
            true => REST_AWAY,
            false => REST,
        };
        self.rest(last, pause);
        warn!(self.sources.log, "upstream lost"; "peer" => %last, "reason" => reason);
        self.sender.send(Update::Source { upstream: None }).await?;
        self.catch_up().await
    }

    /// Subscribes to an instance; returns `None` if its copy is of no use here.
    async fn enter(
        &mut self,
        peer: SocketAddrV4,
        is_above: bool,
    ) -> Result<Option<Subscription>, End> {
        self.rest(peer, REST);
        let (subscription, first) = match self.join(peer).await {
            Ok(joined) => joined,
            Err(error) => {
                warn!(self.sources.log, "upstream not reached"; "error" => %error);
                return Ok(None);
            }
        };
        // While the store is unreachable for all instances, an upstream above with an old
        // copy is good enough, since it will report the store's return. One without any
        // copy would keep the remaining instances of the zone waiting for nothing.
        let is_enough = is_above && first.age.is_some() && self.is_store_away();
        let is_news = is_above || self.is_newer(&first);
        let is_worth_it = is_enough || is_news && self.is_useful(&first);
        if !is_worth_it {
            return Ok(None);
        }
        self.take(first).await?;
        self.tell_source(peer).await?;
        self.set_detour(!is_above);
        self.resting.remove(&peer);
        Ok(Some(subscription))
    }

    /// Applies the updates of an upstream for as long as it is useful, and moves to
    /// better upstreams meanwhile. Returns the last upstream and the reason for leaving
    /// it.
    async fn attend(
        &mut self,
        mut subscription: Subscription,
        mut peer: SocketAddrV4,
    ) -> Result<(SocketAddrV4, String), End> {
        let mut has_told = false;
        let mut tell_at = Instant::now();
        let mut probe = Either::Left(future::pending());
        let mut is_probing = false;
        loop {
            if !is_probing && self.is_probe_due() && !self.is_store_away() {
                probe = Either::Right(Box::pin(self.probe_store()));
                is_probing = true;
            }
            let event = tokio::select! {
                next = subscription.next() => Event::Heard(next),
                () = time::sleep_until(tell_at) => Event::Tell,
                probed = &mut probe, if is_probing => Event::Probed(probed),
            };
            match event {
                Event::Heard(Ok(report)) => {
                    self.take(report).await?;
                    // Otherwise two instances that fell back to each other would stay together
                    // forever.
                    if self.detour_ends.is_some() && self.is_old() {
                        return Ok((peer, NO_CONTACT.to_owned()));
                    }
                }
                Event::Heard(Err(error)) => return Ok((peer, error.to_string())),
                Event::Tell => {
                    tell_at = Instant::now() + TELL_EVERY;
                    if let Err(error) = self.tell(&mut subscription, &mut has_told).await {
                        return Ok((peer, error.to_string()));
                    }
                }
                Event::Probed(probed) => {
                    probe = Either::Left(future::pending());
                    is_probing = false;
                    if self.take_probe(probed).await? {
                        let reason = match self.detour_ends {
                            Some(_) => DETOUR_OVER,
                            None => NO_CONTACT,
                        };
                        return Ok((peer, reason.to_owned()));
                    }
                    if matches!(self.presence, Presence::Away(_))
                        && let Some(moved) = self.move_to_any(peer).await?
                    {
                        (peer, subscription) = moved;
                    }
                }
            }
            if let Some(nearer) = self.nearer(peer)
                && let Some(moved) = self.move_to(nearer).await?
            {
                (peer, subscription) = (nearer, moved);
            }
        }
    }

    /// Called after an attempt to follow an instance that was of no use. The store is
    /// asked next, unless it is known not to respond and other fallback upstreams may
    /// remain.
    async fn leave(&mut self, was_above: bool) -> Result<(), End> {
        if was_above || !self.is_store_away() {
            return self.catch_up().await;
        }
        Ok(())
    }

    fn set_detour(&mut self, is_detour: bool) {
        self.detour_ends = is_detour.then(|| Instant::now() + self.probe_pause);
        self.shared.set_detour(is_detour);
    }

    /// Polls the store for changes of servers while an upstream is followed. The large
    /// value is excluded: on a slow link, its versions would delay the response for
    /// seconds.
    fn probe_store(&self) -> impl Future<Output = crate::Result<Batch>> + Send + use<> {
        let reader = self.sources.reader.clone();
        let small = self.sources.keys.small;
        let horizon = self.shared.horizon().unwrap_or_default();
        async move { reader.poll(small, horizon, Duration::ZERO).await }
    }

    /// Heads probe a little earlier than other instances, which turn to a head that has
    /// contact with the store when they have none. On a fallback upstream, the store is
    /// probed from time to time even if the copy is young, so that the fallback ends.
    fn is_probe_due(&mut self) -> bool {
        if self.detour_ends.is_some_and(|end| Instant::now() >= end) {
            return true;
        }
        let is_head = self.above().len() < tree::HEADS;
        let share = if is_head { HEADS_PROBE_AT } else { 1.0 };
        let due = self.sources.pace.most_age.mul_f64(share);
        let age = self.shared.age(Instant::now());
        age.is_none_or(|age| age > due)
    }

    /// Applies the result of a probe; returns whether the upstream should be left because
    /// the store responds here but not there.
    async fn take_probe(&mut self, probed: crate::Result<Batch>) -> Result<bool, End> {
        let is_upstream_old = self.is_probe_due();
        match probed {
            Ok(batch) => {
                let horizon = self.shared.horizon().unwrap_or_default();
                self.take_batch(batch, horizon).await?;
                Ok(is_upstream_old && !self.is_just_back())
            }
            Err(error) => {
                self.fail(&error).await?;
                self.detour_ends = self.detour_ends.map(|_| Instant::now() + self.probe_pause);
                // A store that has dropped the history does respond.
                Ok(is_upstream_old && store::needs_listing(&error))
            }
        }
    }

    /// Whether this is the first response after an outage. The upstream, which polls
    /// about once a second, is about to report the store's return itself; if it does not,
    /// the store is probed again.
    fn is_just_back(&mut self) -> bool {
        let is_just_back = matches!(self.presence, Presence::Away(_));
        if is_just_back {
            self.presence = Presence::Back(Instant::now() + TELLS_WITHIN);
        }
        is_just_back
    }

    /// Moves to any other instance above that had contact with the store recently.
    async fn move_to_any(
        &mut self,
        peer: SocketAddrV4,
    ) -> Result<Option<(SocketAddrV4, Subscription)>, End> {
        for other in self.above() {
            if other == peer || !self.may_try(&other) {
                continue;
            }
            if let Some(moved) = self.move_to(other).await? {
                return Ok(Some((other, moved)));
            }
        }
        Ok(None)
    }

    /// Reports request outcomes to the upstream while there are failures, and once more
    /// after the last failure has expired.
    async fn tell(
        &self,
        subscription: &mut Subscription,
        has_told: &mut bool,
    ) -> crate::Result<()> {
        let remarks = self.shared.board.upward(Instant::now());
        let has_remarks = !remarks.remarks.is_empty();
        if has_remarks || *has_told {
            subscription.tell(&remarks).await?;
        }
        *has_told = has_remarks;
        Ok(())
    }

    /// Subscribes, and waits for all changes that the upstream has and this instance
    /// lacks.
    async fn join(&self, peer: SocketAddrV4) -> crate::Result<(Subscription, Report)> {
        let me = &self.sources.me;
        let (horizon, bases) = (self.shared.horizon(), self.shared.bases());
        let joining = async {
            let joined = Subscription::join(peer, me, horizon, bases).await;
            let (mut subscription, first) = joined?;
            let first = subscription.complete(first).await?;
            Ok((subscription, first))
        };
        let joined = time::timeout(COPY_PATIENCE, joining).await;
        joined.unwrap_or_else(|_| Err(subscribe::lost(peer, "no copy in time")))
    }

    pub(super) fn is_fresh(&self, report: &Report) -> bool {
        report.age.is_some_and(|age| age < self.sources.pace.fresh)
    }

    /// Whether an upstream that sends this update is worth a subscription. An upstream
    /// that itself follows a fallback is of use only to instances that cannot reach the
    /// store either: two instances that follow each other would both take the other's age
    /// for contact with the store.
    fn is_useful(&self, report: &Report) -> bool {
        self.is_fresh(report) && (!report.is_detour || self.is_store_away())
    }

    /// Whether an update shows a later contact with the store than this instance's own.
    /// An instance that follows this one reports this one's contact back, slightly older.
    fn is_newer(&self, report: &Report) -> bool {
        let own = self.shared.age(Instant::now()).unwrap_or(Duration::MAX);
        report.age.is_some_and(|age| age + HEARTBEAT < own)
    }

    async fn tell_source(&mut self, peer: SocketAddrV4) -> Result<(), End> {
        let member = self.members.values().find(|m| m.address == peer);
        let upstream = member.map(|member| member.instance.clone());
        Ok(self.sender.send(Update::Source { upstream }).await?)
    }

    /// A better upstream than the present one, if any.
    ///
    /// An instance that starts together with many others finds its place taken, or its
    /// upstream not running yet, and subscribes higher up. If it stayed there, the first
    /// instance of the zone would fill up with subscribers of others and refuse its own,
    /// which would then each ask the store for everything.
    fn nearer(&mut self, peer: SocketAddrV4) -> Option<SocketAddrV4> {
        let above = self.above();
        let mut nearer = above.into_iter().take_while(|address| *address != peer);
        nearer.find(|address| self.may_try(address))
    }

    /// Subscribes to a nearer instance; the present subscription is kept until this
    /// succeeds.
    async fn move_to(&mut self, nearer: SocketAddrV4) -> Result<Option<Subscription>, End> {
        self.rest(nearer, MOVE_REST);
        match self.join(nearer).await {
            Ok((subscription, first)) if self.is_useful(&first) => {
                self.take(first).await?;
                self.tell_source(nearer).await?;
                self.set_detour(false);
                self.resting.remove(&nearer);
                Ok(Some(subscription))
            }
            Ok(_) => Ok(None),
            Err(error) => {
                info!(self.sources.log, "nearer upstream not reached"; "error" => %error);
                Ok(None)
            }
        }
    }
}

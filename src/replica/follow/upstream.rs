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
use crate::replica::first_copy;
use crate::replica::follow::FollowEnd;
use crate::replica::follow::Follower;
use crate::replica::follow::MAX_RETRY_PAUSE;
use crate::replica::follow::StoreState;
use crate::replica::outcome::OUTCOME_REPORT_INTERVAL;
use crate::replica::publish::HEARTBEAT_INTERVAL;
use crate::replica::store;
use crate::replica::subscribe;
use crate::replica::subscribe::Subscription;
use crate::replica::subscribe::UpstreamUpdate;
use crate::replica::tree;

/// Pause before an upstream that failed is tried again.
const COOLDOWN: Duration = Duration::from_secs(2);

/// [`COOLDOWN`] while the store is unreachable: an upstream that was restarted has no copy
/// and gets one from subscribers that return to it.
const COOLDOWN_WHILE_UNREACHABLE: Duration = Duration::from_millis(500);

/// Maximum number of times a pause is doubled: an upstream that was cut off for long is
/// tried again at most 16 s after it has recovered.
const MAX_DOUBLINGS: u32 = 3;

/// State of an upstream that failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cooldown {
    /// When it may be tried again.
    until: Instant,
    failures: u32,
}

/// Pause before a nearer upstream that failed is tried again while a higher one serves.
/// The nearer one may be gone, and each attempt delays the updates of the present one.
const MOVE_COOLDOWN: Duration = Duration::from_secs(5);

/// Heads probe the store at this share of the age at which other instances do. With an
/// age of 2 s that is 0.3 s earlier, a time in which even a slow store responds.
const HEAD_PROBE_SHARE: f64 = 0.85;

/// Time within which an upstream reports the return of the store: its own pause between
/// two attempts, at most a second, plus one call.
pub(super) const RECOVERY_REPORT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Reason for leaving an upstream whose copy grows old while the store responds here.
const NO_CONTACT: &str = "no contact with the store";

/// Reason for leaving a fallback upstream, which is not above this instance.
const FALLBACK_OVER: &str = "the store answers here again";

/// Events while an upstream is followed.
enum Event {
    Received(crate::Result<UpstreamUpdate>),
    ReportDue,
    Probed(crate::Result<Batch>),
}

/// Time limit for a subscription and the complete copy that comes with it. At the
/// planned size, a copy of 4 MB is compressed to half a megabyte, which a 10 Mbit/s
/// link transfers in half a second. After the limit, the store is asked.
const COPY_TIMEOUT: Duration = Duration::from_secs(4);

impl Follower {
    /// The nearest upstream that is not in cooldown; `None` before the first copy.
    pub(super) fn candidate(&mut self) -> Option<SocketAddrV4> {
        self.shared.synced_revision()?;
        let upstreams = self.upstreams();
        let nearest = upstreams.into_iter().find(|address| self.may_try(address));
        nearest.or_else(|| self.fallback_candidate())
    }

    /// A fallback upstream, for when the store does not respond here and no instance
    /// above is usable.
    ///
    /// The first instance of a zone has no instance above it. Without a fallback, when
    /// the store refused only this instance, its copy stayed outdated for as long, and so
    /// did the copies of any instances refused together with it.
    fn fallback_candidate(&mut self) -> Option<SocketAddrV4> {
        if !self.is_store_unreachable() {
            return None;
        }
        let members: Vec<Member> = self.members.values().cloned().collect();
        let me = &self.sources.me;
        let others = tree::fallback_candidates(&me.instance, &me.zone, &members);
        let mut others = others.into_iter().map(|member| member.address);
        others.find(|address| self.may_try(address))
    }

    /// Addresses of the instances to follow, the best first.
    pub(super) fn upstreams(&mut self) -> Vec<SocketAddrV4> {
        if let Some(upstreams) = &self.upstreams {
            return upstreams.clone();
        }
        let members: Vec<Member> = self.members.values().cloned().collect();
        let upstreams =
            tree::candidates(&self.sources.me.instance, &self.sources.me.zone, &members);
        let upstreams: Vec<SocketAddrV4> = upstreams.iter().map(|member| member.address).collect();
        self.upstreams = Some(upstreams.clone());
        upstreams
    }

    /// Puts an upstream in cooldown, which doubles with each failure.
    fn start_cooldown(&mut self, peer: SocketAddrV4, first: Duration) {
        let failures = self
            .cooldowns
            .get(&peer)
            .map_or(0, |cooldown| cooldown.failures);
        let pause = first * (1 << failures.min(MAX_DOUBLINGS));
        let cooldown = Cooldown {
            until: Instant::now() + pause,
            failures: failures + 1,
        };
        self.cooldowns.insert(peer, cooldown);
    }

    fn may_try(&self, address: &SocketAddrV4) -> bool {
        let now = Instant::now();
        self.cooldowns
            .get(address)
            .is_none_or(|cooldown| now >= cooldown.until)
    }

    /// Follows an upstream until it fails, or its copy grows old while the store responds
    /// here.
    ///
    /// In either case the store is asked next, at once: other upstreams may be cut off
    /// together with this one, and each attempt would make the copy older.
    pub(super) async fn subscribe(&mut self, peer: SocketAddrV4) -> Result<(), FollowEnd> {
        let is_above = self.upstreams().contains(&peer);
        let Some(subscription) = self.try_subscribe(peer, is_above).await? else {
            return self.handle_failed_attempt(is_above).await;
        };
        let (last, reason) = self.follow_upstream(subscription, peer).await?;
        self.set_on_fallback(false);
        let pause = match self.is_store_unreachable() {
            true => COOLDOWN_WHILE_UNREACHABLE,
            false => COOLDOWN,
        };
        self.start_cooldown(last, pause);
        warn!(self.sources.log, "upstream lost"; "peer" => %last, "reason" => reason);
        self.sender
            .send(Update::UpstreamChanged { upstream: None })
            .await?;
        self.catch_up().await
    }

    /// Subscribes to an instance; returns `None` if its copy is of no use here.
    async fn try_subscribe(
        &mut self,
        peer: SocketAddrV4,
        is_above: bool,
    ) -> Result<Option<Subscription>, FollowEnd> {
        self.start_cooldown(peer, COOLDOWN);
        let (subscription, first) = match self.open_subscription(peer).await {
            Ok(opened) => opened,
            Err(error) => {
                warn!(self.sources.log, "upstream not reached"; "error" => %error);
                return Ok(None);
            }
        };
        // While the store is unreachable for all instances, an upstream above with an old
        // copy is good enough, since it will report the store's return. One without any
        // copy would keep the remaining instances of the zone waiting for nothing.
        let is_acceptable = is_above && first.age.is_some() && self.is_store_unreachable();
        let is_better = is_above || self.is_newer(&first);
        let is_useful_here = is_acceptable || is_better && self.is_useful(&first);
        if !is_useful_here {
            return Ok(None);
        }
        self.apply_update(first).await?;
        self.report_upstream(peer).await?;
        self.set_on_fallback(!is_above);
        self.cooldowns.remove(&peer);
        Ok(Some(subscription))
    }

    /// Applies the updates of an upstream for as long as it is useful, and moves to
    /// better upstreams meanwhile. Returns the last upstream and the reason for leaving
    /// it.
    async fn follow_upstream(
        &mut self,
        mut subscription: Subscription,
        mut peer: SocketAddrV4,
    ) -> Result<(SocketAddrV4, String), FollowEnd> {
        let mut has_reported = false;
        let mut report_at = Instant::now();
        let mut probe = Either::Left(future::pending());
        let mut is_probing = false;
        let mut probed_at = Instant::now();
        loop {
            if !is_probing && self.is_probe_due() && !self.is_store_unreachable() {
                probe = Either::Right(Box::pin(self.probe_store()));
                is_probing = true;
                probed_at = Instant::now();
            }
            let event = tokio::select! {
                next = subscription.next_update() => Event::Received(next),
                () = time::sleep_until(report_at) => Event::ReportDue,
                probed = &mut probe, if is_probing => Event::Probed(probed),
            };
            match event {
                Event::Received(Ok(update)) => {
                    self.apply_update(update).await?;
                    // Otherwise two instances that fell back to each other would stay together
                    // forever.
                    if self.next_fallback_probe.is_some() && self.is_copy_old() {
                        return Ok((peer, NO_CONTACT.to_owned()));
                    }
                }
                Event::Received(Err(error)) => return Ok((peer, error.to_string())),
                Event::ReportDue => {
                    report_at = Instant::now() + OUTCOME_REPORT_INTERVAL;
                    if let Err(error) = self.send_report(&mut subscription, &mut has_reported).await
                    {
                        return Ok((peer, error.to_string()));
                    }
                }
                Event::Probed(probed) => {
                    probe = Either::Left(future::pending());
                    is_probing = false;
                    if self.apply_probe(probed, probed_at).await? {
                        let reason = match self.next_fallback_probe {
                            Some(_) => FALLBACK_OVER,
                            None => NO_CONTACT,
                        };
                        return Ok((peer, reason.to_owned()));
                    }
                    if matches!(self.store_state, StoreState::Unreachable(_))
                        && let Some(moved) = self.move_to_any(peer).await?
                    {
                        (peer, subscription) = moved;
                    }
                }
            }
            if let Some(nearer) = self.nearer_upstream(peer)
                && let Some(moved) = self.move_to(nearer).await?
            {
                (peer, subscription) = (nearer, moved);
            }
        }
    }

    /// Handles an attempt to follow an instance that was of no use. The store is polled
    /// next, unless it has just failed to respond and other fallback upstreams may remain.
    async fn handle_failed_attempt(&mut self, was_above: bool) -> Result<(), FollowEnd> {
        let is_poll_due = self.polled_at.elapsed() >= MAX_RETRY_PAUSE;
        if was_above || is_poll_due || !self.is_store_unreachable() {
            return self.catch_up().await;
        }
        Ok(())
    }

    fn set_on_fallback(&mut self, is_on_fallback: bool) {
        self.next_fallback_probe = is_on_fallback.then(|| Instant::now() + self.probe_pause());
        self.shared.set_on_fallback(is_on_fallback);
    }

    /// Polls the store for changes of servers while an upstream is followed. The large
    /// value is excluded: on a slow link, its versions would delay the response for
    /// seconds.
    fn probe_store(&self) -> impl Future<Output = crate::Result<Batch>> + Send + use<> {
        let reader = self.sources.reader.clone();
        let servers = self.sources.keys.server_prefix;
        let synced_revision = self.shared.synced_revision().unwrap_or_default();
        async move { reader.poll(servers, synced_revision, Duration::ZERO).await }
    }

    /// Whether the store should be probed now.
    ///
    /// Heads probe a little earlier than other instances, which turn to a head that has
    /// contact with the store when they have none. On a fallback upstream, the store is
    /// probed from time to time even if the copy is young, so that the fallback ends.
    fn is_probe_due(&mut self) -> bool {
        if self
            .next_fallback_probe
            .is_some_and(|due| Instant::now() >= due)
        {
            return true;
        }
        let share = if self.is_head() {
            HEAD_PROBE_SHARE
        } else {
            1.0
        };
        let probe_age = self.timing().max_age.mul_f64(share);
        let age = self.shared.age(Instant::now());
        age.is_none_or(|age| age > probe_age)
    }

    /// Applies the result of a probe sent at `probed_at`; returns whether the upstream should
    /// be left because the store responds to this instance but not to the upstream.
    async fn apply_probe(
        &mut self,
        probed: crate::Result<Batch>,
        probed_at: Instant,
    ) -> Result<bool, FollowEnd> {
        let is_upstream_old = self.is_probe_due();
        match probed {
            Ok(batch) => {
                let synced_revision = self.shared.synced_revision().unwrap_or_default();
                self.apply_batch(batch, synced_revision).await?;
                Ok(is_upstream_old && !self.detect_recovery())
            }
            Err(error) => {
                info!(self.sources.log, "probe of the store failed"; "error" => %error);
                self.record_failure(&error, probed_at).await?;
                self.next_fallback_probe = self
                    .next_fallback_probe
                    .map(|_| probed_at + self.probe_pause());
                if !store::needs_listing(&error) {
                    return Ok(false);
                }
                // The store does respond, but has dropped the history.
                if self.is_head() {
                    return Ok(is_upstream_old);
                }
                let now = Instant::now();
                if self.listing_due.is_some_and(|due| now >= due) {
                    self.listing_due = None;
                    return Ok(is_upstream_old);
                }
                self.leave_listing_to_heads(now);
                Ok(false)
            }
        }
    }

    /// Stays with the upstreams for a while, although the store responds here.
    ///
    /// Load pattern: the store drops its history again and again, faster than a head lists
    /// it, and all copies of a fleet grow old. If each instance left its upstream and listed
    /// the store, the listings would fill the store's link, and no head would complete one.
    ///
    /// Another load pattern: the store refuses all heads of a zone at that time. The wait
    /// ends unless one of the upstreams has had contact with the store meanwhile, and longer
    /// after it for lower ranks.
    fn leave_listing_to_heads(&mut self, now: Instant) {
        let due = self
            .listing_due
            .unwrap_or_else(|| now + self.listing_wait());
        self.listing_due = Some(due);
        self.store_state = StoreState::Unreachable(due.min(now + self.probe_pause()));
    }

    /// How long the heads have to list the store before this instance does.
    fn listing_wait(&self) -> Duration {
        let me = &self.sources.me;
        let members: Vec<Member> = self.members.values().cloned().collect();
        let ranked = tree::ranked(&me.zone, &members);
        let rank = ranked.iter().position(|m| m.instance == me.instance);
        let keys = self.shared.with_copy(|copy| copy.key_count());
        let turn = first_copy::turn(rank.unwrap_or(ranked.len()), keys);
        let max_age = self.timing().max_age;
        let for_heads = (self.contact_interval * 2).clamp(max_age / 2, max_age * 4);
        for_heads + turn
    }

    /// Records that an upstream reported later contact with the store.
    pub(super) fn record_later_contact(&mut self, now: Instant) {
        self.listing_due = None;
        self.contact_interval = now - self.contact_recorded_at;
        self.contact_recorded_at = now;
    }

    fn is_head(&mut self) -> bool {
        self.upstreams().len() < tree::HEAD_COUNT
    }

    /// Whether this is the first response after an outage. The upstream, which polls
    /// about once a second, is about to report the store's return itself; if it does not,
    /// the store is probed again.
    fn detect_recovery(&mut self) -> bool {
        let is_recovery = matches!(self.store_state, StoreState::Unreachable(_));
        self.forget_outage();
        if is_recovery {
            let age = self.shared.age(Instant::now());
            info!(self.sources.log, "store responds again, awaiting report of upstream";
                "view_age_ms" => age.map(|age| age.as_millis() as u64));
            self.store_state = StoreState::Recovered(Instant::now() + RECOVERY_REPORT_TIMEOUT);
        }
        is_recovery
    }

    /// Moves to any other instance above that had contact with the store recently.
    async fn move_to_any(
        &mut self,
        peer: SocketAddrV4,
    ) -> Result<Option<(SocketAddrV4, Subscription)>, FollowEnd> {
        for other in self.upstreams() {
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
    async fn send_report(
        &self,
        subscription: &mut Subscription,
        has_reported: &mut bool,
    ) -> crate::Result<()> {
        let report = self.shared.outcomes.report_for_upstream(Instant::now());
        let has_outcomes = !report.outcomes.is_empty();
        if has_outcomes || *has_reported {
            subscription.send_report(&report).await?;
        }
        *has_reported = has_outcomes;
        Ok(())
    }

    /// Subscribes, and waits for all changes that the upstream has and this instance
    /// lacks.
    async fn open_subscription(
        &self,
        peer: SocketAddrV4,
    ) -> crate::Result<(Subscription, UpstreamUpdate)> {
        let me = &self.sources.me;
        let (synced_revision, bases) = (self.shared.synced_revision(), self.shared.bases());
        let opening = async {
            let opened = Subscription::open(peer, me, synced_revision, bases).await;
            let (mut subscription, first) = opened?;
            let first = subscription.complete(first).await?;
            Ok((subscription, first))
        };
        let opened = time::timeout(COPY_TIMEOUT, opening).await;
        opened.unwrap_or_else(|_| {
            Err(subscribe::subscription_error(
                peer,
                "timed out waiting for a copy",
            ))
        })
    }

    pub(super) fn is_fresh(&self, update: &UpstreamUpdate) -> bool {
        update.age.is_some_and(|age| age < self.timing().fresh_age)
    }

    /// Whether an upstream that sends this update is worth a subscription. An upstream
    /// that itself follows a fallback is of use only to instances that cannot reach the
    /// store either: two instances that follow each other would both mistake the other's
    /// age for contact with the store.
    fn is_useful(&self, update: &UpstreamUpdate) -> bool {
        self.is_fresh(update) && (!update.is_on_fallback || self.is_store_unreachable())
    }

    /// Whether an update shows a later contact with the store than this instance's own.
    /// An instance that follows this one reports this one's contact back, slightly older.
    fn is_newer(&self, update: &UpstreamUpdate) -> bool {
        let own = self.shared.age(Instant::now()).unwrap_or(Duration::MAX);
        update.age.is_some_and(|age| age + HEARTBEAT_INTERVAL < own)
    }

    async fn report_upstream(&mut self, peer: SocketAddrV4) -> Result<(), FollowEnd> {
        let member = self.members.values().find(|m| m.address == peer);
        let upstream = member.map(|member| member.instance.clone());
        Ok(self
            .sender
            .send(Update::UpstreamChanged { upstream })
            .await?)
    }

    /// A better upstream than the present one, if any.
    ///
    /// An instance that starts together with many others finds its place taken, or its
    /// upstream not running yet, and subscribes higher up. If it stayed there, the first
    /// instance of the zone would fill up with subscribers of others and refuse its own,
    /// which would then each read everything from the store.
    fn nearer_upstream(&mut self, peer: SocketAddrV4) -> Option<SocketAddrV4> {
        let upstreams = self.upstreams();
        let mut nearer = upstreams.into_iter().take_while(|address| *address != peer);
        nearer.find(|address| self.may_try(address))
    }

    /// Subscribes to a nearer instance; the present subscription is kept until this
    /// succeeds.
    async fn move_to(&mut self, nearer: SocketAddrV4) -> Result<Option<Subscription>, FollowEnd> {
        self.start_cooldown(nearer, MOVE_COOLDOWN);
        match self.open_subscription(nearer).await {
            Ok((subscription, first)) if self.is_useful(&first) => {
                self.apply_update(first).await?;
                self.report_upstream(nearer).await?;
                self.set_on_fallback(false);
                self.cooldowns.remove(&nearer);
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

//! Following the instance above: which one, and when to leave it.

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
use crate::replica::follow::End;
use crate::replica::follow::Follower;
use crate::replica::follow::Presence;
use crate::replica::outcome::OUTCOME_REPORT_INTERVAL;
use crate::replica::publish::HEARTBEAT;
use crate::replica::store;
use crate::replica::subscribe;
use crate::replica::subscribe::Report;
use crate::replica::subscribe::Subscription;
use crate::replica::tree;

/// Pause before an upstream that failed is tried again.
const REST: Duration = Duration::from_secs(2);

/// The same while the store is away: an upstream that was restarted has nothing, and gets
/// its copy from those that come back to it.
const REST_AWAY: Duration = Duration::from_millis(500);

/// Doublings of a pause at most: an upstream that was cut off for long is tried
/// again 16 s after the cut at the latest.
const MOST_DOUBLINGS: u32 = 3;

/// An upstream that failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rest {
    /// When it may be tried again.
    until: Instant,
    failures: u32,
}

/// Pause before a nearer upstream that failed is tried again, while a further one
/// serves: it may be gone, and each try holds the present one's news up.
const MOVE_REST: Duration = Duration::from_secs(5);

/// Share of the age at which others probe the store at which heads do: 0.3 s of 2 s,
/// in which a store in its slow hours answers.
const HEADS_PROBE_AT: f64 = 0.85;

/// Time in which an upstream tells that the store is back: its own pause between two
/// tries, a second at most, and a call.
const TELLS_WITHIN: Duration = Duration::from_millis(1_300);

/// Why an upstream is left whose copy grows old while others do not.
const NO_CONTACT: &str = "no contact with the store";

/// Why one is left that is not above this instance.
const DETOUR_OVER: &str = "the store answers here again";

/// What happens while an upstream is followed.
enum Event {
    Heard(crate::Result<Report>),
    Tell,
    Probed(crate::Result<Batch>),
}

/// Time for a subscription and a whole copy with it. A copy of 4 MB at the size
/// planned is packed to half a megabyte, which a link of 10 Mbit/s brings in half a
/// second; whoever waits longer asks the store.
const COPY_PATIENCE: Duration = Duration::from_secs(4);

impl Follower {
    /// The nearest upstream that does not rest; nobody before anything is known.
    pub(super) fn candidate(&mut self) -> Option<SocketAddrV4> {
        self.shared.horizon()?;
        let above = self.above();
        let nearest = above.into_iter().find(|address| self.may_try(address));
        nearest.or_else(|| self.bystander())
    }

    /// Somebody to turn to when the store does not answer here and nobody above is of
    /// use.
    ///
    /// The first of a zone has nobody above it. Refused by the store alone, it stayed as it
    /// was for as long, and so did whoever the store refused together with it.
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

    /// The instances to follow, the best first.
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

    /// Leaves an upstream alone for a while, longer each time that it fails.
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

    /// Follows an upstream until it fails or falls behind a store that answers here.
    ///
    /// Whatever ends it, the store is asked next, at once: other upstreams may be
    /// cut off together with this one, and each try would make the copy older.
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
        self.sender
            .send(Update::UpstreamChanged { upstream: None })
            .await?;
        self.catch_up().await
    }

    /// Subscribes to an instance if that is of use.
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
        // While the store is away for all, one above with an old copy will do: news of
        // its return comes that way. One that has no copy at all would keep the rest of
        // the zone waiting for nothing.
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

    /// Takes what an upstream tells until it is of no use any more, moving to better
    /// ones meanwhile; the last one, and why it was left.
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
                    // Two that turned to each other would stay together for good.
                    if self.detour_ends.is_some() && self.is_old() {
                        return Ok((peer, NO_CONTACT.to_owned()));
                    }
                }
                Event::Heard(Err(error)) => return Ok((peer, error.to_string())),
                Event::Tell => {
                    tell_at = Instant::now() + OUTCOME_REPORT_INTERVAL;
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

    /// After an instance that is of no use: the store is next, unless it is known not to
    /// answer and there may be others to try.
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

    /// Asks the store what is new of the servers, beside the upstream. The large value
    /// is left out: on a thin link its versions would hold up the answer for seconds.
    fn probe_store(&self) -> impl Future<Output = crate::Result<Batch>> + Send + use<> {
        let reader = self.sources.reader.clone();
        let small = self.sources.keys.server_prefix;
        let horizon = self.shared.horizon().unwrap_or_default();
        async move { reader.poll(small, horizon, Duration::ZERO).await }
    }

    /// Heads probe a little earlier than the others, which turn to a head that the store
    /// serves when it does not serve them. On a detour the store is tried now and then
    /// although the copy is young, so that it ends.
    fn is_probe_due(&mut self) -> bool {
        if self.detour_ends.is_some_and(|end| Instant::now() >= end) {
            return true;
        }
        let is_head = self.above().len() < tree::HEADS;
        let share = if is_head { HEADS_PROBE_AT } else { 1.0 };
        let due = self.sources.timing.max_age.mul_f64(share);
        let age = self.shared.age(Instant::now());
        age.is_none_or(|age| age > due)
    }

    /// Whether the upstream should be left: the store answers here and not there.
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
                // A store that has dropped the history answers.
                Ok(is_upstream_old && store::needs_listing(&error))
            }
        }
    }

    /// Whether this is the first answer after an outage. The upstream, which asks from
    /// second to second, is about to tell of it; the store is probed again if it does not.
    fn is_just_back(&mut self) -> bool {
        let is_just_back = matches!(self.presence, Presence::Away(_));
        if is_just_back {
            self.presence = Presence::Back(Instant::now() + TELLS_WITHIN);
        }
        is_just_back
    }

    /// Moves to any other instance above that has heard the store lately.
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

    /// Tells the upstream what speaks against servers, and once that nothing does.
    async fn tell(
        &self,
        subscription: &mut Subscription,
        has_told: &mut bool,
    ) -> crate::Result<()> {
        let remarks = self.shared.outcomes.report_for_upstream(Instant::now());
        let has_remarks = !remarks.outcomes.is_empty();
        if has_remarks || *has_told {
            subscription.tell(&remarks).await?;
        }
        *has_told = has_remarks;
        Ok(())
    }

    /// Subscribes, and waits for all that the upstream knows more.
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
        report
            .age
            .is_some_and(|age| age < self.sources.timing.fresh_age)
    }

    /// Whether an upstream with this report is worth a subscription. One that follows
    /// somebody below it is for those only whom the store does not serve either: two that
    /// follow each other would both believe the other's word for the store's.
    fn is_useful(&self, report: &Report) -> bool {
        self.is_fresh(report) && (!report.is_detour || self.is_store_away())
    }

    /// Whether a report is of a later contact with the store than this instance's. What
    /// follows this instance tells its own contact back to it, some moments older.
    fn is_newer(&self, report: &Report) -> bool {
        let own = self.shared.age(Instant::now()).unwrap_or(Duration::MAX);
        report.age.is_some_and(|age| age + HEARTBEAT < own)
    }

    async fn tell_source(&mut self, peer: SocketAddrV4) -> Result<(), End> {
        let member = self.members.values().find(|m| m.address == peer);
        let upstream = member.map(|member| member.instance.clone());
        Ok(self
            .sender
            .send(Update::UpstreamChanged { upstream })
            .await?)
    }

    /// An instance that should be followed rather than this one, if any.
    ///
    /// Who starts together with many others finds its place taken or its upstream
    /// not yet there and goes further up. If it stayed, the first instance of the
    /// zone would be full of subscribers that are not its own, refuse those that
    /// are, and these would each ask the store for all they need.
    fn nearer(&mut self, peer: SocketAddrV4) -> Option<SocketAddrV4> {
        let above = self.above();
        let mut nearer = above.into_iter().take_while(|address| *address != peer);
        nearer.find(|address| self.may_try(address))
    }

    /// Subscribes to a nearer instance; the present subscription stays until then.
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

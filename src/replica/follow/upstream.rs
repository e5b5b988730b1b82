//! Following the instance above: which one, and when to leave it.

use std::net::SocketAddrV4;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::time;
use tokio::time::Instant;

use crate::id;
use crate::platform::poll::Page;
use crate::replica::Member;
use crate::replica::Update;
use crate::replica::follow::End;
use crate::replica::follow::Follower;
use crate::replica::follow::age;
use crate::replica::message::News;
use crate::replica::register;
use crate::replica::subscribe::Subscription;
use crate::replica::tree;

/// Pause before an upstream that failed is tried again.
const REST: Duration = Duration::from_secs(2);

/// Pause before a nearer upstream that failed is tried again, while a further one
/// serves: it may be gone, and each try holds the present one's news up.
const MOVE_REST: Duration = Duration::from_secs(5);

/// Time for the first copy from above. At the size planned the first instance
/// reads for up to a second, and two steps of sixteen copies, two at a time, take
/// most of a second each; who waits longer reads the store, which leaves most of
/// the 12 s in which a fleet must be back.
const COPY_PATIENCE: Duration = Duration::from_secs(4);

/// How long after each other instances that start together come up: the platform
/// starts all within 0.3 s, and they take a tenth of that themselves.
const START_SPREAD: Duration = Duration::from_millis(500);

/// Pause before instances that do not answer yet are asked for a copy again.
const START_RETRY: Duration = Duration::from_millis(50);

impl Follower {
    /// The nearest upstream that does not rest. Before anything is known, which
    /// is so when the store was silent at the start, any seed will do.
    pub(super) fn candidate(&mut self) -> Option<SocketAddrV4> {
        let now = Instant::now();
        self.resting.retain(|_, until| now < *until);
        if self.shared.horizon().is_none() {
            let seeds = if self.backoff.has_failed() {
                self.sources.seeds.as_slice()
            } else {
                &[]
            };
            return seeds.iter().find(|seed| self.may_try(seed)).copied();
        }
        let above = self.above();
        above.into_iter().find(|address| self.may_try(address))
    }

    /// The instances above this one, the nearest first.
    fn above(&mut self) -> Vec<SocketAddrV4> {
        if let Some(above) = &self.above {
            return above.clone();
        }
        let members: Vec<Member> = self.members.values().cloned().collect();
        let above = tree::upstream(&self.sources.me.instance, &self.sources.me.zone, &members);
        let above: Vec<SocketAddrV4> = above.iter().map(|member| member.address).collect();
        self.above = Some(above.clone());
        above
    }

    fn may_try(&self, address: &SocketAddrV4) -> bool {
        !self.resting.contains_key(address)
    }

    /// Follows an upstream until it fails or falls behind the store.
    ///
    /// Whatever ends it, the store is asked next, at once: other upstreams may be
    /// cut off together with this one, and each try would make the copy older.
    pub(super) async fn subscribe(&mut self, mut peer: SocketAddrV4) -> Result<(), End> {
        self.resting.insert(peer, Instant::now() + REST);
        let horizon = self.shared.horizon();
        let joined = Subscription::join(peer, &self.sources.me.instance, horizon).await;
        let (mut subscription, first) = match joined {
            Ok(joined) => joined,
            Err(error) => {
                warn!(self.sources.log, "upstream not reached"; "error" => %error);
                return self.catch_up().await;
            }
        };
        let is_fresh = self.is_fresh(&first);
        if is_fresh || horizon.is_none() {
            self.take(first).await?;
        }
        if !is_fresh {
            return self.catch_up().await;
        }
        self.tell_source(peer).await?;
        let error = loop {
            match subscription.next().await {
                Ok(news) => self.take(news).await?,
                Err(error) => break error.to_string(),
            }
            if self.is_old() {
                break "no contact with the store".to_owned();
            }
            if let Some(nearer) = self.nearer(peer)
                && let Some(moved) = self.move_to(nearer).await?
            {
                subscription = moved;
                peer = nearer;
            }
        };
        self.resting.insert(peer, Instant::now() + REST);
        warn!(self.sources.log, "upstream lost"; "peer" => %peer, "reason" => error);
        self.sender.send(Update::Source { upstream: None }).await?;
        self.catch_up().await
    }

    fn is_fresh(&self, news: &News) -> bool {
        age(news).is_some_and(|age| age < self.sources.pace.fresh)
    }

    async fn tell_source(&mut self, peer: SocketAddrV4) -> Result<(), End> {
        let member = self.members.values().find(|m| m.address == peer);
        let upstream = member.map(|member| member.instance.clone());
        Ok(self.sender.send(Update::Source { upstream }).await?)
    }

    /// An instance that should be followed rather than this one, if any.
    ///
    /// Who starts together with many others finds its place taken or its upstream
    /// not yet there and goes further up. If it stayed, the first instance of the
    /// zone would be full of subscribers that are not its own, refuse those that
    /// are, and these would each ask the store for all they need.
    fn nearer(&mut self, peer: SocketAddrV4) -> Option<SocketAddrV4> {
        let above = self.above();
        let now = Instant::now();
        self.resting.retain(|_, until| now < *until);
        let mut nearer = above.into_iter().take_while(|address| *address != peer);
        nearer.find(|address| self.may_try(address))
    }

    /// Subscribes to a nearer instance; the present subscription stays until then.
    async fn move_to(&mut self, nearer: SocketAddrV4) -> Result<Option<Subscription>, End> {
        self.resting.insert(nearer, Instant::now() + MOVE_REST);
        let horizon = self.shared.horizon();
        match Subscription::join(nearer, &self.sources.me.instance, horizon).await {
            Ok((subscription, first)) if self.is_fresh(&first) => {
                self.take(first).await?;
                self.tell_source(nearer).await?;
                Ok(Some(subscription))
            }
            Ok(_) => Ok(None),
            Err(error) => {
                info!(self.sources.log, "nearer upstream not reached"; "error" => %error);
                Ok(None)
            }
        }
    }

    /// Gets the first copy from an instance above, which may be waiting for its
    /// own. `false` when none gives one in time.
    ///
    /// Where the store holds more than a page, all instances of a fleet that
    /// starts at once would each read megabytes from it: 300 instances with 2,160
    /// servers were ready after 1.4 to 1.9 s, bound by the store's link, and 1,100
    /// with 6,400 would need half a minute.
    pub(super) async fn copy_from_above(&mut self, page: &Page) -> Result<bool, End> {
        for entry in &page.entries {
            self.enroll(&entry.key, &entry.value);
        }
        // A page may not hold all members; who is not on it has a rank all the same.
        let me = self.sources.me.clone();
        self.members.entry(register::key(&me)).or_insert(me);
        self.above = None;
        let above = self.above();
        let give_up = Instant::now() + START_SPREAD;
        while !above.is_empty() {
            match self.copy_from_any(&above).await {
                Copied::News(news) => {
                    self.take(news).await?;
                    return Ok(true);
                }
                Copied::Useless => return Ok(false),
                Copied::Nobody if Instant::now() >= give_up => return Ok(false),
                Copied::Nobody => time::sleep(START_RETRY).await,
            }
        }
        Ok(false)
    }

    async fn copy_from_any(&self, above: &[SocketAddrV4]) -> Copied {
        let mut has_old = false;
        for upstream in above {
            let copying = copy_from(*upstream, &self.sources.me.instance);
            match time::timeout(COPY_PATIENCE, copying).await {
                Ok(Ok(news)) if self.is_fresh(&news) => return Copied::News(news),
                // Its owner is cut off from the store. Who took it over would use
                // routes that have been withdrawn meanwhile.
                Ok(Ok(_)) => {
                    info!(self.sources.log, "copy of upstream too old"; "peer" => %upstream);
                    has_old = true;
                }
                Ok(Err(error)) => {
                    info!(self.sources.log, "no copy from upstream"; "error" => %error);
                }
                Err(_) => {
                    info!(self.sources.log, "no copy from upstream in time"; "peer" => %upstream);
                    return Copied::Useless;
                }
            }
        }
        if has_old {
            Copied::Useless
        } else {
            Copied::Nobody
        }
    }
}

/// What came of asking the instances above for a copy.
enum Copied {
    /// The copy.
    News(News),
    /// Some answer, but with an old copy or none in time.
    Useless,
    /// None answers.
    Nobody,
}

async fn copy_from(upstream: SocketAddrV4, me: &id::Instance) -> crate::Result<News> {
    let (mut subscription, mut news) = Subscription::join(upstream, me, None).await?;
    while !news.is_everything {
        news = subscription.next().await?;
    }
    Ok(news)
}

//! Entries, configurations, and a subscription without sockets.

use bytes::Bytes;
use godwitreel::platform::Change;
use godwitreel::platform::Entry;
use godwitreel::replica::Base;
use godwitreel::replica::Complete;
use godwitreel::replica::Copy;
use godwitreel::replica::Held;
use godwitreel::replica::Inbox;
use godwitreel::replica::Misfit;
use godwitreel::replica::News;
use godwitreel::replica::Outbox;
use godwitreel::replica::Subscribe;
use godwitreel::replica::pack;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub(crate) const CONFIG: &str = "op/config";

pub(crate) fn put(key: &str, value: impl Into<Vec<u8>>, mod_revision: u64) -> Change {
    Change::Put(Entry {
        key: key.to_owned(),
        value: Bytes::from(value.into()),
        mod_revision,
    })
}

pub(crate) fn delete(key: &str, mod_revision: u64) -> Change {
    Change::Delete {
        key: key.to_owned(),
        mod_revision,
    }
}

/// A configuration of routes of 165 bytes each.
pub(crate) struct Config {
    routes: Vec<String>,
    version: u64,
    random: SmallRng,
}

impl Config {
    pub(crate) fn new(routes: usize) -> Self {
        let mut config = Self {
            routes: Vec::new(),
            version: 1,
            random: SmallRng::seed_from_u64(5),
        };
        config.grow(routes);
        config
    }

    pub(crate) fn grow(&mut self, routes: usize) {
        for _ in 0..routes {
            let (name, port) = (self.random.random::<u32>(), self.random.random::<u16>());
            self.routes.push(format!(
                r#"{{"name":"r-{name:x}","host":"198.18.0.1","prefix":"/{port}/","type":"idempotent","timeoutMs":1200,"goalMs":200,"priority":2,"service":"huvo11a","attempts":2}}"#
            ));
        }
    }

    /// The next version, in which one route differs.
    pub(crate) fn next(&mut self) -> String {
        self.version += 1;
        let index = self.random.random_range(0..self.routes.len());
        let timeout = self.random.random_range(1_000..9_000);
        self.routes[index] = self.routes[index].replacen("1200", &timeout.to_string(), 1);
        self.text()
    }

    pub(crate) fn text(&self) -> String {
        format!(
            r#"{{"version":{},"routes":[{}],"services":[],"limits":{{"idleTimeoutMs":15000}}}}"#,
            self.version,
            self.routes.join(",")
        )
    }
}

/// One subscriber and the outbox that feeds it.
pub(crate) struct Subscription {
    pub(crate) outbox: Outbox,
    inbox: Inbox,
}

impl Subscription {
    /// Subscribes the owner of one copy to the owner of another.
    pub(crate) fn new(upstream: &Copy, subscriber: &Copy) -> Self {
        let large = subscriber
            .entries()
            .filter(|entry| entry.value.len() > 4 << 10);
        let held: Vec<Base> = large.map(Base::from).collect();
        let subscribe = Subscribe {
            address: String::new(),
            is_look: false,
            instance: "subscriber".to_owned(),
            horizon: subscriber.horizon(),
            held: held.iter().map(Held::from).collect(),
        };
        let is_known = |base: &&Base| {
            let newest = upstream.get(&base.key);
            newest.is_some_and(|entry| entry.mod_revision == base.mod_revision)
        };
        let known = held.iter().filter(is_known).cloned().collect();
        Self {
            outbox: Outbox::new(&subscribe, known),
            inbox: Inbox::new(held),
        }
    }

    pub(crate) fn compose(&mut self, upstream: &Copy, may_send: bool) -> News {
        let packing = |value: &Base, base: Option<&Base>| {
            pack(&value.value, base.map_or(&[][..], |base| &base.value))
        };
        let news = self
            .outbox
            .compose(upstream, Some(0), &packing, |_| may_send);
        news.unwrap()
    }

    /// Applies a message; returns the changes that were new to the copy.
    pub(crate) fn take(&mut self, copy: &mut Copy, news: News) -> Result<Vec<Change>, Misfit> {
        let mut changes: Vec<Change> = news.rows.into_iter().map(Change::from).collect();
        let complete = match news.part {
            Some(part) => self.inbox.take(part)?,
            None => None,
        };
        match complete {
            Some(Complete::Copy(entries, revision)) => {
                let mut fresh = copy.reset(&entries, revision).unwrap_or_default();
                fresh.extend(copy.apply(changes, news.revision));
                return Ok(fresh);
            }
            Some(Complete::Entry(entry)) => changes.push(Change::Put(entry)),
            None => {}
        }
        if news.awaits_copy {
            return Ok(Vec::new());
        }
        Ok(copy.apply(changes, news.revision))
    }

    /// Sends everything that is pending; returns the number of messages.
    pub(crate) fn settle(&mut self, upstream: &Copy, subscriber: &mut Copy) -> usize {
        for count in 1..10_000 {
            let news = self.compose(upstream, true);
            let is_last = news.part.is_none() && news.rows.is_empty();
            self.take(subscriber, news).unwrap();
            if is_last && !self.outbox.has_parts() {
                return count;
            }
        }
        panic!("never done");
    }
}

/// Keys and values of a copy.
pub(crate) fn content(copy: &Copy) -> Vec<(String, Bytes)> {
    let row = |entry: &Entry| (entry.key.clone(), entry.value.clone());
    copy.entries().map(row).collect()
}

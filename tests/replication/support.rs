//! Entries, configurations, and a subscription without sockets.

use bytes::Bytes;
use godwitreel::platform::Change;
use godwitreel::platform::Entry;
use godwitreel::replica::AssembledValue;
use godwitreel::replica::BaseValue;
use godwitreel::replica::HeldValue;
use godwitreel::replica::Outbox;
use godwitreel::replica::PartAssembler;
use godwitreel::replica::PartError;
use godwitreel::replica::StoreCopy;
use godwitreel::replica::SubscribeRequest;
use godwitreel::replica::UpstreamMessage;
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
    assembler: PartAssembler,
}

impl Subscription {
    /// Subscribes the owner of one copy to the owner of another.
    pub(crate) fn new(upstream: &StoreCopy, subscriber: &StoreCopy) -> Self {
        let large = subscriber
            .entries()
            .filter(|entry| entry.value.len() > 4 << 10);
        let held: Vec<BaseValue> = large.map(BaseValue::from).collect();
        let subscribe = SubscribeRequest {
            address: String::new(),
            is_probe: false,
            instance: "subscriber".to_owned(),
            synced_revision: subscriber.synced_revision(),
            held: held.iter().map(HeldValue::from).collect(),
            accepts_copy_parts: false,
        };
        let is_known = |base: &&BaseValue| {
            let newest = upstream.get(&base.key);
            newest.is_some_and(|entry| entry.mod_revision == base.mod_revision)
        };
        let known = held.iter().filter(is_known).cloned().collect();
        Self {
            outbox: Outbox::new(&subscribe, known),
            assembler: PartAssembler::new(held),
        }
    }

    pub(crate) fn compose(&mut self, upstream: &StoreCopy, may_send: bool) -> UpstreamMessage {
        let pack_value = |value: &BaseValue, base: Option<&BaseValue>| {
            pack(&value.value, base.map_or(&[][..], |base| &base.value))
        };
        let message = self
            .outbox
            .compose(upstream, Some(0), &pack_value, |_| may_send);
        message.unwrap()
    }

    /// Applies a message; returns the changes that were new to the copy.
    pub(crate) fn apply(
        &mut self,
        copy: &mut StoreCopy,
        message: UpstreamMessage,
    ) -> Result<Vec<Change>, PartError> {
        let mut changes: Vec<Change> = message.rows.into_iter().map(Change::from).collect();
        let complete = match message.part {
            Some(part) => self.assembler.add(part)?,
            None => None,
        };
        match complete {
            Some(AssembledValue::Copy(entries, revision)) => {
                let mut fresh = copy.reset(&entries, revision).unwrap_or_default();
                fresh.extend(copy.apply(changes, message.revision));
                return Ok(fresh);
            }
            Some(AssembledValue::Entry(entry)) => changes.push(Change::Put(entry)),
            None => {}
        }
        if message.awaits_copy {
            return Ok(Vec::new());
        }
        Ok(copy.apply(changes, message.revision))
    }

    /// Sends everything that is pending; returns the number of messages.
    pub(crate) fn send_all(&mut self, upstream: &StoreCopy, subscriber: &mut StoreCopy) -> usize {
        for count in 1..10_000 {
            let message = self.compose(upstream, true);
            let is_last = message.part.is_none() && message.rows.is_empty();
            self.apply(subscriber, message).unwrap();
            if is_last && !self.outbox.has_parts() {
                return count;
            }
        }
        panic!("the transfer never completes");
    }
}

/// Keys and values of a copy.
pub(crate) fn content(copy: &StoreCopy) -> Vec<(String, Bytes)> {
    let row = |entry: &Entry| (entry.key.clone(), entry.value.clone());
    copy.entries().map(row).collect()
}

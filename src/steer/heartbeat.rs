//! Heartbeats between instances: what they tell of servers' loads, and when a
//! peer's configuration differs.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

use siphasher::sip::SipHasher13;
use slog::debug;
use slog::info;
use tokio::time::Instant;

use crate::id;
use crate::inbox::ControlEvent;
use crate::peer;
use crate::peer::PeerMessage;
use crate::steer::ControlTask;

/// How long a peer's copy may differ before it is asked for what is newer. A
/// change that the platform is just telling everyone needs no copy.
const DIFFER_FOR: Duration = Duration::from_secs(2);

/// Servers in one heartbeat.
const MAX_LOADS: usize = 32;

impl ControlTask {
    pub(super) fn take_heartbeat(
        &mut self,
        now: Instant,
        from: &id::Holder,
        message: peer::Heartbeat,
    ) {
        let new = self.shared.control().heartbeat(now, from, &message);
        if new {
            info!(self.shared.log, "peer is heard"; "peer" => %from);
            // An instance that starts during an outage of the platform knows only
            // its seeds: the answer tells it who else is there.
            if let Ok(address) = message.address.parse::<id::Endpoint>() {
                let heartbeat = self.heartbeat();
                self.shared
                    .link
                    .send_to(address.0, from.instance.as_str(), heartbeat);
            }
        }
        self.compare(now, from, &message);
        if !message.loads_omitted {
            let loads = message.loads.unwrap_or_default();
            self.loads.insert(from.instance.clone(), loads);
            self.loads_changed = true;
        }
    }

    /// Asks a peer for copies if it has had something else for a while.
    fn compare(&mut self, now: Instant, from: &id::Holder, message: &peer::Heartbeat) {
        if message.digest == self.shared.config().digest() {
            self.differs.remove(&from.instance);
            return;
        }
        let since = *self.differs.entry(from.instance.clone()).or_insert(now);
        let control = self.shared.control();
        let (silent, never) = (control.is_silent(), control.last_contact().is_none());
        drop(control);
        // With the platform in reach a peer has nothing to add: one that is cut off
        // from it would bring back what was removed meanwhile.
        let recent = self.pulled.is_some_and(|pulled| now < pulled + DIFFER_FOR);
        if !silent || recent || (!never && now < since + DIFFER_FOR) {
            return;
        }
        let Ok(address) = message.address.parse::<id::Endpoint>() else {
            return;
        };
        self.pulled = Some(now);
        self.pull(address);
    }

    fn pull(&self, address: id::Endpoint) {
        let have = self
            .shared
            .config()
            .shared()
            .map(|entry| peer::Version {
                key: entry.key.clone(),
                modified: entry.mod_revision,
            })
            .collect();
        let link = Arc::clone(&self.shared.link);
        let told = self.told.clone();
        let log = self.shared.log.clone();
        self.shared.spawn(async move {
            match link
                .pull(
                    address.0,
                    peer::ConfigRequest {
                        known_versions: have,
                    },
                )
                .await
            {
                Ok(push) => {
                    let _ = told.send(ControlEvent::PulledEntries(push));
                }
                Err(error) => debug!(log, "no copies"; "error" => %error),
            }
        });
    }

    /// Adds up what the peers have at each server.
    pub(super) fn spread_loads(&self, now: Instant) {
        let control = self.shared.control();
        let live: BTreeSet<id::Instance> = control
            .peers()
            .into_iter()
            .filter(|(member, _)| control.is_live(now, &member.holder))
            .map(|(member, _)| member.holder.instance)
            .collect();
        drop(control);
        let mut sums: HashMap<u32, (u32, u32)> = HashMap::new();
        let heard = self.loads.iter().filter(|(peer, _)| live.contains(*peer));
        for load in heard.flat_map(|(_, loads)| loads.iter()) {
            let sum = sums.entry(load.server).or_default();
            sum.0 += load.outstanding;
            sum.1 += load.feeds;
        }
        for server in self.shared.config().servers() {
            let sum = sums.get(&mark(&server.id)).copied().unwrap_or_default();
            let mut state = server.state();
            (state.peer_outstanding, state.peer_feeds) = sum;
        }
    }

    fn heartbeat(&self) -> PeerMessage {
        let config = self.shared.config();
        let loads = config.servers().filter_map(|server| {
            let state = server.state();
            let used = state.outstanding > 0 || state.feeds > 0;
            used.then(|| peer::Load {
                server: mark(&server.id),
                outstanding: state.outstanding,
                feeds: state.feeds,
            })
        });
        PeerMessage::Heartbeat(peer::Heartbeat {
            zone: self.shared.settings.zone.to_string(),
            address: self.shared.settings.advertised().to_string(),
            leaving: self.shared.control().is_leaving(),
            digest: config.digest(),
            loads: Some(loads.take(MAX_LOADS).collect()),
            loads_omitted: false,
        })
    }

    pub(super) fn beat(&mut self) {
        let heartbeat = self.heartbeat();
        let peers = self.shared.control().peers();
        let link = &self.shared.link;
        for (member, _) in &peers {
            let name = member.holder.instance.as_str();
            link.send_to(member.address.0, name, heartbeat.clone());
        }
        for seed in &self.shared.settings.seeds {
            let known = peers.iter().any(|(member, _)| member.address == *seed);
            if !known && *seed != self.shared.settings.advertised() {
                link.send_to(seed.0, "", heartbeat.clone());
            }
        }
    }
}

/// Short mark of a server's name in heartbeats.
fn mark(server: &id::Server) -> u32 {
    let mut hasher = SipHasher13::new();
    server.as_str().hash(&mut hasher);
    hasher.finish() as u32
}

//! Heartbeats between instances: the server loads that they report, and requests for the
//! configuration of peers whose digest differs.

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

/// How long a peer's configuration must differ before newer entries are requested from
/// it. A change that the platform is still distributing needs no copy from a peer.
const CONFIG_REQUEST_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of servers whose loads one heartbeat reports.
const MAX_LOADS: usize = 32;

impl ControlTask {
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Instant,
        from: &id::Holder,
        message: peer::Heartbeat,
    ) {
        let is_new = self.shared.control().heartbeat(now, from, &message);
        if is_new {
            info!(self.shared.log, "peer discovered"; "peer" => %from);
            // An instance that starts during an outage of the platform knows only its
            // seeds; the reply lets it discover this instance.
            if let Ok(address) = message.address.parse::<id::Endpoint>() {
                let heartbeat = self.build_heartbeat();
                self.shared
                    .link
                    .send_to(address.0, from.instance.as_str(), heartbeat);
            }
        }
        self.compare_config(now, from, &message);
        if !message.loads_omitted {
            let loads = message.loads.unwrap_or_default();
            self.peer_loads.insert(from.instance.clone(), loads);
            self.loads_changed = true;
        }
    }

    /// Requests newer entries from a peer whose configuration has differed for a while.
    fn compare_config(&mut self, now: Instant, from: &id::Holder, message: &peer::Heartbeat) {
        if message.digest == self.shared.config().digest() {
            self.differing_since.remove(&from.instance);
            return;
        }
        let since = *self
            .differing_since
            .entry(from.instance.clone())
            .or_insert(now);
        let control = self.shared.control();
        let (is_platform_silent, had_no_contact) = (
            control.is_platform_silent(),
            control.last_contact().is_none(),
        );
        drop(control);
        // While the platform is reachable, peers are not asked: a peer that cannot reach
        // the platform could reintroduce entries that were removed meanwhile.
        let was_requested_recently = self
            .last_config_request
            .is_some_and(|requested| now < requested + CONFIG_REQUEST_DELAY);
        if !is_platform_silent
            || was_requested_recently
            || (!had_no_contact && now < since + CONFIG_REQUEST_DELAY)
        {
            return;
        }
        let Ok(address) = message.address.parse::<id::Endpoint>() else {
            return;
        };
        self.last_config_request = Some(now);
        self.request_config(address);
    }

    fn request_config(&self, address: id::Endpoint) {
        let known_versions = self
            .shared
            .config()
            .shared()
            .map(|entry| peer::Version {
                key: entry.key.clone(),
                modified: entry.mod_revision,
            })
            .collect();
        let link = Arc::clone(&self.shared.link);
        let events = self.events.clone();
        let log = self.shared.log.clone();
        self.shared.spawn(async move {
            match link
                .request_config(address.0, peer::ConfigRequest { known_versions })
                .await
            {
                Ok(response) => {
                    let _ = events.send(ControlEvent::PulledEntries(response));
                }
                Err(error) => debug!(log, "peer did not send its configuration"; "error" => %error),
            }
        });
    }

    /// Updates each server with the sum of the loads that the live peers have there.
    pub(super) fn update_peer_loads(&self, now: Instant) {
        let control = self.shared.control();
        let live: BTreeSet<id::Instance> = control
            .peers()
            .into_iter()
            .filter(|(member, _)| control.is_live(now, &member.holder))
            .map(|(member, _)| member.holder.instance)
            .collect();
        drop(control);
        let mut sums: HashMap<u32, (u32, u32)> = HashMap::new();
        let live_loads = self
            .peer_loads
            .iter()
            .filter(|(peer, _)| live.contains(*peer));
        for load in live_loads.flat_map(|(_, loads)| loads.iter()) {
            let sum = sums.entry(load.server).or_default();
            sum.0 += load.outstanding;
            sum.1 += load.feeds;
        }
        for server in self.shared.config().servers() {
            let sum = sums
                .get(&server_hash(&server.id))
                .copied()
                .unwrap_or_default();
            let mut state = server.state();
            (state.peer_outstanding, state.peer_feeds) = sum;
        }
    }

    fn build_heartbeat(&self) -> PeerMessage {
        let config = self.shared.config();
        let loads = config.servers().filter_map(|server| {
            let state = server.state();
            let used = state.outstanding > 0 || state.feeds > 0;
            used.then(|| peer::Load {
                server: server_hash(&server.id),
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

    pub(super) fn send_heartbeats(&mut self) {
        let heartbeat = self.build_heartbeat();
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

/// Hash that identifies a server in heartbeats.
fn server_hash(server: &id::Server) -> u32 {
    let mut hasher = SipHasher13::new();
    server.as_str().hash(&mut hasher);
    hasher.finish() as u32
}

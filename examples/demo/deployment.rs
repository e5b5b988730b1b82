//! The stand-ins and entry instances of the demo.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use godwitreel::daemon;
use godwitreel::log;
use godwitreel::settings;
use godwitreel::status::Status;
use serde_json::Value;
use serde_json::json;
use standin::address;
use standin::caller;
use standin::fabric;
use standin::platform;
use standin::server;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::failure::Failure;

/// Slices of the flow space; few, so that the demo starts quickly.
const SLICES: u32 = 64;

/// Longest wait for an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval between two polls of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of an HTTP request.
const HTTP_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two notifications of a feed.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(200);

/// Name of the profile that both services use.
const PROFILE: &str = "live";

/// Availability zones, each with one entry instance.
const ZONES: [&str; 3] = ["bole", "kality", "merkato"];

/// Services with their numbers of backend servers.
const SERVICES: [(&str, usize); 2] = [("dispatch", 3), ("ledger", 2)];

/// One entry instance.
pub(crate) struct Instance {
    pub(crate) name: String,
    status: SocketAddr,
    listeners: BTreeMap<&'static str, SocketAddr>,
    handle: daemon::Handle,
    /// Writes out the remaining log lines when it is dropped.
    _log_guard: log::LogGuard,
}

/// A backend server with its service and zone.
struct Backend {
    service: &'static str,
    zone: &'static str,
    handle: server::Handle,
}

/// All stand-ins and instances of the demo.
pub(crate) struct Deployment {
    platform: platform::Handle,
    fabrics: BTreeMap<&'static str, fabric::Handle>,
    servers: BTreeMap<String, Backend>,
    pub(crate) instances: Vec<Instance>,
    client: reqwest::Client,
}

/// Counters of a backend server.
pub(crate) struct ServerCounts {
    pub(crate) name: String,
    pub(crate) service: &'static str,
    pub(crate) started: u64,
    pub(crate) peak: usize,
    pub(crate) observers: usize,
}

fn local() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn envelope(revision: u64, body: &Value) -> String {
    json!({"revision": revision, "operator": "demo", "write_id": "demo", "body": body}).to_string()
}

impl Deployment {
    /// Starts the platform, the services with their backend servers, and the instances.
    pub(crate) async fn start() -> Result<Self, Failure> {
        let platform = platform::start(local()).await;
        let mut deployment = Self {
            platform: platform.map_err(Failure::starting("platform"))?,
            fabrics: BTreeMap::new(),
            servers: BTreeMap::new(),
            instances: Vec::new(),
            client: reqwest::Client::new(),
        };
        deployment.change_profile(1, &json!({}));
        for (service, count) in SERVICES {
            deployment.add_service(service, count).await?;
        }
        for zone in ZONES {
            deployment.add_instance(zone).await?;
        }
        Ok(deployment)
    }

    async fn add_service(&mut self, service: &'static str, count: usize) -> Result<(), Failure> {
        let fabric = fabric::start(local(), Vec::new(), 1).await;
        let fabric = fabric.map_err(Failure::starting("fabric"))?;
        let body = json!({"profile": PROFILE, "address": fabric.address().to_string()});
        let key = format!("godwitreel/services/{service}");
        self.platform.put(&key, envelope(1, &body));
        self.fabrics.insert(service, fabric);
        for number in 0..count {
            let name = format!("{service}-{}", number + 1);
            let mut settings = server::Settings::new(&name, service);
            settings.notify_interval = NOTIFY_INTERVAL;
            let handle = server::start(settings).await;
            let backend = Backend {
                service,
                zone: ZONES[number % ZONES.len()],
                handle: handle.map_err(Failure::starting("backend server"))?,
            };
            self.publish(&name, &backend, "up");
            self.servers.insert(name, backend);
        }
        Ok(())
    }

    fn publish(&self, name: &str, backend: &Backend, state: &str) {
        let entry = json!({
            "service": backend.service,
            "zone": backend.zone,
            "address": backend.handle.address().to_string(),
            "health": backend.handle.health_address().to_string(),
            "slots": 2,
            "state": state,
        });
        let key = format!("platform/servers/{name}");
        self.platform.put(&key, entry.to_string());
    }

    async fn add_instance(&mut self, zone: &str) -> Result<(), Failure> {
        let name = format!("{zone}-1");
        let status = address::free();
        let mut listeners = BTreeMap::new();
        for (service, _) in SERVICES {
            listeners.insert(service, address::free());
        }
        let text = self.settings(&name, zone, status, &listeners)?;
        let settings = settings::Daemon::parse(Path::new("demo.jsonc"), &text)?;
        let (logger, log_guard) = log::logger(&settings.log);
        let handle = daemon::start(settings, logger).await?;
        for (service, address) in &listeners {
            self.fabrics[service].add(*address);
        }
        self.instances.push(Instance {
            name,
            status,
            listeners,
            handle,
            _log_guard: log_guard,
        });
        Ok(())
    }

    fn settings(
        &mut self,
        name: &str,
        zone: &str,
        status: SocketAddr,
        listeners: &BTreeMap<&'static str, SocketAddr>,
    ) -> Result<String, Failure> {
        let peer = address::free();
        let platform = self.platform.address();
        let listeners = json!(listeners);
        Ok(format!(
            r#"{{
                // Name and place of the instance.
                "instance": "{name}",
                "zone": "{zone}",
                "peer": "{peer}",
                "status": "{status}",
                "platform": ["http://{platform}"],
                "listeners": {listeners},
                "backend_bind": "127.0.0.1",
                "slices": {SLICES},
                "keys": ["000102030405060708090a0b0c0d0e0f"],
                "log": {{"level": "error", "format": "text"}}
            }}"#
        ))
    }

    /// Waits until every slice has a home and a backup and every instance uses every server.
    pub(crate) async fn wait_until_settled(&self) -> Result<(), Failure> {
        let deadline = Instant::now() + STATE_TIMEOUT;
        while !self.is_settled().await {
            pause_until(deadline, "a home and a backup for every slice").await?;
        }
        Ok(())
    }

    async fn is_settled(&self) -> bool {
        let mut homes = 0;
        for instance in &self.instances {
            let Some(status) = self.status(instance).await else {
                return false;
            };
            let usable = status.servers.iter().all(|server| server.takes_work);
            if !status.ready || status.alone > 0 || !usable {
                return false;
            }
            homes += status.homes;
        }
        homes == SLICES
    }

    /// Fetches the status of an instance; `None` if the request fails.
    pub(crate) async fn status(&self, instance: &Instance) -> Option<Status> {
        let url = format!("http://{}/status", instance.status);
        let request = self.client.get(url).timeout(HTTP_TIMEOUT);
        request.send().await.ok()?.json().await.ok()
    }

    /// Starts a caller of a service.
    pub(crate) async fn caller(&self, service: &str, seed: u64) -> Result<caller::Caller, Failure> {
        let mut settings = caller::Settings::new(self.fabrics[service].address());
        settings.seed = seed;
        let caller = caller::start(settings).await;
        caller.map_err(Failure::starting("caller"))
    }

    /// Stops an instance gracefully; the fabric stops sending to it only a second later.
    pub(crate) async fn stop_instance(&mut self, index: usize) -> daemon::Stopped {
        const FABRIC_DELAY: Duration = Duration::from_secs(1);
        let mut instance = self.instances.remove(index);
        let remove_from_fabric = async {
            sleep(FABRIC_DELAY).await;
            for (service, address) in &instance.listeners {
                self.fabrics[service].remove(*address);
            }
        };
        let (stopped, ()) = tokio::join!(instance.handle.stop(), remove_from_fabric);
        stopped
    }

    /// Aborts the remaining instances.
    pub(crate) fn abort(self) {
        for instance in self.instances {
            instance.handle.abort();
        }
    }

    /// Drains a backend server and sets its state on the platform to `leaving`.
    pub(crate) fn drain_server(&self, name: &str) {
        let backend = &self.servers[name];
        backend.handle.drain(true);
        self.publish(name, backend, "leaving");
    }

    /// Waits until a server has no open feeds.
    pub(crate) async fn wait_until_vacated(&self, name: &str) -> Result<(), Failure> {
        let deadline = Instant::now() + STATE_TIMEOUT;
        while self.servers[name].handle.observers() > 0 {
            pause_until(deadline, "the feeds to leave the draining server").await?;
        }
        Ok(())
    }

    /// Writes a revision of the profile.
    pub(crate) fn change_profile(&self, revision: u64, body: &Value) {
        let key = format!("godwitreel/profiles/{PROFILE}");
        self.platform.put(&key, envelope(revision, body));
    }

    /// Waits until the revision of the profile is in force at every instance.
    pub(crate) async fn wait_until_in_force(&self, revision: u64) -> Result<(), Failure> {
        let key = format!("profiles/{PROFILE}");
        let deadline = Instant::now() + STATE_TIMEOUT;
        for instance in &self.instances {
            loop {
                let status = self.status(instance).await;
                let in_force = status.and_then(|status| status.revisions.get(&key).copied());
                if in_force.is_some_and(|in_force| in_force.0 == revision) {
                    break;
                }
                pause_until(deadline, "the profile to be in force").await?;
            }
        }
        Ok(())
    }

    /// How often a booking was started, over all servers.
    pub(crate) fn starts(&self, booking: &str) -> u64 {
        let servers = self.servers.values();
        servers.map(|backend| backend.handle.starts(booking)).sum()
    }

    /// Number of requests that reached a server of another service.
    pub(crate) fn wrong_service(&self) -> u64 {
        let servers = self.servers.values();
        servers.map(|backend| backend.handle.wrong_service()).sum()
    }

    /// The counters of each backend server.
    pub(crate) fn counts(&self) -> Vec<ServerCounts> {
        let count = |(name, backend): (&String, &Backend)| ServerCounts {
            name: name.clone(),
            service: backend.service,
            started: backend.handle.all_starts().values().sum(),
            peak: backend.handle.peak(),
            observers: backend.handle.observers(),
        };
        self.servers.iter().map(count).collect()
    }
}

/// Waits for one poll interval, or fails if the deadline has passed.
async fn pause_until(deadline: Instant, expected: &'static str) -> Result<(), Failure> {
    if Instant::now() >= deadline {
        return Err(Failure::Timeout(expected));
    }
    sleep(POLL_INTERVAL).await;
    Ok(())
}

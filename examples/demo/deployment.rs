//! Stand-ins and entry instances, started together.

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

/// Longest wait for one thing to come about.
const PATIENCE: Duration = Duration::from_secs(15);

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Time for one answer over HTTP.
const HTTP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two notifications of a feed.
const NOTIFY_EVERY: Duration = Duration::from_millis(200);

/// Name of the profile that both services choose.
const PROFILE: &str = "live";

/// Availability zones, each with one entry instance.
const ZONES: [&str; 3] = ["bole", "kality", "merkato"];

/// Services with their counts of backend servers.
const SERVICES: [(&str, usize); 2] = [("dispatch", 3), ("ledger", 2)];

/// One entry instance.
pub(crate) struct Instance {
    pub(crate) name: String,
    status: SocketAddr,
    listeners: BTreeMap<&'static str, SocketAddr>,
    handle: daemon::Handle,
    /// Writes the log out when the instance goes.
    _flush: log::LogGuard,
}

/// One backend server with its place.
struct Backend {
    service: &'static str,
    zone: &'static str,
    handle: server::Handle,
}

/// Everything that runs.
pub(crate) struct Deployment {
    platform: platform::Handle,
    fabrics: BTreeMap<&'static str, fabric::Handle>,
    servers: BTreeMap<String, Backend>,
    pub(crate) instances: Vec<Instance>,
    client: reqwest::Client,
}

/// What the backend servers counted.
pub(crate) struct Count {
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
    /// Starts all parts, which then find each other.
    pub(crate) async fn start() -> Result<Self, Failure> {
        let platform = platform::start(local()).await;
        let mut deployment = Self {
            platform: platform.map_err(Failure::at("platform"))?,
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
        let fabric = fabric.map_err(Failure::at("fabric"))?;
        let body = json!({"profile": PROFILE, "address": fabric.address().to_string()});
        let key = format!("godwitreel/services/{service}");
        self.platform.put(&key, envelope(1, &body));
        self.fabrics.insert(service, fabric);
        for number in 0..count {
            let name = format!("{service}-{}", number + 1);
            let mut settings = server::Settings::new(&name, service);
            settings.notify_interval = NOTIFY_EVERY;
            let handle = server::start(settings).await;
            let backend = Backend {
                service,
                zone: ZONES[number % ZONES.len()],
                handle: handle.map_err(Failure::at("backend server"))?,
            };
            self.list(&name, &backend, "up");
            self.servers.insert(name, backend);
        }
        Ok(())
    }

    fn list(&self, name: &str, backend: &Backend, state: &str) {
        let listed = json!({
            "service": backend.service,
            "zone": backend.zone,
            "address": backend.handle.address().to_string(),
            "health": backend.handle.health_address().to_string(),
            "slots": 2,
            "state": state,
        });
        let key = format!("platform/servers/{name}");
        self.platform.put(&key, listed.to_string());
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
        let (logger, flush) = log::logger(&settings.log);
        let handle = daemon::start(settings, logger).await?;
        for (service, address) in &listeners {
            self.fabrics[service].add(*address);
        }
        self.instances.push(Instance {
            name,
            status,
            listeners,
            handle,
            _flush: flush,
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
                // Who this is, and where.
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

    /// Waits until every slice has a home and a backup and every server is used.
    pub(crate) async fn settled(&self) -> Result<(), Failure> {
        let end = Instant::now() + PATIENCE;
        while !self.is_settled().await {
            pause_until(end, "a home and a backup for every slice").await?;
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

    /// What an instance tells of itself.
    pub(crate) async fn status(&self, instance: &Instance) -> Option<Status> {
        let url = format!("http://{}/status", instance.status);
        let request = self.client.get(url).timeout(HTTP_TIMEOUT);
        request.send().await.ok()?.json().await.ok()
    }

    /// Opens a caller of a service.
    pub(crate) async fn caller(&self, service: &str, seed: u64) -> Result<caller::Caller, Failure> {
        let mut settings = caller::Settings::new(self.fabrics[service].address());
        settings.seed = seed;
        let caller = caller::start(settings).await;
        caller.map_err(Failure::at("caller"))
    }

    /// Stops an instance gracefully; the fabric learns of it a second late.
    pub(crate) async fn stop_instance(&mut self, place: usize) -> daemon::Stopped {
        const LATE: Duration = Duration::from_secs(1);
        let mut instance = self.instances.remove(place);
        let forget = async {
            sleep(LATE).await;
            for (service, address) in &instance.listeners {
                self.fabrics[service].remove(*address);
            }
        };
        let (stopped, ()) = tokio::join!(instance.handle.stop(), forget);
        stopped
    }

    /// Stops what is left.
    pub(crate) fn end(self) {
        for instance in self.instances {
            instance.handle.abort();
        }
    }

    /// Lets a backend server drain and lists it as leaving.
    pub(crate) fn drain_server(&self, name: &str) {
        let backend = &self.servers[name];
        backend.handle.drain(true);
        self.list(name, backend, "leaving");
    }

    /// Waits until a server has no feeds left.
    pub(crate) async fn vacated(&self, name: &str) -> Result<(), Failure> {
        let end = Instant::now() + PATIENCE;
        while self.servers[name].handle.observers() > 0 {
            pause_until(end, "the feeds to leave the draining server").await?;
        }
        Ok(())
    }

    /// Writes a revision of the profile.
    pub(crate) fn change_profile(&self, revision: u64, body: &Value) {
        let key = format!("godwitreel/profiles/{PROFILE}");
        self.platform.put(&key, envelope(revision, body));
    }

    /// Waits until the revision of the profile is in force at every instance.
    pub(crate) async fn in_force(&self, revision: u64) -> Result<(), Failure> {
        let key = format!("profiles/{PROFILE}");
        let end = Instant::now() + PATIENCE;
        for instance in &self.instances {
            loop {
                let status = self.status(instance).await;
                let known = status.and_then(|status| status.revisions.get(&key).copied());
                if known.is_some_and(|known| known.0 == revision) {
                    break;
                }
                pause_until(end, "the profile to be in force").await?;
            }
        }
        Ok(())
    }

    /// How often the booking was started, at all servers.
    pub(crate) fn starts(&self, booking: &str) -> u64 {
        let servers = self.servers.values();
        servers.map(|backend| backend.handle.starts(booking)).sum()
    }

    /// Requests that reached a server of another service.
    pub(crate) fn wrong_service(&self) -> u64 {
        let servers = self.servers.values();
        servers.map(|backend| backend.handle.wrong_service()).sum()
    }

    /// What each backend server counted.
    pub(crate) fn counts(&self) -> Vec<Count> {
        let count = |(name, backend): (&String, &Backend)| Count {
            name: name.clone(),
            service: backend.service,
            started: backend.handle.all_starts().values().sum(),
            peak: backend.handle.peak(),
            observers: backend.handle.observers(),
        };
        self.servers.iter().map(count).collect()
    }
}

/// Waits a little, or fails when the time is over.
async fn pause_until(end: Instant, what: &'static str) -> Result<(), Failure> {
    if Instant::now() >= end {
        return Err(Failure::Late(what));
    }
    sleep(LOOK_EVERY).await;
    Ok(())
}

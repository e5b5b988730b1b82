//! Carries out a run: starts all parts, injects the faults, and collects the results.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::time;

use crate::Error;
use crate::Result;
use crate::backend;
use crate::backend::Identity;
use crate::backend::RunningBackend;
use crate::caller;
use crate::caller::Host;
use crate::fault;
use crate::fault::Fault;
use crate::fault::Kind;
use crate::fault::Restore;
use crate::ledger::Ledger;
use crate::ledger::PROPAGATION_BOUND;
use crate::ledger::RECOVERY_TIME;
use crate::ledger::Summary;
use crate::link::Link;
use crate::link::LinkFault;
use crate::net::AddressPlan;
use crate::overload;
use crate::overload::Burst;
use crate::process;
use crate::process::Instance;
use crate::process::Setup;
use crate::router::Router;
use crate::store;
use crate::store::Mode;
use crate::store::Store;

/// Port of the route with idempotent requests.
const IDEMPOTENT_PORT: u16 = 8_001;
/// Port of the route with non-idempotent requests.
const NON_IDEMPOTENT_PORT: u16 = 8_002;
/// Port of the route that is withdrawn and added again.
const TOGGLED_PORT: u16 = 8_003;

/// Time without faults at the end of a run, in which the system must recover.
pub const FAULT_FREE_TAIL: Duration = Duration::from_secs(14);

/// Time from the start of the fault-free tail until a server drains and a route is
/// withdrawn. No fault suspends the bounds by then, so these changes reveal an instance
/// whose copy of the store has stopped following.
const FINAL_CHANGES_AFTER: Duration = Duration::from_secs(5);

/// Last part of the fault-free tail, in which requests must be served.
const RECOVERY_CHECK_WINDOW: Duration = Duration::from_secs(4);

/// Smallest share of the requests in that part that must be served, in percent.
const MIN_SERVED_PERCENT: u32 = 98;

/// Time after which the entry of a crashed server is deleted.
const ENTRY_TTL: Duration = Duration::from_millis(3_600);

/// Time for which a draining server runs.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// Time added to the length of a fault, for its after-effects.
const FAULT_MARGIN: Duration = Duration::from_millis(500);

/// Size of a run.
#[derive(Clone, Debug)]
pub struct Size {
    /// Entry instances.
    pub instances: u8,
    /// Backend servers of each of the two routes that always exist.
    pub servers: u8,
    /// Callers.
    pub callers: u8,
    /// Duration of fault injection.
    pub faults_for: Duration,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed from which the faults are drawn.
    pub seed: u64,
    /// Size of the run.
    pub size: Size,
    /// Program file of the entry instances.
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Addresses of the run.
    pub plan: AddressPlan,
    /// Whether zones are evacuated in addition to the faults.
    pub evacuates: bool,
    /// Whether the store is restored from older copies in addition to the faults.
    pub restores: bool,
    /// Whether a service with two priorities gets bursts of openings in addition to the
    /// faults.
    pub overloads: bool,
}

struct Testbed {
    options: Options,
    store: Arc<Store>,
    ledger: Arc<Ledger>,
    instances: Vec<Arc<Instance>>,
    /// Links from the instances to the store, by instance.
    store_links: Vec<Arc<Link>>,
    /// Links from the other instances to an instance, by that instance.
    peer_links: Vec<Arc<Link>>,
    backends: Mutex<Vec<Backend>>,
    /// Number of the next backend server; its address and serial are derived from it.
    next_server_number: AtomicU64,
    config_version: AtomicU64,
    /// Whether the configuration contains the toggled route.
    has_toggled_route: AtomicBool,
    /// Callers, from which the bursts come.
    hosts: OnceLock<Vec<Arc<Host>>>,
}

struct Backend {
    identity: Identity,
    /// Dropping it simulates a crash.
    running_backend: RunningBackend,
}

/// Carries out a run and returns its results.
///
/// # Errors
///
/// Fails when an address is in use or a process cannot be started.
pub async fn run(options: Options) -> Result<Summary> {
    let testbed = Arc::new(Testbed::start(options).await?);
    for instance in &testbed.instances {
        let ledger = Arc::clone(&testbed.ledger);
        let supervising = Arc::clone(instance).supervise(Arc::clone(&ledger));
        tokio::spawn(async move {
            if let Err(error) = supervising.await {
                ledger.record_breach("process not started again", error);
            }
        });
    }
    testbed.start_callers().await?;
    time::sleep(Duration::from_secs(2)).await;
    let fault_period = testbed.options.size.faults_for;
    let mut faults = fault::draw(testbed.options.seed, fault_period);
    if testbed.options.evacuates {
        faults.extend(fault::draw_evacuations(testbed.options.seed, fault_period));
    }
    if testbed.options.restores {
        faults.extend(fault::draw_restores(testbed.options.seed, fault_period));
    }
    if testbed.options.overloads {
        faults.extend(fault::draw_bursts(testbed.options.seed, fault_period));
    }
    faults.sort_by_key(|fault| fault.at);
    let begin = Instant::now();
    for fault in faults {
        let until = begin + fault.at;
        time::sleep_until(until.into()).await;
        let testbed = Arc::clone(&testbed);
        tokio::spawn(testbed.inject(fault));
    }
    // Waits for the last faults, which end by themselves.
    time::sleep(Duration::from_secs(5)).await;
    if testbed.options.overloads {
        let kind = Kind::Burst(overload::FINAL_BURST);
        let at = Duration::ZERO;
        tokio::spawn(Arc::clone(&testbed).inject(Fault { at, kind }));
    }
    time::sleep(FINAL_CHANGES_AFTER).await;
    for kind in [Kind::Drain(0), Kind::Route] {
        let at = Duration::ZERO;
        tokio::spawn(Arc::clone(&testbed).inject(Fault { at, kind }));
    }
    time::sleep(FAULT_FREE_TAIL - FINAL_CHANGES_AFTER).await;
    let summary = testbed.check_recovery();
    for instance in &testbed.instances {
        instance.end();
    }
    Ok(summary)
}

impl Testbed {
    async fn start(options: Options) -> Result<Self> {
        let plan = options.plan;
        let store = Arc::new(Store::default());
        let address = plan.store();
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| Error::Bind { address, source })?;
        tokio::spawn(store::serve(listener, Arc::clone(&store)));
        let mut store_links = Vec::new();
        let mut peer_links = Vec::new();
        let mut instances = Vec::new();
        for number in 1..=options.size.instances {
            let peers = SocketAddrV4::new(plan.instance(number), process::PEER_PORT);
            store_links.push(Link::open(plan.store_link(number), address).await?);
            peer_links.push(Link::open(plan.peer_link(number), peers).await?);
            instances.push(Instance::start(instance_setup(&options, number))?);
        }
        let testbed = Self {
            ledger: Arc::new(Ledger::default()),
            backends: Mutex::default(),
            next_server_number: AtomicU64::new(1),
            config_version: AtomicU64::new(0),
            has_toggled_route: AtomicBool::new(true),
            hosts: OnceLock::new(),
            options,
            store,
            instances,
            store_links,
            peer_links,
        };
        testbed.write_config();
        for index in 0..testbed.options.size.servers {
            let zone = testbed.options.evacuates.then_some(index % 2);
            testbed.add_server(IDEMPOTENT_PORT, zone).await?;
            testbed.add_server(NON_IDEMPOTENT_PORT, zone).await?;
        }
        let zone = testbed.options.evacuates.then_some(0);
        testbed.add_server(TOGGLED_PORT, zone).await?;
        if testbed.options.evacuates {
            testbed.add_server(TOGGLED_PORT, Some(1)).await?;
        }
        if testbed.options.overloads {
            for index in 0..2 * overload::SERVERS_PER_ZONE {
                let zone = Some(index % 2);
                testbed.add_server(overload::HIGH_PORT, zone).await?;
            }
        }
        Ok(testbed)
    }

    async fn start_callers(&self) -> Result<()> {
        let plan = self.options.plan;
        let next_request_id = Arc::new(AtomicU64::new(1));
        let zones = [2, 1].map(|number| self.start_routers(zone_name(number), &next_request_id));
        let mut hosts = Vec::new();
        for number in 1..=self.options.size.callers {
            let context = &zones[usize::from(number % 2)];
            let address = SocketAddrV4::new(plan.caller(number), plan.port);
            let host = Host::new(address, Arc::clone(context)).await?;
            hosts.push(Arc::clone(&host));
            let seed = self.options.seed ^ u64::from(number);
            tokio::spawn(Arc::clone(&host).send_requests(
                service_address(IDEMPOTENT_PORT),
                true,
                seed,
            ));
            tokio::spawn(Arc::clone(&host).open_flows(service_address(TOGGLED_PORT), seed));
            tokio::spawn(host.send_requests(service_address(NON_IDEMPOTENT_PORT), false, seed));
        }
        if self.options.overloads {
            self.send_prioritized_requests(&hosts);
        }
        // Callers are started once.
        let _ = self.hosts.set(hosts);
        Ok(())
    }

    /// Starts the requests on the routes with priorities, apart from the bursts.
    fn send_prioritized_requests(&self, hosts: &[Arc<Host>]) {
        for (number, host) in hosts.iter().take(overload::CALLERS).enumerate() {
            for (port, _) in overload::PRIORITIES {
                let seed = self.options.seed ^ (number as u64) ^ u64::from(port);
                let service = service_address(port);
                tokio::spawn(Arc::clone(host).send_sparse_requests(service, seed));
            }
        }
    }

    /// Starts the routers of a zone and returns the state that its callers share. The
    /// routers of a zone without instances use the instances of all zones.
    fn start_routers(
        &self,
        zone: &str,
        next_request_id: &Arc<AtomicU64>,
    ) -> Arc<caller::CallerContext> {
        let all = || self.instances.iter();
        let own_addresses: Vec<Ipv4Addr> = all()
            .filter(|instance| instance.zone() == zone)
            .map(|instance| instance.address())
            .collect();
        let addresses = if own_addresses.is_empty() {
            all().map(|instance| instance.address()).collect()
        } else {
            own_addresses
        };
        let router = Router::new(&addresses, self.options.plan.port);
        let probing_router = Arc::clone(&router);
        tokio::spawn(probing_router.probe(
            process::READY_PORT,
            process::STATUS_PORT,
            Arc::clone(&self.ledger),
        ));
        Arc::new(caller::CallerContext {
            router,
            ledger: Arc::clone(&self.ledger),
            next_request_id: Arc::clone(next_request_id),
        })
    }

    /// Starts a server and registers it in the store. If no zone is given, the server's
    /// number determines the zone.
    async fn add_server(&self, port: u16, zone: Option<u8>) -> Result<()> {
        let number = self.next_server_number.fetch_add(1, Ordering::Relaxed);
        let identity = Identity {
            address: self.options.plan.backend((number % 250) as u8 + 1),
            serial: 0x1000_0000 + number,
            port,
            shared_port: (port == overload::HIGH_PORT).then_some(overload::LOW_PORT),
            capacity: (port == overload::HIGH_PORT).then_some(overload::CAPACITY),
            zone: zone.unwrap_or((number % 2) as u8),
        };
        let running = backend::start(identity, Arc::clone(&self.ledger)).await?;
        self.store
            .put(&server_key(&identity), &server_entry(&identity, "ready"));
        self.backends.lock().await.push(Backend {
            identity,
            running_backend: running,
        });
        Ok(())
    }

    /// Writes the next configuration.
    fn write_config(&self) {
        let version = self.config_version.fetch_add(3, Ordering::Relaxed) + 3;
        let has_toggled_route = self.has_toggled_route.load(Ordering::Relaxed);
        let mut routes = vec![route_json(IDEMPOTENT_PORT), route_json(NON_IDEMPOTENT_PORT)];
        routes.extend(has_toggled_route.then(|| route_json(TOGGLED_PORT)));
        if self.options.overloads {
            routes.extend(overload::PRIORITIES.map(|(port, priority)| {
                let mut route = route_json(port);
                overload::add_class(&mut route, priority);
                route
            }));
        }
        let value = json!({
            "version": version,
            "routes": routes,
            "services": [],
            "limits": {"idleTimeoutMs": 15_000},
        });
        self.store.put("op/config", &value);
        if version == 3 {
            self.ledger.set_route(IDEMPOTENT_PORT, true);
            self.ledger.set_route(NON_IDEMPOTENT_PORT, true);
            if self.options.overloads {
                for (port, priority) in overload::PRIORITIES {
                    self.ledger.set_route(port, true);
                    self.ledger.set_priority(port, priority);
                }
            }
        }
        self.ledger.set_route(TOGGLED_PORT, has_toggled_route);
    }

    async fn inject(self: Arc<Self>, fault: Fault) {
        self.ledger.record_fault(fault.kind);
        match fault.kind {
            Kind::Stop(target) => self.signal(target, Signal::SIGTERM, Duration::from_secs(6)),
            Kind::Kill(target) => self.signal(target, Signal::SIGKILL, FAULT_MARGIN),
            Kind::KillAll => {
                for target in 0..self.options.size.instances {
                    self.signal(target, Signal::SIGKILL, FAULT_MARGIN);
                }
            }
            Kind::Reload(target) => self.signal(target, Signal::SIGHUP, Duration::ZERO),
            Kind::Freeze(target, ms) => self.freeze(target, Duration::from_millis(ms)).await,
            Kind::Link(target, link_fault, ms) => {
                self.fault_link(target, link_fault, Duration::from_millis(ms))
                    .await
            }
            Kind::Peers(target, link_fault, ms) => {
                self.fault_peer_link(target, link_fault, Duration::from_millis(ms))
                    .await;
            }
            Kind::Store(mode, ms) => self.fault_store(mode, Duration::from_millis(ms)).await,
            Kind::Lapse(ms) => self.lapse_entries(Duration::from_millis(ms)).await,
            Kind::Compact => self.compact().await,
            Kind::Revoke => self.store.revoke(),
            Kind::Restore(restore) => self.restore_store(restore).await,
            Kind::Crash(target) => self.crash_server(target).await,
            Kind::Drain(target) => self.drain_server(target).await,
            Kind::Route => self.toggle_route().await,
            Kind::Evacuate(zone, ms) => self.evacuate_zone(zone, Duration::from_millis(ms)).await,
            Kind::Burst(burst) => self.send_burst(burst).await,
            Kind::Storm(count) => {
                for _ in 0..count {
                    self.write_config();
                    time::sleep(Duration::from_millis(80)).await;
                }
            }
        }
    }

    async fn send_burst(&self, burst: Burst) {
        let length = Duration::from_millis(burst.ms);
        self.ledger
            .mark_overloaded(length + overload::BURST_RECOVERY);
        let hosts = self.hosts.get().map_or(&[][..], Vec::as_slice);
        overload::send_burst(hosts, burst, service_address).await;
        self.ledger.mark_overloaded(overload::BURST_RECOVERY);
    }

    fn instance(&self, target: u8) -> &Arc<Instance> {
        &self.instances[usize::from(target) % self.instances.len()]
    }

    fn signal(&self, target: u8, signal: Signal, duration: Duration) {
        let instance = self.instance(target);
        self.ledger.mark_disturbed(instance.address(), duration);
        instance.signal(signal);
    }

    async fn freeze(&self, target: u8, duration: Duration) {
        let instance = self.instance(target);
        self.ledger
            .mark_disturbed(instance.address(), duration + FAULT_MARGIN);
        instance.signal(Signal::SIGSTOP);
        time::sleep(duration).await;
        instance.signal(Signal::SIGCONT);
    }

    async fn fault_link(&self, target: u8, link_fault: LinkFault, duration: Duration) {
        let instance = self.instance(target);
        let link = &self.store_links[usize::from(target) % self.store_links.len()];
        self.ledger
            .mark_disturbed(instance.address(), duration + FAULT_MARGIN);
        link.set(link_fault);
        time::sleep(duration).await;
        link.set(LinkFault::None);
        self.ledger.mark_disturbed(instance.address(), FAULT_MARGIN);
    }

    /// Sets a fault on the link by which other instances reach this one. Instances that
    /// subscribe to it still reach the store, so none of their guarantees is suspended.
    async fn fault_peer_link(&self, target: u8, link_fault: LinkFault, duration: Duration) {
        let link = &self.peer_links[usize::from(target) % self.peer_links.len()];
        link.set(link_fault);
        time::sleep(duration).await;
        link.set(LinkFault::None);
    }

    async fn fault_store(&self, mode: Mode, duration: Duration) {
        self.ledger.mark_store_disturbed(duration + FAULT_MARGIN);
        self.store.set_mode(mode);
        time::sleep(duration).await;
        self.store.set_mode(Mode::Up);
        self.ledger.mark_store_disturbed(FAULT_MARGIN);
    }

    /// Deletes the servers' entries while the store does not answer, and registers the
    /// servers again afterwards.
    async fn lapse_entries(&self, duration: Duration) {
        self.ledger.mark_store_disturbed(duration + FAULT_MARGIN);
        self.store.set_mode(Mode::Silent);
        time::sleep(duration).await;
        let identities: Vec<Identity> = {
            let backends = self.backends.lock().await;
            backends.iter().map(|backend| backend.identity).collect()
        };
        for identity in &identities {
            self.store.remove(&server_key(identity));
        }
        self.store.set_mode(Mode::Up);
        time::sleep(Duration::from_millis(1_200)).await;
        let backends = self.backends.lock().await;
        for backend in backends.iter() {
            let identity = &backend.identity;
            self.store
                .put(&server_key(identity), &server_entry(identity, "ready"));
        }
        self.ledger.mark_store_disturbed(FAULT_MARGIN);
    }

    /// Drops the history while polling instances are behind; they must detect it and read
    /// the entries again.
    async fn compact(&self) {
        self.ledger.mark_store_disturbed(FAULT_MARGIN);
        self.store.set_mode(Mode::Silent);
        self.write_config();
        time::sleep(Duration::from_secs(1)).await;
        self.write_config();
        self.store.compact();
        self.store.set_mode(Mode::Up);
        self.ledger.mark_store_disturbed(FAULT_MARGIN);
    }

    /// Makes the store come back from a copy that it made some time before.
    async fn restore_store(&self, restore: Restore) {
        let backup = self.store.backup();
        time::sleep(Duration::from_millis(restore.age)).await;
        let away = Duration::from_millis(restore.away);
        let again = Duration::from_millis(restore.again);
        self.ledger
            .mark_store_disturbed(away + again + FAULT_MARGIN);
        self.store.set_mode(Mode::Silent);
        time::sleep(away).await;
        self.store.restore(&backup);
        self.store.set_mode(Mode::Up);
        time::sleep(again).await;
        self.store.write_again();
        self.ledger.mark_store_disturbed(FAULT_MARGIN);
    }

    /// Removes a server from the list if another one remains: each route keeps a server,
    /// in each zone if zones are evacuated.
    async fn take_removable_server(&self, target: u8) -> Option<Backend> {
        let mut backends = self.backends.lock().await;
        let index = usize::from(target) % backends.len();
        let Identity { port, zone, .. } = backends[index].identity;
        let ignores_zone = !self.keeps_zone(port);
        let is_alternative =
            |b: &&Backend| b.identity.port == port && (ignores_zone || b.identity.zone == zone);
        let others = backends.iter().filter(is_alternative).count();
        (others > 1).then(|| backends.remove(index))
    }

    /// Whether each zone must keep a server of a route's service.
    fn keeps_zone(&self, port: u16) -> bool {
        self.options.evacuates || port == overload::HIGH_PORT
    }

    async fn crash_server(&self, target: u8) {
        let Some(backend) = self.take_removable_server(target).await else {
            return;
        };
        let identity = backend.identity;
        if identity.capacity.is_some() {
            self.ledger.mark_overloaded(ENTRY_TTL + RECOVERY_TIME);
        }
        drop(backend);
        time::sleep(ENTRY_TTL).await;
        self.store.remove(&server_key(&identity));
        self.start_replacement(identity).await;
    }

    async fn drain_server(&self, target: u8) {
        let Some(backend) = self.take_removable_server(target).await else {
            return;
        };
        let identity = backend.identity;
        self.start_replacement(identity).await;
        self.store
            .put(&server_key(&identity), &server_entry(&identity, "draining"));
        self.ledger.server_draining(identity.serial);
        backend.running_backend.drain();
        time::sleep(DRAIN_TIME).await;
        self.store.remove(&server_key(&identity));
        drop(backend);
    }

    async fn evacuate_zone(&self, number: u8, duration: Duration) {
        let evacuation_key = format!("op/evacuate/{}", zone_name(number));
        self.store.put(&evacuation_key, &json!({}));
        self.ledger.set_zone_evacuated(number, true);
        // The other zone's servers must process all requests.
        self.ledger.mark_overloaded(duration + RECOVERY_TIME);
        time::sleep(duration).await;
        // Recorded before the entry is deleted, since new flows may follow at once.
        self.ledger.set_zone_evacuated(number, false);
        self.store.remove(&evacuation_key);
    }

    async fn start_replacement(&self, previous: Identity) {
        let zone = self.keeps_zone(previous.port).then_some(previous.zone);
        if let Err(error) = self.add_server(previous.port, zone).await {
            self.ledger
                .record_fault(format_args!("replacement server not started: {error}"));
        }
    }

    async fn toggle_route(&self) {
        let was_present = self.has_toggled_route.fetch_xor(true, Ordering::Relaxed);
        self.write_config();
        if was_present {
            time::sleep(Duration::from_secs(5)).await;
            self.has_toggled_route.store(true, Ordering::Relaxed);
            self.write_config();
        }
    }

    /// Checks that the system has recovered, and returns the results.
    fn check_recovery(&self) -> Summary {
        let summary = self.ledger.summary();
        let checked_seconds = RECOVERY_CHECK_WINDOW.as_secs() as usize;
        let seconds = &summary.seconds[summary.seconds.len().saturating_sub(checked_seconds)..];
        let served: u32 = seconds.iter().map(|second| second.served).sum();
        let failed: u32 = seconds.iter().map(|second| second.failed).sum();
        if served * 100 < (served + failed) * MIN_SERVED_PERCENT || served == 0 {
            let detail = format!("{served} served, {failed} not");
            self.ledger
                .record_breach("no recovery after the faults", detail);
        }
        self.ledger.check_priorities(RECOVERY_CHECK_WINDOW);
        self.ledger.summary()
    }
}

/// Longest wait of a starting instance for another instance's copy of the store.
const COPY_WAIT: Duration = Duration::from_millis(60);

/// Bandwidth of the instances' network links, in Mbit/s.
const LINK_MBPS: f64 = 1_000.0;

fn instance_setup(options: &Options, number: u8) -> Setup {
    let plan = options.plan;
    Setup {
        program: options.program.clone(),
        folder: options.folder.clone(),
        name: format!("entry-{number}"),
        address: plan.instance(number),
        packet_port: plan.port,
        zone: zone_name(number).to_owned(),
        store_address: plan.store_link(number),
        copy_wait: COPY_WAIT,
        link_mbps: LINK_MBPS,
        update_bound: PROPAGATION_BOUND,
        advertised_address: plan.peer_link(number),
        seeds: (1..=options.size.instances.min(3))
            .map(|number| plan.peer_link(number))
            .collect(),
        balancing: options.overloads.then(overload::balancing),
    }
}

/// Name of the zone of an instance, a caller or a server, by its number. Even and odd
/// numbers have different zones.
fn zone_name(number: u8) -> &'static str {
    if number.is_multiple_of(2) {
        "zone-2"
    } else {
        "zone-1"
    }
}

fn service_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

fn route_json(port: u16) -> Value {
    json!({
        "name": format!("route-{port}"),
        "host": service_address(port).ip(),
        "prefix": format!("/{port}/"),
        "service": format!("service-{port}"),
    })
}

fn server_key(identity: &Identity) -> String {
    format!("servers/i-{:x}", identity.serial)
}

fn server_entry(identity: &Identity, state: &str) -> Value {
    json!({
        "service": format!("service-{}", identity.port),
        "addr": identity.address.to_string(),
        "zone": zone_name(identity.zone),
        "version": "v1",
        "slots": identity.capacity.map_or(4, |capacity| capacity.slots),
        "state": state,
        "coldLeftMs": 0,
        "seq": 1,
    })
}

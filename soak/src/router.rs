//! Simulated routers: they send each packet to one of the instances that are ready.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use godwitreel::flow::FlowKey;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::ledger::Ledger;

/// Time between two readiness probes, and the timeout of a probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Consecutive failed probes after which an instance gets no more packets.
const MAX_MISSES: u32 = 2;

/// An instance with the result of its probes.
#[derive(Clone, Copy, Debug)]
struct Instance {
    address: Ipv4Addr,
    /// Consecutive failed probes.
    misses: u32,
}

/// Routers of one zone.
pub struct Router {
    instances: Mutex<Vec<Instance>>,
    packet_port: u16,
}

impl Router {
    /// Creates routers to these instances, which receive packets on this port.
    pub fn new(instances: &[Ipv4Addr], packet_port: u16) -> Arc<Self> {
        let unprobed = |address: &Ipv4Addr| Instance {
            address: *address,
            misses: MAX_MISSES,
        };
        Arc::new(Self {
            instances: Mutex::new(instances.iter().map(unprobed).collect()),
            packet_port,
        })
    }

    /// Address to which a flow's packets are sent now. The flow's hash picks one of the
    /// ready instances, or one of all instances if fewer than half are ready.
    pub fn choose_instance(&self, flow_key: &FlowKey) -> SocketAddrV4 {
        let instances = self.instances.lock();
        let instances = instances.unwrap_or_else(PoisonError::into_inner);
        let ready: Vec<Ipv4Addr> = instances
            .iter()
            .filter(|instance| instance.misses < MAX_MISSES)
            .map(|instance| instance.address)
            .collect();
        let all: Vec<Ipv4Addr> = instances.iter().map(|i| i.address).collect();
        let candidates = if ready.len() * 2 < all.len() {
            all
        } else {
            ready
        };
        let mut hasher = DefaultHasher::new();
        flow_key.hash(&mut hasher);
        let index = hasher.finish() as usize % candidates.len();
        SocketAddrV4::new(candidates[index], self.packet_port)
    }

    /// Probes the readiness of all instances, and reads their status, until the run ends.
    pub async fn probe(self: Arc<Self>, ready: u16, status: u16, ledger: Arc<Ledger>) {
        loop {
            let all: Vec<Ipv4Addr> = {
                let instances = self.instances.lock();
                let instances = instances.unwrap_or_else(PoisonError::into_inner);
                instances.iter().map(|i| i.address).collect()
            };
            for address in all {
                let router = Arc::clone(&self);
                let ledger = Arc::clone(&ledger);
                tokio::spawn(async move {
                    let response = http_get(SocketAddrV4::new(address, ready), "/ready").await;
                    router.record_probe(address, response.is_some_and(|a| a.contains(" 200 ")));
                    let status_response =
                        http_get(SocketAddrV4::new(address, status), "/status").await;
                    if let Some(age) = status_response.as_deref().and_then(view_age) {
                        ledger.record_view_age(age);
                    }
                });
            }
            time::sleep(PROBE_INTERVAL).await;
        }
    }

    fn record_probe(&self, address: Ipv4Addr, is_ready: bool) {
        let instances = self.instances.lock();
        let mut instances = instances.unwrap_or_else(PoisonError::into_inner);
        for instance in instances.iter_mut().filter(|i| i.address == address) {
            instance.misses = if is_ready { 0 } else { instance.misses + 1 };
        }
    }
}

fn view_age(response: &str) -> Option<u64> {
    let (_, remainder) = response.split_once("\"contact_age_ms\":")?;
    let digits: String = remainder.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Sends a GET request; returns the response with its head, or `None` on failure or
/// timeout.
pub async fn http_get(address: SocketAddrV4, path: &str) -> Option<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.ok()?;
        Some(String::from_utf8_lossy(&response).into_owned())
    };
    time::timeout(PROBE_INTERVAL, exchange).await.ok().flatten()
}

//! The routers: each packet goes to one of the instances that are ready.

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

/// Time between two questions for readiness.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Questions in a row without the right answer that take an instance out.
const MISSES: u32 = 2;

/// An instance as the routers know it.
#[derive(Clone, Copy, Debug)]
struct Instance {
    address: Ipv4Addr,
    misses: u32,
}

/// The routers of one zone.
pub struct Router {
    instances: Mutex<Vec<Instance>>,
    packets: u16,
}

impl Router {
    /// Routers of these instances, which take packets at this port.
    pub fn new(instances: &[Ipv4Addr], packets: u16) -> Arc<Self> {
        let unknown = |address: &Ipv4Addr| Instance {
            address: *address,
            misses: MISSES,
        };
        Arc::new(Self {
            instances: Mutex::new(instances.iter().map(unknown).collect()),
            packets,
        })
    }

    /// Where a flow's packets go now: the hash picks among the instances in
    /// rotation, among all when less than half of them are.
    pub fn pick(&self, flow_key: &FlowKey) -> SocketAddrV4 {
        let instances = self.instances.lock();
        let instances = instances.unwrap_or_else(PoisonError::into_inner);
        let ready: Vec<Ipv4Addr> = instances
            .iter()
            .filter(|instance| instance.misses < MISSES)
            .map(|instance| instance.address)
            .collect();
        let all: Vec<Ipv4Addr> = instances.iter().map(|i| i.address).collect();
        let some = if ready.len() * 2 < all.len() {
            all
        } else {
            ready
        };
        let mut hasher = DefaultHasher::new();
        flow_key.hash(&mut hasher);
        let index = hasher.finish() as usize % some.len();
        SocketAddrV4::new(some[index], self.packets)
    }

    /// Asks all instances for readiness until the run ends.
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
                    let answer = ask(SocketAddrV4::new(address, ready), "/ready").await;
                    router.note(address, answer.is_some_and(|a| a.contains(" 200 ")));
                    let told = ask(SocketAddrV4::new(address, status), "/status").await;
                    if let Some(age) = told.as_deref().and_then(view_age) {
                        ledger.view_age(age);
                    }
                });
            }
            time::sleep(ASK_EVERY).await;
        }
    }

    fn note(&self, address: Ipv4Addr, is_ready: bool) {
        let instances = self.instances.lock();
        let mut instances = instances.unwrap_or_else(PoisonError::into_inner);
        for instance in instances.iter_mut().filter(|i| i.address == address) {
            instance.misses = if is_ready { 0 } else { instance.misses + 1 };
        }
    }
}

fn view_age(answer: &str) -> Option<u64> {
    let (_, rest) = answer.split_once("\"contact_age_ms\":")?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// The whole answer to a GET, if it comes in time.
pub async fn ask(address: SocketAddrV4, path: &str) -> Option<String> {
    let asking = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        Some(String::from_utf8_lossy(&answer).into_owned())
    };
    time::timeout(ASK_EVERY, asking).await.ok().flatten()
}

//! Overload of a service: two routes of different priority share its servers, which have
//! few slots, and bursts of openings exceed what these can process.

use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use godwitreel::flow::Priority;
use serde_json::Value;
use serde_json::json;
use tokio::time;
use tokio::time::Instant;

use crate::caller::Host;

/// Port of the route with the higher priority; the service is named after it.
pub const HIGH_PORT: u16 = 8_004;
/// Port of the route with the lower priority.
pub const LOW_PORT: u16 = 8_005;

/// Ports of the routes and their priorities.
pub const PRIORITIES: [(u16, Priority); 2] = [(HIGH_PORT, Priority(0)), (LOW_PORT, Priority(2))];

/// Servers of the service in each of the two zones.
pub const SERVERS_PER_ZONE: u8 = 2;

/// Callers that use the routes between the bursts. They have at most four requests in
/// progress in a zone, which is less than its slots, so that no request may be refused.
pub const CALLERS: usize = 4;

/// Time after a burst in which its requests end: the callers' time limit and a margin.
pub const BURST_RECOVERY: Duration = Duration::from_secs(3);

/// Interval at which the openings of a burst are sent.
const BURST_TICK: Duration = Duration::from_millis(10);

/// Requests that a server runs and queues at a time; it rejects further ones.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub queue: u32,
}

/// Capacity of each server of the service.
pub const CAPACITY: Capacity = Capacity { slots: 3, queue: 3 };

/// Time that a request takes at a server of the service, in milliseconds.
pub const RUN_TIME_MS: RangeInclusive<u64> = 40..=80;

/// Requests that all servers of the service process in a second: 4 servers with 3 slots,
/// and 60 ms for a request.
const REQUESTS_PER_SECOND: f64 = 200.0;

/// Openings at a rate above the capacity of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Burst {
    /// Rate of the openings, in percent of the requests that the servers can process.
    pub percent: u16,
    /// Share of the route with the higher priority, in percent. Its openings alone must
    /// leave servers that accept some of the others.
    pub high_percent: u16,
    /// Length in milliseconds.
    pub ms: u64,
}

/// The burst after the faults, from which the system must recover.
pub const FINAL_BURST: Burst = Burst {
    percent: 300,
    high_percent: 30,
    ms: 4_000,
};

/// Adds the class of a priority to the JSON of a route, and the service.
pub fn add_class(route: &mut Value, priority: Priority) {
    route["service"] = json!(format!("service-{HIGH_PORT}"));
    route["priority"] = json!(priority.0);
    route["goalMs"] = json!(300);
    route["timeoutMs"] = json!(2_500);
    route["type"] = json!("non_idempotent");
}

/// Settings of the instances that switch on the decisions under load.
pub fn balancing() -> Value {
    json!({"owners_per_server": 2, "learns_speed": true, "admits_by_priority": true})
}

/// Sends the openings of a burst, from all callers in turn.
pub async fn send_burst(hosts: &[Arc<Host>], burst: Burst, address: fn(u16) -> SocketAddrV4) {
    let rate = REQUESTS_PER_SECOND * f64::from(burst.percent) / 100.0;
    let begin = Instant::now();
    let length = Duration::from_millis(burst.ms);
    let mut sent_count = 0;
    loop {
        let elapsed = begin.elapsed().min(length);
        while (sent_count as f64) < rate * elapsed.as_secs_f64() {
            // Distributes the route with the higher priority evenly over time.
            let is_high = sent_count * 37 % 100 < usize::from(burst.high_percent);
            let port = if is_high { HIGH_PORT } else { LOW_PORT };
            let host = Arc::clone(&hosts[sent_count % hosts.len()]);
            tokio::spawn(host.send_request(address(port)));
            sent_count += 1;
        }
        if elapsed == length {
            return;
        }
        time::sleep(BURST_TICK).await;
    }
}

//! Load, guaranteed rates and decisions of one service with several priorities.
//!
//! Load pattern: thousands of openings per second before up to some thousand servers. The
//! servers are therefore scanned at intervals, and in between each request that begins or
//! ends is counted.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::Priority;
use crate::flow::load::admission::Floor;
use crate::flow::load::admission::Threshold;
use crate::flow::load::capacity::Capacity;
use crate::flow::load::capacity::InProgress;
use crate::flow::load::window::ResponseTime;
use crate::flow::load::window::Window;
use crate::id;

/// Time between two scans of a service's servers.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// Number of instances that share the callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Instances {
    /// Those of this zone.
    pub(crate) zone: usize,
    /// Those of all zones.
    pub(crate) all: usize,
}

/// Sums over the usable servers of a zone.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    slots: u32,
    requests: u32,
}

/// A service's usable servers in one zone.
#[derive(Clone, Debug)]
struct Zone {
    id: id::Zone,
    slots: u32,
    /// This instance's requests at all of the zone's servers; only those at usable ones after
    /// a scan.
    requests: InProgress,
    scanned: Scan,
    /// Response time of this instance's requests, kept for its own zone.
    response_time: ResponseTime,
    /// Limit of this instance's requests, used for other zones.
    window: Window,
}

impl Zone {
    fn new(id: &id::Zone) -> Self {
        Self {
            id: id.clone(),
            slots: 0,
            requests: InProgress::default(),
            scanned: Scan::default(),
            response_time: ResponseTime::default(),
            window: Window::default(),
        }
    }

    /// Capacity of another zone, shared by the instances of all zones.
    fn remote_capacity(&self, instances: Instances) -> Capacity {
        Capacity {
            slots: self.slots,
            instances: instances.all,
        }
    }
}

/// Where an opening may be placed now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// At any server.
    Anywhere,
    /// At the servers of these zones, which are not this instance's; otherwise, at any server
    /// at the guaranteed rate of the priority.
    Zones(Vec<id::Zone>, Priority),
    /// Nowhere.
    Short,
}

/// Openings of one priority since the start, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Placed, at once or after a wait.
    pub admitted: u64,
    /// Queued.
    pub waited: u64,
    /// Refused for want of capacity.
    pub refused: u64,
}

/// State of one service.
#[derive(Debug)]
pub(crate) struct Service {
    highest: Priority,
    /// This instance's zone first.
    zones: Vec<Zone>,
    floors: BTreeMap<Priority, Floor>,
    scanned_at: Option<Instant>,
    pub(crate) counts: BTreeMap<Priority, Counts>,
}

impl Service {
    pub(crate) fn new(zone: &id::Zone, highest: Priority) -> Self {
        Self {
            highest,
            zones: vec![Zone::new(zone)],
            floors: BTreeMap::new(),
            scanned_at: None,
            counts: BTreeMap::new(),
        }
    }

    pub(crate) fn set_highest(&mut self, highest: Priority) {
        self.highest = highest;
    }

    pub(crate) fn is_highest(&self, priority: Priority) -> bool {
        priority <= self.highest
    }

    pub(crate) fn is_scan_due(&self, now: Instant) -> bool {
        self.scanned_at.is_none_or(|at| now >= at + SCAN_INTERVAL)
    }

    /// Takes in the usable servers: zone, slots and this instance's requests in progress.
    pub(crate) fn scan<'a>(
        &mut self,
        now: Instant,
        servers: impl Iterator<Item = (&'a id::Zone, u32, u32)>,
    ) {
        self.scanned_at = Some(now);
        for zone in &mut self.zones {
            zone.scanned = Scan::default();
        }
        for (id, slots, requests) in servers {
            let index = self.index(id);
            let scanned = &mut self.zones[index].scanned;
            scanned.slots = scanned.slots.saturating_add(slots);
            scanned.requests = scanned.requests.saturating_add(requests);
        }
        for zone in &mut self.zones {
            zone.slots = zone.scanned.slots;
            zone.requests.set(now, zone.scanned.requests);
        }
    }

    fn index(&mut self, id: &id::Zone) -> usize {
        let known = self.zones.iter().position(|zone| zone.id == *id);
        known.unwrap_or_else(|| {
            self.zones.push(Zone::new(id));
            self.zones.len() - 1
        })
    }

    /// Counts a request or an opening that begins at a server of this zone.
    pub(crate) fn begin(&mut self, zone: &id::Zone, now: Instant) {
        let index = self.index(zone);
        self.zones[index].requests.begin(now);
    }

    /// Counts a request or an opening that ends at a server of this zone.
    pub(crate) fn end(&mut self, zone: &id::Zone, now: Instant) {
        let index = self.index(zone);
        self.zones[index].requests.end(now);
    }

    /// Takes in an answer of a server of this zone.
    pub(crate) fn answered(
        &mut self,
        zone: &id::Zone,
        now: Instant,
        response_time: Duration,
        instances: Instances,
    ) {
        match self.index(zone) {
            0 => self.zones[0].response_time.sample(response_time),
            index => {
                let local = self.zones[0].response_time;
                let zone = &mut self.zones[index];
                let capacity = zone.remote_capacity(instances);
                zone.window.answered(now, capacity, response_time, &local);
            }
        }
    }

    /// Takes in that a server of this zone has not answered a request.
    pub(crate) fn stalled(&mut self, zone: &id::Zone, now: Instant, instances: Instances) {
        let index = self.index(zone);
        let zone = &mut self.zones[index];
        let capacity = zone.remote_capacity(instances);
        zone.window.reduce(now, capacity);
    }

    /// Slots of the usable servers in this zone.
    pub(crate) fn slots(&self) -> u32 {
        self.zones[0].slots
    }

    /// Load of this zone's servers, smoothed.
    pub(crate) fn load(&self, now: Instant, instances: Instances) -> f64 {
        let capacity = self.local_capacity(instances);
        capacity.load(self.zones[0].requests.mean(now))
    }

    /// This instance's requests in progress at this zone's servers.
    pub(crate) fn in_progress(&self) -> u32 {
        self.zones[0].requests.count()
    }

    fn local_capacity(&self, instances: Instances) -> Capacity {
        Capacity {
            slots: self.zones[0].slots,
            instances: instances.zone,
        }
    }

    /// Requests per second that this zone's servers process for this instance.
    pub(crate) fn share_rate(
        &self,
        now: Instant,
        instances: Instances,
        response_time: Option<Duration>,
    ) -> f64 {
        let load = self.load(now, instances);
        let capacity = self.local_capacity(instances);
        capacity.share_rate(response_time, load)
    }

    /// Decides where an opening may be placed.
    ///
    /// Without any usable server, there is no evidence of a shortage, and the selection
    /// falls back to suspected servers.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        instances: Instances,
        response_time: Option<Duration>,
        (priority, threshold): (Priority, Threshold),
    ) -> Placement {
        let has_slots = self.zones.iter().any(|zone| zone.slots > 0);
        if self.is_highest(priority) || !has_slots {
            return Placement::Anywhere;
        }
        let local = self.local_capacity(instances);
        let is_admitted = threshold.admits(local, &self.zones[0].requests, now);
        let mut remote = Vec::new();
        if !is_admitted {
            remote.extend(self.zones_with_room(now, instances));
        }
        if !remote.is_empty() {
            return Placement::Zones(remote, priority);
        }
        // Openings that are admitted anyway use up the guaranteed rate as well.
        let has_token = self.takes_floor(now, instances, response_time, priority);
        match is_admitted || has_token {
            true => Placement::Anywhere,
            false => Placement::Short,
        }
    }

    /// Takes a token of the guaranteed rate of a lower priority.
    pub(crate) fn takes_floor(
        &mut self,
        now: Instant,
        instances: Instances,
        response_time: Option<Duration>,
        priority: Priority,
    ) -> bool {
        let rate = self.share_rate(now, instances, response_time);
        self.floors.entry(priority).or_default().take(now, rate)
    }

    fn zones_with_room(
        &self,
        now: Instant,
        instances: Instances,
    ) -> impl Iterator<Item = id::Zone> {
        let has_room = move |zone: &&Zone| {
            let capacity = zone.remote_capacity(instances);
            zone.window.has_room(now, capacity, &zone.requests)
        };
        let others = self.zones.iter().skip(1);
        others.filter(has_room).map(|zone| zone.id.clone())
    }

    /// Counts an opening of this priority.
    pub(crate) fn count(&mut self, priority: Priority, count: impl FnOnce(&mut Counts)) {
        count(self.counts.entry(priority).or_default());
    }
}

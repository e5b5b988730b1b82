//! Servers that hang, or fail at once, while health checks and handshakes succeed.

use godwitreel::flow::DataPlane;
use godwitreel::flow::Incarnation;
use godwitreel::flow::OutcomeCounts;
use godwitreel::flow::Server;
use godwitreel::flow::ServerOutcomes;
use godwitreel::flow::StateUpdate;
use godwitreel::flow::Tag;
use godwitreel::flow::Target;
use tokio::time::Instant;

use crate::support::*;

/// How a server answers: the delay in milliseconds and the size of the answer.
#[derive(Clone, Copy)]
pub(crate) struct Behavior {
    after_ms: u64,
    bytes: u32,
}

pub(crate) const GOOD: Behavior = Behavior {
    after_ms: 40,
    bytes: 1_000,
};
const FAILING: Behavior = Behavior {
    after_ms: 1,
    bytes: 150,
};
pub(crate) const HANGING: Behavior = Behavior {
    after_ms: u64::MAX,
    bytes: 0,
};

/// The pending end of a request: its answer, or the caller's timeout.
struct Pending {
    at: Instant,
    caller: Caller,
    target: Target,
    bytes: u32,
}

/// Load generator: callers that send a new request every 10 ms.
pub(crate) struct LoadGenerator {
    pub(crate) plane: DataPlane,
    pub(crate) now: Instant,
    port: u16,
    pending: Vec<Pending>,
}

impl LoadGenerator {
    pub(crate) fn new(servers: Vec<Server>) -> Self {
        let now = Instant::now();
        Self {
            plane: plane(now, servers),
            now,
            port: 1,
            pending: Vec::new(),
        }
    }

    /// Sends `count` requests. Returns the number of requests per server.
    pub(crate) fn run(&mut self, count: usize, behavior: impl Fn(u64) -> Behavior) -> Vec<usize> {
        let mut counts = vec![0; 10];
        for _ in 0..count {
            self.now += ms(10);
            self.finish_due();
            self.plane.expire(self.now);
            self.port += 1;
            let caller = Caller::new(self.port, BOOKINGS);
            let opening = self.plane.receive(self.now, &caller.opening(0), b"packet");
            let target = forwarded(opening);
            self.plane
                .receive(self.now + ms(2), &caller.data(0, target.tag), b"");
            let number = target.serial.0;
            counts[number as usize] += 1;
            let behavior = behavior(number);
            // A caller without an answer gives up after two seconds.
            let after = behavior.after_ms.min(2_000);
            self.pending.push(Pending {
                at: self.now + ms(2 + after),
                caller,
                target,
                bytes: behavior.bytes,
            });
        }
        counts
    }

    fn finish_due(&mut self) {
        let now = self.now;
        let (due, remaining) = self
            .pending
            .drain(..)
            .partition(|pending| pending.at <= now);
        self.pending = remaining;
        let due: Vec<Pending> = due;
        for Pending {
            at,
            caller,
            target,
            bytes,
        } in due
        {
            let answer = caller.acknowledge(bytes, target.tag);
            if bytes > 0 {
                self.plane.receive(at, &answer, b"");
            }
            let mut last = answer;
            last.flags.fin = true;
            self.plane.receive(at, &last, b"");
        }
    }
}

pub(crate) fn four_servers() -> Vec<Server> {
    (1..5)
        .map(|number| server(number, "dispatch", LOCAL))
        .collect()
}

fn zone_counts(number: u64, counts: OutcomeCounts) -> StateUpdate {
    StateUpdate::ZoneOutcomes(vec![ServerOutcomes {
        serial: godwitreel::flow::Serial(number),
        incarnation: None,
        counts,
    }])
}

const HANGS: OutcomeCounts = OutcomeCounts {
    answers: 0.0,
    premature: 0.0,
    stalls: 3.0,
};

// A server accepts requests and never answers. Each caller waits until its deadline.
// Without the stall count, another request goes there for each caller that gives up.
#[test]
fn a_server_that_hangs_gets_little_work() {
    let mut load = LoadGenerator::new(four_servers());
    load.run(100, |_| GOOD);
    let hanging = |number| if number == 1 { HANGING } else { GOOD };
    load.run(60, hanging);
    let counts = load.run(400, hanging);
    assert!(counts[1] <= 8, "{counts:?}");
    load.run(1_000, |_| GOOD);
    let counts = load.run(200, |_| GOOD);
    assert!(
        counts[1] > 25,
        "a recovered server gets load again: {counts:?}"
    );
}

// A server answers with errors at once. It is never busy and looks like the best choice,
// so that more than a quarter of all requests failed.
#[test]
fn a_server_that_fails_at_once_gets_little_work() {
    let mut load = LoadGenerator::new(four_servers());
    load.run(100, |_| GOOD);
    let failing = |number| if number == 1 { FAILING } else { GOOD };
    load.run(60, failing);
    let counts = load.run(400, failing);
    assert!(counts[1] <= 20, "{counts:?}");
    load.run(1_000, |_| GOOD);
    let counts = load.run(200, |_| GOOD);
    assert!(
        counts[1] > 25,
        "a recovered server gets load again: {counts:?}"
    );
}

// A server is faster than the others. Its answers have full size, so it gets load.
#[test]
fn a_fast_server_is_no_failing_one() {
    let mut load = LoadGenerator::new(four_servers());
    load.run(100, |_| GOOD);
    let fast = Behavior {
        after_ms: 2,
        bytes: 1_000,
    };
    let counts = load.run(400, |number| if number == 1 { fast } else { GOOD });
    assert!(counts[1] >= 100, "{counts:?}");
}

// All servers fail. Sending everything to a few of them would only overload these:
// failures that all servers share must not affect the selection.
#[test]
fn servers_that_all_fail_share_the_work() {
    let mut load = LoadGenerator::new(four_servers());
    load.run(100, |_| GOOD);
    let counts = load.run(400, |_| HANGING);
    let served = counts.iter().filter(|count| **count > 50).count();
    assert_eq!(served, 4, "{counts:?}");
}

// Other instances have seen a server hang, while this instance has sent it no request.
#[test]
fn the_zones_counts_apply_before_any_own_request() {
    let mut load = LoadGenerator::new(four_servers());
    load.run(100, |_| GOOD);
    load.now += ms(5_000);
    load.finish_due();
    load.plane.apply(load.now, zone_counts(1, HANGS));
    let counts = load.run(100, |_| GOOD);
    assert!(counts[1] < 10, "{counts:?}");
}

// Another instance cannot reach a server and reports that it hangs. The server answers all
// requests of this instance and must keep its load.
#[test]
fn own_successes_outweigh_the_zones_counts() {
    let mut load = LoadGenerator::new(four_servers());
    load.run(100, |_| GOOD);
    let mut total = 0;
    for _ in 0..20 {
        load.plane.apply(load.now, zone_counts(1, HANGS));
        total += load.run(20, |_| GOOD)[1];
    }
    assert!(total > 60, "{total} of 400");
}

// Neither own counts nor the zone's counts of a former incarnation apply to a new one.
#[test]
fn a_new_incarnation_is_not_penalized_for_the_former() {
    let mut servers = four_servers();
    servers[0].incarnation = Some(Incarnation(10));
    let mut load = LoadGenerator::new(servers.clone());
    for server in &mut servers[1..] {
        server.incarnation = Some(Incarnation(1));
        load.plane
            .apply(load.now, StateUpdate::Server(server.clone()));
    }
    load.run(100, |_| GOOD);
    let hanging = |number| if number == 1 { HANGING } else { GOOD };
    load.run(200, hanging);
    servers[0].incarnation = Some(Incarnation(20));
    load.plane
        .apply(load.now, StateUpdate::Server(servers[0].clone()));
    load.plane.apply(load.now, zone_counts(1, HANGS));
    let counts = load.run(100, |_| GOOD);
    assert!(counts[1] >= 15, "{counts:?}");
}

// Routers send the callers' packets to other instances from now on, and the flows of other
// instances arrive here. No server hangs.
#[test]
fn rerouted_flows_make_no_server_look_hung() {
    let mut load = LoadGenerator::new(four_servers());
    load.run(100, |_| GOOD);
    load.pending.clear();
    let rerouted = Caller::new(60_000, BOOKINGS);
    let tag = Tag::of(godwitreel::flow::Serial(2));
    load.plane
        .receive(load.now + ms(1), &rerouted.data(0, tag), b"");
    for _ in 0..40 {
        load.now += ms(50);
        load.plane.expire(load.now);
        let other = Caller::new(load.port + 30_000, BOOKINGS);
        load.port += 1;
        load.plane
            .receive(load.now, &other.acknowledge(5, tag), b"");
    }
    assert_eq!(load.plane.server_outcomes(load.now), Vec::new());
}

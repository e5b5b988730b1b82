//! Servers that hang, or fail at once, while health and handshakes are good.

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

/// How a server answers: after so many milliseconds, with so many bytes.
#[derive(Clone, Copy)]
pub(crate) struct Manner {
    after_ms: u64,
    bytes: u32,
}

pub(crate) const GOOD: Manner = Manner {
    after_ms: 40,
    bytes: 1_000,
};
const FAILING: Manner = Manner {
    after_ms: 1,
    bytes: 150,
};
pub(crate) const HANGING: Manner = Manner {
    after_ms: u64::MAX,
    bytes: 0,
};

/// What is still to come: an answer, or the caller's end.
struct Pending {
    at: Instant,
    caller: Caller,
    target: Target,
    bytes: u32,
}

/// Callers' load on a plane: a new request every 10 ms.
pub(crate) struct Load {
    pub(crate) plane: DataPlane,
    pub(crate) now: Instant,
    port: u16,
    pending: Vec<Pending>,
}

impl Load {
    pub(crate) fn new(servers: Vec<Server>) -> Self {
        let now = Instant::now();
        Self {
            plane: plane(now, servers),
            now,
            port: 1,
            pending: Vec::new(),
        }
    }

    /// So many requests; how many went to each server.
    pub(crate) fn run(&mut self, count: usize, manner: impl Fn(u64) -> Manner) -> Vec<usize> {
        let mut counts = vec![0; 10];
        for _ in 0..count {
            self.now += ms(10);
            self.settle();
            self.plane.expire(self.now);
            self.port += 1;
            let caller = Caller::new(self.port, BOOKINGS);
            let opening = self.plane.receive(self.now, &caller.opening(0), b"packet");
            let target = forwarded(opening);
            self.plane
                .receive(self.now + ms(2), &caller.data(0, target.tag), b"");
            let number = target.serial.0;
            counts[number as usize] += 1;
            let manner = manner(number);
            // A caller that gets nothing gives up after two seconds.
            let after = manner.after_ms.min(2_000);
            self.pending.push(Pending {
                at: self.now + ms(2 + after),
                caller,
                target,
                bytes: manner.bytes,
            });
        }
        counts
    }

    fn settle(&mut self) {
        let now = self.now;
        let (due, left) = self
            .pending
            .drain(..)
            .partition(|pending| pending.at <= now);
        self.pending = left;
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

pub(crate) fn four() -> Vec<Server> {
    (1..5)
        .map(|number| server(number, "dispatch", LOCAL))
        .collect()
}

fn told(number: u64, counts: OutcomeCounts) -> StateUpdate {
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

// A server takes requests and never answers. Each caller waits until its deadline;
// without the count of open requests a further one goes there for each that left.
#[test]
fn a_server_that_hangs_gets_little_work() {
    let mut load = Load::new(four());
    load.run(100, |_| GOOD);
    let hanging = |number| if number == 1 { HANGING } else { GOOD };
    load.run(60, hanging);
    let counts = load.run(400, hanging);
    assert!(counts[1] <= 8, "{counts:?}");
    load.run(1_000, |_| GOOD);
    let counts = load.run(200, |_| GOOD);
    assert!(counts[1] > 25, "it is well again: {counts:?}");
}

// A server answers errors at once. It is never busy, so that it looked like the
// best choice; a quarter of all requests and more failed.
#[test]
fn a_server_that_fails_at_once_gets_little_work() {
    let mut load = Load::new(four());
    load.run(100, |_| GOOD);
    let failing = |number| if number == 1 { FAILING } else { GOOD };
    load.run(60, failing);
    let counts = load.run(400, failing);
    assert!(counts[1] <= 20, "{counts:?}");
    load.run(1_000, |_| GOOD);
    let counts = load.run(200, |_| GOOD);
    assert!(counts[1] > 25, "it is well again: {counts:?}");
}

// A server is just faster than the others. Its answers are whole, and it is used.
#[test]
fn a_fast_server_is_no_failing_one() {
    let mut load = Load::new(four());
    load.run(100, |_| GOOD);
    let fast = Manner {
        after_ms: 2,
        bytes: 1_000,
    };
    let counts = load.run(400, |number| if number == 1 { fast } else { GOOD });
    assert!(counts[1] >= 100, "{counts:?}");
}

// Most servers fail. Leaving them all to the one that works would only overload
// it: what all share is no reason to prefer any.
#[test]
fn servers_that_all_fail_share_the_work() {
    let mut load = Load::new(four());
    load.run(100, |_| GOOD);
    let counts = load.run(400, |_| HANGING);
    let served = counts.iter().filter(|count| **count > 50).count();
    assert_eq!(served, 4, "{counts:?}");
}

// Other instances have seen a server hang, this one has sent it nothing yet.
#[test]
fn what_the_zone_saw_counts_before_anything_is_seen_here() {
    let mut load = Load::new(four());
    load.run(100, |_| GOOD);
    load.now += ms(5_000);
    load.settle();
    load.plane.apply(load.now, told(1, HANGS));
    let counts = load.run(100, |_| GOOD);
    assert!(counts[1] < 10, "{counts:?}");
}

// Another instance is cut off from a server and says that it hangs. It answers
// everything that comes from here, and goes on to get work.
#[test]
fn what_is_seen_here_counts_more_than_what_the_zone_says() {
    let mut load = Load::new(four());
    load.run(100, |_| GOOD);
    let mut total = 0;
    for _ in 0..20 {
        load.plane.apply(load.now, told(1, HANGS));
        total += load.run(20, |_| GOOD)[1];
    }
    assert!(total > 60, "{total} of 400");
}

// Nothing of it survives a new life, nor does what is told of another one.
#[test]
fn a_new_life_is_not_blamed_for_the_former() {
    let mut servers = four();
    servers[0].incarnation = Some(Incarnation(10));
    let mut load = Load::new(servers.clone());
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
    load.plane.apply(load.now, told(1, HANGS));
    let counts = load.run(100, |_| GOOD);
    assert!(counts[1] >= 15, "{counts:?}");
}

// Routers turn: callers' packets go to other instances from now on, and the flows
// of others come here. No server hangs.
#[test]
fn routers_that_turn_make_no_server_look_hung() {
    let mut load = Load::new(four());
    load.run(100, |_| GOOD);
    load.pending.clear();
    let stranger = Caller::new(60_000, BOOKINGS);
    let tag = Tag::of(godwitreel::flow::Serial(2));
    load.plane
        .receive(load.now + ms(1), &stranger.data(0, tag), b"");
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

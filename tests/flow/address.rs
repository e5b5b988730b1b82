//! Servers that follow each other at one address, and entries that arrive late or come from
//! another writer.

use std::time::Duration;

use godwitreel::flow::DataPlane;
use godwitreel::flow::FlowEvent;
use godwitreel::flow::Incarnation;
use godwitreel::flow::Serial;
use godwitreel::flow::Server;
use godwitreel::flow::StateUpdate;
use godwitreel::flow::StoreContact;
use godwitreel::flow::Tag;
use godwitreel::flow::Verdict;
use proptest::prelude::*;
use tokio::time::Instant;

use crate::support::*;

/// Time between two writes of a server's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Number of heartbeats after which the entry of a silent server is removed.
const HEARTBEATS_TO_LAPSE: u32 = 3;

/// A server of another service at the address of server 1.
fn crashed(number: u8) -> Server {
    Server {
        address: server(1, "dispatch", LOCAL).address,
        ..server(number, "ledger", LOCAL)
    }
}

fn removed(number: u8) -> StateUpdate {
    StateUpdate::ServerRemoved(format!("s-{number}").parse().unwrap())
}

/// Whether the packet gets to this server if it lives at its address.
fn reaches(verdict: Verdict, server: &Server) -> bool {
    match verdict {
        Verdict::Forward(target) => {
            let names = [server.serial, Serial::ANY].contains(&target.serial);
            target.address == server.address && names
        }
        _ => false,
    }
}

/// Sends a packet of a flow that was opened at another instance.
fn send(plane: &mut DataPlane, now: Instant, port: u16, server: &Server) -> Verdict {
    let caller = Caller::new(port, BOOKINGS);
    plane.receive(now, &caller.data(0, Tag::of(server.serial)), b"")
}

// Guards against resets of a live server's flows at an instance to which the server that had
// the address before is unknown: its last write was executed seconds after its end.
#[test]
fn a_late_entry_resets_no_flow() {
    let clocks: [Option<(u64, u64)>; 3] = [None, Some((10, 20)), Some((20, 10))];
    for (live_born, late_born) in clocks.map(Option::unzip) {
        let now = Instant::now();
        let born = |incarnation: Option<u64>, server: Server| Server {
            incarnation: incarnation.map(Incarnation),
            ..server
        };
        let live = born(live_born, server(1, "dispatch", LOCAL));
        let mut plane = plane(now, vec![live.clone()]);
        stay_in_contact(&mut plane, now, now + ms(2_000));
        let late = born(late_born, crashed(2));
        plane.apply(now + ms(2_000), StateUpdate::Server(late));
        stay_in_contact(&mut plane, now + ms(2_000), now + ms(5_600));
        plane.apply(now + ms(5_600), removed(2));
        stay_in_contact(&mut plane, now + ms(5_600), now + ms(9_000));
        for (port, at) in [(1, 2_600), (2, 5_500), (3, 9_000)] {
            let verdict = send(&mut plane, now + ms(at), port, &live);
            assert!(reaches(verdict, &live), "{verdict:?} after {at} ms");
        }
    }
}

// Guards against a live server that gets no new flows until its entry changes, because of a
// late entry with its address that has lapsed meanwhile.
#[test]
fn a_late_entry_withholds_new_flows_until_it_lapses() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    plane.apply(now + ms(100), StateUpdate::Server(crashed(2)));
    plane.apply(now + ms(3_700), removed(2));
    let verdict = plane.receive(now + ms(3_701), &Caller::new(1, BOOKINGS).opening(0), b"");
    assert_eq!(forwarded(verdict).serial, Serial(1));
}

// Guards against a live server that gets no new flows although it answers at the address
// that another entry claims.
#[test]
fn a_server_that_answers_at_a_claimed_address_gets_new_flows() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    plane.apply(now + ms(100), StateUpdate::Server(crashed(2)));
    plane.receive(now + ms(200), &caller.acknowledge(50, target.tag), b"");
    let verdict = plane.receive(now + ms(300), &Caller::new(2, BOOKINGS).opening(0), b"");
    assert_eq!(forwarded(verdict).serial, Serial(1));
}

// Guards against new flows to a server that has ended: its last write was executed after its
// entry had lapsed, when another server was listed at the address.
#[test]
fn a_lapsed_entry_that_returns_late_gets_no_new_flows() {
    let now = Instant::now();
    let mut plane = plane(now, vec![crashed(2), server(3, "ledger", REMOTE)]);
    plane.apply(now + ms(100), removed(2));
    plane.apply(
        now + ms(200),
        StateUpdate::Server(server(1, "dispatch", LOCAL)),
    );
    plane.apply(now + ms(2_000), StateUpdate::Server(crashed(2)));
    for port in 1..10 {
        let verdict = plane.receive(now + ms(2_001), &Caller::new(port, SHEETS).opening(0), b"");
        assert_eq!(forwarded(verdict).serial, Serial(3));
    }
    let verdict = send(&mut plane, now + ms(2_002), 20, &crashed(2));
    let live = server(1, "dispatch", LOCAL);
    assert!(
        reaches(verdict, &live),
        "its old flows are reset by {live:?}"
    );
}

// Guards against a live server that loses flows or gets no new ones because of an entry of
// another writer, which names its address and a service that does not exist.
#[test]
fn an_entry_of_an_unknown_service_claims_no_address() {
    let now = Instant::now();
    let live = Server {
        incarnation: Some(Incarnation(10)),
        ..server(1, "dispatch", LOCAL)
    };
    let mut plane = plane(now, vec![live.clone()]);
    let foreign = Server {
        incarnation: Some(Incarnation(20)),
        ..server(2, "nowhere", LOCAL)
    };
    let foreign = Server {
        address: live.address,
        ..foreign
    };
    plane.apply(now + ms(100), StateUpdate::Server(foreign));
    let verdict = plane.receive(now + ms(900), &Caller::new(1, BOOKINGS).opening(0), b"");
    assert_eq!(forwarded(verdict).serial, Serial(1));
    let verdict = send(&mut plane, now + ms(900), 2, &live);
    assert_eq!(forwarded(verdict).serial, Serial(1));
}

// Guards against the flows of a live server going to another address, because another writer
// has put an unknown service and that address into its entry.
#[test]
fn an_entry_of_an_unknown_service_moves_no_server() {
    let now = Instant::now();
    let live = Server {
        incarnation: Some(Incarnation(10)),
        ..server(1, "dispatch", LOCAL)
    };
    for born in [10, 20] {
        let mut plane = plane(now, vec![live.clone()]);
        let foreign = Server {
            service: "nowhere".parse().unwrap(),
            address: server(9, "dispatch", LOCAL).address,
            incarnation: Some(Incarnation(born)),
            ..live.clone()
        };
        plane.apply(now + ms(100), StateUpdate::Server(foreign));
        let verdict = send(&mut plane, now + ms(900), 2, &live);
        assert_eq!(forwarded(verdict).address, live.address);
        plane.apply(now + ms(1_000), StateUpdate::Server(live.clone()));
        let verdict = plane.receive(now + ms(1_001), &Caller::new(1, BOOKINGS).opening(0), b"");
        assert_eq!(forwarded(verdict).serial, Serial(1));
    }
}

// Guards against resets and lost flows that the log does not explain: it names both servers
// of a claimed address.
#[test]
fn a_claimed_address_is_reported() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    plane.apply(now + ms(100), StateUpdate::Server(crashed(2)));
    let (events, _) = plane.take_events();
    let claimed = FlowEvent::AddressClaimed {
        server: "s-2".parse().unwrap(),
        known: "s-1".parse().unwrap(),
    };
    assert!(events.contains(&claimed), "{events:?}");
}

/// One of the servers that follow each other at an address. Times count from the beginning.
#[derive(Clone, Debug)]
struct Tenant {
    entry: Server,
    start: Duration,
    end: Duration,
    /// How long the execution of the last write takes.
    delay: Duration,
}

impl Tenant {
    /// When the writes of the entry are executed.
    fn writes(&self) -> Vec<Duration> {
        let mut writes = Vec::new();
        let mut at = self.start;
        while at < self.end {
            writes.push(at);
            at += HEARTBEAT;
        }
        if let Some(last) = writes.last_mut() {
            *last += self.delay;
        }
        writes
    }

    /// The spans in which the entry is listed.
    fn listed(&self) -> Vec<(Duration, Duration)> {
        let mut spans: Vec<(Duration, Duration)> = Vec::new();
        for write in self.writes() {
            let lapse = write + HEARTBEAT * HEARTBEATS_TO_LAPSE;
            match spans.last_mut() {
                Some(span) if write <= span.1 => span.1 = lapse,
                _ => spans.push((write, lapse)),
            }
        }
        spans
    }

    fn lives_at(&self, at: Duration) -> bool {
        (self.start..self.end).contains(&at)
    }
}

/// Up to four servers at one address, which is reassigned 2 s after the end of a server or
/// later. The clocks of their machines differ by seconds.
fn tenants() -> impl Strategy<Value = Vec<Tenant>> {
    let tenant = (0_u64..12_000, 2_000_u64..4_000, 0_u64..6_000, 0_u64..5_000);
    let all = prop::collection::vec(tenant, 2..5);
    (all, any::<bool>()).prop_map(|(all, has_incarnations)| {
        let mut start = 0;
        let mut tenants = Vec::new();
        for (number, (life, gap, delay, clock)) in (1..).zip(all) {
            let service = if number % 2 == 0 {
                "ledger"
            } else {
                "dispatch"
            };
            let entry = Server {
                address: server(1, service, LOCAL).address,
                incarnation: has_incarnations.then_some(Incarnation(start + clock)),
                ..server(number, service, LOCAL)
            };
            tenants.push(Tenant {
                entry,
                start: ms(start),
                end: ms(start + life + 100),
                delay: ms(delay),
            });
            start += life + 100 + gap;
        }
        tenants
    })
}

/// The changes that an instance reads from the store, in order.
fn changes(tenants: &[Tenant]) -> Vec<(Duration, StateUpdate)> {
    let mut changes = Vec::new();
    for tenant in tenants {
        for (from, until) in tenant.listed() {
            changes.push((from, StateUpdate::Server(tenant.entry.clone())));
            let id = tenant.entry.id.clone();
            changes.push((until, StateUpdate::ServerRemoved(id)));
        }
    }
    changes.sort_by_key(|(at, _)| *at);
    changes
}

proptest! {
    // Guards against resets of a live server's flows, whatever the order of entries, the
    // delay of writes, the clocks, and the time at which the instance starts.
    #[test]
    fn entries_at_one_address_reset_no_flow_of_a_live_server(
        tenants in tenants(),
        start in 0_u64..20_000,
        step in 40_u64..700,
    ) {
        let now = Instant::now();
        let is_listed = |tenant: &&Tenant| {
            let spans = tenant.listed();
            spans.iter().any(|(from, until)| (*from..*until).contains(&ms(start)))
        };
        let listed = tenants.iter().filter(is_listed);
        let listed = listed.map(|tenant| tenant.entry.clone()).collect();
        let mut plane = plane(now + ms(start), listed);
        let mut changes = changes(&tenants).into_iter().peekable();
        while changes.next_if(|(at, _)| *at <= ms(start)).is_some() {}
        let mut at = ms(start);
        for port in 1..300 {
            at += ms(step);
            while let Some((changed, update)) = changes.next_if(|(changed, _)| *changed <= at) {
                plane.apply(now + changed, update);
            }
            plane.apply(now + at, StateUpdate::StoreContact(StoreContact::at(now + at)));
            let Some(live) = tenants.iter().find(|tenant| tenant.lives_at(at)) else {
                continue;
            };
            let verdict = send(&mut plane, now + at, port, &live.entry);
            let is_lost = matches!(verdict, Verdict::Drop(_));
            prop_assert!(
                is_lost || reaches(verdict, &live.entry),
                "{verdict:?} for server {} at {at:?}", live.entry.serial
            );
        }
    }
}

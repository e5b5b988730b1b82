//! Servers that stop, crash, or only seem to be gone.

use godwitreel::flow::Incarnation;
use godwitreel::flow::Serial;
use godwitreel::flow::Server;
use godwitreel::flow::StateUpdate;
use godwitreel::flow::StoreContact;
use godwitreel::flow::Target;
use godwitreel::flow::Verdict;
use tokio::time::Instant;

use crate::support::*;

/// A server of another service at the address of server 1.
fn successor(number: u8) -> Server {
    Server {
        address: server(1, "dispatch", LOCAL).address,
        ..server(number, "ledger", LOCAL)
    }
}

// A server has crashed and its entry has lapsed. The caller's requests on its open flow
// would go unanswered until the deadline; a reset lets the caller retry at once.
#[test]
fn a_flow_of_a_gone_server_is_reset() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    let id = format!("s-{}", target.serial);
    plane.apply(
        now + ms(100),
        StateUpdate::ServerRemoved(id.parse().unwrap()),
    );

    stay_in_contact(&mut plane, now, now + ms(2_000));
    let early = plane.receive(now + ms(2_000), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(early), target, "the entry may still return");
    stay_in_contact(&mut plane, now + ms(2_000), now + ms(2_700));
    let late = plane.receive(now + ms(2_700), &caller.data(0, target.tag), b"");
    assert_eq!(late, Verdict::Reset);
}

// The store lost the entries of live servers in an outage. They return within 2 s after
// it; a reset before that would break working flows.
#[test]
fn an_entry_that_lapsed_during_an_outage_may_come_back() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    plane.apply(now + ms(100), StateUpdate::StoreUnreachable);
    let returned = now + ms(8_000);
    let lapsed = StateUpdate::Servers {
        listed: Vec::new(),
        unreadable: Vec::new(),
    };
    plane.apply(returned, lapsed);
    plane.apply(
        returned,
        StateUpdate::StoreContact(StoreContact::at(returned)),
    );

    let fresh = Caller::new(2, BOOKINGS);
    let verdict = plane.receive(returned + ms(500), &fresh.opening(0), b"");
    assert_eq!(forwarded(verdict), target, "the only server of the service");
    stay_in_contact(&mut plane, returned, returned + ms(1_900));
    let verdict = plane.receive(returned + ms(1_900), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
    plane.apply(
        returned + ms(1_950),
        StateUpdate::Server(server(1, "dispatch", LOCAL)),
    );
    stay_in_contact(&mut plane, returned + ms(1_950), returned + ms(9_000));
    let verdict = plane.receive(returned + ms(9_000), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
}

// An entry does not return after the outage: new flows must no longer go there.
#[test]
fn an_entry_that_stays_away_after_an_outage_is_gone() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    plane.apply(now, StateUpdate::ServerRemoved("s-1".parse().unwrap()));
    stay_in_contact(&mut plane, now, now + ms(2_600));
    let verdict = plane.receive(now + ms(2_600), &Caller::new(1, BOOKINGS).opening(0), b"");
    assert_eq!(verdict, Verdict::Reset);
}

// The store has only just become reachable, so that the time before proves nothing.
#[test]
fn an_unreachable_store_proves_no_server_gone() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    // The entry is removed after the last answer, which would otherwise prove that the server
    // is alive.
    plane.apply(
        now + ms(100),
        StateUpdate::ServerRemoved("s-1".parse().unwrap()),
    );
    plane.apply(now + ms(110), StateUpdate::StoreUnreachable);
    let verdict = plane.receive(now + ms(9_000), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
    let back = now + ms(9_000);
    plane.apply(back, StateUpdate::StoreContact(StoreContact::at(back)));
    stay_in_contact(&mut plane, back, now + ms(10_000));
    let verdict = plane.receive(now + ms(10_000), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
}

// A server cannot reach the store, so that its entry lapses, but it answers its callers.
// A reset would break working flows.
#[test]
fn a_server_that_answers_is_not_gone() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    plane.apply(
        now + ms(100),
        StateUpdate::ServerRemoved("s-1".parse().unwrap()),
    );
    plane.receive(now + ms(200), &caller.acknowledge(50, target.tag), b"");
    stay_in_contact(&mut plane, now, now + ms(5_000));
    let verdict = plane.receive(now + ms(5_000), &caller.data(100, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
}

// An entry that cannot be parsed must not make a live server count as gone.
#[test]
fn an_unreadable_entry_leaves_its_server() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let unreadable = StateUpdate::Servers {
        listed: Vec::new(),
        unreadable: vec!["s-1".parse().unwrap()],
    };
    plane.apply(now + ms(100), unreadable);
    stay_in_contact(&mut plane, now, now + ms(9_000));
    let verdict = plane.receive(now + ms(9_000), &Caller::new(1, BOOKINGS).opening(0), b"");
    forwarded(verdict);
}

// A draining server keeps its open flows, and new ones go to other servers.
#[test]
fn a_draining_server_keeps_its_flows_and_gets_no_new_ones() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    plane.apply(now, StateUpdate::Server(draining(1, "dispatch", LOCAL)));
    plane.apply(now, StateUpdate::Server(server(2, "dispatch", REMOTE)));
    for port in 2..10 {
        let fresh = Caller::new(port, BOOKINGS);
        let verdict = plane.receive(now + ms(1), &fresh.opening(0), b"");
        assert_ne!(forwarded(verdict), target);
    }
    let verdict = plane.receive(now + ms(2), &caller.data(100, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
}

// Guards against new flows to a draining server that a restored store lists as it was
// before.
#[test]
fn an_older_entry_does_not_undo_a_drain() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    plane.apply(now, StateUpdate::Server(server(2, "dispatch", REMOTE)));
    plane.apply(now, StateUpdate::Server(draining(1, "dispatch", LOCAL)));
    let listed = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", REMOTE)];
    let unreadable = Vec::new();
    plane.apply(now, StateUpdate::StoreRestored);
    plane.apply(now, StateUpdate::Servers { listed, unreadable });
    for port in 2..10 {
        let verdict = plane.receive(now + ms(1), &Caller::new(port, BOOKINGS).opening(0), b"");
        assert_eq!(forwarded(verdict).serial, Serial(2));
    }
}

// Guards against flows that are reset for an entry which the restore has lost and which its
// server is still writing again.
#[test]
fn an_entry_lost_by_a_restore_has_the_full_time_to_return() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    let lapsed = StateUpdate::ServerRemoved("s-1".parse().unwrap());
    plane.apply(now + ms(100), lapsed);
    stay_in_contact(&mut plane, now, now + ms(2_000));
    plane.apply(now + ms(2_000), StateUpdate::StoreRestored);
    let (listed, unreadable) = (Vec::new(), Vec::new());
    plane.apply(now + ms(2_000), StateUpdate::Servers { listed, unreadable });
    stay_in_contact(&mut plane, now + ms(2_000), now + ms(4_400));
    let verdict = plane.receive(now + ms(4_400), &caller.data(100, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
    stay_in_contact(&mut plane, now + ms(4_400), now + ms(4_800));
    let verdict = plane.receive(now + ms(4_800), &caller.data(200, target.tag), b"");
    assert!(matches!(verdict, Verdict::Reset), "{verdict:?}");
}

// A server that starts again under its name is not the one that drained.
#[test]
fn a_new_incarnation_of_a_drained_server_gets_flows() {
    let now = Instant::now();
    let incarnation = |number, server| Server {
        incarnation: Some(Incarnation(number)),
        ..server
    };
    let former = incarnation(1, server(1, "dispatch", LOCAL));
    let mut plane = plane(now, vec![former]);
    let former = incarnation(1, draining(1, "dispatch", LOCAL));
    plane.apply(now, StateUpdate::Server(former));
    let next = incarnation(2, server(1, "dispatch", LOCAL));
    plane.apply(now, StateUpdate::Server(next));
    let verdict = plane.receive(now + ms(1), &Caller::new(2, BOOKINGS).opening(0), b"");
    assert_eq!(forwarded(verdict).serial, Serial(1));
}

// An entry lapses just as the store becomes unreachable, which has not been detected yet:
// the replica only becomes stale. Its age alone proves nothing, so that the open flow
// continues.
#[test]
fn time_without_contact_proves_no_server_gone() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    plane.apply(
        now + ms(100),
        StateUpdate::ServerRemoved("s-1".parse().unwrap()),
    );
    for at in [2_700, 6_000, 30_000] {
        let verdict = plane.receive(now + ms(at), &caller.data(0, target.tag), b"");
        assert_eq!(forwarded(verdict), target, "after {at} ms");
    }
}

// The store drops the entries of all servers and becomes unreachable. The servers are
// alive, so that they get new flows until the store is back; otherwise callers would be
// without service until then.
#[test]
fn new_flows_go_to_lapsed_servers_until_the_store_is_back() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    plane.apply(
        now + ms(100),
        StateUpdate::ServerRemoved("s-1".parse().unwrap()),
    );
    for (port, at) in [(1, 2_700), (2, 6_000), (3, 30_000)] {
        let fresh = Caller::new(port, BOOKINGS);
        let verdict = plane.receive(now + ms(at), &fresh.opening(0), b"");
        assert_eq!(forwarded(verdict).serial.0, 1, "after {at} ms");
    }
}

// An undetected outage of two seconds, in which entries lapse. The servers need the full
// time after the gap to restore their entries. If it were counted from the removal of the
// entry, a flow would be reset half a second after the store is back.
#[test]
fn a_gap_in_the_contact_restarts_the_return_timeout() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    plane.apply(
        now + ms(100),
        StateUpdate::ServerRemoved("s-1".parse().unwrap()),
    );
    let back = now + ms(2_200);
    plane.apply(back, StateUpdate::StoreContact(StoreContact::at(back)));
    stay_in_contact(&mut plane, back, back + ms(2_400));
    let verdict = plane.receive(back + ms(2_400), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
    stay_in_contact(&mut plane, back + ms(2_400), back + ms(2_600));
    let verdict = plane.receive(back + ms(2_600), &caller.data(0, target.tag), b"");
    assert_eq!(verdict, Verdict::Reset);
}

// An instance without subscribers polls the store with a timeout of 2.2 s. A server
// crashes and its entry lapses. Polls that time out count as contact for their whole
// duration, and the flow is reset.
#[test]
fn polls_that_wait_are_unbroken_contact() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    plane.apply(
        now + ms(100),
        StateUpdate::ServerRemoved("s-1".parse().unwrap()),
    );
    for poll in 0..2 {
        let from = now + ms(110 + poll * 2_210);
        let until = from + ms(2_200);
        plane.apply(
            until,
            StateUpdate::StoreContact(StoreContact { from, until }),
        );
    }
    let verdict = plane.receive(now + ms(4_600), &caller.data(0, target.tag), b"");
    assert_eq!(verdict, Verdict::Reset);
}

// A machine vanishes and its address is reassigned to a server of another service. Guards
// against an open flow that hangs until the former entry has lapsed and stayed missing, 6 s
// later: its packets reach the server at the address, which resets a flow that it does not
// know and continues one of its own.
#[test]
fn a_flow_is_reset_when_another_server_starts_at_the_address() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    plane.apply(now + ms(2_000), StateUpdate::Server(successor(2)));
    let whichever_is_there = Target {
        serial: Serial::ANY,
        ..target
    };
    for at in [2_000, 2_400, 2_600, 9_000] {
        let verdict = plane.receive(now + ms(at), &caller.data(0, target.tag), b"");
        assert_eq!(forwarded(verdict), whichever_is_there, "after {at} ms");
    }
    let fresh = Caller::new(2, BOOKINGS);
    let verdict = plane.receive(now + ms(2_600), &fresh.opening(0), b"");
    assert_eq!(verdict, Verdict::Reset, "new flows are refused too");
}

// The other server's entry was written late or has a wrong address: the server at that
// address still answers its callers, or writes its own entry again.
#[test]
fn a_server_that_proves_to_be_alive_is_not_replaced() {
    let now = Instant::now();
    for writes in [false, true] {
        let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
        let caller = Caller::new(1, BOOKINGS);
        let target = open(&mut plane, now, &caller);
        plane.apply(now + ms(2_000), StateUpdate::Server(successor(2)));
        if writes {
            let alive = StateUpdate::Server(server(1, "dispatch", LOCAL));
            plane.apply(now + ms(2_200), alive);
        } else {
            plane.receive(now + ms(2_200), &caller.acknowledge(50, target.tag), b"");
        }
        let verdict = plane.receive(now + ms(3_000), &caller.data(100, target.tag), b"");
        assert_eq!(forwarded(verdict), target);
    }
}

// An instance starts and reads both entries in one list, which does not show which server
// started later: either one may be alive.
#[test]
fn a_list_with_two_servers_at_an_address_proves_nothing() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL), successor(2)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    let verdict = plane.receive(now + ms(9_000), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
}

// A write of an earlier server at the address reaches the store after that server's end.
#[test]
fn an_earlier_incarnation_replaces_no_other_server() {
    let now = Instant::now();
    let at = |born: u64, server: Server| Server {
        incarnation: Some(Incarnation(born)),
        ..server
    };
    let mut plane = plane(now, vec![at(20, server(1, "dispatch", LOCAL))]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    plane.apply(now + ms(100), StateUpdate::Server(at(10, successor(2))));
    let verdict = plane.receive(now + ms(2_000), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
}

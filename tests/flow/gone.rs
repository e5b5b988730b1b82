//! Servers that leave, crash, or only seem to be gone.

use godwitreel::flow::Incarnation;
use godwitreel::flow::Server;
use godwitreel::flow::StateUpdate;
use godwitreel::flow::StoreContact;
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

// A server has crashed and its entry has lapsed. The caller's requests on its
// open flow go unanswered until the deadline; a reset lets it try elsewhere now.
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
    assert_eq!(forwarded(early), target, "it may still come back");
    stay_in_contact(&mut plane, now + ms(2_000), now + ms(2_700));
    let late = plane.receive(now + ms(2_700), &caller.data(0, target.tag), b"");
    assert_eq!(late, Verdict::Reset);
}

// The store was away and has dropped the entries of servers that live. They are
// back within 2 s of its return; a reset before would break living flows.
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
    assert_eq!(forwarded(verdict), target, "better than no server");
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

// An entry stays away after the outage: new flows must stop going there.
#[test]
fn an_entry_that_stays_away_after_an_outage_is_gone() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    plane.apply(now, StateUpdate::ServerRemoved("s-1".parse().unwrap()));
    stay_in_contact(&mut plane, now, now + ms(2_600));
    let verdict = plane.receive(now + ms(2_600), &Caller::new(1, BOOKINGS).opening(0), b"");
    assert_eq!(verdict, Verdict::Reset);
}

// The store answers again only now, so the time before proves nothing.
#[test]
fn silence_of_the_store_proves_no_server_gone() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    // After the last answer, which alone would show that it lives.
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

// A server cannot reach the store, so that its entry lapses, but it answers its
// callers. Resetting its flows would break what works.
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

// An entry that cannot be read must not make a living server gone.
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

// A server drains: it keeps its flows, new ones go elsewhere.
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

// An entry lapses just as the store falls silent, and nobody has noticed the silence yet:
// the copy only grows old. Its age proves nothing, however long it lasts, so that the
// caller's open flow goes on.
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

// The store drops the entries of all servers and goes away. All live, so that new callers
// go to them for as long as the store cannot say otherwise; a refusal would leave them
// without service until it is back.
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

// An outage of two seconds that nobody has noticed: entries lapse in it, the copy's
// contact jumps, and the servers need their time to come back after it. Counted from the
// entry on, the proof would be complete half a second after the store's return.
#[test]
fn a_gap_in_the_contact_begins_the_proof_anew() {
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

// Nobody follows this instance, so that its polls wait for 2.2 s. A server crashes and
// its entry lapses; the polls that waited in vain are contact, not gaps between moments,
// and the flow is reset.
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

// A machine vanishes and its address is given to a server of another service. The caller's
// flow cannot go on; without the new start as proof it waits until the former entry has
// lapsed and stayed away, 6 s, and most requests end at their deadline.
#[test]
fn a_flow_is_reset_when_another_server_starts_at_the_address() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    plane.apply(now + ms(2_000), StateUpdate::Server(successor(2)));
    let early = plane.receive(now + ms(2_400), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(early), target, "it may still be heard");
    let late = plane.receive(now + ms(2_600), &caller.data(0, target.tag), b"");
    assert_eq!(late, Verdict::Reset);
    let fresh = Caller::new(2, BOOKINGS);
    let verdict = plane.receive(now + ms(2_600), &fresh.opening(0), b"");
    assert_eq!(verdict, Verdict::Reset, "no new flows either");
}

// The entry of the other server was written late, or its address is wrong: the server that
// it seems to follow goes on answering its callers, or writes its own entry again.
#[test]
fn a_server_that_shows_that_it_lives_is_replaced_by_nobody() {
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

// An instance starts and reads both entries in one list, which does not tell whose start
// is the later one: the living server may be either.
#[test]
fn a_list_with_two_servers_at_an_address_proves_nothing() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL), successor(2)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    let verdict = plane.receive(now + ms(9_000), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
}

// A write of an earlier server at the address reaches the store after it has ended.
#[test]
fn an_earlier_start_replaces_nobody() {
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

//! Handshakes: silent servers, copies, and a process that stood still.

use godwitreel::flow::FlowEvent;
use godwitreel::flow::Resend;
use tokio::time::Instant;

use crate::support::*;

// A caller opens a flow and hears nothing: the chosen server has crashed, and
// its entry lapses seconds later. The caller's copy would come after 200 ms,
// too late for its goal. The instance sees other handshakes succeed, and sends
// the packet to another server after a few round trips.
#[test]
fn a_silent_server_is_passed_over_before_the_caller_asks_again() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let first = Caller::new(1, BOOKINGS);
    let silent = forwarded(plane.receive(now, &first.opening(0), b"first"));
    let other = Caller::new(2, BOOKINGS);
    let alive = forwarded(plane.receive(now + ms(1), &other.opening(0), b"other"));
    assert_ne!(alive, silent, "least loaded");
    plane.receive(now + ms(7), &other.data(0, alive.tag), b"");

    let due = plane.next_due().unwrap();
    assert!(due <= now + ms(100));
    let resends = plane.expire(due);
    assert_eq!(resends.len(), 1);
    assert_eq!(resends[0].target, alive);
    assert_eq!(resends[0].packet, b"first");

    for port in 10..20 {
        let caller = Caller::new(port, BOOKINGS);
        let target = forwarded(plane.receive(due + ms(1), &caller.opening(0), b""));
        assert_eq!(target, alive, "a suspected server gets no new flows");
    }
}

// All callers' next packets stop coming, since the routers have turned to other
// instances. Taking every server for dead on that would spread opening packets
// over servers that are well.
#[test]
fn silence_of_everything_blames_no_server() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    for port in 1..5 {
        plane.receive(now, &Caller::new(port, BOOKINGS).opening(0), b"");
    }
    for _ in 0..10 {
        let Some(due) = plane.next_due() else { break };
        assert_eq!(plane.expire(due), Vec::new());
    }
    let notes = plane.take_events().0;
    let is_blame = |note: &FlowEvent| matches!(note, FlowEvent::Suspected { .. });
    assert!(!notes.iter().any(is_blame), "{notes:?}");
}

// Instances come back one after the other, and each that joins turns the routers:
// a caller's opening packet came here, its next one goes to another instance, which
// carries it on. Other callers' flows, opened elsewhere, come here meanwhile. A
// further server would get a flow that nobody uses, and the first one, which
// answered, would get no new flows for a second.
#[test]
fn routers_that_turn_blame_no_server() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let gone = Caller::new(1, BOOKINGS);
    let target = forwarded(plane.receive(now, &gone.opening(0), b"gone"));
    let come = Caller::new(2, BOOKINGS);
    let adopted = plane.receive(now + ms(10), &come.data(300, target.tag), b"");
    assert_eq!(forwarded(adopted), target);
    let mut resends = Vec::new();
    while let Some(due) = plane.next_due().filter(|due| *due < now + ms(200)) {
        resends.extend(plane.expire(due));
    }
    assert_eq!(resends, Vec::new());
    let notes = plane.take_events().0;
    let is_blame = |note: &FlowEvent| matches!(note, FlowEvent::Suspected { .. });
    assert!(!notes.iter().any(is_blame), "{notes:?}");
}

// The same, but the server is silent: the caller's own copy comes here, where its
// first packet came, and shows it.
#[test]
fn a_copy_shows_silence_while_routers_turn() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let caller = Caller::new(1, BOOKINGS);
    let silent = forwarded(plane.receive(now, &caller.opening(0), b""));
    let come = Caller::new(2, BOOKINGS);
    plane.receive(now + ms(10), &come.data(300, silent.tag), b"");
    let copy = plane.receive(now + ms(200), &caller.opening(1), b"");
    assert_ne!(forwarded(copy), silent);
}

// Routers have come to rest: a handshake that began after they last turned is
// judged as before.
#[test]
fn silence_after_routers_have_turned_is_seen() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let first = Caller::new(1, BOOKINGS);
    let silent = forwarded(plane.receive(now, &first.opening(0), b"first"));
    let come = Caller::new(2, BOOKINGS);
    plane.receive(now + ms(10), &come.data(300, silent.tag), b"");
    plane.receive(now + ms(15), &come.data(400, silent.tag), b"");
    let late = Caller::new(3, BOOKINGS);
    let opened = now + ms(20);
    let target = forwarded(plane.receive(opened, &late.opening(0), b"late"));
    let other = Caller::new(4, BOOKINGS);
    plane.receive(opened + ms(1), &other.opening(0), b"");
    plane.receive(opened + ms(2), &come.data(500, silent.tag), b"");
    let mut resends = Vec::new();
    while let Some(due) = plane.next_due().filter(|due| *due <= opened + ms(60)) {
        resends.extend(plane.expire(due));
    }
    let is_late = |resend: &Resend| resend.packet == b"late";
    let resend = resends.iter().find(|resend| is_late(resend));
    assert_ne!(resend.expect("a further server").target, target);
}

// The process is frozen for a second right after an opening packet. When it
// thaws, the deadline is long past, but the answer may wait in the socket.
#[test]
fn a_process_that_stood_still_blames_no_server() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let caller = Caller::new(1, BOOKINGS);
    let target = forwarded(plane.receive(now, &caller.opening(0), b""));
    let thawed = now + ms(1_000);
    open(&mut plane, thawed, &Caller::new(2, BOOKINGS));
    assert_eq!(plane.expire(thawed), Vec::new());
    let verdict = plane.receive(thawed + ms(1), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
}

// Opening packet and copy were both in the socket's buffer. Two servers would
// answer, and the caller's tag could name the one it did not choose.
#[test]
fn a_copy_that_comes_at_once_goes_to_the_same_server() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let caller = Caller::new(1, BOOKINGS);
    let target = forwarded(plane.receive(now, &caller.opening(0), b""));
    let copy = plane.receive(now + ms(20), &caller.opening(1), b"");
    assert_eq!(forwarded(copy), target);
}

#[test]
fn a_copy_after_the_callers_pause_goes_to_another_server() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let caller = Caller::new(1, BOOKINGS);
    let target = forwarded(plane.receive(now, &caller.opening(0), b""));
    let copy = plane.receive(now + ms(200), &caller.opening(1), b"");
    assert_ne!(forwarded(copy), target);
}

// A server answers late, after the packet went to a second one, too. The caller
// takes the first answer; the second one only replaces the tag that it repeats.
// Following that tag would lead to a server without the flow, which resets it.
#[test]
fn a_late_answer_of_a_second_server_moves_no_flow() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let caller = Caller::new(1, BOOKINGS);
    let first = forwarded(plane.receive(now, &caller.opening(0), b""));
    let second = forwarded(plane.receive(now + ms(200), &caller.opening(1), b""));
    let opened = plane.receive(now + ms(205), &caller.data(0, first.tag), b"");
    assert_eq!(forwarded(opened), first);
    let later = plane.receive(now + ms(210), &caller.data(100, second.tag), b"");
    assert_eq!(forwarded(later), first);
}

#[test]
fn a_copy_after_the_flow_opened_stays_with_its_server() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    let copy = plane.receive(now + ms(300), &caller.opening(1), b"");
    assert_eq!(forwarded(copy), target);
}

// Every server is silent, which a cut on this side also looks like. Refusing
// new flows on that evidence would leave callers without a service that lives.
#[test]
fn evidence_never_empties_a_service() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = forwarded(plane.receive(now, &caller.opening(0), b""));
    plane.receive(now + ms(200), &caller.opening(1), b"");
    let next = Caller::new(2, BOOKINGS);
    let verdict = plane.receive(now + ms(201), &next.opening(0), b"");
    assert_eq!(forwarded(verdict), target);
}

// A server's process is gone and its host resets every opening packet. The
// caller tries again at once from another port; the server, which has nothing to
// do, looks like the best choice each time, and the caller's tries are used up
// within 30 ms.
#[test]
fn a_server_that_refuses_is_passed_over_when_the_caller_comes_again() {
    let now = Instant::now();
    let servers = (1..=3).map(|n| server(n, "dispatch", LOCAL)).collect();
    let mut plane = plane(now, servers);
    open(&mut plane, now, &Caller::new(100, BOOKINGS));
    let first = forwarded(plane.receive(now + ms(10), &Caller::new(1, BOOKINGS).opening(0), b""));
    let again = forwarded(plane.receive(now + ms(17), &Caller::new(2, BOOKINGS).opening(0), b""));
    assert_ne!(again, first);
    let last = forwarded(plane.receive(now + ms(24), &Caller::new(3, BOOKINGS).opening(0), b""));
    assert!(last != first && last != again);
}

// The caller has left, so that a further server would only open a flow that
// nobody answers, and be suspected for it.
#[test]
fn a_flow_that_its_caller_left_is_opened_nowhere_else() {
    let now = Instant::now();
    let servers = (1..=3).map(|n| server(n, "dispatch", LOCAL)).collect();
    let mut plane = plane(now, servers);
    open(&mut plane, now, &Caller::new(100, BOOKINGS));
    plane.receive(now + ms(10), &Caller::new(1, BOOKINGS).opening(0), b"first");
    let again = Caller::new(2, BOOKINGS);
    let target = forwarded(plane.receive(now + ms(17), &again.opening(0), b"again"));
    plane.receive(now + ms(23), &again.data(0, target.tag), b"");
    for at in [40, 60, 80, 100] {
        assert_eq!(plane.expire(now + ms(at)), Vec::new());
    }
}

#[test]
fn two_users_of_a_caller_share_a_server() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let first = Caller::new(1, BOOKINGS);
    let target = forwarded(plane.receive(now, &first.opening(0), b""));
    let second = Caller::new(2, BOOKINGS);
    let other = forwarded(plane.receive(now + ms(30), &second.opening(0), b""));
    assert_eq!(other, target);
    let verdict = plane.receive(now + ms(31), &first.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
}

//! Handshakes: unresponsive servers, retransmissions, and a stalled process.

use godwitreel::flow::DataPlane;
use godwitreel::flow::DropReason;
use godwitreel::flow::Expired;
use godwitreel::flow::FlowEvent;
use godwitreel::flow::Resend;
use godwitreel::flow::Segment;
use godwitreel::flow::StateUpdate;
use godwitreel::flow::Target;
use godwitreel::flow::Verdict;
use tokio::time::Instant;

use crate::support::*;

// A caller opens a flow at a server that has crashed, whose entry lapses seconds later.
// The caller's retransmission after 200 ms would miss the latency objective. The instance
// sees other handshakes succeed and resends the SYN to another server after a few round
// trips.
#[test]
fn a_silent_server_is_passed_over_before_the_caller_asks_again() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let first = Caller::new(1, BOOKINGS);
    let silent = forwarded(plane.receive(now, &first.opening(0), b"first"));
    let other = Caller::new(2, BOOKINGS);
    let alive = forwarded(plane.receive(now + ms(1), &other.opening(0), b"other"));
    assert_ne!(alive, silent, "the least loaded server");
    plane.receive(now + ms(7), &other.data(0, alive.tag), b"");

    let due = plane.next_due().unwrap();
    assert!(due <= now + ms(100));
    let resends = plane.expire(due).resends;
    assert_eq!(resends.len(), 1);
    assert_eq!(resends[0].target, alive);
    assert_eq!(resends[0].packet, b"first");

    for port in 10..20 {
        let caller = Caller::new(port, BOOKINGS);
        let target = forwarded(plane.receive(due + ms(1), &caller.opening(0), b""));
        assert_eq!(target, alive, "a suspected server gets no new flows");
    }
}

// The callers' packets stop arriving because the routers use other instances now. If
// every server counted as crashed, SYNs would be resent to working servers.
#[test]
fn missing_answers_of_all_servers_suspect_none() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    for port in 1..5 {
        plane.receive(now, &Caller::new(port, BOOKINGS).opening(0), b"");
    }
    for _ in 0..10 {
        let Some(due) = plane.next_due() else { break };
        assert_eq!(plane.expire(due), Expired::default());
    }
    let events = plane.take_events().0;
    let is_suspicion = |event: &FlowEvent| matches!(event, FlowEvent::Suspected { .. });
    assert!(!events.iter().any(is_suspicion), "{events:?}");
}

// Instances restart one by one, and each of them makes the routers redistribute flows. A
// SYN arrives here, and the caller's next packet goes to another instance. Flows of other
// callers arrive here meanwhile. A resend would open an unused flow at a further server,
// and the first server, which answered, would get no new flows for a second.
#[test]
fn rerouted_flows_suspect_no_server() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let first = Caller::new(1, BOOKINGS);
    let target = forwarded(plane.receive(now, &first.opening(0), b"first"));
    let rerouted = Caller::new(2, BOOKINGS);
    let adopted = plane.receive(now + ms(10), &rerouted.data(300, target.tag), b"");
    assert_eq!(forwarded(adopted), target);
    let mut resends = Vec::new();
    while let Some(due) = plane.next_due().filter(|due| *due < now + ms(200)) {
        resends.extend(plane.expire(due).resends);
    }
    assert_eq!(resends, Vec::new());
    let events = plane.take_events().0;
    let is_suspicion = |event: &FlowEvent| matches!(event, FlowEvent::Suspected { .. });
    assert!(!events.iter().any(is_suspicion), "{events:?}");
}

// As above, but the server does not answer: the caller's retransmission arrives here, like
// the first SYN, and shows that the server did not answer.
#[test]
fn a_retransmission_shows_a_miss_while_flows_are_rerouted() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let caller = Caller::new(1, BOOKINGS);
    let silent = forwarded(plane.receive(now, &caller.opening(0), b""));
    let rerouted = Caller::new(2, BOOKINGS);
    plane.receive(now + ms(10), &rerouted.data(300, silent.tag), b"");
    let copy = plane.receive(now + ms(200), &caller.opening(1), b"");
    assert_ne!(forwarded(copy), silent);
}

// The routers are stable again: a handshake that began after the last redistribution is
// judged as usual.
#[test]
fn a_miss_after_flows_were_rerouted_is_detected() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let first = Caller::new(1, BOOKINGS);
    let silent = forwarded(plane.receive(now, &first.opening(0), b"first"));
    let rerouted = Caller::new(2, BOOKINGS);
    plane.receive(now + ms(10), &rerouted.data(300, silent.tag), b"");
    plane.receive(now + ms(15), &rerouted.data(400, silent.tag), b"");
    let late = Caller::new(3, BOOKINGS);
    let opened = now + ms(20);
    let target = forwarded(plane.receive(opened, &late.opening(0), b"late"));
    let other = Caller::new(4, BOOKINGS);
    plane.receive(opened + ms(1), &other.opening(0), b"");
    plane.receive(opened + ms(2), &rerouted.data(500, silent.tag), b"");
    let mut resends = Vec::new();
    while let Some(due) = plane.next_due().filter(|due| *due <= opened + ms(60)) {
        resends.extend(plane.expire(due).resends);
    }
    let is_late = |resend: &Resend| resend.packet == b"late";
    let resend = resends.iter().find(|resend| is_late(resend));
    assert_ne!(resend.expect("a further server").target, target);
}

// The process is stopped for a second right after a SYN. When it resumes, the deadline has
// passed long ago, but the answer may be queued in the socket buffer.
#[test]
fn a_stalled_process_suspects_no_server() {
    let now = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(now, servers);
    let caller = Caller::new(1, BOOKINGS);
    let target = forwarded(plane.receive(now, &caller.opening(0), b""));
    let resumed = now + ms(1_000);
    open(&mut plane, resumed, &Caller::new(2, BOOKINGS));
    assert_eq!(plane.expire(resumed), Expired::default());
    let verdict = plane.receive(resumed + ms(1), &caller.data(0, target.tag), b"");
    assert_eq!(forwarded(verdict), target);
}

// SYN and retransmission were both queued in the socket buffer. If they went to two servers,
// both would answer, and the caller's tag could be that of the server it did not accept.
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

// The first server answers late, after the SYN was resent to a second one. The caller
// accepts the first answer, and the second answer only replaces the tag that it echoes.
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

// No server answers, which may also be due to a network failure on this side. Refusing new
// flows for that would leave callers without a service whose servers are alive.
#[test]
fn suspicion_never_leaves_a_service_without_servers() {
    let now = Instant::now();
    let mut plane = plane(now, vec![server(1, "dispatch", LOCAL)]);
    let caller = Caller::new(1, BOOKINGS);
    let target = forwarded(plane.receive(now, &caller.opening(0), b""));
    plane.receive(now + ms(200), &caller.opening(1), b"");
    let next = Caller::new(2, BOOKINGS);
    let verdict = plane.receive(now + ms(201), &next.opening(0), b"");
    assert_eq!(forwarded(verdict), target);
}

// A server process has crashed, and its host resets every SYN. The caller retries at once
// from another port. The server has no load and would be selected each time, so that all
// attempts fail within 30 ms.
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

// The caller has given up, so that a further server would only get a flow without a caller
// and become suspected.
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
        assert_eq!(plane.expire(now + ms(at)), Expired::default());
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

/// Two servers, of which the first has got the caller's SYN and the other answers others.
struct Handshake {
    plane: DataPlane,
    now: Instant,
    caller: Caller,
    first: Target,
    second: Target,
}

/// An instance whose round trips take 5 ms, with a handshake that has just begun.
fn handshake() -> Handshake {
    let began = Instant::now();
    let servers = vec![server(1, "dispatch", LOCAL), server(2, "dispatch", LOCAL)];
    let mut plane = plane(began, servers);
    let other = Caller::new(100, BOOKINGS);
    let second = open(&mut plane, began, &other);
    let now = began + ms(100);
    let caller = Caller::new(1, BOOKINGS);
    let first = forwarded(plane.receive(now, &caller.opening(0), b"first"));
    assert_ne!(first, second, "the least loaded server");
    Handshake {
        plane,
        now,
        caller,
        first,
        second,
    }
}

impl Handshake {
    /// A packet of a flow that another caller has open at the second server.
    fn other_packet(&mut self, at: u64) {
        let other = Caller::new(100, BOOKINGS).acknowledge(0, self.second.tag);
        self.plane.receive(self.now + ms(at), &other, b"");
    }

    fn resends(&mut self, until: u64) -> Vec<Resend> {
        let mut resends = Vec::new();
        let end = self.now + ms(until);
        while let Some(due) = self.plane.next_due().filter(|due| *due <= end) {
            resends.extend(self.plane.expire(due).resends);
        }
        resends
    }

    fn target(&mut self, at: u64, segment: &Segment) -> Target {
        forwarded(self.plane.receive(self.now + ms(at), segment, b""))
    }

    /// Lets the deadline pass, after which the SYN is sent to the second server.
    fn resend(&mut self) {
        self.other_packet(6);
        let resends = self.resends(30);
        assert_eq!(resends.len(), 1, "{resends:?}");
        assert_eq!(resends[0].target, self.second);
    }
}

// An instance that leaves the rotation forwards the SYN, and the acknowledgement goes to another
// one. Guards against a SYN that opens an answered flow at a second server as well.
#[test]
fn an_instance_that_leaves_the_rotation_suspects_no_server() {
    let mut handshake = handshake();
    handshake.other_packet(1);
    assert_eq!(handshake.resends(300), Vec::new());
}

// Guards against a silent server that is found late because no other packet came in time.
#[test]
fn a_silent_server_is_found_as_soon_as_other_packets_arrive() {
    let mut handshake = handshake();
    handshake.other_packet(1);
    assert_eq!(handshake.resends(40), Vec::new());
    handshake.other_packet(41);
    assert_eq!(handshake.resends(50).len(), 1);
}

// Guards against a second server when a single packet of the handshake was lost.
#[test]
fn a_server_that_answers_others_meanwhile_is_not_passed_over_by_time() {
    let began = Instant::now();
    let mut plane = plane(began, vec![server(1, "dispatch", LOCAL)]);
    let other = Caller::new(100, BOOKINGS);
    let target = open(&mut plane, began, &other);
    let now = began + ms(100);
    plane.receive(now, &Caller::new(1, BOOKINGS).opening(0), b"");
    plane.receive(now + ms(6), &other.acknowledge(500, target.tag), b"");
    plane.apply(
        now + ms(7),
        StateUpdate::Server(server(2, "dispatch", LOCAL)),
    );
    while let Some(due) = plane.next_due().filter(|due| *due <= now + ms(300)) {
        assert_eq!(plane.expire(due), Expired::default());
    }
}

// A server without room answers its open flows only. Guards against openings that wait there
// for their callers' copies, once one of them has shown it.
#[test]
fn openings_at_a_server_that_ignores_them_are_resent_by_time() {
    let began = Instant::now();
    let mut plane = plane(began, vec![server(1, "dispatch", LOCAL)]);
    let open_flow = Caller::new(100, BOOKINGS);
    let full = open(&mut plane, began, &open_flow);
    let first = Caller::new(1, BOOKINGS);
    plane.receive(began + ms(100), &first.opening(0), b"first");
    plane.receive(began + ms(106), &open_flow.acknowledge(500, full.tag), b"");
    let copy = plane.receive(began + ms(300), &first.opening(1), b"first");
    assert_eq!(forwarded(copy), full, "the only server");

    let at = began + ms(320);
    plane.receive(at, &Caller::new(2, BOOKINGS).opening(0), b"second");
    plane.receive(at + ms(6), &open_flow.acknowledge(900, full.tag), b"");
    plane.apply(
        at + ms(7),
        StateUpdate::Server(server(2, "dispatch", LOCAL)),
    );
    let mut resends = Vec::new();
    while let Some(due) = plane.next_due().filter(|due| *due <= at + ms(60)) {
        resends.extend(plane.expire(due).resends);
    }
    let is_second = |resend: &Resend| resend.packet == b"second";
    assert!(resends.iter().any(is_second), "{resends:?}");
}

// The acknowledgement of the first server's answer is lost. Guards against a flow that follows the
// tag of the second server's later answer.
#[test]
fn a_lost_acknowledgement_moves_no_flow_to_the_second_server() {
    let mut handshake = handshake();
    handshake.resend();
    let data = handshake.caller.data(0, handshake.second.tag);
    assert_eq!(handshake.target(150, &data), handshake.first);
}

// As above, but the acknowledgement is only late and comes after the data.
#[test]
fn a_late_acknowledgement_moves_no_flow_to_the_second_server() {
    let mut handshake = handshake();
    handshake.resend();
    let acknowledgement = handshake.caller.acknowledge(0, handshake.first.tag);
    assert_eq!(handshake.target(40, &acknowledgement), handshake.first);
    let data = handshake.caller.data(0, handshake.second.tag);
    assert_eq!(handshake.target(41, &data), handshake.first);
}

// The first server is silent. Guards against a flow that is kept there although its caller has
// accepted the answer of the second one.
#[test]
fn the_server_whose_answer_was_acknowledged_gets_the_flow() {
    let mut handshake = handshake();
    handshake.resend();
    let second = handshake.second;
    let acknowledgement = handshake.caller.acknowledge(0, second.tag);
    assert_eq!(handshake.target(32, &acknowledgement), second);
    let data = handshake.caller.data(0, second.tag);
    assert_eq!(handshake.target(90, &data), second);
}

// As above, for a caller that acknowledges the answer with its first data.
#[test]
fn the_server_whose_answer_was_acknowledged_by_data_gets_the_flow() {
    let mut handshake = handshake();
    handshake.resend();
    let data = handshake.caller.data(0, handshake.second.tag);
    assert_eq!(handshake.target(32, &data), handshake.second);
}

// Another instance has sent the SYN to two servers. Guards against an instance that follows the
// later answer's tag although it has seen the flow open at the first server.
#[test]
fn a_flow_opened_elsewhere_stays_with_its_server() {
    let mut handshake = handshake();
    let adopted = Caller::new(7, BOOKINGS);
    let (first, second) = (handshake.first, handshake.second);
    assert_eq!(
        handshake.target(1, &adopted.acknowledge(0, first.tag)),
        first
    );
    assert_eq!(handshake.target(9, &adopted.data(0, second.tag)), first);
    let events = handshake.plane.take_events().0;
    let is_ignored = |event: &FlowEvent| matches!(event, FlowEvent::TagIgnored { .. });
    assert!(events.iter().any(is_ignored), "{events:?}");
}

// Guards against a new flow that goes to the server of an earlier one with the same endpoints.
#[test]
fn a_new_flow_with_the_same_endpoints_goes_to_its_own_server() {
    let mut handshake = handshake();
    let earlier = Caller::new(7, BOOKINGS);
    let (first, second) = (handshake.first, handshake.second);
    assert_eq!(
        handshake.target(1, &earlier.acknowledge(0, first.tag)),
        first
    );
    let later = Caller {
        seq: earlier.seq.wrapping_add(1 << 30),
        ack: earlier.ack.wrapping_add(1 << 29),
        ..earlier
    };
    assert_eq!(handshake.target(9, &later.data(0, second.tag)), second);
}

// An instance wakes after seconds. Guards against old SYNs that reach further servers while a copy
// has opened the flow through another instance.
#[test]
fn a_syn_that_its_caller_has_sent_again_since_is_dropped() {
    let Handshake { mut plane, now, .. } = handshake();
    for (copy, age) in [(0, 200), (1, 400), (2, 800)] {
        let caller = Caller::new(20 + copy as u16, BOOKINGS);
        let syn = caller.opening(copy);
        let verdict = plane.receive_late(now + ms(age), now, &syn, b"");
        assert_eq!(verdict, Verdict::Drop(DropReason::Overdue));
        let verdict = plane.receive_late(now + ms(age - 1), now, &syn, b"");
        assert!(matches!(verdict, Verdict::Forward(_)), "{verdict:?}");
    }
}

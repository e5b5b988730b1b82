//! Openings whose route changes before their server has answered.

use std::collections::BTreeSet;

use godwitreel::flow::Backend;
use godwitreel::flow::DataPlane;
use godwitreel::flow::DropReason;
use godwitreel::flow::Expired;
use godwitreel::flow::FlowEvent;
use godwitreel::flow::Refusal;
use godwitreel::flow::Routes;
use godwitreel::flow::Server;
use godwitreel::flow::StateUpdate;
use godwitreel::flow::Verdict;
use proptest::prelude::*;
use tokio::time::Instant;

use crate::support::BOOKINGS;
use crate::support::Caller;
use crate::support::LOCAL;
use crate::support::forwarded;
use crate::support::ms;
use crate::support::open;
use crate::support::plane;
use crate::support::routes;
use crate::support::server;

fn two_services() -> Vec<Server> {
    vec![
        server(1, "dispatch", LOCAL),
        server(2, "dispatch", LOCAL),
        server(3, "ledger", LOCAL),
        server(4, "ledger", LOCAL),
    ]
}

fn lead_to(plane: &mut DataPlane, now: Instant, version: u64, service: Option<&str>) {
    let rows: Vec<_> = service
        .map(|service| (BOOKINGS, service))
        .into_iter()
        .collect();
    plane.apply(now, StateUpdate::Routes(routes(version, &rows)));
}

/// A plane whose only opening has got no answer.
fn unanswered(now: Instant) -> (DataPlane, Caller) {
    let mut plane = plane(now, two_services());
    let caller = Caller::new(1, BOOKINGS);
    let first = forwarded(plane.receive(now, &caller.opening(0), b"first"));
    assert!(first.serial.0 <= 2, "a server of dispatch");
    (plane, caller)
}

// Guards against a copy of an opening that goes to the service that its route has left.
#[test]
fn a_copy_goes_where_its_route_leads_now() {
    let now = Instant::now();
    let (mut plane, caller) = unanswered(now);
    lead_to(&mut plane, now + ms(100), 2, Some("ledger"));
    for (copy, at) in [(1, 200), (2, 600)] {
        let verdict = plane.receive(now + ms(at), &caller.opening(copy), b"copy");
        assert!(forwarded(verdict).serial.0 >= 3, "copy {copy}");
    }
    let (events, _) = plane.take_events();
    let is_rerouted = |event: &&FlowEvent| matches!(event, FlowEvent::Rerouted { version: 2, .. });
    assert_eq!(events.iter().filter(is_rerouted).count(), 1, "{events:?}");
}

// Guards against copies that come together after a pause of this process, of which the
// second one counts as no proof of silence.
#[test]
fn a_copy_right_after_the_first_goes_where_its_route_leads_now() {
    let now = Instant::now();
    let (mut plane, caller) = unanswered(now);
    lead_to(&mut plane, now + ms(5), 2, Some("ledger"));
    let verdict = plane.receive(now + ms(10), &caller.opening(1), b"copy");
    assert!(forwarded(verdict).serial.0 >= 3);
}

// Guards against a copy that runs on a route that is gone, and against a caller that waits
// for one.
#[test]
fn copies_on_a_withdrawn_route_are_refused_at_once() {
    let now = Instant::now();
    let (mut plane, caller) = unanswered(now);
    lead_to(&mut plane, now + ms(100), 2, None);
    for (copy, at) in [(1, 200), (2, 600)] {
        let verdict = plane.receive(now + ms(at), &caller.opening(copy), b"copy");
        assert_eq!(verdict, Verdict::Reset, "copy {copy}");
    }
    let (events, _) = plane.take_events();
    let is_refused = |event: &&FlowEvent| {
        let reason = Refusal::NoRoute;
        matches!(event, FlowEvent::Refused { reason: seen, .. } if *seen == reason)
    };
    assert_eq!(events.iter().filter(is_refused).count(), 2, "{events:?}");
    assert_eq!(plane.flows(), 0);
}

// Guards against a reset of a flow that the first server may have opened meanwhile.
#[test]
fn a_copy_waits_while_nobody_serves_its_new_route() {
    let now = Instant::now();
    let (mut plane, caller) = unanswered(now);
    lead_to(&mut plane, now + ms(100), 2, Some("archive"));
    let verdict = plane.receive(now + ms(200), &caller.opening(1), b"copy");
    assert_eq!(verdict, Verdict::Drop(DropReason::Rerouted));
    plane.apply(
        now + ms(300),
        StateUpdate::Server(server(5, "archive", LOCAL)),
    );
    let verdict = plane.receive(now + ms(600), &caller.opening(2), b"copy");
    assert_eq!(forwarded(verdict).serial.0, 5);
}

/// The instance's own retry of the opening after this change of the route.
fn resend_after(service: Option<&str>) -> Expired {
    let now = Instant::now();
    let mut plane = plane(now, two_services());
    let other = Caller::new(9, BOOKINGS);
    let opened = open(&mut plane, now, &other);
    let caller = Caller::new(1, BOOKINGS);
    plane.receive(now, &caller.opening(0), b"first");
    lead_to(&mut plane, now + ms(6), 2, service);
    let mut expired = Expired::default();
    for at in 7..200 {
        let at = now + ms(at);
        plane.receive(at, &other.data(100, opened.tag), b"");
        let step = plane.expire(at);
        expired.resends.extend(step.resends);
        expired.resets.extend(step.resets);
    }
    expired
}

// Guards against an own retry at the service that the route has left.
#[test]
fn own_retries_go_where_the_route_leads_now() {
    let serials = |expired: Expired| -> BTreeSet<u64> {
        let resends = expired.resends.iter();
        resends.map(|resend| resend.target.serial.0).collect()
    };
    assert!(
        !serials(resend_after(Some("dispatch"))).is_empty(),
        "no retry"
    );
    let moved = serials(resend_after(Some("ledger")));
    assert!(
        !moved.is_empty() && moved.iter().all(|serial| *serial >= 3),
        "{moved:?}"
    );
    assert_eq!(resend_after(None), Expired::default());
}

// Guards against a late copy that opens a second flow, or breaks the open one.
#[test]
fn a_copy_that_comes_after_the_flow_opened_goes_nowhere_once_the_route_has_moved() {
    for service in [Some("ledger"), None] {
        let now = Instant::now();
        let mut plane = plane(now, two_services());
        let caller = Caller::new(1, BOOKINGS);
        let target = open(&mut plane, now, &caller);
        lead_to(&mut plane, now + ms(100), 2, service);
        let copy = plane.receive(now + ms(200), &caller.opening(1), b"copy");
        assert_eq!(copy, Verdict::Drop(DropReason::Rerouted));
        let data = caller.data(100, target.tag);
        assert_eq!(forwarded(plane.receive(now + ms(210), &data, b"")), target);
    }
}

fn shared(version: u64, weights: [u32; 2]) -> Routes {
    let mut shared = routes(version, &[(BOOKINGS, "dispatch")]);
    let route = shared.by_address.get_mut(&BOOKINGS).unwrap();
    let backend = |(service, weight): (&str, u32)| Backend {
        service: service.parse().unwrap(),
        weight,
    };
    let weighted = ["dispatch", "ledger"].into_iter().zip(weights);
    route.backends = weighted.map(backend).collect();
    shared
}

// Guards against copies that move although their service still has a share of the route.
#[test]
fn a_copy_stays_with_a_service_that_keeps_a_share() {
    let now = Instant::now();
    let (mut plane, caller) = unanswered(now);
    plane.apply(now, StateUpdate::Routes(shared(2, [1, 1_000_000])));
    let verdict = plane.receive(now + ms(200), &caller.opening(1), b"copy");
    assert!(forwarded(verdict).serial.0 <= 2);
    plane.apply(now, StateUpdate::Routes(shared(3, [0, 1])));
    let verdict = plane.receive(now + ms(600), &caller.opening(2), b"copy");
    assert!(forwarded(verdict).serial.0 >= 3);
}

// Guards against a reset of a flow that the first server may have opened meanwhile: a route
// without weights is not gone.
#[test]
fn a_copy_on_a_route_without_weights_is_dropped() {
    let now = Instant::now();
    let (mut plane, caller) = unanswered(now);
    plane.apply(now, StateUpdate::Routes(shared(2, [0, 0])));
    let verdict = plane.receive(now + ms(200), &caller.opening(1), b"copy");
    assert_eq!(verdict, Verdict::Drop(DropReason::Rerouted));
}

#[derive(Clone, Debug)]
enum Event {
    Route(Option<bool>),
    Open,
    Copy,
    Wait(u64),
    Answer,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        proptest::option::of(any::<bool>()).prop_map(Event::Route),
        Just(Event::Open),
        Just(Event::Copy),
        (1..300u64).prop_map(Event::Wait),
        Just(Event::Answer),
    ]
}

proptest! {
    // Guards against any order of events in which an opening packet goes where its route
    // does not lead.
    #[test]
    fn no_opening_packet_goes_where_its_route_does_not_lead(events in proptest::collection::vec(event(), 1..80)) {
        let mut now = Instant::now();
        let mut plane = plane(now, two_services());
        let mut service = Some("dispatch");
        let (mut version, mut port, mut copy) = (1, 1, 0);
        for event in events {
            let mut serials = Vec::new();
            match event {
                Event::Route(to) => {
                    version += 1;
                    service = to.map(|is_moved| if is_moved { "ledger" } else { "dispatch" });
                    lead_to(&mut plane, now, version, service);
                }
                Event::Open | Event::Copy => {
                    let is_copy = matches!(event, Event::Copy);
                    copy = if is_copy { copy + 1 } else { 0 };
                    port += u16::from(!is_copy);
                    let packet = Caller::new(port, BOOKINGS).opening(copy);
                    if let Verdict::Forward(target) = plane.receive(now, &packet, b"packet") {
                        serials.push(target.serial.0);
                    }
                }
                Event::Wait(time) => {
                    now += ms(time);
                    let resends = plane.expire(now).resends;
                    serials.extend(resends.into_iter().map(|resend| resend.target.serial.0));
                }
                Event::Answer => {
                    let tag = godwitreel::flow::Tag::of(godwitreel::flow::Serial(1));
                    plane.receive(now, &Caller::new(port, BOOKINGS).data(0, tag), b"");
                }
            }
            for serial in serials {
                let reached = if serial <= 2 { "dispatch" } else { "ledger" };
                prop_assert_eq!(Some(reached), service);
            }
        }
    }
}

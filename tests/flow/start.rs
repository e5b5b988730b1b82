//! Service while the first list of servers still comes in.

use godwitreel::flow::DataPlane;
use godwitreel::flow::DropReason;
use godwitreel::flow::Serial;
use godwitreel::flow::StateUpdate;
use godwitreel::flow::Tag;
use godwitreel::flow::Verdict;
use tokio::time::Instant;

use crate::support::*;

/// A plane that knows the routes of both services and a first server.
fn starting_plane(now: Instant) -> DataPlane {
    let mut plane = DataPlane::new(options());
    let rows = [(BOOKINGS, "dispatch"), (SHEETS, "ledger")];
    plane.apply(now, StateUpdate::Routes(routes(1, &rows)));
    assert!(!plane.is_ready());
    let first = vec![server(1, "dispatch", LOCAL)];
    plane.apply(now, StateUpdate::SomeServers(first));
    plane
}

// Guards against callers that wait until thousands of servers have been listed.
#[test]
fn new_flows_are_placed_at_the_first_servers() {
    let now = Instant::now();
    let mut plane = starting_plane(now);
    assert!(plane.is_ready());
    assert!(!plane.has_all_servers());
    let caller = Caller::new(1, BOOKINGS);
    let target = open(&mut plane, now, &caller);
    assert_eq!(target.serial, Serial(1));
}

// Guards against resets for servers that are listed later.
#[test]
fn nothing_is_refused_before_all_servers_are_known() {
    let now = Instant::now();
    let mut plane = starting_plane(now);
    let opening = plane.receive(now, &Caller::new(1, SHEETS).opening(0), b"");
    assert_eq!(opening, Verdict::Drop(DropReason::NoView));
    let later = server(2, "dispatch", LOCAL);
    let data = Caller::new(2, BOOKINGS).data(100, Tag::of(later.serial));
    let unknown = plane.receive(now, &data, b"");
    assert_eq!(unknown, Verdict::Drop(DropReason::UnknownTag));
    let all = StateUpdate::Servers {
        listed: vec![server(1, "dispatch", LOCAL), later],
        unreadable: Vec::new(),
    };
    plane.apply(now, all);
    assert!(plane.has_all_servers());
    assert_eq!(forwarded(plane.receive(now, &data, b"")).serial, Serial(2));
    let opening = plane.receive(now, &Caller::new(3, SHEETS).opening(0), b"");
    assert_eq!(opening, Verdict::Reset);
}

// Guards against flows for a server that has left while the list came in.
#[test]
fn a_server_that_is_not_on_the_complete_list_gets_no_new_flows() {
    let now = Instant::now();
    let mut plane = starting_plane(now);
    let all = StateUpdate::Servers {
        listed: vec![server(2, "dispatch", LOCAL)],
        unreadable: Vec::new(),
    };
    plane.apply(now, all);
    for port in 1..20 {
        let target = open(&mut plane, now, &Caller::new(port, BOOKINGS));
        assert_eq!(target.serial, Serial(2));
    }
}

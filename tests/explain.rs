//! The trace buffer that `explain` reads.

use std::sync::Arc;
use std::time::Duration;

use godwitreel::action::TraceEvent;
use godwitreel::explain::Context;
use godwitreel::explain::MAX_TRACES;
use godwitreel::explain::TraceBuffer;
use godwitreel::id;
use godwitreel::reason::Reason;
use godwitreel::request;
use godwitreel::request::Flow;
use tokio::time::Instant;

const NO_LIMIT: usize = usize::MAX;

fn flow(service: &str, port: u16) -> Flow {
    Flow {
        service: service.parse().expect("a service"),
        caller: format!("127.0.0.1:{port}").parse().expect("an endpoint"),
    }
}

fn event(reason: Reason, flow: &Flow) -> TraceEvent {
    TraceEvent {
        flow: Some(flow.clone()),
        ..TraceEvent::new(reason)
    }
}

#[test]
fn traces_are_those_of_the_flow_newest_first() {
    let buffer = TraceBuffer::default();
    let start = Instant::now();
    let traced_flow = flow("dispatch", 1);
    let context = Context {
        epoch: Some(id::Epoch(7)),
        revision: Some(id::Revision(3)),
    };
    let answered = TraceEvent {
        request: Some(request::Id(0xab)),
        slice: Some(id::Slice(12)),
        server: Some("d1".parse().expect("a server")),
        elapsed: Some(Duration::from_millis(40)),
        ..event(Reason::Answered, &traced_flow)
    };
    buffer.record(
        start,
        event(Reason::Forwarded, &traced_flow),
        Context::default(),
    );
    buffer.record(start, event(Reason::Forwarded, &flow("ledger", 1)), context);
    buffer.record(
        start,
        event(Reason::Forwarded, &flow("dispatch", 2)),
        context,
    );
    buffer.record(start + Duration::from_millis(40), answered, context);

    let traces = buffer.traces(start + Duration::from_millis(100), &traced_flow);

    assert_eq!(traces.len(), 2);
    assert_eq!(traces[0].reason, "answered");
    assert_eq!(traces[0].age_ms, 60);
    assert_eq!(traces[0].service, "dispatch");
    assert_eq!(traces[0].caller, "127.0.0.1:1");
    assert_eq!(traces[0].request.as_deref(), Some("ab"));
    assert_eq!(traces[0].slice, Some(12));
    assert_eq!(traces[0].epoch, Some(7));
    assert_eq!(traces[0].revision, Some(3));
    assert_eq!(traces[0].server.as_deref(), Some("d1"));
    assert_eq!(traces[0].elapsed_ms, Some(40));
    assert_eq!(traces[1].reason, "forwarded");
    assert_eq!(traces[1].age_ms, 100);
    assert_eq!(traces[1].epoch, None);
}

#[test]
fn the_oldest_go_first_when_there_are_too_many() {
    let buffer = TraceBuffer::new(2, NO_LIMIT);
    let now = Instant::now();
    let traced_flow = flow("dispatch", 1);
    for reason in [Reason::Claimed, Reason::Forwarded, Reason::Answered] {
        buffer.record(now, event(reason, &traced_flow), Context::default());
    }

    let reasons: Vec<String> = buffer
        .traces(now, &traced_flow)
        .into_iter()
        .map(|trace| trace.reason)
        .collect();

    assert_eq!(reasons, ["answered", "forwarded"]);
}

#[test]
fn bytes_are_bounded_and_given_back() {
    let now = Instant::now();
    let traced_flow = flow("dispatch", 1);
    let single_event_buffer = TraceBuffer::default();
    single_event_buffer.record(
        now,
        event(Reason::Answered, &traced_flow),
        Context::default(),
    );
    let size = single_event_buffer.bytes();
    let buffer = TraceBuffer::new(NO_LIMIT, 3 * size);
    for _ in 0..10 {
        buffer.record(
            now,
            event(Reason::Answered, &traced_flow),
            Context::default(),
        );
    }
    assert_eq!(buffer.len(), 3);
    assert_eq!(buffer.bytes(), 3 * size);

    let too_small = TraceBuffer::new(NO_LIMIT, size - 1);
    too_small.record(
        now,
        event(Reason::Answered, &traced_flow),
        Context::default(),
    );
    assert!(too_small.is_empty());
    assert_eq!(too_small.bytes(), 0);
}

#[test]
fn events_without_a_flow_are_left_out() {
    let buffer = TraceBuffer::default();
    buffer.record(
        Instant::now(),
        TraceEvent::new(Reason::HomeGained),
        Context::default(),
    );
    assert!(buffer.is_empty());
}

#[test]
fn many_threads_record_and_ask_at_once() {
    let buffer = Arc::new(TraceBuffer::new(1_500, NO_LIMIT));
    let now = Instant::now();
    let traced_flow = flow("dispatch", 1);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..500 {
                    buffer.record(
                        now,
                        event(Reason::Answered, &traced_flow),
                        Context::default(),
                    );
                    buffer.traces(now, &traced_flow);
                }
            });
        }
    });
    assert_eq!(buffer.len(), 1_500);
    assert_eq!(buffer.traces(now, &traced_flow).len(), MAX_TRACES);
}

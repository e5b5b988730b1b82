//! Final outcomes of requests: answered, not run, or unknown, and never one in
//! place of another.

mod lab;

use std::sync::Arc;

use bytes::Bytes;
use godwitreel::action::Action;
use godwitreel::action::Delivery;
use godwitreel::document::Profile;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::reason::Reason;
use godwitreel::request::Answer;
use godwitreel::request::BodyBlock;
use godwitreel::request::Kind;
use godwitreel::request::Outcome;
use godwitreel::request::Receipt;
use godwitreel::server::Server;

use crate::lab::answer;
use crate::lab::forwards;
use crate::lab::has_reason;
use crate::lab::holder;
use crate::lab::ms;
use crate::lab::outcomes;
use crate::lab::pair::Pair;
use crate::lab::refusal;
use crate::lab::row;
use crate::lab::secs;

/// Server and number of a forwarded attempt.
type Sent = (Arc<Server>, id::Attempt);

/// A later block of an upload.
const LATER_BLOCK: BodyBlock = BodyBlock {
    body_id: 1,
    is_continuation: true,
    is_upload: true,
};

/// A home without a backup, which forwards at once.
fn alone() -> Pair {
    Pair::new(row(1, Some(&holder("a", 1)), None))
}

fn with(profile: Profile) -> Pair {
    let mut pair = alone();
    pair.configure(&profile);
    pair
}

fn sent(actions: &[Action]) -> Sent {
    forwards(actions).remove(0)
}

fn outstanding(pair: &Pair) -> u32 {
    let servers = pair.servers.iter();
    servers.map(|server| server.state().outstanding).sum()
}

/// A server states that it did not start the booking: another server may run it.
#[test]
fn a_refused_booking_goes_to_another_server() {
    let mut pair = alone();
    let first = sent(&pair.book(1));
    let second = sent(&pair.answer(&first, refusal()));
    assert_ne!(first.0.id, second.0.id);
    let answered = pair.answer(&second, answer("done"));
    let done = Outcome::Answered(Bytes::from_static(b"done"));
    assert_eq!(outcomes(&answered), [done]);
    assert_eq!(outstanding(&pair), 0);
}

/// A server does not answer, so the booking may be running there. It is forwarded
/// to no other server, and the caller gets "unknown" at the deadline.
#[test]
fn a_silent_booking_goes_nowhere_else() {
    let mut pair = alone();
    pair.book(1);
    let (actions, _) = pair.run(Profile::default().deadline());
    assert!(forwards(&actions).is_empty());
    assert_eq!(outcomes(&actions), [Outcome::Unknown]);
    assert_eq!(outstanding(&pair), 0);
}

/// All servers that may be tried refuse the booking: the caller gets "not run" at
/// once. A later duplicate gets the same answer and is not forwarded.
#[test]
fn a_booking_that_all_refuse_is_not_run() {
    let mut pair = alone();
    let mut next = sent(&pair.book(1));
    for _ in 0..2 {
        next = sent(&pair.answer(&next, refusal()));
    }
    let answered = pair.answer(&next, refusal());
    assert_eq!(outcomes(&answered), [Outcome::NotRun { retry_after: 1 }]);
    pair.run(secs(5));
    let duplicate = pair.book(1);
    assert!(forwards(&duplicate).is_empty());
    assert_eq!(outcomes(&duplicate), [Outcome::NotRun { retry_after: 1 }]);
}

/// A server answers an attempt that was sent to another server: the caller must not
/// get that answer.
#[test]
fn an_answer_from_another_server_is_dropped() {
    let mut pair = alone();
    let forwarded = sent(&pair.book(1));
    let other = pair
        .servers
        .iter()
        .find(|s| s.id != forwarded.0.id)
        .cloned();
    let foreign = (other.expect("three servers"), forwarded.1);
    let actions = pair.answer(&foreign, answer("another's"));
    assert!(outcomes(&actions).is_empty());
    assert!(has_reason(&actions, Reason::ForeignAnswer));
}

/// The server's answer arrives after the caller got "unknown": the outcome stays,
/// and no later request of the caller gets the late answer.
#[test]
fn a_late_answer_reaches_nobody() {
    let mut pair = alone();
    let late = sent(&pair.book(1));
    pair.run(Profile::default().deadline());
    pair.book(2);
    let actions = pair.answer(&late, answer("late"));
    assert!(outcomes(&actions).is_empty());
    assert!(has_reason(&actions, Reason::ForeignAnswer));
}

/// One server does not answer a read in time, so a second one gets it; the first
/// answer is used and the second is dropped.
#[test]
fn a_late_read_is_asked_of_a_second_server() {
    let mut pair = alone();
    let first = sent(&pair.ask(1, Kind::Idempotent));
    let second = sent(&pair.run(Profile::default().attempt_timeout()).0);
    assert_ne!(first.0.id, second.0.id);
    assert_eq!(outcomes(&pair.answer(&first, answer("a"))).len(), 1);
    assert!(outcomes(&pair.answer(&second, answer("b"))).is_empty());
    assert_eq!(outstanding(&pair), 0);
}

/// Of two servers that got a read, one does not answer and the other refuses. The
/// first may still answer, so "not run" would be wrong.
#[test]
fn a_refusal_beside_a_silence_is_no_outcome() {
    let mut pair = with(Profile {
        max_attempts: 2,
        ..Profile::default()
    });
    let first = sent(&pair.ask(1, Kind::Idempotent));
    let second = sent(&pair.run(Profile::default().attempt_timeout()).0);
    let refused = pair.answer(&second, refusal());
    assert!(outcomes(&refused).is_empty());
    assert_eq!(outcomes(&pair.answer(&first, answer("a"))).len(), 1);
}

/// All servers are slow. Retries stay within their share of the requests; without
/// that limit they would double the load during an overload.
#[test]
fn retries_stay_within_their_budget() {
    const REQUESTS: u64 = 200;
    let mut pair = with(Profile {
        max_per_caller: 1_000,
        queue_per_slot: 1_000,
        eject_after: 1_000,
        ..Profile::default()
    });
    for number in 0..REQUESTS {
        assert_eq!(forwards(&pair.ask(number, Kind::Idempotent)).len(), 1);
    }
    let (actions, _) = pair.run(secs(7));
    assert!(has_reason(&actions, Reason::RetryDenied));
    // The budget holds at most ten retries, and a tenth of the requests is added.
    assert!(forwards(&actions).len() <= 10 + REQUESTS as usize / 10);
}

/// Every server fails, as when the cause is on this instance's side. Half of them
/// stay in use, since sending all requests to the last one would overload it too.
#[test]
fn half_of_the_servers_are_never_ejected() {
    let mut pair = with(Profile {
        eject_after: 1,
        deadline_ms: 1_000,
        attempt_timeout_ms: 1_000,
        ..Profile::default()
    });
    for number in 0..30 {
        pair.book(number);
        pair.run(ms(1_000));
        let in_cooldown = |server: &&Arc<Server>| server.state().is_in_cooldown(pair.now);
        assert!(pair.servers.iter().filter(in_cooldown).count() <= 1);
    }
}

/// No server accepts new work: the outcome is "not run", at once, with a time to
/// retry after.
#[test]
fn without_a_server_a_request_is_not_run() {
    for kind in [Kind::NonIdempotent, Kind::Idempotent] {
        let mut pair = alone();
        for server in &pair.servers {
            server.state().draining = true;
        }
        let actions = pair.ask(1, kind);
        assert!(forwards(&actions).is_empty());
        assert_eq!(outcomes(&actions), [Outcome::NotRun { retry_after: 2 }]);
    }
}

/// Another service was last seen at the server's address: nothing is sent there,
/// not even later blocks of a body that the server has begun to receive.
#[test]
fn an_unconfirmed_server_gets_nothing() {
    let mut pair = alone();
    let forwarded = sent(&send_block(&mut pair, 1));
    pair.answer(&forwarded, answer("next"));
    for server in &pair.servers {
        server.revoke_confirmation();
    }
    assert!(forwards(&send_block(&mut pair, 2)).is_empty());
    assert!(forwards(&pair.book(3)).is_empty());
}

fn send_block(pair: &mut Pair, number: u64) -> Vec<Action> {
    let mut request = lab::request(&lab::flow("dispatch", 1), number, Kind::Idempotent);
    request.block = BodyBlock {
        is_continuation: number > 0,
        ..LATER_BLOCK
    };
    let event = Event::Request { request, hops: 0 };
    pair.home.handle(pair.now, event)
}

/// All blocks of one upload go to the same server, also while that server is
/// draining.
#[test]
fn blocks_go_to_the_same_server() {
    let mut pair = alone();
    let mut first = None;
    for number in 0..20 {
        let forwarded = sent(&send_block(&mut pair, number));
        let next = Answer {
            has_more_blocks: true,
            ..answer("next")
        };
        pair.answer(&forwarded, next);
        let server = first.get_or_insert_with(|| Arc::clone(&forwarded.0));
        assert_eq!(server.id, forwarded.0.id);
        server.state().draining = true;
    }
}

/// A read was answered and its record removed, and a late duplicate of it is
/// forwarded again. The timers of the first must not end the second before its own
/// deadline.
#[test]
fn timers_of_an_answered_request_leave_its_copy_alone() {
    let mut pair = alone();
    let first = sent(&pair.ask(1, Kind::Idempotent));
    pair.answer(&first, answer("a"));
    pair.run(ms(7_500));
    pair.ask(1, Kind::Idempotent);
    let (early, _) = pair.run(ms(700));
    assert!(outcomes(&early).is_empty());
    let (late, _) = pair.run(ms(7_400));
    assert_eq!(outcomes(&late), [Outcome::Unknown]);
}

/// The answer takes long: the home acknowledges the request before the caller
/// repeats it, and sends the answer in a separate message until the caller confirms
/// it.
#[test]
fn a_slow_answer_is_announced_and_repeated_until_confirmed() {
    let mut pair = alone();
    let forwarded = sent(&pair.book(1));
    let (actions, _) = pair.run(ms(1_100));
    let is_acknowledgement = |action: &Action| matches!(action, Action::Acknowledge { .. });
    assert!(actions.iter().any(is_acknowledgement));
    let answered = pair.answer(&forwarded, answer("done"));
    let separate = answered.iter().find_map(|action| match action {
        Action::Answer {
            delivery: Delivery::Separate { message },
            ..
        } => Some(*message),
        _ => None,
    });
    assert_eq!(outcomes(&pair.run(ms(2_100)).0).len(), 1, "repeated");
    let event = Event::Receipt {
        flow: lab::flow("dispatch", 1),
        message: separate.expect("a separate answer"),
        receipt: Receipt::Acknowledged,
        hops: 0,
        datagram: Bytes::new(),
    };
    pair.home.handle(pair.now, event);
    assert!(outcomes(&pair.run(secs(20)).0).is_empty(), "confirmed");
}

/// A caller floods its home: requests beyond the limit per caller are not run, and
/// other callers are still served.
#[test]
fn one_caller_does_not_take_all() {
    let mut pair = with(Profile {
        max_per_caller: 2,
        ..Profile::default()
    });
    pair.ask(1, Kind::Idempotent);
    pair.ask(2, Kind::Idempotent);
    let refused = pair.ask(3, Kind::Idempotent);
    assert!(has_reason(&refused, Reason::RefusedCaller));
    let other = lab::request(&lab::flow("dispatch", 2), 4, Kind::Idempotent);
    let event = Event::Request {
        request: other,
        hops: 0,
    };
    assert_eq!(forwards(&pair.home.handle(pair.now, event)).len(), 1);
}

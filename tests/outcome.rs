//! Outcomes: answered, not run, unknown, and never one for another.

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

type Sent = (Arc<Server>, id::Attempt);

/// A home without a backup, which forwards at once.
/// A later part of an upload.
const PART: BodyBlock = BodyBlock {
    body_id: 1,
    is_continuation: true,
    is_upload: true,
};

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

/// A server says that it did not start the booking: another one may run it.
#[test]
fn a_refused_booking_goes_to_another_server() {
    let mut pair = alone();
    let first = sent(&pair.book(1));
    let second = sent(&pair.answer(&first, refusal()));
    assert_ne!(first.0.id, second.0.id);
    let told = pair.answer(&second, answer("done"));
    let done = Outcome::Answered(Bytes::from_static(b"done"));
    assert_eq!(outcomes(&told), [done]);
    assert_eq!(outstanding(&pair), 0);
}

/// A server is silent, which proves nothing: the booking may run there. It goes
/// nowhere else, and the caller gets "unknown" when its time is over.
#[test]
fn a_silent_booking_goes_nowhere_else() {
    let mut pair = alone();
    pair.book(1);
    let (actions, _) = pair.run(Profile::default().deadline());
    assert!(forwards(&actions).is_empty());
    assert_eq!(outcomes(&actions), [Outcome::Unknown]);
    assert_eq!(outstanding(&pair), 0);
}

/// All servers that may be asked refuse: the booking was not run, and the caller
/// hears it at once. A later copy hears the same and is not forwarded.
#[test]
fn a_booking_that_all_refuse_is_not_run() {
    let mut pair = alone();
    let mut next = sent(&pair.book(1));
    for _ in 0..2 {
        next = sent(&pair.answer(&next, refusal()));
    }
    let told = pair.answer(&next, refusal());
    assert_eq!(outcomes(&told), [Outcome::NotRun { retry_after: 1 }]);
    pair.run(secs(5));
    let copy = pair.book(1);
    assert!(forwards(&copy).is_empty());
    assert_eq!(outcomes(&copy), [Outcome::NotRun { retry_after: 1 }]);
}

/// Another server answers with an attempt that was not given to it: the caller
/// must not get that answer.
#[test]
fn an_answer_from_another_server_is_dropped() {
    let mut pair = alone();
    let asked = sent(&pair.book(1));
    let other = pair.servers.iter().find(|s| s.id != asked.0.id).cloned();
    let foreign = (other.expect("three servers"), asked.1);
    let actions = pair.answer(&foreign, answer("another's"));
    assert!(outcomes(&actions).is_empty());
    assert!(has_reason(&actions, Reason::ForeignAnswer));
}

/// The answer comes after the caller got "unknown": the outcome stays, and no
/// later request of the caller gets the late answer.
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

/// A read is late at one server and asked of a second; the first answer counts and
/// the second is dropped.
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

/// One server is silent and the other refuses a read: the silent one may still
/// answer, so "not run" would be untrue.
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

/// All servers are slow. Retries stay within their share of the requests: without
/// that they would double the load just when there is too much of it.
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
    // Ten may be saved up, and a tenth of the requests is paid in.
    assert!(forwards(&actions).len() <= 10 + REQUESTS as usize / 10);
}

/// Every server fails, as when the cause is on our side. Half of them stay in use,
/// since sending everything to the last one would break it too.
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
        let resting = |server: &&Arc<Server>| server.state().is_in_cooldown(pair.now);
        assert!(pair.servers.iter().filter(resting).count() <= 1);
    }
}

/// The last server refuses new work: not run, at once, with a time to come back.
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

/// The address of a server was last seen to run something else: no packet goes
/// there, not even for the parts of a body that it has.
#[test]
fn an_unconfirmed_server_gets_nothing() {
    let mut pair = alone();
    let asked = sent(&ask_part(&mut pair, 1));
    pair.answer(&asked, answer("next"));
    for server in &pair.servers {
        server.revoke_confirmation();
    }
    assert!(forwards(&ask_part(&mut pair, 2)).is_empty());
    assert!(forwards(&pair.book(3)).is_empty());
}

fn ask_part(pair: &mut Pair, number: u64) -> Vec<Action> {
    let mut part = lab::request(&lab::flow("dispatch", 1), number, Kind::Idempotent);
    part.block = BodyBlock {
        is_continuation: number > 0,
        ..PART
    };
    let event = Event::Request {
        request: part,
        hops: 0,
    };
    pair.home.handle(pair.now, event)
}

/// The parts of a batch sheet meet the same server, also while it is leaving.
#[test]
fn parts_meet_the_same_server() {
    let mut pair = alone();
    let mut first = None;
    for number in 0..20 {
        let asked = sent(&ask_part(&mut pair, number));
        let next = Answer {
            has_more_blocks: true,
            ..answer("next")
        };
        pair.answer(&asked, next);
        let server = first.get_or_insert_with(|| Arc::clone(&asked.0));
        assert_eq!(server.id, asked.0.id);
        server.state().draining = true;
    }
}

/// A read was answered and forgotten, and a late copy of it is asked again. The
/// first one's timers must not end the second before its time.
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

/// The answer takes long: the caller is told that its request has arrived, before
/// it repeats it, and the answer comes in a message of its own until it is
/// confirmed.
#[test]
fn a_slow_answer_is_announced_and_repeated_until_confirmed() {
    let mut pair = alone();
    let asked = sent(&pair.book(1));
    let (actions, _) = pair.run(ms(1_100));
    let acknowledged = |action: &Action| matches!(action, Action::Acknowledge { .. });
    assert!(actions.iter().any(acknowledged));
    let told = pair.answer(&asked, answer("done"));
    let separate = told.iter().find_map(|action| match action {
        Action::Answer {
            delivery: Delivery::Separate { message },
            ..
        } => Some(*message),
        _ => None,
    });
    assert_eq!(outcomes(&pair.run(ms(2_100)).0).len(), 1, "repeated");
    let event = Event::Receipt {
        flow: lab::flow("dispatch", 1),
        message: separate.expect("a message of its own"),
        receipt: Receipt::Acknowledged,
        hops: 0,
        datagram: Bytes::new(),
    };
    pair.home.handle(pair.now, event);
    assert!(outcomes(&pair.run(secs(20)).0).is_empty(), "confirmed");
}

/// A caller floods its home: beyond its own limit its requests are not run, and
/// other callers are served.
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

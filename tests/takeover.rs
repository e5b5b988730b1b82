//! Takeovers and planned moves of slices, and their effect on requests in progress.

mod lab;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::action::Action;
use godwitreel::control;
use godwitreel::control::Command;
use godwitreel::control::INSTANCES;
use godwitreel::control::SLICES_PREFIX;
use godwitreel::control::SlicePlanner;
use godwitreel::control::WriteResult;
use godwitreel::document::Profile;
use godwitreel::engine::Engine;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::member::Member;
use godwitreel::member::MembershipView;
use godwitreel::peer;
use godwitreel::peer::PeerMessage;
use godwitreel::platform::Entry;
use godwitreel::platform::Era;
use godwitreel::platform::Revision;
use godwitreel::reason::Reason;
use godwitreel::request::Kind;
use godwitreel::request::Outcome;
use godwitreel::table::Document;
use godwitreel::table::Row;
use tokio::time::Instant;

use crate::lab::deliver;
use crate::lab::forwards;
use crate::lab::has_reason;
use crate::lab::holder;
use crate::lab::ms;
use crate::lab::outcomes;
use crate::lab::pair::Pair;
use crate::lab::peer_messages;
use crate::lab::row;
use crate::lab::secs;
use crate::lab::table;
use crate::lab::view;

fn with_lost_records(row: Row) -> Row {
    Row {
        records_lost: true,
        ..row
    }
}

/// A home fails and its records are lost; then a copy of a booking arrives at the new
/// home. "Unknown" is the only correct answer as long as copies may arrive. After one copy
/// lifetime, new bookings run.
#[test]
fn a_home_without_records_answers_unknown_for_one_copy_lifetime() {
    let a = holder("a", 1);
    let mut pair = Pair::new(with_lost_records(row(5, Some(&a), None)));
    assert_eq!(outcomes(&pair.book(1)), [Outcome::Unknown]);
    pair.run(Profile::default().copy_lifetime() - ms(200));
    assert_eq!(outcomes(&pair.book(2)), [Outcome::Unknown]);
    pair.run(ms(200));
    assert_eq!(forwards(&pair.book(3)).len(), 1);
}

/// A slice with lost records is moved as planned. The lost-records window continues; if it
/// restarted with each move, callers would get "unknown" again after each of them.
#[test]
fn a_planned_move_does_not_begin_the_window_anew() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut pair = Pair::new(with_lost_records(row(5, Some(&a), None)));
    pair.run(Profile::default().copy_lifetime() - secs(1));
    pair.install(with_lost_records(row(6, Some(&a), Some(&b))));
    pair.install(with_lost_records(row(7, Some(&b), None)));
    assert_eq!(
        outcomes(&pair.ask_backup(1, Kind::NonIdempotent)),
        [Outcome::Unknown]
    );
    pair.run(secs(1));
    assert_eq!(forwards(&pair.ask_backup(2, Kind::NonIdempotent)).len(), 1);
}

/// A second takeover without records follows the first. The records of the home in between
/// are lost too, so the lost-records window restarts, even if a row was skipped.
#[test]
fn a_second_takeover_begins_the_window_anew() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    for epoch in [6, 7] {
        let mut pair = Pair::new(with_lost_records(row(5, Some(&a), None)));
        pair.run(Profile::default().copy_lifetime() - secs(1));
        let next = if epoch == 6 { &b } else { &a };
        pair.install(with_lost_records(row(epoch, Some(next), None)));
        pair.run(secs(2));
        let actions = match epoch {
            6 => pair.ask_backup(1, Kind::NonIdempotent),
            _ => pair.ask(1, Kind::NonIdempotent),
        };
        assert_eq!(outcomes(&actions), [Outcome::Unknown], "epoch {epoch}");
    }
}

/// The home forwards a booking and dies, its backup takes over and receives the caller's
/// copy. The booking may have run, so the copy gets "unknown" and is not forwarded.
#[test]
fn a_new_home_never_runs_what_was_claimed_before() {
    let mut pair = Pair::with_backup();
    assert_eq!(forwards(&pair.book_acknowledged(1)).len(), 1);
    pair.lose_home();
    let b = pair.b.clone();
    pair.backup.handle(pair.now, table(row(2, Some(&b), None)));
    let copy = pair.duplicate_of_claimed(1);
    assert!(forwards(&copy).is_empty());
    assert_eq!(outcomes(&copy), [Outcome::Unknown]);
    assert!(has_reason(&copy, Reason::UnknownClaimed));
}

/// Deadline of a request in these tests.
fn deadline() -> Duration {
    Profile::default().deadline()
}

/// A home forwards a booking, gets the order to stop, and is partitioned from its peers,
/// but not from the caller and the server; its backup takes over. The server takes 6 s. The
/// acknowledgement sent after 1 s is lost, so copies arrive 3 and 7 s after the booking.
/// When the new home answered "unknown" to the first copy, the caller gave up before the
/// server's answer arrived. The old home may answer until the deadline; only after it may
/// the new home answer "unknown", as the old one then does.
#[test]
fn a_cut_off_home_may_answer_until_the_deadline() {
    let mut pair = Pair::with_backup();
    let sent = forwards(&pair.book_acknowledged(1));
    pair.run(ms(750));
    pair.lose_home();
    let b = pair.b.clone();
    pair.backup.handle(pair.now, table(row(2, Some(&b), None)));
    let ask_again = |pair: &mut Pair| {
        let copy = pair.ask_backup(1, Kind::NonIdempotent);
        assert!(forwards(&copy).is_empty());
        outcomes(&copy)
    };
    pair.run(ms(2_250));
    assert_eq!(ask_again(&mut pair), []);
    pair.run(secs(3));
    let actions = pair.answer(&sent[0], lab::answer("done"));
    let done = Outcome::Answered(Bytes::from_static(b"done"));
    assert_eq!(outcomes(&actions), [done]);
    pair.run(secs(1));
    assert_eq!(ask_again(&mut pair), []);
    pair.run(secs(1));
    assert_eq!(ask_again(&mut pair), [Outcome::Unknown]);
}

/// The home of a booking is dead. The caller sent one copy 2.5 s after the booking, and its
/// next copy would come seconds after the deadline. The new home must answer "unknown" at
/// the deadline, once, without waiting for the next copy.
#[test]
fn the_caller_of_a_dead_home_is_told_at_the_deadline() {
    let mut pair = Pair::with_backup();
    pair.book_acknowledged(1);
    pair.run(ms(500));
    pair.lose_home();
    let b = pair.b.clone();
    pair.backup.handle(pair.now, table(row(2, Some(&b), None)));
    pair.run(secs(2));
    assert_eq!(outcomes(&pair.ask_backup(1, Kind::NonIdempotent)), []);
    let (_, early) = pair.run(deadline() - ms(2_600));
    assert_eq!(outcomes(&early), []);
    let (_, actions) = pair.run(secs(2));
    assert_eq!(outcomes(&actions), [Outcome::Unknown]);
    assert!(has_reason(&actions, Reason::UnknownClaimed));
}

/// The home has certainly ended because a later incarnation is known. No instance can
/// answer the booking any more, so the caller gets "unknown" at once and not only at the
/// deadline.
#[test]
fn the_caller_of_a_home_that_has_started_again_is_told_at_once() {
    let mut pair = Pair::with_backup();
    pair.book_acknowledged(1);
    let b = pair.b.clone();
    let restarted = Member {
        holder: holder("a", 2),
        zone: "bole".parse().expect("a legal name"),
        address: lab::endpoint(4, 1),
        leaving: false,
    };
    let view = MembershipView {
        live: [b.clone(), restarted.holder.clone()].into(),
        known: [(restarted.holder.instance.clone(), restarted)].into(),
        authority_until: Some(pair.now + lab::FOREVER),
    };
    pair.backup
        .handle(pair.now, Event::Membership(Arc::new(view)));
    pair.backup.handle(pair.now, table(row(2, Some(&b), None)));
    let copy = pair.ask_backup(1, Kind::NonIdempotent);
    assert!(forwards(&copy).is_empty());
    assert_eq!(outcomes(&copy), [Outcome::Unknown]);
}

/// The home is partitioned; its backup takes over, copies its records to a third instance
/// and dies too. The caller's copy arrives at the third instance 2.5 s later, where it got
/// "unknown" although the first home was still working on the booking. The third instance
/// must wait for the deadline of the booking, which must not restart with each copy of the
/// record.
#[test]
fn a_second_takeover_waits_for_the_first_home_and_no_longer() {
    let mut pair = Pair::with_backup();
    pair.book_acknowledged(1);
    pair.run(ms(500));
    pair.lose_home();
    let (b, c) = (pair.b.clone(), holder("c", 1));
    let mut third = Engine::new(lab::settings(&c, 0, 1));
    let service = lab::service("dispatch", &Profile::default(), pair.servers.clone());
    third.handle(pair.now, Event::Snapshot(lab::snapshot(vec![service])));
    let alone = view(&[&c], pair.now + lab::FOREVER);
    third.handle(pair.now, alone);
    let with_backup = table(row(2, Some(&b), Some(&c)));
    third.handle(pair.now, with_backup.clone());
    let copy_messages = pair.backup.handle(pair.now, with_backup);
    deliver(pair.now, &b, &copy_messages, &c, &mut third);
    third.handle(pair.now, table(row(3, Some(&c), None)));
    let request = || lab::request(&lab::flow("dispatch", 1), 1, Kind::NonIdempotent);
    let copy = |third: &mut Engine, now| {
        let request = request();
        third.handle(now, Event::Request { request, hops: 1 })
    };
    let early = copy(&mut third, pair.now + ms(2_500));
    assert!(forwards(&early).is_empty());
    assert_eq!(outcomes(&early), []);
    let late = copy(&mut third, pair.now - ms(500) + deadline());
    assert!(forwards(&late).is_empty());
    assert_eq!(outcomes(&late), [Outcome::Unknown]);
}

/// Feeds and idempotent requests need no authority: the new home serves them at once even
/// if the partitioned home still does, and the caller takes the first answer. Only
/// non-idempotent requests wait.
#[test]
fn a_feed_of_a_cut_off_home_waits_for_nothing() {
    for kind in [Kind::OpenFeed, Kind::Idempotent] {
        let mut pair = Pair::with_backup();
        pair.ask(1, kind);
        pair.run(ms(500));
        pair.lose_home();
        let b = pair.b.clone();
        pair.backup.handle(pair.now, table(row(2, Some(&b), None)));
        assert_eq!(forwards(&pair.ask_backup(1, kind)).len(), 1, "{kind:?}");
    }
}

/// The slice moves as planned while a booking is in progress at its server. The old home
/// gets the answer and passes it to the new home, so that the caller's copy gets it too.
#[test]
fn the_new_home_learns_the_answer_of_a_request_in_progress() {
    let mut pair = Pair::with_backup();
    let sent = forwards(&pair.book_acknowledged(1));
    let b = pair.b.clone();
    pair.install(row(2, Some(&b), None));
    let actions = pair.answer(&sent[0], lab::answer("done"));
    assert_eq!(outcomes(&actions).len(), 1);
    pair.deliver_to_backup(&actions);
    assert_eq!(
        outcomes(&pair.ask_backup(1, Kind::NonIdempotent)),
        [Outcome::Answered(Bytes::from_static(b"done"))]
    );
}

/// The slice moves as planned between a claim and its acknowledgement, before the booking
/// was forwarded. The old home releases the claim and relays the booking, and the new home
/// runs it. Otherwise the caller would get "unknown".
#[test]
fn a_claim_that_was_never_forwarded_is_given_back() {
    let mut pair = Pair::with_backup();
    let claimed = pair.book(1);
    let acknowledged = pair.deliver_to_backup(&claimed);
    let b = pair.b.clone();
    let moved = pair.install(row(2, Some(&b), None));
    let relayed = peer_messages(&moved)
        .iter()
        .any(|(to, body)| *to == b && matches!(body, PeerMessage::Relay(_)));
    assert!(relayed);
    assert!(
        forwards(&pair.deliver_to_home(&acknowledged)).is_empty(),
        "relayed and also run"
    );
    assert_eq!(forwards(&pair.deliver_to_backup(&moved)).len(), 1);
    assert!(forwards(&pair.ask_backup(1, Kind::NonIdempotent)).is_empty());
}

/// A late message releases a claim that another home has made. That home may have
/// forwarded the booking, so only the instance that made a claim may release it.
#[test]
fn a_claim_is_given_back_by_its_claimer_only() {
    let mut pair = Pair::with_backup();
    let claimed = pair.book(1);
    pair.deliver_to_backup(&claimed);
    let b = pair.b.clone();
    let moved = pair.install(row(2, Some(&b), None));
    let other = holder("c", 1);
    let late = deliver(pair.now, &other, &moved, &pair.b, &mut pair.backup);
    assert!(forwards(&late).is_empty());
    // While the claiming home is live it may still answer; after that, "unknown".
    let copy = pair.ask_backup(1, Kind::NonIdempotent);
    assert!(forwards(&copy).is_empty());
    assert_eq!(outcomes(&copy), []);
    pair.lose_home();
    let copy = pair.duplicate_of_claimed(1);
    assert!(forwards(&copy).is_empty());
    assert_eq!(outcomes(&copy), [Outcome::Unknown]);
}

/// A paused home resumes after the caller gave up and first learns that it was replaced.
/// If it relayed its pending booking, the booking would run although no caller waits.
#[test]
fn a_claim_is_not_passed_on_after_its_deadline() {
    let mut pair = Pair::with_backup();
    pair.book(1);
    pair.now += Profile::default().deadline();
    let b = pair.b.clone();
    let moved = pair.home.handle(pair.now, table(row(2, Some(&b), None)));
    assert_eq!(outcomes(&moved), [Outcome::Unknown]);
    assert!(peer_messages(&moved).is_empty());
}

/// Neither home nor backup is live, so a booking waits. When a live instance becomes home,
/// the booking must be relayed to it at once.
#[test]
fn a_waiting_booking_goes_to_the_new_home() {
    let mut pair = Pair::new(row(1, Some(&holder("x", 1)), Some(&holder("y", 1))));
    assert!(outcomes(&pair.book(1)).is_empty());
    pair.run(secs(2));
    let b = pair.b.clone();
    let moved = pair.home.handle(pair.now, table(row(2, Some(&b), None)));
    let relayed = peer_messages(&moved);
    assert!(matches!(relayed[..], [(ref to, PeerMessage::Relay(_))] if *to == b));
    assert!(outcomes(&pair.run(secs(9)).0).is_empty(), "answered twice");
}

/// No instance takes the slice over: the caller gets "unknown" when the park timeout
/// expires and not later, since another copy may have reached the home before.
#[test]
fn a_waiting_booking_is_given_up_in_time() {
    let mut pair = Pair::new(row(1, Some(&holder("x", 1)), None));
    pair.book(1);
    assert!(outcomes(&pair.run(ms(4_900)).0).is_empty());
    assert_eq!(outcomes(&pair.run(ms(200)).0), [Outcome::Unknown]);
}

/// An instance is paused while a booking waits in it. When it resumes, the caller has
/// given up long ago, and the new table must not cause the booking to be forwarded.
#[test]
fn a_waiting_booking_does_not_outlive_a_pause() {
    let mut pair = Pair::new(row(1, Some(&holder("x", 1)), None));
    pair.book(1);
    pair.now += secs(6);
    let a = pair.a.clone();
    let after_pause = pair.home.handle(pair.now, table(row(2, Some(&a), None)));
    assert!(forwards(&after_pause).is_empty());
    assert_eq!(outcomes(&after_pause), [Outcome::Unknown]);
}

/// A booking waits for a home and then runs here: its deadline starts when the booking
/// arrived, not when the home was known.
#[test]
fn waiting_counts_for_the_deadline() {
    let mut pair = Pair::new(row(1, Some(&holder("x", 1)), None));
    pair.book(1);
    pair.run(secs(4));
    let a = pair.a.clone();
    let moved = pair.home.handle(pair.now, table(row(2, Some(&a), None)));
    assert_eq!(forwards(&moved).len(), 1);
    let left = Profile::default().deadline() - secs(4);
    assert_eq!(outcomes(&pair.run(left).0), [Outcome::Unknown]);
}

/// Instances with different tables relay a booking in a circle. After three relays it must
/// wait, and each new table allows only one more relay, so that it cannot circle.
#[test]
fn relays_are_counted_through_a_wait() {
    let mut pair = Pair::new(row(1, Some(&holder("x", 1)), None));
    let request = lab::request(&lab::flow("dispatch", 1), 1, Kind::NonIdempotent);
    let event = Event::Request { request, hops: 3 };
    pair.home.handle(pair.now, event);
    let b = pair.b.clone();
    let moved = pair.home.handle(pair.now, table(row(2, Some(&b), None)));
    let relays = peer_messages(&moved);
    let [(_, PeerMessage::Relay(relay))] = relays.as_slice() else {
        panic!("{relays:?}");
    };
    assert_eq!(relay.hops, 3);
    let request = lab::request(&lab::flow("dispatch", 1), 1, Kind::NonIdempotent);
    let event = Event::Request { request, hops: 3 };
    let returned = pair.home.handle(pair.now, event);
    assert!(peer_messages(&returned).is_empty());
    assert!(has_reason(&returned, Reason::Parked));
}

/// A copy stays in the socket buffer of a paused instance for longer than the home keeps
/// its record. If it were relayed after the pause, the booking would run a second time.
#[test]
fn a_booking_read_after_a_long_pause_is_not_run() {
    let mut pair = Pair::new(row(1, Some(&holder("a", 1)), None));
    pair.run(secs(1));
    pair.now += secs(90);
    let after_pause = pair.book(1);
    assert!(forwards(&after_pause).is_empty());
    assert_eq!(outcomes(&after_pause), [Outcome::Unknown]);
    pair.run(secs(1));
    assert_eq!(forwards(&pair.book(2)).len(), 1, "back to normal");
}

/// The last copy of an answered booking waits at another instance for up to the park
/// timeout and arrives after the copy lifetime. It must still find the record.
#[test]
fn records_outlive_the_last_copy() {
    let mut pair = Pair::new(row(1, Some(&holder("a", 1)), None));
    let sent = forwards(&pair.book(1));
    pair.answer(&sent[0], lab::answer("done"));
    pair.run(Profile::default().copy_lifetime() + secs(6));
    assert!(forwards(&pair.book(1)).is_empty());
    pair.run(secs(60));
    assert_eq!(pair.home.records(), 0, "the record is kept forever");
}

// Tests of the slice planner.

const SUSPECT_AFTER: Duration = Duration::from_secs(3);

struct PlannerTest {
    now: Instant,
    control: SlicePlanner,
    version: u64,
}

impl PlannerTest {
    fn new(me: &id::Holder) -> Self {
        let now = Instant::now();
        let settings = control::Settings {
            me: me.clone(),
            zone: "bole".parse().expect("a legal name"),
            address: lab::endpoint(4, 1),
            slices: 1,
            suspect_after: SUSPECT_AFTER,
            isolation_limit: secs(100),
            recordless_takeover_wait: secs(120),
        };
        let mut test = Self {
            now,
            control: SlicePlanner::new(settings, now),
            version: 0,
        };
        test.control.contact(now);
        test
    }

    fn entry(&mut self, row: Row) -> Entry {
        self.version += 1;
        let document = Document {
            write_id: self.version.to_string(),
            rows: vec![row],
        };
        Entry {
            key: format!("{SLICES_PREFIX}0"),
            value: serde_json::to_vec(&document).expect("plain data").into(),
            mod_revision: self.version,
        }
    }

    fn store(&mut self, row: Row) {
        let entry = self.entry(row);
        self.control.apply_entry(self.now, &entry);
    }

    fn register(&mut self, holder: &id::Holder) {
        let registration = control::Registration {
            holder: holder.clone(),
            zone: "bole".parse().expect("a legal name"),
            peer: lab::endpoint(4, 2),
            status: lab::endpoint(5, 2),
            leaving: false,
        };
        self.version += 1;
        let entry = Entry {
            key: format!("{INSTANCES}{}", holder.instance),
            value: serde_json::to_vec(&registration)
                .expect("plain data")
                .into(),
            mod_revision: self.version,
        };
        self.control.apply_entry(self.now, &entry);
    }

    fn receive_heartbeat(&mut self, holder: &id::Holder, leaving: bool) {
        let message = peer::Heartbeat {
            zone: "kality".to_owned(),
            address: lab::endpoint(4, 2).to_string(),
            leaving,
            digest: 0,
            loads: None,
            loads_omitted: false,
        };
        self.control.heartbeat(self.now, holder, &message);
    }

    /// Runs the planner for `length` with contact to the platform and heartbeats of these
    /// peers.
    fn run(&mut self, length: Duration, peers: &[&id::Holder]) -> Vec<Command> {
        let until = self.now + length;
        let mut commands = Vec::new();
        while self.now < until {
            self.now += ms(500);
            self.control.contact(self.now);
            for holder in peers {
                self.receive_heartbeat(holder, false);
            }
            commands.extend(self.control.tick(self.now));
        }
        commands
    }
}

fn written(commands: &[Command]) -> Option<Row> {
    commands.iter().find_map(|command| match command {
        Command::Write { rows, .. } => rows.first().cloned(),
        _ => None,
    })
}

fn authority(commands: &[Command]) -> Option<Instant> {
    let mut views = commands.iter().filter_map(|command| match command {
        Command::Membership(view) => Some(Arc::clone(view)),
        _ => None,
    });
    views.next_back().and_then(|view| view.authority_until)
}

/// The home dies while its backup is being stopped. The backup has the only copy of the
/// records and must still take over. Otherwise callers would have no home until another
/// instance may take the slice over without records, and get "unknown" long after that.
#[test]
fn a_leaving_backup_takes_over_from_a_dead_home() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&b);
    test.store(row(1, Some(&a), Some(&b)));
    test.control.set_leaving(true);
    let row = written(&test.run(SUSPECT_AFTER * 3, &[])).expect("a promotion");
    assert!(row.is_home(&b) && row.epoch.0 == 2 && !row.records_lost);
}

/// The platform's store comes back from an older copy, which has an earlier row or no
/// document at all. An instance that starts then would believe it, so that two instances act
/// for the slice.
#[test]
fn a_row_that_a_restore_loses_is_written_again() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let current = row(7, Some(&b), Some(&a));
    let mut test = PlannerTest::new(&b);
    test.store(current.clone());
    assert_eq!(written(&test.run(secs(1), &[&a])), None);
    test.version = Revision::new(Era(1), 3).unwrap().0;
    test.store(row(6, Some(&a), Some(&b)));
    let commands = test.run(secs(1), &[&a]);
    assert_eq!(written(&commands), Some(current.clone()));
    let mut expected = commands.iter().filter_map(|command| match command {
        Command::Write { expected, .. } => Some(*expected),
        _ => None,
    });
    assert_eq!(expected.next(), Some(Some(test.version)));
    test.control
        .write_finished(test.now, 0, WriteResult::Done(test.version + 1));
    assert_eq!(written(&test.run(secs(1), &[&a])), None);
    test.control.retain(&BTreeSet::new());
    assert_eq!(written(&test.run(secs(1), &[&a])), Some(current));
}

/// Shortly after its start an instance has received no heartbeats yet. It must not
/// consider the other instances dead and take their slices.
#[test]
fn nobody_is_dead_shortly_after_the_start() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&b);
    test.store(row(1, Some(&a), Some(&b)));
    assert_eq!(written(&test.run(SUSPECT_AFTER, &[])), None);
}

/// An instance resumes after a pause and has not read its socket buffers yet, so all peers
/// seem silent. It must not take their slices before it has read the buffered heartbeats.
#[test]
fn a_pause_does_not_count_as_silence_of_peers() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&b);
    test.store(row(1, Some(&a), Some(&b)));
    assert_eq!(written(&test.run(SUSPECT_AFTER * 3, &[&a])), None);
    test.now += secs(60);
    assert_eq!(written(&test.control.tick(test.now)), None);
    assert_eq!(written(&test.run(SUSPECT_AFTER, &[&a])), None);
    assert!(
        written(&test.run(SUSPECT_AFTER * 2, &[])).is_some(),
        "the peer is never considered dead"
    );
}

/// Home and backup are gone. Another instance waits by its own clock, with unbroken contact
/// to the platform, until their authority has expired, and then takes the slice over
/// without records. If it did so earlier, the pair could still run bookings.
#[test]
fn a_takeover_without_records_waits_until_nobody_can_act() {
    let (a, c) = (holder("a", 1), holder("c", 1));
    let mut test = PlannerTest::new(&c);
    test.store(row(1, Some(&a), None));
    assert_eq!(written(&test.run(secs(119), &[])), None);
    test.control.lose_contact();
    assert_eq!(
        written(&test.run(secs(119), &[])),
        None,
        "contact was broken"
    );
    let row = written(&test.run(secs(3), &[])).expect("a takeover");
    assert!(row.is_home(&c) && row.records_lost);
}

/// An instance is paused during most of its wait for a takeover without records. The home
/// may have registered again meanwhile, so the wait restarts.
#[test]
fn the_wait_for_a_takeover_without_records_restarts_after_a_pause() {
    let (a, c) = (holder("a", 1), holder("c", 1));
    let mut test = PlannerTest::new(&c);
    test.store(row(1, Some(&a), None));
    test.run(secs(20), &[]);
    test.now += secs(110);
    assert_eq!(written(&test.run(secs(100), &[])), None);
}

/// A home whose registration has lapsed can still read from the platform. Other instances
/// measure their wait from the lapse, so contact alone must not extend its authority.
#[test]
fn authority_needs_the_registration() {
    let a = holder("a", 1);
    let mut test = PlannerTest::new(&a);
    assert_eq!(authority(&test.run(secs(1), &[])), None);
    test.register(&a);
    let until = authority(&test.run(secs(1), &[])).expect("registered");
    assert_eq!(until, test.now + secs(100));
    test.control.remove(&format!("{INSTANCES}a"));
    assert_eq!(authority(&test.run(secs(5), &[])), None, "prolonged");
}

fn start_copy(test: &mut PlannerTest, a: &id::Holder, b: &id::Holder) {
    test.store(row(1, Some(a), None));
    let commands = test.run(secs(1), &[b]);
    let is_add_backup = |command: &Command| matches!(command, Command::AddBackup { .. });
    assert!(commands.iter().any(is_add_backup));
}

fn has_cancel(commands: &[Command]) -> bool {
    let is_cancel = |command: &Command| matches!(command, Command::CancelBackup(_));
    commands.iter().any(is_cancel)
}

/// A backup dies during the copy to it, and the write that names it has had no answer. The
/// write may have taken effect, so the home must keep waiting for that backup. Otherwise
/// the table could name a backup that lacks the latest claims.
#[test]
fn a_copy_is_not_cancelled_while_a_write_may_name_the_backup() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&a);
    start_copy(&mut test, &a, &b);
    test.control.backup_synced(id::Slice(0), &b);
    let row = written(&test.run(ms(500), &[&b])).expect("a write");
    assert!(row.is_backup(&b));
    assert!(
        !has_cancel(&test.run(SUSPECT_AFTER * 2, &[])),
        "the write is in progress"
    );
    test.control
        .write_finished(test.now, 0, WriteResult::Unknown);
    let commands = test.run(ms(500), &[]);
    assert!(!has_cancel(&commands), "unknown");
    assert!(
        written(&commands).is_some(),
        "not resolved by another write"
    );
    let current = test.entry(row);
    test.control.apply_entry(test.now, &current);
    test.control
        .write_finished(test.now, 0, WriteResult::Lost(Some(current)));
    let row = written(&test.run(ms(500), &[])).expect("a write");
    assert!(row.backup.is_none(), "now it is dropped through the table");
}

/// A backup dies during the copy to it, and no write names it: bookings that wait for its
/// acknowledgement must continue without it.
#[test]
fn a_copy_to_a_dead_backup_is_cancelled() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&a);
    start_copy(&mut test, &a, &b);
    assert!(has_cancel(&test.run(SUSPECT_AFTER * 2, &[])));
}

/// Only a backup whose copy is complete is named in the table; a late report about a copy
/// to another instance must not complete it.
#[test]
fn only_a_complete_copy_is_named() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&a);
    start_copy(&mut test, &a, &b);
    test.control.backup_synced(id::Slice(0), &holder("c", 1));
    assert_eq!(written(&test.run(secs(1), &[&b])), None);
}

/// The platform returns an outdated document. The newer known version must be kept, since
/// writes that compare with the old version would always be refused.
#[test]
fn an_older_document_is_not_taken() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&b);
    let old = test.entry(row(1, Some(&b), None));
    test.store(row(2, Some(&a), Some(&b)));
    test.control.apply_entry(test.now, &old);
    assert_eq!(test.control.holdings(), (0, 1, 0));
    let commands = test.run(SUSPECT_AFTER * 3, &[]);
    let expected = commands.iter().find_map(|command| match command {
        Command::Write { expected, .. } => *expected,
        _ => None,
    });
    assert_eq!(expected, Some(2));
}

/// A newer document contains an older row, as after a restore of the platform. Applying the
/// row would return the slice to a home that was replaced.
#[test]
fn an_older_row_is_not_taken() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&a);
    test.store(row(2, Some(&b), None));
    test.store(row(1, Some(&a), None));
    assert_eq!(test.control.holdings().0, 0);
}

/// A write has had no answer, and meanwhile no row needs a change. The write may have taken
/// effect or may still do so; one more write against the same version resolves this.
#[test]
fn an_uncertain_write_is_settled() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&b);
    test.store(row(1, Some(&a), Some(&b)));
    test.control.takeover_requested(test.now, &a, &[0]);
    assert!(written(&test.run(ms(500), &[&a])).is_some());
    test.run(secs(6), &[&a]);
    test.control
        .write_finished(test.now, 0, WriteResult::Unknown);
    let row = written(&test.run(ms(500), &[&a])).expect("one more write");
    assert!(row.is_home(&a), "the takeover request has expired");
}

/// A dead home starts again with a new incarnation: its backup must recognize at once that
/// the old incarnation has ended.
#[test]
fn a_new_incarnation_ends_the_old_one() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&b);
    test.store(row(1, Some(&a), Some(&b)));
    test.run(ms(500), &[&a]);
    let row = written(&test.run(ms(500), &[&holder("a", 2)])).expect("a promotion");
    assert!(row.is_home(&b));
}

/// A late heartbeat of an old incarnation must not make that incarnation live again.
#[test]
fn an_old_incarnation_does_not_become_live_again() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&b);
    test.receive_heartbeat(&holder("a", 2), false);
    test.receive_heartbeat(&a, false);
    assert!(!test.control.is_live(test.now, &a));
}

/// The flag that a slice has lost its records must be removed after a while. Otherwise each
/// instance that starts later would restart the lost-records window.
#[test]
fn the_mark_of_lost_records_is_removed() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&a);
    test.store(with_lost_records(row(1, Some(&a), Some(&b))));
    assert_eq!(written(&test.run(secs(599), &[&b])), None);
    let row = written(&test.run(secs(2), &[&b])).expect("a write");
    assert!(!row.records_lost && row.is_backup(&b) && row.is_home(&a));
}

/// A takeover request from an instance that is not home of the slice has no effect.
#[test]
fn only_the_home_can_request_a_takeover() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&b);
    test.store(row(1, Some(&a), Some(&b)));
    test.control
        .takeover_requested(test.now, &holder("c", 1), &[0, 9]);
    assert_eq!(written(&test.run(secs(1), &[&a])), None);
    test.control.takeover_requested(test.now, &a, &[0]);
    assert!(written(&test.run(secs(1), &[&a])).is_some());
}

/// Only the table decides which instance is home: a membership view without any live peer
/// must not make an engine act as home.
#[test]
fn silent_peers_alone_make_no_instance_home() {
    let mut pair = Pair::with_backup();
    let alone = view(&[&pair.b.clone()], pair.now + lab::FOREVER);
    pair.backup.handle(pair.now, alone);
    let waiting: Vec<Action> = pair.ask_backup(1, Kind::NonIdempotent);
    assert!(forwards(&waiting).is_empty());
    assert!(has_reason(&waiting, Reason::Parked));
}

/// A copy is cancelled because the backup became silent, and starts again when the backup
/// is live again. Only then does the worker report that the first copy is complete. The
/// second copy lacks the claims made in between. If the late report led to the backup being
/// named, it could run such a booking again after a takeover.
#[test]
fn a_late_report_about_a_cancelled_copy_names_no_backup() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut test = PlannerTest::new(&a);
    start_copy(&mut test, &a, &b);
    assert!(has_cancel(&test.run(SUSPECT_AFTER * 2, &[])));
    test.run(ms(500), &[&b]);
    test.control.backup_synced(id::Slice(0), &b);
    assert_eq!(written(&test.run(secs(1), &[&b])), None);
    let is_add_backup = |command: &Command| matches!(command, Command::AddBackup { .. });
    let later = test.run(secs(12), &[&b]);
    assert!(
        later.iter().any(is_add_backup),
        "the slice is never copied again"
    );
}

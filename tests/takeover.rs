//! Takeovers and planned moves: what happens to requests on their way.

mod lab;

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

fn blank(row: Row) -> Row {
    Row {
        records_lost: true,
        ..row
    }
}

/// The caller booked at a home that is gone with its records, and its copy comes
/// to the successor. "Unknown" is the only true answer for as long as copies may
/// come; after that new bookings run.
#[test]
fn a_home_without_records_answers_unknown_for_one_copy_lifetime() {
    let a = holder("a", 1);
    let mut pair = Pair::new(blank(row(5, Some(&a), None)));
    assert_eq!(outcomes(&pair.book(1)), [Outcome::Unknown]);
    pair.run(Profile::default().copy_lifetime() - ms(200));
    assert_eq!(outcomes(&pair.book(2)), [Outcome::Unknown]);
    pair.run(ms(200));
    assert_eq!(forwards(&pair.book(3)).len(), 1);
}

/// A slice without records is moved as planned. The window goes on where it was:
/// begun anew with each move, callers would get "unknown" again and again.
#[test]
fn a_planned_move_does_not_begin_the_window_anew() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut pair = Pair::new(blank(row(5, Some(&a), None)));
    pair.run(Profile::default().copy_lifetime() - secs(1));
    pair.install(blank(row(6, Some(&a), Some(&b))));
    pair.install(blank(row(7, Some(&b), None)));
    assert_eq!(
        outcomes(&pair.ask_backup(1, Kind::NonIdempotent)),
        [Outcome::Unknown]
    );
    pair.run(secs(1));
    assert_eq!(forwards(&pair.ask_backup(2, Kind::NonIdempotent)).len(), 1);
}

/// A second takeover without records follows the first: what the home in between
/// ran is lost too, so the window begins anew, also if a row was not seen.
#[test]
fn a_second_takeover_begins_the_window_anew() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    for epoch in [6, 7] {
        let mut pair = Pair::new(blank(row(5, Some(&a), None)));
        pair.run(Profile::default().copy_lifetime() - secs(1));
        let next = if epoch == 6 { &b } else { &a };
        pair.install(blank(row(epoch, Some(next), None)));
        pair.run(secs(2));
        let told = match epoch {
            6 => pair.ask_backup(1, Kind::NonIdempotent),
            _ => pair.ask(1, Kind::NonIdempotent),
        };
        assert_eq!(outcomes(&told), [Outcome::Unknown], "epoch {epoch}");
    }
}

/// The home forwarded a booking and dies; its backup takes over and the caller's
/// copy comes. The booking may have run, so the copy gets "unknown" and no start.
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

/// The home forwarded a booking, is told to stop and is cut off from its peers, not
/// from the caller and the server. It is silent to its backup, which takes over. The
/// server takes 6 s; receipt was acknowledged after 1 s and that packet lost, so that
/// copies come 3 and 7 s after the booking. Told "unknown", the caller gave up before
/// its answer came. Until its deadline the home may answer; after it, it says "unknown"
/// itself, and so may the new home.
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
    let told = pair.answer(&sent[0], lab::answer("done"));
    let done = Outcome::Answered(Bytes::from_static(b"done"));
    assert_eq!(outcomes(&told), [done]);
    pair.run(secs(1));
    assert_eq!(ask_again(&mut pair), []);
    pair.run(secs(1));
    assert_eq!(ask_again(&mut pair), [Outcome::Unknown]);
}

/// The same with a home that is dead: its caller has sent one copy, 2.5 s after its
/// booking, and the next one would come seconds after the deadline. It is told at the
/// deadline, once, and not left waiting for its own next copy.
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
    let (_, told) = pair.run(secs(2));
    assert_eq!(outcomes(&told), [Outcome::Unknown]);
    assert!(has_reason(&told, Reason::UnknownClaimed));
}

/// The home is known to have ended: a later life of it is registered. Nobody can
/// answer the booking any more, so its caller is told at once and not at the deadline.
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

/// The home is cut off and its backup takes over, copies what it has to a third one
/// and dies, too. The caller's copy comes to the third one, 2.5 s after that: the first
/// home is still at work and its caller was told "unknown". The deadline is that of the
/// booking also there, not one that begins with each copy of the record.
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
    let joining = table(row(2, Some(&b), Some(&c)));
    third.handle(pair.now, joining.clone());
    let copied = pair.backup.handle(pair.now, joining);
    deliver(pair.now, &b, &copied, &c, &mut third);
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

/// A feed and an idempotent request need no authority: the new home serves them at
/// once, whatever the one that is cut off still does, and the caller takes whichever
/// answer comes first. Only what must not run twice waits.
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

/// The slice moves as planned while a booking is at its server. The old home gets
/// the answer and tells the new one, so that the caller's copy gets it too.
#[test]
fn the_new_home_learns_the_answer_of_a_request_in_progress() {
    let mut pair = Pair::with_backup();
    let sent = forwards(&pair.book_acknowledged(1));
    let b = pair.b.clone();
    pair.install(row(2, Some(&b), None));
    let told = pair.answer(&sent[0], lab::answer("done"));
    assert_eq!(outcomes(&told).len(), 1);
    pair.deliver_to_backup(&told);
    assert_eq!(
        outcomes(&pair.ask_backup(1, Kind::NonIdempotent)),
        [Outcome::Answered(Bytes::from_static(b"done"))]
    );
}

/// The slice moves as planned between a claim and its acknowledgement. Nobody has
/// forwarded the booking: the old home gives the claim back and passes the booking
/// on, and the new home runs it. Without that the caller would get "unknown".
#[test]
fn a_claim_that_was_never_forwarded_is_given_back() {
    let mut pair = Pair::with_backup();
    let asked = pair.book(1);
    let kept = pair.deliver_to_backup(&asked);
    let b = pair.b.clone();
    let moved = pair.install(row(2, Some(&b), None));
    let relayed = peer_messages(&moved)
        .iter()
        .any(|(to, body)| *to == b && matches!(body, PeerMessage::Relay(_)));
    assert!(relayed);
    assert!(
        forwards(&pair.deliver_to_home(&kept)).is_empty(),
        "passed on and run"
    );
    assert_eq!(forwards(&pair.deliver_to_backup(&moved)).len(), 1);
    assert!(forwards(&pair.ask_backup(1, Kind::NonIdempotent)).is_empty());
}

/// A late message gives back a claim that another home has made since. That one
/// may have forwarded the booking, so only the claimer's own word counts.
#[test]
fn a_claim_is_given_back_by_its_claimer_only() {
    let mut pair = Pair::with_backup();
    let asked = pair.book(1);
    pair.deliver_to_backup(&asked);
    let b = pair.b.clone();
    let moved = pair.install(row(2, Some(&b), None));
    let other = holder("c", 1);
    let late = deliver(pair.now, &other, &moved, &pair.b, &mut pair.backup);
    assert!(forwards(&late).is_empty());
    // While the claimer is heard it may still answer; after that, "unknown".
    let copy = pair.ask_backup(1, Kind::NonIdempotent);
    assert!(forwards(&copy).is_empty());
    assert_eq!(outcomes(&copy), []);
    pair.lose_home();
    let copy = pair.duplicate_of_claimed(1);
    assert!(forwards(&copy).is_empty());
    assert_eq!(outcomes(&copy), [Outcome::Unknown]);
}

/// A frozen home thaws after the caller gave up and reads first that it was
/// replaced. Passed on, its waiting booking would run for nobody.
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

/// Home and backup cannot be heard: a booking waits, the backup becomes home and
/// is heard, and the booking goes there at once.
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

/// Nobody takes the slice over: the caller is told "unknown" when the park time is
/// over, not later, since another copy may have reached the home before.
#[test]
fn a_waiting_booking_is_given_up_in_time() {
    let mut pair = Pair::new(row(1, Some(&holder("x", 1)), None));
    pair.book(1);
    assert!(outcomes(&pair.run(ms(4_900)).0).is_empty());
    assert_eq!(outcomes(&pair.run(ms(200)).0), [Outcome::Unknown]);
}

/// An instance freezes with a waiting booking. When it thaws the caller gave up
/// long ago, and the new table must not set the booking going.
#[test]
fn a_waiting_booking_does_not_outlive_a_pause() {
    let mut pair = Pair::new(row(1, Some(&holder("x", 1)), None));
    pair.book(1);
    pair.now += secs(6);
    let a = pair.a.clone();
    let thawed = pair.home.handle(pair.now, table(row(2, Some(&a), None)));
    assert!(forwards(&thawed).is_empty());
    assert_eq!(outcomes(&thawed), [Outcome::Unknown]);
}

/// A booking waited for a home and then runs here: its caller's deadline began
/// when it came, not when the home was found.
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

/// Tables that disagree send a booking round: after three relays it waits where it
/// is, and each new table lets it make one more, so that it cannot circle.
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

/// A copy waits in the buffer of a frozen instance for longer than the home keeps
/// its record. Relayed at the thaw, it would run a second time.
#[test]
fn a_booking_read_after_a_long_pause_is_not_run() {
    let mut pair = Pair::new(row(1, Some(&holder("a", 1)), None));
    pair.run(secs(1));
    pair.now += secs(90);
    let thawed = pair.book(1);
    assert!(forwards(&thawed).is_empty());
    assert_eq!(outcomes(&thawed), [Outcome::Unknown]);
    pair.run(secs(1));
    assert_eq!(forwards(&pair.book(2)).len(), 1, "back to normal");
}

/// The last copy of an answered booking waits for a home elsewhere, within the
/// park time, and arrives after the copy lifetime: it still finds the record.
#[test]
fn records_outlive_the_last_copy() {
    let mut pair = Pair::new(row(1, Some(&holder("a", 1)), None));
    let sent = forwards(&pair.book(1));
    pair.answer(&sent[0], lab::answer("done"));
    pair.run(Profile::default().copy_lifetime() + secs(6));
    assert!(forwards(&pair.book(1)).is_empty());
    pair.run(secs(60));
    assert_eq!(pair.home.records(), 0, "kept for ever");
}

// The control task.

const SUSPECT: Duration = Duration::from_secs(3);

struct Lab {
    now: Instant,
    control: SlicePlanner,
    version: u64,
}

impl Lab {
    fn new(me: &id::Holder) -> Self {
        let now = Instant::now();
        let settings = control::Settings {
            me: me.clone(),
            zone: "bole".parse().expect("a legal name"),
            address: lab::endpoint(4, 1),
            slices: 1,
            suspect_after: SUSPECT,
            isolation_limit: secs(100),
            recordless_takeover_wait: secs(120),
        };
        let mut lab = Self {
            now,
            control: SlicePlanner::new(settings, now),
            version: 0,
        };
        lab.control.contact(now);
        lab
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

    fn hear(&mut self, holder: &id::Holder, leaving: bool) {
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

    /// Ticks on, with contact and these peers heard.
    fn run(&mut self, length: Duration, heard: &[&id::Holder]) -> Vec<Command> {
        let until = self.now + length;
        let mut commands = Vec::new();
        while self.now < until {
            self.now += ms(500);
            self.control.contact(self.now);
            for holder in heard {
                self.hear(holder, false);
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

/// The home dies while its backup is being stopped. The backup has the only copy
/// of the records and takes over all the same: else callers would have no home
/// until an outsider may take the slice, and "unknown" for long after.
#[test]
fn a_leaving_backup_takes_over_from_a_dead_home() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&b);
    lab.store(row(1, Some(&a), Some(&b)));
    lab.control.set_leaving(true);
    let row = written(&lab.run(SUSPECT * 3, &[])).expect("a promotion");
    assert!(row.is_home(&b) && row.epoch.0 == 2 && !row.records_lost);
}

/// Shortly after its start an instance has heard nobody yet; that does not make
/// the others dead, and it must not take their slices.
#[test]
fn nobody_is_dead_shortly_after_the_start() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&b);
    lab.store(row(1, Some(&a), Some(&b)));
    assert_eq!(written(&lab.run(SUSPECT, &[])), None);
}

/// An instance thaws after a pause and has not read its buffers yet: everybody
/// seems silent. It must not take their slices before it has listened.
#[test]
fn a_pause_is_no_silence_of_the_others() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&b);
    lab.store(row(1, Some(&a), Some(&b)));
    assert_eq!(written(&lab.run(SUSPECT * 3, &[&a])), None);
    lab.now += secs(60);
    assert_eq!(written(&lab.control.tick(lab.now)), None);
    assert_eq!(written(&lab.run(SUSPECT, &[&a])), None);
    assert!(written(&lab.run(SUSPECT * 2, &[])).is_some(), "never dead");
}

/// Home and backup are gone. An outsider waits out their time by its own clock,
/// in unbroken contact with the platform, and takes the slice as one without
/// records; any earlier, the pair might still run bookings.
#[test]
fn an_outsider_waits_until_nobody_can_act() {
    let (a, c) = (holder("a", 1), holder("c", 1));
    let mut lab = Lab::new(&c);
    lab.store(row(1, Some(&a), None));
    assert_eq!(written(&lab.run(secs(119), &[])), None);
    lab.control.lose_contact();
    assert_eq!(
        written(&lab.run(secs(119), &[])),
        None,
        "contact was broken"
    );
    let row = written(&lab.run(secs(3), &[])).expect("a takeover");
    assert!(row.is_home(&c) && row.records_lost);
}

/// An outsider was frozen for most of its wait. The home may have registered again
/// meanwhile, so the wait begins anew.
#[test]
fn an_outsiders_wait_does_not_count_a_pause() {
    let (a, c) = (holder("a", 1), holder("c", 1));
    let mut lab = Lab::new(&c);
    lab.store(row(1, Some(&a), None));
    lab.run(secs(20), &[]);
    lab.now += secs(110);
    assert_eq!(written(&lab.run(secs(100), &[])), None);
}

/// A home whose registration has lapsed still reads from the platform. Others
/// count from the lapse, so contact alone must not prolong its time.
#[test]
fn authority_needs_the_registration() {
    let a = holder("a", 1);
    let mut lab = Lab::new(&a);
    assert_eq!(authority(&lab.run(secs(1), &[])), None);
    lab.register(&a);
    let until = authority(&lab.run(secs(1), &[])).expect("registered");
    assert_eq!(until, lab.now + secs(100));
    lab.control.remove(&format!("{INSTANCES}a"));
    assert_eq!(authority(&lab.run(secs(5), &[])), None, "prolonged");
}

fn joining(lab: &mut Lab, a: &id::Holder, b: &id::Holder) {
    lab.store(row(1, Some(a), None));
    let commands = lab.run(secs(1), &[b]);
    let join = |command: &Command| matches!(command, Command::AddBackup { .. });
    assert!(commands.iter().any(join));
}

fn has_abandon(commands: &[Command]) -> bool {
    let abandon = |command: &Command| matches!(command, Command::CancelBackup(_));
    commands.iter().any(abandon)
}

/// A backup dies while it is being copied to, and the write that names it has had
/// no answer. It may stand: the home must go on waiting for that backup, or the
/// table would name one that lacks the latest claims.
#[test]
fn a_copy_is_not_given_up_while_a_write_may_name_the_backup() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&a);
    joining(&mut lab, &a, &b);
    lab.control.backup_synced(id::Slice(0), &b);
    let row = written(&lab.run(ms(500), &[&b])).expect("a write");
    assert!(row.is_backup(&b));
    assert!(!has_abandon(&lab.run(SUSPECT * 2, &[])), "under way");
    lab.control.write_finished(lab.now, 0, WriteResult::Unknown);
    let commands = lab.run(ms(500), &[]);
    assert!(!has_abandon(&commands), "unknown");
    assert!(written(&commands).is_some(), "not settled by another write");
    let stands = lab.entry(row);
    lab.control.apply_entry(lab.now, &stands);
    lab.control
        .write_finished(lab.now, 0, WriteResult::Lost(Some(stands)));
    let row = written(&lab.run(ms(500), &[])).expect("a write");
    assert!(row.backup.is_none(), "now it is dropped through the table");
}

/// A backup dies while it is being copied to, and nothing names it: bookings that
/// wait for it must go on without it.
#[test]
fn a_copy_to_a_dead_backup_is_given_up() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&a);
    joining(&mut lab, &a, &b);
    assert!(has_abandon(&lab.run(SUSPECT * 2, &[])));
}

/// Only the backup that was asked to join is named; a late word about another
/// copy must not name it.
#[test]
fn only_a_whole_copy_is_named() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&a);
    joining(&mut lab, &a, &b);
    lab.control.backup_synced(id::Slice(0), &holder("c", 1));
    assert_eq!(written(&lab.run(secs(1), &[&b])), None);
}

/// The platform serves an old document. What was known of a newer one stands: a
/// write that compares with the old version would be refused for ever.
#[test]
fn an_older_document_is_not_taken() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&b);
    let old = lab.entry(row(1, Some(&b), None));
    lab.store(row(2, Some(&a), Some(&b)));
    lab.control.apply_entry(lab.now, &old);
    assert_eq!(lab.control.holdings(), (0, 1, 0));
    let commands = lab.run(SUSPECT * 3, &[]);
    let expected = commands.iter().find_map(|command| match command {
        Command::Write { expected, .. } => *expected,
        _ => None,
    });
    assert_eq!(expected, Some(2));
}

/// A newer document holds an older row, as after a restore of the platform: taking
/// it would give the slice back to a home that was replaced.
#[test]
fn an_older_row_is_not_taken() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&a);
    lab.store(row(2, Some(&b), None));
    lab.store(row(1, Some(&a), None));
    assert_eq!(lab.control.holdings().0, 0);
}

/// A write has no answer, and by now nothing is left to change. It may stand or
/// still come to; one more write against the same version settles it.
#[test]
fn an_uncertain_write_is_settled() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&b);
    lab.store(row(1, Some(&a), Some(&b)));
    lab.control.takeover_requested(lab.now, &a, &[0]);
    assert!(written(&lab.run(ms(500), &[&a])).is_some());
    lab.run(secs(6), &[&a]);
    lab.control.write_finished(lab.now, 0, WriteResult::Unknown);
    let row = written(&lab.run(ms(500), &[&a])).expect("one more write");
    assert!(row.is_home(&a), "the wish has lapsed");
}

/// The name of a dead home comes back in a new life: its backup knows at once that
/// the old life is over.
#[test]
fn a_new_life_ends_the_old_one() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&b);
    lab.store(row(1, Some(&a), Some(&b)));
    lab.run(ms(500), &[&a]);
    let row = written(&lab.run(ms(500), &[&holder("a", 2)])).expect("a promotion");
    assert!(row.is_home(&b));
}

/// A late heartbeat of the old life must not make it look alive again.
#[test]
fn an_old_life_is_not_heard_again() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&b);
    lab.hear(&holder("a", 2), false);
    lab.hear(&a, false);
    assert!(!lab.control.is_live(lab.now, &a));
}

/// A mark that a slice has lost its records stays for ever if nothing removes it,
/// and each instance that comes later would begin the window once more.
#[test]
fn the_mark_of_lost_records_is_removed() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&a);
    lab.store(blank(row(1, Some(&a), Some(&b))));
    assert_eq!(written(&lab.run(secs(599), &[&b])), None);
    let row = written(&lab.run(secs(2), &[&b])).expect("a write");
    assert!(!row.records_lost && row.is_backup(&b) && row.is_home(&a));
}

/// Somebody who is not home asks for a slice to be taken over: nothing happens.
#[test]
fn only_the_home_gives_a_slice_away() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&b);
    lab.store(row(1, Some(&a), Some(&b)));
    lab.control
        .takeover_requested(lab.now, &holder("c", 1), &[0, 9]);
    assert_eq!(written(&lab.run(secs(1), &[&a])), None);
    lab.control.takeover_requested(lab.now, &a, &[0]);
    assert!(written(&lab.run(secs(1), &[&a])).is_some());
}

/// The engine of an instance that has lost the slice knows it by the table alone;
/// a view in which everybody is silent must not make it home.
#[test]
fn silence_alone_makes_nobody_home() {
    let mut pair = Pair::with_backup();
    let alone = view(&[&pair.b.clone()], pair.now + lab::FOREVER);
    pair.backup.handle(pair.now, alone);
    let waiting: Vec<Action> = pair.ask_backup(1, Kind::NonIdempotent);
    assert!(forwards(&waiting).is_empty());
    assert!(has_reason(&waiting, Reason::Parked));
}

/// A copy is given up because its backup fell silent, and begins anew when that is
/// heard again. The worker's word that the first copy is complete comes only then.
/// The second copy lacks what was claimed in between: were the backup named by the
/// late word, it could run such a booking again after a takeover.
#[test]
fn a_late_word_about_a_copy_given_up_names_nobody() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut lab = Lab::new(&a);
    joining(&mut lab, &a, &b);
    assert!(has_abandon(&lab.run(SUSPECT * 2, &[])));
    lab.run(ms(500), &[&b]);
    lab.control.backup_synced(id::Slice(0), &b);
    assert_eq!(written(&lab.run(secs(1), &[&b])), None);
    let join = |command: &Command| matches!(command, Command::AddBackup { .. });
    let later = lab.run(secs(12), &[&b]);
    assert!(later.iter().any(join), "never copied to again");
}

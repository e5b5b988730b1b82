//! Feeds: the notifications that a caller gets when servers and homes change.

mod lab;

use std::collections::BTreeSet;
use std::sync::Arc;

use godwitreel::action::Action;
use godwitreel::document::Profile;
use godwitreel::document::State;
use godwitreel::engine::Engine;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::peer::PeerMessage;
use godwitreel::peer::ReplicationItem;
use godwitreel::reason::Reason;
use godwitreel::request::Answer;
use godwitreel::request::Kind;
use godwitreel::request::Receipt;
use godwitreel::request::Verdict;
use godwitreel::server::Server;
use tokio::time::Instant;

use crate::lab::deliver;
use crate::lab::forwards;
use crate::lab::has_reason;
use crate::lab::holder;
use crate::lab::ms;
use crate::lab::notification;
use crate::lab::pair::Pair;
use crate::lab::pair::steps;
use crate::lab::peer_messages;
use crate::lab::row;
use crate::lab::secs;
use crate::lab::sequences;
use crate::lab::table;
use crate::lab::view;

/// Upper bound of the time in which a tick starts a registration that is due.
const REGISTRATION_BOUND: std::time::Duration = std::time::Duration::from_millis(600);

/// Server and number of a forwarded attempt.
type Sent = (Arc<Server>, id::Attempt);

/// Opens feed 1 at the home and replicates it to the backup.
fn open(pair: &mut Pair) -> Sent {
    let sent = forwards(&pair.ask(1, Kind::OpenFeed)).remove(0);
    let opened = pair.answer(&sent, notification("first"));
    pair.deliver_to_backup(&opened);
    sent
}

fn messages(actions: &[Action]) -> Vec<u16> {
    let message = |action: &Action| match action {
        Action::Notify { message, .. } => Some(*message),
        _ => None,
    };
    actions.iter().filter_map(message).collect()
}

fn has_rejection(actions: &[Action]) -> bool {
    let reject = |action: &Action| matches!(action, Action::Reject { .. });
    actions.iter().any(reject)
}

fn transfer_count(actions: &[Action]) -> usize {
    let is_transfer =
        |(_, body): &(id::Holder, PeerMessage)| matches!(body, PeerMessage::FeedTransfer(_));
    peer_messages(actions)
        .iter()
        .filter(|sent| is_transfer(sent))
        .count()
}

fn view_of(pair: &Pair, live: &[&id::Holder]) -> Event {
    view(live, pair.now + lab::FOREVER)
}

/// Makes the backup suspect the home.
fn cut_off_home(pair: &mut Pair) -> Vec<Action> {
    let b = pair.b.clone();
    let event = view_of(pair, &[&b]);
    pair.backup.handle(pair.now, event)
}

/// Makes the backup regard the home as live again.
fn reconnect_home(pair: &mut Pair) -> Vec<Action> {
    let (a, b) = (pair.a.clone(), pair.b.clone());
    let event = view_of(pair, &[&a, &b]);
    pair.backup.handle(pair.now, event)
}

fn promote(pair: &mut Pair) -> Vec<Action> {
    let b = pair.b.clone();
    pair.backup.handle(pair.now, table(row(2, Some(&b), None)))
}

/// The home of a feed fails. Its backup continues with sequence numbers newer than
/// all that the caller has received, although its copy lags behind; a caller drops
/// older numbers, and would get no more notifications.
#[test]
fn the_sequence_leaps_when_another_goes_on() {
    let mut pair = Pair::with_backup();
    let sent = open(&mut pair);
    let mut seen = 0;
    for _ in 0..300 {
        seen = sequences(&pair.answer(&sent, notification("n")))[0];
    }
    promote(&mut pair);
    let moved = forwards(&pair.run(REGISTRATION_BOUND).1);
    let first = pair.answer_backup(&moved[0], notification("n"));
    assert!(sequences(&first)[0] > seen);
}

/// As above, for message numbers: a caller drops messages whose numbers it has just
/// received as duplicates, so the new home must not use the old home's numbers
/// again.
#[test]
fn message_numbers_do_not_come_again_after_a_takeover() {
    let mut pair = Pair::with_backup();
    let sent = open(&mut pair);
    let mut seen = BTreeSet::new();
    for _ in 0..300 {
        seen.extend(messages(&pair.answer(&sent, notification("n"))));
    }
    promote(&mut pair);
    let moved = forwards(&pair.run(REGISTRATION_BOUND).1).remove(0);
    for _ in 0..300 {
        let next = messages(&pair.answer_backup(&moved, notification("n")));
        assert!(seen.insert(next[0]), "number {} again", next[0]);
    }
}

/// A feed has more notifications than one leap of the sequence covers: the backup's
/// copy of the sequence number is refreshed before it lags by that much.
#[test]
fn the_copy_of_the_sequence_never_lags_by_a_leap() {
    let mut pair = Pair::with_backup();
    let sent = open(&mut pair);
    let mut refreshed = 0;
    for _ in 0..40_000 {
        let actions = pair.answer(&sent, notification("n"));
        refreshed += steps(&actions).len();
        pair.deliver_to_backup(&actions);
    }
    assert!(refreshed >= 2);
    let seen = sequences(&pair.answer(&sent, notification("n")))[0];
    promote(&mut pair);
    let moved = forwards(&pair.run(REGISTRATION_BOUND).1);
    let first = pair.answer_backup(&moved[0], notification("n"));
    assert!(sequences(&first)[0] > seen);
}

/// A server drains. The caller gets one unbroken sequence: the old registration is
/// used until the new one is answered, and only then rejected.
#[test]
fn a_move_registers_before_it_drops() {
    let mut pair = Pair::with_backup();
    let sent = open(&mut pair);
    pair.run(REGISTRATION_BOUND);
    sent.0.state().draining = true;
    let renewed = forwards(&pair.run(REGISTRATION_BOUND).0);
    assert_eq!(
        renewed.len(),
        1,
        "the feed is registered at one other server"
    );
    assert_ne!(renewed[0].0.id, sent.0.id);
    let still = pair.answer(&sent, notification("old"));
    assert_eq!(sequences(&still), [2], "the old registration is still used");
    let moved = pair.answer(&renewed[0], notification("new"));
    assert_eq!(sequences(&moved), [3]);
    let late = pair.answer(&sent, notification("old"));
    assert!(sequences(&late).is_empty());
    assert!(has_rejection(&late), "the old server is not told to stop");
    assert_eq!(sent.0.state().feeds, 0);
}

/// A notification with an attempt that was sent to another server, or from another
/// address, must not reach the caller.
#[test]
fn a_notification_counts_only_from_its_own_server() {
    let mut pair = Pair::with_backup();
    let sent = open(&mut pair);
    let other = pair.servers.iter().find(|s| s.id != sent.0.id).cloned();
    let foreign = (other.expect("three servers"), sent.1);
    let actions = pair.answer(&foreign, notification("foreign"));
    assert!(sequences(&actions).is_empty());
    assert!(has_reason(&actions, Reason::ForeignAnswer));
    assert!(has_rejection(&actions));
}

/// A device on the path loses the state of a feed, and no more notifications
/// arrive. The feed is registered again, first with its own server.
#[test]
fn a_silent_feed_is_registered_again() {
    let mut pair = Pair::with_backup();
    let sent = open(&mut pair);
    let renewed = forwards(&pair.run(Profile::default().feed_silence() + ms(200)).0);
    assert_eq!(renewed.len(), 1);
    assert_eq!(renewed[0].0.id, sent.0.id);
    let fresh = pair.answer(&renewed[0], notification("n"));
    assert_eq!(sequences(&fresh), [2]);
}

/// The server ends the feed with a refusal and another server takes it: the caller
/// gets no notice of the move.
#[test]
fn a_feed_that_a_server_refuses_moves() {
    let mut pair = Pair::with_backup();
    let sent = open(&mut pair);
    let refused = Answer {
        keeps_feed_open: false,
        verdict: Verdict::Refused,
        ..notification("refused")
    };
    let moved = pair.answer(&sent, refused);
    assert!(sequences(&moved).is_empty());
    assert_ne!(forwards(&moved)[0].0.id, sent.0.id);
}

/// No server takes the feed: the caller is notified so that it opens the feed again
/// instead of waiting forever.
#[test]
fn a_feed_without_a_server_is_ended() {
    let mut pair = Pair::with_backup();
    open(&mut pair);
    for server in &pair.servers {
        server.state().listed = State::Leaving;
    }
    let silence = Profile::default().feed_silence();
    let (actions, _) = pair.run(silence * 4);
    assert!(has_reason(&actions, Reason::FeedLost));
    assert_eq!(sequences(&actions).len(), 1);
    assert_eq!(pair.home.feeds(), 0);
}

/// The caller rejects a notification: it does not want the feed any more, and the
/// backup must not keep its copy.
#[test]
fn a_rejected_feed_ends_everywhere() {
    let mut pair = Pair::with_backup();
    let sent = open(&mut pair);
    let notified = pair.answer(&sent, notification("n"));
    let event = Event::Receipt {
        flow: lab::flow("dispatch", 1),
        message: messages(&notified)[0],
        receipt: Receipt::Rejected,
        hops: 0,
        datagram: bytes::Bytes::new(),
    };
    let ended = pair.home.handle(pair.now, event);
    pair.deliver_to_backup(&ended);
    assert_eq!((pair.home.feeds(), pair.backup.feeds()), (0, 0));
}

/// The caller disappears without closing its feed. The feed ends after a number of
/// notifications without a receipt; otherwise feeds of such callers would use up
/// the limit.
#[test]
fn a_feed_of_a_vanished_caller_ends() {
    let mut pair = Pair::with_backup();
    let sent = open(&mut pair);
    pair.now += secs(31);
    for _ in 0..4 {
        let actions = pair.answer(&sent, notification("n"));
        assert_eq!(sequences(&actions).len(), 1);
    }
    let actions = pair.answer(&sent, notification("n"));
    assert!(has_reason(&actions, Reason::FeedAbandoned));
    assert_eq!(pair.home.feeds(), 0);
}

/// The caller closes a feed that has moved to another home.
#[test]
fn a_feed_is_closed_after_a_move() {
    let mut pair = Pair::with_backup();
    open(&mut pair);
    promote(&mut pair);
    let moved = forwards(&pair.run(REGISTRATION_BOUND).1);
    pair.answer_backup(&moved[0], notification("n"));
    pair.ask_backup(2, Kind::OpenFeed);
    let mut close = lab::request(&lab::flow("dispatch", 1), 3, Kind::CloseFeed);
    close.token = godwitreel::request::Token(1);
    let event = Event::Request {
        request: close,
        hops: 1,
    };
    let closed = pair.backup.handle(pair.now, event);
    assert!(has_reason(&closed, Reason::FeedClosed));
    assert_eq!(pair.backup.feeds(), 0);
}

/// A new full copy starts at the backup: feeds from before it are outdated, but
/// feeds that came with it or after it, perhaps reordered, stay.
#[test]
fn a_new_copy_clears_older_feeds_only() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut pair = Pair::new(row(1, Some(&a), None));
    for number in 1..=3 {
        let sent = forwards(&pair.ask(number, Kind::OpenFeed)).remove(0);
        pair.answer(&sent, notification("first"));
    }
    let copy = pair.add_backup();
    // The first step, which clears older feeds, arrives last.
    let mut reordered = copy.clone();
    reordered.rotate_left(1);
    pair.deliver_to_backup(&reordered);
    assert_eq!(pair.backup.feeds(), 3);
    pair.home
        .handle(pair.now, Event::CancelBackup(vec![id::Slice(0)]));
    pair.ask(9, Kind::Idempotent);
    let mut close = lab::request(&lab::flow("dispatch", 1), 10, Kind::CloseFeed);
    close.token = godwitreel::request::Token(1);
    let event = Event::Request {
        request: close,
        hops: 0,
    };
    pair.home.handle(pair.now, event);
    let copy = pair.add_backup();
    deliver(pair.now, &a, &copy, &b, &mut pair.backup);
    assert_eq!(pair.backup.feeds(), 2, "the backup keeps a closed feed");
}

/// Home and backup cannot reach each other, and both reach the caller. The backup
/// has sent newer sequence numbers; after the connection is restored, the home
/// continues above them, since otherwise the caller would drop all its
/// notifications.
#[test]
fn a_home_that_was_cut_off_goes_beyond_its_backups_sequence() {
    let mut pair = Pair::with_backup();
    let sent = open(&mut pair);
    cut_off_home(&mut pair);
    let registered = forwards(&pair.run(REGISTRATION_BOUND).1);
    let seen = sequences(&pair.answer_backup(&registered[0], notification("n")))[0];
    let transfers = reconnect_home(&mut pair);
    assert_eq!(transfer_count(&transfers), 1);
    pair.deliver_to_home(&transfers);
    let next = sequences(&pair.answer(&sent, notification("n")))[0];
    assert!(next > seen);
    pair.deliver_to_home(&transfers);
    let after = sequences(&pair.answer(&sent, notification("n")))[0];
    assert_eq!(after, next + 1, "a duplicate transfer has no effect");
}

/// The message that transfers a feed to its home is lost: it is repeated until the
/// feed is released here, and until then notifications are still sent from here.
#[test]
fn a_feed_is_offered_until_it_is_released() {
    let mut pair = Pair::with_backup();
    open(&mut pair);
    cut_off_home(&mut pair);
    let registered = forwards(&pair.run(REGISTRATION_BOUND).1);
    pair.answer_backup(&registered[0], notification("n"));
    assert_eq!(transfer_count(&reconnect_home(&mut pair)), 1);
    let (_, again) = pair.run(ms(1_800));
    assert!(transfer_count(&again) >= 2);
    let kept = pair.answer_backup(&registered[0], notification("n"));
    assert_eq!(
        sequences(&kept).len(),
        1,
        "released before the home has taken it over"
    );
    pair.run(ms(500));
    let late = pair.answer_backup(&registered[0], notification("n"));
    assert!(has_rejection(&late));
    assert_eq!(pair.backup.feeds(), 1, "the copy stays at the backup");
}

/// The home is reachable only for a moment: the feeds that were to be returned stay
/// at the backup, which still notices when they fall silent.
#[test]
fn a_feed_stays_when_its_home_is_gone_again() {
    let mut pair = Pair::with_backup();
    open(&mut pair);
    cut_off_home(&mut pair);
    let registered = forwards(&pair.run(REGISTRATION_BOUND).1);
    pair.answer_backup(&registered[0], notification("n"));
    pair.run(Profile::default().feed_silence() - ms(500));
    reconnect_home(&mut pair);
    pair.run(secs(1));
    cut_off_home(&mut pair);
    let renewed = forwards(&pair.run(Profile::default().feed_silence() + secs(1)).1);
    assert!(!renewed.is_empty(), "no instance serves the feed");
}

/// A feed is opened while its slice moves: the server's answer reaches the old
/// home. The feed is transferred to the new home, since that one gets the caller's
/// receipts, and the old home no longer serves feeds of the slice.
#[test]
fn a_feed_opened_during_a_move_goes_to_the_new_home() {
    let mut pair = Pair::with_backup();
    let sent = forwards(&pair.ask(1, Kind::OpenFeed)).remove(0);
    let b = pair.b.clone();
    pair.install(row(2, Some(&b), None));
    let opened = pair.answer(&sent, notification("first"));
    assert_eq!(transfer_count(&opened), 1);
    pair.deliver_to_backup(&opened);
    assert_eq!(forwards(&pair.run(REGISTRATION_BOUND).1).len(), 1);
}

/// A feed was opened just before the move, and its copy has not reached the backup
/// that became home: the old home transfers it.
#[test]
fn a_feed_without_a_copy_is_offered_to_the_new_home() {
    let mut pair = Pair::with_backup();
    let sent = forwards(&pair.ask(1, Kind::OpenFeed)).remove(0);
    pair.answer(&sent, notification("first"));
    let b = pair.b.clone();
    let moved = pair.install(row(2, Some(&b), None));
    assert_eq!(transfer_count(&moved), 1);
    pair.deliver_to_backup(&moved);
    assert_eq!(pair.backup.feeds(), 1);
}

/// The slice moved: the old home keeps its registration until the new home has had
/// time to register, and then drops it.
#[test]
fn the_old_home_releases_feeds_after_a_while() {
    let mut pair = Pair::with_backup();
    let sent = open(&mut pair);
    let b = pair.b.clone();
    pair.install(row(2, Some(&b), None));
    pair.run(ms(1_500));
    let kept = pair.answer(&sent, notification("n"));
    assert_eq!(sequences(&kept).len(), 1);
    pair.run(secs(1));
    let dropped = pair.answer(&sent, notification("n"));
    assert!(sequences(&dropped).is_empty());
    assert!(has_rejection(&dropped));
}

/// A home takes over hundreds of feeds: it registers a limited number per tick, so
/// that the servers are not flooded.
#[test]
fn feeds_are_registered_a_few_at_a_time() {
    const FEEDS: u64 = 200;
    let now = Instant::now();
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut pair = Pair::new(row(1, Some(&a), Some(&b)));
    pair.configure(&Profile {
        max_per_caller: 1_000,
        ..Profile::default()
    });
    for number in 0..FEEDS {
        let sent = forwards(&pair.ask(number, Kind::OpenFeed)).remove(0);
        let opened = pair.answer(&sent, notification("first"));
        pair.deliver_to_backup(&opened);
    }
    promote(&mut pair);
    let mut most = 0;
    let mut all = 0;
    for tick in 0..10 {
        let actions = pair.backup.handle(now + ms(10 * tick), Event::Tick);
        most = most.max(forwards(&actions).len());
        all += forwards(&actions).len();
    }
    assert_eq!((most, all), (64, FEEDS as usize));
}

/// A backup that only keeps a copy of a feed sends nothing to any server while the
/// home is live.
#[test]
fn a_copy_alone_registers_nothing() {
    let mut pair = Pair::with_backup();
    open(&mut pair);
    let (_, actions) = pair.run(Profile::default().feed_silence() * 2);
    assert!(forwards(&actions).is_empty());
}

/// The service is missing from the configuration for a while, as after a slow
/// start: the feed is served again once the service is known again.
#[test]
fn a_feed_survives_a_gap_in_the_configuration() {
    let mut pair = Pair::with_backup();
    open(&mut pair);
    let empty = Event::Snapshot(lab::snapshot(Vec::new()));
    pair.home.handle(pair.now, empty);
    pair.run(Profile::default().feed_silence() + secs(2));
    pair.configure(&Profile::default());
    let renewed = forwards(&pair.run(Profile::default().feed_silence() + secs(2)).0);
    assert!(!renewed.is_empty());
}

/// A worker ignores table rows of slices that another worker owns.
#[test]
fn workers_keep_to_their_own_slices() {
    let now = Instant::now();
    let me = holder("a", 1);
    let mut engine = Engine::new(lab::settings(&me, 1, 2));
    let actions = engine.handle(now, table(row(1, Some(&me), None)));
    assert!(
        !has_reason(&actions, Reason::HomeGained),
        "the slice belongs to another worker"
    );
    let is_feed = |item: &ReplicationItem| matches!(item, ReplicationItem::Feed(_));
    assert!(!steps(&actions).iter().any(is_feed));
}

/// The home becomes reachable while its backup is registering the feed: when the
/// answer arrives, the backup must not keep the registration beside the home's.
#[test]
fn a_registration_under_way_is_released_too() {
    let mut pair = Pair::with_backup();
    open(&mut pair);
    cut_off_home(&mut pair);
    let registered = forwards(&pair.run(REGISTRATION_BOUND).1);
    reconnect_home(&mut pair);
    pair.answer_backup(&registered[0], notification("n"));
    pair.run(ms(2_500));
    assert!(has_rejection(
        &pair.answer_backup(&registered[0], notification("n"))
    ));
}

//! Claims replicated from a home to its backup: what may be forwarded, and when.

mod lab;

use crate::lab::deliver;
use crate::lab::forwards;
use crate::lab::has_reason;
use crate::lab::holder;
use crate::lab::ms;
use crate::lab::outcomes;
use crate::lab::pair::Pair;
use crate::lab::pair::is_claim;
use crate::lab::pair::steps;
use crate::lab::peer_messages;
use crate::lab::row;
use crate::lab::secs;
use crate::lab::table;
use crate::lab::view;
use godwitreel::action::Action;
use godwitreel::document::Profile;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::peer;
use godwitreel::peer::PeerMessage;
use godwitreel::peer::ReplicationItem;
use godwitreel::reason::Reason;
use godwitreel::request::Outcome;

/// If the home forwarded a booking and died before the backup knew the claim, the
/// backup would run the caller's duplicate and the booking would run twice. So
/// nothing is forwarded before the backup has acknowledged the claim.
#[test]
fn nothing_is_forwarded_before_the_claim_is_acknowledged() {
    let mut pair = Pair::with_backup();
    let claims = pair.book(1);
    assert!(forwards(&claims).is_empty());
    assert!(steps(&claims).iter().any(is_claim));
    let acks = pair.deliver_to_backup(&claims);
    let proceeded = pair.deliver_to_home(&acks);
    assert_eq!(forwards(&proceeded).len(), 1);
}

/// The caller receives "not run", sends a duplicate, and the home dies in between:
/// the backup must not run the duplicate. So a refusal is claimed like a forwarded
/// request, and the backup answers the duplicate with "unknown".
#[test]
fn a_refusal_is_known_to_the_backup_before_the_caller() {
    let mut pair = Pair::with_backup();
    pair.configure(&Profile {
        max_per_caller: 1,
        ..Profile::default()
    });
    let first = pair.book(1);
    let acks = pair.deliver_to_backup(&first);
    pair.deliver_to_home(&acks);
    let refused = pair.book(2);
    assert!(
        outcomes(&refused).is_empty(),
        "answered before the claim was acknowledged"
    );
    let acks = pair.deliver_to_backup(&refused);
    let answered = pair.deliver_to_home(&acks);
    assert_eq!(outcomes(&answered), [Outcome::NotRun { retry_after: 2 }]);
    pair.lose_home();
    let b = pair.b.clone();
    pair.backup.handle(pair.now, table(row(2, Some(&b), None)));
    let duplicate = pair.duplicate_of_claimed(2);
    assert!(forwards(&duplicate).is_empty());
    assert_eq!(outcomes(&duplicate), [Outcome::Unknown]);
}

/// The home is frozen while a claim is outstanding and resumes after the caller's
/// deadline. It reads the acknowledgement before its timers fire: without a check
/// of the deadline at that point, the booking would run although the caller has
/// given up.
#[test]
fn an_acknowledgement_after_the_deadline_forwards_nothing() {
    let mut pair = Pair::with_backup();
    let claims = pair.book(1);
    let acks = pair.deliver_to_backup(&claims);
    pair.now += Profile::default().deadline();
    let resumed = pair.deliver_to_home(&acks);
    assert!(forwards(&resumed).is_empty());
    assert_eq!(outcomes(&resumed), [Outcome::Unknown]);
}

/// Home and backup are cut off from the platform, and the home's authority expires
/// while a claim is outstanding. From then on another instance may decide for the
/// slice, so the late acknowledgement forwards nothing, and a new booking is not
/// accepted either.
#[test]
fn without_authority_nothing_is_forwarded() {
    let mut pair = Pair::with_backup();
    let until = pair.now + secs(1);
    let seen = view(&[&pair.a.clone(), &pair.b.clone()], until);
    pair.home.handle(pair.now, seen);
    let claims = pair.book(1);
    let acks = pair.deliver_to_backup(&claims);
    pair.now = until;
    let late = pair.deliver_to_home(&acks);
    assert!(forwards(&late).is_empty());
    assert!(has_reason(&late, Reason::UnknownAuthority));
    let new = pair.book(2);
    assert!(steps(&new).is_empty(), "sent a claim without authority");
    assert_eq!(outcomes(&new), [Outcome::Unknown]);
}

/// The backup has become home, and the old home, which has not read the new table
/// yet, claims one more booking. An acknowledgement would let both run it, so none
/// is sent.
#[test]
fn a_backup_that_became_home_acknowledges_nothing() {
    let mut pair = Pair::with_backup();
    let b = pair.b.clone();
    pair.backup.handle(pair.now, table(row(2, Some(&b), None)));
    let claims = pair.book(1);
    assert!(peer_messages(&pair.deliver_to_backup(&claims)).is_empty());
}

/// A newer home sends a claim to an instance that has not yet read that it was
/// replaced. That instance may have run the same booking, or still be running it,
/// so it sends no acknowledgement.
#[test]
fn an_outdated_home_acknowledges_nothing() {
    let mut pair = Pair::new(row(1, Some(&holder("a", 1)), None));
    assert_eq!(forwards(&pair.book(1)).len(), 1);
    let claim = PeerMessage::ReplicationStep(peer::ReplicationStep {
        slice: 0,
        epoch: 2,
        number: 1,
        item: Some(ReplicationItem::Claim(peer::Claim {
            flow: Some(peer::pack_flow(&lab::flow("dispatch", 1))),
            id: peer::pack_number(1),
            claimer: String::new(),
            age_ms: 0,
        })),
    });
    let event = Event::Peer {
        from: pair.b.clone(),
        body: claim,
    };
    assert!(peer_messages(&pair.home.handle(pair.now, event)).is_empty());
}

/// Two homes of different epochs send claims to one backup. The home whose epoch is
/// older than the table's or than that of a later claim gets no acknowledgement: it
/// does not know what its successor ran.
#[test]
fn claims_of_an_outdated_epoch_are_not_acknowledged() {
    let mut pair = Pair::with_backup();
    let claims = pair.book(1);
    let c = holder("c", 1);
    let b = pair.b.clone();
    pair.backup
        .handle(pair.now, table(row(3, Some(&c), Some(&b))));
    assert!(peer_messages(&pair.deliver_to_backup(&claims)).is_empty());
}

/// A newer home's claim reaches the backup before the newer table does. From then
/// on the older home's claims are outdated, although the backup's table still names
/// that home.
#[test]
fn claims_of_older_epochs_are_not_acknowledged_after_a_newer_one() {
    let mut pair = Pair::with_backup();
    let claims = pair.book(1);
    let c = holder("c", 1);
    let mut newer = peer_messages(&claims);
    for (_, body) in &mut newer {
        if let PeerMessage::ReplicationStep(step) = body {
            step.epoch = 5;
        }
        let event = Event::Peer {
            from: c.clone(),
            body: body.clone(),
        };
        assert_eq!(peer_messages(&pair.backup.handle(pair.now, event)).len(), 1);
    }
    assert!(peer_messages(&pair.deliver_to_backup(&claims)).is_empty());
}

/// An instance that is not home under the table's epoch sends a claim to the
/// backup: it gets no acknowledgement, since the actual home would not know of the
/// claim.
#[test]
fn only_the_home_is_acknowledged_under_its_epoch() {
    let mut pair = Pair::with_backup();
    let claims = pair.book(1);
    let c = holder("c", 1);
    let acknowledged = deliver(pair.now, &c, &claims, &pair.b, &mut pair.backup);
    assert!(peer_messages(&acknowledged).is_empty());
}

/// Duplicates of a booking reach the home while the booking is in progress and
/// after it was answered: none is forwarded, and the last one gets the same answer
/// again.
#[test]
fn copies_cause_no_work() {
    let mut pair = Pair::with_backup();
    let claims = pair.book(1);
    assert!(steps(&pair.book(1)).is_empty());
    let acks = pair.deliver_to_backup(&claims);
    let sent = pair.deliver_to_home(&acks);
    let (server, attempt) = forwards(&sent)[0].clone();
    assert!(forwards(&pair.book(1)).is_empty());
    let answer = Event::Answer {
        from: server.address,
        attempt,
        answer: lab::answer("done"),
    };
    let answered = pair.home.handle(pair.now, answer);
    let again = pair.book(1);
    assert!(forwards(&again).is_empty());
    assert_eq!(outcomes(&answered), outcomes(&again));
    assert_eq!(outcomes(&again).len(), 1);
}

/// A home without a backup forwards at once, then a backup is added. If the copy
/// lacked the bookings that were forwarded before, the backup would run their
/// duplicates after a takeover.
#[test]
fn a_joining_backup_learns_what_was_forwarded_before() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut pair = Pair::new(row(1, Some(&a), None));
    assert_eq!(forwards(&pair.book(1)).len(), 1);
    let copied = pair.add_backup();
    pair.deliver_to_backup(&copied);
    pair.lose_home();
    pair.backup.handle(pair.now, table(row(2, Some(&b), None)));
    let duplicate = pair.duplicate_of_claimed(1);
    assert!(forwards(&duplicate).is_empty());
    assert_eq!(outcomes(&duplicate), [Outcome::Unknown]);
}

/// The copy to a new backup has started, but the table does not name the backup
/// yet. The write that names it may take effect at any moment, so every booking
/// waits for the backup from the first replication step on.
#[test]
fn claims_wait_for_a_backup_from_the_start_of_its_copy() {
    let mut pair = Pair::new(row(1, Some(&holder("a", 1)), None));
    let copied = pair.add_backup();
    let claims = pair.book(1);
    assert!(forwards(&claims).is_empty());
    let acks = pair.deliver_to_backup(&copied);
    pair.deliver_to_home(&acks);
    let acks = pair.deliver_to_backup(&claims);
    assert_eq!(forwards(&pair.deliver_to_home(&acks)).len(), 1);
}

/// The control task is notified that the copy is complete only when every step is
/// acknowledged; a backup named in the table earlier would take over without some
/// of the claims.
#[test]
fn a_backup_has_joined_only_when_it_has_everything() {
    let mut pair = Pair::new(row(1, Some(&holder("a", 1)), None));
    pair.book(1);
    let copied = pair.add_backup();
    let acks = pair.deliver_to_backup(&copied);
    let has_synced = |actions: &[Action]| {
        let is_synced = |action: &Action| matches!(action, Action::BackupSynced { .. });
        actions.iter().any(is_synced)
    };
    assert_eq!(acks.len(), 2);
    assert!(!has_synced(&pair.deliver_to_home(&acks[..1])));
    assert!(has_synced(&pair.deliver_to_home(&acks[1..])));
}

/// The table names a backup to which this home has not copied anything. The home
/// sends it a full copy, and bookings wait for it: otherwise the backup would know
/// none of the earlier bookings.
#[test]
fn a_backup_named_unexpectedly_gets_a_whole_copy() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut pair = Pair::new(row(1, Some(&a), None));
    pair.book(1);
    let actions = pair.install(row(2, Some(&a), Some(&b)));
    assert!(steps(&actions).iter().any(is_claim));
    assert!(forwards(&pair.book(2)).is_empty());
}

/// Claims that wait for a backup proceed without it when its copy is cancelled.
/// Claims that wait for an older copy wait for the new one instead.
#[test]
fn waiting_claims_follow_the_change_of_backup() {
    let mut pair = Pair::new(row(1, Some(&holder("a", 1)), None));
    pair.add_backup();
    pair.book(1);
    let again = pair.add_backup();
    assert!(forwards(&again).is_empty());
    assert_eq!(
        steps(&again).iter().filter(|step| is_claim(step)).count(),
        1
    );
    let cancel = Event::CancelBackup(vec![id::Slice(0)]);
    let actions = pair.home.handle(pair.now, cancel);
    assert_eq!(forwards(&actions).len(), 1);
}

/// The table names the backup: a late order to cancel its copy must not let the
/// home proceed without it.
#[test]
fn an_installed_backup_is_not_given_up() {
    let mut pair = Pair::with_backup();
    pair.book(1);
    let cancel = Event::CancelBackup(vec![id::Slice(0)]);
    let actions = pair.home.handle(pair.now, cancel);
    assert!(forwards(&actions).is_empty());
    assert!(forwards(&pair.book(2)).is_empty());
}

/// A claim that is lost on the way is sent again until it is acknowledged, so the
/// caller sees only a short delay.
#[test]
fn a_lost_claim_is_sent_again() {
    let mut pair = Pair::with_backup();
    pair.book(1);
    pair.now += ms(100);
    let again = pair.home.handle(pair.now, Event::Tick);
    assert!(steps(&again).iter().any(is_claim));
}

/// An acknowledgement from an instance other than the backup, or from another
/// incarnation of the backup, which does not hold the claim, forwards nothing.
#[test]
fn only_the_backups_own_acknowledgement_counts() {
    let mut pair = Pair::with_backup();
    let claims = pair.book(1);
    let acks = pair.deliver_to_backup(&claims);
    for other in [holder("b", 2), holder("c", 1)] {
        let actions = deliver(pair.now, &other, &acks, &pair.a, &mut pair.home);
        assert!(forwards(&actions).is_empty());
    }
}

/// A step whose slice does not exist, or whose flow cannot be decoded, is dropped
/// and counted; it neither ends the process nor is it acknowledged.
#[test]
fn malformed_steps_are_not_acknowledged() {
    let mut pair = Pair::with_backup();
    let claim = |slice| {
        PeerMessage::ReplicationStep(peer::ReplicationStep {
            slice,
            epoch: 1,
            number: 1,
            item: Some(ReplicationItem::Claim(peer::Claim {
                flow: None,
                id: Vec::new(),
                claimer: String::new(),
                age_ms: 0,
            })),
        })
    };
    for slice in [0, 1, u32::MAX] {
        let event = Event::Peer {
            from: pair.a.clone(),
            body: claim(slice),
        };
        assert!(peer_messages(&pair.backup.handle(pair.now, event)).is_empty());
    }
}

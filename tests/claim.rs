//! Claims between home and backup: what may be forwarded, and when.

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

/// The caller's booking would run twice if the home died after forwarding it and
/// the backup, which had never heard of it, ran the caller's copy. So nothing is
/// forwarded before the backup has acknowledged the claim.
#[test]
fn nothing_is_forwarded_before_the_claim_is_acknowledged() {
    let mut pair = Pair::with_backup();
    let asked = pair.book(1);
    assert!(forwards(&asked).is_empty());
    assert!(steps(&asked).iter().any(is_claim));
    let kept = pair.deliver_to_backup(&asked);
    let proceeded = pair.deliver_to_home(&kept);
    assert_eq!(forwards(&proceeded).len(), 1);
}

/// The caller is told "not run", its copy comes, and the home has died meanwhile:
/// the backup must not run the copy. So a refusal is claimed like a forwarding,
/// and the backup answers the copy with "unknown".
#[test]
fn a_refusal_is_known_to_the_backup_before_the_caller() {
    let mut pair = Pair::with_backup();
    pair.configure(&Profile {
        max_per_caller: 1,
        ..Profile::default()
    });
    let first = pair.book(1);
    let kept = pair.deliver_to_backup(&first);
    pair.deliver_to_home(&kept);
    let refused = pair.book(2);
    assert!(outcomes(&refused).is_empty(), "told before it was claimed");
    let kept = pair.deliver_to_backup(&refused);
    let told = pair.deliver_to_home(&kept);
    assert_eq!(outcomes(&told), [Outcome::NotRun { retry_after: 2 }]);
    pair.lose_home();
    let b = pair.b.clone();
    pair.backup.handle(pair.now, table(row(2, Some(&b), None)));
    let copy = pair.duplicate_of_claimed(2);
    assert!(forwards(&copy).is_empty());
    assert_eq!(outcomes(&copy), [Outcome::Unknown]);
}

/// The home freezes with a claim under way and thaws after the caller has given
/// up. It reads the acknowledgement before its timers fire: without a look at the
/// clock the booking would run for nobody.
#[test]
fn an_acknowledgement_after_the_deadline_forwards_nothing() {
    let mut pair = Pair::with_backup();
    let asked = pair.book(1);
    let kept = pair.deliver_to_backup(&asked);
    pair.now += Profile::default().deadline();
    let thawed = pair.deliver_to_home(&kept);
    assert!(forwards(&thawed).is_empty());
    assert_eq!(outcomes(&thawed), [Outcome::Unknown]);
}

/// The pair is cut off from the platform; its time runs out while a claim is under
/// way. From then on an outsider may decide, so the late acknowledgement forwards
/// nothing, and a new booking is not taken either.
#[test]
fn without_authority_nothing_is_forwarded() {
    let mut pair = Pair::with_backup();
    let until = pair.now + secs(1);
    let seen = view(&[&pair.a.clone(), &pair.b.clone()], until);
    pair.home.handle(pair.now, seen);
    let asked = pair.book(1);
    let kept = pair.deliver_to_backup(&asked);
    pair.now = until;
    let late = pair.deliver_to_home(&kept);
    assert!(forwards(&late).is_empty());
    assert!(has_reason(&late, Reason::UnknownAuthority));
    let new = pair.book(2);
    assert!(steps(&new).is_empty(), "claimed without authority");
    assert_eq!(outcomes(&new), [Outcome::Unknown]);
}

/// The backup has become home; the old home has not heard of it and claims one
/// more booking. An acknowledgement would let both run it, so there is none.
#[test]
fn a_backup_that_became_home_acknowledges_nothing() {
    let mut pair = Pair::with_backup();
    let b = pair.b.clone();
    pair.backup.handle(pair.now, table(row(2, Some(&b), None)));
    let asked = pair.book(1);
    assert!(peer_messages(&pair.deliver_to_backup(&asked)).is_empty());
}

/// A newer home claims here, and this instance has not read that it was replaced:
/// it may have run the very booking, or still do so, and acknowledges nothing.
#[test]
fn who_believes_to_be_home_acknowledges_nothing() {
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

/// Two homes of different epochs claim at one backup. The one whose epoch the
/// table or a later claim has passed must get no acknowledgement: it does not
/// know what its successor ran.
#[test]
fn claims_of_an_outdated_epoch_are_not_acknowledged() {
    let mut pair = Pair::with_backup();
    let asked = pair.book(1);
    let c = holder("c", 1);
    let b = pair.b.clone();
    pair.backup
        .handle(pair.now, table(row(3, Some(&c), Some(&b))));
    assert!(peer_messages(&pair.deliver_to_backup(&asked)).is_empty());
}

/// A newer home reached the backup before the newer table did. From then on the
/// older home's claims are outdated although the backup's table still names it.
#[test]
fn a_claim_of_a_newer_epoch_shuts_the_older_ones_out() {
    let mut pair = Pair::with_backup();
    let asked = pair.book(1);
    let c = holder("c", 1);
    let mut newer = peer_messages(&asked);
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
    assert!(peer_messages(&pair.deliver_to_backup(&asked)).is_empty());
}

/// Somebody who is not home under the table's epoch claims at the backup: it gets
/// no acknowledgement, since the true home would not know of the claim.
#[test]
fn only_the_home_is_acknowledged_under_its_epoch() {
    let mut pair = Pair::with_backup();
    let asked = pair.book(1);
    let c = holder("c", 1);
    let acknowledged = deliver(pair.now, &c, &asked, &pair.b, &mut pair.backup);
    assert!(peer_messages(&acknowledged).is_empty());
}

/// The caller's copies reach the home while the booking waits and after it was
/// answered: none is forwarded, and the last gets the same answer again.
#[test]
fn copies_cause_no_work() {
    let mut pair = Pair::with_backup();
    let asked = pair.book(1);
    assert!(steps(&pair.book(1)).is_empty());
    let kept = pair.deliver_to_backup(&asked);
    let sent = pair.deliver_to_home(&kept);
    let (server, attempt) = forwards(&sent)[0].clone();
    assert!(forwards(&pair.book(1)).is_empty());
    let answer = Event::Answer {
        from: server.address,
        attempt,
        answer: lab::answer("done"),
    };
    let told = pair.home.handle(pair.now, answer);
    let again = pair.book(1);
    assert!(forwards(&again).is_empty());
    assert_eq!(outcomes(&told), outcomes(&again));
    assert_eq!(outcomes(&again).len(), 1);
}

/// The home alone forwards at once, then a backup joins. If the copy lacked the
/// bookings forwarded before, the backup would run their copies after a takeover.
#[test]
fn a_joining_backup_learns_what_was_forwarded_before() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut pair = Pair::new(row(1, Some(&a), None));
    assert_eq!(forwards(&pair.book(1)).len(), 1);
    let copied = pair.add_backup();
    pair.deliver_to_backup(&copied);
    pair.lose_home();
    pair.backup.handle(pair.now, table(row(2, Some(&b), None)));
    let copy = pair.duplicate_of_claimed(1);
    assert!(forwards(&copy).is_empty());
    assert_eq!(outcomes(&copy), [Outcome::Unknown]);
}

/// A backup is joining but the table does not name it yet. The write that names
/// it may take effect at any moment, so from the first step on every booking
/// waits for it.
#[test]
fn claims_wait_for_a_backup_from_the_start_of_its_copy() {
    let mut pair = Pair::new(row(1, Some(&holder("a", 1)), None));
    let copied = pair.add_backup();
    let asked = pair.book(1);
    assert!(forwards(&asked).is_empty());
    let kept = pair.deliver_to_backup(&copied);
    pair.deliver_to_home(&kept);
    let kept = pair.deliver_to_backup(&asked);
    assert_eq!(forwards(&pair.deliver_to_home(&kept)).len(), 1);
}

/// The control task hears that the copy is whole only when each step of it is
/// acknowledged; named too early, a backup would take over without some claims.
#[test]
fn a_backup_has_joined_only_when_it_has_everything() {
    let mut pair = Pair::new(row(1, Some(&holder("a", 1)), None));
    pair.book(1);
    let copied = pair.add_backup();
    let kept = pair.deliver_to_backup(&copied);
    let joined = |actions: &[Action]| {
        let joined = |action: &Action| matches!(action, Action::BackupSynced { .. });
        actions.iter().any(joined)
    };
    assert_eq!(kept.len(), 2);
    assert!(!joined(&pair.deliver_to_home(&kept[..1])));
    assert!(joined(&pair.deliver_to_home(&kept[1..])));
}

/// The table names a backup that this home has not copied to. It must be given
/// everything, and bookings wait for it: else it would know none of the old ones.
#[test]
fn a_backup_named_unexpectedly_gets_a_whole_copy() {
    let (a, b) = (holder("a", 1), holder("b", 1));
    let mut pair = Pair::new(row(1, Some(&a), None));
    pair.book(1);
    let actions = pair.install(row(2, Some(&a), Some(&b)));
    assert!(steps(&actions).iter().any(is_claim));
    assert!(forwards(&pair.book(2)).is_empty());
}

/// Claims that waited for a backup that is given up go on without it, and those
/// that waited for an older copy wait for the new one.
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
    let given_up = Event::CancelBackup(vec![id::Slice(0)]);
    let actions = pair.home.handle(pair.now, given_up);
    assert_eq!(forwards(&actions).len(), 1);
}

/// The table names the backup: a late order to give up its copy must not let the
/// home go on alone.
#[test]
fn an_installed_backup_is_not_given_up() {
    let mut pair = Pair::with_backup();
    pair.book(1);
    let given_up = Event::CancelBackup(vec![id::Slice(0)]);
    let actions = pair.home.handle(pair.now, given_up);
    assert!(forwards(&actions).is_empty());
    assert!(forwards(&pair.book(2)).is_empty());
}

/// The claim is lost on the way; the caller sees no more than a short wait, since
/// it is sent again until it is acknowledged.
#[test]
fn a_lost_claim_is_sent_again() {
    let mut pair = Pair::with_backup();
    pair.book(1);
    pair.now += ms(100);
    let again = pair.home.handle(pair.now, Event::Tick);
    assert!(steps(&again).iter().any(is_claim));
}

/// An acknowledgement from somebody else than the backup, or from another life of
/// it that lost the claim, forwards nothing.
#[test]
fn only_the_backups_own_acknowledgement_counts() {
    let mut pair = Pair::with_backup();
    let asked = pair.book(1);
    let kept = pair.deliver_to_backup(&asked);
    for other in [holder("b", 2), holder("c", 1)] {
        let actions = deliver(pair.now, &other, &kept, &pair.a, &mut pair.home);
        assert!(forwards(&actions).is_empty());
    }
}

/// A step whose slice does not exist, or whose flow cannot be read, is dropped
/// and noted; it neither ends the process nor is it acknowledged.
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

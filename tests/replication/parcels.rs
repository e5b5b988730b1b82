//! Transfer of large values: compression, splitting into parts, and rejection of
//! invalid parts.

use godwitreel::replica::BaseValue;
use godwitreel::replica::PartAssembler;
use godwitreel::replica::PartError;
use godwitreel::replica::StoreCopy;
use godwitreel::replica::ValuePart;
use godwitreel::replica::digest;
use godwitreel::replica::pack;
use godwitreel::replica::unpack;
use proptest::prelude::*;

use crate::support::*;

/// Routes in the largest configuration of a zone with 10 Mbit/s links.
const ROUTES: usize = 1_250;

#[test]
fn a_version_is_sent_as_its_difference() {
    let mut config = Config::new(ROUTES);
    let old = config.text();
    let new = config.next();
    assert!(old.len() > 190_000, "{}", old.len());
    let packed = pack(new.as_bytes(), old.as_bytes()).unwrap();
    assert!(packed.len() < 1_000, "{} bytes", packed.len());
    let unpacked = unpack(&packed, old.as_bytes(), new.len()).unwrap();
    assert_eq!(unpacked, new.as_bytes());
    let whole = pack(new.as_bytes(), b"").unwrap();
    assert!(whole.len() * 8 < new.len(), "{} bytes", whole.len());
}

// A configuration grows by a thousand routes, so that the difference itself is large.
#[test]
fn growth_is_sent_compressed() {
    let mut config = Config::new(250);
    let old = config.text();
    config.grow(1_000);
    let new = config.next();
    let packed = pack(new.as_bytes(), old.as_bytes()).unwrap();
    assert!(packed.len() < 24_000, "{} bytes", packed.len());
    assert_eq!(
        unpack(&packed, old.as_bytes(), new.len()).unwrap(),
        new.as_bytes()
    );
}

// Guards against changes of servers that wait behind a configuration on a slow link.
#[test]
fn small_changes_overtake_a_large_value() {
    let mut store = StoreCopy::default();
    store.apply(vec![put("servers/a", "ready", 1)], 1);
    let mut copy = StoreCopy::default();
    let mut subscription = Subscription::new(&store, &copy);
    subscription.send_all(&store, &mut copy);
    store.apply(vec![put(CONFIG, Config::new(ROUTES).text(), 2)], 2);
    subscription.compose(&store, false);
    store.apply(vec![put("servers/a", "draining", 3)], 3);
    let message = subscription.compose(&store, true);
    assert!(message.part.as_ref().is_some_and(|part| !part.is_last));
    subscription.apply(&mut copy, message).unwrap();
    assert_eq!(copy.get("servers/a").unwrap().value, "draining");
    assert_eq!(
        copy.synced_revision(),
        Some(1),
        "the configuration is still to come"
    );
    subscription.send_all(&store, &mut copy);
    assert_eq!(copy.synced_revision(), Some(3));
    assert_eq!(content(&copy), content(&store));
}

// Ten versions arrive while one is being sent. The next one sent is the newest.
#[test]
fn versions_in_between_are_not_sent() {
    let mut config = Config::new(ROUTES);
    let mut store = StoreCopy::default();
    store.apply(vec![put(CONFIG, config.text(), 1)], 1);
    let mut copy = StoreCopy::default();
    let mut subscription = Subscription::new(&store, &copy);
    subscription.send_all(&store, &mut copy);
    for revision in 2..12 {
        store.apply(vec![put(CONFIG, config.next(), revision)], revision);
    }
    let messages = subscription.send_all(&store, &mut copy);
    assert!(
        messages <= 2,
        "{messages} messages for one small difference"
    );
    assert_eq!(copy.get(CONFIG).unwrap().mod_revision, 11);
}

fn part(value: &[u8], base: Option<&BaseValue>) -> ValuePart {
    let base_value = base.map_or(&[][..], |base| &base.value);
    ValuePart {
        key: CONFIG.to_owned(),
        mod_revision: 9,
        base_revision: base.map_or(0, |base| base.mod_revision),
        size: value.len() as u64,
        digest: digest(value),
        offset: 0,
        bytes: pack(value, base_value).unwrap(),
        is_last: true,
    }
}

// Data from an upstream is not trusted: an invalid part is rejected, which ends the
// subscription and leaves the copy unchanged.
#[test]
fn parts_that_do_not_fit_are_refused() {
    let value = Config::new(20).text();
    let valid = part(value.as_bytes(), None);
    let rejection = |part: ValuePart| PartAssembler::new(Vec::new()).add(part).unwrap_err();
    assert!(
        PartAssembler::new(Vec::new())
            .add(valid.clone())
            .unwrap()
            .is_some()
    );
    let misplaced = ValuePart {
        offset: 5,
        ..valid.clone()
    };
    assert_eq!(rejection(misplaced), PartError::Gap);
    let oversized = ValuePart {
        size: 1 << 40,
        ..valid.clone()
    };
    assert_eq!(rejection(oversized), PartError::TooLarge(1 << 40));
    let wrong_digest = ValuePart {
        digest: 1,
        ..valid.clone()
    };
    assert_eq!(rejection(wrong_digest), PartError::WrongDigest);
    let truncated = ValuePart {
        size: 3,
        ..valid.clone()
    };
    assert!(matches!(
        rejection(truncated),
        PartError::DecompressionFailed(_)
    ));
    let garbage = ValuePart {
        bytes: "rubbish".into(),
        ..valid.clone()
    };
    assert!(matches!(
        rejection(garbage),
        PartError::DecompressionFailed(_)
    ));
    let base = BaseValue {
        key: CONFIG.to_owned(),
        mod_revision: 4,
        value: value.clone().into(),
    };
    let base_value = part(b"next", Some(&base));
    assert_eq!(rejection(base_value), PartError::UnknownBase(4));
}

#[test]
fn parts_of_another_value_are_no_continuation() {
    let mut assembler = PartAssembler::new(Vec::new());
    let value = Config::new(ROUTES).text();
    let whole = part(value.as_bytes(), None);
    let first = ValuePart {
        bytes: whole.bytes.slice(..1_000),
        is_last: false,
        ..whole.clone()
    };
    assert_eq!(assembler.add(first), Ok(None));
    let other_value = ValuePart {
        mod_revision: 10,
        offset: 1_000,
        ..whole
    };
    assert_eq!(assembler.add(other_value), Err(PartError::Gap));
}

proptest! {
    #[test]
    fn any_part_is_taken_or_refused(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        size in any::<u32>(),
        offset in 0..3_u64,
        is_last in any::<bool>(),
        key in "[a-z]{0,2}",
    ) {
        let part = ValuePart { key, size: size.into(), offset, is_last, bytes: bytes.into(), ..ValuePart::default() };
        let _ = PartAssembler::new(Vec::new()).add(part);
    }
}

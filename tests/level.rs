//! Evening out the slices between instances.

use std::time::Duration;

use godwitreel::control;
use godwitreel::control::Command;
use godwitreel::control::Control;
use godwitreel::control::SLICES;
use godwitreel::id;
use godwitreel::peer;
use godwitreel::platform::Entry;
use godwitreel::table::Document;
use godwitreel::table::Row;
use tokio::time::Instant;

const SLICE_COUNT: usize = 64;

fn holder(text: &str) -> id::Holder {
    text.parse().expect("a holder")
}

/// The loaded home of all slices, in zone bole, with a backup in kality.
fn loaded(now: Instant) -> Control {
    let settings = control::Settings {
        me: holder("bole-1#1"),
        zone: "bole".parse().expect("a zone"),
        address: "127.0.0.1:1".parse().expect("an address"),
        slices: SLICE_COUNT as u32,
        suspect_after: Duration::from_secs(3),
        isolation_limit: Duration::from_secs(60),
        outsider_wait: Duration::from_secs(70),
    };
    let mut control = Control::new(settings, now);
    let row = Row {
        epoch: id::Epoch(1),
        home: Some(holder("bole-1#1")),
        backup: Some(holder("kality-1#1")),
        blank: false,
    };
    let document = Document {
        write_id: "1".to_owned(),
        rows: vec![row; SLICE_COUNT],
    };
    let entry = Entry {
        key: format!("{SLICES}0"),
        value: serde_json::to_vec(&document).expect("plain data").into(),
        mod_revision: 1,
    };
    control.store(now, &entry);
    control
}

fn hear(control: &mut Control, now: Instant, name: &str, zone: &str) {
    let heartbeat = peer::Heartbeat {
        zone: zone.to_owned(),
        address: "127.0.0.1:2".to_owned(),
        ..peer::Heartbeat::default()
    };
    control.heartbeat(now, &holder(name), &heartbeat);
}

/// Rows that would be written over the next seconds with these peers heard.
fn written(control: &mut Control, mut now: Instant, peers: &[(&str, &str)]) -> Vec<Row> {
    let mut written = Vec::new();
    for _ in 0..10 {
        now += Duration::from_secs(1);
        control.contact(now);
        for (name, zone) in peers {
            hear(control, now, name, zone);
        }
        for command in control.tick(now) {
            if let Command::Write { rows, .. } = command {
                written.extend(rows.into_iter().filter(|row| row.epoch.0 > 1));
            }
        }
    }
    written
}

// A zone is cut off while its loaded instance hands slices to a new one beside it.
// Handing over begins by making the new one the backup, so for a moment the zone
// holds both home and backup. The callers of the other zones then get "unknown"
// until an outsider may take the slices, half an hour later. So slices move between
// zones only, and reach the new instance by way of the others.
#[test]
fn slices_never_move_within_a_zone_when_there_is_another() {
    let now = Instant::now();
    let peers = [("bole-2#1", "bole"), ("kality-1#1", "kality")];
    let rows = written(&mut loaded(now), now, &peers);
    assert_eq!(rows, []);
    let peers = [("bole-2#1", "bole"), ("merkato-1#1", "merkato")];
    let rows = written(&mut loaded(now), now, &peers);
    assert!(!rows.is_empty());
}

//! Evening out the slices between instances.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitreel::control;
use godwitreel::control::Command;
use godwitreel::control::SLICES_PREFIX;
use godwitreel::control::SlicePlanner;
use godwitreel::control::WriteResult;
use godwitreel::id;
use godwitreel::peer;
use godwitreel::platform::Entry;
use godwitreel::table::Document;
use godwitreel::table::Row;
use tokio::time::Instant;

const MANY: usize = 64;

fn holder(text: &str) -> id::Holder {
    text.parse().expect("a holder")
}

/// The home of so many slices, in zone bole, with kality-1 as their backup.
fn loaded(now: Instant, slices: usize) -> SlicePlanner {
    let row = Row {
        epoch: id::Epoch(1),
        home: Some(holder("bole-1#1")),
        backup: Some(holder("kality-1#1")),
        records_lost: false,
    };
    with_rows(now, vec![row; slices])
}

fn with_rows(now: Instant, rows: Vec<Row>) -> SlicePlanner {
    let settings = control::Settings {
        me: holder("bole-1#1"),
        zone: "bole".parse().expect("a zone"),
        address: "127.0.0.1:1".parse().expect("an address"),
        slices: rows.len() as u32,
        suspect_after: Duration::from_secs(3),
        isolation_limit: Duration::from_secs(60),
        recordless_takeover_wait: Duration::from_secs(70),
    };
    let mut control = SlicePlanner::new(settings, now);
    let document = Document {
        write_id: "1".to_owned(),
        rows,
    };
    let entry = Entry {
        key: format!("{SLICES_PREFIX}0"),
        value: serde_json::to_vec(&document).expect("plain data").into(),
        mod_revision: 1,
    };
    control.apply_entry(now, &entry);
    control
}

fn hear(control: &mut SlicePlanner, now: Instant, name: &str, zone: &str) {
    let heartbeat = peer::Heartbeat {
        zone: zone.to_owned(),
        address: "127.0.0.1:2".to_owned(),
        ..peer::Heartbeat::default()
    };
    control.heartbeat(now, &holder(name), &heartbeat);
}

/// Rows that would be written over the next seconds with these peers heard.
fn written(control: &mut SlicePlanner, mut now: Instant, peers: &[(&str, &str)]) -> Vec<Row> {
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
    let rows = written(&mut loaded(now, MANY), now, &peers);
    assert_eq!(rows, []);
    let peers = [("bole-2#1", "bole"), ("merkato-1#1", "merkato")];
    let rows = written(&mut loaded(now, MANY), now, &peers);
    assert!(!rows.is_empty());
}

// The fleet starts and an instance hears only the one beside it at first, which
// becomes the backup of its slices. If that stayed so, a cut of the zone would take
// home and backup together although other zones have instances.
#[test]
fn a_backup_in_the_same_zone_gives_way_to_one_in_another() {
    let now = Instant::now();
    let mut control = loaded(now, 1);
    let peers = [("kality-1#1", "bole"), ("merkato-1#1", "merkato")];
    let rows = written(&mut control, now, &peers);
    assert!(rows.iter().any(|row| row.backup.is_none()), "{rows:?}");
    let mut control = loaded(now, 1);
    let alone = written(&mut control, now, &[("kality-1#1", "bole")]);
    assert_eq!(alone, [], "there is no other zone");
}

// A new instance stands beside the loaded one, and the other zone has just its
// share. Nothing may move within the zone, so the surplus goes to the other zone,
// which passes it on; else the new instance would stay without work for ever.
#[test]
fn a_new_instance_gets_slices_by_way_of_another_zone() {
    let now = Instant::now();
    let row = |home: &str, backup: &str| Row {
        epoch: id::Epoch(1),
        home: Some(holder(home)),
        backup: Some(holder(backup)),
        records_lost: false,
    };
    let mut rows = vec![row("bole-1#1", "kality-1#1"); 32];
    rows.extend(vec![row("kality-1#1", "bole-1#1"); 16]);
    let mut control = with_rows(now, rows);
    control.contact(now);
    hear(&mut control, now, "kality-1#1", "kality");
    hear(&mut control, now, "bole-2#1", "bole");
    let commands = control.tick(now);
    let asked = commands
        .iter()
        .any(|command| matches!(command, Command::RequestTakeover { to, .. } if *to == holder("kality-1#1")));
    assert!(asked, "{commands:?}");
}

/// Carries out what a home wants, as a store and backups that work at once do; gives
/// back the rows written.
fn carry_out(control: &mut SlicePlanner, now: Instant, version: &mut u64) -> Vec<Row> {
    let mut written = Vec::new();
    for command in control.tick(now) {
        match command {
            Command::Write { document, rows, .. } => {
                *version += 1;
                written.extend(rows.into_iter().filter(|row| row.epoch.0 > 1));
                control.write_finished(now, document, WriteResult::Done(*version));
            }
            Command::AddBackup { slices, backup } => {
                for slice in slices {
                    control.backup_synced(slice, &backup);
                }
            }
            _ => {}
        }
    }
    written
}

// A zone is cut off and its loaded instance hears only the one beside it, to which it
// begins to move slices. The cut ends. That one stayed the target of the move, was
// made backup, was dropped as too near, and was made backup again: fifteen rows a
// second for forty seconds. Whoever missed a row between two of them began the window
// of lost records anew, and callers got "unknown" for as long again (`unknown_blank`,
// 41 s after everything was well).
#[test]
fn a_move_within_the_zone_ends_when_another_zone_is_back() {
    let mut now = Instant::now();
    let mut control = loaded(now, MANY);
    let mut version = 1;
    let mut step = |control: &mut SlicePlanner, peers: &[(&str, &str)]| {
        now += Duration::from_millis(100);
        control.contact(now);
        for (name, zone) in peers {
            hear(control, now, name, zone);
        }
        carry_out(control, now, &mut version)
    };
    for _ in 0..100 {
        step(&mut control, &[("bole-2#1", "bole")]);
    }
    let peers = [("bole-2#1", "bole"), ("kality-1#1", "kality")];
    let rows: Vec<Row> = (0..100).flat_map(|_| step(&mut control, &peers)).collect();
    let near = holder("bole-2#1");
    let again: Vec<&Row> = rows
        .iter()
        .filter(|row| row.is_home(&holder("bole-1#1")) && row.is_backup(&near))
        .collect();
    // Each slice is joined where it was going when the cut ended, at most.
    assert!(again.len() <= MANY, "{} of {}", again.len(), rows.len());
    let by_epoch: BTreeMap<u64, &Row> = rows.iter().map(|row| (row.epoch.0, row)).collect();
    let last = by_epoch.values().last().expect("rows were written");
    assert!(last.is_backup(&holder("kality-1#1")), "{last:?}");
}

// The only instance of another zone went away amid a copy, is passed over for 10 s and
// is back before that. The one beside the home, which is backup meanwhile, was dropped as
// too near, taken again as there was no other to take, and so on until the 10 s were over.
#[test]
fn a_near_backup_stays_while_the_far_one_is_passed_over() {
    let mut now = Instant::now();
    let row = Row {
        epoch: id::Epoch(1),
        home: Some(holder("bole-1#1")),
        backup: None,
        records_lost: false,
    };
    let mut control = with_rows(now, vec![row]);
    let mut version = 1;
    let far = ("kality-1#1", "kality");
    hear(&mut control, now, far.0, far.1);
    control.contact(now);
    // The copy to it begins and does not end.
    control.tick(now);
    let mut rows = Vec::new();
    for tenths in 0..100 {
        now += Duration::from_millis(100);
        control.contact(now);
        hear(&mut control, now, "bole-2#1", "bole");
        if tenths > 40 {
            hear(&mut control, now, far.0, far.1);
        }
        rows.extend(carry_out(&mut control, now, &mut version));
    }
    // It is named once, and makes way once for the other.
    assert!(rows.len() <= 2, "{} rows", rows.len());
}

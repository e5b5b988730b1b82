//! The digest by which peers see that one of them is behind.

use bytes::Bytes;
use godwitreel::config::Config;
use godwitreel::platform::Entry;
use proptest::prelude::*;

const KEYS: [&str; 4] = [
    "godwitreel/drain/servers/dispatch-1",
    "godwitreel/drain/servers/dispatch-2",
    "godwitreel/drain/instances/bole-1",
    "godwitreel/instances/bole-1",
];

fn entry(place: usize, mod_revision: u64) -> Entry {
    Entry {
        key: KEYS[place].to_owned(),
        value: Bytes::new(),
        mod_revision,
    }
}

/// What is left after the steps, put in afresh.
fn rebuilt(config: &Config) -> Config {
    let mut rebuilt = Config::default();
    for entry in config.shared() {
        rebuilt.put(entry);
    }
    rebuilt
}

proptest! {
    /// A peer that missed an entry must ask for it, and peers that agree must not
    /// ask at every heartbeat. The digest is kept up to date change by change; if
    /// one way of changing an entry forgot it, two peers with the same entries
    /// would never agree again. So after any order of writes, late copies and
    /// removals it has to equal that of an instance that just started.
    #[test]
    fn follows_every_change(steps in prop::collection::vec((0..KEYS.len(), 0..6u64), 0..40)) {
        let mut config = Config::default();
        for (place, revision) in steps {
            if revision == 0 {
                config.remove(KEYS[place]);
            } else {
                config.put(&entry(place, revision));
            }
            prop_assert_eq!(config.digest(), rebuilt(&config).digest());
        }
    }
}

#[test]
fn tells_versions_apart() {
    let digest = |revision| {
        let mut config = Config::default();
        config.put(&entry(0, revision));
        config.digest()
    };
    assert_ne!(digest(1), digest(2));
    assert_ne!(digest(1), Config::default().digest());
}

/// Registrations go through the platform alone: a peer's copy would outlive its
/// lease, so they must not make peers ask each other.
#[test]
fn leaves_registrations_out() {
    let mut config = Config::default();
    config.put(&entry(3, 1));
    assert_eq!(config.digest(), Config::default().digest());
}

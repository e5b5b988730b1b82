//! The configuration digest, by which peers detect that their entries differ.

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

fn entry(key_index: usize, mod_revision: u64) -> Entry {
    Entry {
        key: KEYS[key_index].to_owned(),
        value: Bytes::new(),
        mod_revision,
    }
}

/// Builds a new configuration from the shared entries of another one.
fn rebuilt(config: &Config) -> Config {
    let mut rebuilt = Config::default();
    for entry in config.shared() {
        rebuilt.put(entry);
    }
    rebuilt
}

proptest! {
    /// A peer that missed an entry must request it, and peers with equal entries must
    /// not request any at each heartbeat. The digest is updated incrementally; if one
    /// kind of change left it stale, two peers with the same entries would never have
    /// the same digest again. So after any order of writes, outdated copies and
    /// removals it must equal the digest of an instance that has just started.
    #[test]
    fn follows_every_change(steps in prop::collection::vec((0..KEYS.len(), 0..6u64), 0..40)) {
        let mut config = Config::default();
        for (key_index, revision) in steps {
            if revision == 0 {
                config.remove(KEYS[key_index]);
            } else {
                config.put(&entry(key_index, revision));
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

/// Registrations are read from the platform only, since a peer's copy would outlive
/// the lease. They must not cause requests between peers.
#[test]
fn leaves_registrations_out() {
    let mut config = Config::default();
    config.put(&entry(3, 1));
    assert_eq!(config.digest(), Config::default().digest());
}

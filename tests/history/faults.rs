//! Faults at random times, and their undoing.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::backend::Mood;
use crate::fleet::Fleet;
use crate::lab::ms;
use crate::lab::secs;

/// Something to undo.
enum Undo {
    Cut(usize, usize),
    Platform,
    Answers,
    Slowness,
    Link(usize),
    Mood(usize),
    Loss,
}

/// The generator of faults.
pub(crate) struct Faults {
    rng: SmallRng,
    next: Duration,
    undo: Vec<(Duration, Undo)>,
}

impl Faults {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed ^ 0xfa17),
            next: secs(10),
            undo: Vec::new(),
        }
    }

    pub(crate) fn step(&mut self, fleet: &mut Fleet) {
        self.undo_due(fleet, fleet.now);
        if fleet.now < self.next {
            return;
        }
        self.next = fleet.now + ms(self.rng.random_range(300..4_000));
        self.strike(fleet);
    }

    /// Undoes everything.
    pub(crate) fn heal(&mut self, fleet: &mut Fleet) {
        self.undo_due(fleet, Duration::MAX);
        fleet.cuts.clear();
        fleet.loss = 0.0;
        let now = fleet.now;
        for node in &mut fleet.nodes {
            node.frozen_until = node.frozen_until.min(now);
            node.is_linked = true;
            if !node.is_up && node.restart_at.is_none() {
                node.restart_at = Some(now);
            }
        }
    }

    fn undo_due(&mut self, fleet: &mut Fleet, now: Duration) {
        let undo = std::mem::take(&mut self.undo);
        for (at, what) in undo {
            if at > now {
                self.undo.push((at, what));
                continue;
            }
            match what {
                Undo::Cut(a, b) => {
                    fleet.cuts.remove(&(a, b));
                }
                Undo::Platform => fleet.platform.is_down = false,
                Undo::Answers => fleet.platform.loses_answers = false,
                Undo::Slowness => fleet.platform.is_slow = false,
                Undo::Link(node) => fleet.nodes[node].is_linked = true,
                Undo::Mood(server) => fleet.drain(server, false),
                Undo::Loss => fleet.loss = 0.005,
            }
        }
    }

    fn later(&mut self, fleet: &Fleet, least: u64, most: u64) -> Duration {
        fleet.now + ms(self.rng.random_range(least..most))
    }

    fn strike(&mut self, fleet: &mut Fleet) {
        let count = fleet.nodes.len();
        let node = self.rng.random_range(0..count);
        let other = (node + self.rng.random_range(1..count)) % count;
        match self.rng.random_range(0..13) {
            0 | 1 => self.kill(fleet, node),
            2 | 3 => self.freeze(fleet, node),
            4 => self.cut(fleet, &[node], &[other], true),
            5 => self.cut(fleet, &[node], &[other], false),
            6 => self.partition(fleet),
            7 => {
                fleet.platform.is_down = true;
                let at = self.later(fleet, 1_000, 25_000);
                self.undo.push((at, Undo::Platform));
            }
            8 => {
                fleet.platform.loses_answers = true;
                let at = self.later(fleet, 1_000, 10_000);
                self.undo.push((at, Undo::Answers));
            }
            9 => {
                fleet.platform.is_slow = true;
                let at = self.later(fleet, 1_000, 10_000);
                self.undo.push((at, Undo::Slowness));
            }
            10 => {
                fleet.nodes[node].is_linked = false;
                let at = self.later(fleet, 1_000, 30_000);
                self.undo.push((at, Undo::Link(node)));
            }
            11 => self.leave(fleet, node),
            _ => self.trouble_server(fleet),
        }
        if self.rng.random_bool(0.1) {
            fleet.loss = 0.1;
            let at = self.later(fleet, 500, 4_000);
            self.undo.push((at, Undo::Loss));
        }
    }

    fn kill(&mut self, fleet: &mut Fleet, node: usize) {
        if fleet.nodes[node].is_up {
            fleet.stop(node);
            fleet.figures.kills += 1;
            fleet.nodes[node].restart_at = Some(self.later(fleet, 200, 15_000));
        }
    }

    fn freeze(&mut self, fleet: &mut Fleet, node: usize) {
        if !fleet.nodes[node].is_up {
            return;
        }
        let length = match self.rng.random_range(0..4) {
            0 => self.rng.random_range(500..3_000),
            1 | 2 => self.rng.random_range(3_000..9_000),
            _ => self.rng.random_range(9_000..40_000),
        };
        fleet.figures.freezes += 1;
        fleet.freeze(node, ms(length));
    }

    fn cut(&mut self, fleet: &mut Fleet, here: &[usize], there: &[usize], both: bool) {
        let at = self.later(fleet, 1_000, 15_000);
        for a in here {
            for b in there {
                fleet.cuts.insert((*a, *b));
                self.undo.push((at, Undo::Cut(*a, *b)));
                if both {
                    fleet.cuts.insert((*b, *a));
                    self.undo.push((at, Undo::Cut(*b, *a)));
                }
            }
        }
    }

    /// Cuts one availability zone off, half of the time from the platform too.
    fn partition(&mut self, fleet: &mut Fleet) {
        let zone = fleet.nodes[self.rng.random_range(0..fleet.nodes.len())]
            .zone
            .clone();
        let inside = |place: &usize| fleet.nodes[*place].zone == zone;
        let places = 0..fleet.nodes.len();
        let (here, there): (Vec<usize>, Vec<usize>) = places.partition(inside);
        if self.rng.random_bool(0.5) {
            let at = self.later(fleet, 2_000, 25_000);
            for node in &here {
                fleet.nodes[*node].is_linked = false;
                self.undo.push((at, Undo::Link(*node)));
            }
        }
        self.cut(fleet, &here, &there, true);
    }

    fn leave(&mut self, fleet: &mut Fleet, node: usize) {
        let now = fleet.now;
        let node = &mut fleet.nodes[node];
        if node.is_up && node.leaving_since.is_none() {
            node.leaving_since = Some(now);
        }
    }

    fn trouble_server(&mut self, fleet: &mut Fleet) {
        let moods = [
            Mood::Shedding,
            Mood::Slow,
            Mood::Deaf,
            Mood::Mute,
            Mood::Draining,
        ];
        let server = self.rng.random_range(0..fleet.backends.len());
        fleet.backends[server].mood = moods[self.rng.random_range(0..moods.len())];
        if self.rng.random_bool(0.3) {
            // A restart: its registrations are gone, and nobody is told.
            fleet.backends[server].feeds.clear();
        }
        let at = self.later(fleet, 1_000, 15_000);
        self.undo.push((at, Undo::Mood(server)));
    }
}

//! Injects faults at random times and undoes them.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::backend::ServerBehavior;
use crate::fleet::Fleet;
use crate::lab::ms;
use crate::lab::secs;

/// A fault to undo.
enum UndoFault {
    BlockedLink(usize, usize),
    PlatformOutage,
    LostAnswers,
    SlowPlatform,
    PlatformLink(usize),
    ServerBehavior(usize),
    MessageLoss,
}

/// Generates random faults from a seed.
pub(crate) struct Faults {
    rng: SmallRng,
    next_fault: Duration,
    pending_undo: Vec<(Duration, UndoFault)>,
}

impl Faults {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed ^ 0xfa17),
            next_fault: secs(10),
            pending_undo: Vec::new(),
        }
    }

    pub(crate) fn advance(&mut self, fleet: &mut Fleet) {
        self.undo_due(fleet, fleet.now);
        if fleet.now < self.next_fault {
            return;
        }
        self.next_fault = fleet.now + ms(self.rng.random_range(300..4_000));
        self.inject_fault(fleet);
    }

    /// Undoes all faults.
    pub(crate) fn undo_all(&mut self, fleet: &mut Fleet) {
        self.undo_due(fleet, Duration::MAX);
        fleet.blocked_links.clear();
        fleet.loss_rate = 0.0;
        let now = fleet.now;
        for node in &mut fleet.nodes {
            node.frozen_until = node.frozen_until.min(now);
            node.is_platform_reachable = true;
            if !node.is_up && node.restart_at.is_none() {
                node.restart_at = Some(now);
            }
        }
    }

    fn undo_due(&mut self, fleet: &mut Fleet, now: Duration) {
        let pending = std::mem::take(&mut self.pending_undo);
        for (at, fault) in pending {
            if at > now {
                self.pending_undo.push((at, fault));
                continue;
            }
            match fault {
                UndoFault::BlockedLink(a, b) => {
                    fleet.blocked_links.remove(&(a, b));
                }
                UndoFault::PlatformOutage => fleet.platform.is_down = false,
                UndoFault::LostAnswers => fleet.platform.loses_answers = false,
                UndoFault::SlowPlatform => fleet.platform.is_slow = false,
                UndoFault::PlatformLink(node) => fleet.nodes[node].is_platform_reachable = true,
                UndoFault::ServerBehavior(server) => fleet.drain(server, false),
                UndoFault::MessageLoss => fleet.loss_rate = 0.005,
            }
        }
    }

    fn random_time(&mut self, fleet: &Fleet, min_ms: u64, max_ms: u64) -> Duration {
        fleet.now + ms(self.rng.random_range(min_ms..max_ms))
    }

    fn inject_fault(&mut self, fleet: &mut Fleet) {
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
                let at = self.random_time(fleet, 1_000, 25_000);
                self.pending_undo.push((at, UndoFault::PlatformOutage));
            }
            8 => {
                fleet.platform.loses_answers = true;
                let at = self.random_time(fleet, 1_000, 10_000);
                self.pending_undo.push((at, UndoFault::LostAnswers));
            }
            9 => {
                fleet.platform.is_slow = true;
                let at = self.random_time(fleet, 1_000, 10_000);
                self.pending_undo.push((at, UndoFault::SlowPlatform));
            }
            10 => {
                fleet.nodes[node].is_platform_reachable = false;
                let at = self.random_time(fleet, 1_000, 30_000);
                self.pending_undo.push((at, UndoFault::PlatformLink(node)));
            }
            11 => self.leave(fleet, node),
            _ => self.degrade_server(fleet),
        }
        if self.rng.random_bool(0.1) {
            fleet.loss_rate = 0.1;
            let at = self.random_time(fleet, 500, 4_000);
            self.pending_undo.push((at, UndoFault::MessageLoss));
        }
    }

    fn kill(&mut self, fleet: &mut Fleet, node: usize) {
        if fleet.nodes[node].is_up {
            fleet.kill_node(node);
            fleet.counts.kills += 1;
            fleet.nodes[node].restart_at = Some(self.random_time(fleet, 200, 15_000));
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
        fleet.counts.freezes += 1;
        fleet.freeze_node(node, ms(length));
    }

    fn cut(&mut self, fleet: &mut Fleet, here: &[usize], there: &[usize], both: bool) {
        let at = self.random_time(fleet, 1_000, 15_000);
        for a in here {
            for b in there {
                fleet.blocked_links.insert((*a, *b));
                self.pending_undo.push((at, UndoFault::BlockedLink(*a, *b)));
                if both {
                    fleet.blocked_links.insert((*b, *a));
                    self.pending_undo.push((at, UndoFault::BlockedLink(*b, *a)));
                }
            }
        }
    }

    /// Cuts one availability zone off from the others, with probability 0.5 from the
    /// platform too.
    fn partition(&mut self, fleet: &mut Fleet) {
        let zone = fleet.nodes[self.rng.random_range(0..fleet.nodes.len())]
            .zone
            .clone();
        let inside = |index: &usize| fleet.nodes[*index].zone == zone;
        let indices = 0..fleet.nodes.len();
        let (here, there): (Vec<usize>, Vec<usize>) = indices.partition(inside);
        if self.rng.random_bool(0.5) {
            let at = self.random_time(fleet, 2_000, 25_000);
            for node in &here {
                fleet.nodes[*node].is_platform_reachable = false;
                self.pending_undo.push((at, UndoFault::PlatformLink(*node)));
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

    fn degrade_server(&mut self, fleet: &mut Fleet) {
        let behaviors = [
            ServerBehavior::Overloaded,
            ServerBehavior::Slow,
            ServerBehavior::Unresponsive,
            ServerBehavior::AnswersLost,
            ServerBehavior::Draining,
        ];
        let server = self.rng.random_range(0..fleet.backends.len());
        fleet.backends[server].behavior = behaviors[self.rng.random_range(0..behaviors.len())];
        if self.rng.random_bool(0.3) {
            // The server restarts: it loses its feeds and notifies nobody.
            fleet.backends[server].feeds.clear();
        }
        let at = self.random_time(fleet, 1_000, 15_000);
        self.pending_undo
            .push((at, UndoFault::ServerBehavior(server)));
    }
}

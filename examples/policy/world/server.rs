//! Models of backend servers: slots, a queue, cold starts, feeds.

use std::collections::HashMap;
use std::collections::VecDeque;

use bytes::Bytes;
use godwitreel::document::State;
use godwitreel::id;
use godwitreel::request::Answer;
use godwitreel::request::Kind;
use godwitreel::request::Verdict;
use godwitreel::server::Server;
use rand::RngExt;

use crate::world::World;
use crate::world::endpoint;
use crate::world::event::What;
use crate::world::plan::Health;
use crate::world::plan::Plan;
use crate::world::server_zone;
use crate::world::service;

/// Time of a feed's registration at its server, in seconds.
const FEED_WORK: f64 = 0.001;

pub(super) struct Job {
    pub(super) home: usize,
    pub(super) attempt: id::Attempt,
    pub(super) number: u64,
    pub(super) deadline: f64,
}

/// A model of a backend server.
pub(crate) struct Model {
    pub(crate) up: bool,
    pub(crate) health: Health,
    /// Whether the address runs the listed service.
    pub(crate) ours: bool,
    pub(crate) slow: f64,
    /// Share of its answers that get lost.
    pub(crate) loss: f64,
    /// When it started cold.
    pub(crate) cold_since: Option<f64>,
    pub(super) life: u32,
    pub(super) busy: usize,
    pub(super) queue: VecDeque<Job>,
    pub(super) feeds: HashMap<(usize, id::Attempt), u64>,
}

impl Model {
    pub(crate) fn outstanding(&self) -> usize {
        self.busy + self.queue.len()
    }

    pub(crate) fn feeds(&self) -> usize {
        self.feeds.len()
    }

    /// Loses everything.
    pub(crate) fn stop(&mut self) {
        self.up = false;
        self.health = Health::Silent;
        self.life += 1;
        self.busy = 0;
        self.queue.clear();
        self.feeds.clear();
    }

    pub(crate) fn start(&mut self, now: f64) {
        self.up = true;
        self.health = Health::Up;
        self.cold_since = Some(now);
    }
}

impl World {
    pub(super) fn reply(
        &mut self,
        server: usize,
        home: usize,
        attempt: id::Attempt,
        answer: Answer,
    ) {
        if self.rng.random::<f64>() < self.models[server].loss {
            return;
        }
        let wait = self.hop(home, server_zone(&self.plan, server));
        self.after(
            wait,
            What::FromServer {
                home,
                server,
                attempt,
                answer,
            },
        );
    }

    pub(super) fn reach_server(&mut self, server: usize, job: Job) {
        let open = self.calls.get(&job.number).map(|call| call.kind) == Some(Kind::OpenFeed);
        let model = &mut self.models[server];
        if !model.up {
            return;
        }
        if !model.ours {
            self.measure.misdirected += 1;
            let answer = plain(Verdict::NotFound, false);
            self.reply(server, job.home, job.attempt, answer);
            return;
        }
        if model.health == Health::Draining {
            self.reply(
                server,
                job.home,
                job.attempt,
                plain(Verdict::Refused, false),
            );
            return;
        }
        if open {
            let (home, attempt, life) = (job.home, job.attempt, model.life);
            model.feeds.insert((home, attempt), job.number);
            self.reply(server, home, attempt, plain(Verdict::Handled, true));
            let wait = FEED_WORK + self.plan.notify_every * self.rng.random::<f64>();
            self.after(
                wait,
                What::Notify {
                    server,
                    life,
                    home,
                    attempt,
                },
            );
            return;
        }
        if model.queue.len() >= self.plan.shed {
            self.reply(
                server,
                job.home,
                job.attempt,
                plain(Verdict::Refused, false),
            );
            return;
        }
        model.queue.push_back(job);
        self.work(server);
    }

    pub(super) fn work(&mut self, server: usize) {
        while self.models[server].busy < self.plan.slots as usize {
            let Some(job) = self.models[server].queue.pop_front() else {
                return;
            };
            if self.plan.honours_deadline && self.now > job.deadline {
                continue;
            }
            if let Some(call) = self.calls.get_mut(&job.number) {
                call.runs += 1;
            }
            let draw = -self.rng.random::<f64>().max(1e-12).ln();
            let model = &mut self.models[server];
            model.busy += 1;
            let cold = model.cold_since.map_or(1.0, |since| {
                const COLD: f64 = 4.0;
                const WARM_UP: f64 = 5.0;
                1.0 + COLD * (-(self.now - since) / WARM_UP).exp()
            });
            let time = self.plan.service * draw * model.slow * cold;
            let life = model.life;
            self.after(time, What::Done { server, life, job });
        }
    }

    pub(super) fn done(&mut self, server: usize, life: u32, job: Job) {
        if self.models[server].life != life {
            return;
        }
        self.models[server].busy -= 1;
        self.reply(
            server,
            job.home,
            job.attempt,
            plain(Verdict::Handled, false),
        );
        self.work(server);
    }

    pub(super) fn notify(&mut self, server: usize, life: u32, home: usize, attempt: id::Attempt) {
        let model = &self.models[server];
        if model.life != life || !model.feeds.contains_key(&(home, attempt)) {
            return;
        }
        self.reply(server, home, attempt, plain(Verdict::Handled, true));
        let wait = self.plan.notify_every;
        self.after(
            wait,
            What::Notify {
                server,
                life,
                home,
                attempt,
            },
        );
    }
}

pub(super) fn plain(verdict: Verdict, feed: bool) -> Answer {
    Answer {
        verdict,
        keeps_feed_open: feed,
        has_more_blocks: false,
        retry_after: None,
        datagram: Bytes::from_static(b"answer"),
    }
}

pub(super) fn new_server(plan: &Plan, server: usize) -> Server {
    let name = format!("d{server:02}");
    let listed = godwitreel::document::Server {
        service: service(),
        zone: plan.zones[server_zone(plan, server)]
            .parse()
            .expect("a name"),
        address: endpoint(11, server as u64),
        health: endpoint(13, server as u64),
        slots: plan.slots,
        state: State::Up,
    };
    Server::new(name.parse().expect("a name"), &listed)
}

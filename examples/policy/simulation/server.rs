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

use crate::simulation::Simulation;
use crate::simulation::endpoint;
use crate::simulation::event::SimulationEvent;
use crate::simulation::plan::Health;
use crate::simulation::plan::Plan;
use crate::simulation::server_zone;
use crate::simulation::service;

/// Time that a server needs to register a feed, in seconds.
const FEED_REGISTRATION_TIME: f64 = 0.001;

pub(super) struct Job {
    pub(super) instance: usize,
    pub(super) attempt: id::Attempt,
    pub(super) number: u64,
    pub(super) deadline: f64,
}

/// A model of a backend server.
pub(crate) struct ServerModel {
    pub(crate) up: bool,
    pub(crate) health: Health,
    /// Whether the process at the address belongs to the listed service.
    pub(crate) runs_service: bool,
    /// Factor on the service time.
    pub(crate) slowdown: f64,
    /// Share of its answers that are lost.
    pub(crate) answer_loss: f64,
    /// Time of its cold start, if there was one.
    pub(crate) cold_since: Option<f64>,
    /// Counts the restarts; events that name an earlier run are dropped.
    pub(super) server_run: u32,
    pub(super) busy_slots: usize,
    pub(super) queue: VecDeque<Job>,
    pub(super) feeds: HashMap<(usize, id::Attempt), u64>,
}

impl ServerModel {
    pub(crate) fn outstanding(&self) -> usize {
        self.busy_slots + self.queue.len()
    }

    pub(crate) fn feeds(&self) -> usize {
        self.feeds.len()
    }

    /// Stops the server; its queue and its feeds are lost.
    pub(crate) fn stop(&mut self) {
        self.up = false;
        self.health = Health::Silent;
        self.server_run += 1;
        self.busy_slots = 0;
        self.queue.clear();
        self.feeds.clear();
    }

    pub(crate) fn start(&mut self, now: f64) {
        self.up = true;
        self.health = Health::Up;
        self.cold_since = Some(now);
    }
}

impl Simulation {
    pub(super) fn reply(
        &mut self,
        server: usize,
        instance: usize,
        attempt: id::Attempt,
        answer: Answer,
    ) {
        if self.rng.random::<f64>() < self.models[server].answer_loss {
            return;
        }
        let wait = self.one_way_delay(instance, server_zone(&self.plan, server));
        self.schedule_after(
            wait,
            SimulationEvent::AnswerAtInstance {
                instance,
                server,
                attempt,
                answer,
            },
        );
    }

    pub(super) fn receive_at_server(&mut self, server: usize, job: Job) {
        let opens_feed = self.calls.get(&job.number).map(|call| call.kind) == Some(Kind::OpenFeed);
        let model = &mut self.models[server];
        if !model.up {
            return;
        }
        if !model.runs_service {
            self.measure.misdirected += 1;
            let answer = new_answer(Verdict::NotFound, false);
            self.reply(server, job.instance, job.attempt, answer);
            return;
        }
        if model.health == Health::Draining {
            self.reply(
                server,
                job.instance,
                job.attempt,
                new_answer(Verdict::Refused, false),
            );
            return;
        }
        if opens_feed {
            let (instance, attempt, server_run) = (job.instance, job.attempt, model.server_run);
            model.feeds.insert((instance, attempt), job.number);
            self.reply(
                server,
                instance,
                attempt,
                new_answer(Verdict::Handled, true),
            );
            let wait =
                FEED_REGISTRATION_TIME + self.plan.notify_interval * self.rng.random::<f64>();
            self.schedule_after(
                wait,
                SimulationEvent::Notify {
                    server,
                    server_run,
                    instance,
                    attempt,
                },
            );
            return;
        }
        if model.queue.len() >= self.plan.shed_queue_len {
            self.reply(
                server,
                job.instance,
                job.attempt,
                new_answer(Verdict::Refused, false),
            );
            return;
        }
        model.queue.push_back(job);
        self.start_jobs(server);
    }

    pub(super) fn start_jobs(&mut self, server: usize) {
        while self.models[server].busy_slots < self.plan.slots as usize {
            let Some(job) = self.models[server].queue.pop_front() else {
                return;
            };
            if self.plan.honours_deadline && self.now > job.deadline {
                continue;
            }
            if let Some(call) = self.calls.get_mut(&job.number) {
                call.runs += 1;
            }
            let exponential = -self.rng.random::<f64>().max(1e-12).ln();
            let model = &mut self.models[server];
            model.busy_slots += 1;
            let cold = model.cold_since.map_or(1.0, |since| {
                const COLD_OVERHEAD: f64 = 4.0;
                const WARM_UP_SECONDS: f64 = 5.0;
                1.0 + COLD_OVERHEAD * (-(self.now - since) / WARM_UP_SECONDS).exp()
            });
            let duration = self.plan.service_time * exponential * model.slowdown * cold;
            let server_run = model.server_run;
            self.schedule_after(
                duration,
                SimulationEvent::JobFinished {
                    server,
                    server_run,
                    job,
                },
            );
        }
    }

    pub(super) fn finish_job(&mut self, server: usize, server_run: u32, job: Job) {
        if self.models[server].server_run != server_run {
            return;
        }
        self.models[server].busy_slots -= 1;
        self.reply(
            server,
            job.instance,
            job.attempt,
            new_answer(Verdict::Handled, false),
        );
        self.start_jobs(server);
    }

    pub(super) fn notify(
        &mut self,
        server: usize,
        server_run: u32,
        instance: usize,
        attempt: id::Attempt,
    ) {
        let model = &self.models[server];
        if model.server_run != server_run || !model.feeds.contains_key(&(instance, attempt)) {
            return;
        }
        self.reply(
            server,
            instance,
            attempt,
            new_answer(Verdict::Handled, true),
        );
        let wait = self.plan.notify_interval;
        self.schedule_after(
            wait,
            SimulationEvent::Notify {
                server,
                server_run,
                instance,
                attempt,
            },
        );
    }
}

pub(super) fn new_answer(verdict: Verdict, keeps_feed_open: bool) -> Answer {
    Answer {
        verdict,
        keeps_feed_open,
        has_more_blocks: false,
        retry_after: None,
        datagram: Bytes::from_static(b"answer"),
    }
}

pub(super) fn new_server(plan: &Plan, server: usize) -> Server {
    let name = format!("d{server:02}");
    let entry = godwitreel::document::Server {
        service: service(),
        zone: plan.zones[server_zone(plan, server)]
            .parse()
            .expect("a valid id"),
        address: endpoint(11, server as u64),
        health: endpoint(13, server as u64),
        slots: plan.slots,
        state: State::Up,
    };
    Server::new(name.parse().expect("a valid id"), &entry)
}

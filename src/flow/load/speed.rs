//! Relative speed of a server, learned from its response times.
//!
//! Load pattern: a third of a service's servers turn eight times slower, or are cold, while
//! their handshakes and entries look as before. Their requests take as long as the queues of
//! all instances there, and every instance opens flows at them until requests stall.
//!
//! Samples are response times relative to the usual one of their route, because the routes
//! of a service differ. A server is compared with the service's recent mean, so that servers
//! which all turn slow together keep equal shares. What was learned fades: a slow server gets
//! some openings again, and these show whether it has become fast.

use std::time::Duration;

use tokio::time::Instant;

/// Time in which a sample loses most of its weight against newer ones.
const SAMPLE_LIFE: Duration = Duration::from_secs(1);

/// Time in which the evidence fades while there are no new samples. With this value an
/// instance tries a server at an eighth of its speed again after about 5 s, and a recovered
/// one has its full share after as long; with 4 s it takes more than 12 s to return.
const EVIDENCE_LIFE: Duration = Duration::from_millis(1_500);

/// Samples of mean speed that are assumed, so that a single long request proves little.
const PRIOR: f64 = 1.0;

/// Weight below which evidence has faded.
const NEGLIGIBLE: f64 = 0.02;

const MIN_SPEED: f64 = 1.0 / 16.0;
/// A server that returns errors at once looks fast; this bounds what it can gain.
const MAX_SPEED: f64 = 1.5;

/// Factor up to which a speed above or below the mean counts as the mean. Response times
/// include the wait in the server's queue, which the load counts already.
const TOLERANCE: f64 = 1.3;

/// Largest response time of one sample, relative to the usual one.
const MAX_RATIO: f64 = 16.0;

/// Response time relative to the usual one below which an answer says nothing of the speed.
/// A full server rejects a request at once; counted as fast answers, rejections made the
/// servers that still processed requests look slow.
const MIN_RATIO: f64 = 0.25;

/// Age from which a request in progress is no evidence: it may count as stalled by then, a
/// full server may have reset it, or routers have moved its flow to another instance. At 2 s,
/// requests that were reset under overload left 12% of the slots idle.
const MAX_ELAPSED: Duration = Duration::from_millis(250);

/// Weight of a sample in the usual response time of a route.
const ROUTE_WEIGHT: f64 = 1.0 / 32.0;

/// Usual response time of a route, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usual {
    samples: u32,
    seconds: f64,
}

impl Usual {
    /// Adds a response time. A short one lowers the usual time by a bounded amount, so that
    /// requests which have become shorter are learned and rejections distort little.
    pub(crate) fn sample(&mut self, duration: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = ROUTE_WEIGHT.max(1.0 / f64::from(self.samples));
        let seconds = duration.as_secs_f64().max(self.seconds * MIN_RATIO);
        self.seconds += (seconds - self.seconds) * weight;
    }

    /// Response time of an answer relative to the usual one; `None` before the first sample,
    /// and for answers that say nothing of the speed.
    pub(crate) fn answer_ratio(&self, duration: Duration) -> Option<f64> {
        self.ratio(duration).filter(|ratio| *ratio >= MIN_RATIO)
    }

    /// A time relative to the usual response time; `None` before the first sample.
    fn ratio(&self, duration: Duration) -> Option<f64> {
        let ratio = duration.as_secs_f64() / self.seconds;
        (self.samples > 0 && self.seconds > 0.0).then_some(ratio.min(MAX_RATIO))
    }
}

/// Decaying mean of relative response times.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    weight: f64,
    sum: f64,
    at: Option<Instant>,
}

impl Mean {
    pub(crate) fn sample(&mut self, now: Instant, ratio: f64) {
        let decay = self.decay(now, SAMPLE_LIFE);
        self.weight = self.weight * decay + 1.0;
        self.sum = self.sum * decay + ratio;
        self.at = Some(now);
    }

    fn decay(&self, now: Instant, life: Duration) -> f64 {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-age.div_duration_f64(life)).exp()
    }

    /// The mean; 1 before the first sample.
    pub(crate) fn get(&self) -> f64 {
        match self.weight > 0.0 {
            true => self.sum / self.weight,
            false => 1.0,
        }
    }
}

/// A request in progress and the usual response time of its route.
#[derive(Clone, Copy, Debug)]
struct Running {
    started: Instant,
    usual: Usual,
}

/// What is known of a server's speed.
#[derive(Debug, Default)]
pub(crate) struct Speed {
    answers: Mean,
    running: Vec<Running>,
}

impl Speed {
    pub(crate) fn begin(&mut self, started: Instant, usual: Usual) {
        self.running
            .retain(|running| started.saturating_duration_since(running.started) < MAX_ELAPSED);
        self.running.push(Running { started, usual });
    }

    /// Ends a request in progress. A request that was not answered gives no sample: its flow
    /// may have moved to another instance.
    pub(crate) fn end(&mut self, started: Instant) {
        let mut running = self.running.iter();
        if let Some(index) = running.position(|running| running.started == started) {
            self.running.swap_remove(index);
        }
    }

    pub(crate) fn sample(&mut self, now: Instant, ratio: f64) {
        self.answers.sample(now, ratio);
    }

    /// Speed relative to the service's mean; `None` without evidence.
    pub(crate) fn relative(&self, now: Instant, service: &Mean) -> Option<f64> {
        if self.running.is_empty() && self.answers.weight == 0.0 {
            return None;
        }
        let mean = service.get();
        let decay = self.answers.decay(now, EVIDENCE_LIFE);
        let (mut weight, mut sum) = (self.answers.weight * decay, self.answers.sum * decay);
        // The time so far of a request in progress is a lower bound of its response time.
        let elapsed = self.running.iter().filter_map(|running| {
            let elapsed = now.saturating_duration_since(running.started);
            let ratio = running.usual.ratio(elapsed)?;
            (elapsed < MAX_ELAPSED && ratio > mean).then_some(ratio)
        });
        for ratio in elapsed {
            weight += 1.0;
            sum += ratio;
        }
        if weight < NEGLIGIBLE || mean <= 0.0 {
            return None;
        }
        let own = (sum + PRIOR * mean) / (weight + PRIOR);
        Some(tolerate(mean / own).clamp(MIN_SPEED, MAX_SPEED))
    }
}

/// Moves a relative speed towards 1 by the tolerated factor.
fn tolerate(speed: f64) -> f64 {
    match speed < 1.0 {
        true => (speed * TOLERANCE).min(1.0),
        false => (speed / TOLERANCE).max(1.0),
    }
}

//! Worker threads: each runs one engine and carries out the engine's actions.

use std::collections::HashMap;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use crossbeam::channel::TrySendError;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use crate::action::Action;
use crate::action::Delivery;
use crate::action::TraceEvent;
use crate::codec;
use crate::engine::ATTEMPT_BITS;
use crate::engine::Engine;
use crate::engine::SERVER_SOCKETS;
use crate::error::Error;
use crate::error::Result;
use crate::event::Event;
use crate::id;
use crate::peer::link::Link;
use crate::table;

/// Capacity of a worker's input queue; further events are dropped, as on a network.
/// The queue's memory is allocated at the start, and a much longer queue would only
/// hold requests until their callers have repeated them.
const QUEUE_CAPACITY: usize = 16_384;

/// Longest time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Events handled between two checks of whether a tick is due.
const MAX_BATCH: usize = 256;

/// Input of a worker.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event.
    Event(Event),
    /// A backend server's answer. `server_socket` is the index of the socket that
    /// received it, and `acknowledge` the message number to acknowledge to the
    /// server.
    Answer {
        event: Event,
        from: id::Endpoint,
        server_socket: usize,
        acknowledge: Option<u16>,
    },
}

/// Report to the control task that a backup holds all records of a slice.
#[derive(Debug)]
pub(crate) struct SyncedBackup {
    pub(crate) slice: id::Slice,
    pub(crate) backup: id::Holder,
}

/// Callback that receives each event for metrics, logs and `explain`.
pub(crate) type Observe = Box<dyn Fn(Instant, &TraceEvent) + Send + Sync>;

/// Destinations of the workers' actions; shared by all workers.
///
/// Lock order: no other lock is acquired while `listeners` is held for a lookup.
pub(crate) struct Outputs {
    pub(crate) listeners: RwLock<HashMap<id::Service, Arc<UdpSocket>>>,
    pub(crate) server_sockets: Vec<UdpSocket>,
    pub(crate) link: Arc<Link>,
    pub(crate) synced_backups: UnboundedSender<SyncedBackup>,
    pub(crate) observe: Observe,
    pub(crate) next_message: AtomicUsize,
}

/// Load of a worker, as of its last tick.
#[derive(Debug, Default)]
pub(crate) struct WorkerLoad {
    pub(crate) in_progress: AtomicU64,
    pub(crate) feeds: AtomicU64,
    pub(crate) records: AtomicU64,
    pub(crate) parked: AtomicU64,
    pub(crate) dropped: AtomicU64,
}

/// The input queues of the workers, and their threads.
///
/// Lock order: no other lock is acquired while `threads` is held to take the handles out.
#[derive(Debug)]
pub(crate) struct WorkerPool {
    senders: Vec<Sender<Input>>,
    gauges: Arc<Vec<WorkerLoad>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
    closed: Arc<AtomicBool>,
    slices: u32,
    hash_key: u64,
}

impl WorkerPool {
    /// Starts one thread for each engine.
    pub(crate) fn start(
        engines: Vec<Engine>,
        outputs: &Arc<Outputs>,
        slices: u32,
        hash_key: u64,
    ) -> Result<Self> {
        let gauges: Vec<WorkerLoad> = engines.iter().map(|_| WorkerLoad::default()).collect();
        let gauges = Arc::new(gauges);
        let closed = Arc::new(AtomicBool::new(false));
        let mut senders = Vec::new();
        let mut threads = Vec::new();
        for (number, engine) in engines.into_iter().enumerate() {
            let (sender, receiver) = crossbeam::channel::bounded(QUEUE_CAPACITY);
            let outputs = Arc::clone(outputs);
            let gauges = Arc::clone(&gauges);
            let closed = Arc::clone(&closed);
            let run_worker = move || run(engine, &receiver, &outputs, &gauges[number], &closed);
            threads.push(spawn(number, run_worker)?);
            senders.push(sender);
        }
        Ok(Self {
            senders,
            gauges,
            threads: Mutex::new(threads),
            closed,
            slices,
            hash_key,
        })
    }

    /// Stops the workers; queued events that were not handled are dropped.
    ///
    /// Dropping the senders is not enough: as long as any clone of a sender exists,
    /// the engines would keep running and sending for an instance that has stopped.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Waits for the threads to end after [`WorkerPool::close`].
    pub(crate) fn join(&self) {
        let threads = self
            .threads
            .lock()
            .map(|mut threads| std::mem::take(&mut *threads));
        for thread in threads.unwrap_or_default() {
            let _ = thread.join();
        }
    }

    /// The slice of a flow.
    pub(crate) fn slice(&self, flow: &crate::request::Flow) -> id::Slice {
        table::slice(self.slices, self.hash_key, flow)
    }

    /// Queues an event for the worker that owns the slice; drops it if the queue is
    /// full.
    pub(crate) fn enqueue(&self, slice: id::Slice, event: Event) {
        let worker = slice.0 as usize % self.senders.len();
        self.push(worker, Input::Event(event));
    }

    /// Queues a command of the control task for the worker that owns the slice;
    /// waits for room, since a lost command would leave the slice without a backup.
    pub(crate) fn enqueue_blocking(&self, slice: id::Slice, event: Event) {
        let worker = slice.0 as usize % self.senders.len();
        let _ = self.senders[worker].send(Input::Event(event));
    }

    /// Queues a server's answer for the worker whose attempt it answers; returns
    /// whether there is such a worker.
    pub(crate) fn enqueue_answer(&self, attempt: id::Attempt, input: Input) -> bool {
        let worker = (attempt.0 >> ATTEMPT_BITS) as usize;
        let known = worker < self.senders.len();
        if known {
            self.push(worker, input);
        }
        known
    }

    /// Queues an event for all workers; waits for room, since every worker must get
    /// it.
    pub(crate) fn broadcast(&self, event: &Event) {
        for sender in &self.senders {
            let _ = sender.send(Input::Event(event.clone()));
        }
    }

    fn push(&self, worker: usize, input: Input) {
        if let Err(TrySendError::Full(_)) = self.senders[worker].try_send(input) {
            self.gauges[worker].dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sum of a value over all workers.
    pub(crate) fn sum(&self, value: impl Fn(&WorkerLoad) -> &AtomicU64) -> u64 {
        let values = self.gauges.iter();
        values
            .map(|gauge| value(gauge).load(Ordering::Relaxed))
            .sum()
    }
}

fn spawn(number: usize, run_worker: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    let builder = thread::Builder::new().name(format!("worker-{number}"));
    builder.spawn(run_worker).map_err(|source| Error::Io {
        step: "start worker",
        peer: "system".to_owned(),
        source,
    })
}

fn run(
    mut engine: Engine,
    receiver: &Receiver<Input>,
    outputs: &Outputs,
    gauge: &WorkerLoad,
    closed: &AtomicBool,
) {
    let mut last_tick = Instant::now();
    while !closed.load(Ordering::Relaxed) {
        match receiver.recv_timeout(TICK_INTERVAL) {
            Ok(input) => handle_input(&mut engine, input, outputs),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for input in receiver.try_iter().take(MAX_BATCH) {
            handle_input(&mut engine, input, outputs);
        }
        let now = Instant::now();
        if now >= last_tick + TICK_INTERVAL {
            last_tick = now;
            carry_out_all(now, engine.handle(now, Event::Tick), outputs);
            let in_progress = engine.in_progress() as u64;
            gauge.in_progress.store(in_progress, Ordering::Relaxed);
            gauge.feeds.store(engine.feeds() as u64, Ordering::Relaxed);
            gauge
                .parked
                .store(engine.parked() as u64, Ordering::Relaxed);
            gauge
                .records
                .store(engine.records() as u64, Ordering::Relaxed);
        }
    }
}

fn handle_input(engine: &mut Engine, input: Input, outputs: &Outputs) {
    let now = Instant::now();
    match input {
        Input::Event(event) => carry_out_all(now, engine.handle(now, event), outputs),
        Input::Answer {
            event,
            from,
            server_socket,
            acknowledge,
        } => {
            let actions = engine.handle(now, event);
            let rejected = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
            if let Some(message) = acknowledge.filter(|_| !rejected) {
                let receipt = codec::write_server_acknowledgement(message);
                let _ = outputs.server_sockets[server_socket].send_to(&receipt, from.0);
            }
            carry_out_all(now, actions, outputs);
        }
    }
}

fn carry_out_all(now: Instant, actions: Vec<Action>, outputs: &Outputs) {
    for action in actions {
        // A datagram that cannot be encoded or sent is treated like one lost on the
        // network.
        let _ = carry_out(now, action, outputs);
    }
}

fn carry_out(now: Instant, action: Action, outputs: &Outputs) -> Result<()> {
    match action {
        Action::Forward {
            server,
            attempt,
            service,
            remaining,
            datagram,
        } => {
            let message = next_message_number(outputs);
            let bytes = codec::write_forward(&datagram, &service, attempt, message, remaining)?;
            let _ = socket_for(outputs, attempt).send_to(&bytes, server.address.0);
        }
        Action::Reject {
            to,
            attempt,
            datagram,
        } => {
            if let Some(message) = codec::message_number(&datagram) {
                let bytes = codec::write_rejection(message);
                let _ = socket_for(outputs, attempt).send_to(&bytes, to.0);
            }
        }
        Action::Answer {
            flow,
            id,
            token,
            confirmable,
            delivery,
            sequence,
            outcome,
        } => {
            let header = codec::AnswerHeader {
                id,
                token,
                confirmable,
                separate: match delivery {
                    Delivery::Direct => None,
                    Delivery::Separate { message } => Some(message),
                },
                message: next_message_number(outputs),
                sequence,
            };
            let bytes = codec::write_answer(&header, &outcome)?;
            outputs.send_to_caller(&flow, &bytes);
        }
        Action::Acknowledge { flow, id } => {
            outputs.send_to_caller(&flow, &codec::write_acknowledgement(id));
        }
        Action::Notify {
            flow,
            token,
            message,
            sequence,
            confirmable,
            datagram,
        } => {
            let datagram = datagram.as_ref();
            let bytes = codec::write_notification(token, message, sequence, confirmable, datagram)?;
            outputs.send_to_caller(&flow, &bytes);
        }
        Action::Peer { to, body } => outputs.link.send(&to, body),
        Action::BackupSynced { slice, backup } => {
            let _ = outputs.synced_backups.send(SyncedBackup { slice, backup });
        }
        Action::TraceEvent(event) => (outputs.observe)(now, &event),
    }
    Ok(())
}

impl Outputs {
    fn send_to_caller(&self, flow: &crate::request::Flow, bytes: &[u8]) {
        let listener = self.listeners.read().ok();
        let listener = listener.and_then(|listeners| listeners.get(&flow.service).map(Arc::clone));
        if let Some(listener) = listener {
            let _ = listener.send_to(bytes, flow.caller.0);
        }
    }
}

fn next_message_number(outputs: &Outputs) -> u16 {
    outputs.next_message.fetch_add(1, Ordering::Relaxed) as u16
}

fn socket_for(outputs: &Outputs, attempt: id::Attempt) -> &UdpSocket {
    &outputs.server_sockets[(attempt.0 % SERVER_SOCKETS) as usize]
}

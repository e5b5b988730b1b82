//! One instance's decisions about packets.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::flow::Directory;
use crate::flow::Drop;
use crate::flow::Note;
use crate::flow::Pair;
use crate::flow::RoundTrip;
use crate::flow::Routes;
use crate::flow::Segment;
use crate::flow::Server;
use crate::flow::Target;
use crate::flow::Timing;
use crate::flow::choice;
use crate::flow::choice::Choice;
use crate::flow::choice::Question;
use crate::flow::directory::Slot;
use crate::flow::table::Expiry;
use crate::flow::table::Flow;
use crate::flow::table::Opening;
use crate::flow::table::Phase;
use crate::flow::table::Progress;
use crate::flow::table::Table;
use crate::id;

/// Servers that get one opening packet at most, the first included.
///
/// Each further one costs a connection; three dead servers in a row in one
/// zone are more than a zone's loss leaves.
const MOST_TRIES: usize = 3;

/// Least time between an opening packet and its copy that shows silence.
///
/// Callers send copies 200 ms apart. Two that are closer stood in the socket's
/// buffer while this process did not run, and prove nothing about the server.
const COPY_GAP: Duration = Duration::from_millis(150);

/// Least time between a packet and its repeat, by which silence is judged.
const REPEAT_GAP: Duration = Duration::from_millis(150);

/// Repeats of the same bytes that count as the server's silence. One may be a
/// lost packet, two in a row hardly.
const SILENT_REPEATS: u32 = 2;

/// Lateness of a deadline that shows that this process stood still, and not the
/// server: an answer may wait in the socket's buffer.
const STALL: Duration = Duration::from_millis(20);

/// Time between two looks for flows and servers to forget.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Notes kept until they are taken; more are counted only.
const MOST_NOTES: usize = 512;

/// What the decisions depend on.
#[derive(Clone, Debug)]
pub struct Options {
    /// This instance's availability zone.
    pub zone: id::Zone,
    /// Requests a slot by which a server of another zone must be less loaded
    /// than this zone's to get a new flow.
    pub spill: f64,
    /// Longest life of a flow.
    pub flow_ttl: Duration,
    /// Silence after which a flow is forgotten while no configuration says.
    pub idle_timeout: Duration,
    /// Flows remembered at most.
    pub max_flows: usize,
    /// Seed of the choices.
    pub seed: u64,
}

/// Something learned from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Belief {
    /// All servers there are.
    Servers {
        /// Their entries.
        listed: Vec<Server>,
        /// Servers whose entries could not be read; they stay as they are.
        unreadable: Vec<id::Server>,
    },
    /// One server's entry was written.
    Server(Server),
    /// One server's entry is gone.
    Gone(id::Server),
    /// A configuration.
    Routes(Routes),
    /// Instances that share this zone's callers, this one included.
    Neighbours(usize),
    /// Whether the store answers.
    Contact(bool),
}

/// What is to be done with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on, with the target's tag.
    Forward(Target),
    /// Reset the flow.
    Reset,
    /// Nothing.
    Drop(Drop),
}

/// An opening packet that goes to a further server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resend {
    /// The packet as it came.
    pub packet: Vec<u8>,
    /// The server.
    pub target: Target,
}

/// State of the decisions.
#[derive(Debug)]
pub struct Plane {
    options: Options,
    directory: Directory,
    routes: Option<Routes>,
    has_servers: bool,
    /// Instances that share this zone's callers, this one included.
    neighbours: usize,
    table: Table,
    /// When handshakes are due, earliest first; ones that are over stay until then.
    due: BinaryHeap<Reverse<(Instant, Pair)>>,
    /// New flows of the last moments, oldest first.
    openings: VecDeque<(Instant, Pair)>,
    round_trip: RoundTrip,
    /// When a packet of an open flow last came.
    heard: Option<Instant>,
    swept: Option<Instant>,
    random: SmallRng,
    notes: Vec<Note>,
    timings: Vec<Timing>,
    /// Notes that found no room since they were last taken.
    omitted: u64,
}

impl Plane {
    /// A plane that knows nothing yet.
    pub fn new(options: Options) -> Self {
        Self {
            directory: Directory::new(options.flow_ttl),
            routes: None,
            has_servers: false,
            neighbours: 1,
            table: Table::new(options.max_flows),
            due: BinaryHeap::new(),
            openings: VecDeque::new(),
            round_trip: RoundTrip::default(),
            heard: None,
            swept: None,
            random: SmallRng::seed_from_u64(options.seed),
            notes: Vec::new(),
            timings: Vec::new(),
            omitted: 0,
            options,
        }
    }

    /// Takes in what the store says. `false` when it is older than what is known.
    pub fn learn(&mut self, now: Instant, belief: Belief) -> bool {
        match belief {
            Belief::Servers { listed, unreadable } => {
                self.has_servers = true;
                self.directory.replace(now, listed, unreadable);
            }
            Belief::Server(server) => self.directory.put(now, server),
            Belief::Gone(server) => self.directory.remove(now, &server),
            Belief::Routes(routes) => return self.configure(routes),
            Belief::Neighbours(count) => self.neighbours = count.max(1),
            Belief::Contact(is_answering) => self.directory.contact(now, is_answering),
        }
        true
    }

    /// A configuration that is no newer is refused: going back, if only for a
    /// moment, would send new flows by routes that the operators have withdrawn.
    fn configure(&mut self, routes: Routes) -> bool {
        let known = self.routes.as_ref().map(|routes| routes.version);
        let is_newer = known.is_none_or(|known| routes.version > known);
        if is_newer {
            self.routes = Some(routes);
        }
        is_newer
    }

    /// Changes the margin of servers in other zones.
    pub fn set_spill(&mut self, spill: f64) {
        self.options.spill = spill;
    }

    /// Whether enough is known to serve callers.
    pub fn is_ready(&self) -> bool {
        self.has_servers && self.routes.is_some()
    }

    /// Version of the configuration, 0 before the first.
    pub fn version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// The servers known.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Flows remembered.
    pub fn flows(&self) -> usize {
        self.table.flows.len()
    }

    /// How handshakes go.
    pub fn round_trip(&self) -> RoundTrip {
        self.round_trip
    }

    /// Takes the notes since the last time, and how many found no room.
    pub fn take_notes(&mut self) -> (Vec<Note>, u64) {
        let omitted = std::mem::take(&mut self.omitted);
        (std::mem::take(&mut self.notes), omitted)
    }

    /// Takes the times measured since the last time.
    pub fn take_timings(&mut self) -> Vec<Timing> {
        std::mem::take(&mut self.timings)
    }

    fn note(&mut self, note: Note) {
        if self.notes.len() < MOST_NOTES {
            self.notes.push(note);
        } else {
            self.omitted += 1;
        }
    }

    /// Decides about a packet; `packet` is what to send again if it opens a flow.
    pub fn receive(&mut self, now: Instant, segment: &Segment, packet: &[u8]) -> Verdict {
        let verdict = if segment.opens() {
            self.receive_opening(now, segment, packet)
        } else if segment.flags.syn {
            Verdict::Drop(Drop::ServerSide)
        } else {
            self.receive_later(now, segment)
        };
        if let Verdict::Drop(reason) = verdict {
            let pair = segment.pair;
            self.note(Note::Dropped { pair, reason });
        }
        verdict
    }

    fn receive_opening(&mut self, now: Instant, segment: &Segment, packet: &[u8]) -> Verdict {
        let known = self.table.flows.get(&segment.pair);
        let is_copy = known.is_some_and(|flow| flow.first_seq == Some(segment.seq));
        if is_copy {
            return self.receive_copy(now, segment.pair);
        }
        self.close(segment.pair);
        let Some(routes) = &self.routes else {
            return Verdict::Drop(Drop::NoView);
        };
        let version = routes.version;
        let Some(route) = routes.by_address.get(&segment.pair.service) else {
            return self.refuse(segment.pair, false, version);
        };
        let Some(service) = route.service(&segment.pair).cloned() else {
            return Verdict::Drop(Drop::NoWeight);
        };
        let refusing = self.abandoned(now, &segment.pair);
        let choice = self
            .choose(now, &service, &refusing)
            .or_else(|| self.choose(now, &service, &[]));
        match choice {
            Some(choice) => self.place(now, segment, packet, choice),
            None if self.has_servers => self.refuse(segment.pair, true, version),
            None => Verdict::Drop(Drop::NoView),
        }
    }

    /// Servers that a caller's earlier flows were opened at and that it has left.
    ///
    /// A server whose process is gone resets a flow at once. The caller tries
    /// again from another port a round trip later, and the server, which is never
    /// busy, would be chosen again: all tries of a request can end there within
    /// 30 ms. An opening of the same caller that is still unanswered after a round
    /// trip shows this; where it only comes from another of the caller's users,
    /// the new flow merely goes to another server.
    fn abandoned(&mut self, now: Instant, pair: &Pair) -> Vec<Slot> {
        let usual = self.round_trip.usual();
        self.openings.retain(|(at, _)| now < *at + COPY_GAP);
        let is_earlier = |other: &Pair| {
            other.caller.ip() == pair.caller.ip() && other.service == pair.service && other != pair
        };
        let earlier: Vec<Pair> = self
            .openings
            .iter()
            .filter(|(_, other)| is_earlier(other))
            .map(|(_, other)| *other)
            .collect();
        let mut refusing = Vec::new();
        for pair in earlier {
            let Some(flow) = self.table.flows.get(&pair) else {
                continue;
            };
            let Phase::Opening(opening) = &flow.phase else {
                continue;
            };
            let sent = opening.sent;
            if now < sent + usual {
                continue;
            }
            let server = flow.server;
            refusing.extend(opening.tried.iter().copied());
            self.begin_closing(pair);
            self.count_miss(server, sent, now);
        }
        refusing
    }

    fn refuse(&mut self, pair: Pair, has_route: bool, version: u64) -> Verdict {
        self.note(Note::Refused {
            pair,
            has_route,
            version,
        });
        Verdict::Reset
    }

    fn choose(&mut self, now: Instant, service: &id::Service, tried: &[Slot]) -> Option<Choice> {
        let question = Question {
            service,
            zone: &self.options.zone,
            tried,
            spill: self.options.spill,
            neighbours: self.neighbours,
            now,
        };
        choice::choose(&self.directory, &question, &mut self.random)
    }

    fn place(&mut self, now: Instant, segment: &Segment, packet: &[u8], choice: Choice) -> Verdict {
        let Some(record) = self.directory.get(choice.slot) else {
            return Verdict::Drop(Drop::NoView);
        };
        let target = record.target();
        let note = Note::Placed {
            pair: segment.pair,
            server: record.server.id.clone(),
            is_remote: record.server.zone != self.options.zone,
            outstanding: record.outstanding,
            candidates: choice.candidates,
            version: self.version(),
        };
        self.note(note);
        if self.table.has_room() {
            let due = now + self.round_trip.wait();
            let opening = Opening {
                tried: vec![choice.slot],
                sent: now,
                due,
                packet: packet.to_vec(),
            };
            let flow = Flow::opening(segment, opening, now);
            self.table.flows.insert(segment.pair, flow);
            self.count_flow(choice.slot);
            self.due.push(Reverse((due, segment.pair)));
            self.openings.push_back((now, segment.pair));
        }
        Verdict::Forward(target)
    }

    /// A copy shows that the caller has heard nothing: a server that had time
    /// to answer is passed over.
    fn receive_copy(&mut self, now: Instant, pair: Pair) -> Verdict {
        let Some(flow) = self.table.flows.get_mut(&pair) else {
            return Verdict::Drop(Drop::UnknownTag);
        };
        flow.seen = now;
        let server = flow.server;
        let is_silent = match &flow.phase {
            Phase::Opening(opening) => now >= opening.sent + COPY_GAP,
            Phase::Open | Phase::Closing => false,
        };
        if is_silent && let Some(resend) = self.reopen(now, pair) {
            return Verdict::Forward(resend.target);
        }
        match self.directory.get(server) {
            Some(record) => Verdict::Forward(record.target()),
            None => Verdict::Drop(Drop::UnknownTag),
        }
    }

    /// When [`Plane::expire`] has something to do next.
    pub fn next_due(&self) -> Option<Instant> {
        self.due.peek().map(|Reverse((due, _))| *due)
    }

    /// Sends opening packets whose servers are silent to further servers, and
    /// forgets what is over. Packets that wait in the socket must be handed to
    /// [`Plane::receive`] first: the answers may be among them.
    pub fn expire(&mut self, now: Instant) -> Vec<Resend> {
        let mut resends = Vec::new();
        while let Some(Reverse((due, pair))) = self.due.peek().copied()
            && due <= now
        {
            self.due.pop();
            if !self.is_still_opening(&pair, due) {
                continue;
            }
            if now > due + STALL || !self.has_heard_since_opening(&pair) {
                self.postpone(now, pair);
                continue;
            }
            resends.extend(self.reopen(now, pair));
        }
        self.sweep(now);
        resends
    }

    fn is_still_opening(&self, pair: &Pair, due: Instant) -> bool {
        let flow = self.table.flows.get(pair);
        flow.is_some_and(|flow| match &flow.phase {
            Phase::Opening(opening) => opening.due == due,
            Phase::Open | Phase::Closing => false,
        })
    }

    /// Whether any open flow's packet has come since this one's opening packet.
    ///
    /// When routers turn to other instances, no caller's next packet comes here.
    /// Without this, an instance that starts suspects all servers in its first
    /// second and opens flows at several of them.
    fn has_heard_since_opening(&self, pair: &Pair) -> bool {
        let Some(Flow {
            phase: Phase::Opening(opening),
            ..
        }) = self.table.flows.get(pair)
        else {
            return false;
        };
        self.heard.is_some_and(|heard| heard >= opening.sent)
    }

    fn postpone(&mut self, now: Instant, pair: Pair) {
        let wait = self.round_trip.wait();
        let Some(flow) = self.table.flows.get_mut(&pair) else {
            return;
        };
        if let Phase::Opening(opening) = &mut flow.phase {
            opening.due = now + wait;
            self.due.push(Reverse((opening.due, pair)));
        }
    }

    /// Takes the last server of an opening flow for silent and picks another.
    fn reopen(&mut self, now: Instant, pair: Pair) -> Option<Resend> {
        let flow = self.table.flows.get(&pair)?;
        let Phase::Opening(opening) = &flow.phase else {
            return None;
        };
        let sent = opening.sent;
        let tried = opening.tried.clone();
        let packet = opening.packet.clone();
        let silent = flow.server;
        self.count_miss(silent, sent, now);
        let service = self.directory.get(silent)?.server.service.clone();
        let choice = match tried.len() < MOST_TRIES {
            true => self.choose(now, &service, &tried),
            false => None,
        };
        let chosen = choice.and_then(|choice| self.directory.get(choice.slot));
        let note = Note::Reopened {
            pair,
            silent: self.directory.get(silent)?.server.id.clone(),
            server: chosen.map(|record| record.server.id.clone()),
            waited_ms: (now - sent).as_millis() as u64,
        };
        let target = chosen.map(|record| record.target());
        self.note(note);
        let slot = choice?.slot;
        self.move_flow(pair, slot);
        let due = now + self.round_trip.wait();
        let flow = self.table.flows.get_mut(&pair)?;
        if let Phase::Opening(opening) = &mut flow.phase {
            opening.tried.push(slot);
            opening.sent = now;
            opening.due = due;
            self.due.push(Reverse((due, pair)));
        }
        target.map(|target| Resend { packet, target })
    }

    fn count_miss(&mut self, slot: Slot, since: Instant, now: Instant) {
        let Some(record) = self.directory.get_mut(slot) else {
            return;
        };
        if record.evidence.missed(since, now) {
            let note = Note::Suspected {
                server: record.server.id.clone(),
                misses: record.evidence.misses(),
            };
            self.note(note);
        }
    }

    fn count_answer(&mut self, slot: Slot, now: Instant) {
        let Some(record) = self.directory.get_mut(slot) else {
            return;
        };
        if record.evidence.answered(now) {
            let server = record.server.id.clone();
            self.note(Note::Cleared { server });
        }
    }

    fn count_flow(&mut self, slot: Slot) {
        if let Some(record) = self.directory.get_mut(slot) {
            record.flows += 1;
        }
    }

    /// Takes a flow's share of a server's load away.
    fn uncount_flow(&mut self, slot: Slot, is_asked: bool) {
        if let Some(record) = self.directory.get_mut(slot) {
            record.flows = record.flows.saturating_sub(1);
            record.outstanding = record.outstanding.saturating_sub(u32::from(is_asked));
        }
    }

    /// Counts a flow at another server.
    fn move_flow(&mut self, pair: Pair, to: Slot) {
        let Some(flow) = self.table.flows.get_mut(&pair) else {
            return;
        };
        let from = std::mem::replace(&mut flow.server, to);
        let is_asked = flow.asked.is_some();
        if from == to {
            return;
        }
        self.uncount_flow(from, is_asked);
        if let Some(record) = self.directory.get_mut(to) {
            record.flows += 1;
            record.outstanding += u32::from(is_asked);
        }
    }

    fn close(&mut self, pair: Pair) {
        if let Some(flow) = self.table.flows.remove(&pair) {
            self.release(&flow);
        }
    }

    /// A flow that is closing has given its share back already.
    fn release(&mut self, flow: &Flow) {
        if !matches!(flow.phase, Phase::Closing) {
            self.uncount_flow(flow.server, flow.asked.is_some());
        }
    }

    fn receive_later(&mut self, now: Instant, segment: &Segment) -> Verdict {
        self.heard = Some(now);
        let tagged = self.directory.by_tag(segment.tag);
        if !self.table.flows.contains_key(&segment.pair) {
            let Some(slot) = tagged else {
                return Verdict::Drop(Drop::UnknownTag);
            };
            self.adopt(now, segment, slot);
        }
        let slot = self.settle_server(now, segment, tagged);
        let progress = self.advance(now, segment);
        let Some(slot) = slot.or(tagged) else {
            return Verdict::Drop(Drop::UnknownTag);
        };
        if segment.len > 0 && self.is_released(now, segment, slot) {
            return Verdict::Reset;
        }
        if progress.repeats >= SILENT_REPEATS {
            self.count_miss(slot, now - REPEAT_GAP, now);
        }
        match self.directory.get(slot) {
            Some(record) => Verdict::Forward(record.target()),
            None => Verdict::Drop(Drop::UnknownTag),
        }
    }

    fn adopt(&mut self, now: Instant, segment: &Segment, slot: Slot) {
        if self.table.has_room() && !segment.flags.fin && !segment.flags.rst {
            let flow = Flow::adopted(segment, slot, now);
            self.table.flows.insert(segment.pair, flow);
            self.count_flow(slot);
        }
    }

    /// The server that a remembered flow's packet goes to.
    ///
    /// The tag leads there, as at every other instance. Only where several
    /// servers got the opening packet, the one whose answer the caller took
    /// first is kept: another one's later answer replaces the tag that the
    /// caller repeats, and that server would reset a flow that it never had.
    fn settle_server(
        &mut self,
        now: Instant,
        segment: &Segment,
        tagged: Option<Slot>,
    ) -> Option<Slot> {
        let flow = self.table.flows.get(&segment.pair)?;
        let Phase::Opening(opening) = &flow.phase else {
            let keeps = flow.is_pinned || tagged.is_none();
            let slot = if keeps { flow.server } else { tagged? };
            if matches!(flow.phase, Phase::Open) {
                self.move_flow(segment.pair, slot);
            }
            return Some(slot);
        };
        let is_first_try = opening.tried.len() == 1;
        let taken = now - opening.sent;
        let slot = tagged.unwrap_or(flow.server);
        self.move_flow(segment.pair, slot);
        let flow = self.table.flows.get_mut(&segment.pair)?;
        flow.open(slot, segment);
        if is_first_try {
            self.round_trip.sample(taken);
            self.timings.push(Timing::Handshake(taken));
        }
        if !segment.flags.rst {
            self.count_answer(slot, now);
        }
        Some(slot)
    }

    fn advance(&mut self, now: Instant, segment: &Segment) -> Progress {
        let Some(flow) = self.table.flows.get_mut(&segment.pair) else {
            return Progress::default();
        };
        let was_closing = matches!(flow.phase, Phase::Closing);
        let progress = flow.advance(segment, now);
        let server = flow.server;
        if progress.has_answered {
            self.count_answer(server, now);
        }
        if was_closing {
            return progress;
        }
        self.timings.extend(progress.took.map(Timing::Answer));
        if let Some(record) = self.directory.get_mut(server) {
            let ended = u32::from(progress.took.is_some());
            record.outstanding = record.outstanding.saturating_sub(ended);
            record.outstanding += u32::from(progress.has_begun);
        }
        if segment.flags.fin || segment.flags.rst {
            self.begin_closing(segment.pair);
        }
        progress
    }

    fn begin_closing(&mut self, pair: Pair) {
        let Some(flow) = self.table.flows.get_mut(&pair) else {
            return;
        };
        flow.phase = Phase::Closing;
        let server = flow.server;
        let is_asked = flow.asked.is_some();
        self.uncount_flow(server, is_asked);
    }

    /// Whether the flow's server is gone, so that a reset lets the caller try
    /// again now and not at its deadline.
    fn is_released(&mut self, now: Instant, segment: &Segment, slot: Slot) -> bool {
        let Some(missing) = self.directory.gone_since(slot, now) else {
            return false;
        };
        let Some(record) = self.directory.get(slot) else {
            return false;
        };
        let note = Note::Released {
            pair: segment.pair,
            server: record.server.id.clone(),
            missing_ms: (now - missing).as_millis() as u64,
        };
        self.note(note);
        self.close(segment.pair);
        true
    }

    fn sweep(&mut self, now: Instant) {
        if self.swept.is_some_and(|swept| now < swept + SWEEP_EVERY) {
            return;
        }
        self.swept = Some(now);
        let idle = self.routes.as_ref().map(|routes| routes.idle_timeout);
        let rules = Expiry {
            idle: idle.unwrap_or(self.options.idle_timeout),
            age: self.options.flow_ttl,
        };
        for flow in self.table.expire(now, &rules) {
            self.release(&flow);
        }
        self.directory.forget(now);
    }
}

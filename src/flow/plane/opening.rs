//! Handshakes: copies, silent servers, and callers that have left.

use std::cmp::Reverse;
use std::time::Duration;

use tokio::time::Instant;

use crate::flow::DataPlane;
use crate::flow::DropReason;
use crate::flow::FlowEvent;
use crate::flow::FlowKey;
use crate::flow::Resend;
use crate::flow::Target;
use crate::flow::Verdict;
use crate::flow::directory::Slot;
use crate::flow::table::Flow;
use crate::flow::table::Key;
use crate::flow::table::Phase;

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

/// Lateness of a deadline that shows that this process stood still, and not the
/// server: an answer may wait in the socket's buffer.
const STALL: Duration = Duration::from_millis(20);

impl DataPlane {
    /// A copy shows that the caller has heard nothing: a server that had time
    /// to answer is passed over.
    pub(super) fn receive_copy(&mut self, now: Instant, key: Key) -> Verdict {
        let Some(flow) = self.table.get_mut(key) else {
            return Verdict::Drop(DropReason::UnknownTag);
        };
        flow.seen = now;
        let server = flow.server;
        let (is_opening, is_silent) = match &flow.phase {
            Phase::Opening(opening) => (true, now >= opening.sent + COPY_GAP),
            Phase::Open | Phase::Closing => (false, false),
        };
        let record = self.directory.get(server);
        if is_opening && record.is_some_and(|record| record.is_evacuated) {
            return match self.leave_evacuated(now, key) {
                Some(target) => Verdict::Forward(target),
                // The server may have answered the first packet, so that a reset could
                // break a flow that is open.
                None => Verdict::Drop(DropReason::Evacuated),
            };
        }
        if is_silent && let Some(resend) = self.reopen(now, key) {
            return Verdict::Forward(resend.target);
        }
        match self.directory.get(server) {
            Some(record) => Verdict::Forward(record.target()),
            None => Verdict::Drop(DropReason::UnknownTag),
        }
    }

    /// When [`DataPlane::expire`] has something to do next.
    pub fn next_due(&self) -> Option<Instant> {
        let opening = self.due.peek().map(|Reverse((due, _))| *due);
        let request = self.watches.front().map(|watch| watch.due);
        opening.into_iter().chain(request).min()
    }

    /// Sends opening packets whose servers are silent to further servers, and
    /// forgets what is over. Packets that wait in the socket must be handed to
    /// [`DataPlane::receive`] first: the answers may be among them.
    pub fn expire(&mut self, now: Instant) -> Vec<Resend> {
        let mut resends = Vec::new();
        while let Some(Reverse((due, flow_key))) = self.due.peek().copied()
            && due <= now
        {
            self.due.pop();
            let Some(key) = self.still_opening(&flow_key, due) else {
                continue;
            };
            if now > due + STALL || !self.is_silence_told(key) {
                self.postpone(now, key);
                continue;
            }
            resends.extend(self.reopen(now, key));
        }
        self.find_stalls(now);
        self.sweep(now);
        resends
    }

    /// The flow, if its handshake still waits for this deadline.
    fn still_opening(&self, flow_key: &FlowKey, due: Instant) -> Option<Key> {
        let key = self.table.find(flow_key)?;
        let is_due = match &self.table.get(key)?.phase {
            Phase::Opening(opening) => opening.due == due,
            Phase::Open | Phase::Closing => false,
        };
        is_due.then_some(key)
    }

    /// Whether the caller's next packet, had its server answered, would have come here.
    ///
    /// When routers turn to other instances, no caller's next packet comes here, and
    /// where instances join one after the other, others' flows do. Without this, an
    /// instance that starts suspects all servers in its first second and opens flows
    /// at several of them. Where a server is silent all the same, the caller's own
    /// copy shows it, here or at the instance to which routers have turned, which
    /// places the flow anew.
    pub(super) fn is_silence_told(&self, key: Key) -> bool {
        let Some(Flow {
            phase: Phase::Opening(opening),
            ..
        }) = self.table.get(key)
        else {
            return false;
        };
        let has_heard = self.heard.is_some_and(|heard| heard >= opening.sent);
        let has_turned = self.turned.is_some_and(|turned| turned >= opening.sent);
        has_heard && !has_turned
    }

    /// Gives the server the same time again: its silence proves nothing yet.
    pub(super) fn postpone(&mut self, now: Instant, key: Key) {
        let wait = self.round_trip.wait();
        let Some(flow) = self.table.get_mut(key) else {
            return;
        };
        let flow_key = flow.flow_key;
        if let Phase::Opening(opening) = &mut flow.phase {
            opening.due = now + wait;
            self.due.push(Reverse((opening.due, flow_key)));
        }
    }

    /// Takes the last server of an opening flow for silent and picks another.
    pub(super) fn reopen(&mut self, now: Instant, key: Key) -> Option<Resend> {
        let flow = self.table.get(key)?;
        let flow_key = flow.flow_key;
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
        let note = FlowEvent::Reopened {
            flow_key,
            silent: self.directory.get(silent)?.server.id.clone(),
            server: chosen.map(|record| record.server.id.clone()),
            waited_ms: (now - sent).as_millis() as u64,
        };
        self.note(note);
        let target = self.open_at(now, key, choice?.slot)?;
        Some(Resend { packet, target })
    }

    /// Picks another server for an opening flow whose server's zone has been
    /// evacuated since its first packet came. Nothing speaks against the server.
    fn leave_evacuated(&mut self, now: Instant, key: Key) -> Option<Target> {
        let flow = self.table.get(key)?;
        let Phase::Opening(opening) = &flow.phase else {
            return None;
        };
        let flow_key = flow.flow_key;
        let tried = opening.tried.clone();
        let left = &self.directory.get(flow.server)?.server;
        let note = FlowEvent::Evacuated {
            flow_key,
            left: left.id.clone(),
        };
        let service = left.service.clone();
        let choice = self.choose(now, &service, &tried)?;
        self.note(note);
        self.open_at(now, key, choice.slot)
    }

    /// Counts an opening flow at a further server, which has some time to answer.
    fn open_at(&mut self, now: Instant, key: Key, slot: Slot) -> Option<Target> {
        let target = self.directory.get(slot)?.target();
        self.directory.take_share(slot, now);
        self.move_flow(key, slot);
        let due = now + self.round_trip.wait();
        let flow = self.table.get_mut(key)?;
        let flow_key = flow.flow_key;
        if let Phase::Opening(opening) = &mut flow.phase {
            opening.tried.push(slot);
            opening.sent = now;
            opening.due = due;
            self.due.push(Reverse((due, flow_key)));
        }
        Some(target)
    }

    /// Servers that a caller's earlier flows were opened at and that it has left.
    ///
    /// A server whose process is gone resets a flow at once. The caller tries
    /// again from another port a round trip later, and the server, which is never
    /// busy, would be chosen again: all tries of a request can end there within
    /// 30 ms. An opening of the same caller that is still unanswered after a round
    /// trip shows this; where it only comes from another of the caller's users,
    /// the new flow merely goes to another server.
    pub(super) fn abandoned(&mut self, now: Instant, flow_key: &FlowKey) -> Vec<Slot> {
        let usual = self.round_trip.usual();
        let is_old = |(at, _): &(Instant, FlowKey)| now >= *at + COPY_GAP;
        while self.openings.front().is_some_and(is_old) {
            self.openings.pop_front();
        }
        let is_earlier = |other: &FlowKey| {
            other.caller.ip() == flow_key.caller.ip()
                && other.service == flow_key.service
                && other != flow_key
        };
        let earlier: Vec<FlowKey> = self
            .openings
            .iter()
            .filter(|(_, other)| is_earlier(other))
            .map(|(_, other)| *other)
            .collect();
        let mut refusing = Vec::new();
        for flow_key in earlier {
            let Some(key) = self.table.find(&flow_key) else {
                continue;
            };
            let Some(flow) = self.table.get(key) else {
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
            self.begin_closing(key);
            self.count_miss(server, sent, now);
        }
        refusing
    }
}

//! Connects a bench of another kind to the decision core.
//!
//! The bench speaks JSON lines and calls callers and servers by name. Each line
//! is one event with its time; the answer is the list of actions, one line each.
//! The core keeps its opaque endpoints: names are mapped to them here alone.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use godwitreel::action::Action;
use godwitreel::action::Delivery;
use godwitreel::document;
use godwitreel::engine;
use godwitreel::engine::Engine;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::member::MembershipView;
use godwitreel::peer::PeerMessage;
use godwitreel::request;
use godwitreel::request::Flow;
use godwitreel::request::Outcome;
use godwitreel::request::Receipt;
use godwitreel::request::Verdict;
use godwitreel::server::Server;
use godwitreel::snapshot::Service;
use godwitreel::snapshot::Snapshot;
use godwitreel::table::Row;
use godwitreel::table::Table;
use godwitreel::wire::Envelope;
use prost::Message;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

/// Port of every endpoint that stands for a name.
const PORT: u16 = 5_683;

/// How long a server counts as confirmed after the bench said that it is up.
const CONFIRMED_FOR: Duration = Duration::from_secs(3_600);

#[derive(Deserialize)]
struct Line {
    at_ms: u64,
    #[serde(flatten)]
    input: Input,
}

#[derive(Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
enum Input {
    Snapshot {
        services: Vec<Choice>,
    },
    Health {
        server: id::Server,
        state: document::State,
    },
    Table {
        rows: Vec<Row>,
    },
    Members {
        live: Vec<id::Holder>,
        authority_ms: u64,
    },
    Request {
        caller: String,
        service: id::Service,
        id: u64,
        token: u64,
        kind: Kind,
        payload: String,
    },
    Receipt {
        caller: String,
        service: id::Service,
        message: u16,
        acknowledged: bool,
    },
    Answer {
        from: String,
        attempt: id::Attempt,
        #[serde(default)]
        refused: bool,
        #[serde(default)]
        feed: bool,
        payload: String,
    },
    Peer {
        from: id::Holder,
        frame: String,
    },
    Tick,
}

#[derive(Deserialize)]
struct Choice {
    name: id::Service,
    profile: document::Profile,
    servers: Vec<Listed>,
}

#[derive(Deserialize)]
struct Listed {
    name: id::Server,
    zone: id::Zone,
    slots: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    Idempotent,
    Once,
    Open,
    Close,
}

/// Endpoints that stand for the bench's names.
#[derive(Default)]
struct Names(BTreeMap<String, id::Endpoint>);

impl Names {
    fn endpoint(&mut self, name: &str) -> id::Endpoint {
        let next = u32::from(Ipv4Addr::new(10, 0, 0, 1)) + self.0.len() as u32;
        let address = (Ipv4Addr::from(next), PORT).into();
        *self
            .0
            .entry(name.to_owned())
            .or_insert(id::Endpoint(address))
    }

    fn name(&self, endpoint: id::Endpoint) -> &str {
        let known = self.0.iter().find(|(_, known)| **known == endpoint);
        known.map_or("", |(name, _)| name)
    }
}

/// One engine under the bench.
pub(crate) struct Adapter {
    engine: Engine,
    names: Names,
    servers: BTreeMap<id::Server, Arc<Server>>,
    start: Instant,
}

impl Adapter {
    /// An engine of this instance's life, with one worker.
    pub(crate) fn new(me: id::Holder, zone: id::Zone) -> Self {
        Self {
            engine: Engine::new(engine::Settings {
                me,
                zone,
                worker: 0,
                workers: 1,
                hash_key: 0,
                max_parked: 100,
                max_flows: 1_000,
                seed: 1,
            }),
            names: Names::default(),
            servers: BTreeMap::new(),
            start: Instant::now(),
        }
    }

    /// Takes one line and returns the actions that follow from it.
    pub(crate) fn take(&mut self, line: &str) -> Result<Vec<Value>, String> {
        let line: Line = serde_json::from_str(line).map_err(|error| error.to_string())?;
        let now = self.start + Duration::from_millis(line.at_ms);
        let Some(event) = self.event(now, line.input)? else {
            return Ok(Vec::new());
        };
        let actions = self.engine.handle(now, event);
        Ok(actions.iter().map(|action| self.action(action)).collect())
    }

    /// The event of a line; none if it concerns what servers and engine share.
    fn event(&mut self, now: Instant, input: Input) -> Result<Option<Event>, String> {
        Ok(Some(match input {
            Input::Snapshot { services } => Event::Snapshot(self.snapshot(services)),
            Input::Health { server, state } => {
                self.health(now, &server, state)?;
                return Ok(None);
            }
            Input::Table { rows } => Event::Table(Arc::new(table(rows))),
            Input::Members { live, authority_ms } => Event::Membership(Arc::new(MembershipView {
                live: live.into_iter().collect(),
                known: BTreeMap::new(),
                authority_until: Some(now + Duration::from_millis(authority_ms)),
            })),
            Input::Request {
                caller,
                service,
                id,
                token,
                kind,
                payload,
            } => Event::Request {
                request: request::Request {
                    flow: self.flow(&caller, service),
                    id: request::Id(id.into()),
                    token: request::Token(token.into()),
                    kind: kind.into(),
                    confirmable: true,
                    block: request::BodyBlock::default(),
                    datagram: payload.into(),
                },
                hops: 0,
            },
            Input::Receipt {
                caller,
                service,
                message,
                acknowledged,
            } => Event::Receipt {
                flow: self.flow(&caller, service),
                message,
                receipt: if acknowledged {
                    Receipt::Acknowledged
                } else {
                    Receipt::Rejected
                },
                hops: 0,
                datagram: Bytes::new(),
            },
            Input::Answer {
                from,
                attempt,
                refused,
                feed,
                payload,
            } => Event::Answer {
                from: self.names.endpoint(&from),
                attempt,
                answer: request::Answer {
                    verdict: if refused {
                        Verdict::Refused
                    } else {
                        Verdict::Handled
                    },
                    keeps_feed_open: feed,
                    has_more_blocks: false,
                    retry_after: None,
                    datagram: payload.into(),
                },
            },
            Input::Peer { from, frame } => Event::Peer {
                from,
                body: body(&frame)?,
            },
            Input::Tick => Event::Tick,
        }))
    }

    fn flow(&mut self, caller: &str, service: id::Service) -> Flow {
        let caller = self.names.endpoint(caller);
        Flow { service, caller }
    }

    fn snapshot(&mut self, choices: Vec<Choice>) -> Arc<Snapshot> {
        let services = choices.into_iter().map(|choice| {
            let listed = choice.servers.iter();
            let servers = listed.map(|listed| self.server(&choice.name, listed));
            let service = Service {
                id: choice.name.clone(),
                profile_id: "bench".parse().expect("a name"),
                revision: id::Revision(1),
                profile: Arc::new(choice.profile),
                servers: servers.collect(),
            };
            (choice.name.clone(), Arc::new(service))
        });
        Arc::new(Snapshot {
            services: services.collect(),
        })
    }

    fn server(&mut self, service: &id::Service, listed: &Listed) -> Arc<Server> {
        let document = document::Server {
            service: service.clone(),
            zone: listed.zone.clone(),
            address: self.names.endpoint(listed.name.as_str()),
            health: self.names.endpoint(&format!("{}/health", listed.name)),
            slots: listed.slots,
            state: document::State::Up,
        };
        let server = Server::new(listed.name.clone(), &document);
        let known = self.servers.entry(listed.name.clone());
        Arc::clone(known.or_insert(Arc::new(server)))
    }

    fn health(
        &self,
        now: Instant,
        server: &id::Server,
        state: document::State,
    ) -> Result<(), String> {
        let server = self.servers.get(server).ok_or("unknown server")?;
        server.state().draining = state == document::State::Leaving;
        server.confirm(now, CONFIRMED_FOR);
        Ok(())
    }

    fn action(&self, action: &Action) -> Value {
        match action {
            Action::Forward {
                server,
                attempt,
                service,
                remaining,
                datagram,
            } => json!({"action": "forward", "server": server.id, "service": service,
                "attempt": attempt, "remaining_ms": remaining.as_millis() as u64,
                "payload": text(datagram)}),
            Action::Reject { to, attempt, .. } => {
                json!({"action": "reject", "server": self.names.name(*to), "attempt": attempt})
            }
            Action::Answer {
                flow,
                id,
                token,
                delivery,
                sequence,
                outcome,
                ..
            } => json!({"action": "answer", "caller": self.names.name(flow.caller),
                "service": flow.service, "id": id.0 as u64, "token": token.0 as u64,
                "separate": matches!(delivery, Delivery::Separate { .. }),
                "sequence": sequence, "outcome": self::outcome(outcome)}),
            Action::Acknowledge { flow, id } => json!({"action": "acknowledge",
                "caller": self.names.name(flow.caller), "service": flow.service,
                "id": id.0 as u64}),
            Action::Notify {
                flow,
                token,
                message,
                sequence,
                datagram,
                ..
            } => json!({"action": "notify", "caller": self.names.name(flow.caller),
                "service": flow.service, "token": token.0 as u64, "message": message,
                "sequence": sequence, "payload": datagram.as_ref().map(text)}),
            Action::Peer { to, body } => json!({"action": "peer", "to": to,
                "kind": body.kind(), "frame": frame(body)}),
            Action::BackupSynced { slice, backup } => {
                json!({"action": "joined", "slice": slice, "backup": backup})
            }
            Action::TraceEvent(note) => json!({"action": "note", "reason": note.reason.code()}),
        }
    }
}

impl From<Kind> for request::Kind {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Idempotent => Self::Idempotent,
            Kind::Once => Self::NonIdempotent,
            Kind::Open => Self::OpenFeed,
            Kind::Close => Self::CloseFeed,
        }
    }
}

fn table(rows: Vec<Row>) -> Table {
    let mut table = Table::new(rows.len() as u32);
    for (slice, row) in rows.into_iter().enumerate() {
        table.update_if_newer(id::Slice(slice as u32), row);
    }
    table
}

fn outcome(outcome: &Outcome) -> Value {
    match outcome {
        Outcome::Answered(datagram) => json!({"answered": text(datagram)}),
        Outcome::NotRun { retry_after } => json!({"not_run": retry_after}),
        Outcome::Unknown => json!("unknown"),
    }
}

fn text(datagram: &Bytes) -> String {
    String::from_utf8_lossy(datagram).into_owned()
}

/// Peer messages stay opaque to the bench, which only carries them.
fn frame(body: &PeerMessage) -> String {
    let envelope = Envelope {
        body: Some(body.clone()),
        ..Envelope::default()
    };
    STANDARD.encode(envelope.encode_to_vec())
}

fn body(frame: &str) -> Result<PeerMessage, String> {
    let bytes = STANDARD.decode(frame).map_err(|error| error.to_string())?;
    let envelope = Envelope::decode(&*bytes).map_err(|error| error.to_string())?;
    envelope.body.ok_or("no message".to_owned())
}

//! Drives the decision engine from a test bench that speaks JSON lines.
//!
//! The bench identifies callers and servers by name. Each line is one event with its
//! time; the response is the list of resulting actions, one per line. The engine knows
//! only opaque endpoints; the mapping between names and endpoints is kept here.

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

/// Port of every endpoint that is assigned to a name.
const PORT: u16 = 5_683;

/// How long a server counts as confirmed after the bench reported its health.
const CONFIRMED_FOR: Duration = Duration::from_secs(3_600);

/// An event with its time, as the bench sends it.
#[derive(Deserialize)]
struct TimedInput {
    at_ms: u64,
    #[serde(flatten)]
    input: Input,
}

#[derive(Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
enum Input {
    Snapshot {
        services: Vec<ServiceInput>,
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
        kind: RequestKind,
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
struct ServiceInput {
    name: id::Service,
    profile: document::Profile,
    servers: Vec<ServerInput>,
}

#[derive(Deserialize)]
struct ServerInput {
    name: id::Server,
    zone: id::Zone,
    slots: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RequestKind {
    Idempotent,
    Once,
    Open,
    Close,
}

/// Endpoints by the name that the bench uses.
#[derive(Default)]
struct EndpointsByName(BTreeMap<String, id::Endpoint>);

impl EndpointsByName {
    /// The endpoint of a name; a new name gets the next free address.
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

/// One engine, driven by the bench.
pub(crate) struct Adapter {
    engine: Engine,
    endpoints: EndpointsByName,
    servers: BTreeMap<id::Server, Arc<Server>>,
    start: Instant,
}

impl Adapter {
    /// Creates an engine with one worker for the instance `me`.
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
            endpoints: EndpointsByName::default(),
            servers: BTreeMap::new(),
            start: Instant::now(),
        }
    }

    /// Handles one line and returns the resulting actions.
    pub(crate) fn handle_line(&mut self, line: &str) -> Result<Vec<Value>, String> {
        let line: TimedInput = serde_json::from_str(line).map_err(|error| error.to_string())?;
        let now = self.start + Duration::from_millis(line.at_ms);
        let Some(event) = self.event(now, line.input)? else {
            return Ok(Vec::new());
        };
        let actions = self.engine.handle(now, event);
        Ok(actions.iter().map(|action| self.action(action)).collect())
    }

    /// The engine event of an input; `None` for health, which goes directly into the
    /// server state that the engine shares.
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
                from: self.endpoints.endpoint(&from),
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
        let caller = self.endpoints.endpoint(caller);
        Flow { service, caller }
    }

    fn snapshot(&mut self, inputs: Vec<ServiceInput>) -> Arc<Snapshot> {
        let services = inputs.into_iter().map(|input| {
            let server_inputs = input.servers.iter();
            let servers = server_inputs.map(|server| self.server(&input.name, server));
            let service = Service {
                id: input.name.clone(),
                profile_id: "bench".parse().expect("a name"),
                revision: id::Revision(1),
                profile: Arc::new(input.profile),
                servers: servers.collect(),
            };
            (input.name.clone(), Arc::new(service))
        });
        Arc::new(Snapshot {
            services: services.collect(),
        })
    }

    fn server(&mut self, service: &id::Service, input: &ServerInput) -> Arc<Server> {
        let document = document::Server {
            service: service.clone(),
            zone: input.zone.clone(),
            address: self.endpoints.endpoint(input.name.as_str()),
            health: self.endpoints.endpoint(&format!("{}/health", input.name)),
            slots: input.slots,
            state: document::State::Up,
        };
        let server = Server::new(input.name.clone(), &document);
        let known = self.servers.entry(input.name.clone());
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
                json!({"action": "reject", "server": self.endpoints.name(*to), "attempt": attempt})
            }
            Action::Answer {
                flow,
                id,
                token,
                delivery,
                sequence,
                outcome,
                ..
            } => json!({"action": "answer", "caller": self.endpoints.name(flow.caller),
                "service": flow.service, "id": id.0 as u64, "token": token.0 as u64,
                "separate": matches!(delivery, Delivery::Separate { .. }),
                "sequence": sequence, "outcome": self::outcome(outcome)}),
            Action::Acknowledge { flow, id } => json!({"action": "acknowledge",
                "caller": self.endpoints.name(flow.caller), "service": flow.service,
                "id": id.0 as u64}),
            Action::Notify {
                flow,
                token,
                message,
                sequence,
                datagram,
                ..
            } => json!({"action": "notify", "caller": self.endpoints.name(flow.caller),
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

impl From<RequestKind> for request::Kind {
    fn from(kind: RequestKind) -> Self {
        match kind {
            RequestKind::Idempotent => Self::Idempotent,
            RequestKind::Once => Self::NonIdempotent,
            RequestKind::Open => Self::OpenFeed,
            RequestKind::Close => Self::CloseFeed,
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

/// Encodes a peer message in base64; the bench forwards the message without reading it.
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

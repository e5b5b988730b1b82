//! An engine with a configuration, for the benchmarks and the `slopes` example.

#![allow(dead_code, reason = "no program uses all of these functions")]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::action::Action;
use godwitreel::config::Config;
use godwitreel::engine::Engine;
use godwitreel::engine::Settings;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::member::Member;
use godwitreel::member::MembershipView;
use godwitreel::peer;
use godwitreel::platform::Entry;
use godwitreel::request::Answer;
use godwitreel::request::Flow;
use godwitreel::request::Id;
use godwitreel::request::Kind;
use godwitreel::request::Request;
use godwitreel::request::Token;
use godwitreel::request::Verdict;
use godwitreel::table::Row;
use godwitreel::table::Table;
use serde_json::json;
use tokio::time::Instant;

/// Slices of the table; the default of the settings.
pub(crate) const SLICES: u32 = 1_024;

/// Backend servers of the service, as many as the customer Abay has for `dispatch`.
pub(crate) const SERVERS: usize = 15;

/// Validity of confirmations and of authority; longer than any run.
const LONGER_THAN_ANY_RUN: Duration = Duration::from_secs(1 << 24);

/// A CoAP GET as a driver's handset sends it: a 4-byte token and one path segment.
pub(crate) const GET: &[u8] =
    b"\x44\x01\x12\x34\x01\x02\x03\x04\xb5route\xffwhere is the next pickup";

/// A CoAP GET with Observe 0, which opens a feed.
pub(crate) const OBSERVE: &[u8] = b"\x44\x01\x12\x34\x01\x02\x03\x04\x60\x55route";

/// A CoAP POST that books a pickup.
pub(crate) const POST: &[u8] =
    b"\x44\x02\x12\x34\x01\x02\x03\x04\xb6pickup\xff{\"kitchen\":42,\"litres\":60}";

/// A server's notification of about 60 bytes.
pub(crate) const NOTIFICATION: &[u8] =
    b"\x58\x45\x12\x34\x00\x00\x00\x00\x00\x00\x00\x01\x61\x07\xff{\"stop\":17,\"kitchen\":\"Bole 4\",\"litres\":60}";

/// Parses an id.
///
/// # Panics
///
/// If the text is not a valid id.
pub(crate) fn parse_id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid id")
}

/// The holder id of an instance, with a fixed incarnation.
pub(crate) fn holder(instance: &str) -> id::Holder {
    id::Holder {
        instance: parse_id(instance),
        incarnation: id::Incarnation(1_733_000_000_000_000),
    }
}

/// The address of the caller with this number.
pub(crate) fn caller_address(number: u32) -> id::Endpoint {
    let ip = Ipv4Addr::from(0x0a00_0000 | number >> 8);
    id::Endpoint(SocketAddr::new(ip.into(), 20_000 + (number & 0xff) as u16))
}

/// An entry of the store.
pub(crate) fn entry(key: String, revision: u64, value: &serde_json::Value) -> Entry {
    Entry {
        key,
        value: Bytes::from(value.to_string()),
        mod_revision: revision,
    }
}

/// A document with its revision, operator and write id.
pub(crate) fn envelope(revision: u64, body: &serde_json::Value) -> serde_json::Value {
    json!({"revision": revision, "operator": "bench", "write_id": "0123456789abcdef", "body": body})
}

/// A configuration with the given numbers of services and confirmed servers. The servers are
/// assigned to the services in turn.
pub(crate) fn config(services: usize, servers: usize) -> Config {
    let mut config = Config::default();
    let profile = json!({"slow_start_s": 0, "queue_per_slot": 1_000, "max_per_caller": 100_000,
        "max_in_progress": 1_000_000, "max_feeds": 1_000_000,
        "feed_silence_s": 3_600, "copy_lifetime_s": 1});
    config.put(&entry(
        "godwitreel/profiles/standard".to_owned(),
        1,
        &envelope(1, &profile),
    ));
    for number in 0..services {
        let address = SocketAddr::new(Ipv4Addr::from(0x0b00_0000 | number as u32).into(), 5_683);
        let body = json!({"profile": "standard", "address": address.to_string()});
        let key = format!("godwitreel/services/service-{number}");
        config.put(&entry(key, 2, &envelope(1, &body)));
    }
    for number in 0..servers {
        config.put(&server_entry(number, services, 3));
    }
    let now = Instant::now();
    for server in config.servers() {
        server.confirm(now, LONGER_THAN_ANY_RUN);
    }
    config
}

/// The platform's entry of a server.
pub(crate) fn server_entry(number: usize, services: usize, revision: u64) -> Entry {
    let ip = Ipv4Addr::from(0x0c00_0000 | number as u32);
    let body = json!({
        "service": format!("service-{}", number % services),
        "zone": "bole",
        "address": SocketAddr::new(ip.into(), 5_683).to_string(),
        "health": SocketAddr::new(ip.into(), 8_080).to_string(),
        "slots": 1_000,
        "state": "up",
    });
    entry(format!("platform/servers/server-{number}"), revision, &body)
}

/// A table in which one instance is home and another one is backup of every slice.
pub(crate) fn table(slices: u32, epoch: u64, home: &str, backup: &str) -> Arc<Table> {
    let mut table = Table::new(slices);
    for slice in 0..slices {
        let row = Row {
            epoch: id::Epoch(epoch),
            home: Some(holder(home)),
            backup: Some(holder(backup)),
            records_lost: false,
        };
        table.update_if_newer(id::Slice(slice), row);
    }
    Arc::new(table)
}

/// A membership view in which the given instances are live.
pub(crate) fn membership_view(now: Instant, instances: &[&str]) -> Arc<MembershipView> {
    let mut view = MembershipView {
        authority_until: Some(now + LONGER_THAN_ANY_RUN),
        ..MembershipView::default()
    };
    for (index, instance) in instances.iter().enumerate() {
        let address = SocketAddr::new(Ipv4Addr::new(10, 9, 0, index as u8).into(), 7_000);
        let member = Member {
            holder: holder(instance),
            zone: parse_id("bole"),
            address: id::Endpoint(address),
            leaving: false,
        };
        view.live.insert(member.holder.clone());
        view.known.insert(parse_id(instance), member);
    }
    Arc::new(view)
}

/// The engine of an instance with a single worker, and its virtual time.
pub(crate) struct EngineFixture {
    pub(crate) engine: Engine,
    pub(crate) now: Instant,
    pub(crate) created_at: Instant,
    service: id::Service,
}

/// A forwarded request: its server and its attempt id.
#[derive(Clone, Copy)]
pub(crate) struct ForwardedRequest {
    pub(crate) server: id::Endpoint,
    pub(crate) attempt: id::Attempt,
}

impl EngineFixture {
    /// The engine of instance `a`; `home` and `backup` are the home and the backup of all slices.
    pub(crate) fn new(home: &str, backup: &str, feeds: usize) -> Self {
        let now = Instant::now();
        let mut engine = Engine::new(Settings {
            me: holder("a"),
            zone: parse_id("bole"),
            worker: 0,
            workers: 1,
            hash_key: 7,
            max_parked: 10_000,
            max_flows: feeds.max(2_000_000),
            seed: 1,
        });
        engine.handle(
            now,
            Event::Snapshot(Arc::new(config(1, SERVERS).snapshot())),
        );
        engine.handle(
            now,
            Event::Membership(membership_view(now, &["a", "b", "c"])),
        );
        engine.handle(now, Event::Table(table(SLICES, 1, home, backup)));
        Self {
            engine,
            now,
            created_at: now,
            service: parse_id("service-0"),
        }
    }

    /// Advances the virtual time and handles a tick.
    pub(crate) fn advance(&mut self, by: Duration) {
        self.now += by;
        self.engine.handle(self.now, Event::Tick);
    }

    pub(crate) fn flow(&self, number: u32) -> Flow {
        Flow {
            service: self.service.clone(),
            caller: caller_address(number),
        }
    }

    pub(crate) fn request(&self, number: u32, id: u128, kind: Kind) -> Event {
        let datagram = match kind {
            Kind::NonIdempotent => POST,
            Kind::OpenFeed => OBSERVE,
            _ => GET,
        };
        Event::Request {
            request: Request {
                flow: self.flow(number),
                id: Id(id << 72 | 4 << 64 | 0x0102_0304),
                token: Token(4 << 64 | 0x0102_0304),
                kind,
                confirmable: true,
                block: godwitreel::request::BodyBlock::default(),
                datagram: Bytes::copy_from_slice(datagram),
            },
            hops: 0,
        }
    }

    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        self.engine.handle(self.now, event)
    }

    /// Opens `count` feeds, one for each caller from number `first` on.
    pub(crate) fn open_feeds(&mut self, first: u32, count: u32) -> Vec<ForwardedRequest> {
        (first..first + count)
            .map(|number| {
                let opened = self.handle(self.request(number, 1, Kind::OpenFeed));
                let sent = first_forwarded(&opened).expect("forwarded");
                let answered = self.handle(answer(sent, true));
                self.acknowledge(&answered);
                sent
            })
            .collect()
    }

    /// Acknowledges the replication steps as the backup does; returns the actions that follow.
    pub(crate) fn acknowledge(&mut self, actions: &[Action]) -> Vec<Action> {
        let mut following = Vec::new();
        for event in backup_acknowledgements(actions) {
            following.extend(self.handle(event));
        }
        following
    }
}

/// The first forwarded request among the actions.
pub(crate) fn first_forwarded(actions: &[Action]) -> Option<ForwardedRequest> {
    actions.iter().find_map(|action| match action {
        Action::Forward {
            server, attempt, ..
        } => Some(ForwardedRequest {
            server: server.address,
            attempt: *attempt,
        }),
        _ => None,
    })
}

/// The server's answer to a forwarded request.
pub(crate) fn answer(sent: ForwardedRequest, keeps_feed_open: bool) -> Event {
    Event::Answer {
        from: sent.server,
        attempt: sent.attempt,
        answer: Answer {
            verdict: Verdict::Handled,
            keeps_feed_open,
            has_more_blocks: false,
            retry_after: None,
            datagram: Bytes::copy_from_slice(NOTIFICATION),
        },
    }
}

/// The backup's acknowledgements of the replication steps among the actions.
pub(crate) fn backup_acknowledgements(actions: &[Action]) -> Vec<Event> {
    let acknowledgement = |action: &Action| match action {
        Action::Peer {
            to,
            body: peer::PeerMessage::ReplicationStep(step),
        } => Some(Event::Peer {
            from: to.clone(),
            body: peer::PeerMessage::ReplicationAck(peer::ReplicationAck {
                slice: step.slice,
                epoch: step.epoch,
                number: step.number,
            }),
        }),
        _ => None,
    };
    actions.iter().filter_map(acknowledgement).collect()
}

/// The replication step by which a home copies a caller's feed to its backup.
pub(crate) fn feed_step(engine: &EngineFixture, number: u32) -> peer::ReplicationStep {
    let flow = engine.flow(number);
    let slice = godwitreel::table::slice(SLICES, 7, &flow);
    peer::ReplicationStep {
        slice: slice.0,
        epoch: 1,
        number: u64::from(number) + 1,
        item: Some(peer::ReplicationItem::Feed(peer::Feed {
            flow: Some(peer::pack_flow(&flow)),
            token: peer::pack_number(4 << 64 | 0x0102_0304),
            server: format!("server-{}", number as usize % SERVERS),
            datagram: Bytes::copy_from_slice(OBSERVE),
            sequence: 1,
        })),
    }
}

/// The replication step by which a home copies the claim of a non-idempotent request.
pub(crate) fn claim_step(engine: &EngineFixture, number: u32) -> peer::ReplicationStep {
    let flow = engine.flow(number);
    let slice = godwitreel::table::slice(SLICES, 7, &flow);
    peer::ReplicationStep {
        slice: slice.0,
        epoch: 1,
        number: u64::from(number) + 1,
        item: Some(peer::ReplicationItem::Claim(peer::Claim {
            flow: Some(peer::pack_flow(&flow)),
            id: peer::pack_number(0x1234 << 72 | 4 << 64 | 0x0102_0304),
            claimer: String::new(),
            age_ms: 0,
        })),
    }
}

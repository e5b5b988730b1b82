//! Choice of servers, and how the policy answers load and faults.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitreel::action::Action;
use godwitreel::balance;
use godwitreel::balance::WorkKind;
use godwitreel::document;
use godwitreel::document::Policy;
use godwitreel::document::Profile;
use godwitreel::engine::Engine;
use godwitreel::engine::Settings;
use godwitreel::event::Event;
use godwitreel::id;
use godwitreel::request::Answer;
use godwitreel::request::Flow;
use godwitreel::request::Id;
use godwitreel::request::Kind;
use godwitreel::request::Request;
use godwitreel::request::Token;
use godwitreel::request::Verdict;
use godwitreel::server::Server;
use godwitreel::snapshot::Service;
use godwitreel::snapshot::Snapshot;
use godwitreel::table::Row;
use godwitreel::table::Table;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

const CONFIRM_FOR: Duration = Duration::from_millis(1_500);
const DRAWS: usize = 50;

fn endpoint(net: u8, number: u8) -> id::Endpoint {
    id::Endpoint((Ipv4Addr::new(net, 0, 0, number), 5683).into())
}

fn zone(name: &str) -> id::Zone {
    name.parse().unwrap()
}

fn server(number: u8, zone: &str) -> Arc<Server> {
    let listed = document::Server {
        service: "dispatch".parse().unwrap(),
        zone: zone.parse().unwrap(),
        address: endpoint(11, number),
        health: endpoint(13, number),
        slots: 2,
        state: document::State::Up,
    };
    Arc::new(Server::new(
        format!("d{number:02}").parse().unwrap(),
        &listed,
    ))
}

fn service(profile: Profile, servers: Vec<Arc<Server>>) -> Service {
    Service {
        id: "dispatch".parse().unwrap(),
        profile_id: "live-feed".parse().unwrap(),
        revision: id::Revision(1),
        profile: Arc::new(profile),
        servers,
    }
}

/// A profile whose servers are warm at once.
fn profile(policy: Policy) -> Profile {
    Profile {
        policy,
        slow_start_s: 0,
        ..Profile::default()
    }
}

fn confirm(service: &Service, now: Instant) {
    for server in &service.servers {
        server.confirm(now, CONFIRM_FOR);
    }
}

/// Names of the servers chosen in many draws, one for each draw.
fn draw(service: &Service, work: WorkKind, now: Instant) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(1);
    let place = zone("bole");
    let chosen = (0..DRAWS).filter_map(|caller| {
        let flow = Flow {
            service: service.id.clone(),
            caller: endpoint(12, caller as u8),
        };
        balance::choose(service, &flow, work, &place, &[], now, &mut rng)
    });
    chosen.map(|server| server.id.to_string()).collect()
}

/// Callers would wait behind each other at one server while others idle: all
/// homes hear the same heartbeat, rank the server that was idle a second ago
/// first, and fill it together. Requests are over long before the next heartbeat,
/// so that only the own count is fresh enough to rank by.
#[test]
fn ranks_requests_by_own_count() {
    let now = Instant::now();
    let service = service(
        profile(Policy::LeastLoaded),
        vec![server(1, "bole"), server(2, "bole")],
    );
    confirm(&service, now);
    service.servers[0].state().peer_outstanding = 2;
    service.servers[1].state().outstanding = 1;
    assert!(
        draw(&service, WorkKind::Request, now)
            .iter()
            .all(|id| id == "d01")
    );
    service.servers[0].state().peer_feeds = 2;
    service.servers[1].state().feeds = 1;
    assert!(
        draw(&service, WorkKind::Feed, now)
            .iter()
            .all(|id| id == "d02")
    );
}

/// Callers would be refused though every server works: health endpoints fail
/// together, confirmations run out, and no server takes work. What was known a
/// moment ago, from addresses that answer, is better than refusing everyone.
#[test]
fn goes_on_when_health_endpoints_fail_together() {
    let now = Instant::now();
    let servers = vec![server(1, "bole"), server(2, "bole"), server(3, "bole")];
    let service = service(profile(Policy::LeastLoaded), servers);
    confirm(&service, now);
    let later = now + Duration::from_secs(20);
    assert_eq!(draw(&service, WorkKind::Request, later).len(), DRAWS);
    let end = now + Duration::from_secs(61);
    assert!(draw(&service, WorkKind::Request, end).is_empty());
}

/// A pickup booking would reach the ledger: a server is replaced, its health
/// falls silent alone, and it must not be trusted for old times' sake. The same
/// once its health answer names another service, however silent the others are.
#[test]
fn trusts_no_server_that_is_silent_alone_or_disowned() {
    let now = Instant::now();
    let servers = vec![server(1, "bole"), server(2, "bole"), server(3, "bole")];
    let service = service(profile(Policy::LeastLoaded), servers);
    confirm(&service, now);
    let later = now + Duration::from_secs(20);
    service.servers[1].confirm(later, CONFIRM_FOR);
    service.servers[2].confirm(later, CONFIRM_FOR);
    assert!(!draw(&service, WorkKind::Request, later).contains(&"d01".to_owned()));
    let end = now + Duration::from_secs(30);
    service.servers[0].revoke_confirmation();
    service.servers[0].confirm_by_answer(end);
    let chosen = draw(&service, WorkKind::Request, end);
    assert_eq!(chosen.len(), DRAWS);
    assert!(!chosen.contains(&"d01".to_owned()));
}

/// While no health answer tells them apart, a server of another service shows by
/// refusing our service's name every time. An application that says so at times
/// answers something else in between and goes on.
#[test]
fn doubts_a_server_that_knows_nothing() {
    let now = Instant::now();
    let servers = vec![server(1, "bole"), server(2, "bole")];
    let service = service(profile(Policy::LeastLoaded), servers);
    confirm(&service, now);
    let later = now + Duration::from_secs(5);
    for _ in 0..3 {
        service.servers[0].record_not_found(later);
        service.servers[1].record_not_found(later);
        service.servers[1].confirm_by_answer(later);
    }
    assert!(
        draw(&service, WorkKind::Request, later)
            .iter()
            .all(|id| id == "d02")
    );
}

/// One engine that is home of everything, without a backup.
struct Home {
    engine: Engine,
    service: Service,
    now: Instant,
}

impl Home {
    fn new(profile: Profile, servers: Vec<Arc<Server>>) -> Self {
        let now = Instant::now();
        let me = id::Holder {
            instance: "bole-1".parse().unwrap(),
            incarnation: id::Incarnation(1),
        };
        let mut engine = Engine::new(Settings {
            me: me.clone(),
            zone: zone("bole"),
            worker: 0,
            workers: 1,
            hash_key: 7,
            max_parked: 100,
            max_flows: 1_000,
            seed: 1,
        });
        let service = service(profile, servers);
        let snapshot = Snapshot {
            services: HashMap::from([(service.id.clone(), Arc::new(service.clone()))]),
        };
        engine.handle(now, Event::Snapshot(Arc::new(snapshot)));
        let mut table = Table::new(1);
        let row = Row {
            epoch: id::Epoch(1),
            home: Some(me),
            backup: None,
            records_lost: false,
        };
        table.update_if_newer(id::Slice(0), row);
        engine.handle(now, Event::Table(Arc::new(table)));
        Self {
            engine,
            service,
            now,
        }
    }

    /// Hands an event in; servers accept every feed at once. Returns the names of
    /// the servers that were asked.
    fn tell(&mut self, event: Event) -> Vec<String> {
        let mut asked = Vec::new();
        for action in self.engine.handle(self.now, event) {
            let Action::Forward {
                server, attempt, ..
            } = action
            else {
                continue;
            };
            asked.push(server.id.to_string());
            let answer = Answer {
                verdict: Verdict::Handled,
                keeps_feed_open: true,
                has_more_blocks: false,
                retry_after: None,
                datagram: Bytes::new(),
            };
            let from = server.address;
            let answered = Event::Answer {
                from,
                attempt,
                answer,
            };
            asked.extend(self.tell(answered));
        }
        asked
    }

    fn open(&mut self, number: u8) {
        self.tell(Event::Request {
            request: Request {
                flow: Flow {
                    service: self.service.id.clone(),
                    caller: endpoint(12, number),
                },
                id: Id(number.into()),
                token: Token(number.into()),
                kind: Kind::OpenFeed,
                confirmable: false,
                block: godwitreel::request::BodyBlock::default(),
                datagram: Bytes::new(),
            },
            hops: 0,
        });
    }

    /// Lets time pass while these servers' health is fine.
    fn pass(&mut self, healthy: &[usize], time: Duration) -> Vec<String> {
        const STEP: Duration = Duration::from_millis(100);
        let end = self.now + time;
        let mut asked = Vec::new();
        while self.now < end {
            self.now += STEP;
            for &server in healthy {
                self.service.servers[server].confirm(self.now, CONFIRM_FOR);
            }
            asked.extend(self.tell(Event::Tick));
        }
        asked
    }

    fn feeds(&self) -> Vec<u32> {
        let servers = self.service.servers.iter();
        servers.map(|server| server.state().feeds).collect()
    }
}

/// Sixty feeds at one server, then a second one starts.
fn uneven(balance_weight: u32) -> Home {
    const FEEDS: u8 = 60;
    let profile = Profile {
        balance_weight,
        feed_silence_s: 600,
        ..profile(Policy::LeastLoaded)
    };
    let servers = vec![server(1, "bole"), server(2, "bole")];
    let mut home = Home::new(profile, servers);
    home.pass(&[0], Duration::from_secs(1));
    for number in 0..FEEDS {
        home.open(number);
    }
    home
}

/// Boards freeze at a crowded server while one that came back stands empty:
/// feeds last all day, so that new ones alone never even the load out. The weight
/// says how uneven is too uneven; at a low one no feed is touched.
#[test]
fn moves_feeds_as_the_weight_says() {
    let both = [0, 1];
    let mut naukluft = uneven(90);
    naukluft.pass(&both, Duration::from_secs(20));
    let feeds = naukluft.feeds();
    assert_eq!(feeds.iter().sum::<u32>(), 60);
    assert!(feeds[0] <= 42, "{feeds:?}");
    let mut abay = uneven(10);
    assert!(abay.pass(&both, Duration::from_secs(20)).is_empty());
    assert_eq!(abay.feeds(), [60, 0]);
}

/// A driver's feed stands still for as long as the profile allows silence: its
/// server died, health is silent, and nothing says that it leaves. Registered
/// elsewhere soon, the feed goes on before the driver notices.
#[test]
fn moves_feeds_from_a_server_that_is_gone() {
    let mut home = uneven(0);
    home.pass(&[1], Duration::from_secs(5));
    assert_eq!(home.feeds(), [0, 60]);
}

/// Callers of a server that hangs wait out their timeouts one after another, each
/// failure costing one more caller a second. The measured default stops at three.
#[test]
fn defaults_are_the_measured_ones() {
    let profile = Profile::default();
    assert_eq!(profile.policy, Policy::LeastLoaded);
    assert_eq!(profile.eject_after, 3);
}

// A server refused and its pause is over. Two workers choose it at the same moment:
// each looked before the other had counted its request. Only one may try it, or a
// server that leaves by its refusals alone gets a trial from every worker.
#[test]
fn two_workers_share_one_trial_of_a_refusing_server() {
    let now = Instant::now();
    let listed: document::Server = serde_json::from_value(serde_json::json!({
        "service": "dispatch", "zone": "bole", "address": "127.0.0.1:1",
        "health": "127.0.0.1:2", "slots": 2,
    }))
    .expect("a server");
    let server = Server::new("d1".parse().expect("a name"), &listed);
    assert!(server.reserve() && server.reserve());
    server.state().outstanding = 0;
    server.record_refusal(now, Duration::ZERO);
    assert!(server.reserve());
    assert!(!server.reserve());
    server.state().outstanding = 0;
    server.record_success();
    assert!(server.reserve() && server.reserve());
}

//! Tests how the balancing policy selects servers under load and when servers fail.

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
    let entry = document::Server {
        service: "dispatch".parse().unwrap(),
        zone: zone.parse().unwrap(),
        address: endpoint(11, number),
        health: endpoint(13, number),
        slots: 2,
        state: document::State::Up,
    };
    Arc::new(Server::new(
        format!("d{number:02}").parse().unwrap(),
        &entry,
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

/// Returns a profile without slow start.
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

/// Chooses a server [`DRAWS`] times, each time for another caller, and returns the names
/// of the chosen servers.
fn draw_servers(service: &Service, work: WorkKind, now: Instant) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(1);
    let local_zone = zone("bole");
    let chosen = (0..DRAWS).filter_map(|caller| {
        let flow = Flow {
            service: service.id.clone(),
            caller: endpoint(12, caller as u8),
        };
        balance::choose(service, &flow, work, &local_zone, &[], now, &mut rng)
    });
    chosen.map(|server| server.id.to_string()).collect()
}

/// Guards against all homes sending their requests to the same server. Ranked by the
/// counts in heartbeats, which are up to a second old, all homes would prefer the
/// server that was idle at the last heartbeat and overload it, while others idle.
/// Requests end long before the next heartbeat, so that only an instance's own count is
/// current enough to rank by. Feeds last longer and are ranked by all counts.
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
        draw_servers(&service, WorkKind::Request, now)
            .iter()
            .all(|id| id == "d01")
    );
    service.servers[0].state().peer_feeds = 2;
    service.servers[1].state().feeds = 1;
    assert!(
        draw_servers(&service, WorkKind::Feed, now)
            .iter()
            .all(|id| id == "d02")
    );
}

/// Guards against refusing all callers while every server works: when all health
/// endpoints fail together, the confirmations expire and no server would take work. The
/// servers that were confirmed up to a minute ago are used instead.
#[test]
fn goes_on_when_health_endpoints_fail_together() {
    let now = Instant::now();
    let servers = vec![server(1, "bole"), server(2, "bole"), server(3, "bole")];
    let service = service(profile(Policy::LeastLoaded), servers);
    confirm(&service, now);
    let later = now + Duration::from_secs(20);
    assert_eq!(
        draw_servers(&service, WorkKind::Request, later).len(),
        DRAWS
    );
    let end = now + Duration::from_secs(61);
    assert!(draw_servers(&service, WorkKind::Request, end).is_empty());
}

/// Guards against requests that reach a server of another service, such as a pickup
/// booking that reaches the ledger. When a server is replaced, only its health endpoint
/// stops answering, and its expired confirmation must not be used. A server whose health
/// answer names another service is not used either, even while no other health endpoint
/// answers.
#[test]
fn rejects_a_server_that_is_silent_alone_or_names_another_service() {
    let now = Instant::now();
    let servers = vec![server(1, "bole"), server(2, "bole"), server(3, "bole")];
    let service = service(profile(Policy::LeastLoaded), servers);
    confirm(&service, now);
    let later = now + Duration::from_secs(20);
    service.servers[1].confirm(later, CONFIRM_FOR);
    service.servers[2].confirm(later, CONFIRM_FOR);
    assert!(!draw_servers(&service, WorkKind::Request, later).contains(&"d01".to_owned()));
    let end = now + Duration::from_secs(30);
    service.servers[0].revoke_confirmation();
    service.servers[0].confirm_by_answer(end);
    let chosen = draw_servers(&service, WorkKind::Request, end);
    assert_eq!(chosen.len(), DRAWS);
    assert!(!chosen.contains(&"d01".to_owned()));
}

/// While no health endpoint answers, a server of another service is detected because it
/// answers every request with "not found". A server of the right service that sometimes
/// answers so also sends other answers, and stays in use.
#[test]
fn rejects_a_server_that_answers_only_not_found() {
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
        draw_servers(&service, WorkKind::Request, later)
            .iter()
            .all(|id| id == "d02")
    );
}

/// An engine that is home of the only slice, without a backup.
struct HomeEngine {
    engine: Engine,
    service: Service,
    now: Instant,
}

impl HomeEngine {
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

    /// Lets the engine handle an event; servers accept every feed at once. Returns the
    /// names of the servers that requests were forwarded to.
    fn handle(&mut self, event: Event) -> Vec<String> {
        let mut forwarded_to = Vec::new();
        for action in self.engine.handle(self.now, event) {
            let Action::Forward {
                server, attempt, ..
            } = action
            else {
                continue;
            };
            forwarded_to.push(server.id.to_string());
            let answer = Answer {
                verdict: Verdict::Handled,
                keeps_feed_open: true,
                has_more_blocks: false,
                retry_after: None,
                datagram: Bytes::new(),
            };
            let from = server.address;
            let answer_event = Event::Answer {
                from,
                attempt,
                answer,
            };
            forwarded_to.extend(self.handle(answer_event));
        }
        forwarded_to
    }

    fn open_feed(&mut self, number: u8) {
        self.handle(Event::Request {
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

    /// Advances the time while the health endpoints of these servers answer. Returns the
    /// names of the servers that requests were forwarded to.
    fn advance(&mut self, healthy: &[usize], time: Duration) -> Vec<String> {
        const STEP: Duration = Duration::from_millis(100);
        let end = self.now + time;
        let mut forwarded_to = Vec::new();
        while self.now < end {
            self.now += STEP;
            for &server in healthy {
                self.service.servers[server].confirm(self.now, CONFIRM_FOR);
            }
            forwarded_to.extend(self.handle(Event::Tick));
        }
        forwarded_to
    }

    fn feeds(&self) -> Vec<u32> {
        let servers = self.service.servers.iter();
        servers.map(|server| server.state().feeds).collect()
    }
}

/// Returns an engine with two servers, of which the first has all 60 feeds.
fn unbalanced_home(balance_weight: u32) -> HomeEngine {
    const FEEDS: u8 = 60;
    let profile = Profile {
        balance_weight,
        feed_silence_s: 600,
        ..profile(Policy::LeastLoaded)
    };
    let servers = vec![server(1, "bole"), server(2, "bole")];
    let mut home = HomeEngine::new(profile, servers);
    home.advance(&[0], Duration::from_secs(1));
    for number in 0..FEEDS {
        home.open_feed(number);
    }
    home
}

/// Guards against feeds that stay at an overloaded server while a restarted one has
/// none. Feeds last all day, so that new feeds alone do not balance the load.
/// `balance_weight` determines the imbalance at which feeds are moved; with a low weight
/// none is.
#[test]
fn moves_feeds_as_the_weight_says() {
    let both = [0, 1];
    let mut high_weight = unbalanced_home(90);
    high_weight.advance(&both, Duration::from_secs(20));
    let feeds = high_weight.feeds();
    assert_eq!(feeds.iter().sum::<u32>(), 60);
    assert!(feeds[0] <= 42, "{feeds:?}");
    let mut low_weight = unbalanced_home(10);
    assert!(
        low_weight
            .advance(&both, Duration::from_secs(20))
            .is_empty()
    );
    assert_eq!(low_weight.feeds(), [60, 0]);
}

/// Guards against a feed that pauses for the whole `feed_silence_s` of its profile after
/// its server has died. Health checks are unanswered and the platform does not list the
/// server as leaving. The feed must be registered at another server within seconds.
#[test]
fn moves_feeds_from_a_server_that_is_gone() {
    let mut home = unbalanced_home(0);
    home.advance(&[1], Duration::from_secs(5));
    assert_eq!(home.feeds(), [0, 60]);
}

/// Guards the defaults. Each failure at a server that hangs delays one more caller by
/// about a second until the server is ejected, so that it is ejected after three.
#[test]
fn defaults_are_the_measured_ones() {
    let profile = Profile::default();
    assert_eq!(profile.policy, Policy::LeastLoaded);
    assert_eq!(profile.eject_after, 3);
}

// A server has refused a request and its pause is over. Two workers choose it at the
// same time, each before the other has counted its request. Only one of them may send a
// trial request. Otherwise a server that is stopping, and shows it only by refusing,
// gets a trial request from every worker.
#[test]
fn two_workers_share_one_trial_of_a_refusing_server() {
    let now = Instant::now();
    let entry: document::Server = serde_json::from_value(serde_json::json!({
        "service": "dispatch", "zone": "bole", "address": "127.0.0.1:1",
        "health": "127.0.0.1:2", "slots": 2,
    }))
    .expect("a server");
    let server = Server::new("d1".parse().expect("a name"), &entry);
    assert!(server.reserve() && server.reserve());
    server.state().outstanding = 0;
    server.record_refusal(now, Duration::ZERO);
    assert!(server.reserve());
    assert!(!server.reserve());
    server.state().outstanding = 0;
    server.record_success();
    assert!(server.reserve() && server.reserve());
}

//! Health checks of the backend servers.
//!
//! A health response names the service that runs at an address, which nothing else
//! does. No packet is sent to an address whose last response named another service,
//! or that was never confirmed. Between health checks, the server's answers to
//! requests confirm the address as well, see [`Server::confirm_by_answer`]. Load
//! figures in health responses are not used: the instance's own observations are
//! more recent and do not depend on what the server reports.
//!
//! A health response is valid only while a second connection to the same port, opened
//! before the health request, stays open. The connection closes when the process
//! ends, so that a process that starts at this address later is checked first.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use futures::StreamExt;
use serde::Deserialize;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::document::State;
use crate::server::Server;
use crate::settings;

/// Most health checks that run concurrently.
const MAX_CONCURRENT_CHECKS: usize = 64;

/// Delay before the servers are checked again after a connection was lost. Without
/// it, a server that closes every connection at once would be checked in a busy loop.
const RECHECK_DELAY: Duration = Duration::from_millis(50);

/// Largest health response, in bytes.
const MAX_RESPONSE_LEN: usize = 4096;

/// Body of a health response.
#[derive(Clone, Debug, Deserialize)]
struct Health {
    service: String,
    #[serde(default)]
    server: Option<String>,
    #[serde(default)]
    state: HealthState,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum HealthState {
    Starting,
    #[default]
    Up,
    Draining,
    #[serde(other)]
    Other,
}

/// Checks the health of backend servers.
pub(crate) struct Prober {
    client: reqwest::Client,
    settings: settings::Probe,
    lost: Arc<Notify>,
}

impl Prober {
    /// Creates the HTTP client. It uses no proxy from the environment and follows no
    /// redirect, since a response must come from the server's own address to confirm it.
    pub(crate) fn new(settings: settings::Probe) -> reqwest::Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(Self {
            client,
            settings,
            lost: Arc::default(),
        })
    }

    /// Waits until a watched connection is lost. The cause may be the end of the process,
    /// or only an idle timeout of the server.
    pub(crate) async fn connection_lost(&self) {
        self.lost.notified().await;
        sleep(RECHECK_DELAY).await;
    }

    /// Checks all servers once, each within the timeout of the settings.
    pub(crate) async fn check_all(&self, servers: Vec<Arc<Server>>) {
        futures::stream::iter(servers)
            .for_each_concurrent(MAX_CONCURRENT_CHECKS, |server| self.check(server))
            .await;
    }

    async fn check(&self, server: Arc<Server>) {
        if !self.ensure_watched_connection(&server).await {
            return;
        }
        let requested_at = Instant::now();
        // A missing response does not revoke the confirmation, which expires by itself.
        let Some(health) = self.request_health(&server).await else {
            return;
        };
        let is_same_server = health.service == server.service.as_str()
            && health.server.is_none_or(|name| name == server.id.as_str());
        if !is_same_server {
            server.revoke_confirmation();
            return;
        }
        server.state().draining = health.state == HealthState::Draining;
        if health.state != HealthState::Starting && server.state().listed != State::Starting {
            server.confirm_if_connected(requested_at, self.settings.confirm_for());
        }
    }

    /// Opens the watched connection unless it is open. Returns whether it is open.
    async fn ensure_watched_connection(&self, server: &Arc<Server>) -> bool {
        if server.state().is_connection_watched {
            return true;
        }
        let connect = TcpStream::connect(server.health.0);
        let Ok(Ok(stream)) = timeout(self.settings.timeout(), connect).await else {
            return false;
        };
        server.state().is_connection_watched = true;
        let watch = watch_connection(stream, Arc::downgrade(server), Arc::clone(&self.lost));
        server.set_connection_watch(AbortOnDropHandle::new(tokio::spawn(watch)));
        true
    }

    async fn request_health(&self, server: &Server) -> Option<Health> {
        let url = format!("http://{}/health", server.health);
        let request = self.client.get(url).timeout(self.settings.timeout());
        let response = request.send().await.ok()?;
        let mut body = Vec::new();
        let mut chunks = response.bytes_stream();
        while let Some(chunk) = chunks.next().await {
            body.extend_from_slice(&chunk.ok()?);
            if body.len() > MAX_RESPONSE_LEN {
                return None;
            }
        }
        serde_json::from_slice(&body).ok()
    }
}

/// Waits for the end of a connection on which nothing is requested.
async fn watch_connection(mut stream: TcpStream, server: Weak<Server>, lost: Arc<Notify>) {
    let mut byte = [0];
    let _ = stream.read(&mut byte).await;
    if let Some(server) = server.upgrade() {
        server.connection_lost();
        lost.notify_one();
    }
}

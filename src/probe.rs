//! Health checks of the backend servers.
//!
//! A health answer does one thing that nothing else can: it names the service
//! that runs at an address. No packet goes to an address whose last answer named
//! another service, or that was never confirmed at all. Between health answers,
//! those of the server itself prove as much, see [`Server::confirm_by_answer`]. Load figures
//! in answers are not used: own observations are fresher and cannot be wrong in
//! that way.
//!
//! An answer counts only while a second connection to the same port, opened
//! before the question, stays open. A process that ends closes it, and whatever
//! starts at its address later has to be asked first.

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

/// Checks at a time.
const PARALLEL: usize = 64;

/// Wait before the servers are asked again after a connection was lost: one that
/// closes every connection at once must not be asked without pause.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(50);

/// Largest health answer, in bytes.
const MAX_ANSWER: usize = 4096;

/// What a backend server says of itself.
#[derive(Clone, Debug, Deserialize)]
struct Health {
    service: String,
    #[serde(default)]
    server: Option<String>,
    #[serde(default)]
    state: Reported,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Reported {
    Starting,
    #[default]
    Up,
    Draining,
    #[serde(other)]
    Other,
}

/// Asks backend servers for their health.
pub(crate) struct Prober {
    client: reqwest::Client,
    settings: settings::Probe,
    lost: Arc<Notify>,
}

impl Prober {
    /// Prepares the client. Neither a proxy from the environment nor a redirect
    /// may answer in a server's place: the answer vouches for its address.
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

    /// Waits until a server's connection was lost, which may mean nothing but an
    /// idle timeout there.
    pub(crate) async fn lost(&self) {
        self.lost.notified().await;
        sleep(ASK_AGAIN_AFTER).await;
    }

    /// Checks all servers once, within the probe's timeout.
    pub(crate) async fn round(&self, servers: Vec<Arc<Server>>) {
        futures::stream::iter(servers)
            .for_each_concurrent(PARALLEL, |server| self.check(server))
            .await;
    }

    async fn check(&self, server: Arc<Server>) {
        if !self.witness(&server).await {
            return;
        }
        let asked = Instant::now();
        // Silence proves nothing by itself: the confirmation just runs out.
        let Some(health) = self.ask(&server).await else {
            return;
        };
        let same = health.service == server.service.as_str()
            && health.server.is_none_or(|name| name == server.id.as_str());
        if !same {
            server.revoke_confirmation();
            return;
        }
        server.state().draining = health.state == Reported::Draining;
        if health.state != Reported::Starting && server.state().listed != State::Starting {
            server.confirm_if_connected(asked, self.settings.confirm_for());
        }
    }

    /// Makes sure that a connection is open whose end tells of the process's end.
    async fn witness(&self, server: &Arc<Server>) -> bool {
        if server.state().is_connection_watched {
            return true;
        }
        let connect = TcpStream::connect(server.health.0);
        let Ok(Ok(stream)) = timeout(self.settings.timeout(), connect).await else {
            return false;
        };
        server.state().is_connection_watched = true;
        let watch = watch(stream, Arc::downgrade(server), Arc::clone(&self.lost));
        server.set_connection_watch(AbortOnDropHandle::new(tokio::spawn(watch)));
        true
    }

    async fn ask(&self, server: &Server) -> Option<Health> {
        let url = format!("http://{}/health", server.health);
        let request = self.client.get(url).timeout(self.settings.timeout());
        let answer = request.send().await.ok()?;
        let mut body = Vec::new();
        let mut chunks = answer.bytes_stream();
        while let Some(chunk) = chunks.next().await {
            body.extend_from_slice(&chunk.ok()?);
            if body.len() > MAX_ANSWER {
                return None;
            }
        }
        serde_json::from_slice(&body).ok()
    }
}

/// Waits for the end of a connection on which nothing is asked.
async fn watch(mut stream: TcpStream, server: Weak<Server>, lost: Arc<Notify>) {
    let mut byte = [0];
    let _ = stream.read(&mut byte).await;
    if let Some(server) = server.upgrade() {
        server.connection_lost();
        lost.notify_one();
    }
}

//! Health checks of the backend servers.
//!
//! A health answer does one thing that nothing else can: it names the service
//! that runs at an address. No packet goes to an address whose last answer named
//! another service, or that was never confirmed at all. Between health answers,
//! those of the server itself prove as much, see [`Server::prove`]. Load figures
//! in answers are not used: own observations are fresher and cannot be wrong in
//! that way.

use std::sync::Arc;

use futures::StreamExt;
use serde::Deserialize;
use tokio::time::Instant;

use crate::document::State;
use crate::server::Server;
use crate::settings;

/// Checks at a time.
const PARALLEL: usize = 64;

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

/// Checks all servers once, within the probe's timeout.
pub(crate) async fn round(
    client: &reqwest::Client,
    settings: &settings::Probe,
    servers: Vec<Arc<Server>>,
) {
    futures::stream::iter(servers)
        .for_each_concurrent(PARALLEL, |server| check(client, settings, server))
        .await;
}

async fn check(client: &reqwest::Client, settings: &settings::Probe, server: Arc<Server>) {
    let asked = Instant::now();
    // Silence proves nothing by itself: the confirmation just runs out.
    let Some(health) = ask(client, settings, &server).await else {
        return;
    };
    let same = health.service == server.service.as_str()
        && health.server.is_none_or(|name| name == server.id.as_str());
    if !same {
        server.disown();
        return;
    }
    server.state().draining = health.state == Reported::Draining;
    if health.state != Reported::Starting && server.state().listed != State::Starting {
        server.confirm(asked, settings.confirm_for());
    }
}

async fn ask(
    client: &reqwest::Client,
    settings: &settings::Probe,
    server: &Server,
) -> Option<Health> {
    let url = format!("http://{}/health", server.health);
    let request = client.get(url).timeout(settings.timeout());
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

//! The health endpoint of a backend server, which may lag, lie or be gone.

use std::sync::Arc;
use std::sync::Weak;

use axum::Json;
use axum::Router;
use axum::extract::ConnectInfo;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::time;

use crate::gate::Gate;
use crate::gate::Line;
use crate::lock::lock;
use crate::server::Shared;
use crate::server::thawed;

/// What the health endpoint says in place of the truth.
#[derive(Clone, Debug, Default)]
pub struct Lies {
    /// The state.
    pub state: Option<String>,
    /// The requests in progress.
    pub outstanding: Option<usize>,
    /// The service.
    pub service: Option<String>,
}

/// What the health endpoint answers.
#[derive(Serialize)]
struct Health {
    service: String,
    server: String,
    state: String,
    outstanding: usize,
    slots: usize,
}

/// Answers health checks until it is dropped.
pub(crate) async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let routes = Router::new()
        .route("/health", get(health))
        .with_state(Arc::downgrade(&shared));
    drop(shared);
    let service = routes.into_make_service_with_connect_info::<Line>();
    // Serving ends only with the task.
    let _ = axum::serve(Gate::new(listener), service).await;
}

async fn health(
    State(shared): State<Weak<Shared>>,
    ConnectInfo(line): ConnectInfo<Line>,
) -> Response {
    // A kept connection must not hold the addresses of a server that has ended.
    let Some(shared) = shared.upgrade() else {
        line.cut();
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let delay = lock(&shared.state).health_delay;
    time::sleep(delay).await;
    thawed(&shared).await;
    let state = lock(&shared.state);
    if state.health_down {
        line.cut();
    }
    let truth = if state.draining { "draining" } else { "up" };
    let lies = state.lies.clone();
    Json(Health {
        service: lies.service.unwrap_or(shared.settings.service.clone()),
        server: shared.settings.name.clone(),
        state: lies.state.unwrap_or(truth.to_owned()),
        outstanding: lies.outstanding.unwrap_or(state.outstanding),
        slots: shared.settings.slots,
    })
    .into_response()
}

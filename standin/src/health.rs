//! The health endpoint of a backend server, with injectable delays, wrong values and
//! outages.

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

use crate::listener::ClosableListener;
use crate::listener::Connection;
use crate::lock::lock;
use crate::server::Shared;
use crate::server::wait_until_unfrozen;

/// Values that the health endpoint reports instead of the actual ones.
#[derive(Clone, Debug, Default)]
pub struct HealthOverrides {
    /// State of the server.
    pub state: Option<String>,
    /// Number of requests in progress.
    pub outstanding: Option<usize>,
    /// Name of the service.
    pub service: Option<String>,
}

/// Response body of the health endpoint.
#[derive(Serialize)]
struct Health {
    service: String,
    server: String,
    state: String,
    outstanding: usize,
    slots: usize,
}

/// Serves health checks until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let routes = Router::new()
        .route("/health", get(health))
        .with_state(Arc::downgrade(&shared));
    drop(shared);
    let service = routes.into_make_service_with_connect_info::<Connection>();
    // `serve` never returns; serving ends when the task is aborted.
    let _ = axum::serve(ClosableListener::new(listener), service).await;
}

async fn health(
    State(shared): State<Weak<Shared>>,
    ConnectInfo(connection): ConnectInfo<Connection>,
) -> Response {
    // The reference is weak because a kept-alive connection must not keep the addresses
    // of a stopped server bound.
    let Some(shared) = shared.upgrade() else {
        connection.abort();
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let delay = lock(&shared.state).health_delay;
    time::sleep(delay).await;
    wait_until_unfrozen(&shared).await;
    let state = lock(&shared.state);
    if state.health_down {
        connection.abort();
    }
    let actual_state = if state.is_draining { "draining" } else { "up" };
    let overrides = state.health_overrides.clone();
    Json(Health {
        service: overrides.service.unwrap_or(shared.settings.service.clone()),
        server: shared.settings.name.clone(),
        state: overrides.state.unwrap_or(actual_state.to_owned()),
        outstanding: overrides.outstanding.unwrap_or(state.outstanding),
        slots: shared.settings.slots,
    })
    .into_response()
}

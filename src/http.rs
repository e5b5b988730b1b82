//! HTTP server of the status port: readiness, status, metrics, explain, burn counts.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::routing::get;
use serde::Deserialize;
use tokio::time::Instant;

use crate::id;
use crate::metric;
use crate::request::Flow;
use crate::shared::Shared;

const OPEN_METRICS_CONTENT_TYPE: &str =
    "application/openmetrics-text; version=1.0.0; charset=utf-8";

type SharedState = State<Arc<Shared>>;

pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/status", get(status))
        .route("/ready", get(ready))
        .route("/metrics", get(metrics))
        .route("/explain", get(explain))
        .route("/burn", get(burn))
        .with_state(shared)
}

async fn status(State(shared): SharedState) -> impl IntoResponse {
    Json(shared.status(Instant::now()))
}

async fn ready(State(shared): SharedState) -> StatusCode {
    if shared.ready.load(Ordering::Relaxed) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn metrics(State(shared): SharedState) -> impl IntoResponse {
    let (homes, backups, alone) = shared.control().holdings();
    shared.metrics.set(&metric::GaugeValues {
        homes,
        backups,
        alone,
        in_progress: shared.pool.sum(|gauge| &gauge.in_progress),
        feeds: shared.pool.sum(|gauge| &gauge.feeds),
        parked: shared.pool.sum(|gauge| &gauge.parked),
        ready: shared.ready.load(Ordering::Relaxed),
    });
    (
        [(CONTENT_TYPE, OPEN_METRICS_CONTENT_TYPE)],
        shared.metrics.encode(),
    )
}

async fn burn(State(shared): SharedState) -> impl IntoResponse {
    let mut burn_counter = shared
        .burn_counter
        .lock()
        .unwrap_or_else(|lock| lock.into_inner());
    Json(burn_counter.sample(Instant::now()))
}

#[derive(Deserialize)]
struct ExplainQuery {
    service: id::Service,
    caller: id::Endpoint,
}

async fn explain(
    State(shared): SharedState,
    Query(query): Query<ExplainQuery>,
) -> impl IntoResponse {
    let flow = Flow {
        service: query.service,
        caller: query.caller,
    };
    Json(shared.traces.traces(Instant::now(), &flow))
}

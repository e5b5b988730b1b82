//! HTTP ports: readiness for routers, metrics and status for operators.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::routing::get;
use slog::Logger;
use slog::error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::entry::Status;
use crate::entry::metric::Metrics;
use crate::error::Error;
use crate::error::Result;
use crate::metric::CONTENT_TYPE as OPEN_METRICS;

/// Request for the status, answered by the main loop of the instance.
pub(crate) type StatusRequest = oneshot::Sender<Status>;

/// State that the HTTP handlers share with the main loop.
pub(crate) struct Shared {
    pub(crate) is_ready: AtomicBool,
    pub(crate) metrics: Metrics,
    pub(crate) status_requests: mpsc::Sender<StatusRequest>,
}

/// Binds both ports and serves them in the background until the process ends.
pub(crate) async fn serve(
    ready: SocketAddrV4,
    metrics: SocketAddrV4,
    shared: Arc<Shared>,
    log: &Logger,
) -> Result<()> {
    let routers = Router::new()
        .route("/ready", get(get_ready))
        .with_state(Arc::clone(&shared));
    let operators = Router::new()
        .route("/metrics", get(get_metrics))
        .route("/status", get(get_status))
        .with_state(shared);
    let ready_listener = listen(ready).await?;
    let metrics_listener = listen(metrics).await?;
    tokio::spawn(serve_port(ready_listener, routers, log.clone()));
    tokio::spawn(serve_port(metrics_listener, operators, log.clone()));
    Ok(())
}

async fn serve_port(listener: TcpListener, router: Router, log: Logger) {
    if let Err(error) = axum::serve(listener, router).await {
        error!(log, "HTTP port failed"; "error" => %error);
    }
}

async fn listen(address: SocketAddrV4) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Io {
            step: "bind HTTP address",
            peer: address.to_string(),
            source,
        })
}

async fn get_ready(State(shared): State<Arc<Shared>>) -> StatusCode {
    if shared.is_ready.load(Ordering::Relaxed) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn get_metrics(State(shared): State<Arc<Shared>>) -> impl IntoResponse {
    ([(CONTENT_TYPE, OPEN_METRICS)], shared.metrics.encode())
}

async fn get_status(State(shared): State<Arc<Shared>>) -> impl IntoResponse {
    let (sender, status) = oneshot::channel();
    if shared.status_requests.send(sender).await.is_err() {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let status = status.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(Json(status))
}

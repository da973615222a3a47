//! HTTP server for metrics and the readiness probe.

use axum::http;
use axum::response::IntoResponse;
use axum::routing;
use tokio::net;
use tokio::sync::watch;

use crate::metrics;

/// Serves `/metrics` and `/ready` until the task is aborted.
pub async fn run(
    listener: net::TcpListener,
    metrics: metrics::Metrics,
    ready: watch::Receiver<bool>,
) {
    let app = axum::Router::new()
        .route(
            "/metrics",
            routing::get(move || async move { metrics.text() }),
        )
        .route("/ready", routing::get(move || probe(ready.clone())));
    if let Err(error) = axum::serve(listener, app).await {
        log::error!("event=http_end error=\"{error}\"");
    }
}

async fn probe(ready: watch::Receiver<bool>) -> impl IntoResponse {
    if *ready.borrow() {
        return (http::StatusCode::OK, "ready\n");
    }
    (http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
}

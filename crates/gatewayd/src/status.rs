//! The balancer's question whether the instance is ready, and the metrics.

use std::{
    convert::Infallible,
    rc::Rc,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use siskinstile_core::error::Failure;
use siskinstile_gateway::State;
use tokio::{net::TcpListener, task::spawn_local, time};

use crate::control::Control;

/// Time after which an idle connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Pause after an error on accepting a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Buckets of latency histograms, in milliseconds.
const LATENCY_BUCKETS_MS: [f64; 10] =
    [10.0, 30.0, 100.0, 200.0, 300.0, 600.0, 900.0, 2_000.0, 5_000.0, 14_000.0];

/// Installs the process's recorder of metrics, once.
pub fn install_metrics() -> anyhow::Result<PrometheusHandle> {
    static INSTALLED: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut installed = INSTALLED.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*installed {
        return Ok(handle.clone());
    }
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_MS)?;
    let handle = builder.install_recorder()?;
    *installed = Some(handle.clone());
    Ok(handle)
}

/// Counts a request that ended with an error of the system's own.
pub fn count_failure(failure: &Failure) {
    metrics::counter!("siskinstile_requests_failed", "kind" => failure.kind.as_str()).increment(1);
}

/// Counts a request that was answered.
pub fn count_answer() {
    metrics::counter!("siskinstile_requests_answered").increment(1);
}

/// Notes the time from a request's arrival to the head of its answer.
pub fn note_head(elapsed: Duration) {
    let ms = elapsed.as_secs_f64() * 1_000.0;
    metrics::histogram!("siskinstile_head_latency_ms").record(ms);
}

/// Serves readiness: 200 while the instance is to get new connections.
pub async fn serve_ready(control: Rc<Control>, listener: TcpListener) {
    serve(listener, move || {
        let ready = control.read(State::is_ready);
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, Bytes::new())
    })
    .await;
}

/// Serves metrics as text.
pub async fn serve_metrics(handle: PrometheusHandle, listener: TcpListener) {
    serve(listener, move || {
        handle.run_upkeep();
        (StatusCode::OK, handle.render().into())
    })
    .await;
}

async fn serve(listener: TcpListener, answer: impl Fn() -> (StatusCode, Bytes) + 'static) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        spawn_local(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let (status, body) = answer();
                let mut response = Response::new(Full::new(body));
                *response.status_mut() = status;
                async { Ok::<_, Infallible>(response) }
            });
            let mut server = http1::Builder::new();
            server.timer(TokioTimer::new()).header_read_timeout(IDLE_LIMIT);
            if let Err(error) = server.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("status connection ended: {error}");
            }
        });
    }
}

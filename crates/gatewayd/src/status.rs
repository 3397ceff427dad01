//! The readiness check for the load balancer, and the metrics.

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
use siskinstile_gateway::{
    State,
    record::{self, Record},
};
use tokio::{net::TcpListener, task::spawn_local};

use crate::control::Control;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Upper bounds of the buckets of latency histograms, in milliseconds.
const LATENCY_BUCKETS_MS: [f64; 10] =
    [10.0, 30.0, 100.0, 200.0, 300.0, 600.0, 900.0, 2_000.0, 5_000.0, 14_000.0];

/// Installs the metrics recorder of the process.
///
/// Later calls return the handle of the first, since a process can have only one recorder.
pub fn install_metrics() -> anyhow::Result<PrometheusHandle> {
    static INSTALLED: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut installed = INSTALLED.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*installed {
        return Ok(handle.clone());
    }
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_MS)?;
    let handle = builder.install_recorder()?;
    *installed = Some(handle.clone());
    count_missing_address(0.0);
    Ok(handle)
}

/// Counts a request that the gateway answered with an error of its own.
pub fn count_failure(failure: &Failure) {
    metrics::counter!("siskinstile_requests_failed", "kind" => failure.kind.as_str()).increment(1);
}

/// Counts a log line by its event, also if the line itself is suppressed, and invalid input of
/// operators.
pub fn count_line(line: &Record) {
    metrics::counter!("siskinstile_events", "event" => line.code.text).increment(1);
    match line.code {
        record::ENTRY_UNREADABLE => metrics::counter!("siskinstile_entries_ignored").increment(1),
        record::CONFIG_REFUSED => {
            metrics::counter!("siskinstile_configurations_refused").increment(1)
        }
        record::VALUE_CLAMPED => metrics::counter!("siskinstile_values_clamped").increment(1),
        record::INNER_FAULT => metrics::counter!("siskinstile_inner_faults").increment(1),
        record::REGION_UNKNOWN => metrics::counter!("siskinstile_regions_unknown").increment(1),
        _ => {}
    }
}

/// Adds to the number of addresses that the process cannot listen at yet.
pub fn count_missing_address(change: f64) {
    metrics::gauge!("siskinstile_addresses_missing").increment(change);
}

/// Counts a request that ended with the complete response of an endpoint.
pub fn count_answer() {
    metrics::counter!("siskinstile_requests_answered").increment(1);
}

/// Records the time from a request's arrival to its response head.
pub fn record_head_latency(elapsed: Duration) {
    let ms = elapsed.as_secs_f64() * 1_000.0;
    metrics::histogram!("siskinstile_head_latency_ms").record(ms);
}

/// Serves readiness checks: 200 while the instance should get new connections, 503 otherwise.
pub async fn serve_ready(control: Rc<Control>, listener: TcpListener) {
    let state = control.clone();
    serve(&control, listener, move || {
        let control = &state;
        let ready =
            control.is_listening() && control.read(State::is_ready) && control.is_progressing();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, Bytes::new())
    })
    .await;
}

/// Serves the metrics in the Prometheus text format.
pub async fn serve_metrics(control: Rc<Control>, handle: PrometheusHandle, listener: TcpListener) {
    let memory = control.memory.clone();
    serve(&control, listener, move || {
        metrics::gauge!("siskinstile_buffered_bytes").set(memory.used() as f64);
        handle.run_upkeep();
        (StatusCode::OK, handle.render().into())
    })
    .await;
}

async fn serve(
    control: &Control,
    listener: TcpListener,
    respond: impl Fn() -> (StatusCode, Bytes) + 'static,
) {
    let respond = Rc::new(respond);
    let slots = control.descriptors.status();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a status connection failed: {error}");
                control.descriptors.recover(&error).await;
                continue;
            }
        };
        // Each answer is complete at once, so that all connections are idle.
        let Some(slot) = slots.acquire() else { continue };
        let respond = respond.clone();
        spawn_local(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let (status, body) = respond();
                let mut response = Response::new(Full::new(body));
                *response.status_mut() = status;
                async { Ok::<_, Infallible>(response) }
            });
            let mut server = http1::Builder::new();
            server.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
            tokio::select! {
                biased;
                result = server.serve_connection(TokioIo::new(stream), service) => {
                    result.unwrap_or_else(|it| log::debug!("status connection ended: {it}"));
                }
                () = slot.evicted() => {}
            }
        });
    }
}

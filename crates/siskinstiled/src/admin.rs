//! The listener for operators: `/live`, `/ready`, `/status`, `/explain/ID`, `/burn`, `/drain`,
//! `/metrics`.

use std::{
    convert::Infallible,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde_json::{Value, json};
use siskinstile_core::{Event, Query, log as events, request};
use tokio::{net::TcpListener, sync::oneshot, time};

use crate::control::Shared;

/// Time limit on the control thread's reply to a query.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after an error on accepting a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time limit on receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the metrics recorder of the process, which the first call installs.
pub fn recorder() -> &'static PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    RECORDER.get_or_init(|| {
        PrometheusBuilder::new().install_recorder().expect("the only recorder of the process")
    })
}

/// Serves operators' requests; logs an error on accepting a connection and continues after a pause.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    recorder();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                events::Record::new(events::ACCEPT_FAILED, error.to_string()).write();
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| respond(request, shared.clone()));
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn respond(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path();
    let ready = shared.ready.load(Ordering::Acquire);
    let response = match (request.method().as_str(), path) {
        ("GET", "/live") => text_response(200, "live\n".into()),
        ("GET", "/ready") if ready => text_response(200, "ready\n".into()),
        ("GET", "/ready") => text_response(503, "not ready\n".into()),
        ("GET", "/metrics") => text_response(200, recorder().render()),
        ("GET", "/status") => run_query(&shared, Query::Status).await,
        ("GET", "/burn") => run_query(&shared, Query::Burn).await,
        ("POST", "/drain") => {
            let _ = shared.events.send(Event::Drain);
            json_response(202, &json!({ "draining": true }))
        }
        ("GET", path) => match path.strip_prefix("/explain/").and_then(request::Id::parse) {
            Some(id) => run_query(&shared, Query::Explain(id)).await,
            None => json_response(404, &json!({ "error": "no such page" })),
        },
        _ => json_response(405, &json!({ "error": "wrong method" })),
    };
    Ok(response)
}

async fn run_query(shared: &Shared, query: Query) -> Response<Full<Bytes>> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let (sender, receiver) = oneshot::channel();
    if let Ok(mut queries) = shared.queries.lock() {
        queries.insert(id, sender);
    }
    let _ = shared.events.send(Event::Query { id, query });
    let reply = time::timeout(REPLY_TIMEOUT, receiver).await;
    match reply.map(|reply| reply.map(|it| it.to_value())) {
        Ok(Ok(Value::Null)) => json_response(404, &json!({ "error": "nothing is known of it" })),
        Ok(Ok(reply)) => json_response(200, &reply),
        _ => json_response(503, &json!({ "error": "the control thread gave no reply" })),
    }
}

fn text_response(status: u16, body: String) -> Response<Full<Bytes>> {
    build_response(status, "text/plain; charset=utf-8", body)
}

fn json_response(status: u16, body: &Value) -> Response<Full<Bytes>> {
    build_response(status, "application/json", body.to_string())
}

fn build_response(status: u16, content_type: &str, body: String) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Full::new(Bytes::from(body)))
        .expect("status and header are valid")
}

//! The mock backend server: drain, request deadlines and the record of its runs.

use http::header::CONNECTION;
use http::{Request, Response, StatusCode};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use lab::{BackendOptions, MockBackendServer, RunRecord};

async fn start(mean_service_ms: f64) -> (MockBackendServer, RunRecord) {
    let record = RunRecord::default();
    let options = BackendOptions { slots: 1, mean_service_ms, seed: 1 };
    let backend = MockBackendServer::start(options, record.clone()).await.expect("backend");
    (backend, record)
}

async fn get(backend: &MockBackendServer, headers: &[(&str, &str)]) -> Response<Incoming> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<bytes::Bytes>>();
    let mut request = Request::get(format!("http://{}/work", backend.address));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    client.request(request.body(Empty::new()).expect("request")).await.expect("a response")
}

#[tokio::test]
async fn draining_backend_server_rejects_requests_and_closes_the_connection() {
    let (backend, record) = start(0.1).await;
    backend.update_behavior(|behavior| behavior.draining = true);

    let response = get(&backend, &[("lab-request-id", "one")]).await;

    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()[CONNECTION], "close");
    assert_eq!(record.times_run("one"), 0);
    assert_eq!(record.received_requests().len(), 1);
}

#[tokio::test]
async fn request_past_its_deadline_ends_with_gateway_timeout() {
    let (backend, record) = start(3_600_000.0).await;

    let response = get(&backend, &[("lab-request-id", "one"), ("runpin-timeout-ms", "20")]).await;

    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(record.times_run("one"), 1);
}

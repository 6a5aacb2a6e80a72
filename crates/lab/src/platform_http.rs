//! The stand-in of the platform over HTTP/JSON.

use crate::platform::{MAX_VALUE_BYTES, PlatformStandIn};
use ::platform::wire::{
    BatchBody, ConflictBody, INSTANCES_PATH, InstancesBody, OBJECTS_PATH, ObjectBody, VersionBody,
};
use ::platform::{
    Expected, InstanceDirectory, Object, ObjectStore, StoreError, Version, WatchBatch,
};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Serves the platform's HTTP/JSON protocol until the task is dropped.
pub async fn serve(listener: TcpListener, platform: Arc<PlatformStandIn>) {
    while let Ok((stream, _)) = listener.accept().await {
        let platform = platform.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let platform = platform.clone();
                async move { answer(&platform, request).await }
            });
            // A broken connection is the client's to notice.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Answers a call; an error breaks the connection, as a lost answer does.
async fn answer(
    platform: &PlatformStandIn,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, StoreError> {
    match try_answer(platform, request).await {
        Ok(response) => Ok(response),
        Err(StoreError::Conflict { current }) => {
            let body = ConflictBody { current: current.map(|version| version.0) };
            Ok(json(StatusCode::CONFLICT, &body))
        }
        Err(StoreError::TooLarge { .. }) => Ok(empty(StatusCode::PAYLOAD_TOO_LARGE)),
        Err(StoreError::Unsure) => Err(StoreError::Unsure),
        Err(_) => Ok(empty(StatusCode::SERVICE_UNAVAILABLE)),
    }
}

async fn try_answer(
    platform: &PlatformStandIn,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, StoreError> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    if path == INSTANCES_PATH && method == Method::GET {
        let body = InstancesBody {
            entry: platform.entry_instances().await?,
            leaving_backend_servers: platform.leaving(),
        };
        return Ok(json(StatusCode::OK, &body));
    }
    if path == OBJECTS_PATH && method == Method::GET {
        let prefix = decode(parameter(&query, "prefix").unwrap_or_default());
        let batch = match number(&query, "after") {
            Some(after) => {
                let wait_ms = number(&query, "wait_ms").unwrap_or(0);
                platform.watch(&prefix, Version(after), Duration::from_millis(wait_ms)).await?
            }
            None => platform.list(&prefix).await?,
        };
        return Ok(json(StatusCode::OK, &batch_body(batch)));
    }
    let Some(key) = path.strip_prefix("/objects/") else {
        return Ok(empty(StatusCode::NOT_FOUND));
    };
    let key = &decode(key);
    let if_version = number(&query, "if_version").unwrap_or(0);
    match method {
        Method::GET => Ok(match platform.get(key).await? {
            Some(object) => json(StatusCode::OK, &object_body(object)),
            None => empty(StatusCode::NOT_FOUND),
        }),
        Method::PUT => {
            let too_large = |_| StoreError::TooLarge { bytes: 0, limit: MAX_VALUE_BYTES };
            let body = Limited::new(request.into_body(), MAX_VALUE_BYTES);
            let value = body.collect().await.map_err(too_large)?.to_bytes();
            let expected = match if_version {
                0 => Expected::Absent,
                version => Expected::Version(Version(version)),
            };
            let version = platform.put(key, value, expected).await?.0;
            Ok(json(StatusCode::OK, &VersionBody { version }))
        }
        Method::DELETE => {
            platform.delete(key, Version(if_version)).await?;
            Ok(empty(StatusCode::OK))
        }
        _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Replaces each `%XX` by the byte that it stands for.
fn decode(text: &str) -> String {
    let (first, rest) = text.split_once('%').unwrap_or((text, ""));
    let mut bytes = first.as_bytes().to_vec();
    for part in rest.split('%').filter(|part| !part.is_empty()) {
        match part.get(..2).and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                bytes.extend(&part.as_bytes()[2..]);
            }
            None => bytes.extend(format!("%{part}").bytes()),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn number(query: &str, name: &str) -> Option<u64> {
    parameter(query, name)?.parse().ok()
}

fn object_body(object: Object) -> ObjectBody {
    let value = String::from_utf8_lossy(&object.value).into();
    ObjectBody { key: object.key, version: object.version.0, value }
}

fn batch_body(batch: WatchBatch) -> BatchBody {
    BatchBody {
        revision: batch.revision.0,
        objects: batch.changed.into_iter().map(object_body).collect(),
        deleted: batch.deleted,
    }
}

fn json<T: serde::Serialize>(status: StatusCode, body: &T) -> Response<Full<Bytes>> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

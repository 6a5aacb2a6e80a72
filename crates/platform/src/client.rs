//! The HTTP client of the platform.

use crate::wire::{
    BatchBody, ConflictBody, INSTANCES_PATH, InstancesBody, OBJECTS_PATH, ObjectBody, VersionBody,
};
use crate::{
    Expected, InstanceDirectory, InstanceEntry, InstanceList, Object, ObjectStore, StoreError,
    UnavailableCause, Version, WatchBatch,
};
use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest value of one object, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 1_000_000;

/// Largest answer read, in bytes: a list of many objects.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Timeout of a call that does not wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Characters of a key that stand for themselves in a path.
fn encode_key(key: &str) -> String {
    key.bytes().fold(String::with_capacity(key.len()), |mut text, byte| {
        if byte.is_ascii_alphanumeric() || b"-._~/:".contains(&byte) {
            text.push(char::from(byte));
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
        text
    })
}

/// The platform, spoken to over HTTP/1.1.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    authority: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpPlatform {
    /// Makes a client of the platform at `address`; it connects when first called.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { authority: address, client }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let changes = method != Method::GET;
        let lost = || match changes {
            true => StoreError::Unsure,
            false => StoreError::Unavailable(UnavailableCause::Timeout),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.authority))
            .body(Full::new(body))
            .map_err(|_| StoreError::Protocol { status: 0 })?;
        let exchange = async {
            let response =
                self.client.request(request).await.map_err(|error| match error.is_connect() {
                    true => StoreError::Unavailable(UnavailableCause::Connect),
                    false => lost(),
                })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|_| lost())?;
            Ok((status, body.to_bytes()))
        };
        let answer = tokio::time::timeout(timeout, exchange).await.map_err(|_| lost())?;
        match answer? {
            (status, _) if status == StatusCode::SERVICE_UNAVAILABLE => {
                Err(StoreError::Unavailable(UnavailableCause::Status(status.as_u16())))
            }
            answer => Ok(answer),
        }
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<Option<T>, StoreError> {
        match self.call(Method::GET, path, Bytes::new(), timeout).await? {
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (StatusCode::OK, body) => decode(&body).map(Some),
            (status, _) => Err(StoreError::Protocol { status: status.as_u16() }),
        }
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|_| StoreError::Protocol { status: 200 })
}

fn conflict(body: &[u8]) -> StoreError {
    match decode::<ConflictBody>(body) {
        Ok(conflict) => StoreError::Conflict { current: conflict.current.map(Version) },
        Err(error) => error,
    }
}

/// Returns what an answer says that is neither a success nor a conflict: after a failure within the
/// platform the write may have taken effect.
fn failed_write(status: StatusCode) -> StoreError {
    match status.is_server_error() {
        true => StoreError::Unsure,
        false => StoreError::Protocol { status: status.as_u16() },
    }
}

impl From<ObjectBody> for Object {
    fn from(body: ObjectBody) -> Self {
        let value = Bytes::copy_from_slice(body.value.as_bytes());
        Self { key: body.key, version: Version(body.version), value }
    }
}

impl From<BatchBody> for WatchBatch {
    fn from(body: BatchBody) -> Self {
        Self {
            revision: Version(body.revision),
            changed: body.objects.into_iter().map(Object::from).collect(),
            deleted: body.deleted,
        }
    }
}

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let path = format!("{OBJECTS_PATH}/{}", encode_key(key));
        Ok(self.read::<ObjectBody>(&path, CALL_TIMEOUT).await?.map(Object::from))
    }

    async fn list(&self, prefix: &str) -> Result<WatchBatch, StoreError> {
        let path = format!("{OBJECTS_PATH}?prefix={}", encode_key(prefix));
        let batch = self.read::<BatchBody>(&path, CALL_TIMEOUT).await?;
        Ok(batch.unwrap_or_default().into())
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { bytes: value.len(), limit: MAX_VALUE_BYTES });
        }
        let version = match expected {
            Expected::Absent => 0,
            Expected::Version(version) => version.0,
        };
        let path = format!("{OBJECTS_PATH}/{}?if_version={version}", encode_key(key));
        match self.call(Method::PUT, &path, value, CALL_TIMEOUT).await? {
            // An answer that can't be read is as good as lost.
            (StatusCode::OK, body) => decode::<VersionBody>(&body)
                .map(|body| Version(body.version))
                .map_err(|_| StoreError::Unsure),
            (StatusCode::CONFLICT, body) => Err(conflict(&body)),
            (status, _) => Err(failed_write(status)),
        }
    }

    async fn delete(&self, key: &str, expected: Version) -> Result<(), StoreError> {
        let path = format!("{OBJECTS_PATH}/{}?if_version={}", encode_key(key), expected.0);
        match self.call(Method::DELETE, &path, Bytes::new(), CALL_TIMEOUT).await? {
            (StatusCode::OK, _) => Ok(()),
            (StatusCode::CONFLICT, body) => Err(conflict(&body)),
            (status, _) => Err(failed_write(status)),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let path = format!(
            "{OBJECTS_PATH}?prefix={}&after={}&wait_ms={}",
            encode_key(prefix),
            after.0,
            wait.as_millis()
        );
        let batch = self.read::<BatchBody>(&path, wait + CALL_TIMEOUT).await?;
        Ok(batch.unwrap_or_default().into())
    }
}

#[async_trait]
impl InstanceDirectory for HttpPlatform {
    async fn instances(&self) -> Result<InstanceList, StoreError> {
        let body = self.read::<InstancesBody>(INSTANCES_PATH, CALL_TIMEOUT).await?;
        let body = body.unwrap_or_default();
        let leaving_backend_servers = body.leaving_backend_servers;
        Ok(InstanceList { entry: body.entry, leaving_backend_servers })
    }

    async fn entry_instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        Ok(self.instances().await?.entry)
    }

    async fn leaving_backend_servers(&self) -> Result<Vec<SocketAddr>, StoreError> {
        Ok(self.instances().await?.leaving_backend_servers)
    }
}

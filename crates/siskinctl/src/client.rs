//! HTTP client for the platform and for the admin addresses of instances.

use std::time::Duration;

use anyhow::{Context, bail};
use attohttpc::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;
use siskinstile_core::object::Name;
use siskinstile_macros::value;

/// Time limit on connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit on a complete request, and on each read of its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// An object as stored on the platform.
#[value(serde)]
pub(crate) struct Object {
    /// Unique name within its kind.
    pub(crate) name: Name,
    /// Version of the last write, on which the next write is conditional.
    pub(crate) version: u64,
    /// The fields of the object.
    pub(crate) value: Value,
}

/// Response to a list request: every object of one kind.
#[value(serde)]
struct List {
    objects: Vec<Object>,
}

/// Outcome of a conditional write or removal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The change took effect.
    Done,
    /// The object has another version, since another writer changed it after it was read.
    Conflict,
}

/// An HTTP client for one address.
pub(crate) struct Client<'a> {
    address: &'a str,
}

impl<'a> Client<'a> {
    pub(crate) fn new(address: &'a str) -> Client<'a> {
        Client { address }
    }

    /// Returns all objects of a kind.
    pub(crate) fn list(&self, kind: &str) -> anyhow::Result<Vec<Object>> {
        let list: Option<List> = self.fetch(&format!("/objects/{kind}"))?;
        Ok(list.map(|list| list.objects).unwrap_or_default())
    }

    /// Returns one object, if it exists.
    pub(crate) fn get(&self, kind: &str, name: &str) -> anyhow::Result<Option<Object>> {
        self.fetch(&format!("/objects/{kind}/{name}"))
    }

    /// Writes an object if its version is still `version`; 0 creates it.
    ///
    /// The response may be lost after the write took effect, so a transport error or a conflict
    /// counts as [`Outcome::Done`] if the platform already stores this value.
    pub(crate) fn put(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
    ) -> anyhow::Result<Outcome> {
        let url = self.url(&format!("/objects/{kind}/{name}?if_version={version}"));
        let request = configure(attohttpc::put(&url)).json(value)?;
        let written = request.send().with_context(|| format!("cannot write {kind} `{name}`"));
        let result = match written {
            Ok(response) if response.is_success() => return Ok(Outcome::Done),
            Ok(response) if response.status() == StatusCode::CONFLICT => Ok(Outcome::Conflict),
            Ok(response) => bail!("{kind} `{name}`: {}", error_message(response)),
            Err(error) => Err(error),
        };
        match self.get(kind, name) {
            Ok(Some(object)) if object.value == *value => Ok(Outcome::Done),
            _ => result,
        }
    }

    /// Removes an object if its version is still `version`; a missing object counts as removed.
    pub(crate) fn delete(&self, kind: &str, name: &str, version: u64) -> anyhow::Result<Outcome> {
        let url = self.url(&format!("/objects/{kind}/{name}?if_version={version}"));
        let response = configure(attohttpc::delete(&url))
            .send()
            .with_context(|| format!("cannot remove {kind} `{name}`"))?;
        match response.status() {
            StatusCode::CONFLICT => Ok(Outcome::Conflict),
            StatusCode::NOT_FOUND => Ok(Outcome::Done),
            status if status.is_success() => Ok(Outcome::Done),
            _ => bail!("{kind} `{name}`: {}", error_message(response)),
        }
    }

    /// Returns the JSON document at a path, or `None` if the path does not exist (404).
    pub(crate) fn fetch<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<Option<T>> {
        self.send(configure(attohttpc::get(self.url(path))))
    }

    /// Posts to a path without a body and returns the JSON response, or `None` on a 404.
    pub(crate) fn post(&self, path: &str) -> anyhow::Result<Option<Value>> {
        self.send(configure(attohttpc::post(self.url(path))))
    }

    fn send<B: attohttpc::body::Body, T: DeserializeOwned>(
        &self,
        request: RequestBuilder<B>,
    ) -> anyhow::Result<Option<T>> {
        let response = request.send().with_context(|| format!("cannot reach {}", self.address))?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => {
                let body = response
                    .bytes()
                    .with_context(|| format!("the response of {} is incomplete", self.address))?;
                let document = serde_json::from_slice(&body)
                    .with_context(|| format!("{} returned unexpected JSON", self.address))?;
                Ok(Some(document))
            }
            _ => bail!("{}: {}", self.address, error_message(response)),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

/// Sets the timeouts of a request and disables proxies.
fn configure<B>(request: RequestBuilder<B>) -> RequestBuilder<B> {
    let request = request.proxy_settings(attohttpc::ProxySettings::builder().build());
    request.connect_timeout(CONNECT_TIMEOUT).read_timeout(REQUEST_TIMEOUT).timeout(REQUEST_TIMEOUT)
}

/// Returns the status and body of an unsuccessful response as an error message.
fn error_message(response: attohttpc::Response) -> String {
    let status = response.status();
    let body = response.text().unwrap_or_default();
    format!("refused with {status}: {}", body.trim())
}

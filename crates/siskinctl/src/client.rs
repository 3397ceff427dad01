//! Calls to the platform and to the admin address of instances.

use std::time::Duration;

use anyhow::{Context, bail};
use attohttpc::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;
use siskinstile_core::object::Name;
use siskinstile_macros::value;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// An object as the platform holds it.
#[value(serde)]
pub(crate) struct Object {
    /// Unique name within its kind.
    pub(crate) name: Name,
    /// Version of the last write.
    pub(crate) version: u64,
    /// The value.
    pub(crate) value: Value,
}

/// Every object of a kind.
#[value(serde)]
struct List {
    objects: Vec<Object>,
}

/// Outcome of a conditional call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The change has taken effect.
    Done,
    /// Another writer was first.
    Conflict,
}

/// The HTTP client of one address.
pub(crate) struct Client<'a> {
    address: &'a str,
}

impl<'a> Client<'a> {
    pub(crate) fn open(address: &'a str) -> Client<'a> {
        Client { address }
    }

    /// Returns every object of a kind.
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
    /// An answer may be lost after the write took effect, so a failure or a conflict counts as
    /// done when the platform holds the value.
    pub(crate) fn put(
        &self,
        kind: &str,
        name: &str,
        version: u64,
        value: &Value,
    ) -> anyhow::Result<Outcome> {
        let url = self.url(&format!("/objects/{kind}/{name}?if_version={version}"));
        let call = limit(attohttpc::put(&url)).json(value)?;
        let written = call.send().with_context(|| format!("cannot write {kind} `{name}`"));
        let failure = match written {
            Ok(answer) if answer.is_success() => return Ok(Outcome::Done),
            Ok(answer) if answer.status() == StatusCode::CONFLICT => Ok(Outcome::Conflict),
            Ok(answer) => bail!("{kind} `{name}`: {}", refusal(answer)),
            Err(error) => Err(error),
        };
        match self.get(kind, name) {
            Ok(Some(object)) if object.value == *value => Ok(Outcome::Done),
            _ => failure,
        }
    }

    /// Removes an object if its version is still `version`.
    pub(crate) fn delete(&self, kind: &str, name: &str, version: u64) -> anyhow::Result<Outcome> {
        let url = self.url(&format!("/objects/{kind}/{name}?if_version={version}"));
        let answer = limit(attohttpc::delete(&url))
            .send()
            .with_context(|| format!("cannot remove {kind} `{name}`"))?;
        match answer.status() {
            StatusCode::CONFLICT => Ok(Outcome::Conflict),
            StatusCode::NOT_FOUND => Ok(Outcome::Done),
            status if status.is_success() => Ok(Outcome::Done),
            _ => bail!("{kind} `{name}`: {}", refusal(answer)),
        }
    }

    /// Returns the JSON document at a path; none if there is nothing.
    pub(crate) fn fetch<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<Option<T>> {
        self.call(limit(attohttpc::get(self.url(path))))
    }

    /// Posts to a path without a body and returns the JSON document of the answer.
    pub(crate) fn post(&self, path: &str) -> anyhow::Result<Option<Value>> {
        self.call(limit(attohttpc::post(self.url(path))))
    }

    fn call<B: attohttpc::body::Body, T: DeserializeOwned>(
        &self,
        call: RequestBuilder<B>,
    ) -> anyhow::Result<Option<T>> {
        let answer = call.send().with_context(|| format!("cannot reach {}", self.address))?;
        match answer.status() {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => {
                let body = answer.bytes().with_context(|| format!("{} broke off", self.address))?;
                let document = serde_json::from_slice(&body)
                    .with_context(|| format!("{} gave no such JSON", self.address))?;
                Ok(Some(document))
            }
            _ => bail!("{}: {}", self.address, refusal(answer)),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn limit<B>(call: RequestBuilder<B>) -> RequestBuilder<B> {
    let call = call.proxy_settings(attohttpc::ProxySettings::builder().build());
    call.connect_timeout(CONNECT_TIMEOUT).read_timeout(CALL_TIMEOUT).timeout(CALL_TIMEOUT)
}

fn refusal(answer: attohttpc::Response) -> String {
    let status = answer.status();
    let body = answer.text().unwrap_or_default();
    format!("refused with {status}: {}", body.trim())
}

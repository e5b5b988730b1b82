//! Asking one instance.

use std::time::Duration;

use bytes::Bytes;
use reqwest::Response;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::platform::transport;

/// Largest answer of an instance that is read, in bytes; a broken one must not
/// fill the memory of the operator's machine.
const MAX_ANSWER: usize = 4 << 20;

/// Asks instances at their status addresses.
#[derive(Clone)]
pub(crate) struct StatusClient {
    http: reqwest::Client,
    timeout: Duration,
}

impl StatusClient {
    /// One that waits so long for an answer.
    pub(crate) fn new(timeout: Duration) -> Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .map_err(|e| Error::Refused {
                step: "instance client",
                peer: "settings".to_owned(),
                reason: e.to_string(),
            })?;
        Ok(Self { http, timeout })
    }

    /// What an instance answers at a path.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        address: id::Endpoint,
        path: &str,
    ) -> Result<T> {
        let whole = async {
            let response = self.http.get(format!("http://{address}{path}")).send();
            let response = response
                .await
                .map_err(|e| silent(address, transport::root_cause(&e)))?;
            let body = read_body(address, response).await?;
            serde_json::from_slice(&body).map_err(|e| Error::Decode {
                step: "answer",
                peer: address.to_string(),
                reason: e.to_string(),
            })
        };
        tokio::time::timeout(self.timeout, whole)
            .await
            .unwrap_or_else(|_| Err(silent(address, "timed out")))
    }
}

fn silent(address: id::Endpoint, reason: impl ToString) -> Error {
    Error::Unanswered {
        step: "ask instance",
        peer: address.to_string(),
        reason: reason.to_string(),
    }
}

async fn read_body(address: id::Endpoint, response: Response) -> Result<Bytes> {
    let status = response.status();
    if !status.is_success() {
        return Err(silent(address, status));
    }
    let body = transport::read_limited(response, MAX_ANSWER).await;
    body.map_err(|reason| silent(address, reason))
}

//! HTTP client for the status port of an instance.

use std::time::Duration;

use bytes::Bytes;
use reqwest::Response;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::platform::transport;

/// Largest response body that is read, in bytes. Without a limit, a faulty instance
/// could exhaust the memory of the operator's machine.
const MAX_RESPONSE_LEN: usize = 4 << 20;

/// Sends GET requests to the status addresses of instances.
#[derive(Clone)]
pub(crate) struct StatusClient {
    http: reqwest::Client,
    timeout: Duration,
}

impl StatusClient {
    /// Creates a client that waits at most `timeout` for an answer.
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

    /// Requests a path from an instance and decodes the JSON answer.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        address: id::Endpoint,
        path: &str,
    ) -> Result<T> {
        let exchange = async {
            let response = self.http.get(format!("http://{address}{path}")).send();
            let response = response
                .await
                .map_err(|e| unanswered(address, transport::root_cause(&e)))?;
            let body = read_body(address, response).await?;
            serde_json::from_slice(&body).map_err(|e| Error::Decode {
                step: "answer",
                peer: address.to_string(),
                reason: e.to_string(),
            })
        };
        tokio::time::timeout(self.timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(unanswered(address, "timed out")))
    }
}

fn unanswered(address: id::Endpoint, reason: impl ToString) -> Error {
    Error::Unanswered {
        step: "ask instance",
        peer: address.to_string(),
        reason: reason.to_string(),
    }
}

async fn read_body(address: id::Endpoint, response: Response) -> Result<Bytes> {
    let status = response.status();
    if !status.is_success() {
        return Err(unanswered(address, status));
    }
    let body = transport::read_limited(response, MAX_RESPONSE_LEN).await;
    body.map_err(|reason| unanswered(address, reason))
}

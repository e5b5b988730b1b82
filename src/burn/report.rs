//! Collects the burn samples of all instances for the operators' tool.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;

use crate::burn;
use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::platform::transport;

/// Default timeout for one instance's response.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of instances that are queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 16;

/// Largest response body that is read, in bytes.
const MAX_RESPONSE_LEN: usize = 1 << 20;

const STEP: &str = "get burn";

/// Requests the burn sample of every instance and merges the samples.
///
/// An instance that gives no sample of its own within `timeout` becomes a gap.
///
/// # Errors
///
/// [`Error::Io`] if the HTTP client cannot be set up. A failure at an instance is
/// no error but a gap in the report.
pub async fn burn(
    instances: &[(id::Instance, id::Endpoint)],
    timeout: Duration,
) -> Result<burn::Report> {
    let client = client(timeout)?;
    let requests = instances.iter().map(|(instance, endpoint)| {
        let sample = fetch_sample(&client, instance, *endpoint);
        async move { (instance, sample.await) }
    });
    let responses: Vec<_> = stream::iter(requests)
        .buffer_unordered(MAX_CONCURRENT_REQUESTS)
        .collect()
        .await;
    let mut samples = Vec::new();
    let mut gaps = Vec::new();
    for (instance, response) in responses {
        match response {
            Ok(sample) => samples.push(sample),
            Err(error) => gaps.push(burn::Gap {
                instance: instance.clone(),
                reason: error.to_string(),
            }),
        }
    }
    Ok(burn::Report::merge(&samples, gaps))
}

fn client(timeout: Duration) -> Result<reqwest::Client> {
    let client = reqwest::Client::builder()
        .timeout(timeout)
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .build();
    client.map_err(|error| Error::Io {
        step: "set up HTTP client",
        peer: "this process".to_owned(),
        source: std::io::Error::other(error),
    })
}

/// Requests the sample of one instance.
///
/// Another instance may have taken over the address since it was listed. Its sample
/// is rejected: the other instance would be counted twice, and the absence of the
/// listed one would be hidden.
async fn fetch_sample(
    client: &reqwest::Client,
    instance: &id::Instance,
    endpoint: id::Endpoint,
) -> Result<burn::Sample> {
    let body = fetch_body(client, endpoint).await?;
    let decoded = serde_json::from_slice::<burn::Sample>(&body);
    let sample = decoded.map_err(|error| malformed_response(endpoint, error.to_string()))?;
    if sample.holder.instance != *instance {
        return Err(malformed_response(
            endpoint,
            format!("the answer is of {}", sample.holder),
        ));
    }
    Ok(sample)
}

async fn fetch_body(client: &reqwest::Client, endpoint: id::Endpoint) -> Result<Bytes> {
    let to_error = |error: reqwest::Error| request_error(endpoint, &error);
    let response = client.get(format!("http://{endpoint}/burn")).send().await;
    let response = response
        .and_then(reqwest::Response::error_for_status)
        .map_err(to_error)?;
    let body = transport::read_limited(response, MAX_RESPONSE_LEN).await;
    body.map_err(|reason| malformed_response(endpoint, reason))
}

fn request_error(endpoint: id::Endpoint, error: &reqwest::Error) -> Error {
    let (step, peer) = (STEP, endpoint.to_string());
    if error.is_connect() {
        let reason = "connection refused or host unreachable".to_owned();
        return Error::Unreachable { step, peer, reason };
    }
    if error.is_timeout() {
        let reason = "no answer in time".to_owned();
        return Error::Unanswered { step, peer, reason };
    }
    match error.status() {
        Some(status) => Error::Refused {
            step,
            peer,
            reason: status.to_string(),
        },
        None => Error::Unanswered {
            step,
            peer,
            reason: error.to_string(),
        },
    }
}

fn malformed_response(endpoint: id::Endpoint, reason: String) -> Error {
    Error::Decode {
        step: STEP,
        peer: endpoint.to_string(),
        reason,
    }
}

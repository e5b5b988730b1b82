//! Gathering what instances tell, for the operators' tool.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;

use crate::burn;
use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::platform::transport;

/// Time for one instance's answer.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Instances asked at once.
const AT_ONCE: usize = 16;

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 1 << 20;

const STEP: &str = "get burn";

/// Asks every instance for its burn sample and merges what comes.
///
/// An instance that gives no sample of its own within `timeout` is a gap.
///
/// # Errors
///
/// [`Error::Io`] if the HTTP client cannot be set up; what fails at an instance
/// is a gap in the report instead.
pub async fn burn(
    instances: &[(id::Instance, id::Endpoint)],
    timeout: Duration,
) -> Result<burn::Report> {
    let client = client(timeout)?;
    let asked = instances.iter().map(|(instance, endpoint)| {
        let sample = sample(&client, instance, *endpoint);
        async move { (instance, sample.await) }
    });
    let answers: Vec<_> = stream::iter(asked)
        .buffer_unordered(AT_ONCE)
        .collect()
        .await;
    let mut samples = Vec::new();
    let mut gaps = Vec::new();
    for (instance, answer) in answers {
        match answer {
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

/// The sample of an instance.
///
/// The address may have passed to another instance since it was listed. Taking
/// that one's sample would count it twice and hide that the first is gone.
async fn sample(
    client: &reqwest::Client,
    instance: &id::Instance,
    endpoint: id::Endpoint,
) -> Result<burn::Sample> {
    let body = fetch(client, endpoint).await?;
    let decoded = serde_json::from_slice::<burn::Sample>(&body);
    let sample = decoded.map_err(|error| malformed(endpoint, error.to_string()))?;
    if sample.holder.instance != *instance {
        return Err(malformed(
            endpoint,
            format!("the answer is of {}", sample.holder),
        ));
    }
    Ok(sample)
}

async fn fetch(client: &reqwest::Client, endpoint: id::Endpoint) -> Result<Bytes> {
    let failed = |error: reqwest::Error| failure(endpoint, &error);
    let response = client.get(format!("http://{endpoint}/burn")).send().await;
    let response = response
        .and_then(reqwest::Response::error_for_status)
        .map_err(failed)?;
    let body = transport::read_limited(response, MAX_ANSWER).await;
    body.map_err(|reason| malformed(endpoint, reason))
}

fn failure(endpoint: id::Endpoint, error: &reqwest::Error) -> Error {
    let (step, peer) = (STEP, endpoint.to_string());
    if error.is_connect() {
        let reason = "nobody listens or no way there".to_owned();
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

fn malformed(endpoint: id::Endpoint, reason: String) -> Error {
    Error::Decode {
        step: STEP,
        peer: endpoint.to_string(),
        reason,
    }
}

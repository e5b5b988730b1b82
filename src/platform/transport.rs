//! HTTP calls to the platform: addresses, timeouts, rate limits and counters.

use std::borrow::Cow;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::header::CONTENT_TYPE;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::platform::BaseUrl;
use crate::platform::CallCounts;
use crate::platform::Change;
use crate::platform::Era;
use crate::platform::EraHeader;
use crate::platform::Options;
use crate::platform::Revision;
use crate::platform::call::Body;
use crate::platform::call_time::CallTimes;
use crate::platform::gateway;
use crate::platform::gateway::DecodeResult;
use crate::platform::rate_limit::TokenBucket;

/// Largest response body that is read, in bytes.
///
/// Values hold up to a megabyte; a longer response does not come from a store
/// and would only fill the memory.
pub(crate) const MAX_RESPONSE_LEN: usize = 64 << 20;

/// Time limit of a response body, in multiples of the call timeout. Each received byte
/// extends it by the time that the byte takes at [`MIN_BODY_RATE`].
const BODY_TIMEOUT_FACTOR: u32 = 10;

/// Bytes a second at which a response body is read however long it takes: a fifth of the
/// slowest supported link, 0.5 Mbit/s. A slower response is aborted: either the peer holds
/// bytes back, or a new request is likely to be faster.
const MIN_BODY_RATE: f64 = 12_500.0;

/// Time limit for reading the body of an error response, which is one line.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Media type of JSON bodies.
const JSON: &str = "application/json";

/// Idle connections kept for each address.
///
/// If a device on the path has dropped the state of a connection, the next call
/// on it times out, which closes the connection. Few connections are kept, and
/// not for long, so that few calls are lost after such a fault.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Adds one to a counter.
pub(crate) fn increment(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

/// Kind of a call, by which calls are rate limited and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Read,
    /// A further page of a listing, which the first page was admitted for. If pages were
    /// limited one by one, a listing with more of them than the rate allows would fail
    /// midway, begin anew, and never end.
    NextPage,
    Write,
    Lease,
    Watch,
}

/// Body of a POST request.
#[derive(Debug)]
pub(crate) enum Payload {
    /// A request to the etcd JSON gateway.
    Gateway(Box<Body>),
    /// JSON encoded by a [`crate::platform::poll::Dialect`].
    Json(String),
}

/// One call, independent of the address that it is sent to.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) step: &'static str,
    pub(crate) kind: Kind,
    /// Path and query.
    pub(crate) path: Cow<'static, str>,
    /// Body of a POST request; without a body the call is a GET request.
    pub(crate) body: Option<Payload>,
    /// Time for which the store may delay its response, in addition to the call
    /// timeout.
    pub(crate) wait: Duration,
    /// Header of the response with the store's [`Era`]; `None` for a store without eras.
    pub(crate) era_header: Option<EraHeader>,
}

impl Call {
    /// The error of a call without a valid response, which may have taken effect.
    pub(crate) fn unanswered(&self, peer: &BaseUrl, reason: impl ToString) -> Error {
        Error::Unanswered {
            step: self.step,
            peer: peer.to_string(),
            reason: reason.to_string(),
        }
    }

    /// The era of the store in the headers of a response; 0 if the store has none.
    pub(crate) fn era(&self, response: &Response) -> std::result::Result<Era, String> {
        let name = self.era_header.as_ref();
        let Some(value) = name.and_then(|name| response.headers().get(name.name())) else {
            return Ok(Era::default());
        };
        let text = value.to_str().map_err(|error| error.to_string())?;
        text.parse().map_err(|error: Error| error.to_string())
    }

    /// The error of a response whose era does not fit; the call may have taken effect.
    pub(crate) fn outdated(&self, era: Era, reason: &str) -> Error {
        Error::Unanswered {
            step: self.step,
            peer: format!("era {era}"),
            reason: reason.to_owned(),
        }
    }

    /// The error of a call that refers to a revision of before a restore.
    pub(crate) fn restored(&self, era: Era) -> Error {
        Error::Compacted {
            step: self.step,
            peer: format!("era {era}"),
        }
    }

    /// Adds the era to a revision as the store reported it.
    pub(crate) fn in_era(&self, era: Era, number: u64) -> Result<u64> {
        let revision = Revision::new(era, number);
        let revision = revision.ok_or_else(|| self.outdated(era, "revision out of range"))?;
        Ok(revision.0)
    }

    /// Adds the era to the revision of a change.
    pub(crate) fn change_in_era(&self, era: Era, change: &mut Change) -> Result<()> {
        let revision = change.mod_revision_mut();
        *revision = self.in_era(era, *revision)?;
        Ok(())
    }

    /// Whether another address may be tried after this error.
    ///
    /// A write whose bytes may have been sent must not be sent again: the second
    /// copy would fail because of the first one, or take effect after the caller
    /// gave up.
    fn may_try_next_address(&self, error: &Error) -> bool {
        match error {
            Error::Unreachable { .. } => true,
            Error::Unanswered { .. } => matches!(self.kind, Kind::Read | Kind::NextPage),
            _ => false,
        }
    }
}

struct RateLimits {
    reads: TokenBucket,
    writes: TokenBucket,
}

/// State shared by the clones of a client.
pub(crate) struct Transport {
    /// The HTTP client for new calls. No other lock is taken while this one is held.
    http: Mutex<reqwest::Client>,
    base_urls: Vec<BaseUrl>,
    /// Index of the address that is tried first.
    current: AtomicUsize,
    options: Options,
    rate_limits: Mutex<RateLimits>,
    counts: CallCounts,
    /// Of the calls that the store answers at once.
    call_times: CallTimes,
    /// Latest era in a response; `None` before the first response.
    era: watch::Sender<Option<Era>>,
}

impl Transport {
    pub(crate) fn new(base_urls: Vec<BaseUrl>, options: Options) -> Result<Self> {
        if base_urls.is_empty() {
            return Err(invalid_settings("no address"));
        }
        let http = Mutex::new(http_client(&options)?);
        let now = Instant::now();
        let rate_limits = RateLimits {
            reads: TokenBucket::new(options.read_rate, now),
            writes: TokenBucket::new(options.write_rate, now),
        };
        Ok(Self {
            http,
            base_urls,
            current: AtomicUsize::new(0),
            options,
            rate_limits: Mutex::new(rate_limits),
            counts: CallCounts::default(),
            call_times: CallTimes::default(),
            era: watch::Sender::default(),
        })
    }

    /// The latest era of the store that is known; `None` before the first response.
    pub(crate) fn era(&self) -> Option<Era> {
        *self.era.borrow()
    }

    /// Waits until the store is known to have been restored after this era.
    pub(crate) async fn wait_for_restore(&self, era: Era) {
        // The sender lives as long as this borrow.
        let _ = self
            .era
            .subscribe()
            .wait_for(|latest| *latest > Some(era))
            .await;
    }

    /// Records an era of the store.
    pub(crate) fn record_era(&self, era: Era) {
        self.era.send_if_modified(|known| {
            let is_later = Some(era) > *known;
            *known = Some(era).max(*known);
            is_later
        });
    }

    pub(crate) fn counts(&self) -> &CallCounts {
        &self.counts
    }

    /// Time that a call takes at present, from the ones made last and those in progress.
    pub(crate) fn call_time(&self) -> Duration {
        self.call_times.longest()
    }

    pub(crate) fn options(&self) -> &Options {
        &self.options
    }

    /// Makes a call, at most once at each address; returns the era of its response as well.
    /// A response that is older than the latest era known is rejected.
    pub(crate) async fn call<T>(
        &self,
        call: &Call,
        decode: fn(&[u8]) -> DecodeResult<T>,
    ) -> Result<(T, Era)> {
        let (value, era) = self.call_stale(call, decode).await?;
        if self.era() > Some(era) {
            return Err(call.outdated(era, "the store has been restored since"));
        }
        Ok((value, era))
    }

    /// Makes a call whose response may be from before the store was restored.
    pub(crate) async fn call_stale<T>(
        &self,
        call: &Call,
        decode: fn(&[u8]) -> DecodeResult<T>,
    ) -> Result<(T, Era)> {
        let mut attempts_left = self.base_urls.len();
        loop {
            attempts_left -= 1;
            let (index, base) = self.preferred();
            let _ongoing = call.wait.is_zero().then(|| self.call_times.begin());
            let outcome = self.attempt(call, base, decode).await;
            let Err(error) = outcome else { return outcome };
            self.record_failure(&error, index);
            if attempts_left == 0 || !call.may_try_next_address(&error) {
                return Err(error);
            }
        }
    }

    /// Sends a call whose response is read as a stream.
    pub(crate) async fn open(&self, call: &Call) -> Result<(BaseUrl, Response)> {
        let (index, base) = self.preferred();
        let outcome = self.send(call, base).await;
        if let Err(error) = &outcome {
            self.record_failure(error, index);
        }
        outcome.map(|response| (base.clone(), response))
    }

    /// Counts a failure and switches to the next address if this one did not
    /// respond.
    fn record_failure(&self, error: &Error, index: usize) {
        match error {
            Error::Unreachable { .. } => increment(&self.counts.unreachable),
            Error::Unanswered { .. } => increment(&self.counts.unanswered),
            Error::Exhausted { .. } => return increment(&self.counts.rate_limited),
            _ => return increment(&self.counts.refused),
        }
        self.switch_from(index);
    }

    /// Prefers the next address, unless another call has switched already.
    fn switch_from(&self, index: usize) {
        let next = (index + 1) % self.base_urls.len();
        // A failed exchange means that another call has switched already.
        let _ = self
            .current
            .compare_exchange(index, next, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Counts a stale response and switches to the next address.
    pub(crate) fn leave_stale_address(&self) {
        increment(&self.counts.stale);
        self.switch_from(self.preferred().0);
    }

    fn preferred(&self) -> (usize, &BaseUrl) {
        let index = self.current.load(Ordering::Relaxed) % self.base_urls.len();
        (index, &self.base_urls[index])
    }

    async fn attempt<T>(
        &self,
        call: &Call,
        base: &BaseUrl,
        decode: fn(&[u8]) -> DecodeResult<T>,
    ) -> Result<(T, Era)> {
        let response = self.send(call, base).await?;
        let era = call.era(&response);
        let era = era.map_err(|reason| call.unanswered(base, reason))?;
        let body = self.read(call, base, response).await?;
        let value = decode(&body).map_err(|reason| call.unanswered(base, reason))?;
        Ok((value, era))
    }

    /// Reads a response body for as long as bytes keep arriving.
    ///
    /// A megabyte on a link of 0.5 Mbit/s takes 16 s. A fixed timeout for the whole
    /// response would abort every attempt, each attempt would start from the beginning,
    /// and the instance would never be ready.
    async fn read(&self, call: &Call, base: &BaseUrl, mut response: Response) -> Result<Bytes> {
        let base_deadline = Instant::now() + self.options.call_timeout * BODY_TIMEOUT_FACTOR;
        let mut body = BytesMut::new();
        loop {
            let extension = Duration::from_secs_f64(body.len() as f64 / MIN_BODY_RATE);
            let deadline = base_deadline + extension;
            let chunk_deadline = Instant::now() + self.options.call_timeout;
            let chunk = time::timeout_at(chunk_deadline.min(deadline), response.chunk()).await;
            let chunk = chunk.map_err(|_| {
                self.renew_connections();
                call.unanswered(base, "timed out")
            })?;
            let chunk = chunk.map_err(|e| call.unanswered(base, root_cause(&e)))?;
            let Some(chunk) = chunk else {
                return Ok(body.freeze());
            };
            if body.len() + chunk.len() > MAX_RESPONSE_LEN {
                return Err(call.unanswered(base, "response too long"));
            }
            body.extend_from_slice(&chunk);
        }
    }

    fn http(&self) -> reqwest::Client {
        let http = self.http.lock().unwrap_or_else(PoisonError::into_inner);
        http.clone()
    }

    /// Makes later calls open new connections.
    ///
    /// A device on the path that has dropped the state of one connection has
    /// usually dropped that of the idle ones, too. Each of these would cost one
    /// call its timeout, and changes would arrive seconds too late.
    fn renew_connections(&self) {
        // The same options were accepted before. If no client can be created all
        // the same, the old one stays in use.
        if let Ok(fresh) = http_client(&self.options) {
            let http = self.http.lock();
            *http.unwrap_or_else(PoisonError::into_inner) = fresh;
        }
    }

    /// Sends a call and waits for the headers of the response.
    async fn send(&self, call: &Call, base: &BaseUrl) -> Result<Response> {
        self.check_rate_limit(call, base)?;
        let url = format!("{base}{}", call.path);
        let http = self.http();
        let sending = match &call.body {
            Some(Payload::Gateway(body)) => http.post(url).json(body.as_ref()).send(),
            Some(Payload::Json(text)) => {
                let post = http.post(url).header(CONTENT_TYPE, JSON);
                post.body(text.clone()).send()
            }
            None => http.get(url).send(),
        };
        let response = time::timeout(self.options.call_timeout + call.wait, sending)
            .await
            .map_err(|_| {
                self.renew_connections();
                call.unanswered(base, "timed out")
            })?
            .map_err(|e| send_error(call, base, &e))?;
        if let Ok(era) = call.era(&response) {
            self.record_era(era);
        }
        check_status(call, base, response).await
    }

    fn check_rate_limit(&self, call: &Call, base: &BaseUrl) -> Result<()> {
        let now = Instant::now();
        let mut rate_limits = self
            .rate_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (admitted, rate) = match call.kind {
            Kind::NextPage => (true, rate_limits.reads.rate()),
            Kind::Read | Kind::Watch => (rate_limits.reads.take(now), rate_limits.reads.rate()),
            Kind::Write => (rate_limits.writes.take(now), rate_limits.writes.rate()),
            Kind::Lease => (
                rate_limits.writes.take_urgent(now),
                rate_limits.writes.rate(),
            ),
        };
        drop(rate_limits);
        if !admitted {
            return Err(Error::Exhausted {
                step: call.step,
                peer: base.to_string(),
                rate,
            });
        }
        increment(self.sent_counter(call.kind));
        Ok(())
    }

    fn sent_counter(&self, kind: Kind) -> &AtomicU64 {
        match kind {
            Kind::Read | Kind::NextPage => &self.counts.reads,
            Kind::Write => &self.counts.writes,
            Kind::Lease => &self.counts.leases,
            Kind::Watch => &self.counts.watches,
        }
    }
}

/// Creates an HTTP client that never sends a request twice: proxies from the
/// environment, redirects and the library's retries are turned off, as each of
/// them could repeat a write.
fn http_client(options: &Options) -> Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(options.connect_timeout)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .build()
        .map_err(invalid_settings)
}

fn invalid_settings(reason: impl ToString) -> Error {
    Error::Refused {
        step: "platform client",
        peer: "settings".to_owned(),
        reason: reason.to_string(),
    }
}

fn send_error(call: &Call, base: &BaseUrl, error: &reqwest::Error) -> Error {
    let reason = root_cause(error);
    if !error.is_connect() {
        return call.unanswered(base, reason);
    }
    Error::Unreachable {
        step: call.step,
        peer: base.to_string(),
        reason,
    }
}

/// Message of the innermost error, which is the most specific one.
pub(crate) fn root_cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// Maps the status of a response to an error.
///
/// A server error does not prove that a write had no effect: the store also
/// responds with 503 if it has forwarded a write and its outcome did not arrive
/// in time.
async fn check_status(call: &Call, base: &BaseUrl, response: Response) -> Result<Response> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    if !status.is_client_error() || status == StatusCode::REQUEST_TIMEOUT {
        return Err(call.unanswered(base, status));
    }
    if status == StatusCode::GONE {
        return Err(Error::Compacted {
            step: call.step,
            peer: base.to_string(),
        });
    }
    // Unlike other client errors, this status does not concern the requested object:
    // a lease whose renewal gets this status is still valid.
    if status == StatusCode::TOO_MANY_REQUESTS {
        return Err(Error::Busy {
            step: call.step,
            peer: base.to_string(),
        });
    }
    // The call was rejected, whether or not the reason can be read.
    let body = read_limited(response, MAX_RESPONSE_LEN);
    let body = time::timeout(ERROR_BODY_TIMEOUT, body).await;
    let body = body.ok().and_then(|body| body.ok()).unwrap_or_default();
    Err(Error::Refused {
        step: call.step,
        peer: base.to_string(),
        reason: format!("{status}: {}", gateway::error_message(&body)),
    })
}

/// Reads a body of at most `max_len` bytes; the error says why that failed.
pub(crate) async fn read_limited(
    mut response: Response,
    max_len: usize,
) -> std::result::Result<Bytes, String> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|e| root_cause(&e))? {
        if body.len() + chunk.len() > max_len {
            return Err("response too long".to_owned());
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

//! One exchange with the platform: addresses, timeouts, allowance and counts.

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
use tokio::time;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::platform::BaseUrl;
use crate::platform::CallCounts;
use crate::platform::Options;
use crate::platform::call::Body;
use crate::platform::gateway;
use crate::platform::gateway::DecodeResult;
use crate::platform::rate_limit::TokenBucket;

/// Largest answer that is read, in bytes.
///
/// Values hold up to a megabyte; a longer answer than this comes from something
/// that is no store and would only fill the memory.
pub(crate) const MAX_RESPONSE_LEN: usize = 64 << 20;

/// Timeouts of a call that the body of its answer may take at [`LEAST_RATE`], while
/// bytes come.
const BODY_TIMEOUTS: u32 = 10;

/// Bytes a second at which an answer is read on however long it takes: a fifth of the
/// thinnest link thought of, 0.5 Mbit/s. What comes more slowly comes from a peer that
/// trickles, or is better asked anew.
const LEAST_RATE: f64 = 12_500.0;

/// Time for the reason of a refusal, which is a line.
const REASON_TIMEOUT: Duration = Duration::from_millis(500);

/// Media type of posted text.
const JSON: &str = "application/json";

/// Idle connections kept for each address.
///
/// A connection that something in between has forgotten swallows the call that
/// is sent on it, which shows as a timeout and closes it. Few of them and not
/// for long, so that after such a fault few calls are lost before new
/// connections are made.
const MAX_IDLE: usize = 2;

/// Time for which an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Adds one to a count.
pub(crate) fn add(count: &AtomicU64) {
    count.fetch_add(1, Ordering::Relaxed);
}

/// What a call counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Read,
    Write,
    Lease,
    Watch,
}

/// What a call posts.
#[derive(Debug)]
pub(crate) enum Payload {
    /// A request to the etcd gateway.
    Gateway(Box<Body>),
    /// JSON that a dialect has spelled.
    Json(String),
}

/// One call, whatever the address it goes to.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) step: &'static str,
    pub(crate) kind: Kind,
    /// Path, with the query if there is one.
    pub(crate) path: Cow<'static, str>,
    /// What is posted; without it the call is a GET.
    pub(crate) body: Option<Payload>,
    /// Time that the store may hold the answer back, beside the time of a call.
    pub(crate) wait: Duration,
}

impl Call {
    /// The error of a call that may have taken effect.
    pub(crate) fn unanswered(&self, peer: &BaseUrl, reason: impl ToString) -> Error {
        Error::Unanswered {
            step: self.step,
            peer: peer.to_string(),
            reason: reason.to_string(),
        }
    }

    /// Whether another address may be tried after this error.
    ///
    /// A write whose bytes may have left must not be sent again: it would look
    /// lost to its own first copy, or take effect after the caller gave up.
    fn may_move_on(&self, error: &Error) -> bool {
        match error {
            Error::Unreachable { .. } => true,
            Error::Unanswered { .. } => self.kind == Kind::Read,
            _ => false,
        }
    }
}

struct Allowance {
    reads: TokenBucket,
    writes: TokenBucket,
}

/// Everything that the clones of a client share.
pub(crate) struct Transport {
    /// The client for new calls; a lock that is a leaf.
    http: Mutex<reqwest::Client>,
    bases: Vec<BaseUrl>,
    /// Index of the address to be tried first.
    current: AtomicUsize,
    options: Options,
    allowance: Mutex<Allowance>,
    counts: CallCounts,
}

impl Transport {
    pub(crate) fn new(bases: Vec<BaseUrl>, options: Options) -> Result<Self> {
        if bases.is_empty() {
            return Err(unusable("no address"));
        }
        let http = Mutex::new(http_client(&options)?);
        let now = Instant::now();
        let allowance = Allowance {
            reads: TokenBucket::new(options.read_rate, now),
            writes: TokenBucket::new(options.write_rate, now),
        };
        Ok(Self {
            http,
            bases,
            current: AtomicUsize::new(0),
            options,
            allowance: Mutex::new(allowance),
            counts: CallCounts::default(),
        })
    }

    pub(crate) fn counts(&self) -> &CallCounts {
        &self.counts
    }

    pub(crate) fn options(&self) -> &Options {
        &self.options
    }

    /// Makes a call, at each address at most once.
    pub(crate) async fn call<T>(
        &self,
        call: &Call,
        decode: fn(&[u8]) -> DecodeResult<T>,
    ) -> Result<T> {
        let mut tries_left = self.bases.len();
        loop {
            tries_left -= 1;
            let (index, base) = self.preferred();
            let outcome = self.exchange(call, base, decode).await;
            let Err(error) = outcome else { return outcome };
            self.settle(&error, index);
            if tries_left == 0 || !call.may_move_on(&error) {
                return Err(error);
            }
        }
    }

    /// Opens a call whose answer is read bit by bit.
    pub(crate) async fn open(&self, call: &Call) -> Result<(BaseUrl, Response)> {
        let (index, base) = self.preferred();
        let outcome = self.start(call, base).await;
        if let Err(error) = &outcome {
            self.settle(error, index);
        }
        outcome.map(|response| (base.clone(), response))
    }

    /// Counts a failure and prefers another address when this one is to blame.
    fn settle(&self, error: &Error, index: usize) {
        match error {
            Error::Unreachable { .. } => add(&self.counts.unreachable),
            Error::Unanswered { .. } => add(&self.counts.unanswered),
            Error::Exhausted { .. } => return add(&self.counts.rate_limited),
            _ => return add(&self.counts.refused),
        }
        self.avoid(index);
    }

    /// Prefers the next address, unless another call has done so already.
    fn avoid(&self, index: usize) {
        let next = (index + 1) % self.bases.len();
        // Losing this race means that the address was left already.
        let _ = self
            .current
            .compare_exchange(index, next, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Counts an answer that is older than what is known and leaves its address.
    pub(crate) fn avoid_stale(&self) {
        add(&self.counts.stale);
        self.avoid(self.preferred().0);
    }

    fn preferred(&self) -> (usize, &BaseUrl) {
        let index = self.current.load(Ordering::Relaxed) % self.bases.len();
        (index, &self.bases[index])
    }

    async fn exchange<T>(
        &self,
        call: &Call,
        base: &BaseUrl,
        decode: fn(&[u8]) -> DecodeResult<T>,
    ) -> Result<T> {
        let response = self.start(call, base).await?;
        let body = self.read(call, base, response).await?;
        decode(&body).map_err(|reason| call.unanswered(base, reason))
    }

    /// Reads the body of an answer for as long as bytes keep coming.
    ///
    /// A megabyte on a link of 0.5 Mbit/s takes 16 s. A timeout for the whole answer
    /// would end it every time, each try would begin from nothing, and the instance
    /// would never be ready.
    async fn read(&self, call: &Call, base: &BaseUrl, mut response: Response) -> Result<Bytes> {
        let slowest = Instant::now() + self.options.call_timeout * BODY_TIMEOUTS;
        let mut body = BytesMut::new();
        loop {
            let earned = Duration::from_secs_f64(body.len() as f64 / LEAST_RATE);
            let give_up = slowest + earned;
            let next = Instant::now() + self.options.call_timeout;
            let chunk = time::timeout_at(next.min(give_up), response.chunk()).await;
            let chunk = chunk.map_err(|_| {
                self.leave_connections();
                call.unanswered(base, "timed out")
            })?;
            let chunk = chunk.map_err(|e| call.unanswered(base, root_cause(&e)))?;
            let Some(chunk) = chunk else {
                return Ok(body.freeze());
            };
            if body.len() + chunk.len() > MAX_RESPONSE_LEN {
                return Err(call.unanswered(base, "answer too long"));
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
    /// When something in between forgets one connection, it has mostly forgotten
    /// the idle ones, too. Each would swallow a call until its timeout, and a
    /// change that a poll was to bring would come seconds too late.
    fn leave_connections(&self) {
        // The options were accepted once; a client that still cannot be had
        // leaves the old one in use.
        if let Ok(fresh) = http_client(&self.options) {
            let http = self.http.lock();
            *http.unwrap_or_else(PoisonError::into_inner) = fresh;
        }
    }

    /// Sends a call and waits for the head of its answer.
    async fn start(&self, call: &Call, base: &BaseUrl) -> Result<Response> {
        self.admit(call, base)?;
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
                self.leave_connections();
                call.unanswered(base, "timed out")
            })?
            .map_err(|e| sending_failed(call, base, &e))?;
        check_status(call, base, response).await
    }

    fn admit(&self, call: &Call, base: &BaseUrl) -> Result<()> {
        let now = Instant::now();
        let mut allowance = self
            .allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (admitted, rate) = match call.kind {
            Kind::Read | Kind::Watch => (allowance.reads.take(now), allowance.reads.rate()),
            Kind::Write => (allowance.writes.take(now), allowance.writes.rate()),
            Kind::Lease => (allowance.writes.take_urgent(now), allowance.writes.rate()),
        };
        drop(allowance);
        if !admitted {
            return Err(Error::Exhausted {
                step: call.step,
                peer: base.to_string(),
                rate,
            });
        }
        add(self.sent(call.kind));
        Ok(())
    }

    fn sent(&self, kind: Kind) -> &AtomicU64 {
        match kind {
            Kind::Read => &self.counts.reads,
            Kind::Write => &self.counts.writes,
            Kind::Lease => &self.counts.leases,
            Kind::Watch => &self.counts.watches,
        }
    }
}

/// Nothing below this module may send a write a second time: neither a proxy from
/// the environment, nor a redirect, nor the library's retries.
fn http_client(options: &Options) -> Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(options.connect_timeout)
        .pool_max_idle_per_host(MAX_IDLE)
        .pool_idle_timeout(MAX_IDLE_TIME)
        .tcp_nodelay(true)
        .build()
        .map_err(unusable)
}

fn unusable(reason: impl ToString) -> Error {
    Error::Refused {
        step: "platform client",
        peer: "settings".to_owned(),
        reason: reason.to_string(),
    }
}

fn sending_failed(call: &Call, base: &BaseUrl, error: &reqwest::Error) -> Error {
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

/// The innermost error, which is the one that says something.
pub(crate) fn root_cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}

/// Sorts an answer by its status.
///
/// A server error is no proof that nothing happened: the store answers 503 also
/// when it has passed a write on and then waited in vain for its outcome.
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
    // Unlike a refusal, this says nothing about what was asked for: a lease whose
    // renewal it answers still lives.
    if status == StatusCode::TOO_MANY_REQUESTS {
        return Err(Error::Busy {
            step: call.step,
            peer: base.to_string(),
        });
    }
    // A refusal stands whether its reason can be read or not.
    let reading = read_limited(response, MAX_RESPONSE_LEN);
    let body = time::timeout(REASON_TIMEOUT, reading).await;
    let body = body.ok().and_then(|body| body.ok()).unwrap_or_default();
    Err(Error::Refused {
        step: call.step,
        peer: base.to_string(),
        reason: format!("{status}: {}", gateway::refusal(&body)),
    })
}

/// Reads a body of at most so many bytes; the error says what was seen.
pub(crate) async fn read_limited(
    mut response: Response,
    most: usize,
) -> std::result::Result<Bytes, String> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|e| root_cause(&e))? {
        if body.len() + chunk.len() > most {
            return Err("answer too long".to_owned());
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

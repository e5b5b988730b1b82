//! Calls to the platform's key-value service.

use std::sync::Arc;
use std::time::Duration;

use futures::Stream;

use crate::error::Result;
use crate::platform::BaseUrl;
use crate::platform::CallCounts;
use crate::platform::Change;
use crate::platform::Entry;
use crate::platform::Lease;
use crate::platform::Listing;
use crate::platform::Options;
use crate::platform::SwapOutcome;
use crate::platform::call;
use crate::platform::gateway;
use crate::platform::gateway::DecodeResult;
use crate::platform::transport::Call;
use crate::platform::transport::Kind;
use crate::platform::transport::Payload;
use crate::platform::transport::Transport;
use crate::platform::transport::increment;
use crate::platform::watch;

/// Client for the platform's key-value service; cheap to clone.
#[derive(Clone)]
pub struct Client {
    transport: Arc<Transport>,
}

impl Client {
    /// Creates a client for these addresses, all of which serve the same store.
    ///
    /// # Errors
    ///
    /// Fails if there is no address or the HTTP client cannot be created.
    pub fn new(bases: Vec<BaseUrl>, options: Options) -> Result<Self> {
        let transport = Arc::new(Transport::new(bases, options)?);
        Ok(Self { transport })
    }

    /// Counters of calls and failures.
    pub fn counts(&self) -> &CallCounts {
        self.transport.counts()
    }

    pub(crate) fn transport(&self) -> Arc<Transport> {
        Arc::clone(&self.transport)
    }

    pub(crate) fn options(&self) -> &Options {
        self.transport.options()
    }

    pub(crate) fn count_stale(&self) {
        increment(&self.transport.counts().stale);
    }

    pub(crate) fn leave_stale_address(&self) {
        self.transport.leave_stale_address();
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails if no address responds or the rate limit is exceeded.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let body = call::single_key_request(key);
        let listing = self.read("get", body, gateway::listing).await?;
        Ok(listing.entries.into_iter().next())
    }

    /// Reads all keys of a prefix.
    ///
    /// # Errors
    ///
    /// Fails if no address responds or the rate limit is exceeded.
    pub async fn list(&self, prefix: &str) -> Result<Listing> {
        let body = call::list_request(prefix);
        self.read("list", body, gateway::listing).await
    }

    pub(crate) async fn probe(&self, prefix: &str) -> Result<gateway::Probe> {
        let body = call::probe_request(prefix);
        self.read("probe", body, gateway::probe).await
    }

    /// Writes a key if its `mod_revision` is `expected`, or if the key does not
    /// exist and `expected` is `None`. The key is deleted with the lease, if one
    /// is given.
    ///
    /// # Errors
    ///
    /// After [`crate::Error::Unanswered`] the write may have taken effect or may
    /// still do so. After any other error it has not and will not.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<u64>,
        value: &[u8],
        lease: Option<Lease>,
    ) -> Result<SwapOutcome> {
        let body = call::compare_and_swap(key, expected, value, lease);
        let call = Call {
            step: "swap",
            kind: Kind::Write,
            path: "/v3/kv/txn".into(),
            body: Some(Payload::Gateway(Box::new(body))),
            wait: Duration::ZERO,
            era_header: None,
        };
        self.transport.call(&call, gateway::swap_outcome).await
    }

    /// Deletes a key if its `mod_revision` is `expected`.
    ///
    /// # Errors
    ///
    /// As for [`Client::compare_and_swap`].
    pub async fn compare_and_delete(&self, key: &str, expected: u64) -> Result<SwapOutcome> {
        let call = Call {
            step: "erase",
            kind: Kind::Write,
            path: "/v3/kv/txn".into(),
            body: Some(Payload::Gateway(Box::new(call::compare_and_delete(
                key, expected,
            )))),
            wait: Duration::ZERO,
            era_header: None,
        };
        self.transport.call(&call, gateway::swap_outcome).await
    }

    /// Deletes a key and returns whether it existed.
    ///
    /// # Errors
    ///
    /// As for [`Client::compare_and_swap`].
    pub async fn delete(&self, key: &str) -> Result<bool> {
        let call = Call {
            step: "delete",
            kind: Kind::Write,
            path: "/v3/kv/deleterange".into(),
            body: Some(Payload::Gateway(Box::new(call::single_key_request(key)))),
            wait: Duration::ZERO,
            era_header: None,
        };
        self.transport.call(&call, gateway::deletion).await
    }

    /// Grants a lease; `ttl` is cut to whole seconds.
    ///
    /// # Errors
    ///
    /// After [`crate::Error::Unanswered`] an unused lease may exist; it holds no
    /// key and expires by itself.
    pub async fn lease_grant(&self, ttl: Duration) -> Result<Lease> {
        let call = Call {
            step: "lease grant",
            kind: Kind::Lease,
            path: "/v3/lease/grant".into(),
            body: Some(Payload::Gateway(Box::new(call::grant_request(
                ttl.as_secs(),
            )))),
            wait: Duration::ZERO,
            era_header: None,
        };
        self.transport.call(&call, gateway::grant).await
    }

    /// Renews a lease and returns its remaining time, which is zero if the lease
    /// has expired.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives; the lease may have been renewed all the same.
    pub async fn lease_keepalive(&self, lease: Lease) -> Result<Duration> {
        let call = Call {
            step: "lease keepalive",
            kind: Kind::Lease,
            path: "/v3/lease/keepalive".into(),
            body: Some(Payload::Gateway(Box::new(call::lease_request(lease)))),
            wait: Duration::ZERO,
            era_header: None,
        };
        let seconds = self.transport.call(&call, gateway::keepalive).await?;
        Ok(Duration::from_secs(seconds))
    }

    /// Revokes a lease; its keys are deleted at once.
    ///
    /// # Errors
    ///
    /// As for [`Client::compare_and_swap`].
    pub async fn lease_revoke(&self, lease: Lease) -> Result<()> {
        let call = Call {
            step: "lease revoke",
            kind: Kind::Lease,
            path: "/v3/lease/revoke".into(),
            body: Some(Payload::Gateway(Box::new(call::lease_request(lease)))),
            wait: Duration::ZERO,
            era_header: None,
        };
        self.transport.call(&call, gateway::revocation).await
    }

    /// Watches a prefix, starting with the changes of `from_revision`.
    ///
    /// The first batch is empty and confirms that the watch is established. The
    /// stream ends with its first error; the end of the connection is an error,
    /// too. A connection that stops delivering data causes no error, which is why
    /// [`crate::platform::follow()`] probes the store.
    pub fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> impl Stream<Item = Result<Vec<Change>>> + Send + 'static {
        let call = Call {
            step: "watch",
            kind: Kind::Watch,
            path: "/v3/watch".into(),
            body: Some(Payload::Gateway(Box::new(call::watch_request(
                prefix,
                from_revision,
            )))),
            wait: Duration::ZERO,
            era_header: None,
        };
        watch::stream(Arc::clone(&self.transport), call)
    }

    async fn read<T>(
        &self,
        step: &'static str,
        body: call::Body,
        decode: fn(&[u8]) -> DecodeResult<T>,
    ) -> Result<T> {
        let call = Call {
            step,
            kind: Kind::Read,
            path: "/v3/kv/range".into(),
            body: Some(Payload::Gateway(Box::new(body))),
            wait: Duration::ZERO,
            era_header: None,
        };
        self.transport.call(&call, decode).await
    }
}

//! The calls that the platform's key-value service takes.

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
use crate::platform::transport::add;
use crate::platform::watch;

/// Client for the platform, cheap to clone.
#[derive(Clone)]
pub struct Client {
    transport: Arc<Transport>,
}

impl Client {
    /// A client for the service behind these addresses, which are one store.
    ///
    /// # Errors
    ///
    /// Fails when there is no address or the HTTP client cannot be set up.
    pub fn new(bases: Vec<BaseUrl>, options: Options) -> Result<Self> {
        let transport = Arc::new(Transport::new(bases, options)?);
        Ok(Self { transport })
    }

    /// How many calls were made and how they ended.
    pub fn counts(&self) -> &CallCounts {
        self.transport.counts()
    }

    pub(crate) fn transport(&self) -> Arc<Transport> {
        Arc::clone(&self.transport)
    }

    pub(crate) fn options(&self) -> &Options {
        self.transport.options()
    }

    pub(crate) async fn call<T>(
        &self,
        call: &Call,
        decode: fn(&[u8]) -> DecodeResult<T>,
    ) -> Result<T> {
        self.transport.call(call, decode).await
    }

    pub(crate) fn count_stale(&self) {
        add(&self.transport.counts().stale);
    }

    pub(crate) fn avoid_stale(&self) {
        self.transport.avoid_stale();
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails when no address gives an answer, or the allowance is used up.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let body = call::key(key);
        let listing = self.read("get", body, gateway::listing).await?;
        Ok(listing.entries.into_iter().next())
    }

    /// Reads all keys of a prefix.
    ///
    /// # Errors
    ///
    /// Fails when no address gives an answer, or the allowance is used up.
    pub async fn list(&self, prefix: &str) -> Result<Listing> {
        let body = call::list(prefix);
        self.read("list", body, gateway::listing).await
    }

    pub(crate) async fn probe(&self, prefix: &str) -> Result<gateway::Probe> {
        let body = call::probe(prefix);
        self.read("probe", body, gateway::probe).await
    }

    /// Writes a key if it is still as expected: last written at this revision,
    /// or absent for `None`. The key goes with the lease if one is given.
    ///
    /// # Errors
    ///
    /// After [`crate::Error::Unanswered`] the write may have taken effect, or may do so
    /// later. After any other error it has not and will not.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<u64>,
        value: &[u8],
        lease: Option<Lease>,
    ) -> Result<SwapOutcome> {
        let body = call::swap(key, expected, value, lease);
        let call = Call {
            step: "swap",
            kind: Kind::Write,
            path: "/v3/kv/txn".into(),
            body: Some(Payload::Gateway(Box::new(body))),
            wait: Duration::ZERO,
        };
        self.transport.call(&call, gateway::swap).await
    }

    /// Deletes a key if it was last written at this revision.
    ///
    /// # Errors
    ///
    /// As for [`Client::compare_and_swap`].
    pub async fn compare_and_delete(&self, key: &str, expected: u64) -> Result<SwapOutcome> {
        let call = Call {
            step: "erase",
            kind: Kind::Write,
            path: "/v3/kv/txn".into(),
            body: Some(Payload::Gateway(Box::new(call::erase(key, expected)))),
            wait: Duration::ZERO,
        };
        self.transport.call(&call, gateway::swap).await
    }

    /// Deletes a key and says whether it was there.
    ///
    /// # Errors
    ///
    /// As for [`Client::compare_and_swap`].
    pub async fn delete(&self, key: &str) -> Result<bool> {
        let call = Call {
            step: "delete",
            kind: Kind::Write,
            path: "/v3/kv/deleterange".into(),
            body: Some(Payload::Gateway(Box::new(call::key(key)))),
            wait: Duration::ZERO,
        };
        self.transport.call(&call, gateway::deletion).await
    }

    /// Grants a lease for whole seconds.
    ///
    /// # Errors
    ///
    /// After [`crate::Error::Unanswered`] a lease may exist that nobody knows of; it
    /// holds no key and lapses by itself.
    pub async fn lease_grant(&self, ttl: Duration) -> Result<Lease> {
        let call = Call {
            step: "lease grant",
            kind: Kind::Lease,
            path: "/v3/lease/grant".into(),
            body: Some(Payload::Gateway(Box::new(call::grant(ttl.as_secs())))),
            wait: Duration::ZERO,
        };
        self.transport.call(&call, gateway::grant).await
    }

    /// Renews a lease and returns the time that remains: nothing when it is gone.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer; the lease may then have been renewed.
    pub async fn lease_keepalive(&self, lease: Lease) -> Result<Duration> {
        let call = Call {
            step: "lease keepalive",
            kind: Kind::Lease,
            path: "/v3/lease/keepalive".into(),
            body: Some(Payload::Gateway(Box::new(call::lease(lease)))),
            wait: Duration::ZERO,
        };
        let seconds = self.transport.call(&call, gateway::keepalive).await?;
        Ok(Duration::from_secs(seconds))
    }

    /// Ends a lease; its keys go at once.
    ///
    /// # Errors
    ///
    /// As for [`Client::compare_and_swap`].
    pub async fn lease_revoke(&self, lease: Lease) -> Result<()> {
        let call = Call {
            step: "lease revoke",
            kind: Kind::Lease,
            path: "/v3/lease/revoke".into(),
            body: Some(Payload::Gateway(Box::new(call::lease(lease)))),
            wait: Duration::ZERO,
        };
        self.transport.call(&call, gateway::revocation).await
    }

    /// Watches a prefix from a revision on, that one included.
    ///
    /// The first batch is empty and tells that the watch stands. The stream ends
    /// with its first error; a watch that is closed is one too. A watch whose
    /// connection went silent gives no error, which is why
    /// [`crate::platform::follow()`] probes.
    pub fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> impl Stream<Item = Result<Vec<Change>>> + Send + 'static {
        let call = Call {
            step: "watch",
            kind: Kind::Watch,
            path: "/v3/watch".into(),
            body: Some(Payload::Gateway(Box::new(call::watch(
                prefix,
                from_revision,
            )))),
            wait: Duration::ZERO,
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
        };
        self.transport.call(&call, decode).await
    }
}

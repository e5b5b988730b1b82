//! Calls to the platform's key-value service.

use std::sync::Arc;
use std::time::Duration;

use futures::Stream;

use crate::error::Result;
use crate::platform::BaseUrl;
use crate::platform::CallCounts;
use crate::platform::Change;
use crate::platform::Entry;
use crate::platform::Era;
use crate::platform::EraHeader;
use crate::platform::Lease;
use crate::platform::Listing;
use crate::platform::Options;
use crate::platform::Revision;
use crate::platform::SwapOutcome;
use crate::platform::call;
use crate::platform::gateway;
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
    /// Header of the responses with the store's era.
    era_header: Option<EraHeader>,
}

impl Client {
    /// Creates a client for these addresses, all of which serve the same store.
    ///
    /// # Errors
    ///
    /// Fails if there is no address or the HTTP client cannot be created.
    pub fn new(bases: Vec<BaseUrl>, options: Options) -> Result<Self> {
        let transport = Arc::new(Transport::new(bases, options)?);
        Ok(Self {
            transport,
            era_header: None,
        })
    }

    /// Reads the store's [`Era`] from this header of its responses. Without it, all
    /// responses are of one era.
    #[must_use]
    pub fn with_era_header(self, name: EraHeader) -> Self {
        let era_header = Some(name);
        Self { era_header, ..self }
    }

    /// The latest era of the store that is known; `None` before the first response.
    pub fn era(&self) -> Option<Era> {
        self.transport.era()
    }

    /// Counters of calls and failures.
    pub fn counts(&self) -> &CallCounts {
        self.transport.counts()
    }

    /// Waits until the store is known to have been restored after this era.
    pub(crate) async fn wait_for_restore(&self, era: Era) {
        self.transport.wait_for_restore(era).await;
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
        let listing = self.read_listing("get", body).await?;
        Ok(listing.entries.into_iter().next())
    }

    /// Reads all keys of a prefix.
    ///
    /// # Errors
    ///
    /// Fails if no address responds or the rate limit is exceeded.
    pub async fn list(&self, prefix: &str) -> Result<Listing> {
        self.read_listing("list", call::list_request(prefix)).await
    }

    async fn read_listing(&self, step: &'static str, body: call::Body) -> Result<Listing> {
        let call = self.read_call(step, body);
        let (mut listing, era) = self.transport.call(&call, gateway::listing).await?;
        for entry in &mut listing.entries {
            entry.mod_revision = call.in_era(era, entry.mod_revision)?;
        }
        listing.revision = call.in_era(era, listing.revision)?;
        Ok(listing)
    }

    pub(crate) async fn probe(&self, prefix: &str) -> Result<gateway::Probe> {
        let call = self.read_call("probe", call::probe_request(prefix));
        let (mut probe, era) = self.transport.call(&call, gateway::probe).await?;
        probe.revision = call.in_era(era, probe.revision)?;
        // An empty prefix has no latest revision.
        if probe.latest_mod_revision > 0 {
            probe.latest_mod_revision = call.in_era(era, probe.latest_mod_revision)?;
        }
        Ok(probe)
    }

    /// Sends a write that compares with a revision.
    ///
    /// After a restore, the store may have assigned the revision to another write. Then
    /// nothing is sent.
    async fn swap(&self, call: &Call, expected: Option<u64>) -> Result<SwapOutcome> {
        let expected = expected.map(|revision| Revision(revision).era());
        if let (Some(expected), Some(era)) = (expected, self.era())
            && expected < era
        {
            return Err(call.restored(era));
        }
        let (outcome, era) = self.transport.call(call, gateway::swap_outcome).await?;
        if expected.is_some_and(|expected| expected != era) {
            return Err(call.outdated(era, "the store was restored meanwhile"));
        }
        Ok(match outcome {
            SwapOutcome::Done(revision) => SwapOutcome::Done(call.in_era(era, revision)?),
            SwapOutcome::Lost(None) => SwapOutcome::Lost(None),
            SwapOutcome::Lost(Some(mut entry)) => {
                entry.mod_revision = call.in_era(era, entry.mod_revision)?;
                SwapOutcome::Lost(Some(entry))
            }
        })
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
        let number = expected.map(|revision| Revision(revision).number());
        let body = call::compare_and_swap(key, number, value, lease);
        let call = Call {
            step: "swap",
            kind: Kind::Write,
            path: "/v3/kv/txn".into(),
            body: Some(Payload::Gateway(Box::new(body))),
            wait: Duration::ZERO,
            era_header: self.era_header.clone(),
        };
        self.swap(&call, expected).await
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
                key,
                Revision(expected).number(),
            )))),
            wait: Duration::ZERO,
            era_header: self.era_header.clone(),
        };
        self.swap(&call, Some(expected)).await
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
            era_header: self.era_header.clone(),
        };
        let (result, _) = self.transport.call(&call, gateway::deletion).await?;
        Ok(result)
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
            era_header: self.era_header.clone(),
        };
        let (result, _) = self.transport.call(&call, gateway::grant).await?;
        Ok(result)
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
            era_header: self.era_header.clone(),
        };
        let (seconds, _) = self.transport.call(&call, gateway::keepalive).await?;
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
            era_header: self.era_header.clone(),
        };
        let (result, _) = self.transport.call(&call, gateway::revocation).await?;
        Ok(result)
    }

    /// Watches a prefix, starting with the changes of `from_revision`.
    ///
    /// The first batch is empty and confirms that the watch is established. The
    /// stream ends with its first error; the end of the connection is an error,
    /// too, and so is a store of another era than the revision's. A connection that
    /// stops delivering data causes no error, which is why
    /// [`crate::platform::follow()`] probes the store.
    pub fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> impl Stream<Item = Result<Vec<Change>>> + Send + 'static {
        let from = Revision(from_revision);
        let call = Call {
            step: "watch",
            kind: Kind::Watch,
            path: "/v3/watch".into(),
            body: Some(Payload::Gateway(Box::new(call::watch_request(
                prefix,
                from.number(),
            )))),
            wait: Duration::ZERO,
            era_header: self.era_header.clone(),
        };
        watch::stream(Arc::clone(&self.transport), call, from.era())
    }

    fn read_call(&self, step: &'static str, body: call::Body) -> Call {
        Call {
            step,
            kind: Kind::Read,
            path: "/v3/kv/range".into(),
            body: Some(Payload::Gateway(Box::new(body))),
            wait: Duration::ZERO,
            era_header: self.era_header.clone(),
        }
    }
}

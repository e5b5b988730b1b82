//! In-memory key-value store of the platform: keys, leases and history.
//!
//! Every change increments the revision and is recorded in the history, from which
//! watches are served. The history is never compacted. Leases expire by a clock that
//! a test can freeze.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use tokio::time::Instant;

use crate::etcd::Compare;
use crate::etcd::DeleteRange;
use crate::etcd::DeleteRangeResponse;
use crate::etcd::Event;
use crate::etcd::EventKind;
use crate::etcd::Header;
use crate::etcd::Kv;
use crate::etcd::LeaseResponse;
use crate::etcd::Operation;
use crate::etcd::OperationResponse;
use crate::etcd::Put;
use crate::etcd::PutResponse;
use crate::etcd::Range;
use crate::etcd::RangeResponse;
use crate::etcd::Relation;
use crate::etcd::SortOrder;
use crate::etcd::SortTarget;
use crate::etcd::Target;
use crate::etcd::Txn;
use crate::etcd::TxnResponse;

/// Largest value in bytes, the limit of the users' platform.
const MAX_VALUE: usize = 1 << 20;
/// Maximum number of operations in a branch of a transaction, the default of etcd.
const MAX_OPERATIONS: usize = 128;
/// Value of `range_end` that stands for a range without an upper bound.
const UNBOUNDED_END: &[u8] = b"\0";

/// Reason why a call was rejected, with the message that etcd reports.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
    #[error("etcdserver: request is too large")]
    TooLarge,
    #[error("etcdserver: too many operations in txn request")]
    TooManyOperations,
}

impl Error {
    /// The gRPC status code that the gateway reports.
    pub(crate) fn code(self) -> u32 {
        match self {
            Self::LeaseNotFound => 5,
            Self::TooLarge | Self::TooManyOperations => 3,
        }
    }
}

type Keys = BTreeMap<Vec<u8>, Kv>;

#[derive(Clone)]
struct Lease {
    ttl: i64,
    /// Expiry time on the lease clock.
    expires_at: Duration,
}

/// Clock by which leases expire; a test can freeze it.
struct LeaseClock {
    started_at: Instant,
    frozen_total: Duration,
    frozen_at: Option<Duration>,
}

impl LeaseClock {
    fn now(&self) -> Duration {
        self.frozen_at
            .unwrap_or_else(|| self.started_at.elapsed() - self.frozen_total)
    }

    fn freeze(&mut self, on: bool) {
        let now = self.now();
        self.frozen_total = self.started_at.elapsed() - now;
        self.frozen_at = on.then_some(now);
    }
}

/// State that readers see while the platform serves stale reads.
struct StaleSnapshot {
    revision: i64,
    keys: Keys,
}

/// Everything that a restore sets back.
#[derive(Clone)]
pub(crate) struct Content {
    revision: i64,
    keys: Keys,
    history: Vec<Event>,
    leases: BTreeMap<i64, Lease>,
    last_lease_id: i64,
}

pub(crate) struct Store {
    content: Content,
    clock: LeaseClock,
    stale_snapshot: Option<StaleSnapshot>,
}

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            content: Content {
                // The revision of an empty etcd is 1.
                revision: 1,
                keys: Keys::new(),
                history: Vec::new(),
                leases: BTreeMap::new(),
                last_lease_id: 0,
            },
            clock: LeaseClock {
                started_at: Instant::now(),
                frozen_total: Duration::ZERO,
                frozen_at: None,
            },
            stale_snapshot: None,
        }
    }

    /// A copy of the content.
    pub(crate) fn backup(&self) -> Content {
        self.content.clone()
    }

    /// Sets the content back to a copy.
    pub(crate) fn restore(&mut self, backup: Content) {
        self.content = backup;
    }

    /// Response header with the current revision.
    pub(crate) fn header(&self) -> Header {
        header(self.content.revision)
    }

    /// Response header with the revision that readers see.
    pub(crate) fn visible_header(&self) -> Header {
        header(self.visible_revision())
    }

    fn visible_revision(&self) -> i64 {
        self.stale_snapshot
            .as_ref()
            .map_or(self.content.revision, |stale_snapshot| {
                stale_snapshot.revision
            })
    }

    pub(crate) fn set_stale(&mut self, on: bool) {
        self.stale_snapshot = on.then(|| StaleSnapshot {
            revision: self.content.revision,
            keys: self.content.keys.clone(),
        });
    }

    pub(crate) fn freeze_leases(&mut self, on: bool) {
        self.clock.freeze(on);
    }

    /// Reads a range as a client sees it, from the stale snapshot if there is one.
    pub(crate) fn visible_range(&self, range: &Range) -> RangeResponse {
        let keys = self
            .stale_snapshot
            .as_ref()
            .map_or(&self.content.keys, |stale_snapshot| &stale_snapshot.keys);
        read_range(keys, range, self.visible_header())
    }

    pub(crate) fn get(&self, key: &[u8]) -> Option<&Kv> {
        self.content.keys.get(key)
    }

    pub(crate) fn put(&mut self, put: &Put) -> Result<PutResponse, Error> {
        self.check_put(put)?;
        self.apply_put(put, self.content.revision + 1);
        self.content.revision += 1;
        Ok(PutResponse {
            header: self.header(),
        })
    }

    pub(crate) fn delete_range(&mut self, range: &DeleteRange) -> DeleteRangeResponse {
        let deleted = self.apply_delete(&range.key, &range.range_end, self.content.revision + 1);
        self.content.revision += i64::from(deleted > 0);
        DeleteRangeResponse {
            header: self.header(),
            deleted,
        }
    }

    /// Applies one branch of a transaction as a single change with one revision.
    pub(crate) fn txn(&mut self, txn: &Txn) -> Result<TxnResponse, Error> {
        let succeeded = txn
            .compare
            .iter()
            .all(|compare| self.comparison_holds(compare));
        let branch = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        if branch.len() > MAX_OPERATIONS {
            return Err(Error::TooManyOperations);
        }
        let mut puts = branch.iter().filter_map(|op| op.request_put.as_ref());
        puts.try_for_each(|put| self.check_put(put))?;

        let next = self.content.revision + 1;
        let history_len = self.content.history.len();
        let run = |op| self.apply_operation(op, next);
        let responses = branch.iter().filter_map(run).collect();
        if self.content.history.len() > history_len {
            self.content.revision = next;
        }
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    fn apply_operation(&mut self, op: &Operation, revision: i64) -> Option<OperationResponse> {
        if let Some(put) = &op.request_put {
            self.apply_put(put, revision);
            let header = header(revision);
            return Some(OperationResponse::Put(PutResponse { header }));
        }
        if let Some(range) = &op.request_delete_range {
            let deleted = self.apply_delete(&range.key, &range.range_end, revision);
            let header = header(revision);
            let response = DeleteRangeResponse { header, deleted };
            return Some(OperationResponse::DeleteRange(response));
        }
        let range = op.request_range.as_ref()?;
        let response = read_range(&self.content.keys, range, self.header());
        Some(OperationResponse::Range(response))
    }

    fn comparison_holds(&self, compare: &Compare) -> bool {
        let kv = self.content.keys.get(&compare.key);
        let number = |field: fn(&Kv) -> i64| kv.map_or(0, field);
        let order = match compare.target {
            Target::Version => number(|kv| kv.version).cmp(&compare.version),
            Target::Create => number(|kv| kv.create_revision).cmp(&compare.create_revision),
            Target::Mod => number(|kv| kv.mod_revision).cmp(&compare.mod_revision),
            Target::Value => match kv {
                Some(kv) => kv.value.cmp(&compare.value),
                // A comparison with the value of a missing key always fails.
                None => return false,
            },
        };
        match compare.result {
            Relation::Equal => order.is_eq(),
            Relation::Greater => order.is_gt(),
            Relation::Less => order.is_lt(),
            Relation::NotEqual => order.is_ne(),
        }
    }

    fn check_put(&self, put: &Put) -> Result<(), Error> {
        if put.value.len() > MAX_VALUE {
            return Err(Error::TooLarge);
        }
        if put.lease != 0 && !self.content.leases.contains_key(&put.lease) {
            return Err(Error::LeaseNotFound);
        }
        Ok(())
    }

    fn apply_put(&mut self, put: &Put, revision: i64) {
        let old = self.content.keys.get(&put.key);
        let kv = Kv {
            key: put.key.clone(),
            create_revision: old.map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: old.map_or(0, |kv| kv.version) + 1,
            value: put.value.clone(),
            lease: put.lease,
        };
        self.content.keys.insert(put.key.clone(), kv.clone());
        let kind = EventKind::Put;
        self.content.history.push(Event { kind, kv });
    }

    fn apply_delete(&mut self, key: &[u8], end: &[u8], revision: i64) -> i64 {
        let deleted_keys: Vec<_> = keys_in_range(&self.content.keys, key, end)
            .map(|kv| kv.key.clone())
            .collect();
        for key in &deleted_keys {
            self.content.keys.remove(key);
            self.content.history.push(Event {
                kind: EventKind::Delete,
                kv: Kv {
                    key: key.clone(),
                    mod_revision: revision,
                    ..Kv::default()
                },
            });
        }
        i64::try_from(deleted_keys.len()).unwrap_or(i64::MAX)
    }

    pub(crate) fn grant(&mut self, id: i64, ttl: i64) -> LeaseResponse {
        if id == 0 {
            self.content.last_lease_id += 1;
        }
        let id = if id == 0 {
            self.content.last_lease_id
        } else {
            id
        };
        self.content.leases.insert(id, self.new_lease(ttl));
        self.lease_response(id, ttl)
    }

    /// Renews a lease; the time to live in the response is zero if it does not exist.
    pub(crate) fn keep_alive(&mut self, id: i64) -> LeaseResponse {
        let ttl = self.content.leases.get(&id).map_or(0, |lease| lease.ttl);
        if ttl > 0 {
            self.content.leases.insert(id, self.new_lease(ttl));
        }
        self.lease_response(id, ttl)
    }

    pub(crate) fn revoke(&mut self, id: i64) -> Result<LeaseResponse, Error> {
        self.content
            .leases
            .remove(&id)
            .ok_or(Error::LeaseNotFound)?;
        let attached = self.content.keys.values().filter(|kv| kv.lease == id);
        let attached: Vec<_> = attached.map(|kv| kv.key.clone()).collect();
        let next = self.content.revision + 1;
        for key in &attached {
            self.apply_delete(key, &[], next);
        }
        self.content.revision += i64::from(!attached.is_empty());
        Ok(self.lease_response(0, 0))
    }

    /// Revokes expired leases; returns whether there were any.
    pub(crate) fn expire_leases(&mut self) -> bool {
        let now = self.clock.now();
        let expired = self
            .content
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        expired
            .iter()
            .filter(|id| self.revoke(**id).is_ok())
            .count()
            > 0
    }

    fn new_lease(&self, ttl: i64) -> Lease {
        let duration = Duration::from_secs(ttl.try_into().unwrap_or(0));
        Lease {
            ttl,
            expires_at: self.clock.now() + duration,
        }
    }

    fn lease_response(&self, id: i64, ttl: i64) -> LeaseResponse {
        LeaseResponse {
            header: self.header(),
            id,
            ttl,
        }
    }

    /// Index in the history at which a watch from this revision starts.
    pub(crate) fn start_index(&self, start_revision: i64) -> usize {
        let start = match start_revision {
            0 => self.visible_revision() + 1,
            revision => revision,
        };
        self.content
            .history
            .partition_point(|event| event.kv.mod_revision < start)
    }

    /// Events of a range from a history index on, and the index to continue from.
    pub(crate) fn events(
        &self,
        history_index: usize,
        key: &[u8],
        end: &[u8],
    ) -> (Vec<Event>, usize) {
        let visible_revision = self.visible_revision();
        let next_index = self
            .content
            .history
            .partition_point(|event| event.kv.mod_revision <= visible_revision)
            .max(history_index);
        let new_events = self.content.history[history_index..next_index].iter();
        let matching_events = new_events.filter(|event| range_contains(key, end, &event.kv.key));
        (matching_events.cloned().collect(), next_index)
    }
}

fn header(revision: i64) -> Header {
    Header {
        cluster_id: 1,
        member_id: 1,
        revision,
        raft_term: 1,
    }
}

fn read_range(keys: &Keys, range: &Range, header: Header) -> RangeResponse {
    let mut found: Vec<_> = keys_in_range(keys, &range.key, &range.range_end).collect();
    sort_keys(&mut found, range);
    let limit = match usize::try_from(range.limit) {
        Ok(limit @ 1..) => limit,
        _ => found.len(),
    };
    RangeResponse {
        header,
        more: found.len() > limit,
        count: i64::try_from(found.len()).unwrap_or(i64::MAX),
        kvs: found
            .into_iter()
            .take(limit)
            .map(|kv| select_fields(kv, range))
            .collect(),
    }
}

/// Sorts keys, which are in ascending order, as the request asks.
fn sort_keys(found: &mut [&Kv], range: &Range) {
    if range.sort_target == SortTarget::Mod {
        found.sort_by_key(|kv| kv.mod_revision);
    }
    if range.sort_order == SortOrder::Descend {
        found.reverse();
    }
}

fn select_fields(kv: &Kv, range: &Range) -> Kv {
    let mut kv = kv.clone();
    if range.keys_only {
        kv.value.clear();
    }
    kv
}

fn keys_in_range<'a>(keys: &'a Keys, key: &'a [u8], end: &'a [u8]) -> impl Iterator<Item = &'a Kv> {
    keys.range::<[u8], _>((Bound::Included(key), Bound::Unbounded))
        .map(|(_, kv)| kv)
        .take_while(move |kv| range_contains(key, end, &kv.key))
}

fn range_contains(key: &[u8], end: &[u8], candidate: &[u8]) -> bool {
    match end {
        [] => candidate == key,
        UNBOUNDED_END => candidate >= key,
        _ => candidate >= key && candidate < end,
    }
}

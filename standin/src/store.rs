//! Keys, leases and history of the platform, without any network.
//!
//! Every change raises the revision by one and is kept in the history, from
//! which watches are served; nothing is compacted. Leases run on a clock that a
//! test can freeze.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use tokio::time::Instant;

use crate::etcd::Compare;
use crate::etcd::DeleteRange;
use crate::etcd::DeleteRangeResponse;
use crate::etcd::Event;
use crate::etcd::Header;
use crate::etcd::Kind;
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

/// Largest value, as the users' platform holds it.
const MAX_VALUE: usize = 1 << 20;
/// Most operations in one branch of a transaction, etcd's own default.
const MAX_OPERATIONS: usize = 128;
/// Marks the end of a range that has none.
const OPEN_END: &[u8] = b"\0";

/// Why a call was refused, with the gRPC code that the gateway shows.
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
    /// The gRPC status code.
    pub(crate) fn code(self) -> u32 {
        match self {
            Self::LeaseNotFound => 5,
            Self::TooLarge | Self::TooManyOperations => 3,
        }
    }
}

type Keys = BTreeMap<Vec<u8>, Kv>;

struct Lease {
    ttl: i64,
    /// On the lease clock.
    expires: Duration,
}

/// Clock of the leases, which a test may freeze.
struct Clock {
    started: Instant,
    lost: Duration,
    frozen: Option<Duration>,
}

impl Clock {
    fn now(&self) -> Duration {
        self.frozen
            .unwrap_or_else(|| self.started.elapsed() - self.lost)
    }

    fn freeze(&mut self, on: bool) {
        let now = self.now();
        self.lost = self.started.elapsed() - now;
        self.frozen = on.then_some(now);
    }
}

/// What readers are shown while the platform serves stale state.
struct Image {
    revision: i64,
    keys: Keys,
}

pub(crate) struct Store {
    revision: i64,
    keys: Keys,
    history: Vec<Event>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
    clock: Clock,
    image: Option<Image>,
}

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            // An empty etcd starts at one.
            revision: 1,
            keys: Keys::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            clock: Clock {
                started: Instant::now(),
                lost: Duration::ZERO,
                frozen: None,
            },
            image: None,
        }
    }

    /// Header with the newest revision.
    pub(crate) fn header(&self) -> Header {
        header(self.revision)
    }

    /// Header with the revision that readers are shown.
    pub(crate) fn shown_header(&self) -> Header {
        header(self.shown_revision())
    }

    fn shown_revision(&self) -> i64 {
        self.image
            .as_ref()
            .map_or(self.revision, |image| image.revision)
    }

    pub(crate) fn stale(&mut self, on: bool) {
        self.image = on.then(|| Image {
            revision: self.revision,
            keys: self.keys.clone(),
        });
    }

    pub(crate) fn freeze_leases(&mut self, on: bool) {
        self.clock.freeze(on);
    }

    /// Reads as a client would, from the stale image if there is one.
    pub(crate) fn shown_range(&self, range: &Range) -> RangeResponse {
        let keys = self.image.as_ref().map_or(&self.keys, |image| &image.keys);
        read(keys, range, self.shown_header())
    }

    pub(crate) fn get(&self, key: &[u8]) -> Option<&Kv> {
        self.keys.get(key)
    }

    pub(crate) fn put(&mut self, put: &Put) -> Result<PutResponse, Error> {
        self.check_put(put)?;
        self.apply_put(put, self.revision + 1);
        self.revision += 1;
        Ok(PutResponse {
            header: self.header(),
        })
    }

    pub(crate) fn delete_range(&mut self, range: &DeleteRange) -> DeleteRangeResponse {
        let deleted = self.apply_delete(&range.key, &range.range_end, self.revision + 1);
        self.revision += i64::from(deleted > 0);
        DeleteRangeResponse {
            header: self.header(),
            deleted,
        }
    }

    /// Runs one branch as one change, under one revision.
    pub(crate) fn txn(&mut self, txn: &Txn) -> Result<TxnResponse, Error> {
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
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

        let next = self.revision + 1;
        let recorded = self.history.len();
        let run = |op| self.operate(op, next);
        let responses = branch.iter().filter_map(run).collect();
        if self.history.len() > recorded {
            self.revision = next;
        }
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    fn operate(&mut self, op: &Operation, revision: i64) -> Option<OperationResponse> {
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
        let response = read(&self.keys, range, self.header());
        Some(OperationResponse::Range(response))
    }

    fn holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let number = |field: fn(&Kv) -> i64| kv.map_or(0, field);
        let order = match compare.target {
            Target::Version => number(|kv| kv.version).cmp(&compare.version),
            Target::Create => number(|kv| kv.create_revision).cmp(&compare.create_revision),
            Target::Mod => number(|kv| kv.mod_revision).cmp(&compare.mod_revision),
            Target::Value => match kv {
                Some(kv) => kv.value.cmp(&compare.value),
                // A key that is not there equals and differs from no value.
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
        if put.lease != 0 && !self.leases.contains_key(&put.lease) {
            return Err(Error::LeaseNotFound);
        }
        Ok(())
    }

    fn apply_put(&mut self, put: &Put, revision: i64) {
        let old = self.keys.get(&put.key);
        let kv = Kv {
            key: put.key.clone(),
            create_revision: old.map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: old.map_or(0, |kv| kv.version) + 1,
            value: put.value.clone(),
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), kv.clone());
        let kind = Kind::Put;
        self.history.push(Event { kind, kv });
    }

    fn apply_delete(&mut self, key: &[u8], end: &[u8], revision: i64) -> i64 {
        let doomed: Vec<_> = span(&self.keys, key, end)
            .map(|kv| kv.key.clone())
            .collect();
        for key in &doomed {
            self.keys.remove(key);
            self.history.push(Event {
                kind: Kind::Delete,
                kv: Kv {
                    key: key.clone(),
                    mod_revision: revision,
                    ..Kv::default()
                },
            });
        }
        i64::try_from(doomed.len()).unwrap_or(i64::MAX)
    }

    pub(crate) fn grant(&mut self, id: i64, ttl: i64) -> LeaseResponse {
        if id == 0 {
            self.last_lease += 1;
        }
        let id = if id == 0 { self.last_lease } else { id };
        self.leases.insert(id, self.lease(ttl));
        self.lease_response(id, ttl)
    }

    /// Renews a lease; the answer has no time to live if it is gone.
    pub(crate) fn keep_alive(&mut self, id: i64) -> LeaseResponse {
        let ttl = self.leases.get(&id).map_or(0, |lease| lease.ttl);
        if ttl > 0 {
            self.leases.insert(id, self.lease(ttl));
        }
        self.lease_response(id, ttl)
    }

    pub(crate) fn revoke(&mut self, id: i64) -> Result<LeaseResponse, Error> {
        self.leases.remove(&id).ok_or(Error::LeaseNotFound)?;
        let attached = self.keys.values().filter(|kv| kv.lease == id);
        let attached: Vec<_> = attached.map(|kv| kv.key.clone()).collect();
        let next = self.revision + 1;
        for key in &attached {
            self.apply_delete(key, &[], next);
        }
        self.revision += i64::from(!attached.is_empty());
        Ok(self.lease_response(0, 0))
    }

    /// Ends leases whose time is over; tells whether there was one.
    pub(crate) fn expire(&mut self) -> bool {
        let now = self.clock.now();
        let over = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let over: Vec<_> = over.map(|(id, _)| *id).collect();
        over.iter().filter(|id| self.revoke(**id).is_ok()).count() > 0
    }

    fn lease(&self, ttl: i64) -> Lease {
        let time = Duration::from_secs(ttl.try_into().unwrap_or(0));
        Lease {
            ttl,
            expires: self.clock.now() + time,
        }
    }

    fn lease_response(&self, id: i64, ttl: i64) -> LeaseResponse {
        LeaseResponse {
            header: self.header(),
            id,
            ttl,
        }
    }

    /// Place in the history where a watch from this revision starts.
    pub(crate) fn place(&self, start_revision: i64) -> usize {
        let start = match start_revision {
            0 => self.shown_revision() + 1,
            revision => revision,
        };
        self.history
            .partition_point(|event| event.kv.mod_revision < start)
    }

    /// Events of a range from a place on, and the place to go on from.
    pub(crate) fn events(&self, place: usize, key: &[u8], end: &[u8]) -> (Vec<Event>, usize) {
        let shown = self.shown_revision();
        let reached = self
            .history
            .partition_point(|event| event.kv.mod_revision <= shown)
            .max(place);
        let fresh = self.history[place..reached].iter();
        let wanted = fresh.filter(|event| covers(key, end, &event.kv.key));
        (wanted.cloned().collect(), reached)
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

fn read(keys: &Keys, range: &Range, header: Header) -> RangeResponse {
    let mut found: Vec<_> = span(keys, &range.key, &range.range_end).collect();
    sort(&mut found, range);
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
            .map(|kv| show(kv, range))
            .collect(),
    }
}

/// Puts keys, which stand in their own order, into that of the request.
fn sort(found: &mut [&Kv], range: &Range) {
    if range.sort_target == SortTarget::Mod {
        found.sort_by_key(|kv| kv.mod_revision);
    }
    if range.sort_order == SortOrder::Descend {
        found.reverse();
    }
}

fn show(kv: &Kv, range: &Range) -> Kv {
    let mut kv = kv.clone();
    if range.keys_only {
        kv.value.clear();
    }
    kv
}

fn span<'a>(keys: &'a Keys, key: &'a [u8], end: &'a [u8]) -> impl Iterator<Item = &'a Kv> {
    keys.range::<[u8], _>((Bound::Included(key), Bound::Unbounded))
        .map(|(_, kv)| kv)
        .take_while(move |kv| covers(key, end, &kv.key))
}

fn covers(key: &[u8], end: &[u8], candidate: &[u8]) -> bool {
    match end {
        [] => candidate == key,
        OPEN_END => candidate >= key,
        _ => candidate >= key && candidate < end,
    }
}

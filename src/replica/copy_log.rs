//! A complete copy while it comes in: its compressed bytes, in the order in which they
//! are passed on.
//!
//! Load pattern: all instances of a fleet start at once and wait for the copies of a few.
//! If each instance passed a copy on only after it has received, unpacked and applied all
//! of it, each level of the tree would add as much time as the reading of the store, in
//! proportion to the number of servers. So whoever reads the store compresses each page
//! as it arrives, and whoever receives these bytes forwards them at once, as they are.
//!
//! The bytes are frames, each with some rows. A copy has an id, which its reader chooses.
//! The source of an instance may fail midway; the copy of the next source goes on where
//! the former ended if it has the same id. Otherwise those who have received a part of the
//! former ask elsewhere.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use prost::Message;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::platform::Entry;
use crate::replica::copy;
use crate::replica::message::CopyPart;
use crate::replica::message::MAX_PART_BYTES;
use crate::replica::message::MAX_VALUE_BYTES;
use crate::replica::message::PackedRows;
use crate::replica::message::Row;
use crate::replica::message::Rows;
use crate::replica::pack;

/// Number of small rows in a frame: enough of them to compress well, and few enough for
/// a slow machine to unpack in a millisecond.
const ROWS_PER_FRAME: usize = 128;

/// Time for which a complete copy is kept. Subscribers get it with the changes since; for
/// later ones, a new copy is compressed.
pub(crate) const KEEP_TIME: Duration = Duration::from_secs(5);

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// Why the bytes of a copy are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CopyLogError {
    /// A part does not begin where the previous one ended.
    #[error("a part is missing")]
    Gap,
    /// A part belongs to another copy than the ones before it.
    #[error("another copy began")]
    OtherCopy,
    /// A frame or copy has more bytes than any may have.
    #[error("a copy of {0} bytes is too large")]
    TooLarge(usize),
    /// A frame cannot be decompressed.
    #[error("decompression failed: {0}")]
    DecompressionFailed(String),
    /// The copy ended within a frame.
    #[error("the last frame is incomplete")]
    Incomplete,
}

/// Compresses entries into frames.
///
/// # Errors
///
/// Returns an error if the compressor fails.
pub fn encode_frames(entries: &[Entry]) -> io::Result<Vec<u8>> {
    let (large, small): (Vec<&Entry>, Vec<&Entry>) =
        entries.iter().partition(|entry| copy::is_large(entry));
    let mut bytes = Vec::new();
    let frames = large.chunks(1).chain(small.chunks(ROWS_PER_FRAME));
    for frame in frames {
        let rows = frame.iter().map(|entry| Row::from((*entry).clone()));
        let plain = Rows {
            rows: rows.collect(),
        };
        let plain = plain.encode_to_vec();
        let packed = PackedRows {
            size: plain.len() as u64,
            bytes: pack::pack(&plain, b"")?,
        };
        bytes.put_u32(packed.encoded_len() as u32);
        bytes.extend_from_slice(&packed.encode_to_vec());
    }
    Ok(bytes)
}

/// Decodes the parts of one copy.
#[derive(Debug, Default)]
pub struct CopyDecoder {
    id: Option<u64>,
    /// Bytes received so far.
    received: u64,
    /// Bytes of a frame that is still incomplete.
    pending: Vec<u8>,
    entries: Vec<Entry>,
    /// Number of entries that [`CopyDecoder::take_new`] has returned.
    taken: usize,
    /// Uncompressed bytes of all frames.
    size: usize,
}

impl CopyDecoder {
    /// The entries that were decoded since the last call, before the last part.
    pub fn take_new(&mut self) -> &[Entry] {
        let taken = std::mem::replace(&mut self.taken, self.entries.len());
        self.entries.get(taken..).unwrap_or_default()
    }

    /// Adds a part; returns all entries with the last one.
    ///
    /// # Errors
    ///
    /// Returns why the part is rejected. The copy must then be requested again.
    pub fn add(&mut self, part: &CopyPart) -> Result<Option<Vec<Entry>>, CopyLogError> {
        if *self.id.get_or_insert(part.id) != part.id {
            return Err(CopyLogError::OtherCopy);
        }
        if part.offset != self.received {
            return Err(CopyLogError::Gap);
        }
        self.received += part.bytes.len() as u64;
        self.pending.extend_from_slice(&part.bytes);
        while let Some(frame) = self.take_frame()? {
            self.decode_frame(&frame)?;
        }
        match (part.is_last, self.pending.is_empty()) {
            (false, _) => Ok(None),
            (true, true) => Ok(Some(std::mem::take(&mut self.entries))),
            (true, false) => Err(CopyLogError::Incomplete),
        }
    }

    fn take_frame(&mut self) -> Result<Option<Vec<u8>>, CopyLogError> {
        let Some(mut head) = self.pending.get(..LENGTH_BYTES) else {
            return Ok(None);
        };
        let length = head.get_u32() as usize;
        if length > MAX_VALUE_BYTES {
            return Err(CopyLogError::TooLarge(length));
        }
        let end = LENGTH_BYTES + length;
        if self.pending.len() < end {
            return Ok(None);
        }
        let frame = self.pending[LENGTH_BYTES..end].to_vec();
        self.pending.drain(..end);
        Ok(Some(frame))
    }

    fn decode_frame(&mut self, frame: &[u8]) -> Result<(), CopyLogError> {
        let failed =
            |error: &dyn std::error::Error| CopyLogError::DecompressionFailed(error.to_string());
        let packed = PackedRows::decode(frame).map_err(|error| failed(&error))?;
        self.size = self.size.saturating_add(packed.size as usize);
        if self.size > MAX_VALUE_BYTES {
            return Err(CopyLogError::TooLarge(self.size));
        }
        let plain = pack::unpack(&packed.bytes, b"", packed.size as usize);
        let plain = plain.map_err(|error| failed(&error))?;
        let rows = Rows::decode(plain).map_err(|error| failed(&error))?;
        let entries = rows.rows.into_iter().filter_map(|row| {
            // Copied, since a slice would keep the whole frame in memory.
            let value = Bytes::copy_from_slice(&row.value?);
            Some(Entry {
                key: row.key,
                value,
                mod_revision: row.mod_revision,
            })
        });
        self.entries.extend(entries);
        Ok(())
    }
}

/// The end of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CopyEnd {
    /// Revision up to which the copy is complete.
    revision: u64,
    /// When the last byte arrived.
    at: Instant,
}

/// A copy so far.
#[derive(Debug)]
struct Log {
    id: u64,
    /// When the store was asked for this copy: everything written before is included.
    contact: Instant,
    state: Mutex<LogState>,
}

#[derive(Debug, Default)]
struct LogState {
    bytes: Vec<u8>,
    end: Option<CopyEnd>,
    has_writer: bool,
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_outdated(&self, now: Instant) -> bool {
        let end = self.lock().end;
        end.is_some_and(|end| now >= end.at + KEEP_TIME)
    }
}

/// Position of a subscriber in a copy.
#[derive(Clone, Debug, Default)]
pub struct CopyPosition {
    /// The copy; `None` before the first part. It stays available after newer ones.
    log: Option<Arc<Log>>,
    offset: usize,
}

/// What a subscriber is sent next.
#[derive(Clone, Debug, PartialEq)]
pub enum NextPart {
    /// There is no copy that comes in or is recent.
    None,
    /// The subscriber has all bytes so far, and more are to come.
    Wait,
    /// The subscriber has all bytes so far, and their source has stopped.
    Stalled,
    /// Another copy has taken the place of one whose source has stopped.
    Replaced,
    /// The next part.
    Part(CopyPart),
}

/// The copy that comes in or is recent, for its writer and those that it is passed on to.
///
/// The lock of the copy's state is taken while the lock of the place of the copy is held,
/// never the other way round, and no other lock with either.
#[derive(Debug, Default)]
pub struct CopyLog {
    current: Mutex<Option<Arc<Log>>>,
    changed: watch::Sender<()>,
}

impl CopyLog {
    fn lock(&self) -> MutexGuard<'_, Option<Arc<Log>>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notified when bytes arrive.
    pub(crate) fn watch(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Begins a copy, or goes on with one whose writer has stopped. Returns `None` while
    /// another copy comes in.
    pub fn begin(self: &Arc<Self>, id: u64, contact: Instant) -> Option<CopyWriter> {
        let mut current = self.lock();
        if let Some(log) = current.as_ref() {
            let mut state = log.lock();
            if state.has_writer {
                return None;
            }
            if log.id == id && state.end.is_none() {
                state.has_writer = true;
                return Some(self.writer(log));
            }
        }
        let state = LogState {
            has_writer: true,
            ..LogState::default()
        };
        let log = Arc::new(Log {
            id,
            contact,
            state: Mutex::new(state),
        });
        *current = Some(Arc::clone(&log));
        Some(self.writer(&log))
    }

    fn writer(self: &Arc<Self>, log: &Arc<Log>) -> CopyWriter {
        CopyWriter {
            place: Arc::clone(self),
            log: Arc::clone(log),
        }
    }

    /// The next part for a subscriber at this position.
    pub fn next(&self, position: &mut CopyPosition, now: Instant) -> NextPart {
        if position.log.is_none() {
            position.log = self.usable(now);
        }
        let Some(log) = &position.log else {
            return NextPart::None;
        };
        let is_current = || {
            let current = self.lock();
            current
                .as_ref()
                .is_some_and(|other| Arc::ptr_eq(other, log))
        };
        let state = log.lock();
        let end = state.bytes.len().min(position.offset + MAX_PART_BYTES);
        let is_last = state.end.is_some() && end == state.bytes.len();
        if position.offset == end && !is_last {
            let has_writer = state.has_writer;
            drop(state);
            return match (has_writer, is_current()) {
                (true, _) => NextPart::Wait,
                (false, true) => NextPart::Stalled,
                (false, false) => NextPart::Replaced,
            };
        }
        NextPart::Part(CopyPart {
            id: log.id,
            offset: position.offset as u64,
            bytes: Bytes::copy_from_slice(&state.bytes[position.offset..end]),
            is_last,
            revision: state.end.map_or(0, |end| end.revision),
            age_ms: (now - log.contact).as_millis() as u64,
        })
    }

    /// The copy for a new subscriber.
    fn usable(&self, now: Instant) -> Option<Arc<Log>> {
        let log = self.lock().clone()?;
        let is_abandoned = {
            let state = log.lock();
            state.end.is_none() && !state.has_writer
        };
        (!is_abandoned && !log.is_outdated(now)).then_some(log)
    }

    /// Drops a complete copy that new subscribers no longer get.
    pub fn expire(&self, now: Instant) {
        let mut current = self.lock();
        if current.as_ref().is_some_and(|log| log.is_outdated(now)) {
            *current = None;
        }
    }
}

impl CopyPosition {
    /// Moves on behind a part that was sent.
    pub fn advance(&mut self, part: &CopyPart) {
        self.offset = part.offset as usize + part.bytes.len();
    }
}

/// The writer of a copy; when it is dropped, another one may go on.
#[derive(Debug)]
pub struct CopyWriter {
    place: Arc<CopyLog>,
    log: Arc<Log>,
}

impl CopyWriter {
    /// Adds the entries of a page.
    ///
    /// # Errors
    ///
    /// Returns an error if the compressor fails.
    pub fn append_entries(&self, entries: &[Entry]) -> io::Result<()> {
        let bytes = encode_frames(entries)?;
        self.log.lock().bytes.extend_from_slice(&bytes);
        self.place.changed.send_replace(());
        Ok(())
    }

    /// Adds a part as it was received.
    pub fn append_part(&self, part: &CopyPart) {
        let mut state = self.log.lock();
        // A further source of the same copy begins with what is known already.
        let known = state.bytes.len().saturating_sub(part.offset as usize);
        let known = known.min(part.bytes.len());
        state.bytes.extend_from_slice(&part.bytes[known..]);
        drop(state);
        self.place.changed.send_replace(());
        if part.is_last {
            self.finish(part.revision);
        }
    }

    /// Marks the copy as complete up to a revision.
    pub fn finish(&self, revision: u64) {
        let at = Instant::now();
        self.log.lock().end = Some(CopyEnd { revision, at });
        self.place.changed.send_replace(());
    }
}

impl Drop for CopyWriter {
    fn drop(&mut self) {
        self.log.lock().has_writer = false;
        self.place.changed.send_replace(());
    }
}

//! A bounded buffer between a logger and the writer of its lines.
//!
//! Lines are collected in memory, and a separate thread writes them a few times a
//! second. Logging therefore never blocks on a reader that is slow or gone, and many
//! lines cost one system call.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;

/// Most bytes that wait to be written. The densest known log takes 40 kB a second.
const MAX_PENDING_BYTES: usize = 256 << 10;

/// Pause between two writes, in which lines are collected.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait until the last lines are written, at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Pending {
    bytes: Vec<u8>,
    /// Lines that were dropped because the buffer was full.
    lost: u64,
    is_closed: bool,
}

#[derive(Default)]
struct Shared {
    pending: Mutex<Pending>,
    filled: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The writer that the logger uses.
#[derive(Clone)]
pub(crate) struct Sink(Arc<Shared>);

impl Write for Sink {
    /// Buffers all bytes, or drops all of them if there is no room. Each dropped line
    /// is counted.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut pending = self.0.lock();
        if pending.bytes.len() + bytes.len() > MAX_PENDING_BYTES {
            pending.lost += u64::from(bytes.ends_with(b"\n"));
        } else {
            pending.bytes.extend_from_slice(bytes);
        }
        drop(pending);
        self.0.filled.notify_one();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits, when dropped, until the last lines are written.
pub struct Guard {
    shared: Arc<Shared>,
    done: Receiver<()>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shared.lock().is_closed = true;
        self.shared.filled.notify_one();
        // A blocked reader must not keep the process from ending, so the wait is limited.
        let _ = self.done.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Creates a sink in front of a writer that may block.
///
/// # Errors
///
/// Fails when no thread can be started.
pub(crate) fn sink(writer: impl Write + Send + 'static) -> io::Result<(Sink, Guard)> {
    let shared = Arc::new(Shared::default());
    let (done_sender, done) = channel::bounded(1);
    let thread_shared = Arc::clone(&shared);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            write_lines(&thread_shared, writer);
            // The send fails if the guard no longer exists; then no thread waits for it.
            let _ = done_sender.send(());
        })?;
    let sink = Sink(Arc::clone(&shared));
    Ok((sink, Guard { shared, done }))
}

fn write_lines(shared: &Shared, mut writer: impl Write) {
    loop {
        let (bytes, lost, is_closed) = wait_for_lines(shared);
        // A write error of the log cannot be reported anywhere.
        let _ = writer.write_all(&bytes);
        if lost > 0 {
            let _ = writeln!(
                writer,
                "{{\"level\":\"WARN\",\"msg\":\"log lines lost\",\"lost\":{lost}}}"
            );
        }
        let _ = writer.flush();
        if is_closed {
            return;
        }
        thread::sleep(WRITE_INTERVAL);
    }
}

/// Waits until there are lines to write or the sink is closed. Returns the buffered
/// bytes, the number of dropped lines and whether the sink is closed.
fn wait_for_lines(shared: &Shared) -> (Vec<u8>, u64, bool) {
    let pending = shared.lock();
    let is_idle = |pending: &mut Pending| pending.bytes.is_empty() && !pending.is_closed;
    let waited = shared.filled.wait_while(pending, is_idle);
    let mut pending = waited.unwrap_or_else(PoisonError::into_inner);
    let bytes = std::mem::take(&mut pending.bytes);
    let lost = std::mem::take(&mut pending.lost);
    (bytes, lost, pending.is_closed)
}

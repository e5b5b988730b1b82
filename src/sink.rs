//! A bounded buffer between a logger and the reader of its lines.
//!
//! Lines gather in memory and a thread of their own writes them a few times a
//! second. Whoever logs is never held up by a reader that is slow or gone, and
//! many lines cost one system call.

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

/// Bytes that may wait; a second of the densest log known is 40 kB.
const LIMIT: usize = 256 << 10;

/// Pause in which lines gather.
const GATHER: Duration = Duration::from_millis(200);

/// Longest wait for the last lines at the end of the process.
const LAST_WAIT: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Pending {
    bytes: Vec<u8>,
    /// Lines that found no room.
    lost: u64,
    is_over: bool,
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

/// Where lines are written to.
#[derive(Clone)]
pub(crate) struct Sink(Arc<Shared>);

impl Write for Sink {
    /// Takes all of it or, when there is no room, counts it as lost.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut pending = self.0.lock();
        if pending.bytes.len() + bytes.len() > LIMIT {
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

/// Writes the last lines when it is dropped.
pub struct Guard {
    shared: Arc<Shared>,
    done: Receiver<()>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shared.lock().is_over = true;
        self.shared.filled.notify_one();
        // A reader that takes nothing must not keep the process from ending.
        let _ = self.done.recv_timeout(LAST_WAIT);
    }
}

/// A sink in front of a writer that may block.
///
/// # Errors
///
/// Fails when no thread can be started.
pub(crate) fn sink(writer: impl Write + Send + 'static) -> io::Result<(Sink, Guard)> {
    let shared = Arc::new(Shared::default());
    let (tell, done) = channel::bounded(1);
    let theirs = Arc::clone(&shared);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            drain(&theirs, writer);
            // Nobody waits any more when the process ends without the guard.
            let _ = tell.send(());
        })?;
    let sink = Sink(Arc::clone(&shared));
    Ok((sink, Guard { shared, done }))
}

fn drain(shared: &Shared, mut writer: impl Write) {
    loop {
        let (bytes, lost, is_over) = take(shared);
        // There is nowhere to report that the log cannot be written.
        let _ = writer.write_all(&bytes);
        if lost > 0 {
            let _ = writeln!(
                writer,
                "{{\"level\":\"WARN\",\"msg\":\"log lines lost\",\"lost\":{lost}}}"
            );
        }
        let _ = writer.flush();
        if is_over {
            return;
        }
        thread::sleep(GATHER);
    }
}

/// Waits until there is something to write.
fn take(shared: &Shared) -> (Vec<u8>, u64, bool) {
    let pending = shared.lock();
    let is_idle = |pending: &mut Pending| pending.bytes.is_empty() && !pending.is_over;
    let waited = shared.filled.wait_while(pending, is_idle);
    let mut pending = waited.unwrap_or_else(PoisonError::into_inner);
    let bytes = std::mem::take(&mut pending.bytes);
    let lost = std::mem::take(&mut pending.lost);
    (bytes, lost, pending.is_over)
}

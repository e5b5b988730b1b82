//! What other tasks tell the control task.

use crate::control::WriteResult;
use crate::id;
use crate::peer;
use crate::platform::Update;

/// What the control task is told.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// From the platform, about one prefix.
    Platform(&'static str, Update),
    /// A peer's sign of life.
    Heartbeat {
        from: id::Holder,
        message: peer::Heartbeat,
    },
    /// A home wants its backup to take over.
    TakeoverRequested { from: id::Holder, slices: Vec<u32> },
    /// A write of the slice table has ended.
    WriteFinished { document: u32, result: WriteResult },
    /// A peer's copies.
    PulledEntries(peer::ConfigResponse),
}

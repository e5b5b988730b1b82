//! Messages from other tasks to the control task.

use crate::control::WriteResult;
use crate::id;
use crate::peer;
use crate::platform::Update;

/// A message to the control task.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// The platform's update of one key prefix.
    Platform(&'static str, Update),
    /// A heartbeat of a peer.
    Heartbeat {
        from: id::Holder,
        message: peer::Heartbeat,
    },
    /// The home of these slices asks this instance, their backup, to take them over.
    TakeoverRequested { from: id::Holder, slices: Vec<u32> },
    /// A write of a document of the slice table has ended.
    WriteFinished { document: u32, result: WriteResult },
    /// Configuration entries and deletions received from a peer.
    PulledEntries(peer::ConfigResponse),
}

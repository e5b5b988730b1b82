//! Reason codes of decisions and events.
//!
//! The codes are used as metric label, in the logs and in the output of `explain`.
//! The operators' page lists all of them, and a test compares that list with this
//! one.

use std::fmt;

macro_rules! reasons {
    ($($variant:ident $code:literal $text:literal;)*) => {
        /// Why something was done, refused or dropped.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[non_exhaustive]
        pub enum Reason {
            $(#[doc = $text] $variant,)*
        }

        impl Reason {
            /// Whether this is the final outcome of a request that got no answer from a
            /// server.
            pub fn is_failure(self) -> bool {
                matches!(
                    self,
                    Self::RefusedNoServer
                        | Self::RefusedByServer
                        | Self::RefusedLimit
                        | Self::RefusedCaller
                        | Self::RefusedStopping
                        | Self::UnknownDeadline
                        | Self::UnknownClaimed
                        | Self::UnknownBlank
                        | Self::UnknownAuthority
                        | Self::UnknownLimit
                        | Self::UnknownNoHome
                )
            }

            /// All reasons, in order of declaration.
            pub const ALL: &'static [Reason] = &[$(Reason::$variant,)*];

            /// The code as written in metrics, logs and `explain`.
            pub fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)*
                }
            }

            /// Description of the code for operators.
            pub fn meaning(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }
    };
}

reasons! {
    Forwarded "forwarded" "A request was sent to a backend server.";
    Relayed "relayed" "A datagram was passed to the instance that decides for it.";
    Parked "parked" "A non-idempotent request waits for its slice to get a home.";
    Claimed "claimed" "The backup was notified of a non-idempotent request.";
    Answered "answered" "The server's answer was sent to the caller.";
    Replayed "replayed" "A duplicate of a finished request got the same outcome.";
    CopyIgnored "copy_ignored" "A duplicate of a request in progress was not forwarded.";
    Retried "retried" "An idempotent request was sent to one more server.";
    RetryDenied "retry_denied" "A retry was due but the retry budget was used up.";
    RefusedNoServer "refused_no_server" "Not run: no backend server takes new work.";
    RefusedByServer "refused_by_server" "Not run: the servers that were asked refused.";
    RefusedLimit "refused_limit" "Not run: the service's limit at this instance is reached.";
    RefusedCaller "refused_caller" "Not run: the caller's own limit is reached.";
    RefusedStopping "refused_stopping" "Not run: this instance is stopping and could not hand its slices over.";
    UnknownDeadline "unknown_deadline" "Unknown: no answer within the profile's deadline.";
    UnknownClaimed "unknown_claimed" "Unknown: an earlier home had claimed the request.";
    UnknownBlank "unknown_blank" "Unknown: the slice was taken over without its records.";
    UnknownAuthority "unknown_authority" "Unknown: too long without contact with the platform.";
    UnknownLimit "unknown_limit" "Unknown: the limit of records is reached, so the request was not recorded.";
    UnknownNoHome "unknown_no_home" "Unknown: neither home nor backup of the slice is reachable.";
    FeedOpened "feed_opened" "A feed was opened.";
    FeedMoved "feed_moved" "A feed was registered at another server or by another instance.";
    FeedRefreshed "feed_refreshed" "A silent feed was registered again.";
    FeedClosed "feed_closed" "The caller ended a feed.";
    FeedEnded "feed_ended" "The server ended a feed.";
    FeedLost "feed_lost" "No server accepts a feed; the caller was notified that the feed has ended.";
    FeedAbandoned "feed_abandoned" "The caller of a feed no longer answers.";
    Ejected "ejected" "A server is in cooldown after consecutive failures.";
    EjectionDenied "ejection_denied" "A server failed, but too many others are already in cooldown.";
    ServerPaused "server_paused" "A server asked for no new work for a while.";
    ForeignAnswer "foreign_answer" "An answer came from a server that was not asked; dropped.";
    UnknownService "unknown_service" "A datagram for a service that is not configured; dropped.";
    BadDatagram "bad_datagram" "A datagram that cannot be decoded or is too large; dropped.";
    BadPeerMessage "bad_peer_message" "A peer message that is forged, replayed or malformed; dropped.";
    TooManyHops "too_many_hops" "A relayed datagram found no home within its hops; dropped.";
    ParkFull "park_full" "The queue of waiting requests is full; dropped, so that the caller resends it.";
    HomeGained "home_gained" "This instance became home of a slice.";
    HomeLost "home_lost" "This instance is no longer home of a slice.";
    BackupJoined "backup_joined" "A new backup has all records of a slice.";
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

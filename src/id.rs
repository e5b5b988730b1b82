//! Identifiers of instances, zones, services, servers, slices and so on.
//!
//! Every identifier is an opaque newtype: the decision modules only compare and
//! print identifiers. Names are reference-counted strings, so that a clone costs
//! one counter increment.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;

/// Longest accepted name, in bytes.
pub const MAX_NAME: usize = 64;

fn check_name(kind: &'static str, name: &str) -> Result<()> {
    let legal = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME || !name.chars().all(legal) {
        return Err(Error::Name {
            kind,
            value: name.chars().take(MAX_NAME).collect(),
        });
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Arc<str>);

        impl $type {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                check_name($kind, text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(id: $type) -> Self {
                id.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// Name of an entry instance; the same after a restart.
    Instance,
    "instance"
);
name!(
    /// Name of an availability zone.
    Zone,
    "zone"
);
name!(
    /// Name of a service.
    Service,
    "service"
);
name!(
    /// Name of a backend server.
    Server,
    "server"
);
name!(
    /// Name of a profile.
    Profile,
    "profile"
);
name!(
    /// Name of an operator.
    Operator,
    "operator"
);

macro_rules! number {
    ($(#[$doc:meta])* $type:ident, $inner:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub $inner);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                text.parse().map(Self).map_err(|_| Error::Number {
                    kind: $kind,
                    value: text.to_owned(),
                })
            }
        }
    };
}

number!(
    /// Number of a slice of the flow space.
    Slice,
    u32,
    "slice"
);
number!(
    /// Version of a slice's ownership; raised by every change of home or backup.
    Epoch,
    u64,
    "epoch"
);
number!(
    /// Version of a configuration document; only a greater version is applied.
    Revision,
    u64,
    "revision"
);
number!(
    /// Number of one run of an entry instance; greater after each restart under the
    /// same name.
    Incarnation,
    u64,
    "incarnation"
);
number!(
    /// Number of an attempt to send a request to a backend server; unique within an
    /// incarnation of the instance.
    Attempt,
    u64,
    "attempt"
);

/// One incarnation of an entry instance, as written in the slice table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Holder {
    /// The instance's name.
    pub instance: Instance,
    /// The instance's incarnation.
    pub incarnation: Incarnation,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.incarnation)
    }
}

impl FromStr for Holder {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let (instance, incarnation) = text.split_once('#').ok_or_else(|| Error::Name {
            kind: "holder",
            value: text.chars().take(MAX_NAME).collect(),
        })?;
        Ok(Self {
            instance: instance.parse()?,
            incarnation: incarnation.parse()?,
        })
    }
}

impl TryFrom<String> for Holder {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<Holder> for String {
    fn from(holder: Holder) -> Self {
        holder.to_string()
    }
}

/// Socket address of a caller, server or instance; decisions only compare it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Endpoint(pub SocketAddr);

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Endpoint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Self).map_err(|_| Error::Name {
            kind: "endpoint",
            value: text.chars().take(MAX_NAME).collect(),
        })
    }
}

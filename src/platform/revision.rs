//! Revisions of a store that may be restored from an older copy.
//!
//! A restored store has lost its latest writes. Its revisions go back and are assigned
//! again to other writes, so a number alone does not identify a write. With each restore the
//! store's era increases. Within this program a revision is therefore one number that holds
//! the era in its upper bits and the store's own number in the lower ones. Everything that a
//! store of a later era reports is newer than anything known of an earlier one, and any code
//! that compares revisions puts them in this order. A store without eras is in era 0, where
//! both numbers are the same.

use std::fmt;
use std::str::FromStr;

use reqwest::header::HeaderName;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Result;

/// Bits of the store's own number: at ten thousand writes a second they last for 890 years.
const NUMBER_BITS: u32 = 48;

/// Number of times that a store has been restored, as the store counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u16);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Self).map_err(|_| Error::Number {
            kind: "era",
            value: text.to_owned(),
        })
    }
}

/// Name of the header that holds the store's era in each of its responses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct EraHeader(HeaderName);

impl EraHeader {
    pub(crate) const fn from_static(name: &'static str) -> Self {
        Self(HeaderName::from_static(name))
    }

    pub(crate) fn name(&self) -> &HeaderName {
        &self.0
    }
}

impl fmt::Display for EraHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for EraHeader {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Self).map_err(|_| Error::Decode {
            step: "era header",
            peer: text.to_owned(),
            reason: "want the name of an HTTP header".to_owned(),
        })
    }
}

impl TryFrom<String> for EraHeader {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<EraHeader> for String {
    fn from(header: EraHeader) -> Self {
        header.to_string()
    }
}

/// Revision with its era, as the copies of the store and their messages hold it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision with this number in an era; `None` if the number is too large.
    pub fn new(era: Era, number: u64) -> Option<Self> {
        let is_valid = number >> NUMBER_BITS == 0;
        is_valid.then(|| Self(u64::from(era.0) << NUMBER_BITS | number))
    }

    /// The era.
    pub fn era(self) -> Era {
        Era((self.0 >> NUMBER_BITS) as u16)
    }

    /// The number that the store uses within the era.
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era(), self.number())
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::Number {
            kind: "revision",
            value: text.to_owned(),
        };
        let (era, number) = text.split_once(':').ok_or_else(invalid)?;
        let number = number.parse().map_err(|_| invalid())?;
        Self::new(era.parse()?, number).ok_or_else(invalid)
    }
}

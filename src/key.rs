//! Keys for the MAC on messages between instances.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;

use crate::error::Error;
use crate::error::Result;

/// Shortest accepted key, in bytes.
const MIN_KEY_LEN: usize = 16;

/// Allowed form of a key, for error messages.
pub(crate) const FORM: &str = "at least 32 hexadecimal digits, an even number of them";

/// Key for the MAC on messages between instances.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Key(Vec<u8>);

impl Key {
    /// The key's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid_key = || Error::Decode {
            step: "key",
            peer: "settings".to_owned(),
            reason: format!("want {FORM}"),
        };
        let digits: Option<Vec<u8>> = text
            .chars()
            .map(|c| c.to_digit(16).and_then(|digit| u8::try_from(digit).ok()))
            .collect();
        let digits = digits.ok_or_else(invalid_key)?;
        if digits.len() % 2 != 0 || digits.len() < 2 * MIN_KEY_LEN {
            return Err(invalid_key());
        }
        let bytes = digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]);
        Ok(Self(bytes.collect()))
    }
}

impl TryFrom<String> for Key {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

/// Hides the key, since settings are logged at the start.
impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

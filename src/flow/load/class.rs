//! What a configuration says of the requests on a route.
//!
//! Load pattern: requests of several kinds share the servers of one service, and there are
//! more of them than the servers can process. Callers of a kind with a higher priority or
//! less time left must not be the ones who pay for it.
//!
//! A platform adapter translates the fields of a route into a [`Description`], and
//! [`Class::new`] decides whether they are a valid class. A description without a valid
//! class costs its route the class only; the rest of the configuration takes effect.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

/// Longest quoted value in characters, so that it fills neither the log nor the status.
const MAX_FOUND_CHARS: usize = 64;

/// Rank of a class of requests; 0 is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Priority {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// What a caller may do with a request that was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeatability {
    /// The request may run several times.
    Idempotent,
    /// The request runs at most once; a caller repeats it only if it has not run.
    Once,
}

/// A property of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Property {
    /// [`Class::priority`].
    Priority,
    /// [`Class::objective`].
    Objective,
    /// [`Class::deadline`].
    Deadline,
    /// [`Class::repeatability`].
    Repeatability,
}

impl fmt::Display for Property {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Priority => "priority",
            Self::Objective => "objective",
            Self::Deadline => "deadline",
            Self::Repeatability => "repeatability",
        })
    }
}

/// A field of a description, as the configuration contains it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Field<T> {
    /// The configuration does not contain the field.
    Missing,
    /// The field's value, as text, is of another type.
    Mistyped(String),
    /// The field's value.
    Value(T),
}

impl<T> Field<T> {
    /// The value; `None` if the field is missing.
    fn optional(self, property: Property) -> Result<Option<T>, ClassError> {
        match self {
            Self::Missing => Ok(None),
            Self::Mistyped(found) => Err(ClassError::Mistyped {
                property,
                found: found.chars().take(MAX_FOUND_CHARS).collect(),
            }),
            Self::Value(value) => Ok(Some(value)),
        }
    }

    fn required(self, property: Property) -> Result<T, ClassError> {
        self.optional(property)?
            .ok_or(ClassError::Missing(property))
    }
}

/// The fields of a route that describe its requests, before they are checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Description {
    /// Priority; 0 is highest.
    pub priority: Field<u64>,
    /// Objective in milliseconds.
    pub objective_ms: Field<u64>,
    /// Deadline in milliseconds.
    pub deadline_ms: Field<u64>,
    /// Whether requests may be repeated. Requests without this field run at most once.
    pub repeatability: Field<Repeatability>,
}

/// Why a description is not a valid class.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ClassError {
    /// A required property is missing.
    #[error("{0} is missing")]
    Missing(Property),
    /// A property has a value of another type.
    #[error("{property}: {found} has the wrong type")]
    Mistyped {
        /// The property.
        property: Property,
        /// The beginning of its value, as text.
        found: String,
    },
    /// The priority is out of range.
    #[error("priority {0} is above {max}", max = u8::MAX)]
    PriorityTooLarge(u64),
    /// A duration is zero.
    #[error("{0} is zero")]
    Zero(Property),
    /// The objective is longer than the deadline.
    #[error("objective of {objective_ms} ms is above the deadline of {deadline_ms} ms")]
    ObjectiveAboveDeadline {
        /// The objective in milliseconds.
        objective_ms: u64,
        /// The deadline in milliseconds.
        deadline_ms: u64,
    },
}

/// The requests on a route, as its configuration describes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Class {
    /// Which requests go first.
    pub priority: Priority,
    /// Response time that callers expect, from their first attempt.
    pub objective: Duration,
    /// Time after which a caller gives up.
    pub deadline: Duration,
    /// Whether requests may be repeated.
    pub repeatability: Repeatability,
}

impl Class {
    /// Checks a description.
    ///
    /// # Errors
    ///
    /// Fails if a property except the repeatability is missing, or if any is of the wrong
    /// type, out of range, zero or contradicts another one.
    pub fn new(description: Description) -> Result<Self, ClassError> {
        let priority = description.priority.required(Property::Priority)?;
        let objective_ms = non_zero(description.objective_ms, Property::Objective)?;
        let deadline_ms = non_zero(description.deadline_ms, Property::Deadline)?;
        let repeatability = description
            .repeatability
            .optional(Property::Repeatability)?;
        if objective_ms > deadline_ms {
            return Err(ClassError::ObjectiveAboveDeadline {
                objective_ms,
                deadline_ms,
            });
        }
        let rank = u8::try_from(priority).map_err(|_| ClassError::PriorityTooLarge(priority))?;
        Ok(Self {
            priority: Priority(rank),
            objective: Duration::from_millis(objective_ms),
            deadline: Duration::from_millis(deadline_ms),
            repeatability: repeatability.unwrap_or(Repeatability::Once),
        })
    }
}

/// A duration in milliseconds. Requests without any time can't be served.
fn non_zero(field: Field<u64>, property: Property) -> Result<u64, ClassError> {
    match field.required(property)? {
        0 => Err(ClassError::Zero(property)),
        millis => Ok(millis),
    }
}

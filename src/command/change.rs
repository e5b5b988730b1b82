//! One change of a document by compare-and-swap.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::command;
use crate::document::Envelope;
use crate::error::Error;
use crate::error::Result;
use crate::id;
use crate::path;
use crate::platform::Client;
use crate::platform::ResolvedWrite;
use crate::query::stored;
use crate::query::stored::Stored;

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome<T> {
    /// It is in the platform.
    Accepted {
        /// The document as it was accepted.
        ours: Envelope<T>,
        /// The later change that has replaced it already, if one is known.
        replaced_by: Option<Envelope<T>>,
    },
    /// Another change was accepted first; ours never took effect and will not.
    Refused {
        /// What was not accepted.
        ours: Envelope<T>,
        /// What was accepted in its place; none if the document is gone.
        first: Option<Envelope<T>>,
    },
    /// Whether it took effect, or still will, is not known.
    Unknown {
        /// What may have been accepted.
        ours: Envelope<T>,
        /// What was found in its place, if anything could be read.
        found: Option<Envelope<T>>,
    },
}

/// A change and what became of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change<T> {
    /// The document, as in `profiles/NAME`.
    pub document: String,
    /// What became of it.
    #[serde(flatten)]
    pub outcome: Outcome<T>,
    /// What the operator should know besides.
    pub notes: Vec<String>,
}

impl<T> Change<T> {
    /// The revision that was accepted, if it was.
    pub fn accepted(&self) -> Option<id::Revision> {
        match &self.outcome {
            Outcome::Accepted { ours, .. } => Some(ours.revision),
            _ => None,
        }
    }
}

/// Where a change goes.
pub(crate) struct Place<'a> {
    /// Key of the document.
    pub(crate) key: &'a str,
    /// Before the revisions in its history, if one is kept.
    pub(crate) history: Option<&'a str>,
}

impl Place<'_> {
    /// Writes the body as the next revision after the current one.
    pub(crate) async fn write<T>(
        &self,
        client: &Client,
        current: Option<&Stored<T>>,
        operator: &id::Operator,
        body: T,
    ) -> Result<Change<T>>
    where
        T: Clone + Serialize + DeserializeOwned,
    {
        let ours = next(current, operator, body);
        let value = encode(self.key, &ours)?;
        let expected = current.map(|stored| stored.mod_revision);
        let resolved = client
            .compare_and_swap_resolved(self.key, expected, &value, None)
            .await?;
        let outcome = match resolved {
            ResolvedWrite::Done(_) => Outcome::Accepted {
                ours,
                replaced_by: None,
            },
            ResolvedWrite::Lost(entry) => {
                let found = entry.as_ref().and_then(readable);
                self.refused(client, ours, found).await
            }
            ResolvedWrite::Superseded(entry) => {
                let found = entry.as_ref().and_then(readable);
                self.overtaken(client, ours, found).await
            }
            ResolvedWrite::Unknown => Outcome::Unknown { ours, found: None },
        };
        Ok(self.change(outcome))
    }

    /// The outcome for a change that expects another revision than the current one.
    pub(crate) async fn refuse<T: DeserializeOwned>(
        &self,
        client: &Client,
        ours: Envelope<T>,
        found: Option<Envelope<T>>,
    ) -> Change<T> {
        let outcome = self.refused(client, ours, found).await;
        self.change(outcome)
    }

    fn change<T>(&self, outcome: Outcome<T>) -> Change<T> {
        Change {
            document: path::document(self.key).to_owned(),
            outcome,
            notes: Vec::new(),
        }
    }

    /// Shows what was accepted in place of ours: of several changes since, the
    /// first, which is the one of our revision.
    async fn refused<T: DeserializeOwned>(
        &self,
        client: &Client,
        ours: Envelope<T>,
        found: Option<Envelope<T>>,
    ) -> Outcome<T> {
        let later = found
            .as_ref()
            .is_some_and(|found| found.revision > ours.revision);
        let kept = match later {
            true => self.kept(client, ours.revision).await,
            false => None,
        };
        Outcome::Refused {
            ours,
            first: kept.or(found),
        }
    }

    /// Judges a change whose answer was lost and that does not stand now.
    ///
    /// Each revision is given once. If the found document has ours, ours never
    /// took effect. If it has a later one, ours may have been accepted and
    /// replaced since, which only the history can tell.
    async fn overtaken<T: DeserializeOwned>(
        &self,
        client: &Client,
        ours: Envelope<T>,
        found: Option<Envelope<T>>,
    ) -> Outcome<T> {
        let Some(found) = found else {
            return Outcome::Unknown { ours, found: None };
        };
        if found.revision == ours.revision {
            return Outcome::Refused {
                ours,
                first: Some(found),
            };
        }
        match self.kept::<T>(client, ours.revision).await {
            Some(kept) if kept.write_id == ours.write_id => Outcome::Accepted {
                ours,
                replaced_by: Some(found),
            },
            Some(kept) => Outcome::Refused {
                ours,
                first: Some(kept),
            },
            None => Outcome::Unknown {
                ours,
                found: Some(found),
            },
        }
    }

    async fn kept<T: DeserializeOwned>(
        &self,
        client: &Client,
        revision: id::Revision,
    ) -> Option<Envelope<T>> {
        let key = format!("{}{revision}", self.history?);
        let stored = stored::read(client, &key).await.ok()??;
        Some(stored.envelope)
    }
}

/// The envelope that follows the current one.
pub(crate) fn next<T>(
    current: Option<&Stored<T>>,
    operator: &id::Operator,
    body: T,
) -> Envelope<T> {
    let previous = current.map_or(0, |stored| stored.envelope.revision.0);
    Envelope {
        revision: id::Revision(previous + 1),
        operator: operator.clone(),
        write_id: command::write_id(),
        body,
    }
}

/// The value under which something is stored.
pub(crate) fn encode(key: &str, value: &impl Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|e| Error::Decode {
        step: "encode",
        peer: path::document(key).to_owned(),
        reason: e.to_string(),
    })
}

fn readable<T: DeserializeOwned>(entry: &crate::platform::Entry) -> Option<Envelope<T>> {
    stored::decode(entry).ok().map(|stored| stored.envelope)
}

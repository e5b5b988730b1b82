//! Commands that add services and choose their profiles.

use crate::command::change;
use crate::command::change::Change;
use crate::command::change::DocumentKeys;
use crate::document;
use crate::error::Result;
use crate::id;
use crate::path;
use crate::platform::Client;
use crate::query::profile;
use crate::query::stored;

/// Adds a service. If it exists already, the change is refused and shows the stored one.
///
/// # Errors
///
/// After an error nothing was written and nothing will be. Fails when the
/// profile does not exist: a service without its profile could not be served.
pub async fn add(
    client: &Client,
    operator: &id::Operator,
    name: &id::Service,
    body: document::Service,
) -> Result<Change<document::Service>> {
    profile::get(client, &body.profile).await?;
    let key = path::service(name);
    let keys = keys(&key);
    let current = stored::read(client, &key).await?;
    match current {
        Some(stored) => {
            let ours = change::next_envelope(None, operator, body);
            Ok(keys.refuse(client, ours, Some(stored.envelope)).await)
        }
        None => keys.write(client, None, operator, body).await,
    }
}

/// Changes the profile that a service uses.
///
/// # Errors
///
/// After an error nothing was written and nothing will be. Fails when the
/// service or the profile does not exist.
pub async fn choose(
    client: &Client,
    operator: &id::Operator,
    name: &id::Service,
    profile: &id::Profile,
) -> Result<Change<document::Service>> {
    profile::get(client, profile).await?;
    let key = path::service(name);
    let current = stored::require::<document::Service>(client, &key).await?;
    let body = document::Service {
        profile: profile.clone(),
        ..current.envelope.body.clone()
    };
    keys(&key)
        .write(client, Some(&current), operator, body)
        .await
}

fn keys(key: &str) -> DocumentKeys<'_> {
    DocumentKeys { key, history: None }
}

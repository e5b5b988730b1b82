//! Adding services and choosing their profiles.

use crate::command::change;
use crate::command::change::Change;
use crate::command::change::Place;
use crate::document;
use crate::error::Result;
use crate::id;
use crate::path;
use crate::platform::Client;
use crate::query::profile;
use crate::query::stored;

/// Adds a service; one that exists is refused and shown.
///
/// # Errors
///
/// After an error nothing was written and nothing will be. There is one when the
/// profile does not exist: a service without its profile could not be served.
pub async fn add(
    client: &Client,
    operator: &id::Operator,
    name: &id::Service,
    body: document::Service,
) -> Result<Change<document::Service>> {
    profile::get(client, &body.profile).await?;
    let key = path::service(name);
    let place = place(&key);
    let current = stored::read(client, &key).await?;
    match current {
        Some(stored) => {
            let ours = change::next(None, operator, body);
            Ok(place.refuse(client, ours, Some(stored.envelope)).await)
        }
        None => place.write(client, None, operator, body).await,
    }
}

/// Lets a service use another profile.
///
/// # Errors
///
/// After an error nothing was written and nothing will be. There is one when the
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
    place(&key)
        .write(client, Some(&current), operator, body)
        .await
}

fn place(key: &str) -> Place<'_> {
    Place { key, history: None }
}

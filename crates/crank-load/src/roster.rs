//! Where the processes of a running fleet are, in a file that other commands read.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Error;
use crate::fleet::{Fleet, wait};

/// How long a node may take to say whether it is ready; after that it is asked again.
const READY_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A node that is not ready, and what it answered.
struct Unready {
    node: Arc<str>,
    detail: String,
}

/// One node and the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RosterEntry {
    /// The node's name.
    pub name: Arc<str>,
    /// The service of its backend server.
    pub service: Arc<str>,
    /// The base URL for callers.
    pub callers: Arc<str>,
    /// The base URL for operators.
    pub operators: Arc<str>,
    /// The base URL of the backend server.
    pub backend: Arc<str>,
    /// The node's process id.
    pub process: u32,
}

/// All processes of a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    /// The settings file of the store.
    pub store: Arc<str>,
    /// The nodes.
    pub posts: Vec<RosterEntry>,
}

impl Roster {
    /// The roster of a running fleet.
    ///
    /// # Errors
    /// [`Error::File`] where the store's settings cannot be written.
    ///
    /// ```
    /// # use crank_load::{Error, fleet::Fleet, roster::Roster};
    /// fn nodes(fleet: &Fleet) -> Result<usize, Error> {
    ///     Ok(Roster::new(fleet)?.posts.len())
    /// }
    /// ```
    pub fn new(fleet: &Fleet) -> Result<Self, Error> {
        let posts = fleet.nodes.iter().map(|node| RosterEntry {
            name: node.placement.name.clone(),
            service: node.placement.service.clone(),
            callers: node.callers().into(),
            operators: node.operators().into(),
            backend: node.backend_url().into(),
            process: node.node.id().unwrap_or_default(),
        });
        Ok(Self {
            store: fleet.store_settings()?.display().to_string().into(),
            posts: posts.collect(),
        })
    }

    /// Reads a roster file.
    ///
    /// # Errors
    /// [`Error::File`] or [`Error::Roster`].
    ///
    /// ```
    /// use crank_load::roster::Roster;
    /// assert!(Roster::read(std::path::Path::new("/nowhere.json")).is_err());
    /// ```
    pub fn read(path: &Path) -> Result<Self, Error> {
        let file = |source| Error::File {
            path: path.to_owned(),
            source,
        };
        let content = std::fs::read(path).map_err(file)?;
        serde_json::from_slice(&content).map_err(|source| Error::Roster {
            path: path.to_owned(),
            source,
        })
    }

    /// Writes a roster file.
    ///
    /// # Errors
    /// [`Error::File`] or [`Error::Roster`].
    ///
    /// ```
    /// # use crank_load::{Error, roster::Roster};
    /// fn keep(roster: &Roster) -> Result<(), Error> {
    ///     roster.write(std::path::Path::new("roster.json"))
    /// }
    /// ```
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let content = serde_json::to_vec_pretty(self).map_err(|source| Error::Roster {
            path: path.to_owned(),
            source,
        })?;
        std::fs::write(path, content).map_err(|source| Error::File {
            path: path.to_owned(),
            source,
        })
    }

    /// Waits until every node takes requests.
    ///
    /// # Errors
    /// [`Error::Timeout`] where one does not in time.
    ///
    /// ```
    /// # use crank_load::{Error, roster::Roster};
    /// # async fn example(roster: &Roster) -> Result<(), Error> {
    /// roster.ready(std::time::Duration::from_secs(30)).await
    /// # }
    /// ```
    pub async fn ready(&self, limit: Duration) -> Result<(), Error> {
        let client = reqwest::Client::new();
        let mut last_unready = None;
        let ready = wait("readiness of all nodes", limit, async || {
            last_unready = self.first_unready(&client).await;
            last_unready.is_none()
        });
        ready.await.map_err(|error| match last_unready {
            Some(unready) => Error::NotReady {
                node: unready.node,
                detail: unready.detail,
                waited_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
            },
            None => error,
        })
    }

    /// Asks the nodes one after the other, and returns the first that is not ready.
    async fn first_unready(&self, client: &reqwest::Client) -> Option<Unready> {
        for post in &self.posts {
            let call = client.get(format!("{}/readyz", post.operators));
            let detail = match call.timeout(READY_CALL_TIMEOUT).send().await {
                Ok(answer) if answer.status().is_success() => continue,
                Ok(answer) => format!("status {}", answer.status()),
                Err(error) => format!("{error:?}"),
            };
            let node = Arc::from(&*post.name);
            return Some(Unready { node, detail });
        }
        None
    }

    /// The same without some of the nodes.
    ///
    /// ```
    /// # use crank_load::roster::Roster;
    /// # fn example(roster: &Roster) -> Roster {
    /// roster.without(&["node3"])
    /// # }
    /// ```
    #[must_use]
    pub fn without(&self, names: &[&str]) -> Self {
        let posts = self
            .posts
            .iter()
            .filter(|post| !names.contains(&&*post.name));
        Self {
            store: self.store.clone(),
            posts: posts.cloned().collect(),
        }
    }
}

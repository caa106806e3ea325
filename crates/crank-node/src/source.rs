//! Follows a store that accepts configurations itself.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use crank_engine::backoff;
use crank_engine::config::digest;
use crank_mesh::{Handle, StoreHead};
use crank_protocol::Millis;
use crank_protocol::config::{Config, Snapshot, Stamp, Version};
use thiserror::Error as ThisError;
use tokio::time::Instant;

/// How long the store holds a request for changes open until there is one.
const CHANGE_WAIT: Millis = Millis(20_000);
/// The pause after a change before the next request: the store keeps only the newest of changes in
/// quick succession, and each request has a cost.
const PAUSE_AFTER_CHANGE: Duration = Duration::from_millis(500);
/// The longest backoff while the store does not answer: a node must get the newest configuration
/// soon after the store is back.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// A position in the store's history of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cursor(pub u64);

/// A configuration that the store has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedConfig {
    /// The version of the configuration.
    pub version: Version,
    /// The content of the configuration.
    pub config: Config,
}

/// The store's answer to a read or a wait for changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceUpdate {
    /// The position from which to wait for the next change.
    pub cursor: Cursor,
    /// The newest configuration, if it has changed since the previous cursor.
    pub accepted: Option<AcceptedConfig>,
}

/// The reasons why a store gave no answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum SourceError {
    /// The history no longer reaches back to the cursor.
    #[error(
        "the store no longer holds the changes since the last read: read the latest configuration"
    )]
    CursorExpired,
    /// The store could not be reached or refused the request.
    #[error("the store is unavailable ({detail}): the node retries until it answers")]
    Unavailable {
        /// The error that occurred.
        detail: Arc<str>,
    },
    /// The configuration in the store cannot be parsed.
    #[error("cannot read the store's configuration ({detail}): the one in force stays")]
    Malformed {
        /// What is wrong with the configuration.
        detail: Arc<str>,
    },
}

/// A store that accepts configurations itself.
pub trait Source: Send + Sync + 'static {
    /// Reads the newest configuration.
    ///
    /// # Errors
    /// Returns [`SourceError::Unavailable`] or [`SourceError::Malformed`].
    fn latest(&self) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;

    /// Waits for changes after a cursor, for at most `wait`.
    ///
    /// # Errors
    /// Returns any [`SourceError`].
    fn wait_for_changes(
        &self,
        after: Cursor,
        wait: Millis,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;
}

/// Applies each configuration that the store accepts on this node, until the future is dropped.
///
/// Reads the newest configuration once at the start, and follows the changes for as long as the
/// mesh asks this node to.
///
/// ```
/// # use crank_mesh::Handle;
/// # use crank_node::source::{Source, follow};
/// fn start<S: Source>(source: S, mesh: Handle) {
///     tokio::spawn(follow(source, mesh));
/// }
/// ```
pub async fn follow<S: Source>(source: S, mesh: Handle) {
    let mut cursor = None;
    let mut outage = Outage::default();
    let mut should_follow = mesh.should_follow_store();
    loop {
        if cursor.is_some() && !*should_follow.borrow() {
            log::info!("other nodes follow the store for this one");
            outage.end();
            if should_follow
                .wait_for(|should_follow| *should_follow)
                .await
                .is_err()
            {
                return;
            }
            log::info!("following the store again");
            cursor = None;
        }
        let result = match cursor {
            None => source.latest().await,
            Some(after) => source.wait_for_changes(after, CHANGE_WAIT).await,
        };
        match result {
            Ok(update) => {
                outage.end();
                let has_changed = update.accepted.is_some();
                let is_first = cursor.replace(update.cursor).is_none();
                apply_update(update, is_first, &mesh).await;
                if has_changed {
                    tokio::time::sleep(PAUSE_AFTER_CHANGE).await;
                }
            }
            Err(SourceError::CursorExpired) => {
                log::info!(
                    "the store no longer holds the changes since the last read; reading it anew"
                );
                cursor = None;
            }
            Err(error) => {
                outage.begin(&error);
                if cursor.is_none() {
                    report_head(&mesh, StoreHead::Unavailable).await;
                }
                tokio::time::sleep(outage.retry_pause()).await;
            }
        }
    }
}

async fn apply_update(update: SourceUpdate, is_first: bool, mesh: &Handle) {
    let Some(AcceptedConfig { version, config }) = update.accepted else {
        if is_first {
            report_head(mesh, StoreHead::Empty).await;
        }
        return;
    };
    let stamp = Stamp {
        version,
        digest: digest(&config),
    };
    let snapshot = Snapshot {
        stamp: stamp.clone(),
        config,
    };
    report_head(mesh, StoreHead::Accepted(stamp)).await;
    match mesh.apply_snapshot(snapshot).await {
        Ok(step) => log::info!(version = version.0, step:? = step; "configuration accepted"),
        Err(error) => {
            log::error!(
                version = version.0,
                error:% = error;
                "configuration not applied by the mesh"
            )
        }
    }
}

async fn report_head(mesh: &Handle, head: StoreHead) {
    if let Err(error) = mesh.report_head(head).await {
        log::error!(error:% = error; "the head could not be reported to the mesh");
    }
}

/// Tracks an outage of the store, to log one line at its start and one at its end.
#[derive(Debug, Default)]
struct Outage {
    started: Option<Instant>,
    failures: u32,
}

impl Outage {
    fn begin(&mut self, error: &SourceError) {
        if self.started.is_none() {
            self.started = Some(Instant::now());
            log::warn!(reason:% = error; "store lost");
        }
        self.failures = self.failures.saturating_add(1);
    }

    fn end(&mut self) {
        if let Some(started) = self.started.take() {
            let duration = Millis::from(started.elapsed());
            log::info!(away_ms = duration.0, failures = self.failures; "store regained");
        }
        self.failures = 0;
    }

    fn retry_pause(&self) -> Duration {
        let wait = Duration::from(backoff::delay(self.failures, &mut rand::rng()));
        wait.min(MAX_RETRY_PAUSE)
    }
}

//! Configurations that the platform's store accepts itself, followed by every node.

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

/// How long one question for changes waits for one.
const WAIT: Millis = Millis(20_000);
/// How long changes are gathered before the store is asked on: it holds only the newest of those that
/// follow each other quickly, and each question has its price.
const GATHER: Duration = Duration::from_millis(500);
/// The longest pause before a store that does not answer is asked again: a node must hold the newest
/// configuration soon after the store is back.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// A place in the store's history of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cursor(pub u64);

/// A configuration that the store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedConfig {
    /// Its number.
    pub version: Version,
    /// Its content.
    pub config: Config,
}

/// What a question to the store brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceUpdate {
    /// From where to ask on.
    pub cursor: Cursor,
    /// The newest configuration, where there is one since the last question.
    pub accepted: Option<AcceptedConfig>,
}

/// Why the store did not tell.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum SourceError {
    /// The history no longer reaches back to the cursor.
    #[error("the store has forgotten the changes since the last question: read it anew")]
    CursorExpired,
    /// It could not be asked, or refused.
    #[error("the store does not answer ({detail}): wait until it is back")]
    Unavailable {
        /// What was met.
        detail: Arc<str>,
    },
    /// What it holds cannot be used.
    #[error("the store's configuration cannot be read ({detail}): the one in force stays")]
    Malformed {
        /// What is wrong.
        detail: Arc<str>,
    },
}

/// The edge to a store that accepts configurations itself.
pub trait Source: Send + Sync + 'static {
    /// Reads the newest configuration.
    ///
    /// # Errors
    /// [`SourceError::Unavailable`] or [`SourceError::Malformed`].
    fn latest(&self) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;

    /// Waits this long for changes after a cursor.
    ///
    /// # Errors
    /// Any [`SourceError`].
    fn wait_for_changes(
        &self,
        after: Cursor,
        wait: Millis,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;
}

/// Brings each configuration that the store accepts into force on this node, until it is dropped.
///
/// It reads once at the start, and follows the changes for as long as the mesh says that this node
/// should.
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
    let mut follows = mesh.should_follow_store();
    loop {
        if cursor.is_some() && !*follows.borrow() {
            log::info!("other nodes follow the store for this one");
            outage.end();
            if follows.wait_for(|follows| *follows).await.is_err() {
                return;
            }
            log::info!("following the store again");
            cursor = None;
        }
        let told = match cursor {
            None => source.latest().await,
            Some(after) => source.wait_for_changes(after, WAIT).await,
        };
        match told {
            Ok(news) => {
                outage.end();
                let has_changed = news.accepted.is_some();
                let is_first = cursor.replace(news.cursor).is_none();
                take(news, is_first, &mesh).await;
                if has_changed {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(SourceError::CursorExpired) => {
                log::info!("the store has dropped its history: reading it anew");
                cursor = None;
            }
            Err(silence) => {
                outage.begin(&silence);
                if cursor.is_none() {
                    tell(&mesh, StoreHead::Unavailable).await;
                }
                tokio::time::sleep(outage.pause()).await;
            }
        }
    }
}

async fn take(news: SourceUpdate, is_first: bool, mesh: &Handle) {
    let Some(AcceptedConfig { version, config }) = news.accepted else {
        if is_first {
            tell(mesh, StoreHead::Empty).await;
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
    tell(mesh, StoreHead::Accepted(stamp)).await;
    match mesh.apply_snapshot(snapshot).await {
        Ok(step) => log::info!(version = version.0, step:? = step; "configuration accepted"),
        Err(error) => log::error!(version = version.0, error:% = error; "configuration not taken"),
    }
}

async fn tell(mesh: &Handle, head: StoreHead) {
    if let Err(error) = mesh.report_head(head).await {
        log::error!(error:% = error; "the mesh does not listen");
    }
}

/// One time in which the store does not answer, for one line at each end of it.
#[derive(Debug, Default)]
struct Outage {
    began: Option<Instant>,
    failures: u32,
}

impl Outage {
    fn begin(&mut self, silence: &SourceError) {
        if self.began.is_none() {
            self.began = Some(Instant::now());
            log::warn!(reason:% = silence; "store lost");
        }
        self.failures = self.failures.saturating_add(1);
    }

    fn end(&mut self) {
        if let Some(began) = self.began.take() {
            let away = Millis::from(began.elapsed());
            log::info!(away_ms = away.0, failures = self.failures; "store regained");
        }
        self.failures = 0;
    }

    fn pause(&self) -> Duration {
        let wait = Duration::from(backoff::delay(self.failures, &mut rand::rng()));
        wait.min(LONGEST_PAUSE)
    }
}

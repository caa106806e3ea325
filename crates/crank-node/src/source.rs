//! Follows a store that accepts configurations itself.

mod outage;
mod refused;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use crank_engine::config::digest;
use crank_mesh::{Handle, StoreCheck, StoreHead};
use crank_protocol::Millis;
use crank_protocol::config::{Config, Snapshot, Stamp, StorePosition, Version};
use crank_protocol::rollout::{RolloutOrder, RolloutState};
use crank_protocol::wire::Confirmation;
use thiserror::Error as ThisError;
use tokio::time::Instant;

use outage::Outage;

pub use refused::{ConfigFault, RefusedConfig};

/// How long the store holds a request for changes open until there is one.
const CHANGE_WAIT: Millis = Millis(20_000);
/// The pause after a change before the next request: the store keeps only the newest of changes in
/// quick succession, and each request has a cost.
const PAUSE_AFTER_CHANGE: Duration = Duration::from_millis(500);
/// The longest backoff while the store does not answer: a node must get the newest configuration
/// soon after the store is back.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// The longest backoff between two checks; longer than that of the nodes that follow the store,
/// because all nodes check while it is away.
const MAX_CHECK_RETRY_PAUSE: Duration = Duration::from_millis(2_000);
/// The pause after a check, in case the store knows less than other nodes have told.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The longest pause before the store is read anew because it no longer holds a position.
const MAX_REREAD_DELAY: Duration = Duration::from_millis(200);
const NO_WAIT: Millis = Millis(0);

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
    /// The position of the store, from which to wait for the next change.
    pub position: StorePosition,
    /// The newest configuration, if it has changed since the previous position, or why this node
    /// cannot use it.
    pub config: Option<Result<AcceptedConfig, ConfigFault>>,
    /// The orders to roll out a release that have changed since the previous position.
    pub rollouts: Vec<RolloutOrder>,
}

/// The reasons why a store gave no answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum SourceError {
    /// The store no longer holds the changes since the given position: its history does not reach
    /// back so far, or the store has come back from an older copy.
    #[error(
        "the store no longer holds the changes since the last read: read the latest configuration"
    )]
    HistoryDropped,
    /// The store could not be reached or refused the request.
    #[error("the store is unavailable ({detail}): the node retries until it answers")]
    Unavailable {
        /// The error that occurred.
        detail: Arc<str>,
    },
}

/// A store that accepts configurations itself.
pub trait Source: Send + Sync + 'static {
    /// Reads the newest configuration.
    ///
    /// # Errors
    /// Returns [`SourceError::Unavailable`].
    fn latest(&self) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;

    /// Waits for changes after a position, for at most `wait`.
    ///
    /// # Errors
    /// Returns any [`SourceError`].
    fn wait_for_changes(
        &self,
        after: StorePosition,
        wait: Millis,
    ) -> impl Future<Output = Result<SourceUpdate, SourceError>> + Send;
}

/// What the store last told: its position, and the newest version there.
#[derive(Debug, Clone, Copy)]
struct Known {
    position: StorePosition,
    version: Option<Version>,
}

/// Applies each configuration that the store accepts on this node, until the future is dropped.
///
/// Reads the newest configuration once at the start, and follows the changes for as long as the
/// mesh asks this node to.
///
/// ```
/// # use crank_mesh::Handle;
/// # use crank_node::source::{RefusedConfig, Source, follow};
/// fn start<S: Source>(source: S, mesh: Handle) {
///     tokio::spawn(follow(source, mesh, RefusedConfig::default()));
/// }
/// ```
pub async fn follow<S: Source>(source: S, mesh: Handle, refused: RefusedConfig) {
    let mut known: Option<Known> = None;
    let mut outage = Outage::default();
    let mut should_follow = mesh.should_follow_store();
    loop {
        if known.is_some() && !*should_follow.borrow() {
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
            known = None;
        }
        let started = Instant::now();
        let result = match known {
            None => source.latest().await,
            Some(known) => source.wait_for_changes(known.position, CHANGE_WAIT).await,
        };
        match result {
            Ok(update) => {
                outage.end();
                let has_changed = update.config.is_some();
                offer_rollouts(&update, &mesh).await;
                let update = usable_update(update, &refused);
                known = Some(apply_update(update, known, started, &mesh).await);
                if has_changed {
                    tokio::time::sleep(PAUSE_AFTER_CHANGE).await;
                }
            }
            Err(SourceError::HistoryDropped) => {
                log::info!(
                    "the store no longer holds the changes since the last read; reading it anew"
                );
                known = None;
                // Spreads the reads of nodes that learn of this at the same moment.
                tokio::time::sleep(MAX_REREAD_DELAY.mul_f64(rand::random())).await;
            }
            Err(error) => {
                outage.begin(&error);
                if known.is_none() {
                    report_head(&mesh, StoreHead::Unavailable).await;
                }
                tokio::time::sleep(outage.retry_pause(MAX_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Checks the store whenever the mesh asks this node to, until the future is dropped.
///
/// This goes on beside [`follow`], whose request for changes may be waiting on a connection that no
/// longer delivers anything.
///
/// ```
/// # use crank_mesh::Handle;
/// # use crank_node::source::{RefusedConfig, Source, check_when_due};
/// fn start<S: Source>(source: S, mesh: Handle) {
///     tokio::spawn(check_when_due(source, mesh, RefusedConfig::default()));
/// }
/// ```
pub async fn check_when_due<S: Source>(source: S, mesh: Handle, refused: RefusedConfig) {
    let mut due = mesh.store_check();
    let mut outage = Outage::default();
    loop {
        let check = match due.wait_for(Option::is_some).await {
            Ok(check) => *check,
            Err(_) => return,
        };
        let started = Instant::now();
        let (result, known) = match check {
            None => continue,
            Some(StoreCheck::Latest) => (source.latest().await, None),
            Some(StoreCheck::Changes { since, version }) => {
                let known = Known {
                    position: since,
                    version: Some(version),
                };
                (source.wait_for_changes(since, NO_WAIT).await, Some(known))
            }
        };
        let result = match result {
            Err(SourceError::HistoryDropped) => source.latest().await,
            result => result,
        };
        match result {
            Ok(update) => {
                outage.end();
                offer_rollouts(&update, &mesh).await;
                let update = usable_update(update, &refused);
                log_check(&update, &mesh);
                apply_update(update, known, started, &mesh).await;
                tokio::time::sleep(MIN_CHECK_INTERVAL).await;
            }
            Err(error) => {
                outage.begin(&error);
                tokio::time::sleep(outage.retry_pause(MAX_CHECK_RETRY_PAUSE)).await;
            }
        }
    }
}

/// Tells the mesh of the orders in an update.
async fn offer_rollouts(update: &SourceUpdate, mesh: &Handle) {
    for order in &update.rollouts {
        if let Err(error) = mesh.offer_rollout(RolloutState::new(order.clone())).await {
            log::error!(error:% = error; "an order could not be told to the mesh");
        }
    }
}

/// An update without what this node cannot use.
struct UsableUpdate {
    position: StorePosition,
    accepted: Option<AcceptedConfig>,
    is_refused: bool,
}

/// Records whether the configuration of an update can be used.
fn usable_update(update: SourceUpdate, refused: &RefusedConfig) -> UsableUpdate {
    let SourceUpdate {
        position, config, ..
    } = update;
    let (accepted, is_refused) = match config {
        None => (None, false),
        Some(Ok(accepted)) => {
            refused.accept(position);
            (Some(accepted), false)
        }
        Some(Err(fault)) => {
            refused.refuse(position, fault);
            (None, true)
        }
    };
    UsableUpdate {
        position,
        accepted,
        is_refused,
    }
}

/// Logs a check that found a change, which the nodes that follow the store have not passed on.
fn log_check(update: &UsableUpdate, mesh: &Handle) {
    if let Some(accepted) = &update.accepted {
        let unconfirmed = mesh.confirmation_age().map(Millis::from);
        log::info!(
            version = accepted.version.0,
            unconfirmed_ms = unconfirmed.map_or(0, |age| age.0);
            "checking the store found a change"
        );
    }
}

/// Applies what the store told, and confirms to the mesh what the newest version was when the call
/// started; the answer may have been on its way for long.
async fn apply_update(
    update: UsableUpdate,
    known: Option<Known>,
    started: Instant,
    mesh: &Handle,
) -> Known {
    let accepted = update.accepted;
    let version = accepted.as_ref().map(|accepted| accepted.version);
    let now_known = Known {
        position: update.position,
        version: version.or(known.and_then(|known| known.version)),
    };
    match accepted {
        Some(accepted) => apply_accepted(accepted, mesh).await,
        None if known.is_none() && update.is_refused => {
            report_head(mesh, StoreHead::Unavailable).await;
        }
        None if known.is_none() => report_head(mesh, StoreHead::Empty).await,
        None => {}
    }
    if let Some(version) = now_known.version {
        let confirmation = Confirmation {
            version,
            position: now_known.position,
            age: Millis::from(started.elapsed()),
        };
        if let Err(error) = mesh.confirm(confirmation).await {
            log::error!(error:% = error; "the version could not be confirmed to the mesh");
        }
    }
    now_known
}

async fn apply_accepted(accepted: AcceptedConfig, mesh: &Handle) {
    let AcceptedConfig { version, config } = accepted;
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

//! Drains the backend server before the notice period of the account ends.

use std::sync::Arc;
use std::time::Duration;

use crank_engine::notice::is_handover_due;
use crank_protocol::config::Snapshot;
use crank_protocol::member::Stage;
use crank_server::Announcement;
use time::OffsetDateTime;
use tokio::sync::watch;

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Forwards the backend server's announcements, as draining once its hand-over is due.
///
/// A configuration with a later end of the notice period, or with none, reverts this.
///
/// ```
/// use crank_node::handover::drain_before_notice_end;
/// use tokio::sync::watch;
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let (_announcement, announced) = watch::channel(None);
/// let (_sender, config) = watch::channel(None);
/// assert!(drain_before_notice_end(announced, config).borrow().is_none());
/// # });
/// ```
#[must_use]
pub fn drain_before_notice_end(
    mut announced: watch::Receiver<Option<Announcement>>,
    mut config: watch::Receiver<Option<Arc<Snapshot>>>,
) -> watch::Receiver<Option<Announcement>> {
    let (sender, receiver) = watch::channel(None);
    tokio::spawn(async move {
        let mut was_due = false;
        while !sender.is_closed() {
            let announcement = announced.borrow_and_update().clone();
            let snapshot = config.borrow_and_update().clone();
            let now = OffsetDateTime::now_utc();
            let due = is_due_for(announcement.as_ref(), snapshot.as_deref(), now);
            if due && !was_due {
                log::warn!("the notice period ends soon; draining the backend server");
            }
            was_due = due;
            let next = announcement.map(|announcement| {
                if due {
                    as_draining(announcement)
                } else {
                    announcement
                }
            });
            sender.send_if_modified(|current| {
                let is_new = *current != next;
                *current = next;
                is_new
            });
            let changed = tokio::select! {
                changed = announced.changed() => changed.is_ok(),
                changed = config.changed() => changed.is_ok(),
                () = tokio::time::sleep(POLL_INTERVAL) => true,
            };
            if !changed {
                return;
            }
        }
    });
    receiver
}

fn is_due_for(
    announcement: Option<&Announcement>,
    snapshot: Option<&Snapshot>,
    now: OffsetDateTime,
) -> bool {
    match (announcement, snapshot) {
        (Some(announcement), Some(snapshot)) => {
            is_handover_due(&snapshot.config, &announcement.endpoint.service, now)
        }
        _ => false,
    }
}

fn as_draining(mut announcement: Announcement) -> Announcement {
    let stage = &mut announcement.endpoint.stage;
    if matches!(*stage, Stage::Starting | Stage::Ready) {
        *stage = Stage::Draining;
    }
    announcement
}

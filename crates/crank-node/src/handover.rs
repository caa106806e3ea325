//! The backend server hands over in time for the end of the notice period.

use std::sync::Arc;
use std::time::Duration;

use crank_engine::notice::is_handover_due;
use crank_protocol::config::Snapshot;
use crank_protocol::member::Stage;
use crank_server::Announcement;
use time::OffsetDateTime;
use tokio::sync::watch;

const POLL: Duration = Duration::from_millis(500);

/// What the backend server announces, but draining instead of taking work once its hand-over is due.
///
/// A folder with a later end, or with none, takes it back.
///
/// ```
/// use crank_node::handover::follow;
/// use tokio::sync::watch;
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let (_announce, announced) = watch::channel(None);
/// let (_hold, config) = watch::channel(None);
/// assert!(follow(announced, config).borrow().is_none());
/// # });
/// ```
#[must_use]
pub fn follow(
    mut announced: watch::Receiver<Option<Announcement>>,
    mut config: watch::Receiver<Option<Arc<Snapshot>>>,
) -> watch::Receiver<Option<Announcement>> {
    let (tell, told) = watch::channel(None);
    tokio::spawn(async move {
        let mut was_due = false;
        while !tell.is_closed() {
            let found = announced.borrow_and_update().clone();
            let held = config.borrow_and_update().clone();
            let now = OffsetDateTime::now_utc();
            let due = is_due_for(found.as_ref(), held.as_deref(), now);
            if due && !was_due {
                log::warn!("the notice period ends: the backend server hands over");
            }
            was_due = due;
            let next = found.map(|found| if due { leaving(found) } else { found });
            tell.send_if_modified(|held| {
                let is_new = *held != next;
                *held = next;
                is_new
            });
            let changed = tokio::select! {
                changed = announced.changed() => changed.is_ok(),
                changed = config.changed() => changed.is_ok(),
                () = tokio::time::sleep(POLL) => true,
            };
            if !changed {
                return;
            }
        }
    });
    told
}

fn is_due_for(found: Option<&Announcement>, held: Option<&Snapshot>, now: OffsetDateTime) -> bool {
    match (found, held) {
        (Some(found), Some(held)) => is_handover_due(&held.config, &found.endpoint.service, now),
        _ => false,
    }
}

fn leaving(mut announcement: Announcement) -> Announcement {
    let stage = &mut announcement.endpoint.stage;
    if matches!(*stage, Stage::Starting | Stage::Ready) {
        *stage = Stage::Draining;
    }
    announcement
}

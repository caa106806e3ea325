//! Run times of the backend server, from which the node learns how fast the server is.

use crank_engine::Moment;
use crank_engine::slowdown::Run;
use crank_platform_client::Rows;
use crank_protocol::Millis;
use crank_protocol::call::Response;

use super::{Forwarder, Target};
use crate::entry::MIN_SERVER_ERROR_STATUS;

impl<P: Rows, F: Forwarder> Target<P, F> {
    /// Records the run time of a whole response. Failures are left out: they may come at once.
    pub(super) fn record_run(
        &self,
        response: &Response,
        expected: Option<Millis>,
        started_at: Moment,
    ) {
        if response.head.status < MIN_SERVER_ERROR_STATUS {
            self.shared.admission.record_run(Run {
                micros: self.now().0.saturating_sub(started_at.0),
                expected,
                stated: response.head.load.slowdown,
            });
        }
    }
}

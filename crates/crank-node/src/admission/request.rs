//! What a request states when it asks for admission.

use crank_engine::Moment;
use crank_engine::limit::PendingRequest;
use crank_protocol::config::Importance;
use crank_protocol::{Millis, Name};

/// A request for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The importance; the least important requests are refused first when there are too many.
    pub importance: Importance,
    /// The moment until which the request may wait.
    pub deadline: Moment,
    /// The depth in the call chain; zero for a caller outside the mesh.
    pub depth: u32,
    /// The client account that the request counts for, if any.
    pub account: Option<Name>,
    /// How long the request is expected to run, if known.
    pub expected_run_time: Option<Millis>,
}

impl AdmissionRequest {
    /// Creates the admission request of a caller outside the mesh, with the default importance.
    ///
    /// ```
    /// use crank_engine::Moment;
    /// use crank_node::admission::AdmissionRequest;
    /// assert_eq!(AdmissionRequest::new(Moment(9)).depth, 0);
    /// ```
    #[must_use]
    pub fn new(deadline: Moment) -> Self {
        Self {
            importance: Importance::default(),
            deadline,
            depth: 0,
            account: None,
            expected_run_time: None,
        }
    }

    pub(super) fn into_pending(self, id: u64) -> PendingRequest {
        let Self {
            importance,
            deadline,
            depth,
            account,
            expected_run_time,
        } = self;
        PendingRequest {
            id,
            importance,
            deadline,
            depth,
            expected_run_time,
            account,
        }
    }
}

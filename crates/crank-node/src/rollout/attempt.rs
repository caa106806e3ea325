//! An attempt at a server of a service that is rolled out, from its start to its end.

use crank_engine::Moment;
use crank_protocol::Name;
use crank_protocol::call::{Refusal, RefusedRequest, Response};
use crank_protocol::config::Revision;
use crank_protocol::rollout::Subject;

use super::Rollouts;

const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub(super) enum End {
    /// Nothing is known, because the caller gave up.
    Dropped,
    /// The server did not get the request.
    NotReached,
    /// The server may have got the request, and what this says about it.
    Reached(Option<Answer>),
}

/// What an attempt says about the server.
#[derive(Debug, Clone, Copy)]
pub(super) enum Answer {
    Good,
    Failed,
    Late,
}

/// An attempt that counts for a roll-out until it ends.
pub struct Attempt {
    counted: Option<Counted>,
}

/// An attempt for a service that is rolled out.
pub(super) struct Counted {
    pub(super) rollouts: Rollouts,
    pub(super) service: Name,
    pub(super) order: Revision,
    /// Whether the server runs the new release.
    pub(super) is_new: bool,
    pub(super) subject: Subject,
    pub(super) node: Name,
    pub(super) started_at: Moment,
}

impl Attempt {
    /// Creates an attempt; `None` if its service is not rolled out.
    pub(super) fn new(counted: Option<Counted>) -> Self {
        Self { counted }
    }

    /// Counts the result of the attempt. An attempt that is dropped says nothing about the server.
    pub(crate) fn finish(mut self, result: &Result<Response, RefusedRequest>) {
        let end = match result {
            Ok(response) if response.head.status < MIN_SERVER_ERROR_STATUS => {
                End::Reached(Some(Answer::Good))
            }
            Ok(_) => End::Reached(Some(Answer::Failed)),
            Err(refused) if !refused.reached => End::NotReached,
            Err(refused) => End::Reached(match refused.refusal {
                Refusal::TimedOut => Some(Answer::Late),
                Refusal::Lost | Refusal::Cut => Some(Answer::Failed),
                _ => None,
            }),
        };
        if let Some(counted) = self.counted.take() {
            counted.rollouts.finish_attempt(&counted, end);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let Some(counted) = self.counted.take() {
            counted.rollouts.finish_attempt(&counted, End::Dropped);
        }
    }
}

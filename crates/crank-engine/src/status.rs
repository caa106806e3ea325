//! Evaluation of the status answers of all nodes.

use crank_protocol::config::Stamp;
use crank_protocol::member::State;
use crank_protocol::status::NodeReport;

/// Returns whether the version `head` is in force on every node that is not dead and has not left.
///
/// A node that does not answer and is not known to be dead or to have left may have any version in
/// force, so it makes the result false. The result is also false without any such node.
///
/// ```
/// # use crank_protocol::config::{Digest, Stamp, Version};
/// let head = Stamp { version: Version(1), digest: Digest::new(&"00".repeat(32)).unwrap() };
/// assert!(!crank_engine::status::is_in_force(&head, &[]));
/// ```
#[must_use]
pub fn is_in_force(head: &Stamp, answers: &[NodeReport]) -> bool {
    let mut running = answers
        .iter()
        .filter(|answer| !is_dead_or_left(answer))
        .peekable();
    running.peek().is_some() && running.all(|answer| has_in_force(answer, head))
}

fn is_dead_or_left(answer: &NodeReport) -> bool {
    match answer {
        NodeReport::Node(_) => false,
        NodeReport::Silent(member) => matches!(member.state, State::Dead | State::Left),
    }
}

fn has_in_force(answer: &NodeReport, head: &Stamp) -> bool {
    match answer {
        NodeReport::Node(node) => node.applied.as_ref() == Some(head),
        NodeReport::Silent(_) => false,
    }
}

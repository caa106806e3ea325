//! What the answers of all nodes say about a version.

use crank_protocol::config::Stamp;
use crank_protocol::member::State;
use crank_protocol::status::NodeReport;

/// Whether a version is in force on every node that is not gone.
///
/// A node that is silent and not known to be gone may hold anything, so it counts against.
///
/// ```
/// # use crank_protocol::config::{Digest, Stamp, Version};
/// let head = Stamp { version: Version(1), digest: Digest::new(&"00".repeat(32)).unwrap() };
/// assert!(!crank_engine::status::is_in_force(&head, &[]));
/// ```
#[must_use]
pub fn is_in_force(head: &Stamp, answers: &[NodeReport]) -> bool {
    let mut there = answers.iter().filter(|answer| !is_gone(answer)).peekable();
    there.peek().is_some() && there.all(|answer| holds(answer, head))
}

fn is_gone(answer: &NodeReport) -> bool {
    match answer {
        NodeReport::Node(_) => false,
        NodeReport::Silent(member) => matches!(member.state, State::Dead | State::Left),
    }
}

fn holds(answer: &NodeReport, head: &Stamp) -> bool {
    match answer {
        NodeReport::Node(node) => node.applied.as_ref() == Some(head),
        NodeReport::Silent(_) => false,
    }
}

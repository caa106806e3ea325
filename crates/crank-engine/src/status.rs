//! What the answers of all nodes say about a version.

use crank_protocol::config::Stamp;
use crank_protocol::member::State;
use crank_protocol::status::Answer;

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
pub fn is_in_force(head: &Stamp, answers: &[Answer]) -> bool {
    let mut there = answers.iter().filter(|answer| !is_gone(answer)).peekable();
    there.peek().is_some() && there.all(|answer| holds(answer, head))
}

fn is_gone(answer: &Answer) -> bool {
    match answer {
        Answer::Node(_) => false,
        Answer::Silent(member) => matches!(member.state, State::Dead | State::Left),
    }
}

fn holds(answer: &Answer, head: &Stamp) -> bool {
    match answer {
        Answer::Node(node) => node.applied.as_ref() == Some(head),
        Answer::Silent(_) => false,
    }
}

//! The error type of this crate.

use crank_protocol::Name;
use crank_protocol::config::Stamp;
use thiserror::Error as ThisError;

/// A reason why a configuration or a delta cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The delta has another base version than the configuration in force.
    #[error("the delta has base version {}, but version {} is in force: fetch the full snapshot", .wanted.version, .held.version)]
    WrongBase {
        /// The base version that the delta requires.
        wanted: Box<Stamp>,
        /// The version that is in force.
        held: Box<Stamp>,
    },
    /// The content of a configuration does not match the digest in its stamp.
    #[error("the content of version {} does not match its digest: fetch the full snapshot from another node", .stated.version)]
    WrongDigest {
        /// The stamp with the digest that does not match.
        stated: Box<Stamp>,
    },
    /// A route refers to a service that the configuration does not define.
    #[error("version {} is not applied because its route '{route}' refers to the undefined service '{service}': publish a corrected folder", .stated.version)]
    Dangling {
        /// The stamp of the refused configuration.
        stated: Box<Stamp>,
        /// The name of the route.
        route: Name,
        /// The name of the undefined service.
        service: Name,
    },
}

//! The one error type of this package.

use crank_protocol::Name;
use crank_protocol::config::Stamp;
use thiserror::Error as ThisError;

/// A decision that could not be carried through.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// A delta was meant for another base; fetch the whole snapshot.
    #[error("the delta applies to version {}, not to version {}: fetch the whole snapshot", .wanted.version, .held.version)]
    WrongBase {
        /// The base that the delta names.
        wanted: Box<Stamp>,
        /// What is held.
        held: Box<Stamp>,
    },
    /// A configuration does not have the digest that its stamp states.
    #[error("version {} does not have the digest it states: fetch the whole snapshot from another node", .stated.version)]
    WrongDigest {
        /// The stated stamp.
        stated: Box<Stamp>,
    },
    /// A route leads to a service that the configuration lacks.
    #[error("version {} has a route '{route}' to the missing service '{service}': it is not applied; publish a corrected folder", .stated.version)]
    Dangling {
        /// The stated stamp.
        stated: Box<Stamp>,
        /// The route.
        route: Name,
        /// The service that is not there.
        service: Name,
    },
}

//! Backend servers: announcements, forwarding and health.

mod announcements;
mod connection;
mod error;
mod forwarder;
mod roster;
mod whole;

pub use announcements::Announcements;
pub use error::Error;
pub use forwarder::{Forwarder, Health};
pub use roster::{Announcement, Heard, Report, Roster, Start};

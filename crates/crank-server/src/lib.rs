//! Backend servers: announcements, forwarding and health.

mod announcements;
mod error;
mod forwarder;
mod whole;

pub use announcements::{Announcement, Announcements, Report};
pub use error::Error;
pub use forwarder::Forwarder;

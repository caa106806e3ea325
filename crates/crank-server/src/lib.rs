//! The backend server beside a node: heartbeats, request forwarding and health checks.

mod announcements;
mod body_end;
mod checked_body;
mod connection;
mod error;
mod forwarder;
mod heartbeat_tracker;
mod report_body;
mod response_fields;
mod response_head;
mod seen_headers;
mod statement;

pub use announcements::AnnouncementListener;
pub use crank_engine::registration::Heard;
pub use crank_protocol::heartbeat::{
    Announcement, HeartbeatReport, ProcessStart, StatedLimit, Statement,
};
pub use error::Error;
pub use forwarder::{Forwarder, Health};
pub use heartbeat_tracker::HeartbeatTracker;
pub use report_body::{TooLong, report_body};

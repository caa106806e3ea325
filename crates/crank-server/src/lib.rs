//! Backend servers: announcements, forwarding and health.

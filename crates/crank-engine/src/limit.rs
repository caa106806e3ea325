//! Concurrency limits and bounded queues of each service at the entry.

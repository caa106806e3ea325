//! The choice of a target: load and distance, ejection, gentle start.

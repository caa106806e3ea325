//! Admission at a target's node: slots, queue, deadline and drain, before anything runs.

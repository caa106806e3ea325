//! The node process: wires the peer packages together as actors.

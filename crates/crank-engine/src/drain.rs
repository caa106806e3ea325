//! Leaving: what a draining node or backend server may still take.

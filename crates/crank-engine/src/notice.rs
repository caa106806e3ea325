//! The end of a notice period, counted.

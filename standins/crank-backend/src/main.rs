//! Runs the stand-in.

fn main() {}

//! Runs crank-load.

fn main() {}

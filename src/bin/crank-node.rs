//! Runs crank-node.

fn main() {}

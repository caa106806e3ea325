//! Runs crankctl.

fn main() {}

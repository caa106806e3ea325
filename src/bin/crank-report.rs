//! Runs crank-report.

fn main() {}

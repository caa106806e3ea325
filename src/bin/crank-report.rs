//! Runs crank-report.

fn main() -> std::process::ExitCode {
    crank_report::main()
}

//! Runs crankctl.

fn main() -> std::process::ExitCode {
    crank_command::main()
}

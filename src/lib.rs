//! What the programs share.

use std::error::Error;
use std::process::ExitCode;

/// Says why a program ends, with its causes, and gives exit code 1.
///
/// ```
/// let error = std::io::Error::other("no room");
/// assert_eq!(cactuscrank::fail("crank-node", &error), std::process::ExitCode::FAILURE);
/// ```
#[must_use]
#[expect(
    clippy::print_stderr,
    reason = "whoever started the program reads it there"
)]
pub fn fail(program: &str, error: &dyn Error) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::FAILURE
}

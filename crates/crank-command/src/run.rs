//! Runs a command line of `crankctl`.

use std::io::Write;
use std::process::ExitCode;

use crank_platform_client::{Platform, Remote, Settings};
use gumdrop::{Options, ParsingStyle};

use crate::commands::Command;
use crate::{Error, Exit, Report};

const ABOUT: &str = "Edits and watches the configuration of a client account.\n\
    Exit codes: 0 done or yes, 1 not done or no, 2 wrong use.\n";

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version", short = "V")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

/// Runs the process's command line against the store in its settings and returns the exit code.
///
/// ```no_run
/// let code = crank_command::main();
/// ```
#[must_use]
pub fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let exit = match runtime {
        Ok(runtime) => runtime.block_on(run(&arguments, open_remote, &mut out, &mut err)),
        Err(source) => print_result(Err(source.into()), &mut out, &mut err),
    };
    exit.into()
}

fn open_remote(settings: &Settings) -> Result<Remote, Error> {
    Ok(Remote::new(&settings.access())?)
}

/// Runs a command line against the store that `open` returns.
///
/// ```
/// # use crank_command::{Exit, run};
/// # use crank_platform_client::Memory;
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let (mut out, mut err) = (Vec::new(), Vec::new());
/// let arguments = ["frobnicate".to_owned()];
/// let exit = run(&arguments, |_| Ok(Memory::new()), &mut out, &mut err).await;
/// assert_eq!(exit, Exit::Usage);
/// assert!(out.is_empty());
/// # });
/// ```
pub async fn run<P: Platform>(
    arguments: &[String],
    open: impl Fn(&Settings) -> Result<P, Error>,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Exit {
    let report = execute(arguments, open).await;
    print_result(report, out, err)
}

async fn execute<P: Platform>(
    arguments: &[String],
    open: impl Fn(&Settings) -> Result<P, Error>,
) -> Result<Report, Error> {
    let parsed = Arguments::parse_args(arguments, ParsingStyle::AllOptions)?;
    if parsed.help_requested() {
        return Ok(Report::new(help(&parsed)));
    }
    if parsed.version {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Report::new(format!("crankctl {version}\n")));
    }
    match parsed.command {
        Some(command) => command.run(open).await,
        None => Err(Error::NoCommand),
    }
}

fn help(parsed: &Arguments) -> String {
    match &parsed.command {
        Some(command) => format!(
            "Usage: crankctl {} [OPTIONS] {}\n{}\n\n{}\n",
            command.command_name().unwrap_or_default(),
            command.operands(),
            command.about(),
            command.self_usage(),
        ),
        None => format!(
            "Usage: crankctl COMMAND [OPTIONS]\n{ABOUT}\n{}\n\nCommands:\n{}\n\n\
             See 'crankctl COMMAND --help'.\n",
            Arguments::usage(),
            Arguments::command_list().unwrap_or_default(),
        ),
    }
}

fn print_result(report: Result<Report, Error>, out: &mut impl Write, err: &mut impl Write) -> Exit {
    let written = match &report {
        Ok(report) => out.write_all(report.text.as_bytes()),
        Err(error) => writeln!(err, "crankctl: {error}"),
    };
    match report {
        Err(Error::Usage { .. } | Error::NoCommand) => Exit::Usage,
        // If the reader closed the pipe, as `head` does, the output was not read completely.
        Err(_) => Exit::No,
        Ok(_) if written.is_err() => Exit::No,
        Ok(report) => report.exit,
    }
}

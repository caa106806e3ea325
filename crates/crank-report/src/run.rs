//! Runs a command line of `crank-report`.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use gumdrop::{Options, ParsingStyle};

use crate::{Error, ask, page, table};

const EXIT_HEALTHY: u8 = 0;
const EXIT_UNHEALTHY: u8 = 1;
const EXIT_USAGE: u8 = 2;
const USAGE: &str = "Usage: crank-report [OPTIONS]\n\
    Asks nodes for the service levels that their callers met, and prints burn rates and alarms.\n\
    Exit codes: 0 every node of the mesh was heard and no alarm sounds, 1 otherwise, 2 wrong use.\n";

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "any node's operators' address; it tells of the others",
        meta = "IP:PORT"
    )]
    node: Vec<String>,
    #[options(
        help = "a file with more such addresses, one a line",
        meta = "FILE",
        no_short
    )]
    nodes: Option<PathBuf>,
    #[options(help = "print JSON", no_short)]
    json: bool,
    #[options(help = "also write an HTML page with plots", meta = "FILE", no_short)]
    html: Option<PathBuf>,
}

/// Runs the process's command line and returns the exit code.
///
/// ```no_run
/// let code = crank_report::main();
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
    let code = match runtime {
        Ok(runtime) => runtime.block_on(run(&arguments, &mut out, &mut err)),
        Err(source) => print_result(Err(source.into()), &mut out, &mut err),
    };
    code.into()
}

/// Runs a command line and returns the exit code.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let (mut out, mut err) = (Vec::new(), Vec::new());
/// assert_eq!(crank_report::run(&[], &mut out, &mut err).await, 2);
/// # });
/// ```
pub async fn run(arguments: &[String], out: &mut impl Write, err: &mut impl Write) -> u8 {
    let result = execute(arguments).await;
    print_result(result, out, err)
}

struct Output {
    text: String,
    code: u8,
}

async fn execute(arguments: &[String]) -> Result<Output, Error> {
    let parsed = Arguments::parse_args(arguments, ParsingStyle::AllOptions)?;
    if parsed.help {
        let text = format!("{USAGE}\n{}\n", Arguments::usage());
        return Ok(Output {
            text,
            code: EXIT_HEALTHY,
        });
    }
    let report = ask(&addresses(&parsed)?).await;
    if let Some(path) = &parsed.html {
        std::fs::write(path, page(&report)?).map_err(file_error(path))?;
    }
    let text = if parsed.json {
        serde_json::to_string_pretty(&report)? + "\n"
    } else {
        table(&report)
    };
    let code = if report.is_healthy() {
        EXIT_HEALTHY
    } else {
        EXIT_UNHEALTHY
    };
    Ok(Output { text, code })
}

fn addresses(parsed: &Arguments) -> Result<Vec<Arc<str>>, Error> {
    let mut addresses: Vec<Arc<str>> = parsed
        .node
        .iter()
        .map(|node| node.as_str().into())
        .collect();
    if let Some(path) = &parsed.nodes {
        let text = std::fs::read_to_string(path).map_err(file_error(path))?;
        let lines = text.lines().map(str::trim);
        addresses.extend(lines.filter(|line| !line.is_empty()).map(Arc::from));
    }
    if addresses.is_empty() {
        return Err(Error::NoNode);
    }
    Ok(addresses)
}

fn file_error(path: &Path) -> impl FnOnce(std::io::Error) -> Error + use<> {
    let path = path.to_owned();
    move |source| Error::File { path, source }
}

fn print_result(result: Result<Output, Error>, out: &mut impl Write, err: &mut impl Write) -> u8 {
    match result {
        Ok(output) if out.write_all(output.text.as_bytes()).is_ok() => output.code,
        Ok(_) => EXIT_UNHEALTHY,
        Err(error) => {
            // If standard error cannot be written, the exit code still reports the failure.
            let _ = writeln!(err, "crank-report: {error}");
            match error {
                Error::Usage { .. } | Error::NoNode => EXIT_USAGE,
                _ => EXIT_UNHEALTHY,
            }
        }
    }
}

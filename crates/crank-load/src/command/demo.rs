//! `crank-load demo`: a whole mesh through a bad minute.

use std::io::Write;
use std::path::PathBuf;

use gumdrop::Options;

use super::fleet::own_directory;
use crate::Error;
use crate::calls::RequestOutcome;
use crate::demo::{self, Outcome};

#[derive(Debug, Options)]
pub(super) struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "the operators' folder",
        meta = "DIR",
        default = "examples/folder"
    )]
    folder: PathBuf,
    #[options(no_short, help = "where settings and logs go", meta = "DIR", required)]
    directory: PathBuf,
    #[options(
        no_short,
        help = "the directory of the built programs; this one's otherwise",
        meta = "DIR"
    )]
    programs: Option<PathBuf>,
}

pub(super) async fn run(arguments: Arguments) -> Result<(), Error> {
    let programs = match &arguments.programs {
        Some(programs) => programs.clone(),
        None => own_directory()?,
    };
    let outcome = demo::run(&programs, &arguments.directory, &arguments.folder).await?;
    write!(std::io::stdout(), "{}", page(&outcome)).map_err(Error::Print)?;
    outcome.broken().map_or(Ok(()), Err)
}

fn page(outcome: &Outcome) -> String {
    let told = |told: RequestOutcome| outcome.told(&told);
    let mut page = format!(
        "requests    {} sent, {} answered, {} refused as not run, {} unknown, {} cut, {} lost\n\
         refusals    {}\n\
         releases    {} sent, {} runs, {} run twice, {} told not run that ran\n\
         reads       {} sent, {} runs, {} retried after they had run, {} told not run that ran\n\
         convergence {} nodes: p50 {} ms, p99 {} ms, max {} ms over {} edits\n\
         \x20           {} nodes, one killed: p50 {} ms, p99 {} ms, max {} ms over {} edits\n\
         drain       {}\n",
        outcome.reads.requests + outcome.releases.requests,
        told(RequestOutcome::Whole) + told(RequestOutcome::Failed),
        told(RequestOutcome::NotRun),
        told(RequestOutcome::Unknown) + told(RequestOutcome::Ran),
        told(RequestOutcome::Cut),
        told(RequestOutcome::Unanswered),
        refusals(outcome),
        outcome.release_audit.requests,
        outcome.release_audit.runs,
        outcome.release_audit.run_twice,
        outcome.release_audit.not_run_but_ran,
        outcome.read_audit.requests,
        outcome.read_audit.runs,
        outcome.read_audit.run_twice,
        outcome.read_audit.not_run_but_ran,
        outcome.before.nodes,
        outcome.before.p50_us / 1_000,
        outcome.before.p99_us / 1_000,
        outcome.before.max_us / 1_000,
        outcome.before.changes,
        outcome.after.nodes,
        outcome.after.p50_us / 1_000,
        outcome.after.p99_us / 1_000,
        outcome.after.max_us / 1_000,
        outcome.after.changes,
        if outcome.drained {
            "the server ended by itself"
        } else {
            "the server did not end"
        },
    );
    let node_seconds = f64::from(outcome.nodes) * outcome.counted.as_secs_f64();
    page.push_str("control     bytes sent, a node a second:\n");
    for (kind, bytes) in &outcome.control.0 {
        page.push_str(&format!(
            "  {kind:<16} {:.1}\n",
            *bytes as f64 / node_seconds
        ));
    }
    page.push_str(&format!(
        "  {:<16} {:.1}\n",
        "all",
        outcome.control.total() as f64 / node_seconds
    ));
    page
}

fn refusals(outcome: &Outcome) -> String {
    let all = outcome
        .reads
        .refusals
        .iter()
        .chain(&outcome.releases.refusals);
    let words: Vec<String> = all
        .map(|(refusal, count)| format!("{count} {refusal}"))
        .collect();
    if words.is_empty() {
        "none".to_owned()
    } else {
        words.join(", ")
    }
}

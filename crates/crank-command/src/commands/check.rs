//! `crankctl check`.

use std::path::{Path, PathBuf};

use crank_engine::config::digest;
use crank_engine::folder::{Merged, merge};
use crank_operator::read_local_folder;
use crank_protocol::status::Fault;
use gumdrop::Options;
use serde::Serialize;

use crate::{Error, Report, words};

pub(super) const ABOUT: &str = "\
Merges a local folder as the nodes do, and checks the whole. Prints a summary with the digest, warns
of entries that can never match and of limits that contradict each other, and exits 0; or prints one
line a fault and exits 1.";

#[derive(Debug, Options)]
pub(crate) struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "exit 1 if there are warnings", no_short)]
    strict: bool,
    #[options(help = "print JSON", no_short)]
    json: bool,
    #[options(free, required, help = "the local folder")]
    dir: PathBuf,
}

impl Check {
    pub(super) fn run(self) -> Result<Report, Error> {
        let merged = merge_folder(&self.dir)?;
        let (faults, warnings) = match &merged {
            Ok(merged) => (&[][..], &merged.warnings[..]),
            Err(faults) => (&faults[..], &[][..]),
        };
        let passes = faults.is_empty() && (!self.strict || warnings.is_empty());
        let text = if self.json {
            serde_json::to_string_pretty(&Findings { faults, warnings })? + "\n"
        } else {
            match &merged {
                Ok(merged) => summary(merged) + &warning_lines(warnings),
                Err(faults) => fault_lines(faults),
            }
        };
        Ok(Report::new(text).with_answer(passes))
    }
}

/// What a check found, as JSON.
#[derive(Serialize)]
struct Findings<'a> {
    faults: &'a [Fault],
    warnings: &'a [Fault],
}

pub(super) fn merge_folder(dir: &Path) -> Result<Result<Merged, Vec<Fault>>, Error> {
    Ok(merge(&read_local_folder(dir)?))
}

fn summary(merged: &Merged) -> String {
    let config = &merged.config;
    let notice = match config.account.notice_ends {
        Some(ends) => format!("ends {}", words::time(ends)),
        None => "not given".to_owned(),
    };
    format!(
        "{}account   {}\nservices  {}\nroutes    {}\nnotice    {notice}\ndigest    {}\n",
        words::ignored_files(&merged.ignored_files),
        config.account.name,
        config.services.len(),
        config.routes.len(),
        digest(config),
    )
}

fn fault_lines(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

fn warning_lines(warnings: &[Fault]) -> String {
    let line = |warning: &Fault| format!("warning: {warning}\n");
    warnings.iter().map(line).collect()
}

//! `crankctl check`.

use std::path::{Path, PathBuf};

use crank_engine::config::digest;
use crank_engine::folder::{Merged, merge};
use crank_operator::read_local_folder;
use crank_protocol::status::Fault;
use gumdrop::Options;

use crate::{Error, Report, words};

pub(super) const ABOUT: &str = "\
Merges a local folder as the nodes do, and checks the whole. Prints a summary with the digest and
exits 0, or prints one line a fault and exits 1.";

#[derive(Debug, Options)]
pub(crate) struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the local folder")]
    dir: PathBuf,
}

impl Check {
    pub(super) fn run(self) -> Result<Report, Error> {
        let report = match merge_folder(&self.dir)? {
            Ok(merged) => Report::new(summary(&merged)),
            Err(faults) => Report::new(fault_lines(&faults)).with_answer(false),
        };
        Ok(report)
    }
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

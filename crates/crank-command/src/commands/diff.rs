//! `crankctl diff`.

use std::path::PathBuf;

use crank_engine::difference::{Difference, differences};
use crank_platform_client::{Platform, Settings, head};
use crank_protocol::config::{Config, Snapshot};
use gumdrop::Options;

use super::check;
use crate::{Error, Report, settings, words};

pub(super) const ABOUT: &str = "\
Shows what a local folder would change in the accepted version, one line a value, without the keys of
client accounts. Exits 0 if nothing differs, and 1 otherwise.";

#[derive(Debug, Options)]
pub(crate) struct Diff {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the file with the store's settings", meta = "FILE")]
    settings: PathBuf,
    #[options(help = "print JSON", no_short)]
    json: bool,
    #[options(free, required, help = "the local folder")]
    dir: PathBuf,
}

impl Diff {
    pub(super) async fn run<P: Platform>(
        self,
        open: impl Fn(&Settings) -> Result<P, Error>,
    ) -> Result<Report, Error> {
        let settings = settings::read(&self.settings)?;
        let merged = check::merge_folder(&self.dir)?.map_err(|faults| Error::Faulty {
            path: self.dir.clone(),
            faults,
        })?;
        let accepted = head::snapshot(&open(&settings)?, &settings.account).await?;
        let found = match &accepted {
            Some(accepted) => differences(&accepted.config, &merged.config),
            None => differences(&Config::new(merged.config.account.clone()), &merged.config),
        };
        let text = if self.json {
            serde_json::to_string_pretty(&found)? + "\n"
        } else {
            heading(accepted.as_ref()) + &lines(&found)
        };
        Ok(Report::new(text).with_answer(found.is_empty()))
    }
}

fn heading(accepted: Option<&Snapshot>) -> String {
    match accepted {
        Some(accepted) => format!("compared with {}\n", words::stamp(&accepted.stamp)),
        None => "no version was accepted yet\n".to_owned(),
    }
}

fn lines(found: &[Difference]) -> String {
    if found.is_empty() {
        return "nothing differs\n".to_owned();
    }
    let line = |difference: &Difference| format!("{difference}\n");
    found.iter().map(line).collect()
}

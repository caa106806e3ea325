//! `crankctl push`.

use std::path::PathBuf;
use std::sync::Arc;

use crank_operator::{LocalFolder, Store};
use crank_platform_client::{Platform, Settings};
use crank_protocol::config::Config;
use gumdrop::Options;
use time::OffsetDateTime;

use super::check;
use crate::{Error, Report, settings, words};

pub(super) const ABOUT: &str = "\
Checks a local folder and writes what differs to the folder in the store. Refuses, and writes
nothing, if the folder has faults or if anything in the store changed since it was pulled.";

#[derive(Debug, Options)]
pub(crate) struct Push {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the file with the store's settings", meta = "FILE")]
    settings: PathBuf,
    #[options(free, required, help = "the local folder")]
    dir: PathBuf,
}

impl Push {
    pub(super) async fn run<P: Platform>(
        self,
        open: impl Fn(&Settings) -> Result<P, Error>,
    ) -> Result<Report, Error> {
        let settings = settings::read(&self.settings)?;
        let config = self.check(&settings)?;
        let mut local =
            LocalFolder::open(&self.dir, &settings::store(&settings), &settings.account)?;
        let store = Store::new(open(&settings)?, settings.account);
        let push = store.push(&mut local).await?;
        let mut text = words::ignored_files(&push.ignored_files);
        text += &words::files("wrote", &push.written);
        text += &words::files("removed", &push.removed);
        if has_notice_ended(&config, OffsetDateTime::now_utc()) {
            text += "the notice period has ended: every backend server hands over at once; \
                mend [account] notice_ends if that is not meant\n";
        }
        if push.written.is_empty() && push.removed.is_empty() {
            text += "nothing to push: the store holds what is here\n";
        }
        text += &changes_by_others(&push.changed_by_others);
        Ok(Report::new(text).with_answer(push.changed_by_others.is_empty()))
    }

    fn check(&self, settings: &Settings) -> Result<Config, Error> {
        let merged = check::merge_folder(&self.dir)?.map_err(|faults| Error::Faulty {
            path: self.dir.clone(),
            faults,
        })?;
        let folder = merged.config.account.name.clone();
        if folder == settings.account {
            return Ok(merged.config);
        }
        Err(Error::OtherAccount {
            path: self.dir.clone(),
            folder,
            settings: settings.account.clone(),
        })
    }
}

fn has_notice_ended(config: &Config, now: OffsetDateTime) -> bool {
    config.account.notice_ends.is_some_and(|ends| ends <= now)
}

fn changes_by_others(names: &[Arc<str>]) -> String {
    if names.is_empty() {
        return String::new();
    }
    format!(
        "meanwhile somebody else changed {}: the folder in the store is not the one that was checked \
         here; pull, and check it\n",
        names.join(", ")
    )
}

//! `crankctl pull`.

use std::path::PathBuf;

use crank_operator::{LocalFolder, Store};
use crank_platform_client::{Platform, Settings};
use gumdrop::Options;

use crate::{Error, Report, settings, words};

pub(super) const ABOUT: &str = "\
Brings what changed in the store into a local folder, which is made if it is not there. Keeps what
was changed here; refuses, and touches nothing, if a file was changed on both sides.";

#[derive(Debug, Options)]
pub(crate) struct Pull {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the file with the store's settings", meta = "FILE")]
    settings: PathBuf,
    #[options(free, required, help = "the local folder")]
    dir: PathBuf,
}

impl Pull {
    pub(super) async fn run<P: Platform>(
        self,
        open: impl Fn(&Settings) -> Result<P, Error>,
    ) -> Result<Report, Error> {
        let settings = settings::read(&self.settings)?;
        let mut local =
            LocalFolder::open(&self.dir, &settings::store(&settings), &settings.account)?;
        let store = Store::new(open(&settings)?, settings.account);
        let pull = store.pull(&mut local).await?;
        let mut text = words::files("wrote", &pull.written);
        text += &words::files("removed", &pull.removed);
        text += &words::files("kept your", &pull.kept);
        if text.is_empty() {
            text += "nothing to pull: this folder holds what is in the store\n";
        }
        Ok(Report::new(text))
    }
}

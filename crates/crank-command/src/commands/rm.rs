//! `crankctl rm`.

use std::path::PathBuf;

use crank_operator::Store;
use crank_platform_client::{Platform, Settings};
use gumdrop::Options;

use crate::{Error, Report, settings};

pub(super) const ABOUT: &str = "\
Removes a file from the folder in the store, unless somebody changes it at that moment.";

#[derive(Debug, Options)]
pub(crate) struct Rm {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the file with the store's settings", meta = "FILE")]
    settings: PathBuf,
    #[options(free, required, help = "the file's name in the store")]
    name: String,
}

impl Rm {
    pub(super) async fn run<P: Platform>(
        self,
        open: impl Fn(&Settings) -> Result<P, Error>,
    ) -> Result<Report, Error> {
        let settings = settings::read(&self.settings)?;
        let store = Store::new(open(&settings)?, settings.account);
        store.remove(&self.name).await?;
        Ok(Report::new(format!("removed {}\n", self.name)))
    }
}

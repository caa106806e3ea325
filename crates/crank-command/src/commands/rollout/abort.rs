//! `crankctl rollout abort`.

use std::path::PathBuf;

use crank_operator::Rollouts;
use crank_platform_client::{Platform, Settings};
use crank_protocol::Name;
use gumdrop::Options;

use super::missing_operand;
use crate::{Error, Report, settings};

#[derive(Debug, Options)]
pub(super) struct Abort {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the file with the store's settings", meta = "FILE")]
    settings: PathBuf,
    #[options(free, required, help = "the service")]
    service: Option<Name>,
    #[options(free, required, help = "the release of the order")]
    release: String,
}

impl Abort {
    pub(super) async fn run<P: Platform>(
        self,
        open: impl Fn(&Settings) -> Result<P, Error>,
    ) -> Result<Report, Error> {
        let service = self.service.ok_or_else(missing_operand)?;
        let settings = settings::read(&self.settings)?;
        let rollouts = Rollouts::new(open(&settings)?, settings.account);
        let order = rollouts.abort(&service, &self.release).await?;
        Ok(Report::new(format!(
            "rolled back: {service} stays off {} (order {})\n",
            order.order.target, order.order.revision.0,
        )))
    }
}

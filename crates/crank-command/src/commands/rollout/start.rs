//! `crankctl rollout start`.

use std::path::PathBuf;

use crank_engine::ini::value;
use crank_operator::Rollouts;
use crank_platform_client::{Platform, Settings};
use crank_protocol::{Millis, Name};
use gumdrop::Options;
use time::OffsetDateTime;

use super::missing_operand;
use crate::{Error, Report, settings, words};

/// A trial needs some seconds at its start and its end.
const MIN_DURATION_MS: u64 = 10_000;
/// A day.
const MAX_DURATION_MS: u64 = 24 * 60 * 60_000;

#[derive(Debug, Options)]
pub(super) struct Start {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the file with the store's settings", meta = "FILE")]
    settings: PathBuf,
    #[options(
        required,
        help = "the time within which it is to end, such as 10m",
        meta = "TIME",
        parse(try_from_str = "duration")
    )]
    within: Option<Millis>,
    #[options(free, required, help = "the service")]
    service: Option<Name>,
    #[options(free, required, help = "the release, as its servers announce it")]
    release: String,
}

fn duration(text: &str) -> Result<Millis, String> {
    let parsed = value::duration(text, MIN_DURATION_MS, MAX_DURATION_MS);
    parsed.map_err(|problem| problem.to_string())
}

impl Start {
    pub(super) async fn run<P: Platform>(
        self,
        open: impl Fn(&Settings) -> Result<P, Error>,
    ) -> Result<Report, Error> {
        let service = self.service.ok_or_else(missing_operand)?;
        let within = self.within.ok_or_else(missing_operand)?;
        let settings = settings::read(&self.settings)?;
        let rollouts = Rollouts::new(open(&settings)?, settings.account);
        let now = OffsetDateTime::now_utc();
        let order = rollouts.start(&service, &self.release, within, now).await?;
        Ok(Report::new(format!(
            "ordered: {service} moves to {} within {} (order {})\n",
            order.order.target,
            words::duration(within),
            order.order.revision.0,
        )))
    }
}

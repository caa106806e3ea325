//! `crankctl rollout status`.

use std::path::PathBuf;

use crank_operator::{Progress, Rollouts};
use crank_platform_client::{Platform, Settings};
use crank_protocol::Name;
use crank_protocol::rollout::Phase;
use gumdrop::Options;

use super::missing_operand;
use crate::{Error, Report, settings, words};

#[derive(Debug, Options)]
pub(super) struct Status {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the file with the store's settings", meta = "FILE")]
    settings: PathBuf,
    #[options(help = "print JSON", no_short)]
    json: bool,
    #[options(free, required, help = "the service")]
    service: Option<Name>,
}

impl Status {
    /// The answer is yes once the release gets all requests and the old servers may stop.
    pub(super) async fn run<P: Platform>(
        self,
        open: impl Fn(&Settings) -> Result<P, Error>,
    ) -> Result<Report, Error> {
        let service = self.service.ok_or_else(missing_operand)?;
        let settings = settings::read(&self.settings)?;
        let rollouts = Rollouts::new(open(&settings)?, settings.account);
        let progress = rollouts.progress(&service).await?;
        let text = if self.json {
            serde_json::to_string_pretty(&progress)? + "\n"
        } else {
            format_progress(&progress)
        };
        let is_done = progress.phase == Phase::Completed && progress.settled;
        Ok(Report::new(text).with_answer(is_done))
    }
}

fn format_progress(progress: &Progress) -> String {
    let order = &progress.order.order;
    let state = match (progress.phase, progress.settled) {
        (Phase::Trial | Phase::Held, _) => "running",
        (Phase::Completed, false) => "completed, but requests at the old servers are not done yet",
        (Phase::Completed, true) => "completed: the old servers may stop",
        (Phase::RolledBack, _) => "rolled back: the release gets no requests",
    };
    format!(
        "service  {}\nrelease  {}\nordered  {}, within {} (order {})\nstate    {state}\n",
        order.service,
        order.target,
        words::time(progress.order.given_at),
        words::duration(order.duration),
        order.revision.0,
    )
}

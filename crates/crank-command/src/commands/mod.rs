//! The commands, each in its own module.

mod accounts;
mod check;
mod diff;
mod explain;
mod history;
mod notice;
mod pull;
mod push;
mod rm;
mod rollout;
mod status;

use crank_platform_client::{Platform, Settings};
use gumdrop::Options;

use crate::{Error, Report};

/// A command with its options.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "merge and check a local folder")]
    Check(check::Check),
    #[options(help = "show what a local folder would change in the accepted version")]
    Diff(diff::Diff),
    #[options(help = "write a local folder's changes to the store")]
    Push(push::Push),
    #[options(help = "bring the store's changes into a local folder")]
    Pull(pull::Pull),
    #[options(help = "remove a file from the folder in the store")]
    Rm(rm::Rm),
    #[options(help = "move a service to another release")]
    Rollout(rollout::Rollout),
    #[options(help = "show versions, nodes and the last refused folder")]
    Status(status::Status),
    #[options(help = "show the client accounts: limits, use, homes and how many keys")]
    Accounts(accounts::Accounts),
    #[options(help = "show the accepted versions")]
    History(history::History),
    #[options(help = "show what the end of the notice period still waits for")]
    Notice(notice::Notice),
    #[options(help = "explain a request from the nodes' logs")]
    Explain(explain::Explain),
}

impl Command {
    pub(crate) async fn run<P: Platform>(
        self,
        open: impl Fn(&Settings) -> Result<P, Error>,
    ) -> Result<Report, Error> {
        match self {
            Self::Check(check) => check.run(),
            Self::Diff(diff) => diff.run(open).await,
            Self::Push(push) => push.run(open).await,
            Self::Pull(pull) => pull.run(open).await,
            Self::Rm(rm) => rm.run(open).await,
            Self::Rollout(rollout) => rollout.run(open).await,
            Self::Status(status) => status.run().await,
            Self::Accounts(accounts) => accounts.run().await,
            Self::History(history) => history.run().await,
            Self::Notice(notice) => notice.run().await,
            Self::Explain(explain) => explain.run(),
        }
    }

    pub(crate) fn operands(&self) -> &'static str {
        match self {
            Self::Check(_) | Self::Diff(_) | Self::Push(_) | Self::Pull(_) => "DIR",
            Self::Rm(_) => "NAME",
            Self::Rollout(_) => "start|status|abort SERVICE [RELEASE]",
            Self::Explain(_) => "ID FILE...",
            Self::Status(_) | Self::Accounts(_) | Self::History(_) | Self::Notice(_) => "",
        }
    }

    pub(crate) fn about(&self) -> &'static str {
        match self {
            Self::Check(_) => check::ABOUT,
            Self::Diff(_) => diff::ABOUT,
            Self::Push(_) => push::ABOUT,
            Self::Pull(_) => pull::ABOUT,
            Self::Rm(_) => rm::ABOUT,
            Self::Rollout(_) => rollout::ABOUT,
            Self::Status(_) => status::ABOUT,
            Self::Accounts(_) => accounts::ABOUT,
            Self::History(_) => history::ABOUT,
            Self::Notice(_) => notice::ABOUT,
            Self::Explain(_) => explain::ABOUT,
        }
    }
}

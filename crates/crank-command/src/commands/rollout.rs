//! `crankctl rollout`.

mod abort;
mod start;
mod status;

use crank_platform_client::{Platform, Settings};
use gumdrop::Options;

use crate::{Error, Report};

pub(super) const ABOUT: &str = "\
Moves a service to another release of its software. 'start SERVICE RELEASE --within 10m' orders it:
the release gets a small share of the requests, and by the end of the time either all of them or
none. 'status SERVICE' tells how far it has come. 'abort SERVICE RELEASE' rolls it back at once.";

#[derive(Debug, Options)]
pub(crate) struct Rollout {
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    action: Option<Action>,
}

#[derive(Debug, Options)]
enum Action {
    #[options(help = "order that a service move to a release")]
    Start(start::Start),
    #[options(help = "show how far the latest order has come")]
    Status(status::Status),
    #[options(help = "roll a running order back")]
    Abort(abort::Abort),
}

impl Rollout {
    pub(super) async fn run<P: Platform>(
        self,
        open: impl Fn(&Settings) -> Result<P, Error>,
    ) -> Result<Report, Error> {
        match self.action {
            Some(Action::Start(start)) => start.run(open).await,
            Some(Action::Status(status)) => status.run(open).await,
            Some(Action::Abort(abort)) => abort.run(open).await,
            None => Err(Error::NoCommand),
        }
    }
}

/// The error of an operand that the parser let pass as absent.
fn missing_operand() -> gumdrop::Error {
    gumdrop::Error::missing_required_free()
}

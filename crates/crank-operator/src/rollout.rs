//! Orders to roll out a release of a service: start, progress and abort.

use std::sync::Arc;

use crank_platform_client::rollouts::{self as rows, Decision, Order};
use crank_platform_client::{Error as StoreError, Platform, head};
use crank_protocol::config::Revision;
use crank_protocol::rollout::{Phase, RolloutOrder};
use crank_protocol::{Millis, Name};
use serde::Serialize;
use time::OffsetDateTime;

use crate::Error;

/// How far the latest order for a service has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// The order.
    #[serde(flatten)]
    pub order: Order,
    /// The verdict, or [`Phase::Trial`] while there is none.
    pub phase: Phase,
    /// Whether no node sends requests to the servers that are to stop any more.
    pub settled: bool,
}

/// The roll-outs of an account.
#[derive(Debug, Clone)]
pub struct Rollouts<P> {
    platform: P,
    account: Name,
}

impl<P: Platform> Rollouts<P> {
    /// Creates a handle to the roll-outs of an account.
    ///
    /// ```
    /// use crank_operator::Rollouts;
    /// use crank_platform_client::Memory;
    /// let rollouts = Rollouts::new(Memory::new(), crank_protocol::Name::new("sutkent")?);
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn new(platform: P, account: Name) -> Self {
        Self { platform, account }
    }

    /// Orders that a service move to a release within a time.
    ///
    /// # Errors
    /// Returns [`Error::UnknownService`], [`Error::RolloutRuns`] while an order has no verdict,
    /// [`Error::RolloutChanged`] if another operator was faster, or an error of the store.
    ///
    /// ```
    /// # use crank_operator::{Error, Rollouts};
    /// # use crank_platform_client::Memory;
    /// # use crank_protocol::{Millis, Name};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # let name = |text| Name::new(text).unwrap();
    /// let rollouts = Rollouts::new(Memory::new(), name("sutkent"));
    /// let now = time::OffsetDateTime::UNIX_EPOCH;
    /// let started = rollouts.start(&name("vat"), "v2", Millis(600_000), now).await;
    /// assert!(matches!(started, Err(Error::UnknownService { .. })));
    /// # });
    /// ```
    pub async fn start(
        &self,
        service: &Name,
        release: &str,
        within: Millis,
        now: OffsetDateTime,
    ) -> Result<Order, Error> {
        self.check_service(service).await?;
        let held = rows::read_order(&self.platform, &self.account, service).await?;
        let decision = rows::read(&self.platform, &self.account, service).await?;
        if let Some(held) = &held
            && verdict(held, decision.as_ref()).is_none()
        {
            return Err(Error::RolloutRuns {
                service: service.clone(),
                target: held.order.target.clone(),
            });
        }
        let last = held.as_ref().map_or(0, |held| held.order.revision.0);
        let order = Order {
            order: RolloutOrder {
                service: service.clone(),
                target: Arc::from(release),
                duration: within,
                revision: Revision(last + 1),
            },
            given_at: now,
        };
        let (platform, account) = (&self.platform, &self.account);
        match rows::write_order(platform, account, held.as_ref(), &order).await {
            Err(StoreError::AnswerLost { .. }) => {
                let found = rows::read_order(platform, account, service).await?;
                let is_written = found.as_ref() == Some(&order);
                is_written.then_some(order).ok_or(changed(service))
            }
            Err(StoreError::ConditionFailed) => Err(changed(service)),
            written => Ok(written.map(|()| order)?),
        }
    }

    /// Returns how far the latest order for a service has come.
    ///
    /// # Errors
    /// Returns [`Error::NoRollout`], or an error of the store.
    ///
    /// ```
    /// # use crank_operator::{Error, Rollouts};
    /// # use crank_platform_client::Memory;
    /// # use crank_protocol::Name;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let rollouts = Rollouts::new(Memory::new(), Name::new("sutkent").unwrap());
    /// let progress = rollouts.progress(&Name::new("vat").unwrap()).await;
    /// assert!(matches!(progress, Err(Error::NoRollout { .. })));
    /// # });
    /// ```
    pub async fn progress(&self, service: &Name) -> Result<Progress, Error> {
        let held = rows::read_order(&self.platform, &self.account, service).await?;
        let order = held.ok_or_else(|| Error::NoRollout {
            service: service.clone(),
        })?;
        let decision = rows::read(&self.platform, &self.account, service).await?;
        let verdict = verdict(&order, decision.as_ref());
        Ok(Progress {
            phase: verdict.map_or(Phase::Trial, |verdict| verdict.phase),
            settled: verdict.is_some_and(|verdict| verdict.reported),
            order,
        })
    }

    /// Rolls a running order back, if it is for this release.
    ///
    /// It is recorded as the verdict, under the same condition as that of a node: the first one stays.
    ///
    /// # Errors
    /// Returns [`Error::NoRollout`], [`Error::OtherRelease`], [`Error::RolloutEnded`] if there is a
    /// verdict, [`Error::RolloutChanged`] if one came at this moment, or an error of the store.
    ///
    /// ```
    /// # use crank_operator::{Error, Rollouts};
    /// # use crank_platform_client::Memory;
    /// # use crank_protocol::Name;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let rollouts = Rollouts::new(Memory::new(), Name::new("sutkent").unwrap());
    /// let aborted = rollouts.abort(&Name::new("vat").unwrap(), "v2").await;
    /// assert!(matches!(aborted, Err(Error::NoRollout { .. })));
    /// # });
    /// ```
    pub async fn abort(&self, service: &Name, release: &str) -> Result<Order, Error> {
        let (platform, account) = (&self.platform, &self.account);
        let held = rows::read_order(platform, account, service).await?;
        let held = held.ok_or_else(|| Error::NoRollout {
            service: service.clone(),
        })?;
        if *held.order.target != *release {
            return Err(Error::OtherRelease {
                service: service.clone(),
                target: held.order.target,
                given: Arc::from(release),
            });
        }
        let decision = rows::read(platform, account, service).await?;
        if let Some(verdict) = verdict(&held, decision.as_ref()) {
            return Err(Error::RolloutEnded {
                service: service.clone(),
                outcome: outcome(verdict.phase),
            });
        }
        let abort = Decision {
            order: held.order.revision,
            target: held.order.target.clone(),
            phase: Phase::RolledBack,
            reported: true,
        };
        match rows::write(platform, account, service, decision.as_ref(), &abort).await {
            Err(StoreError::AnswerLost { .. }) => {
                let found = rows::read(platform, account, service).await?;
                let is_written = found.as_ref() == Some(&abort);
                is_written.then_some(held).ok_or(changed(service))
            }
            Err(StoreError::ConditionFailed) => Err(changed(service)),
            written => Ok(written.map(|()| held)?),
        }
    }

    async fn check_service(&self, service: &Name) -> Result<(), Error> {
        let accepted = head::snapshot(&self.platform, &self.account).await?;
        let has_service =
            accepted.is_some_and(|accepted| accepted.config.services.contains_key(service));
        has_service
            .then_some(())
            .ok_or_else(|| Error::UnknownService {
                service: service.clone(),
            })
    }
}

/// Returns the verdict on an order, if the decision is about it.
fn verdict<'a>(order: &Order, decision: Option<&'a Decision>) -> Option<&'a Decision> {
    decision.filter(|decision| decision.order >= order.order.revision)
}

fn outcome(phase: Phase) -> &'static str {
    match phase {
        Phase::Trial | Phase::Held => "begun",
        Phase::Completed => "been completed",
        Phase::RolledBack => "been rolled back",
    }
}

fn changed(service: &Name) -> Error {
    Error::RolloutChanged {
        service: service.clone(),
    }
}

//! One round of the publisher: the lease, the folder and the head.

use crank_engine::Nonce;
use crank_engine::folder::{self as engine_folder, File, is_ignored_file};
use crank_engine::publish::{
    FOLDER_POLL_INTERVAL, Head, HeadUpdate, HeadUpdateOutcome, LEASE_POLL_INTERVAL, LeaseAction,
    LeaseWrite, ListedFile, ListingState, head_update, head_update_outcome, size_faults,
};
use crank_platform_client::verdict::VerdictRecord;
use crank_platform_client::{Error, Platform, configs, folder, head, lease, verdict};
use crank_protocol::Millis;
use crank_protocol::config::{Config, Digest, Snapshot, Stamp};
use crank_protocol::status::{Fault, HistoryEntry, Verdict};
use futures::future::try_join_all;
use time::OffsetDateTime;

use super::Publisher;

const MAX_CONCURRENT_READS: usize = 8;
const MAX_HEAD_READ_ATTEMPTS: u32 = 3;

/// The state of the store before the folder was read. Writes are conditional on it, so that a
/// publisher that was paused in between cannot replace a newer folder with an older one.
struct StoreState {
    head: Option<Head>,
    verdict: Option<VerdictRecord>,
}

impl<P: Platform> Publisher<P> {
    /// Runs one round and returns the delay until the next one.
    pub(super) async fn run_round(&mut self) -> Result<Millis, Error> {
        let candidate = *self.is_candidate.borrow();
        let was_held = self.lease_manager.is_held();
        if !self.ensure_lease(candidate).await? {
            if candidate {
                self.read_head_if_due().await?;
            }
            return Ok(LEASE_POLL_INTERVAL);
        }
        if !was_held {
            log::info!(node = self.settings.node.as_str(); "acquired the publisher's lease");
            self.folder_watch.forget();
        }
        self.read_head_if_due().await?;
        self.publish().await?;
        Ok(FOLDER_POLL_INTERVAL)
    }

    async fn ensure_lease(&mut self, candidate: bool) -> Result<bool, Error> {
        let mut action = self.lease_manager.next_action(candidate, self.clock.now());
        if action == LeaseAction::Read {
            let found = lease::read(&self.platform, &self.settings.account).await?;
            action = self.lease_manager.after_read(found, self.clock.now());
        }
        self.execute(action).await
    }

    /// Releases the lease, so that another node need not wait for it to expire.
    pub(super) async fn release_lease(&mut self) -> Result<(), Error> {
        let action = self.lease_manager.release();
        self.execute(action).await.map(drop)
    }

    async fn execute(&mut self, action: LeaseAction) -> Result<bool, Error> {
        match action {
            LeaseAction::Hold => Ok(true),
            LeaseAction::Read | LeaseAction::Wait => Ok(false),
            LeaseAction::Write(write) => self.write_lease(write).await,
        }
    }

    async fn write_lease(&mut self, write: LeaseWrite) -> Result<bool, Error> {
        let started_at = self.clock.now();
        let account = &self.settings.account;
        let written = match lease::write(&self.platform, account, &write).await {
            Err(Error::AnswerLost { .. }) => {
                let found = lease::read(&self.platform, account).await?;
                Ok(found.as_ref() == Some(&write.to))
            }
            Err(Error::ConditionFailed) => Ok(false),
            written => written.map(|()| true),
        };
        let was_applied = written.as_ref().is_ok_and(|was_applied| *was_applied);
        self.lease_manager
            .after_write(write, was_applied, started_at);
        written.map(|_| self.lease_manager.is_held())
    }

    /// Reads the head periodically: another publisher may have failed before it distributed the
    /// version that it had accepted.
    async fn read_head_if_due(&mut self) -> Result<(), Error> {
        let now = self.clock.now();
        if self
            .last_head_read
            .is_some_and(|last_head_read| now.since(last_head_read) < LEASE_POLL_INTERVAL)
        {
            return Ok(());
        }
        let found = head::read(&self.platform, &self.settings.account).await?;
        self.deliver_head(found.as_ref()).await?;
        self.last_head_read = Some(now);
        Ok(())
    }

    async fn deliver_head(&mut self, found: Option<&Head>) -> Result<(), Error> {
        let Some(found) = found else {
            return Ok(());
        };
        if self.is_newer(&found.stamp) {
            let account = &self.settings.account;
            let snapshot = configs::read(&self.platform, account, &found.stamp).await?;
            self.deliver(snapshot).await;
        }
        Ok(())
    }

    fn is_newer(&self, stamp: &Stamp) -> bool {
        let last_delivered = self.last_delivered.as_ref();
        last_delivered.is_none_or(|last_delivered| last_delivered.version < stamp.version)
    }

    async fn deliver(&mut self, snapshot: Snapshot) {
        if self.is_newer(&snapshot.stamp) {
            self.last_delivered = Some(snapshot.stamp.clone());
            // The receiver is closed only while the node stops.
            let _ = self.accepted.send(snapshot).await;
        }
    }

    async fn publish(&mut self) -> Result<(), Error> {
        let listing = self.list_folder().await?;
        match self.folder_watch.observe(&listing, self.clock.now()) {
            ListingState::Processed | ListingState::Settling => return Ok(()),
            ListingState::Ready => {}
        }
        let state = self.read_store_state().await?;
        if self.list_folder().await? != listing {
            return Ok(());
        }
        let faults = size_faults(&listing);
        if listing.is_empty() && state.head.is_none() {
            log::debug!("the folder is still empty; nothing to publish");
        } else if !faults.is_empty() {
            self.refuse(state, faults).await?;
        } else if let Some(files) = self.read_files(&listing).await? {
            if self.list_folder().await? != listing {
                return Ok(());
            }
            match engine_folder::merge(&files) {
                Ok(merged) => self.accept(state, merged.config).await?,
                Err(faults) => self.refuse(state, faults).await?,
            }
        } else {
            return Ok(());
        }
        self.folder_watch.mark_processed(&listing);
        Ok(())
    }

    async fn list_folder(&self) -> Result<Vec<ListedFile>, Error> {
        folder::list(&self.platform, &self.settings.account).await
    }

    async fn read_store_state(&mut self) -> Result<StoreState, Error> {
        let account = self.settings.account.clone();
        let head = head::read(&self.platform, &account).await?;
        let verdict = verdict::read(&self.platform, &account).await?;
        self.deliver_head(head.as_ref()).await?;
        Ok(StoreState { head, verdict })
    }

    /// Reads the files as listed, or returns nothing if one has changed since.
    async fn read_files(&self, listing: &[ListedFile]) -> Result<Option<Vec<File>>, Error> {
        let mut listed_files = listing.to_vec();
        listed_files.retain(|listed| !is_ignored_file(&listed.name));
        let mut files: Vec<Option<File>> = Vec::with_capacity(listed_files.len());
        for chunk in listed_files.chunks(MAX_CONCURRENT_READS) {
            let mut reads = Vec::with_capacity(chunk.len());
            for listed in chunk {
                reads.push(self.read_file(listed));
            }
            files.extend(try_join_all(reads).await?);
        }
        Ok(files.into_iter().collect())
    }

    async fn read_file(&self, listed: &ListedFile) -> Result<Option<File>, Error> {
        let account = &self.settings.account;
        let found = folder::read(&self.platform, account, &listed.name).await?;
        let unchanged = found.filter(|object| object.etag.0 == listed.etag);
        Ok(unchanged.map(|object| File {
            name: listed.name.clone(),
            content: object.content.to_vec(),
        }))
    }

    async fn accept(&mut self, state: StoreState, config: Config) -> Result<(), Error> {
        let digest = crank_engine::config::digest(&config);
        let nonce = Nonce::draw(&mut self.rng);
        let Some(update) = head_update(state.head.as_ref(), &digest, nonce) else {
            return self.record_accepted(state, nonce).await;
        };
        self.write_config(&config, &digest).await?;
        self.write_head(&update).await?;
        let stamp = update.to.stamp;
        log::info!(
            version = stamp.version.0,
            digest = stamp.digest.as_str();
            "folder accepted as a new version"
        );
        self.deliver(Snapshot { stamp, config }).await;
        Ok(())
    }

    async fn write_config(&self, config: &Config, digest: &Digest) -> Result<(), Error> {
        let written = configs::write(&self.platform, &self.settings.account, config).await?;
        debug_assert_eq!(written, *digest);
        Ok(())
    }

    async fn write_head(&mut self, update: &HeadUpdate) -> Result<(), Error> {
        let account = self.settings.account.clone();
        let entry = HistoryEntry {
            stamp: update.to.stamp.clone(),
            at: OffsetDateTime::now_utc(),
            publisher: self.settings.node.clone(),
        };
        let written = head::advance(&self.platform, &account, update, &entry).await;
        match written {
            Err(Error::AnswerLost { detail }) => {
                self.resolve_lost_update(update, Error::AnswerLost { detail })
                    .await
            }
            written => written,
        }
    }

    async fn resolve_lost_update(&mut self, update: &HeadUpdate, lost: Error) -> Result<(), Error> {
        let account = self.settings.account.clone();
        let mut last_error = lost;
        for _ in 0..MAX_HEAD_READ_ATTEMPTS {
            match head::read(&self.platform, &account).await {
                Ok(found) => match head_update_outcome(update, found.as_ref()) {
                    HeadUpdateOutcome::Accepted => return Ok(()),
                    HeadUpdateOutcome::Superseded => return Err(Error::ConditionFailed),
                    // A later round starts again from the head that it reads then.
                    HeadUpdateOutcome::Pending => return Err(last_error),
                },
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Records that the folder is the accepted one again, after it had been refused.
    async fn record_accepted(&mut self, state: StoreState, nonce: Nonce) -> Result<(), Error> {
        let (Some(head), Some(previous)) = (state.head, state.verdict) else {
            return Ok(());
        };
        if !matches!(previous.verdict, Verdict::Refused { .. }) {
            return Ok(());
        }
        let at = OffsetDateTime::now_utc();
        let stamp = head.stamp;
        let verdict = Verdict::Accepted { stamp, at };
        self.write_verdict(Some(&previous), verdict, nonce).await
    }

    async fn refuse(&mut self, state: StoreState, faults: Vec<Fault>) -> Result<(), Error> {
        let nonce = Nonce::draw(&mut self.rng);
        let previous = state.verdict.as_ref();
        if let Some(Verdict::Refused {
            faults: previous_faults,
            ..
        }) = previous.map(|previous| &previous.verdict)
            && *previous_faults == faults
        {
            return Ok(());
        }
        log::warn!(
            faults = faults.len();
            "the folder has faults and is refused; the accepted version stays in force"
        );
        let at = OffsetDateTime::now_utc();
        let verdict = Verdict::Refused { faults, at };
        self.write_verdict(previous, verdict, nonce).await
    }

    async fn write_verdict(
        &self,
        previous: Option<&VerdictRecord>,
        verdict: Verdict,
        nonce: Nonce,
    ) -> Result<(), Error> {
        let noted = VerdictRecord { verdict, nonce };
        verdict::write(&self.platform, &self.settings.account, previous, &noted).await
    }
}

//! One round of the publisher: lease, folder, head.

use crank_engine::Nonce;
use crank_engine::folder::{self as engine_folder, File, is_ignored_file};
use crank_engine::publish::{
    FOLDER_POLL_INTERVAL, Head, HeadUpdate, HeadUpdateOutcome, LEASE_POLL_INTERVAL, LeaseAction,
    LeaseWrite, ListedFile, ListingState, head_update, head_update_outcome, size_faults,
};
use crank_platform_client::verdict::Noted;
use crank_platform_client::{Error, Platform, configs, folder, head, lease, verdict};
use crank_protocol::Millis;
use crank_protocol::config::{Config, Digest, Snapshot, Stamp};
use crank_protocol::status::{Fault, HistoryEntry, Verdict};
use futures::future::try_join_all;
use time::OffsetDateTime;

use super::Publisher;

const READS_AT_ONCE: usize = 8;
const SETTLE_TRIES: u32 = 3;

/// What the store stated before the folder was read. Writes are conditional on it, so that a
/// publisher that was paused in between cannot put an older folder over a newer one.
struct Before {
    head: Option<Head>,
    verdict: Option<Noted>,
}

impl<P: Platform> Publisher<P> {
    /// Does one round and says how long to wait for the next.
    pub(super) async fn round(&mut self) -> Result<Millis, Error> {
        let candidate = *self.candidate.borrow();
        let held = self.tenure.is_held();
        if !self.hold_lease(candidate).await? {
            if candidate {
                self.look().await?;
            }
            return Ok(LEASE_POLL_INTERVAL);
        }
        if !held {
            log::info!(node = self.settings.node.as_str(); "holds the publisher's lease");
            self.folder.forget();
        }
        self.look().await?;
        self.publish().await?;
        Ok(FOLDER_POLL_INTERVAL)
    }

    async fn hold_lease(&mut self, candidate: bool) -> Result<bool, Error> {
        let mut step = self.tenure.next_action(candidate, self.clock.now());
        if step == LeaseAction::Read {
            let found = lease::read(&self.platform, &self.settings.account).await?;
            step = self.tenure.after_read(found, self.clock.now());
        }
        self.take(step).await
    }

    /// Gives the lease up, so that another node need not wait for it to lapse.
    pub(super) async fn give_up(&mut self) -> Result<(), Error> {
        let step = self.tenure.release();
        self.take(step).await.map(drop)
    }

    async fn take(&mut self, step: LeaseAction) -> Result<bool, Error> {
        match step {
            LeaseAction::Hold => Ok(true),
            LeaseAction::Read | LeaseAction::Wait => Ok(false),
            LeaseAction::Write(write) => self.write_lease(write).await,
        }
    }

    async fn write_lease(&mut self, write: LeaseWrite) -> Result<bool, Error> {
        let begun = self.clock.now();
        let account = &self.settings.account;
        let written = match lease::write(&self.platform, account, &write).await {
            Err(Error::AnswerLost { .. }) => {
                let found = lease::read(&self.platform, account).await?;
                Ok(found.as_ref() == Some(&write.to))
            }
            Err(Error::ConditionFailed) => Ok(false),
            written => written.map(|()| true),
        };
        let took_effect = written.as_ref().is_ok_and(|took_effect| *took_effect);
        self.tenure.after_write(write, took_effect, begun);
        written.map(|_| self.tenure.is_held())
    }

    /// Looks at the head now and then: another publisher may have been lost before it spread what
    /// it had accepted.
    async fn look(&mut self) -> Result<(), Error> {
        let now = self.clock.now();
        if self
            .looked
            .is_some_and(|looked| now.since(looked) < LEASE_POLL_INTERVAL)
        {
            return Ok(());
        }
        let found = head::read(&self.platform, &self.settings.account).await?;
        self.offer_head(found.as_ref()).await?;
        self.looked = Some(now);
        Ok(())
    }

    async fn offer_head(&mut self, found: Option<&Head>) -> Result<(), Error> {
        let Some(found) = found else {
            return Ok(());
        };
        if self.is_new(&found.stamp) {
            let account = &self.settings.account;
            let snapshot = configs::read(&self.platform, account, &found.stamp).await?;
            self.offer(snapshot).await;
        }
        Ok(())
    }

    fn is_new(&self, stamp: &Stamp) -> bool {
        let offered = self.offered.as_ref();
        offered.is_none_or(|offered| offered.version < stamp.version)
    }

    async fn offer(&mut self, snapshot: Snapshot) {
        if self.is_new(&snapshot.stamp) {
            self.offered = Some(snapshot.stamp.clone());
            // Nobody takes it only while the node stops.
            let _ = self.accepted.send(snapshot).await;
        }
    }

    async fn publish(&mut self) -> Result<(), Error> {
        let listing = self.list().await?;
        match self.folder.observe(&listing, self.clock.now()) {
            ListingState::Processed | ListingState::Settling => return Ok(()),
            ListingState::Ready => {}
        }
        let before = self.before().await?;
        if self.list().await? != listing {
            return Ok(());
        }
        let faults = size_faults(&listing);
        if listing.is_empty() && before.head.is_none() {
            log::debug!("nothing has been put into the folder yet");
        } else if !faults.is_empty() {
            self.refuse(before, faults).await?;
        } else if let Some(files) = self.files(&listing).await? {
            if self.list().await? != listing {
                return Ok(());
            }
            match engine_folder::merge(&files) {
                Ok(merged) => self.accept(before, merged.config).await?,
                Err(faults) => self.refuse(before, faults).await?,
            }
        } else {
            return Ok(());
        }
        self.folder.mark_processed(&listing);
        Ok(())
    }

    async fn list(&self) -> Result<Vec<ListedFile>, Error> {
        folder::list(&self.platform, &self.settings.account).await
    }

    async fn before(&mut self) -> Result<Before, Error> {
        let account = self.settings.account.clone();
        let head = head::read(&self.platform, &account).await?;
        let verdict = verdict::read(&self.platform, &account).await?;
        self.offer_head(head.as_ref()).await?;
        Ok(Before { head, verdict })
    }

    /// The files as listed, or nothing where one has changed since.
    async fn files(&self, listing: &[ListedFile]) -> Result<Option<Vec<File>>, Error> {
        let mut kept = listing.to_vec();
        kept.retain(|listed| !is_ignored_file(&listed.name));
        let mut files: Vec<Option<File>> = Vec::with_capacity(kept.len());
        for some in kept.chunks(READS_AT_ONCE) {
            let mut reads = Vec::with_capacity(some.len());
            for listed in some {
                reads.push(self.file(listed));
            }
            files.extend(try_join_all(reads).await?);
        }
        Ok(files.into_iter().collect())
    }

    async fn file(&self, listed: &ListedFile) -> Result<Option<File>, Error> {
        let account = &self.settings.account;
        let found = folder::read(&self.platform, account, &listed.name).await?;
        let same = found.filter(|object| object.etag.0 == listed.etag);
        Ok(same.map(|object| File {
            name: listed.name.clone(),
            content: object.content.to_vec(),
        }))
    }

    async fn accept(&mut self, before: Before, config: Config) -> Result<(), Error> {
        let digest = crank_engine::config::digest(&config);
        let nonce = Nonce::draw(&mut self.rng);
        let Some(step) = head_update(before.head.as_ref(), &digest, nonce) else {
            return self.clear_refusal(before, nonce).await;
        };
        self.write_config(&config, &digest).await?;
        self.write_head(&step).await?;
        let stamp = step.to.stamp;
        log::info!(version = stamp.version.0, digest = stamp.digest.as_str(); "accepted");
        self.offer(Snapshot { stamp, config }).await;
        Ok(())
    }

    async fn write_config(&self, config: &Config, digest: &Digest) -> Result<(), Error> {
        let written = configs::write(&self.platform, &self.settings.account, config).await?;
        debug_assert_eq!(written, *digest);
        Ok(())
    }

    async fn write_head(&mut self, step: &HeadUpdate) -> Result<(), Error> {
        let account = self.settings.account.clone();
        let entry = HistoryEntry {
            stamp: step.to.stamp.clone(),
            at: OffsetDateTime::now_utc(),
            publisher: self.settings.node.clone(),
        };
        let written = head::advance(&self.platform, &account, step, &entry).await;
        match written {
            Err(Error::AnswerLost { detail }) => {
                self.settle_head(step, Error::AnswerLost { detail }).await
            }
            written => written,
        }
    }

    async fn settle_head(&mut self, step: &HeadUpdate, lost: Error) -> Result<(), Error> {
        let account = self.settings.account.clone();
        let mut last = lost;
        for _ in 0..SETTLE_TRIES {
            match head::read(&self.platform, &account).await {
                Ok(found) => match head_update_outcome(step, found.as_ref()) {
                    HeadUpdateOutcome::Accepted => return Ok(()),
                    HeadUpdateOutcome::Superseded => return Err(Error::ConditionFailed),
                    // A later round starts again from the head it then reads.
                    HeadUpdateOutcome::Pending => return Err(last),
                },
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Notes that the folder is the accepted one again, after it was refused.
    async fn clear_refusal(&mut self, before: Before, nonce: Nonce) -> Result<(), Error> {
        let (Some(head), Some(seen)) = (before.head, before.verdict) else {
            return Ok(());
        };
        if !matches!(seen.verdict, Verdict::Refused { .. }) {
            return Ok(());
        }
        let at = OffsetDateTime::now_utc();
        let stamp = head.stamp;
        let verdict = Verdict::Accepted { stamp, at };
        self.note(Some(&seen), verdict, nonce).await
    }

    async fn refuse(&mut self, before: Before, faults: Vec<Fault>) -> Result<(), Error> {
        let nonce = Nonce::draw(&mut self.rng);
        let seen = before.verdict.as_ref();
        if let Some(Verdict::Refused { faults: noted, .. }) = seen.map(|seen| &seen.verdict)
            && *noted == faults
        {
            return Ok(());
        }
        log::warn!(faults = faults.len(); "the folder is refused");
        let at = OffsetDateTime::now_utc();
        let verdict = Verdict::Refused { faults, at };
        self.note(seen, verdict, nonce).await
    }

    async fn note(
        &self,
        seen: Option<&Noted>,
        verdict: Verdict,
        nonce: Nonce,
    ) -> Result<(), Error> {
        let noted = Noted { verdict, nonce };
        verdict::write(&self.platform, &self.settings.account, seen, &noted).await
    }
}
